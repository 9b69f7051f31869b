package cell

import (
	"log/slog"
)

// handleListed updates the workers from the store's list. A worker gets no work
// before it is on the stored roster, where a successor would find it.
func (c *Cell) handleListed(e Listed) {
	c.listedOnce = true
	present := make(map[string]bool, len(e.Workers))
	for _, info := range e.Workers {
		present[info.ID] = true
		if c.isReplaced(info) {
			continue
		}
		w := c.workers[info.ID]
		if w == nil {
			w = newWorker(info, c.now.Steady)
			w.clockAt = c.now.Steady
			c.addWorker(w)
			c.commits.rosterDirty = true
		}
		c.updateWorker(w, info)
	}
	c.forgetReplaced(present)
	for _, w := range c.sortedWorkers {
		if !present[w.ID] && w.listed {
			w.listed = false
			c.logInfo("worker left the list", slog.String("worker", w.ID), slog.Int("runs", len(w.runs)))
		}
	}
}

// updateWorker updates a known worker from its entry in the store. An entry that names another
// start than before is of another life; one that still names the same may be older than what
// the worker has said since. Which start is the later one by the worker's clock says nothing,
// as the clock may have been set back.
func (c *Cell) updateWorker(w *worker, info WorkerInfo) {
	if info.Draining && !w.Draining {
		c.logInfo("worker drains", slog.String("worker", w.ID), slog.Int("runs", len(w.runs)))
	}
	startedAt := w.StartedAt
	switch {
	case info.StartedAt == 0 || info.StartedAt == startedAt:
	case startedAt == 0:
		startedAt = info.StartedAt
	case w.listedStart == 0:
		w.synced = false // its next report shows which of the two is the later life
	case info.StartedAt != w.listedStart:
		startedAt = info.StartedAt
		c.handleRestart(w)
		w.synced = false
	}
	if info.StartedAt > 0 {
		w.listedStart = info.StartedAt
	}
	if info.Addr != w.Addr || startedAt != w.StartedAt {
		w.lifeSince = c.now.Steady
	}
	if info.Addr != w.Addr || info.Service != w.Service {
		w.onRoster, c.commits.rosterDirty = false, true // a successor asks at the stored address
	}
	leaving, clock := w.leaving(), w.Clock
	w.WorkerInfo = info
	w.Clock, w.StartedAt = clock, startedAt
	c.readCapacity(w, info.Capacity, info.StartedAt, info.Clock)
	w.listed, w.endsSoon = true, info.Draining
	c.restoreSpeed(w)
	w.evacuated = c.evacuated.Covers(w.Zone)
	c.commits.rosterDirty = c.commits.rosterDirty || leaving != w.leaving()
}

// expireWorkers drops the runs of unreachable workers whose leases have expired, and
// removes workers that have left the list.
func (c *Cell) expireWorkers() {
	now := c.now.Steady
	var gone []*worker
	for _, w := range c.sortedWorkers {
		expired := now > w.leasesEnd() && now > c.recoverBy
		if held := c.held[w.ID]; w.failing && expired && len(w.runs)+len(held) > 0 && now-w.answeredAt > silentAfter*2 {
			c.logLoss("leases ran out", w, slog.Int("runs", len(w.runs)), slog.Int("held", len(held)))
			c.noteLapse(w)
			for r := range w.eachRun {
				c.logGivenUp(r, "leases ran out")
				c.dropLostRun(r, "leases ran out")
			}
			c.releaseHeld(w.ID, releasedByLeases)
		}
		if !w.listed && len(w.runs) == 0 && expired && (w.failing || w.synced) {
			gone = append(gone, w)
		}
	}
	for _, w := range gone {
		c.releaseHeld(w.ID, releasedByRemoval)
		c.removeWorker(w)
		c.commits.rosterDirty = true
	}
}
