package cell

import (
	"log/slog"

	"github.com/cowslipgap/cowslipgap/speed"
)

// handleRestart handles the restart of a worker: its results are numbered from 1
// again. It drops no runs, because starts may have reached the new incarnation before
// the restart was noticed; the worker's reports show which runs are lost.
func (c *Cell) handleRestart(w *worker) {
	c.logInfo("worker restarted", slog.String("worker", w.ID), slog.Int("runs", len(w.runs)))
	c.noteRestart(w)
	w.lastProcessed, w.lastStored, w.lastAcked, w.ackable, w.ackableUntil = 0, 0, 0, 0, 0
	w.incarnation++
	if w.unsureLeaseEnd > 0 { // by now, the new life has got what was sent to it
		w.leaseEnd = max(w.leaseEnd, c.now.Steady+maxLeaseTime(c.MaxLease))
		w.unsureGrantAt, w.unsureLeaseEnd = 0, 0
	}
	w.restartSeenAt = c.now.Steady
	w.speed = speed.Estimate{}
	clear(w.strays)
	for r := range w.eachRun {
		if r.confirmedAt == 0 {
			r.stopAckedAt = 0 // this life does not know of the stop, and the start may still reach it
		}
	}
}

// removeLostWorker removes a worker that certainly runs nothing any more, and drops
// its runs.
func (c *Cell) removeLostWorker(w *worker, why string) {
	c.logLoss("worker lost", w, slog.String("why", why), slog.Int("runs", len(w.runs)))
	for r := range w.eachRun {
		c.logGivenUp(r, why)
		c.dropLostRun(r, "worker lost")
	}
	c.releaseHeld(w.ID, releasedByLoss)
	c.removeWorker(w)
	c.commits.rosterDirty = true
}

// checkRuns repeats unanswered stops, and stops runs that make no progress.
func (c *Cell) checkRuns() {
	now := c.now.Steady
	for _, w := range c.sortedWorkers {
		for r := range w.eachRun {
			switch {
			case r.state == stopping, r.state == unconfirmed && r.stopSentAt > 0:
				c.stopRun(r)
			case r.state == placing && c.startsTooLate(r):
				c.abortGang(r, "placement not stored in time")
			case r.state == starting && now-r.sentAt > startTimeout:
				r.state = unconfirmed
			case r.state == running && c.stuck(r):
				c.logInfo("run stands still", slog.String("task", r.task.name), slog.Uint64("run", r.number), slog.String("worker", w.ID), slog.Int("percent", r.percent))
				w.pausedUntil = now + unhealthyPause*3
				c.stopRun(r)
			}
		}
	}
}

// stuck reports whether a run has made no progress for too long, by the clock of its
// worker. By this host's clock, a run would also seem stuck if the host was suspended and
// then read a report from before. Members of a gang work and end together: none begins its
// work before all have started, and one that has finished its work waits for the others.
func (c *Cell) stuck(r *run) bool {
	s := r.task.step
	if s.spec.LongRunning || s.spec.UsesIdleCPU || r.w.failing || r.percent >= 100 {
		return false
	}
	if r.aliveAt < r.w.reportedAt {
		return false // it is in no list, as its end did not fit into the report
	}
	if r.progressClock == 0 || r.w.reportClock-r.progressClock < max(stuckAfter, s.spec.Estimate/20) || c.now.Steady-r.w.answeredAt >= pollWait {
		return false
	}
	return !s.spec.Gang || r.percent > 0 || s.hasProgress()
}

// hasProgress reports whether a member of a gang has made progress.
func (s *step) hasProgress() bool {
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if r.percent > 0 {
				return true
			}
		}
	}
	return false
}

// pollWorkers polls the workers that are due.
func (c *Cell) pollWorkers() {
	now := c.now.Steady
	for _, w := range c.sortedWorkers {
		if w.pollInFlight && !w.probeDue() || !w.needsPoll() {
			continue
		}
		interval := pollInterval
		if w.failing {
			interval = c.retryInterval(w)
		}
		if now-w.polledAt < interval && w.polledAt > 0 || w.lastProcessed > w.lastStored && now-w.reportedAt < ackDelay {
			continue
		}
		c.poll(w)
	}
}

// mayAcknowledge reports whether results are acknowledged: not to a worker that may have started
// again since its last report. It would number its results from 1 again, and forget them
// unread.
func (w *worker) mayAcknowledge(now Instant) bool {
	return !w.failing && w.lastAcked < w.lastStored && now <= w.ackableUntil
}

// poll asks a worker for its report, and renews its leases unless the last poll got no answer.
func (c *Cell) poll(w *worker) {
	now := c.now.Steady
	w.pollInFlight, w.polledAt = true, now
	effect := Poll{Command: c.command(w)}
	if w.mayAcknowledge(now) {
		effect.Ack = w.lastStored
	}
	length, unsure := c.leaseLengthOn(w), w.unsureGrantAt > 0
	if w.synced && !w.failing && length > 0 {
		effect.LeaseUntil = c.grantLease(w, length)
		// A life that has not been noticed could keep its lease for longer; the report tells.
		unsure = unsure || w.unsureLeaseEnd > w.leaseEnd
	}
	if w.synced && !w.failing {
		effect.Wait = min(pollWait, max(minPollWait, length/pollsPerLease))
		if w.endsSoon {
			effect.Wait = minPollWait
		}
		for _, r := range w.runsByAge {
			if r.state == unconfirmed || r.state == stopping {
				effect.Wait = 0
			}
		}
		if len(w.strays) > 0 || len(w.runs) == 0 || unsure {
			effect.Wait = 0
		}
	}
	c.emit(effect)
}
