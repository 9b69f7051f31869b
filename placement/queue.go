package placement

import (
	"container/heap"
	"time"

	"github.com/cowslipgap/cowslipgap/class"
	"github.com/cowslipgap/cowslipgap/task"
)

// queueKind identifies one of a team's queues. Urgent tasks other than lookups and
// services have a queue of their own.
type queueKind uint8

const (
	kindLookup queueKind = iota
	kindService
	kindUrgent
	kindLarge
	kindSmall
	kindGang
	kindBatch
	kindCount
)

// Tiers of queue kinds, in the order in which they are served.
const (
	tierLookup = iota
	tierService
	tierShared // all other kinds
	tierCount
)

// stride is how far placing one item advances the pass value of its queue. Eight
// large requests are placed for every two small ones, one gang and one batch
// task. Urgent tasks always go first, so their stride is 0.
var stride = [kindCount]float64{
	kindLookup: 1, kindService: 1, kindUrgent: 0, kindLarge: 1.0 / 8, kindSmall: 1.0 / 2, kindGang: 1, kindBatch: 1,
}

// queueKindOf returns the queue in which a task waits.
func queueKindOf(t task.Task) queueKind {
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

// tierOf returns the tier in which a queue is served.
func tierOf(k queueKind) int {
	switch k {
	case kindLookup:
		return tierLookup
	case kindService:
		return tierService
	default:
		return tierShared
	}
}

// fifo is a first-in, first-out queue. Items removed from its middle stay in it
// until peek skips them.
type fifo struct {
	items []*queueItem
	head  int // index of the first item
	live  int // number of items not removed
}

func (f *fifo) push(it *queueItem) {
	f.items = append(f.items, it)
	f.live++
}

// pushFront adds an item at the head.
func (f *fifo) pushFront(it *queueItem) {
	f.live++
	if f.head > 0 {
		f.head--
		f.items[f.head] = it
		return
	}
	f.items = append([]*queueItem{it}, f.items...)
}

// peek returns the first live item, or nil.
func (f *fifo) peek() *queueItem {
	for f.head < len(f.items) {
		if it := f.items[f.head]; !it.removed {
			return it
		}
		f.items[f.head] = nil
		f.head++
	}
	f.items, f.head = f.items[:0], 0
	return nil
}

// remove marks an item as removed, for peek to skip.
func (f *fifo) remove(it *queueItem) {
	it.removed = true
	f.live--
	if f.head > 1024 && f.head*2 > len(f.items) {
		f.items = append(f.items[:0], f.items[f.head:]...)
		f.head = 0
	}
}

// team holds the queues, limits and use of one team.
type team struct {
	name           string
	limit          int       // no task is started while this many run
	hardLimit      int       // tasks are stopped while more than this many run
	capped         bool      // limit and hardLimit apply
	overLimitSince time.Time // when running was first seen above hardLimit; zero if it is not
	running        int       // started tasks
	runningLookups int       // started lookups
	sendsLookups   bool      // a lookup of the team has been started
	waiting        int       // queued tasks
	queues         [kindCount]fifo
	pass           [kindCount]float64 // stride scheduling: the queue with the lowest value is next
	tierEntries    [tierCount]tierEntry
}

// tierEntry is a team's entry in the heap of one tier.
type tierEntry struct {
	team    *team
	tier    int
	key     float64 // weighted usage of the team
	index   int     // position in the heap, -1 if absent
	atLimit bool    // kept out of the heap because the team is at its limit
}

// team returns the team with the given name and creates it if necessary.
func (c *Core) team(name string) *team {
	t := c.teams[name]
	if t == nil {
		t = &team{name: name}
		for i := range t.tierEntries {
			t.tierEntries[i] = tierEntry{team: t, tier: i, index: -1}
		}
		c.teams[name] = t
	}
	return t
}

// remainingLimit returns how many more of the team's tasks may run here.
func (t *team) remainingLimit() int {
	if !t.capped {
		return int(^uint(0) >> 1)
	}
	return t.limit - t.running
}

// remainingLimitIn returns how many more of the team's tasks may run here in a
// tier. A team that sends lookups and has a limit of two or more keeps one task
// of the limit free for them while none runs.
func (t *team) remainingLimitIn(tier int) int {
	if tier != tierLookup && t.capped && t.sendsLookups && t.limit > 1 && t.runningLookups == 0 {
		return t.remainingLimit() - 1
	}
	return t.remainingLimit()
}

// hasQueued reports whether the team has queued tasks in the tier.
func (t *team) hasQueued(tier int) bool {
	for k := range kindCount {
		if tierOf(k) == tier && t.queues[k].live > 0 {
			return true
		}
	}
	return false
}

// queueItem is the unit of placement: one task, or all tasks of a gang.
type queueItem struct {
	team         *team
	kind         queueKind
	entries      []*taskEntry
	submitted    time.Time // when it was submitted
	blockedSince time.Time // when placeNext first marked it as blocked; zero before
	seq          uint64    // order of arrival
	removed      bool      // no longer in its queue
	reservation  *reservation
}

// tier is a heap of the teams with queued tasks in the tier, by weighted usage.
type tier struct{ entries []*tierEntry }

func (t *tier) Len() int { return len(t.entries) }
func (t *tier) Less(i, j int) bool {
	a, b := t.entries[i], t.entries[j]
	if a.key != b.key {
		return a.key < b.key
	}
	return a.team.name < b.team.name
}
func (t *tier) Swap(i, j int) {
	t.entries[i], t.entries[j] = t.entries[j], t.entries[i]
	t.entries[i].index, t.entries[j].index = i, j
}
func (t *tier) Push(x any) {
	s := x.(*tierEntry)
	s.index = len(t.entries)
	t.entries = append(t.entries, s)
}
func (t *tier) Pop() any {
	last := len(t.entries) - 1
	s := t.entries[last]
	t.entries[last] = nil
	t.entries = t.entries[:last]
	s.index = -1
	return s
}

// enqueue adds an item to its team's queue.
func (c *Core) enqueue(it *queueItem, front bool) {
	t := it.team
	q := &t.queues[it.kind]
	if q.live == 0 {
		c.resumePass(t, it.kind)
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

// resumePass raises the pass value of a queue that was empty to the lowest of its
// tier's other queues, so that it does not make up for the turns it did not use.
func (c *Core) resumePass(t *team, k queueKind) {
	lowest, found := 0.0, false
	for other := range kindCount {
		if other == k || tierOf(other) != tierOf(k) || t.queues[other].live == 0 {
			continue
		}
		if !found || t.pass[other] < lowest {
			lowest, found = t.pass[other], true
		}
	}
	t.pass[k] = max(t.pass[k], lowest)
}

// dequeue removes an item from its queue, at any position, and releases its
// reservation.
func (c *Core) dequeue(it *queueItem) {
	t := it.team
	t.queues[it.kind].remove(it)
	t.waiting -= len(it.entries)
	c.waiting -= len(it.entries)
	c.releaseReservation(it)
	tier := tierOf(it.kind)
	if te := &t.tierEntries[tier]; te.index >= 0 && !t.hasQueued(tier) {
		heap.Remove(&c.tiers[tier], te.index)
	}
}

// activate adds a team to a tier's heap if it has queued tasks in the tier and is
// not held back by its limit.
func (c *Core) activate(t *team, tier int) {
	te := &t.tierEntries[tier]
	if te.index >= 0 || te.atLimit || !t.hasQueued(tier) {
		return
	}
	te.key = c.ledger.WeightedUsage(t.name)
	heap.Push(&c.tiers[tier], te)
}

// deactivate removes a team that is at its limit from a tier's heap.
func (c *Core) deactivate(t *team, tier int) {
	te := &t.tierEntries[tier]
	te.atLimit = true
	if te.index >= 0 {
		heap.Remove(&c.tiers[tier], te.index)
	}
}

// reactivate adds a team to the heaps again after its use fell or its limit rose.
func (c *Core) reactivate(t *team) {
	for tier := range t.tierEntries {
		if t.tierEntries[tier].atLimit {
			t.tierEntries[tier].atLimit = false
			c.activate(t, tier)
		}
	}
}

// updateWeightedUsage moves a team within the heaps after its use changed.
func (c *Core) updateWeightedUsage(t *team) {
	key, known := 0.0, false
	for tier := range t.tierEntries {
		te := &t.tierEntries[tier]
		if te.index < 0 {
			continue
		}
		if !known {
			key, known = c.ledger.WeightedUsage(t.name), true
		}
		te.key = key
		heap.Fix(&c.tiers[tier], te.index)
	}
}

// updateWeightedUsages updates the weighted usage of every team in the heaps.
func (c *Core) updateWeightedUsages() {
	for i := range c.tiers {
		for _, te := range c.tiers[i].entries {
			te.key = c.ledger.WeightedUsage(te.team.name)
		}
		heap.Init(&c.tiers[i])
	}
}
