package placement

import (
	"math/rand/v2"

	"github.com/cowslipgap/cowslipgap/room"
)

// scheduleBaseline serves strictly in order of arrival, over all teams and
// classes, and stops at the first item that does not fit.
func (c *Core) scheduleBaseline() {
	for {
		it := c.oldest()
		if it == nil || len(it.entries) > it.team.roomFor() || !c.placeBaseline(it) {
			return
		}
	}
}

// oldest returns the item that arrived first, of teams below their limit.
func (c *Core) oldest() *item {
	var first *item
	for i := range c.tiers {
		for _, slot := range c.tiers[i].slots {
			if slot.team.roomFor() <= 0 {
				continue
			}
			for k := range kindCount {
				if it := slot.team.queues[k].peek(); it != nil && (first == nil || it.seq < first.seq) {
					first = it
				}
			}
		}
	}
	return first
}

func (c *Core) placeBaseline(it *item) bool {
	if c.Policy.Baseline == BaselineFCFS || len(it.entries) > 1 {
		e := it.entries[0]
		if len(it.entries) > 1 {
			return c.placeGang(it)
		}
		i := c.general.First(0, len(c.order), e.task.Need)
		if i == room.NotFound {
			return false
		}
		c.dequeue(it)
		c.start(e, c.order[i])
		return true
	}
	return c.placeTwoChoices(it)
}

// placeTwoChoices tries a few pairs of random workers before it gives up.
func (c *Core) placeTwoChoices(it *item) bool {
	const tries = 16
	e := it.entries[0]
	for range tries {
		c.Policy.Seed = rand.New(rand.NewPCG(c.Policy.Seed, 1)).Uint64()
		a := c.order[c.Policy.Seed%uint64(len(c.order))]
		b := c.order[(c.Policy.Seed>>32)%uint64(len(c.order))]
		if b.free > a.free {
			a = b
		}
		if e.task.Need.Fits(c.general.Get(a.index)) {
			c.dequeue(it)
			c.start(e, a)
			return true
		}
	}
	return false
}
