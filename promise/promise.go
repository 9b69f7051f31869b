// Package promise keeps the places of callers whose jobs were refused for now. It
// answers the load pattern of many refused callers that come back together: without
// places, newcomers overtake them and they are refused again until they give up.
//
// # Usage
//
//	var b promise.Book
//	b.Refuse(promise.Caller{Job: id, Rank: rank, Demand: work}, now)
//	if c, ok := b.Redeem(id, now); ok { /* admitted before newcomers, since c.FirstSeen */ }
package promise

import "time"

// Caller is a refused caller and the room that its job needs.
type Caller struct {
	Job       string
	Team      string
	Rank      int           // of its job; lower comes first
	Work      float64       // core-seconds
	Cores     float64       // cores that it can use at once
	FirstSeen time.Duration // when it first submitted the job, on the owner's clock
	ReturnAt  time.Duration // when it was told to come back
}

// Book holds the places that were promised. The zero value is empty. It is bounded and
// places lapse, so that callers who stay away hold up nobody.
type Book struct {
	callers map[string]Caller
}

// Refuse records that a caller was told to come back at c.ReturnAt. It keeps the
// FirstSeen of an earlier refusal of the same job.
func (b *Book) Refuse(c Caller, now time.Duration) {
	if b.callers == nil {
		b.callers = map[string]Caller{}
	}
	if before, ok := b.callers[c.Job]; ok {
		c.FirstSeen = before.FirstSeen
	} else {
		c.FirstSeen = now
	}
	b.callers[c.Job] = c
}

// Redeem removes and returns the place of a caller that is back. It reports false if
// the caller has none, or it has lapsed.
func (b *Book) Redeem(job string, now time.Duration) (Caller, bool) {
	c, ok := b.callers[job]
	delete(b.callers, job)
	return c, ok && now >= c.FirstSeen
}
