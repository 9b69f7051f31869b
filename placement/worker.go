package placement

import (
	"sort"
	"time"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/storage"
)

const (
	// silentAfter is how long a worker may go without a report before it gets no
	// new tasks.
	silentAfter = 3 * time.Second
	// renewBackoff is the pause after a failed renewal.
	renewBackoff = 500 * time.Millisecond
)

// worker is a worker that this entry host owns, or that it no longer owns but on
// which some of its tasks have not ended.
type worker struct {
	info         storage.Worker
	index        int                   // position in the trees
	used         resource.Vector       // allocated to tasks of this entry host
	usedByOthers resource.Vector       // used by running tasks that are not in entries, such as those of earlier owners
	excessUse    resource.Vector       // memory used by tasks beyond their declared need
	entries      map[string]*taskEntry // started tasks by ID
	freeSlots    int64                 // free slots, included in Core.freeSlots

	leaving          bool // the worker accepts no new tasks
	owned            bool
	ownedSince       time.Time // when it became owned
	lastReport       time.Time // when the renewal that got the last report was sent; zero before the first
	lastStartFailure time.Time // when a start last failed or got no reply
	renewing         bool      // a Renew is in flight
	nextRenewal      time.Time // earliest time of the next Renew
	leaseExpiry      time.Time // when the leases have expired; zero while they are renewed
	lastOutcome      uint64    // sequence number of the last outcome read
	reservation      *reservation
	failures         failureRecord
}

// maxTasks returns how many tasks with the given need the worker could run at
// once if it were empty.
func (w *worker) maxTasks(need resource.Vector) int {
	count := 0
	for left := w.info.Capacity; need.Fits(left) && count < int(w.info.Capacity.Slots); count++ {
		left = left.Sub(need)
	}
	return count
}

// usable reports whether new tasks may be sent to the worker.
func (w *worker) usable(now time.Time) bool {
	return w.owned && !w.leaving && !w.lastReport.IsZero() && now.Sub(w.lastReport) < silentAfter &&
		w.lastReport.After(w.lastStartFailure)
}

// noCapacity is an amount into which no task fits, not even one that needs nothing.
var noCapacity = resource.Vector{Slots: -1}

// updateCapacity updates the trees with a worker's free capacity.
func (c *Core) updateCapacity(w *worker) {
	general, lookup, slots := noCapacity, noCapacity, int64(0)
	if w.usable(c.now) {
		left := w.info.Capacity.Sub(w.used).Sub(w.usedByOthers).Sub(w.excessUse)
		if !left.Negative() {
			slots = left.Slots
			general, lookup = c.treeCapacities(w, left)
		}
	}
	c.freeSlots += slots - w.freeSlots
	w.freeSlots = slots
	if w.index < c.generalTree.Len() && c.generalTree.Get(w.index) == general && c.lookupTree.Get(w.index) == lookup {
		return
	}
	c.generalTree.Set(w.index, general)
	c.lookupTree.Set(w.index, lookup)
	c.dirty = true
}

// treeCapacities returns the free capacity that the two trees hold for a usable
// worker. A worker on probation takes no second task, and one that is reserved
// takes only lookups.
func (c *Core) treeCapacities(w *worker, left resource.Vector) (general, lookup resource.Vector) {
	if w.failures.quarantined(c.now) || w.failures.onProbation && len(w.entries) > 0 {
		return noCapacity, noCapacity
	}
	if w.reservation != nil {
		return noCapacity, left
	}
	return left, left
}

// setWorkers applies a new list of owned workers. Workers that are no longer
// owned are kept until their tasks have ended or the leases have expired.
func (c *Core) setWorkers(ev Workers) {
	listed := make(map[string]bool, len(ev.List))
	changed := false
	for _, h := range ev.List {
		listed[h.Name] = true
		w := c.workersByName[h.Name]
		if w == nil {
			w = &worker{entries: map[string]*taskEntry{}}
			c.workersByName[h.Name] = w
			changed = true
		}
		if !w.owned {
			w.ownedSince = c.now
		}
		changed = changed || !w.owned || w.info.Rack != h.Rack || w.info.Capacity != h.Capacity
		w.info, w.owned = h, true
		w.leaving = h.State == storage.StateLeaving
	}
	for name, w := range c.workersByName {
		if listed[name] {
			continue
		}
		if w.owned && w.leaseExpiry.IsZero() {
			w.leaseExpiry = c.newLeaseExpiry()
		}
		w.owned = false
		if len(w.entries) == 0 {
			delete(c.workersByName, name)
			changed = true
		}
	}
	if changed {
		c.reindex()
		return
	}
	for _, w := range c.workers {
		c.updateCapacity(w)
	}
}

// reindex rebuilds the trees, with the workers sorted by rack and name.
func (c *Core) reindex() {
	c.workers = c.workers[:0]
	for _, w := range c.workersByName {
		c.workers = append(c.workers, w)
	}
	sort.Slice(c.workers, func(i, j int) bool {
		a, b := c.workers[i].info, c.workers[j].info
		if a.Rack != b.Rack {
			return a.Rack < b.Rack
		}
		return a.Name < b.Name
	})
	oldLen := c.generalTree.Len()
	clear(c.racks)
	c.freeSlots, c.totalCapacity, c.largestCapacity, c.lookupCursor = 0, resource.Vector{}, resource.Vector{}, 0
	for i, w := range c.workers {
		w.index, w.freeSlots = i, 0
		c.updateCapacity(w)
		s, ok := c.racks[w.info.Rack]
		if !ok {
			s.lo = i
		}
		s.hi = i + 1
		c.racks[w.info.Rack] = s
		if w.owned {
			c.totalCapacity = c.totalCapacity.Add(w.info.Capacity)
			c.largestCapacity = c.largestCapacity.Max(w.info.Capacity)
		}
	}
	for i := len(c.workers); i < oldLen; i++ {
		c.generalTree.Set(i, noCapacity)
		c.lookupTree.Set(i, noCapacity)
	}
	c.ledger.SetTotal(c.totalCapacity)
	c.dirty = true
}

// setAuthority sets the time until which tasks may be started.
func (c *Core) setAuthority(ev Authority) {
	if ev.Until.After(c.authorityUntil) {
		c.dirty = true
	}
	c.authorityUntil = ev.Until
}

// checkWorkers renews leases, detects silent workers and ends the tasks whose
// leases have expired.
func (c *Core) checkWorkers() {
	for _, w := range c.workers {
		if !w.leaseExpiry.IsZero() && c.now.After(w.leaseExpiry) {
			c.loseTasks(w)
		}
		c.updateCapacity(w)
		if w.owned && !w.renewing && !c.now.Before(w.nextRenewal) {
			c.renew(w)
		}
	}
}

// renew sends a renewal. It leaves out the tasks of a silent worker, so that
// their leases expire and they can run elsewhere.
func (c *Core) renew(w *worker) {
	w.renewing = true
	r := Renew{Worker: w.info, After: w.lastOutcome, NotAfter: c.now.Add(c.Policy.StartWindow)}
	silent := !w.lastReport.IsZero() && c.now.Sub(w.lastReport) >= silentAfter
	if !silent && c.now.Before(c.authorityUntil) {
		for id := range w.entries {
			r.Tasks = append(r.Tasks, id)
		}
		sort.Strings(r.Tasks)
		w.leaseExpiry = time.Time{}
	} else if w.leaseExpiry.IsZero() && len(w.entries) > 0 {
		w.leaseExpiry = c.newLeaseExpiry()
	}
	c.emit(r)
}

// newLeaseExpiry returns the time by which the tasks of a worker have certainly
// ended if their leases are not renewed from now on. The last renewal sent may
// take up to StartWindow to reach its worker.
func (c *Core) newLeaseExpiry() time.Time {
	return c.now.Add(c.Policy.leaseTimeout())
}

// AllReportedSince reports whether every owned worker has answered a renewal that was
// sent at t or later, so that all tasks that had ended there by t are known. It
// ignores workers that have been silent for longer than leases take to expire.
func (c *Core) AllReportedSince(t time.Time) bool {
	for _, w := range c.workers {
		lastContact := w.lastReport
		if lastContact.Before(w.ownedSince) {
			lastContact = w.ownedSince
		}
		if w.owned && w.lastReport.Before(t) && c.now.Sub(lastContact) <= c.Policy.leaseTimeout() {
			return false
		}
	}
	return true
}

// renewFailed delays the next renewal of a worker that did not answer.
func (c *Core) renewFailed(ev RenewFailed) {
	if w := c.workersByName[ev.Worker]; w != nil {
		w.renewing = false
		w.nextRenewal = c.now.Add(renewBackoff)
	}
}

// loseTasks ends all tasks of a worker as lost after their leases have expired.
func (c *Core) loseTasks(w *worker) {
	w.leaseExpiry = time.Time{}
	for id, e := range w.entries {
		c.endTask(id, storage.Outcome{Task: id, Attempt: e.task.Attempt, End: EndLost, Message: "worker " + w.info.Name + " stopped reporting"})
	}
}

// suspect keeps new tasks off a worker until it reports again.
func (c *Core) suspect(w *worker) {
	w.lastStartFailure = c.now
	c.updateCapacity(w)
}

// applyReport ends the tasks that a worker reports as ended and compares the
// tasks that it runs with those that were sent to it.
func (c *Core) applyReport(ev Reported) {
	w := c.workersByName[ev.Worker]
	if w == nil {
		return
	}
	w.renewing = false
	w.nextRenewal = time.Time{}
	if ev.Sent.After(w.lastReport) {
		w.lastReport = ev.Sent
	}
	if ev.Report.Next < w.lastOutcome {
		w.lastOutcome = 0 // the worker restarted and numbers its outcomes from the start
	}
	w.lastOutcome = ev.Report.Next
	for _, o := range ev.Report.Ended {
		switch e := c.entries[o.Task]; {
		case e == nil:
			c.emit(UnknownTaskEnded{Outcome: o})
		case e.worker == w:
			c.endTask(o.Task, o)
		case e.state == stateQueued && len(e.item.entries) == 1 && (o.End == storage.EndDone || o.End == storage.EndFailed):
			c.dequeue(e.item) // an earlier start of the task took effect
			delete(c.entries, o.Task)
			c.emit(Finish{Task: e.task, Outcome: o, Worker: w.info.Name})
		}
	}
	c.compareRunning(w, ev)
	c.updateExcessUse(w, ev.Report.Usage)
	c.updateCapacity(w)
	if w.owned {
		c.renew(w)
	}
}

// compareRunning computes usedByOthers, and ends as lost the tasks of this owner
// that the worker does not run. It does not end a task whose start window is not
// over, because the start may still reach the worker.
func (c *Core) compareRunning(w *worker, ev Reported) {
	w.usedByOthers = resource.Vector{}
	runs := make(map[string]int, len(ev.Report.Running))
	for _, r := range ev.Report.Running {
		runs[r.Task] = r.Attempt
		if e := w.entries[r.Task]; e == nil || e.task.Attempt != r.Attempt {
			w.usedByOthers = w.usedByOthers.Add(r.Need)
		}
	}
	for id, e := range w.entries {
		if attempt, ok := runs[id]; ok && attempt == e.task.Attempt {
			if e.state == stateUnknown && e.task.Job != "" {
				e.state = stateRunning
			}
			continue
		}
		startWindowOver := ev.Sent.After(e.notAfter.Add(c.Policy.ClockMargin))
		if startWindowOver && (e.state == stateRunning || e.state == stateUnknown) {
			c.endTask(id, storage.Outcome{Task: id, Attempt: e.task.Attempt, End: EndLost, Message: "worker " + w.info.Name + " does not run the task"})
		}
	}
}

// updateExcessUse sets excessUse to the memory that tasks use beyond their declared
// need, limited to the memory that is otherwise free.
func (c *Core) updateExcessUse(w *worker, usage []storage.Usage) {
	w.excessUse = resource.Vector{}
	for _, u := range usage {
		e := w.entries[u.Task]
		if e == nil {
			continue
		}
		over := u.Used.Sub(e.task.Need)
		w.excessUse = w.excessUse.Add(resource.Vector{MemoryMB: max(0, over.MemoryMB)})
	}
	left := w.info.Capacity.Sub(w.used).Sub(w.usedByOthers)
	w.excessUse.MemoryMB = min(w.excessUse.MemoryMB, max(0, left.MemoryMB))
}
