package placement

import (
	"math/rand/v2"

	"github.com/cowslipgap/cowslipgap/capacity"
)

// scheduleBaseline places queue items strictly in order of arrival, across all
// teams and classes, and stops at the first item that does not fit.
func (c *Core) scheduleBaseline() {
	for {
		it := c.oldest()
		if it == nil || len(it.entries) > it.team.remainingLimit() || !c.placeBaseline(it) {
			return
		}
	}
}

// oldest returns the queue item that arrived first, among the teams that are
// below their limit.
func (c *Core) oldest() *queueItem {
	var first *queueItem
	for i := range c.tiers {
		for _, te := range c.tiers[i].entries {
			if te.team.remainingLimit() <= 0 {
				continue
			}
			for k := range kindCount {
				if it := te.team.queues[k].peek(); it != nil && (first == nil || it.seq < first.seq) {
					first = it
				}
			}
		}
	}
	return first
}

// placeBaseline starts all tasks of an item or none, and reports which.
func (c *Core) placeBaseline(it *queueItem) bool {
	if c.Policy.Baseline == BaselineFCFS || len(it.entries) > 1 {
		e := it.entries[0]
		if len(it.entries) > 1 {
			return c.placeGang(it)
		}
		i := c.generalTree.First(0, len(c.workers), e.task.Need)
		if i == capacity.NotFound {
			return false
		}
		c.dequeue(it)
		c.start(e, c.workers[i])
		return true
	}
	return c.placeTwoChoices(it)
}

// placeTwoChoices tries up to 16 pairs of random workers and starts the item on
// the one of a pair that has more free slots, if it fits there.
func (c *Core) placeTwoChoices(it *queueItem) bool {
	const tries = 16
	e := it.entries[0]
	for range tries {
		c.Policy.Seed = rand.New(rand.NewPCG(c.Policy.Seed, 1)).Uint64()
		a := c.workers[c.Policy.Seed%uint64(len(c.workers))]
		b := c.workers[(c.Policy.Seed>>32)%uint64(len(c.workers))]
		if b.freeSlots > a.freeSlots {
			a = b
		}
		if e.task.Need.Fits(c.generalTree.Get(a.index)) {
			c.dequeue(it)
			c.start(e, a)
			return true
		}
	}
	return false
}
