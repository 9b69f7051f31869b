package placement

import (
	"sort"
	"time"

	"github.com/cowslipgap/cowslipgap/class"
	"github.com/cowslipgap/cowslipgap/resource"
)

const (
	// maxPreemptScan limits the workers that one search for victims considers.
	maxPreemptScan = 512
	// maxPreemptPerTick limits the queue items for which one tick preempts tasks.
	maxPreemptPerTick = 32
	// overLimitGrace is how long a team may exceed a limit that was lowered. The
	// hosts divide the new limit among themselves during this time.
	overLimitGrace = 2 * time.Second
	// A team is below its share if its weighted usage is less than belowShareRatio of
	// the fair usage, and above it if more than aboveShareRatio.
	belowShareRatio = 0.7
	aboveShareRatio = 1.15
)

// preempt checkpoints batch tasks to free capacity for urgent tasks, and for
// teams that are far below their share and whose tasks have waited long.
func (c *Core) preempt() {
	if c.Policy.Baseline != "" || !c.now.Before(c.authorityUntil) {
		return
	}
	c.enforceLimits()
	preempted, fair := 0, c.fairUsage()
	for _, te := range c.tiers[tierShared].entries {
		t := te.team
		if it := t.queues[kindUrgent].peek(); c.waitedFor(it, c.Policy.PreemptForUrgentAfter) && preempted < maxPreemptPerTick {
			preempted += c.preemptFor(it, nil)
		}
		if te.key >= belowShareRatio*fair {
			continue
		}
		for _, k := range [...]queueKind{kindLarge, kindSmall, kindGang, kindBatch} {
			if it := t.queues[k].peek(); c.waitedFor(it, c.Policy.ReclaimShareAfter) && preempted < maxPreemptPerTick {
				preempted += c.preemptFor(it, func(t *team) bool { return c.ledger.WeightedUsage(t.name) > aboveShareRatio*fair })
			}
		}
	}
}

// fairUsage returns the weighted usage that every team with queued or started tasks
// would have if each used exactly its share.
func (c *Core) fairUsage() float64 {
	used, weights := 0.0, 0.0
	for name, t := range c.teams {
		if t.waiting > 0 || t.running > 0 {
			weight := c.ledger.Weight(name)
			if weight <= 0 {
				weight = 1
			}
			used += c.ledger.WeightedUsage(name) * weight
			weights += weight
		}
	}
	if weights == 0 {
		return 0
	}
	return used / weights
}

// waitedFor reports whether an item is a single task that has been queued for at
// least minWait and is within its team's limit.
func (c *Core) waitedFor(it *queueItem, minWait time.Duration) bool {
	return it != nil && len(it.entries) == 1 && it.team.remainingLimit() > 0 && c.now.Sub(it.submitted) >= minWait
}

// preemptFor checkpoints the batch tasks on one worker whose capacity, together
// with what is free there, is enough for the item, and reserves the worker. It
// chooses the worker where the least run time is lost. It returns 1 if it found
// a worker and otherwise 0.
func (c *Core) preemptFor(it *queueItem, mayPreempt func(*team) bool) int {
	if it.reservation != nil && it.reservation.hasStoppingTasks() {
		return 0
	}
	need := it.entries[0].task.Need
	var best []*taskEntry
	var bestWorker *worker
	bestLost := time.Duration(1<<63 - 1)
	for i, w := range c.workers {
		if i == maxPreemptScan {
			break
		}
		if w.reservation != nil && w.reservation != it.reservation || !w.usable(c.now) || !need.Fits(w.info.Capacity) {
			continue
		}
		victims, lost, ok := c.victims(w, need, mayPreempt)
		if ok && len(victims) > 0 && lost < bestLost {
			best, bestWorker, bestLost = victims, w, lost
		}
	}
	if bestWorker == nil {
		return 0
	}
	for _, e := range best {
		c.stop(e, true)
	}
	c.moveReservation(it, bestWorker)
	return 1
}

// victims chooses the tasks to stop on a worker, the latest started first, and
// returns the sum of their run times in lost.
func (c *Core) victims(w *worker, need resource.Vector, mayPreempt func(*team) bool) (victims []*taskEntry, lost time.Duration, ok bool) {
	left := w.info.Capacity.Sub(w.used).Sub(w.usedByOthers).Sub(w.excessUse)
	chosen := map[*taskEntry]bool{}
	for !need.Fits(left) {
		var next *taskEntry
		for _, e := range w.entries {
			if chosen[e] || e.stopping || e.state != stateRunning || !e.task.Class.Preemptible() || e.task.Urgent {
				continue
			}
			if mayPreempt != nil && !mayPreempt(c.team(e.task.Team)) {
				continue
			}
			if next == nil || e.started.After(next.started) || e.started.Equal(next.started) && e.task.ID < next.task.ID {
				next = e
			}
		}
		if next == nil {
			return nil, 0, false
		}
		chosen[next] = true
		victims = append(victims, next)
		lost += c.now.Sub(next.started)
		left = left.Add(next.task.Need)
	}
	return victims, lost, true
}

// moveReservation reserves the worker w for the item, in place of the item's
// earlier reservation if it has one.
func (c *Core) moveReservation(it *queueItem, w *worker) {
	c.releaseReservation(it)
	r := &reservation{item: it, workers: []*worker{w}, expires: c.now.Add(reservationLifetime)}
	it.reservation, w.reservation = r, r
	c.reservations = append(c.reservations, r)
	c.updateCapacity(w)
}

// hasStoppingTasks reports whether tasks are being stopped on a reserved worker.
func (r *reservation) hasStoppingTasks() bool {
	for _, w := range r.workers {
		for _, e := range w.entries {
			if e.stopping {
				return true
			}
		}
	}
	return false
}

// enforceLimits stops tasks of teams that run more tasks than a lowered limit
// allows: batch first, and the latest started first.
func (c *Core) enforceLimits() {
	for _, t := range c.teams {
		if !t.capped || t.running <= t.hardLimit {
			t.overLimitSince = time.Time{}
			continue
		}
		if t.overLimitSince.IsZero() {
			t.overLimitSince = c.now
		}
		if c.now.Sub(t.overLimitSince) >= overLimitGrace {
			c.stopExcess(t)
		}
	}
}

// stopExcess stops as many tasks of a team as it runs above its hard limit.
func (c *Core) stopExcess(t *team) {
	excess := t.running - t.hardLimit
	var victims []*taskEntry
	for _, e := range c.entries {
		switch {
		case e.task.Team != t.name || e.state == stateQueued:
		case e.stopping:
			excess--
		case e.state == stateRunning:
			victims = append(victims, e)
		}
	}
	sort.Slice(victims, func(i, j int) bool { return stopsBefore(victims[i], victims[j]) })
	for _, e := range victims[:min(max(0, excess), len(victims))] {
		c.stop(e, e.task.Class.Preemptible())
	}
}

// stopsBefore reports whether a is to be stopped before b.
func stopsBefore(a, b *taskEntry) bool {
	if a.task.Class != b.task.Class {
		return stopRank(a.task.Class) < stopRank(b.task.Class)
	}
	if !a.started.Equal(b.started) {
		return a.started.After(b.started)
	}
	return a.task.ID < b.task.ID
}

// stopRank returns the position of a class in the order in which tasks are stopped.
// The least urgent class comes first, because a stop disrupts it least.
func stopRank(cl class.Class) int {
	for i, other := range class.All {
		if other == cl {
			return len(class.All) - i
		}
	}
	return 0
}
