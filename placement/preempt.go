package placement

import (
	"sort"
	"time"

	"github.com/cowslipgap/cowslipgap/class"
	"github.com/cowslipgap/cowslipgap/resource"
)

const (
	// maxPreemptScan bounds the workers that one search for victims looks at.
	maxPreemptScan = 512
	// maxPreemptPerTick bounds the items that one tick makes room for.
	maxPreemptPerTick = 32
	// shrinkAfter is how long a team may run more than a limit that was lowered,
	// while the hosts divide the new limit among them.
	shrinkAfter = 2 * time.Second
	// deprivedBelow and borrowsAbove are parts of the fair standing.
	deprivedBelow = 0.7
	borrowsAbove  = 1.15
)

// preempt makes room for urgent work and for teams that are far below their
// share and have waited long, by checkpointing batch.
func (c *Core) preempt() {
	if c.Policy.Baseline != "" || !c.now.Before(c.authority) {
		return
	}
	c.shrinkToLimits()
	made, fair := 0, c.fairStanding()
	for _, slot := range c.tiers[tierShared].slots {
		t := slot.team
		if it := t.queues[kindUrgent].peek(); c.waitsFor(it, c.Policy.UrgentAfter) && made < maxPreemptPerTick {
			made += c.makeRoom(it, nil)
		}
		if slot.key >= deprivedBelow*fair {
			continue
		}
		for _, k := range [...]kind{kindLarge, kindSmall, kindGang, kindBatch} {
			if it := t.queues[k].peek(); c.waitsFor(it, c.Policy.ReturnAfter) && made < maxPreemptPerTick {
				made += c.makeRoom(it, func(t *team) bool { return c.ledger.Standing(t.name) > borrowsAbove*fair })
			}
		}
	}
}

// fairStanding is the standing that all teams with work would have if each had
// exactly its share.
func (c *Core) fairStanding() float64 {
	used, weights := 0.0, 0.0
	for name, t := range c.teams {
		if t.waiting > 0 || t.running > 0 {
			weight := c.ledger.Weight(name)
			if weight <= 0 {
				weight = 1
			}
			used += c.ledger.Standing(name) * weight
			weights += weight
		}
	}
	if weights == 0 {
		return 0
	}
	return used / weights
}

func (c *Core) waitsFor(it *item, patience time.Duration) bool {
	return it != nil && len(it.entries) == 1 && it.team.roomFor() > 0 && c.now.Sub(it.since) >= patience
}

// makeRoom stops the batch tasks on one worker that lose the least work and
// whose room, with what is free, is enough for the item. It returns how many
// items it made room for: none or one.
func (c *Core) makeRoom(it *item, mayTake func(*team) bool) int {
	if it.hold != nil && it.hold.draining() {
		return 0
	}
	need := it.entries[0].task.Need
	var best []*entry
	var bestNode *node
	bestLost := time.Duration(1<<63 - 1)
	for i, n := range c.order {
		if i == maxPreemptScan {
			break
		}
		if n.hold != nil && n.hold != it.hold || !n.usable(c.now) || !need.Fits(n.host.Room) {
			continue
		}
		victims, lost, ok := c.victims(n, need, mayTake)
		if ok && len(victims) > 0 && lost < bestLost {
			best, bestNode, bestLost = victims, n, lost
		}
	}
	if bestNode == nil {
		return 0
	}
	for _, e := range best {
		c.stop(e, true)
	}
	c.holdNode(it, bestNode)
	return 1
}

// victims chooses the tasks to stop on a worker, the youngest first.
func (c *Core) victims(n *node, need resource.Vector, mayTake func(*team) bool) (victims []*entry, lost time.Duration, ok bool) {
	left := n.host.Room.Sub(n.used).Sub(n.foreign).Sub(n.excess)
	chosen := map[*entry]bool{}
	for !need.Fits(left) {
		var next *entry
		for _, e := range n.entries {
			if chosen[e] || e.stopping || e.state != stateRunning || !e.task.Class.Preemptible() || e.task.Urgent {
				continue
			}
			if mayTake != nil && !mayTake(c.team(e.task.Team)) {
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

// holdNode holds the worker on which room is being made.
func (c *Core) holdNode(it *item, n *node) {
	c.dropHold(it)
	h := &hold{item: it, nodes: []*node{n}, expires: c.now.Add(holdLength)}
	it.hold, n.hold = h, h
	c.holds = append(c.holds, h)
	c.refresh(n)
}

// draining reports whether tasks are being stopped on a held worker.
func (h *hold) draining() bool {
	for _, n := range h.nodes {
		for _, e := range n.entries {
			if e.stopping {
				return true
			}
		}
	}
	return false
}

// shrinkToLimits stops tasks of teams whose limit was lowered below what runs:
// batch first, the youngest first.
func (c *Core) shrinkToLimits() {
	for _, t := range c.teams {
		if !t.capped || t.running <= t.hard {
			t.over = time.Time{}
			continue
		}
		if t.over.IsZero() {
			t.over = c.now
		}
		if c.now.Sub(t.over) >= shrinkAfter {
			c.shrink(t)
		}
	}
}

func (c *Core) shrink(t *team) {
	excess := t.running - t.hard
	var victims []*entry
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

func stopsBefore(a, b *entry) bool {
	if a.task.Class != b.task.Class {
		return stopOrder(a.task.Class) < stopOrder(b.task.Class)
	}
	if !a.started.Equal(b.started) {
		return a.started.After(b.started)
	}
	return a.task.ID < b.task.ID
}

// stopOrder ranks classes by how little a stop harms them.
func stopOrder(cl class.Class) int {
	for i, other := range class.All {
		if other == cl {
			return len(class.All) - i
		}
	}
	return 0
}
