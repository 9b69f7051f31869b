package placement

import (
	"container/heap"
	"time"

	"github.com/cowslipgap/cowslipgap/class"
	"github.com/cowslipgap/cowslipgap/refusal"
	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/room"
)

const (
	// maxMisses bounds how many teams one pass tries in vain, and so its cost.
	maxMisses = 8
	// fullPassEvery is the pause between passes that try every team, for those
	// that stand behind teams whose work finds no room.
	fullPassEvery = time.Second
)

// schedule places what can be placed now.
func (c *Core) schedule() {
	if !c.dirty || !c.now.Before(c.authority) {
		return
	}
	c.dirty = false
	if c.Policy.Baseline != "" {
		c.scheduleBaseline()
		return
	}
	c.placeHeld()
	c.fullPass = c.now.Sub(c.lastFullPass) >= fullPassEvery
	for tier := range c.tiers {
		c.scheduleTier(tier)
	}
	if c.fullPass {
		c.lastFullPass = c.now
	}
	c.dirty = false // what was placed took room and gave none
}

// scheduleTier serves the teams of a tier, the one furthest below its share first.
func (c *Core) scheduleTier(index int) {
	t := &c.tiers[index]
	missed := c.missed[:0]
	for t.Len() > 0 && (len(missed) < maxMisses || c.fullPass) {
		slot := t.slots[0]
		if slot.team.roomIn(index) <= 0 {
			c.park(slot.team, index)
			continue
		}
		if c.placeNext(slot.team, index, len(missed) == 0) {
			continue
		}
		missed = append(missed, heap.Pop(t).(*tierSlot))
	}
	for _, slot := range missed {
		heap.Push(t, slot)
	}
	c.missed = missed
}

// placeNext places the team's next item in the tier, trying the heads of its
// queues in the order of their turns. If the team is first in line, what finds
// no room is marked as missed.
func (c *Core) placeNext(t *team, tier int, first bool) bool {
	var tried [kindCount]bool
	for {
		k, ok := t.nextKind(tier, &tried)
		if !ok {
			return false
		}
		tried[k] = true
		it := t.queues[k].peek()
		if it == nil {
			continue
		}
		if len(it.entries) > t.roomIn(tier) {
			if it.missed.IsZero() {
				it.missed = c.now
			}
			if c.now.Sub(it.missed) >= c.Policy.HoldAfter && len(it.entries) <= t.limit {
				return false // the team gathers room under its limit for a gang
			}
			continue
		}
		if c.place(it) {
			t.turn[k] += stride[k]
			return true
		}
		if first && it.missed.IsZero() {
			it.missed = c.now
		}
	}
}

// nextKind returns the untried queue whose turn it is. Urgent work goes first.
func (t *team) nextKind(tier int, tried *[kindCount]bool) (kind, bool) {
	best, found := kind(0), false
	for k := range kindCount {
		if tierOf(k) != tier || tried[k] || t.queues[k].live == 0 {
			continue
		}
		if k == kindUrgent {
			return k, true
		}
		if !found || t.turn[k] < t.turn[best] {
			best, found = k, true
		}
	}
	return best, found
}

// place starts all tasks of an item, or none.
func (c *Core) place(it *item) bool {
	if len(it.entries) > 1 {
		return c.placeGang(it)
	}
	e := it.entries[0]
	if !c.leavesReserve(e.task.Class, e.task.Need.Slots) {
		return false
	}
	i := c.find(e)
	if i == room.NotFound {
		return false
	}
	c.dequeue(it)
	c.start(e, c.order[i])
	return true
}

// placeGang finds a worker for every task of the gang before it starts any.
func (c *Core) placeGang(it *item) bool {
	need := it.entries[0].task.Need
	if !c.leavesReserve(class.Gang, need.Slots*int64(len(it.entries))) {
		return false
	}
	chosen := make([]int, 0, len(it.entries))
	for _, e := range it.entries {
		i := c.find(e)
		if i == room.NotFound {
			break
		}
		c.general.Set(i, c.general.Get(i).Sub(need))
		chosen = append(chosen, i)
	}
	for _, i := range chosen {
		c.refresh(c.order[i])
	}
	if len(chosen) < len(it.entries) {
		return false
	}
	c.dequeue(it)
	for j, e := range it.entries {
		c.start(e, c.order[chosen[j]])
	}
	return true
}

// leavesReserve reports whether enough slots stay free for lookups. Services
// and all patient work keep out of the reserve.
func (c *Core) leavesReserve(cl class.Class, slots int64) bool {
	return cl == class.Lookup || c.free-slots >= c.reserve()
}

// reserve is how many slots are kept for lookups, by their measured need.
func (c *Core) reserve() int64 {
	if c.Policy.Baseline != "" {
		return 0
	}
	most := int64(float64(c.total.Slots) * c.Policy.LookupReserve)
	return min(max(1, c.lookups.spareNeeded()), most)
}

// find returns the index of the worker that suits the task best.
func (c *Core) find(e *entry) int {
	need := e.task.Need
	if e.task.Rack != "" {
		s := c.racks[e.task.Rack]
		return c.general.First(s.lo, s.hi, need)
	}
	switch e.task.Class {
	case class.Lookup:
		return c.findSpread(need)
	case class.Service:
		return c.findService(e)
	default:
		return c.general.First(0, len(c.order), need)
	}
}

// findSpread goes round the workers, so that lookups meet little company.
func (c *Core) findSpread(need resource.Vector) int {
	i := c.spare.First(c.cursor, len(c.order), need)
	if i == room.NotFound {
		i = c.spare.First(0, c.cursor, need)
	}
	if i != room.NotFound {
		c.cursor = i + 1
	}
	return i
}

// spread is where the tasks of a service run.
type spread struct {
	byRack map[string]int
	cursor int // index of the worker after the last one chosen
	tasks  int
}

// spreadChoices is how many racks with room are compared for a service's task.
const spreadChoices = 4

// findService looks at the next few racks with room, going round, and takes the
// one that runs the fewest tasks of the same job.
func (c *Core) findService(e *entry) int {
	s := c.services[e.task.Job]
	cursor := 0
	if s != nil {
		cursor = s.cursor % len(c.order)
	}
	best, bestCount := room.NotFound, 0
	from := cursor
	for range spreadChoices {
		i := c.firstFrom(from, e.task.Need)
		if i == room.NotFound {
			break
		}
		rack := c.order[i].host.Rack
		count := 0
		if s != nil {
			count = s.byRack[rack]
		}
		if best == room.NotFound || count < bestCount {
			best, bestCount = i, count
		}
		if count == 0 {
			break
		}
		from = c.racks[rack].hi % len(c.order)
	}
	return best
}

// firstFrom returns the first worker with room at or after an index, going round.
func (c *Core) firstFrom(from int, need resource.Vector) int {
	if i := c.general.First(from, len(c.order), need); i != room.NotFound {
		return i
	}
	return c.general.First(0, from, need)
}

// noteService counts a service's task that starts or ends on a worker.
func (c *Core) noteService(e *entry, n *node, change int) {
	s := c.services[e.task.Job]
	if s == nil {
		s = &spread{byRack: map[string]int{}}
		c.services[e.task.Job] = s
	}
	s.byRack[n.host.Rack] += change
	s.tasks += change
	if change > 0 {
		s.cursor = c.racks[n.host.Rack].hi
	}
	if s.tasks == 0 {
		delete(c.services, e.task.Job)
	}
}

// start books the task's room on a worker and has it started.
func (c *Core) start(e *entry, n *node) {
	t := c.team(e.task.Team)
	e.task.Attempt++
	e.state = stateStarting
	e.node = n
	e.started = c.now
	e.notAfter = c.now.Add(c.Policy.StartWindow)
	if e.notAfter.After(c.authority) {
		e.notAfter = c.authority
	}
	e.stopping = false
	n.used = n.used.Add(e.task.Need)
	n.entries[e.task.ID] = e
	t.running++
	c.ledger.Add(e.task.Team, e.task.Need)
	if e.task.Class == class.Lookup {
		c.lookups.add(c.now)
		t.lookups++
		t.looksUp = true
	}
	if e.task.Class == class.Service {
		c.noteService(e, n, 1)
	}
	c.refresh(n)
	c.rekey(t)
	c.emit(Start{Task: e.task, Worker: n.host, NotAfter: e.notAfter})
}

// deadline is an entry of the heap of tasks that must start by a time.
type deadline struct {
	at    time.Time
	entry *entry
}

// deadlines is a heap, the earliest first. Tasks that have started stay in it
// until their time comes.
type deadlines []deadline

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].at.Before(d[j].at) }
func (d deadlines) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *deadlines) Push(x any)        { *d = append(*d, x.(deadline)) }
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	(*d)[last] = deadline{}
	*d = (*d)[:last]
	return x
}

// expire refuses what has waited past its deadline.
func (c *Core) expire() {
	for len(c.deadlines) > 0 && !c.now.Before(c.deadlines[0].at) {
		e := heap.Pop(&c.deadlines).(deadline).entry
		if e.state != stateQueued || c.entries[e.task.ID] != e {
			continue
		}
		c.dequeue(e.item)
		for _, m := range e.item.entries {
			delete(c.entries, m.task.ID)
			c.emit(Refuse{Task: m.task, Refusal: refusal.New(refusal.DeadlinePassed, "no room until its deadline").After(c.estimate(m.task))})
		}
	}
}
