package placement

import (
	"sort"
	"time"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/storage"
)

const (
	// silentAfter is how long a worker may leave its reports out before nothing
	// new is sent to it.
	silentAfter = 3 * time.Second
	// renewBackoff is the pause after a failed renewal.
	renewBackoff = 500 * time.Millisecond
)

// node is a worker that this entry host owns.
type node struct {
	host    storage.Host
	index   int
	used    resource.Vector // booked for tasks of this entry host
	foreign resource.Vector // taken by tasks of earlier owners
	excess  resource.Vector // used beyond what was declared
	entries map[string]*entry
	free    int64 // slots counted into Core.free

	leaving    bool
	owned      bool
	since      time.Time // when it became owned
	reported   time.Time // when the last report was asked for; zero before the first
	suspected  time.Time // when a start was last left unanswered
	renewing   bool      // a Renew is on its way
	renewAgain time.Time
	lapse      time.Time // when unrenewed tasks have ended at the worker
	after      uint64    // sequence number of the last outcome read
	hold       *hold
	record     failureRecord
}

// capacityFor returns how many tasks of the given need the empty worker holds.
func (n *node) capacityFor(need resource.Vector) int {
	count := 0
	for left := n.host.Room; need.Fits(left) && count < int(n.host.Room.Slots); count++ {
		left = left.Sub(need)
	}
	return count
}

// usable reports whether new tasks may be sent to the worker.
func (n *node) usable(now time.Time) bool {
	return n.owned && !n.leaving && !n.reported.IsZero() && now.Sub(n.reported) < silentAfter &&
		n.reported.After(n.suspected)
}

// nothing fits into no room at all.
var noRoom = resource.Vector{Slots: -1}

// refresh brings the trees up to date with a worker's room.
func (c *Core) refresh(n *node) {
	general, spare, slots := noRoom, noRoom, int64(0)
	if n.usable(c.now) {
		left := n.host.Room.Sub(n.used).Sub(n.foreign).Sub(n.excess)
		if !left.Negative() {
			slots = left.Slots
			general, spare = c.visible(n, left)
		}
	}
	c.free += slots - n.free
	n.free = slots
	if n.index < c.general.Len() && c.general.Get(n.index) == general && c.spare.Get(n.index) == spare {
		return
	}
	c.general.Set(n.index, general)
	c.spare.Set(n.index, spare)
	c.dirty = true
}

// visible returns the room that the two trees show for a usable worker.
func (c *Core) visible(n *node, left resource.Vector) (general, spare resource.Vector) {
	if n.record.quarantined(c.now) || n.record.probing && len(n.entries) > 0 {
		return noRoom, noRoom
	}
	if n.hold != nil {
		return noRoom, left
	}
	return left, left
}

// setWorkers takes a new list of owned workers. Workers that are no longer
// owned keep their tasks' entries until those end or lapse.
func (c *Core) setWorkers(ev Workers) {
	listed := make(map[string]bool, len(ev.List))
	changed := false
	for _, h := range ev.List {
		listed[h.Name] = true
		n := c.nodes[h.Name]
		if n == nil {
			n = &node{entries: map[string]*entry{}}
			c.nodes[h.Name] = n
			changed = true
		}
		if !n.owned {
			n.since = c.now
		}
		changed = changed || !n.owned || n.host.Rack != h.Rack || n.host.Room != h.Room
		n.host, n.owned = h, true
		n.leaving = h.State == storage.StateLeaving
	}
	for name, n := range c.nodes {
		if listed[name] {
			continue
		}
		if n.owned && n.lapse.IsZero() {
			n.lapse = c.lapseFromNow()
		}
		n.owned = false
		if len(n.entries) == 0 {
			delete(c.nodes, name)
			changed = true
		}
	}
	if changed {
		c.reindex()
		return
	}
	for _, n := range c.order {
		c.refresh(n)
	}
}

// reindex gives every worker its place in the trees, rack by rack.
func (c *Core) reindex() {
	c.order = c.order[:0]
	for _, n := range c.nodes {
		c.order = append(c.order, n)
	}
	sort.Slice(c.order, func(i, j int) bool {
		a, b := c.order[i].host, c.order[j].host
		if a.Rack != b.Rack {
			return a.Rack < b.Rack
		}
		return a.Name < b.Name
	})
	oldLen := c.general.Len()
	clear(c.racks)
	c.free, c.total, c.largest, c.cursor = 0, resource.Vector{}, resource.Vector{}, 0
	for i, n := range c.order {
		n.index, n.free = i, 0
		c.refresh(n)
		s, ok := c.racks[n.host.Rack]
		if !ok {
			s.lo = i
		}
		s.hi = i + 1
		c.racks[n.host.Rack] = s
		if n.owned {
			c.total = c.total.Add(n.host.Room)
			c.largest = c.largest.Max(n.host.Room)
		}
	}
	for i := len(c.order); i < oldLen; i++ {
		c.general.Set(i, noRoom)
		c.spare.Set(i, noRoom)
	}
	c.ledger.SetTotal(c.total)
	c.dirty = true
}

func (c *Core) setAuthority(ev Authority) {
	if ev.Until.After(c.authority) {
		c.dirty = true
	}
	c.authority = ev.Until
}

// watchWorkers renews leases, notices silent workers and gives up the tasks
// whose leases have lapsed there.
func (c *Core) watchWorkers() {
	for _, n := range c.order {
		if !n.lapse.IsZero() && c.now.After(n.lapse) {
			c.loseTasks(n)
		}
		c.refresh(n)
		if n.owned && !n.renewing && !c.now.Before(n.renewAgain) {
			c.renew(n)
		}
	}
}

// renew sends a renewal. A silent worker's tasks are left out, so that their
// leases lapse and they can run elsewhere.
func (c *Core) renew(n *node) {
	n.renewing = true
	r := Renew{Worker: n.host, After: n.after, NotAfter: c.now.Add(c.Policy.StartWindow)}
	silent := !n.reported.IsZero() && c.now.Sub(n.reported) >= silentAfter
	if !silent && c.now.Before(c.authority) {
		for id := range n.entries {
			r.Tasks = append(r.Tasks, id)
		}
		sort.Strings(r.Tasks)
		n.lapse = time.Time{}
	} else if n.lapse.IsZero() && len(n.entries) > 0 {
		n.lapse = c.lapseFromNow()
	}
	c.emit(r)
}

// lapseFromNow returns when every task has ended that is renewed no more: the
// last renewal may reach its worker StartWindow from now.
func (c *Core) lapseFromNow() time.Time {
	return c.now.Add(c.Policy.lapse())
}

// ReadSince reports whether every worker owned has answered a renewal that was
// sent at t or later, so that all that had ended there by then is known. A worker
// that has been silent for as long as leases take to lapse is passed over.
func (c *Core) ReadSince(t time.Time) bool {
	for _, n := range c.order {
		heard := n.reported
		if heard.Before(n.since) {
			heard = n.since
		}
		if n.owned && n.reported.Before(t) && c.now.Sub(heard) <= c.Policy.lapse() {
			return false
		}
	}
	return true
}

func (c *Core) renewFailed(ev RenewFailed) {
	if n := c.nodes[ev.Worker]; n != nil {
		n.renewing = false
		n.renewAgain = c.now.Add(renewBackoff)
	}
}

// loseTasks gives up the tasks of a worker whose leases have lapsed.
func (c *Core) loseTasks(n *node) {
	n.lapse = time.Time{}
	for id, e := range n.entries {
		c.end(id, storage.Outcome{Task: id, Attempt: e.task.Attempt, End: EndLost, Message: "worker " + n.host.Name + " is silent"})
	}
}

// suspect sends nothing new to a worker until it reports again.
func (c *Core) suspect(n *node) {
	n.suspected = c.now
	c.refresh(n)
}

// takeReport compares what a worker runs with what was sent to it.
func (c *Core) takeReport(ev Reported) {
	n := c.nodes[ev.Worker]
	if n == nil {
		return
	}
	n.renewing = false
	n.renewAgain = time.Time{}
	if ev.Sent.After(n.reported) {
		n.reported = ev.Sent
	}
	if ev.Report.Next < n.after {
		n.after = 0 // the worker restarted and counts anew
	}
	n.after = ev.Report.Next
	for _, o := range ev.Report.Ended {
		switch e := c.entries[o.Task]; {
		case e == nil:
			c.emit(Stray{Outcome: o})
		case e.node == n:
			c.end(o.Task, o)
		case e.state == stateQueued && len(e.item.entries) == 1 && (o.End == storage.EndDone || o.End == storage.EndFailed):
			c.dequeue(e.item) // an earlier start of it has ended after all
			delete(c.entries, o.Task)
			c.emit(Finish{Task: e.task, Outcome: o, Worker: n.host.Name})
		}
	}
	c.compareRunning(n, ev)
	c.compareUsage(n, ev.Report.Usage)
	c.refresh(n)
	if n.owned {
		c.renew(n)
	}
}

// compareRunning finds the room that other owners' tasks take, and the tasks of
// ours that the worker does not run.
func (c *Core) compareRunning(n *node, ev Reported) {
	n.foreign = resource.Vector{}
	runs := make(map[string]int, len(ev.Report.Running))
	for _, r := range ev.Report.Running {
		runs[r.Task] = r.Attempt
		if e := n.entries[r.Task]; e == nil || e.task.Attempt != r.Attempt {
			n.foreign = n.foreign.Add(r.Need)
		}
	}
	for id, e := range n.entries {
		if attempt, ok := runs[id]; ok && attempt == e.task.Attempt {
			if e.state == stateUnknown && e.task.Job != "" {
				e.state = stateRunning
			}
			continue
		}
		settled := ev.Sent.After(e.notAfter.Add(c.Policy.ClockMargin))
		if settled && (e.state == stateRunning || e.state == stateUnknown) {
			c.end(id, storage.Outcome{Task: id, Attempt: e.task.Attempt, End: EndLost, Message: "worker " + n.host.Name + " does not run it"})
		}
	}
}

// compareUsage counts memory and processors that tasks use beyond their
// declared need as taken.
func (c *Core) compareUsage(n *node, usage []storage.Usage) {
	n.excess = resource.Vector{}
	for _, u := range usage {
		e := n.entries[u.Task]
		if e == nil {
			continue
		}
		over := u.Used.Sub(e.task.Need)
		n.excess = n.excess.Add(resource.Vector{MemoryMB: max(0, over.MemoryMB)})
	}
	left := n.host.Room.Sub(n.used).Sub(n.foreign)
	n.excess.MemoryMB = min(n.excess.MemoryMB, max(0, left.MemoryMB))
}
