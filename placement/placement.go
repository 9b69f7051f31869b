// Package placement decides which task runs on which worker. It is a pure state
// machine: [Core.Update] takes an event and the current time and returns effects
// for the runtime to carry out. It does no input or output, starts no goroutine
// and reads no clock.
//
// A Core places tasks on the workers that its entry host owns. Lookups are
// placed first, then services, then all other classes, starting with the team
// that is furthest below its share. Within a team, urgent tasks go first; after
// them, large requests, small requests, gangs and batch tasks are placed in the
// ratio 8:2:1:1. If a task waits too long for capacity, a worker is reserved for
// it, and for a gang several if necessary. Batch tasks may be checkpointed to give
// a team back the part of its share that other teams use, or to start urgent tasks.
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

	"github.com/cowslipgap/cowslipgap/capacity"
	"github.com/cowslipgap/cowslipgap/class"
	"github.com/cowslipgap/cowslipgap/fairshare"
	"github.com/cowslipgap/cowslipgap/refusal"
	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/storage"
	"github.com/cowslipgap/cowslipgap/task"
)

// Core holds the placement state of one entry host. The zero Core is ready to
// use; it places nothing before it has workers and authority.
type Core struct {
	Policy Policy

	now            time.Time
	authorityUntil time.Time // tasks may be started before this time
	effects        []Effect

	workersByName   map[string]*worker
	workers         []*worker             // sorted by rack and name; a worker's position is its index in the trees
	racks           map[string]indexRange // positions of each rack's workers in workers
	generalTree     capacity.Tree         // free capacity for all classes but lookups
	lookupTree      capacity.Tree         // free capacity for lookups, including reserved workers
	lookupCursor    int                   // index at which the search for the next lookup starts
	totalCapacity   resource.Vector       // capacity of all owned workers
	largestCapacity resource.Vector       // largest capacity of an owned worker in each dimension
	freeSlots       int64                 // free slots on usable workers
	waiting         int                   // queued tasks
	lookupDemand    lookupDemand
	failures        failureRate

	entries      map[string]*taskEntry // by task ID
	teams        map[string]*team
	tiers        [tierCount]tier
	ledger       fairshare.Ledger
	reservations []*reservation
	services     map[string]*serviceSpread // by job
	deadlines    deadlines
	runTimes     map[runTimeKey]*movingAverage
	seq          uint64 // of the newest queue item
	dirty        bool   // a queued item may have become placeable

	blocked       []*tierEntry // buffer that every cycle reuses
	fullCycle     bool         // this cycle tries every team
	lastFullCycle time.Time
}

// indexRange is the half-open range of indexes [lo, hi).
type indexRange struct{ lo, hi int }

// taskState is the stage that a task has reached.
type taskState uint8

const (
	stateQueued   taskState = iota
	stateStarting           // start sent to the worker, no reply yet
	stateRunning            // the worker confirmed the start
	stateUnknown            // the worker did not reply to the start
)

// taskEntry is a queued or started task.
type taskEntry struct {
	task     task.Task
	state    taskState
	item     *queueItem
	worker   *worker
	started  time.Time
	notAfter time.Time // the worker refuses to start it later
	stopping bool      // a Stop was sent
}

// Update applies one event and returns the effects to carry out, in order. The
// time must not decrease from one call to the next. The slice is valid until
// the next call.
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
		c.requeueRefused(ev)
	case Unanswered:
		c.markUnknown(ev)
	case Ended:
		c.endTask(ev.ID, ev.Outcome)
	case Workers:
		c.setWorkers(ev)
	case Reported:
		c.applyReport(ev)
	case RenewFailed:
		c.renewFailed(ev)
	case Teams:
		c.setTeams(ev)
	case RemoteUse:
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
	c.workersByName = map[string]*worker{}
	c.entries = map[string]*taskEntry{}
	c.teams = map[string]*team{}
	c.runTimes = map[runTimeKey]*movingAverage{}
	c.racks = map[string]indexRange{}
	c.services = map[string]*serviceSpread{}
	c.dirty = true
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// submit queues tasks. It refuses them if the team's queues are full, if the tasks
// can never run, or if they are not expected to start before their deadline.
func (c *Core) submit(ev Submit) {
	for _, t := range ev.Tasks {
		if _, ok := c.entries[t.ID]; ok {
			return // already submitted
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
	it := &queueItem{team: c.team(first.Team), kind: queueKindOf(first), submitted: c.now, seq: c.seq}
	for _, t := range ev.Tasks {
		e := &taskEntry{task: t, item: it}
		c.entries[t.ID] = e
		it.entries = append(it.entries, e)
	}
	if !first.Deadline.IsZero() {
		heap.Push(&c.deadlines, deadline{first.Deadline, it.entries[0]})
	}
	c.enqueue(it, false)
}

// admit returns a refusal if the tasks must not be queued, or nil.
func (c *Core) admit(tasks []task.Task) *refusal.Refusal {
	first := tasks[0]
	if r := c.checkCapacity(tasks); r != nil {
		return r
	}
	waiting := c.team(first.Team).waiting
	if waiting+len(tasks) > c.Policy.MaxQueued {
		return refusal.New(refusal.QueueFull, "team %q already has %d tasks waiting", first.Team, waiting).
			WithRetryAfter(c.estimate(first))
	}
	if first.Deadline.IsZero() {
		return nil
	}
	if wait := c.estimate(first); c.now.Add(wait).After(first.Deadline) {
		return refusal.New(refusal.Overloaded, "the estimated wait of %s is longer than the deadline allows", wait.Round(time.Millisecond)).
			WithRetryAfter(wait)
	}
	return nil
}

// checkCapacity returns a refusal if the workers here could not run the tasks
// even if they were empty, or nil.
func (c *Core) checkCapacity(tasks []task.Task) *refusal.Refusal {
	if len(c.workers) == 0 {
		return nil
	}
	need := tasks[0].Need
	fitting := c.maxTasks(need, tasks[0].Rack, len(tasks))
	if fitting >= len(tasks) {
		return nil
	}
	if len(tasks) > 1 {
		return refusal.New(refusal.NeverFits, "the workers of this host can run %d tasks of this size at once, and the job has %d that start together", fitting, len(tasks))
	}
	return refusal.New(refusal.NeverFits, "no worker is large enough for %+v", need)
}

// cancel removes a queued task or stops a started one. It removes a queued gang
// as a whole.
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

// stop asks the task's worker to stop it, with a checkpoint if requested.
func (c *Core) stop(e *taskEntry, checkpoint bool) {
	if e.stopping {
		return
	}
	e.stopping = true
	c.emit(Stop{Worker: e.worker.info, Tasks: []string{e.task.ID}, Checkpoint: checkpoint})
}

// markStarted records that the worker accepted the start.
func (c *Core) markStarted(ev Started) {
	if e := c.entries[ev.ID]; e != nil && e.state == stateStarting && e.task.Attempt == ev.Attempt {
		e.state = stateRunning
		if e.stopping { // the earlier Stop may have reached the worker before the start
			c.emit(Stop{Worker: e.worker.info, Tasks: []string{ev.ID}})
		}
	}
}

// markUnknown keeps the task's capacity allocated until a report shows whether
// the task runs.
func (c *Core) markUnknown(ev Unanswered) {
	if e := c.entries[ev.ID]; e != nil && e.state == stateStarting && e.task.Attempt == ev.Attempt {
		e.state = stateUnknown
		c.suspect(e.worker)
	}
}

// requeueRefused puts a task that did not start back into its queue.
func (c *Core) requeueRefused(ev Refused) {
	e := c.entries[ev.ID]
	if e == nil || e.state == stateQueued || e.task.Attempt != ev.Attempt {
		return
	}
	w := e.worker
	c.releaseResources(e)
	if ev.Leaving {
		w.leaving = true
	} else if ev.Fault {
		c.suspect(w)
	}
	c.updateCapacity(w)
	if e.stopping || e.task.Attempt >= c.Policy.MaxAttempts {
		delete(c.entries, ev.ID)
		c.emit(Refuse{Task: e.task, Refusal: refusal.New(refusal.Overloaded, "%d workers refused the task", e.task.Attempt).WithRetryAfter(time.Second)})
		return
	}
	c.seq++
	e.item = &queueItem{team: c.team(e.task.Team), kind: queueKindOf(e.task), submitted: e.item.submitted, seq: c.seq, entries: []*taskEntry{e}}
	e.state = stateQueued
	c.enqueue(e.item, true)
}

// endTask releases the resources of a task and reports its outcome.
func (c *Core) endTask(id string, outcome storage.Outcome) {
	e := c.entries[id]
	if e == nil || e.state == stateQueued || outcome.Attempt != e.task.Attempt {
		return
	}
	w := e.worker
	c.releaseResources(e)
	c.recordOutcome(w, e, outcome)
	c.updateCapacity(w)
	c.recordRunTime(e, outcome)
	delete(c.entries, id)
	c.emit(Finish{Task: e.task, Outcome: outcome, Worker: w.info.Name})
}

// releaseResources frees the capacity that a started task uses and updates the
// use of its team.
func (c *Core) releaseResources(e *taskEntry) {
	w, t := e.worker, c.team(e.task.Team)
	w.used = w.used.Sub(e.task.Need)
	delete(w.entries, e.task.ID)
	t.running--
	c.ledger.Remove(e.task.Team, e.task.Need)
	if e.task.Class == class.Lookup {
		c.lookupDemand.running--
		t.runningLookups--
	}
	if e.task.Class == class.Service {
		c.countServiceTask(e, w, -1)
	}
	c.reactivate(t)
	c.updateWeightedUsage(t)
	e.worker = nil
	c.dirty = true
}

// tick does the periodic work.
func (c *Core) tick() {
	c.refuseOverdue()
	c.lookupDemand.advance(c.now)
	c.checkWorkers()
	c.updateWeightedUsages()
	c.updateReservations()
	c.preempt()
	c.dirty = true
}
