// Package placement decides which task runs where. It is a reducer: [Core.Update]
// takes an event and the time and returns effects for the runtime to carry out.
// It does no input or output, starts no goroutine and reads no clock.
//
// A Core places tasks on the workers that its entry host owns. Lookups go
// first, then services, then everything else by each team's distance from its
// share; within a team, large requests go before small ones in a bounded ratio,
// and both before gangs and batch. A task that waits too long for room gets a
// worker held for it, and batch may be checkpointed to return a lent share or
// to start urgent work.
//
// # Usage
//
//	var c placement.Core
//	c.Update(now, placement.Authority{Until: now.Add(5 * time.Second)})
//	c.Update(now, placement.Workers{List: workers})
//	for _, e := range c.Update(now, placement.Submit{Tasks: []task.Task{t}}) {
//		switch e := e.(type) {
//		case placement.Start:
//			// Send e.Task to e.Worker.
//		}
//	}
//
// Events and effects are plain values; the runtime may record and replay them.
package placement

import (
	"container/heap"
	"time"

	"github.com/cowslipgap/cowslipgap/class"
	"github.com/cowslipgap/cowslipgap/refusal"
	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/room"
	"github.com/cowslipgap/cowslipgap/share"
	"github.com/cowslipgap/cowslipgap/storage"
	"github.com/cowslipgap/cowslipgap/task"
)

// Core is the state of the decisions of one entry host. The zero Core is ready;
// it places nothing before it has workers and authority.
type Core struct {
	Policy Policy

	now       time.Time
	authority time.Time // no start after it
	effects   []Effect

	nodes    map[string]*node
	order    []*node // by rack and name; a node's position is its tree index
	racks    map[string]span
	general  room.Tree // room for all but lookups
	spare    room.Tree // room for lookups, on held workers too
	cursor   int       // where the next lookup starts to search
	total    resource.Vector
	largest  resource.Vector
	free     int64 // slots on usable workers
	waiting  int   // tasks in queues
	lookups  demand
	failures failureRate

	entries   map[string]*entry
	teams     map[string]*team
	tiers     [tierCount]tier
	ledger    share.Ledger
	holds     []*hold
	services  map[string]*spread // by job
	deadlines deadlines
	learned   map[learnedKey]*average
	seq       uint64
	dirty     bool // something may be placeable

	missed       []*tierSlot // reused by every pass
	fullPass     bool        // this pass tries every team
	lastFullPass time.Time
}

// span is a range of indexes, from lo up to but not including hi.
type span struct{ lo, hi int }

// entryState is how far a task has come.
type entryState uint8

const (
	stateQueued   entryState = iota
	stateStarting            // sent to the worker, no answer yet
	stateRunning             // the worker said that it started
	stateUnknown             // the worker did not answer
)

// entry is a task that the Core knows.
type entry struct {
	task     task.Task
	state    entryState
	item     *item
	node     *node
	started  time.Time
	notAfter time.Time
	stopping bool
}

// Update applies one event at the given time, which never goes back, and
// returns the effects in the order in which they are to be carried out. The
// slice is valid until the next call.
func (c *Core) Update(now time.Time, ev Event) []Effect {
	c.init()
	if now.After(c.now) {
		c.now = now
		c.ledger.Advance(now)
	}
	clear(c.effects)
	c.effects = c.effects[:0]
	switch ev := ev.(type) {
	case Submit:
		c.submit(ev)
	case Cancel:
		c.cancel(ev)
	case Started:
		c.markStarted(ev)
	case Refused:
		c.takeRefusal(ev)
	case Unanswered:
		c.markUnknown(ev)
	case Ended:
		c.end(ev.ID, ev.Outcome)
	case Workers:
		c.setWorkers(ev)
	case Reported:
		c.takeReport(ev)
	case RenewFailed:
		c.renewFailed(ev)
	case Teams:
		c.setTeams(ev)
	case Remote:
		c.setRemote(ev)
	case Authority:
		c.setAuthority(ev)
	case Tick:
		c.tick()
	}
	c.schedule()
	return c.effects
}

func (c *Core) init() {
	if c.entries != nil {
		return
	}
	c.Policy.setDefaults()
	c.nodes = map[string]*node{}
	c.entries = map[string]*entry{}
	c.teams = map[string]*team{}
	c.learned = map[learnedKey]*average{}
	c.racks = map[string]span{}
	c.services = map[string]*spread{}
	c.dirty = true
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// submit queues tasks, or refuses them when they can never run or not in time.
func (c *Core) submit(ev Submit) {
	for _, t := range ev.Tasks {
		if _, ok := c.entries[t.ID]; ok {
			return // a repeat of what is already here
		}
	}
	first := ev.Tasks[0]
	if r := c.admit(ev.Tasks); r != nil {
		for _, t := range ev.Tasks {
			c.emit(Refuse{Task: t, Refusal: r})
		}
		return
	}
	c.seq++
	it := &item{team: c.team(first.Team), kind: kindOf(first), since: c.now, seq: c.seq}
	for _, t := range ev.Tasks {
		e := &entry{task: t, item: it}
		c.entries[t.ID] = e
		it.entries = append(it.entries, e)
	}
	if !first.Deadline.IsZero() {
		heap.Push(&c.deadlines, deadline{first.Deadline, it.entries[0]})
	}
	c.enqueue(it, false)
}

// admit says why tasks must not be queued, or returns nil.
func (c *Core) admit(tasks []task.Task) *refusal.Refusal {
	first := tasks[0]
	if r := c.checkFits(tasks); r != nil {
		return r
	}
	waiting := c.team(first.Team).waiting
	if waiting+len(tasks) > c.Policy.MaxQueued {
		return refusal.New(refusal.QueueFull, "team %q already has %d tasks waiting", first.Team, waiting).
			After(c.estimate(first))
	}
	if first.Deadline.IsZero() {
		return nil
	}
	if wait := c.estimate(first); c.now.Add(wait).After(first.Deadline) {
		return refusal.New(refusal.Overloaded, "the wait is about %s, longer than the deadline allows", wait.Round(time.Millisecond)).
			After(wait)
	}
	return nil
}

// checkFits refuses tasks that no worker here could run even if it were empty.
func (c *Core) checkFits(tasks []task.Task) *refusal.Refusal {
	if len(c.order) == 0 {
		return nil
	}
	need := tasks[0].Need
	places := c.capacity(need, tasks[0].Rack, len(tasks))
	if places >= len(tasks) {
		return nil
	}
	if len(tasks) > 1 {
		return refusal.New(refusal.NeverFits, "the workers here hold %d tasks of this size at once, and the job has %d that start together", places, len(tasks))
	}
	return refusal.New(refusal.NeverFits, "no worker has room for %+v", need)
}

// cancel drops a queued task, or stops a running one.
func (c *Core) cancel(ev Cancel) {
	e := c.entries[ev.ID]
	if e == nil {
		return
	}
	if e.state != stateQueued {
		c.stop(e, false)
		return
	}
	c.dequeue(e.item)
	for _, m := range e.item.entries {
		delete(c.entries, m.task.ID)
		c.emit(Refuse{Task: m.task, Refusal: refusal.New(refusal.Cancelled, "cancelled before it started")})
	}
}

// stop asks the task's worker to end it.
func (c *Core) stop(e *entry, checkpoint bool) {
	if e.stopping {
		return
	}
	e.stopping = true
	c.emit(Stop{Worker: e.node.host, Tasks: []string{e.task.ID}, Checkpoint: checkpoint})
}

func (c *Core) markStarted(ev Started) {
	if e := c.entries[ev.ID]; e != nil && e.state == stateStarting && e.task.Attempt == ev.Attempt {
		e.state = stateRunning
		if e.stopping { // the stop may have come before the start
			c.emit(Stop{Worker: e.node.host, Tasks: []string{ev.ID}})
		}
	}
}

// markUnknown keeps the task's room until a report tells what became of it.
func (c *Core) markUnknown(ev Unanswered) {
	if e := c.entries[ev.ID]; e != nil && e.state == stateStarting && e.task.Attempt == ev.Attempt {
		e.state = stateUnknown
		c.suspect(e.node)
	}
}

// takeRefusal queues a task again that certainly did not start.
func (c *Core) takeRefusal(ev Refused) {
	e := c.entries[ev.ID]
	if e == nil || e.state == stateQueued || e.task.Attempt != ev.Attempt {
		return
	}
	n := e.node
	c.release(e)
	if ev.Leaving {
		n.leaving = true
	} else if ev.Fault {
		c.suspect(n)
	}
	c.refresh(n)
	if e.stopping || e.task.Attempt >= c.Policy.MaxAttempts {
		delete(c.entries, ev.ID)
		c.emit(Refuse{Task: e.task, Refusal: refusal.New(refusal.Overloaded, "%d workers refused it", e.task.Attempt).After(time.Second)})
		return
	}
	c.seq++
	e.item = &item{team: c.team(e.task.Team), kind: kindOf(e.task), since: e.item.since, seq: c.seq, entries: []*entry{e}}
	e.state = stateQueued
	c.enqueue(e.item, true)
}

// end releases what a task used and reports its outcome.
func (c *Core) end(id string, outcome storage.Outcome) {
	e := c.entries[id]
	if e == nil || e.state == stateQueued || outcome.Attempt != e.task.Attempt {
		return
	}
	n := e.node
	c.release(e)
	c.judge(n, e, outcome)
	c.refresh(n)
	c.learn(e, outcome)
	delete(c.entries, id)
	c.emit(Finish{Task: e.task, Outcome: outcome, Worker: n.host.Name})
}

// release gives back the room and the share that a started task holds.
func (c *Core) release(e *entry) {
	n, t := e.node, c.team(e.task.Team)
	n.used = n.used.Sub(e.task.Need)
	delete(n.entries, e.task.ID)
	t.running--
	c.ledger.Remove(e.task.Team, e.task.Need)
	if e.task.Class == class.Lookup {
		c.lookups.running--
		t.lookups--
	}
	if e.task.Class == class.Service {
		c.noteService(e, n, -1)
	}
	c.unpark(t)
	c.rekey(t)
	e.node = nil
	c.dirty = true
}

// tick does what depends on time alone.
func (c *Core) tick() {
	c.expire()
	c.lookups.advance(c.now)
	c.watchWorkers()
	c.rekeyAll()
	c.tendHolds()
	c.preempt()
	c.dirty = true
}
