package cell

import (
	"log/slog"
)

// handleRestart handles the restart of a worker: its results are numbered from 1
// again. It drops no runs, because starts may have reached the new incarnation before
// the restart was noticed; the worker's reports show which runs are lost.
func (c *Cell) reborn(w *worker) {
	c.note("worker restarted", slog.String("worker", w.ID), slog.Int("runs", len(w.runs)))
	w.seen, w.ackable, w.acked, w.ackSent = 0, 0, 0, 0
	w.life++
	w.rebornAt = c.now.Steady
	w.observed = 0
	clear(w.strays)
}

// removeLostWorker removes a worker that certainly runs nothing any more, and drops
// its runs.
func (c *Cell) loseWorker(w *worker, why string) {
	c.note("worker lost", slog.String("worker", w.ID), slog.String("why", why), slog.Int("runs", len(w.runs)))
	for _, r := range w.runs {
		c.dropLost(r)
	}
	c.release(w.ID)
	c.strike(w)
	c.book.rosterOpen = true
}

// checkRuns repeats unanswered stops, and stops runs that make no progress.
func (c *Cell) tendRuns() {
	now := c.now.Steady
	for _, w := range c.roll {
		for _, r := range w.runs {
			switch {
			case r.state == stopping, r.state == unsettled && r.stopSent > 0:
				c.halt(r)
			case r.state == starting && now-r.sent > startPatience:
				r.state = unsettled
			case r.state == running && c.stuck(r):
				c.note("run stands still", slog.String("task", r.task.name), slog.Uint64("run", r.n), slog.String("worker", w.ID), slog.Int("percent", r.percent))
				w.pausedTo = now + unhealthyPause*3
				c.halt(r)
			}
		}
	}
}

// stuck reports whether a run has made no progress for too long. Members of a gang
// work and end together: none begins its work before all are there, and one that has
// finished its work waits for the others.
func (c *Cell) stuck(r *run) bool {
	s := r.task.step
	if s.spec.LongRunning || s.spec.Fills || r.w.failing || r.percent >= 100 {
		return false
	}
	if c.now.Steady-r.movedAt < max(stuckAfter, s.spec.Estimate/20) || c.now.Steady-r.w.answered >= lookWait {
		return false
	}
	return !s.spec.Gang || r.percent > 0 || s.begun()
}

// hasProgress reports whether a member of a gang has made progress.
func (s *step) begun() bool {
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
func (c *Cell) lookAround() {
	now := c.now.Steady
	for _, w := range c.roll {
		if w.looking || !w.busy() {
			continue
		}
		gap := lookGap
		if w.failing {
			gap = lookRetry
		}
		if now-w.lookedAt < gap && w.lookedAt > 0 || w.seen > w.ackable && now-w.reported < ackGap {
			continue
		}
		c.look(w)
	}
}

// poll asks a worker for its report, and renews its leases while it answers.
func (c *Cell) look(w *worker) {
	now := c.now.Steady
	w.looking, w.lookedAt = true, now
	effect := Look{Order: c.order(w)}
	if !w.failing { // a failing worker may have restarted and number its results from 1 again
		effect.Ack = w.ackable
	}
	if w.synced && !w.failing {
		effect.Wait = lookWait
		for _, r := range w.runs {
			if r.state == unsettled || r.state == stopping {
				effect.Wait = 0
			}
		}
		if len(w.strays) > 0 || len(w.runs) == 0 {
			effect.Wait = 0
		}
	}
	if length := c.leaseLength(); w.synced && length > 0 && (!w.failing || now-w.answered < silentAfter*2) {
		effect.LeaseUntil = w.lease(now, length)
	}
	w.ackSent = effect.Ack
	c.emit(effect)
}
