// Package promise keeps the places of callers whose jobs were refused for now. It
// answers the load pattern of many refused callers that come back together: without
// places, newcomers overtake them and they are refused again until they give up.
//
// A place counts against newcomers of the same or a later rank until [Lapse] after the
// time at which its caller was told to return. When the job was first submitted is
// remembered for as long as the job can be of use. The share of callers that came back
// in time scales what the places count for, so that callers who stay away leave no
// room idle.
//
// # Usage
//
//	var b promise.Book
//	b.Refuse(promise.Caller{Job: id, Rank: rank, Work: work, ReturnAt: at, LastUse: last}, now)
//	work, cores := b.Ahead(promise.Caller{Job: other, Rank: rank, FirstSeen: now}, "", now, until)
//	if c, ok := b.Redeem(id, now); ok { /* its objective counts from c.FirstSeen */ }
package promise

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

const (
	// Lapse is how long after the time told a place is kept. It covers the delay of
	// the network and of a caller's timer.
	Lapse = time.Second
	// maxCallers bounds the callers of a Book, and thereby the memory and the time
	// that a submission takes.
	maxCallers = 2048
	// returnSamples is how many callers the share that comes back is averaged over.
	returnSamples = 64
	// minOutageDelay and maxOutageDelay bound the shortest delay that is returned
	// while no job can be stored.
	minOutageDelay = time.Second
	maxOutageDelay = 8 * time.Second
)

// Caller is a refused caller and the room that its job needs. All times are on the
// owner's clock.
type Caller struct {
	Job       string        `cbor:"1,keyasint"`
	Team      string        `cbor:"2,keyasint,omitempty"`
	Rank      int           `cbor:"3,keyasint,omitempty"` // of its job; lower comes first
	Work      float64       `cbor:"4,keyasint,omitempty"` // core-seconds
	Cores     float64       `cbor:"5,keyasint,omitempty"` // cores that it can use at once
	FirstSeen time.Duration `cbor:"6,keyasint"`           // when it first submitted the job
	ReturnAt  time.Duration `cbor:"7,keyasint"`           // when it was told to come back
	LastUse   time.Duration `cbor:"8,keyasint"`           // when its job can no longer be of use
}

// Book holds the places that were promised. The zero value is empty.
type Book struct {
	callers map[string]*Caller
	order   []*Caller // by rank, then by first submission, then by job
	away    float64   // decayed share of callers that did not come back in time
}

// Len returns the number of callers that are remembered.
func (b *Book) Len() int { return len(b.callers) }

// Refuse records that a caller was told to come back at c.ReturnAt. It keeps the
// FirstSeen of an earlier refusal of the same job. In a full book, the caller with the
// latest rank and return has no place.
func (b *Book) Refuse(c Caller, now time.Duration) {
	if b.callers == nil {
		b.callers = map[string]*Caller{}
	}
	before, known := b.callers[c.Job]
	if known {
		c.FirstSeen = before.FirstSeen
	} else if c.FirstSeen == 0 {
		c.FirstSeen = now
	}
	b.remove(c.Job)
	b.insert(&c)
	if len(b.callers) <= maxCallers {
		return
	}
	b.Expire(now)
	for len(b.callers) > maxCallers {
		last := b.order[len(b.order)-1]
		for _, other := range slices.Backward(b.order) {
			if other.Rank < last.Rank {
				break
			}
			if cmp.Or(cmp.Compare(other.ReturnAt, last.ReturnAt), cmp.Compare(other.Job, last.Job)) > 0 {
				last = other
			}
		}
		b.remove(last.Job)
	}
}

// comesBefore orders callers by rank, then by first submission, then by job.
func comesBefore(a, b *Caller) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.FirstSeen, b.FirstSeen), cmp.Compare(a.Job, b.Job))
}

func (b *Book) insert(c *Caller) {
	b.callers[c.Job] = c
	at, _ := slices.BinarySearchFunc(b.order, c, comesBefore)
	b.order = slices.Insert(b.order, at, c)
}

// remove forgets a caller, if it is known.
func (b *Book) remove(job string) {
	c, known := b.callers[job]
	if !known {
		return
	}
	delete(b.callers, job)
	if at, found := slices.BinarySearchFunc(b.order, c, comesBefore); found {
		b.order = slices.Delete(b.order, at, at+1)
	}
}

// Lookup returns what is known of a caller that has been refused before.
func (b *Book) Lookup(job string, now time.Duration) (Caller, bool) {
	c, ok := b.callers[job]
	if !ok {
		return Caller{}, false
	}
	return *c, !c.expired(now)
}

// Redeem removes and returns what is known of a caller that is back.
func (b *Book) Redeem(job string, now time.Duration) (Caller, bool) {
	c, ok := b.Lookup(job, now)
	if ok && c.Work > 0 { // otherwise it had no place, or Expire took note of it
		b.observe(c.lapsed(now))
	}
	b.remove(job)
	return c, ok
}

// Ahead returns the work and cores of the callers expected back by the given time that
// come before c: those with an earlier rank or, within its rank, those first seen
// before it. If team is not empty, only callers of that team count.
func (b *Book) Ahead(c Caller, team string, now, until time.Duration) (work, cores float64) {
	var milliWork, milliCores int64 // sums that do not depend on the order of the callers
	for _, other := range b.order {
		if other.Rank > c.Rank || other.Rank == c.Rank && other.FirstSeen >= c.FirstSeen {
			break
		}
		if other.Job == c.Job || other.lapsed(now) || other.ReturnAt > until || team != "" && other.Team != team {
			continue
		}
		milliWork += int64(1000 * other.Work)
		milliCores += int64(1000 * other.Cores)
	}
	return float64(milliWork) / 1000 * (1 - b.away), float64(milliCores) / 1000 * (1 - b.away)
}

// Expire forgets the callers that are overdue and whose jobs can no longer be of use,
// and takes note of those that did not come back in time.
func (b *Book) Expire(now time.Duration) {
	kept := b.order[:0]
	for _, c := range b.order {
		if c.lapsed(now) && c.Work > 0 {
			b.observe(true)
			c.Work, c.Cores = 0, 0
		}
		if c.expired(now) {
			delete(b.callers, c.Job)
		} else {
			kept = append(kept, c)
		}
	}
	clear(b.order[len(kept):])
	b.order = kept
}

// Snapshot returns all callers with times relative to now, for a successor.
func (b *Book) Snapshot(now time.Duration) []Caller {
	list := make([]Caller, 0, len(b.callers))
	for _, c := range b.order {
		list = append(list, c.shift(-now))
	}
	return list
}

// Restore adds the callers of a snapshot that was taken the given time ago. A caller
// that has been refused since keeps its new place, with the earlier FirstSeen. One that was
// due while there was no owner has no place, as it could not come back.
func (b *Book) Restore(list []Caller, now, ago time.Duration) {
	for _, c := range list {
		c = c.shift(now - ago)
		if newer, ok := b.callers[c.Job]; ok {
			moved := *newer
			moved.FirstSeen = min(newer.FirstSeen, c.FirstSeen)
			b.remove(c.Job)
			b.insert(&moved)
			continue
		}
		if c.lapsed(now) {
			c.Work, c.Cores = 0, 0
		}
		b.Refuse(c, now)
	}
}

// observe updates the share of callers that do not come back in time.
func (b *Book) observe(away bool) {
	sample := 0.0
	if away {
		sample = 1
	}
	b.away += (sample - b.away) / returnSamples
}

func (c Caller) lapsed(now time.Duration) bool { return now > c.ReturnAt+Lapse }

// expired reports whether the caller is forgotten. One that is due is not, so that a job
// that can no longer be of use does not count as new when it comes back.
func (c Caller) expired(now time.Duration) bool { return now > c.LastUse && c.lapsed(now) }

func (c Caller) shift(by time.Duration) Caller {
	c.FirstSeen += by
	c.ReturnAt += by
	c.LastUse += by
	return c
}

// OutageDelay returns after which time a caller should return while no job can be
// stored. An outage is expected to go on for about half of its age so far. Callers
// are spread over as long again, but return while their job can still be of use.
func OutageDelay(job string, age, useful time.Duration) time.Duration {
	shortest := min(max(age/2, minOutageDelay), maxOutageDelay)
	h := fnv.New32a()
	_, _ = h.Write([]byte(job)) // never fails
	delay := shortest + time.Duration(h.Sum32()%1000)*shortest/1000
	return max(minOutageDelay, min(delay, useful.Truncate(time.Second)))
}
