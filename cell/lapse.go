package cell

import (
	"slices"
	"time"
)

// lapseMemory is how long a worker whose leases ran out may take to be back, for its crash to
// count.
const lapseMemory = time.Minute

// This file keeps the runs of workers whose leases ran out while they failed, until it is known
// whether these were cut off or have crashed.

// lapse is a worker whose leases ran out, as it was then.
type lapse struct {
	w    *worker
	lost []lostRun // nil once it is known what became of it
	past pastCrash
}

// noteLapse keeps the runs of a worker whose leases have run out.
func (c *Cell) noteLapse(w *worker) {
	if w.leaving() || w.failingAt == 0 || w.StartedAt == 0 {
		return
	}
	lost := c.lostRuns(w)
	if len(lost) == 0 {
		return
	}
	l := &lapse{w: &worker{WorkerInfo: w.WorkerInfo, failing: true, failingAt: w.failingAt, lostOthers: w.lostOthers}, lost: lost}
	crash, _ := c.crashOf(l.w, l.w.failingAt, lost)
	l.past = c.pastCrash(l.w, crash)
	if c.crashes.lapsed == nil {
		c.crashes.lapsed = map[string]*lapse{}
	}
	c.crashes.lapsed[w.Addr] = l
}

// settleLapse records the crash of a worker whose leases ran out, once another life of it, or
// another worker, is known at its address.
func (c *Cell) settleLapse(info WorkerInfo) {
	l := c.crashes.lapsed[info.Addr]
	if l == nil || l.lost == nil || info.StartedAt == 0 {
		return
	}
	lost := slices.DeleteFunc(l.lost, func(run lostRun) bool { return run.t.over() })
	l.lost = nil
	if info.ID == l.w.ID && info.StartedAt == l.w.StartedAt {
		return // it was cut off
	}
	c.recordCrash(l.w, lost)
}

// pastCrashes returns the latest crashes and the failures that ended in a lapse, in any order.
func (c *Cell) pastCrashes() []pastCrash {
	list := slices.Clone(c.crashes.past)
	for _, l := range c.crashes.lapsed {
		if !slices.ContainsFunc(list, func(p pastCrash) bool { return p.worker == l.past.worker && p.at == l.past.at }) {
			list = append(list, l.past)
		}
	}
	return list
}
