package placement

import (
	"time"

	"github.com/cowslipgap/cowslipgap/resource"
)

const (
	// holdLength is how long a worker is held for a waiting item before the
	// choice is made anew.
	holdLength = 30 * time.Second
	// maxHeldFraction bounds the workers that are held at once.
	maxHeldFraction = 8
)

// hold keeps workers from taking other patient work until an item fits there.
type hold struct {
	item    *item
	nodes   []*node
	expires time.Time
}

// placeHeld starts the items whose held workers have enough room.
func (c *Core) placeHeld() {
	for i := 0; i < len(c.holds); i++ {
		h := c.holds[i]
		chosen := h.fit(c)
		if chosen == nil || len(chosen) > h.item.team.roomFor() {
			continue
		}
		it := h.item
		it.team.turn[it.kind] += stride[it.kind]
		c.dequeue(it) // drops the hold
		for j, e := range it.entries {
			c.start(e, chosen[j])
		}
		i--
	}
}

// fit chooses a held worker for every task of the item, or returns nil.
func (h *hold) fit(c *Core) []*node {
	chosen := make([]*node, 0, len(h.item.entries))
	left := make(map[*node]resource.Vector, len(h.nodes))
	for _, n := range h.nodes {
		if n.usable(c.now) {
			left[n] = n.host.Room.Sub(n.used).Sub(n.foreign).Sub(n.excess)
		}
	}
	for _, e := range h.item.entries {
		for _, n := range h.nodes {
			if free, ok := left[n]; ok && e.task.Need.Fits(free) {
				left[n] = free.Sub(e.task.Need)
				chosen = append(chosen, n)
				break
			}
		}
	}
	if len(chosen) < len(h.item.entries) {
		return nil
	}
	return chosen
}

// tendHolds drops holds that have expired and makes new ones for the oldest
// items that found no room.
func (c *Core) tendHolds() {
	if c.Policy.Baseline != "" {
		return
	}
	for i := 0; i < len(c.holds); i++ {
		if c.now.After(c.holds[i].expires) {
			c.dropHold(c.holds[i].item)
			i--
		}
	}
	for _, slot := range c.tiers[tierShared].slots {
		for _, k := range [...]kind{kindUrgent, kindLarge, kindSmall, kindGang, kindBatch} {
			it := slot.team.queues[k].peek()
			if it != nil && it.hold == nil && !it.missed.IsZero() && c.now.Sub(it.missed) >= c.Policy.HoldAfter && len(it.entries) <= slot.team.roomFor() {
				c.makeHold(it)
			}
		}
	}
}

// makeHold holds the workers that have the most room free and together, once
// empty, enough for the item.
func (c *Core) makeHold(it *item) {
	held := 0
	for _, h := range c.holds {
		held += len(h.nodes)
	}
	most := max(1, len(c.order)/maxHeldFraction)
	if held >= most {
		return
	}
	h := &hold{item: it, expires: c.now.Add(holdLength)}
	missing := len(it.entries)
	for missing > 0 {
		n := c.emptiest(it)
		if n == nil {
			break
		}
		h.nodes = append(h.nodes, n)
		n.hold = h
		missing -= n.capacityFor(it.entries[0].task.Need)
	}
	// A gang may need more than the bound; it then holds alone.
	if missing > 0 || held > 0 && held+len(h.nodes) > most {
		h.freeNodes()
		return
	}
	it.hold = h
	c.holds = append(c.holds, h)
	for _, n := range h.nodes {
		c.refresh(n)
	}
}

// emptiest returns the unheld worker with most slots free that could run the
// item's tasks.
func (c *Core) emptiest(it *item) *node {
	var best *node
	t := it.entries[0].task
	for _, n := range c.order {
		if n.hold != nil || !n.usable(c.now) || n.record.quarantined(c.now) || t.Rack != "" && n.host.Rack != t.Rack {
			continue
		}
		if n.capacityFor(t.Need) > 0 && (best == nil || n.free > best.free) {
			best = n
		}
	}
	return best
}

func (h *hold) freeNodes() {
	for _, n := range h.nodes {
		n.hold = nil
	}
}

// dropHold gives an item's held workers back to everyone.
func (c *Core) dropHold(it *item) {
	h := it.hold
	if h == nil {
		return
	}
	it.hold = nil
	h.freeNodes()
	for i := range c.holds {
		if c.holds[i] == h {
			c.holds = append(c.holds[:i], c.holds[i+1:]...)
			break
		}
	}
	for _, n := range h.nodes {
		c.refresh(n)
	}
	c.dirty = true
}
