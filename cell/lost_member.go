package cell

import (
	"cmp"
	"log/slog"
	"slices"
	"time"
)

// aheadInterval is the pause between two looks for the workers of a gang that waits for a lost
// member.
const aheadInterval = 50 * time.Millisecond

// This file settles the runs of gang members whose worker does not answer. A worker lists a
// member as broken if another member has ended. Once all members but those on one worker are
// listed so, one of these has ended first, and its worker has ended the others with it or
// broken them itself. Then the gang need not wait for that worker.

// endedRun is a run of a gang that has certainly ended on a worker that has not said how.
type endedRun struct {
	number      uint64
	w           *worker // nil: an earlier owner settled the run
	since       Instant
	until       Instant // when the worker's leases have run out, so that the run counts for nothing
	incarnation int     // of the worker
}

// settleLostMembers drops the runs of lost members that have certainly ended.
func (c *Cell) settleLostMembers() {
	for _, s := range c.waiting {
		if !s.spec.Gang || s.tasksWithRuns == 0 || s.done || s.job.spec == nil {
			continue
		}
		left := s.firstEnded()
		if left == nil {
			continue
		}
		w := left[0].w
		if !w.failing || slices.ContainsFunc(left, c.mayCrash) || !c.hasAttemptsLeft(s, 1) {
			continue
		}
		c.logLoss("lost members have ended", w, slog.String("step", s.name), slog.Uint64("run", left[0].number), slog.Int("members", len(left)))
		w.ended = append(w.ended, left...)
		s.ended = append(s.ended, endedRun{left[0].number, w, c.now.Steady, w.leasesEnd(), w.incarnation})
		for _, r := range left {
			c.logGivenUp(r, "all other members are broken")
			c.dropLostRun(r, "worker lost")
		}
	}
}

// firstEnded returns the runs on one worker of which one has ended before all other members of
// the gang, or nil if there is no such worker.
func (s *step) firstEnded() []*run {
	var left []*run
	for _, t := range s.tasks {
		if len(t.runs) == 0 {
			continue
		}
		r := t.runs[0]
		if len(t.runs) > 1 || r.confirmedAt == 0 || len(left) > 0 && (r.w != left[0].w || r.number != left[0].number || r.stopSentAt > 0 || left[0].stopSentAt > 0) {
			return nil
		}
		left = append(left, r)
	}
	if len(left) == 0 || len(left) == len(s.tasks) {
		return nil
	}
	for _, t := range s.tasks {
		if len(t.runs) == 0 && t.brokenRun != left[0].number {
			return nil
		}
	}
	return left
}

// hasAttemptsLeft reports whether the gang has attempts left even if its lost runs, and as many
// more, have failed. Their workers may still list them, and the failures then count.
func (c *Cell) hasAttemptsLeft(s *step, more int) bool {
	s.ended = slices.DeleteFunc(s.ended, func(e endedRun) bool {
		said := e.w != nil && (e.w.removed || e.w.incarnation != e.incarnation || e.w.reportedAt > e.since && !e.w.resultsLeft)
		return said || c.now.Steady > e.until || slices.Contains(s.failedRuns, e.number)
	})
	limit := s.queue.MaxAttempts
	return limit == 0 || s.spec.LongRunning || len(s.failedRuns)+len(s.ended)+more < limit
}

// waitsForLostMembers reports whether all runs that are left of a gang are on workers that do
// not answer.
func (s *step) waitsForLostMembers() bool {
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if !r.w.failing {
				return false
			}
		}
	}
	return true
}

// lostGangs returns the gangs all of whose members are on workers that do not answer. They are
// not among the waiting steps.
func (c *Cell) lostGangs() []*step {
	var lost []*step
	for _, w := range c.sortedWorkers {
		if !w.failing {
			continue
		}
		for _, r := range w.runsByAge {
			s := r.task.step
			if s.spec.Gang && !s.waiting && !s.done && s.job.spec != nil && !s.job.progress.State.Final() && s.waitsForLostMembers() && !slices.Contains(lost, s) {
				lost = append(lost, s)
			}
		}
	}
	slices.SortFunc(lost, func(a, b *step) int { return cmp.Compare(a.name, b.name) })
	return lost
}

// requestTicketsAhead asks for the tickets of a gang that waits only for what may still run on
// workers that do not answer, so that it can start once that is settled. No room is reserved:
// the wait may last for seconds. While hosts are scarce, others make their calls.
func (c *Cell) requestTicketsAhead(pool *servicePool, s *step) {
	if !s.advice.needed || s.advice.asking() || c.now.Steady < s.aheadCheckAt || c.hostsScarce() || !c.mayTry(s.tasks[0]) {
		return
	}
	s.aheadCheckAt = c.now.Steady + aheadInterval
	if !s.advice.answered() {
		c.requestAdvice(pool, s, len(s.tasks))
		return
	}
	assignments, spare := c.assignMembers(pool, s)
	if memberCount(assignments) < len(s.tasks) {
		c.requestMoreAdvice(pool, s, true)
		return
	}
	callTime := s.queue.Advice.Duration(len(assignments)+len(spare)) + ticketLeadTime
	if !s.hasTickets(assignments, c.now.Steady+callTime) {
		c.renewTickets(s, append(assignments, spare...))
	}
}
