package placement

import (
	"time"

	"github.com/cowslipgap/cowslipgap/resource"
)

const (
	// reservationLifetime is how long workers are reserved for a queue item
	// before they are chosen again.
	reservationLifetime = 30 * time.Second
	// reservationDivisor limits reservations to an eighth of the workers. The
	// limit is never below one worker.
	reservationDivisor = 8
)

// reservation is a set of workers that are reserved for a queue item. Until the
// item fits on them, they start no other tasks except lookups.
type reservation struct {
	item    *queueItem
	workers []*worker
	expires time.Time
}

// placeReserved starts the queue items that fit on the workers reserved for them.
func (c *Core) placeReserved() {
	for i := 0; i < len(c.reservations); i++ {
		r := c.reservations[i]
		chosen := r.fit(c)
		if chosen == nil || len(chosen) > r.item.team.remainingLimit() {
			continue
		}
		it := r.item
		it.team.pass[it.kind] += stride[it.kind]
		c.dequeue(it) // also releases the reservation
		for j, e := range it.entries {
			c.start(e, chosen[j])
		}
		i--
	}
}

// fit chooses a reserved worker for every task of the item, or returns nil.
func (r *reservation) fit(c *Core) []*worker {
	chosen := make([]*worker, 0, len(r.item.entries))
	freeByWorker := make(map[*worker]resource.Vector, len(r.workers))
	for _, w := range r.workers {
		if w.usable(c.now) {
			freeByWorker[w] = w.info.Capacity.Sub(w.used).Sub(w.usedByOthers).Sub(w.excessUse)
		}
	}
	for _, e := range r.item.entries {
		for _, w := range r.workers {
			if free, ok := freeByWorker[w]; ok && e.task.Need.Fits(free) {
				freeByWorker[w] = free.Sub(e.task.Need)
				chosen = append(chosen, w)
				break
			}
		}
	}
	if len(chosen) < len(r.item.entries) {
		return nil
	}
	return chosen
}

// updateReservations releases expired reservations and reserves workers for the
// queue items at the head of their queue that have been blocked for ReserveAfter.
func (c *Core) updateReservations() {
	if c.Policy.Baseline != "" {
		return
	}
	for i := 0; i < len(c.reservations); i++ {
		if c.now.After(c.reservations[i].expires) {
			c.releaseReservation(c.reservations[i].item)
			i--
		}
	}
	for _, te := range c.tiers[tierShared].entries {
		for _, k := range [...]queueKind{kindUrgent, kindLarge, kindSmall, kindGang, kindBatch} {
			it := te.team.queues[k].peek()
			if it != nil && it.reservation == nil && !it.blockedSince.IsZero() && c.now.Sub(it.blockedSince) >= c.Policy.ReserveAfter && len(it.entries) <= te.team.remainingLimit() {
				c.reserveWorkers(it)
			}
		}
	}
}

// reserveWorkers reserves the workers with the most free slots that together,
// once empty, are large enough for the item.
func (c *Core) reserveWorkers(it *queueItem) {
	reserved := 0
	for _, r := range c.reservations {
		reserved += len(r.workers)
	}
	limit := max(1, len(c.workers)/reservationDivisor)
	if reserved >= limit {
		return
	}
	r := &reservation{item: it, expires: c.now.Add(reservationLifetime)}
	uncovered := len(it.entries) // tasks that do not fit on the reserved workers
	for uncovered > 0 {
		w := c.emptiest(it)
		if w == nil {
			break
		}
		r.workers = append(r.workers, w)
		w.reservation = r
		uncovered -= w.maxTasks(it.entries[0].task.Need)
	}
	// A gang that needs more workers than the limit may exceed it, but only
	// while no other reservation exists.
	if uncovered > 0 || reserved > 0 && reserved+len(r.workers) > limit {
		r.clearWorkers()
		return
	}
	it.reservation = r
	c.reservations = append(c.reservations, r)
	for _, w := range r.workers {
		c.updateCapacity(w)
	}
}

// emptiest returns the worker with the most free slots that is not reserved and
// could run the item's tasks.
func (c *Core) emptiest(it *queueItem) *worker {
	var best *worker
	t := it.entries[0].task
	for _, w := range c.workers {
		if w.reservation != nil || !w.usable(c.now) || w.failures.quarantined(c.now) || t.Rack != "" && w.info.Rack != t.Rack {
			continue
		}
		if w.maxTasks(t.Need) > 0 && (best == nil || w.freeSlots > best.freeSlots) {
			best = w
		}
	}
	return best
}

// clearWorkers removes the reservation from its workers.
func (r *reservation) clearWorkers() {
	for _, w := range r.workers {
		w.reservation = nil
	}
}

// releaseReservation makes an item's reserved workers available to all tasks.
func (c *Core) releaseReservation(it *queueItem) {
	r := it.reservation
	if r == nil {
		return
	}
	it.reservation = nil
	r.clearWorkers()
	for i := range c.reservations {
		if c.reservations[i] == r {
			c.reservations = append(c.reservations[:i], c.reservations[i+1:]...)
			break
		}
	}
	for _, w := range r.workers {
		c.updateCapacity(w)
	}
	c.dirty = true
}
