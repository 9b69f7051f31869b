package placement

import (
	"container/heap"
	"time"

	"github.com/cowslipgap/cowslipgap/capacity"
	"github.com/cowslipgap/cowslipgap/class"
	"github.com/cowslipgap/cowslipgap/refusal"
	"github.com/cowslipgap/cowslipgap/resource"
)

const (
	// maxBlockedTeams limits how many teams without a placeable item one cycle
	// tries in a tier, to limit its cost.
	maxBlockedTeams = 8
	// fullCycleInterval is the interval between cycles that try every team. They
	// serve the teams that are ordered behind blocked ones.
	fullCycleInterval = time.Second
)

// schedule runs one scheduling cycle: it places the queue items that can start now.
func (c *Core) schedule() {
	if !c.dirty || !c.now.Before(c.authorityUntil) {
		return
	}
	c.dirty = false
	if c.Policy.Baseline != "" {
		c.scheduleBaseline()
		return
	}
	c.placeReserved()
	c.fullCycle = c.now.Sub(c.lastFullCycle) >= fullCycleInterval
	for tier := range c.tiers {
		c.scheduleTier(tier)
	}
	if c.fullCycle {
		c.lastFullCycle = c.now
	}
	c.dirty = false // placements set it, but they free no capacity
}

// scheduleTier places the items of a tier, starting with the team that is
// furthest below its share.
func (c *Core) scheduleTier(index int) {
	t := &c.tiers[index]
	blocked := c.blocked[:0]
	for t.Len() > 0 && (len(blocked) < maxBlockedTeams || c.fullCycle) {
		te := t.entries[0]
		if te.team.remainingLimitIn(index) <= 0 {
			c.deactivate(te.team, index)
			continue
		}
		if c.placeNext(te.team, index, len(blocked) == 0) {
			continue
		}
		blocked = append(blocked, heap.Pop(t).(*tierEntry))
	}
	for _, te := range blocked {
		heap.Push(t, te)
	}
	c.blocked = blocked
}

// placeNext places the team's next item in the tier. It tries the heads of the
// team's queues in the order of their pass values. If first is set, no team
// before this one was blocked, and items that cannot be placed are marked as
// blocked. Gangs above the team's remaining limit are always marked.
func (c *Core) placeNext(t *team, tier int, first bool) bool {
	var tried [kindCount]bool
	for {
		k, ok := t.nextQueue(tier, &tried)
		if !ok {
			return false
		}
		tried[k] = true
		it := t.queues[k].peek()
		if it == nil {
			continue
		}
		if len(it.entries) > t.remainingLimitIn(tier) {
			if it.blockedSince.IsZero() {
				it.blockedSince = c.now
			}
			if c.now.Sub(it.blockedSince) >= c.Policy.ReserveAfter && len(it.entries) <= t.limit {
				return false // start nothing else until the gang is within the limit
			}
			continue
		}
		if c.place(it) {
			t.pass[k] += stride[k]
			return true
		}
		if first && it.blockedSince.IsZero() {
			it.blockedSince = c.now
		}
	}
}

// nextQueue returns the untried queue with the lowest pass value. Urgent tasks go
// first.
func (t *team) nextQueue(tier int, tried *[kindCount]bool) (queueKind, bool) {
	best, found := queueKind(0), false
	for k := range kindCount {
		if tierOf(k) != tier || tried[k] || t.queues[k].live == 0 {
			continue
		}
		if k == kindUrgent {
			return k, true
		}
		if !found || t.pass[k] < t.pass[best] {
			best, found = k, true
		}
	}
	return best, found
}

// place starts all tasks of an item or none, and reports which.
func (c *Core) place(it *queueItem) bool {
	if len(it.entries) > 1 {
		return c.placeGang(it)
	}
	e := it.entries[0]
	if !c.keepsLookupReserve(e.task.Class, e.task.Need.Slots) {
		return false
	}
	i := c.findWorker(e)
	if i == capacity.NotFound {
		return false
	}
	c.dequeue(it)
	c.start(e, c.workers[i])
	return true
}

// placeGang finds a worker for every task of the gang before it starts any.
func (c *Core) placeGang(it *queueItem) bool {
	need := it.entries[0].task.Need
	if !c.keepsLookupReserve(class.Gang, need.Slots*int64(len(it.entries))) {
		return false
	}
	chosen := make([]int, 0, len(it.entries))
	for _, e := range it.entries {
		i := c.findWorker(e)
		if i == capacity.NotFound {
			break
		}
		c.generalTree.Set(i, c.generalTree.Get(i).Sub(need))
		chosen = append(chosen, i)
	}
	for _, i := range chosen {
		c.updateCapacity(c.workers[i])
	}
	if len(chosen) < len(it.entries) {
		return false
	}
	c.dequeue(it)
	for j, e := range it.entries {
		c.start(e, c.workers[chosen[j]])
	}
	return true
}

// keepsLookupReserve reports whether a task of the class may take the slots. All
// classes but lookups must leave the lookup reserve free.
func (c *Core) keepsLookupReserve(cl class.Class, slots int64) bool {
	return cl == class.Lookup || c.freeSlots-slots >= c.lookupReserve()
}

// lookupReserve returns how many slots are kept free for lookups, according to
// their measured demand.
func (c *Core) lookupReserve() int64 {
	if c.Policy.Baseline != "" {
		return 0
	}
	limit := int64(float64(c.totalCapacity.Slots) * c.Policy.LookupReserve)
	return min(max(1, c.lookupDemand.slotsToReserve()), limit)
}

// findWorker returns the index of the worker to run the task on, or capacity.NotFound.
func (c *Core) findWorker(e *taskEntry) int {
	need := e.task.Need
	if e.task.Rack != "" {
		s := c.racks[e.task.Rack]
		return c.generalTree.First(s.lo, s.hi, need)
	}
	switch e.task.Class {
	case class.Lookup:
		return c.findForLookup(need)
	case class.Service:
		return c.findForService(e)
	default:
		return c.generalTree.First(0, len(c.workers), need)
	}
}

// findForLookup returns the index of a worker for a lookup. It chooses workers in
// round-robin order, so that lookups are spread over them.
func (c *Core) findForLookup(need resource.Vector) int {
	i := c.lookupTree.First(c.lookupCursor, len(c.workers), need)
	if i == capacity.NotFound {
		i = c.lookupTree.First(0, c.lookupCursor, need)
	}
	if i != capacity.NotFound {
		c.lookupCursor = i + 1
	}
	return i
}

// serviceSpread records where the tasks of a service run.
type serviceSpread struct {
	tasksByRack map[string]int
	cursor      int // index of the first worker after the rack chosen last
	tasks       int // in all racks
}

// maxRackChoices limits how many racks with enough free capacity are compared for
// a task of a service.
const maxRackChoices = 4

// findForService compares the next racks with enough free capacity, in round-robin
// order, and returns the index of a worker in the rack that runs the fewest tasks
// of the job.
func (c *Core) findForService(e *taskEntry) int {
	s := c.services[e.task.Job]
	cursor := 0
	if s != nil {
		cursor = s.cursor % len(c.workers)
	}
	best, bestCount := capacity.NotFound, 0
	from := cursor
	for range maxRackChoices {
		i := c.firstFrom(from, e.task.Need)
		if i == capacity.NotFound {
			break
		}
		rack := c.workers[i].info.Rack
		count := 0
		if s != nil {
			count = s.tasksByRack[rack]
		}
		if best == capacity.NotFound || count < bestCount {
			best, bestCount = i, count
		}
		if count == 0 {
			break
		}
		from = c.racks[rack].hi % len(c.workers)
	}
	return best
}

// firstFrom returns the index of the first worker with enough free capacity at or
// after from, continuing at index 0 after the last worker.
func (c *Core) firstFrom(from int, need resource.Vector) int {
	if i := c.generalTree.First(from, len(c.workers), need); i != capacity.NotFound {
		return i
	}
	return c.generalTree.First(0, from, need)
}

// countServiceTask adds change to the number of the service's tasks on the
// worker's rack: 1 for a start, -1 for an end.
func (c *Core) countServiceTask(e *taskEntry, w *worker, change int) {
	s := c.services[e.task.Job]
	if s == nil {
		s = &serviceSpread{tasksByRack: map[string]int{}}
		c.services[e.task.Job] = s
	}
	s.tasksByRack[w.info.Rack] += change
	s.tasks += change
	if change > 0 {
		s.cursor = c.racks[w.info.Rack].hi
	}
	if s.tasks == 0 {
		delete(c.services, e.task.Job)
	}
}

// start allocates capacity on a worker to the task and emits its start.
func (c *Core) start(e *taskEntry, w *worker) {
	t := c.team(e.task.Team)
	e.task.Attempt++
	e.state = stateStarting
	e.worker = w
	e.started = c.now
	e.notAfter = c.now.Add(c.Policy.StartWindow)
	if e.notAfter.After(c.authorityUntil) {
		e.notAfter = c.authorityUntil
	}
	e.stopping = false
	w.used = w.used.Add(e.task.Need)
	w.entries[e.task.ID] = e
	t.running++
	c.ledger.Add(e.task.Team, e.task.Need)
	if e.task.Class == class.Lookup {
		c.lookupDemand.add(c.now)
		t.runningLookups++
		t.sendsLookups = true
	}
	if e.task.Class == class.Service {
		c.countServiceTask(e, w, 1)
	}
	c.updateCapacity(w)
	c.updateWeightedUsage(t)
	c.emit(Start{Task: e.task, Worker: w.info, NotAfter: e.notAfter})
}

// deadline is the time by which a task must start.
type deadline struct {
	at    time.Time
	entry *taskEntry
}

// deadlines is a heap, the earliest first. Tasks that have started or ended stay
// in it until their deadline.
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

// refuseOverdue refuses the queued tasks whose deadline has passed.
func (c *Core) refuseOverdue() {
	for len(c.deadlines) > 0 && !c.now.Before(c.deadlines[0].at) {
		e := heap.Pop(&c.deadlines).(deadline).entry
		if e.state != stateQueued || c.entries[e.task.ID] != e {
			continue
		}
		c.dequeue(e.item)
		for _, m := range e.item.entries {
			delete(c.entries, m.task.ID)
			c.emit(Refuse{Task: m.task, Refusal: refusal.New(refusal.DeadlinePassed, "no worker had enough free capacity before the deadline").WithRetryAfter(c.estimate(m.task))})
		}
	}
}
