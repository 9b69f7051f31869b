package placement

import (
	"container/heap"
	"time"

	"github.com/cowslipgap/cowslipgap/class"
	"github.com/cowslipgap/cowslipgap/task"
)

// kind is a queue within a team. Urgent work of any class has its own.
type kind uint8

const (
	kindLookup kind = iota
	kindService
	kindUrgent
	kindLarge
	kindSmall
	kindGang
	kindBatch
	kindCount
)

const (
	tierLookup = iota
	tierService
	tierShared // where shares decide
	tierCount
)

// stride is how much of a team's turn one item of a kind takes: eight large
// requests go for every two small ones, one gang and one batch task.
var stride = [kindCount]float64{
	kindLookup: 1, kindService: 1, kindUrgent: 0, kindLarge: 1.0 / 8, kindSmall: 1.0 / 2, kindGang: 1, kindBatch: 1,
}

func kindOf(t task.Task) kind {
	switch {
	case t.Class == class.Lookup:
		return kindLookup
	case t.Class == class.Service:
		return kindService
	case t.Urgent:
		return kindUrgent
	case t.Class == class.Large:
		return kindLarge
	case t.Class == class.Small:
		return kindSmall
	case t.Class == class.Gang:
		return kindGang
	default:
		return kindBatch
	}
}

func tierOf(k kind) int {
	switch k {
	case kindLookup:
		return tierLookup
	case kindService:
		return tierService
	default:
		return tierShared
	}
}

// fifo is a queue that skips items removed from its middle.
type fifo struct {
	items []*item
	head  int
	live  int
}

func (f *fifo) push(it *item) {
	f.items = append(f.items, it)
	f.live++
}

// pushFront puts an item back at the head.
func (f *fifo) pushFront(it *item) {
	f.live++
	if f.head > 0 {
		f.head--
		f.items[f.head] = it
		return
	}
	f.items = append([]*item{it}, f.items...)
}

// peek returns the first live item, or nil.
func (f *fifo) peek() *item {
	for f.head < len(f.items) {
		if it := f.items[f.head]; !it.gone {
			return it
		}
		f.items[f.head] = nil
		f.head++
	}
	f.items, f.head = f.items[:0], 0
	return nil
}

// remove marks an item as gone; peek passes over it later.
func (f *fifo) remove(it *item) {
	it.gone = true
	f.live--
	if f.head > 1024 && f.head*2 > len(f.items) {
		f.items = append(f.items[:0], f.items[f.head:]...)
		f.head = 0
	}
}

// team is what the Core knows of a team.
type team struct {
	name    string
	limit   int
	hard    int
	capped  bool
	over    time.Time // since when more runs than hard
	running int
	lookups int  // lookups running
	looksUp bool // it has sent a lookup
	waiting int  // tasks in its queues
	queues  [kindCount]fifo
	turn    [kindCount]float64 // stride scheduling: the lowest goes next
	inTier  [tierCount]tierSlot
}

// tierSlot is a team's place in one tier's heap.
type tierSlot struct {
	team   *team
	tier   int
	key    float64
	index  int // position in the heap, -1 if absent
	parked bool
}

func (c *Core) team(name string) *team {
	t := c.teams[name]
	if t == nil {
		t = &team{name: name}
		for i := range t.inTier {
			t.inTier[i] = tierSlot{team: t, tier: i, index: -1}
		}
		c.teams[name] = t
	}
	return t
}

// roomFor returns how many more of the team's tasks may run here.
func (t *team) roomFor() int {
	if !t.capped {
		return int(^uint(0) >> 1)
	}
	return t.limit - t.running
}

// roomIn returns how many more tasks of a tier may run here. A team that sends
// lookups keeps one unit of a limit of two or more free for them.
func (t *team) roomIn(tier int) int {
	if tier != tierLookup && t.capped && t.looksUp && t.limit > 1 && t.lookups == 0 {
		return t.roomFor() - 1
	}
	return t.roomFor()
}

// hasWork reports whether anything waits in the tier.
func (t *team) hasWork(tier int) bool {
	for k := range kindCount {
		if tierOf(k) == tier && t.queues[k].live > 0 {
			return true
		}
	}
	return false
}

// item is what is placed at once: one task, or the tasks of a gang.
type item struct {
	team    *team
	kind    kind
	entries []*entry
	since   time.Time
	missed  time.Time // when it first found no room although its turn had come
	seq     uint64
	gone    bool
	hold    *hold
}

// tier orders the teams that have work in it by standing.
type tier struct{ slots []*tierSlot }

func (t *tier) Len() int { return len(t.slots) }
func (t *tier) Less(i, j int) bool {
	a, b := t.slots[i], t.slots[j]
	if a.key != b.key {
		return a.key < b.key
	}
	return a.team.name < b.team.name
}
func (t *tier) Swap(i, j int) {
	t.slots[i], t.slots[j] = t.slots[j], t.slots[i]
	t.slots[i].index, t.slots[j].index = i, j
}
func (t *tier) Push(x any) {
	s := x.(*tierSlot)
	s.index = len(t.slots)
	t.slots = append(t.slots, s)
}
func (t *tier) Pop() any {
	last := len(t.slots) - 1
	s := t.slots[last]
	t.slots[last] = nil
	t.slots = t.slots[:last]
	s.index = -1
	return s
}

// enqueue adds an item to its team's queue.
func (c *Core) enqueue(it *item, front bool) {
	t := it.team
	q := &t.queues[it.kind]
	if q.live == 0 {
		c.joinTurn(t, it.kind)
	}
	if front {
		q.pushFront(it)
	} else {
		q.push(it)
	}
	t.waiting += len(it.entries)
	c.waiting += len(it.entries)
	c.activate(t, tierOf(it.kind))
	c.dirty = true
}

// joinTurn keeps a kind that was idle from claiming the turns it did not use.
func (c *Core) joinTurn(t *team, k kind) {
	lowest, found := 0.0, false
	for other := range kindCount {
		if other == k || tierOf(other) != tierOf(k) || t.queues[other].live == 0 {
			continue
		}
		if !found || t.turn[other] < lowest {
			lowest, found = t.turn[other], true
		}
	}
	t.turn[k] = max(t.turn[k], lowest)
}

// dequeue takes an item out of its queue, wherever it stands.
func (c *Core) dequeue(it *item) {
	t := it.team
	t.queues[it.kind].remove(it)
	t.waiting -= len(it.entries)
	c.waiting -= len(it.entries)
	c.dropHold(it)
	tier := tierOf(it.kind)
	if slot := &t.inTier[tier]; slot.index >= 0 && !t.hasWork(tier) {
		heap.Remove(&c.tiers[tier], slot.index)
	}
}

// activate puts a team into a tier's heap if it has work and room there.
func (c *Core) activate(t *team, tier int) {
	slot := &t.inTier[tier]
	if slot.index >= 0 || slot.parked || !t.hasWork(tier) {
		return
	}
	slot.key = c.ledger.Standing(t.name)
	heap.Push(&c.tiers[tier], slot)
}

// park takes a team that is at its limit out of the heaps.
func (c *Core) park(t *team, tier int) {
	slot := &t.inTier[tier]
	slot.parked = true
	if slot.index >= 0 {
		heap.Remove(&c.tiers[tier], slot.index)
	}
}

// unpark lets a team take part again after its use fell or its limit rose.
func (c *Core) unpark(t *team) {
	for tier := range t.inTier {
		if t.inTier[tier].parked {
			t.inTier[tier].parked = false
			c.activate(t, tier)
		}
	}
}

// rekey puts a team at its new place after its use changed.
func (c *Core) rekey(t *team) {
	key, known := 0.0, false
	for tier := range t.inTier {
		slot := &t.inTier[tier]
		if slot.index < 0 {
			continue
		}
		if !known {
			key, known = c.ledger.Standing(t.name), true
		}
		slot.key = key
		heap.Fix(&c.tiers[tier], slot.index)
	}
}

// rekeyAll brings every team's standing up to date.
func (c *Core) rekeyAll() {
	for i := range c.tiers {
		for _, slot := range c.tiers[i].slots {
			slot.key = c.ledger.Standing(slot.team.name)
		}
		heap.Init(&c.tiers[i])
	}
}
