package cell

import (
	"cmp"
	"log/slog"
	"slices"
	"time"
)

const (
	// firstWaitLogDelay is how long a gang waits before its first log line. The
	// delay doubles after each line, so that many gangs do not fill the log.
	firstWaitLogDelay = 2 * time.Second
	// spareShare is the room on spare workers for which a gang also requests tickets,
	// as a fraction of the room that its members need.
	spareShare = 0.5
)

// This file places gangs. A gang needs room for all its members at the same time,
// on the few workers that may run it. On a full fleet, small tasks would take each
// part of that room as it becomes free. So the workers that can hold the gang
// soonest are reserved for it; until then they run only tasks that end in time.

// assignment is a number of a gang's members on one worker.
type assignment struct {
	*candidate
	n int
}

// placeGang starts all members at once, or reserves the workers that can hold them
// soonest.
func (c *Cell) placeGang(p *round, pool *servicePool, s *step) {
	if s.tasksWithRuns > 0 {
		c.noteMemberWait(s)
		if s.waitsForLostMembers() {
			c.requestTicketsAhead(pool, s)
		}
		return
	}
	if s.hasHeldTask() {
		c.requestTicketsAhead(pool, s)
		c.logGangWait(s, "an earlier owner may run it", 0)
		return
	}
	if !c.mayTry(s.tasks[0]) {
		c.logGangWait(s, "tasks of its class crash workers", len(c.crashes.onProbation))
		return
	}
	assignments, ready := c.prepareGang(p, pool, s)
	if !ready {
		if s.roomExpectedAt <= c.now.Steady+quotaReserveHorizon && !c.exceedsCeiling(s.job.spec) && c.fitsOnEmptyWorkers(pool, s) {
			// Quota that the team's other runs release is also reserved for the gang.
			p.reserveQuota(s)
		}
		return
	}
	s.claim = claim{}
	s.lastRun++
	next := 0
	for _, assigned := range assignments {
		for range assigned.n {
			t := s.tasks[next]
			t.lastRun = s.lastRun
			c.placeTask(t, assigned.w, s.lastRun)
			assigned.take(s.need())
			next++
		}
	}
	c.takeLongRoom(pool, s, next)
	c.logPlaced(s, next, 0)
	c.logBackAgain(s)
}

// prepareGang returns the assignments of a gang that can start now. Otherwise it
// requests advice or reserves workers, depending on what the gang waits for.
func (c *Cell) prepareGang(p *round, pool *servicePool, s *step) ([]assignment, bool) {
	s.roomExpectedAt = c.now.Steady
	if !c.hasAttemptsLeft(s, 0) {
		c.logGangWait(s, "a lost run may have failed for the last time", len(s.ended))
		return nil, false
	}
	if !s.advice.answered() {
		c.requestAdvice(pool, s, len(s.tasks))
		c.logAdviceWait(s, "it waits for advice")
		return nil, false
	}
	if allowed := c.remainingQuota(p, s); allowed < len(s.tasks) {
		c.logGangWait(s, "the team is at its ceiling", allowed)
		return nil, false
	}
	if allowed := c.longStartsAllowed(pool, s.queue.Service, s); allowed < len(s.tasks) {
		c.logGangWait(s, "room is kept for urgent demand", allowed)
		return nil, false
	}
	assignments, spare := c.assignMembers(pool, s)
	if memberCount(assignments) < len(s.tasks) || c.waitsForFaster(p, pool, s, assignments) {
		c.reserveForGang(p, pool, s)
		return nil, false
	}
	if !s.hasTickets(assignments, c.now.Steady) {
		p.reserve(s, assignments, c.now.Steady)
		c.renewTickets(s, append(assignments, spare...))
		c.logAdviceWait(s, "it waits for tickets")
		return nil, false
	}
	if !s.job.stored {
		p.reserve(s, assignments, c.now.Steady)
		c.logGangWait(s, "its acceptance is not stored", 0)
		return nil, false
	}
	return assignments, true
}

// fitsOnEmptyWorkers reports whether the workers known to be allowed to run the gang would
// hold it if they were empty. No quota is reserved for a gang that cannot run.
func (c *Cell) fitsOnEmptyWorkers(pool *servicePool, s *step) bool {
	members := 0
	for _, cand := range pool.mayRunOn(s) {
		if s.eligibleOn(cand.w) {
			members += s.room(cand.w, cand.w.Capacity)
		}
		if members >= len(s.tasks) {
			return true
		}
	}
	return false
}

// assignMembers assigns the members to workers with room. It prefers workers with a ticket,
// then those that a call in flight names, then as few workers as possible, and on an uneven
// fleet workers of like speed before all. If there is not enough room, not all members are
// assigned; otherwise it also returns spare assignments.
func (c *Cell) assignMembers(pool *servicePool, s *step) (assignments, spare []assignment) {
	duration := c.queueStats(s.queue.Name).expectedDuration(s.spec.Estimate)
	free, onProbation := 0, 0
	for _, cand := range pool.mayRunOn(s) {
		n := s.room(cand.w, cand.free)
		if n == 0 || cand.blocks(c.now.Steady, cand.w.duration(duration)) || !s.eligibleOn(cand.w) {
			continue
		}
		if !c.mayShare(s.tasks[0], cand.w) {
			onProbation += n
			continue
		}
		free += n
		assignments = append(assignments, assignment{cand, n})
	}
	if free < len(s.tasks) && free+onProbation >= len(s.tasks) {
		c.withhold(s.tasks[0])
	}
	trial := c.trialOf(s.tasks[0])
	preference := func(w *worker) int {
		penalty := 3 * s.workerPenalty(w, c.now.Steady)
		switch {
		case s.advice.hasTicket(w, c.now.Steady):
			return penalty
		case s.advice.expectsTicket(w, c.now.Steady):
			return penalty + 1
		default:
			return penalty + 2
		}
	}
	slices.SortStableFunc(assignments, func(a, b assignment) int {
		return cmp.Or(cmp.Compare(a.w.onTrial(), b.w.onTrial()), cmp.Compare(trial.penalty(a.w), trial.penalty(b.w)), cmp.Compare(preference(a.w), preference(b.w)), cmp.Compare(b.n, a.n))
	})
	if s.spec.RackLocal {
		if onRack := singleRack(assignments, len(s.tasks)); onRack != nil {
			assignments = onRack
		}
	} else if c.uneven[s.queue.Service] > 0 {
		if inBand := c.chooseBand(s, assignments); inBand != nil {
			assignments = inBand
		}
	}
	return splitSpare(assignments, len(s.tasks))
}

// splitSpare returns the assignments that hold count members, and spare assignments.
// Spare ones are needed because the workers that have room change during a call to the
// advice service.
func splitSpare(assignments []assignment, count int) (first, spare []assignment) {
	i := 0
	for left := count; i < len(assignments) && left > 0; i++ {
		assignments[i].n = min(assignments[i].n, left)
		left -= assignments[i].n
	}
	first, spare = assignments[:i:i], assignments[i:]
	j := 0
	for extra := spareShare * float64(count); j < len(spare) && extra > 0; j++ {
		extra -= float64(spare[j].n)
	}
	return first, spare[:j]
}

// hasTickets reports whether there are valid tickets for all assignments, or none
// are needed.
func (s *step) hasTickets(assignments []assignment, now Instant) bool {
	return !slices.ContainsFunc(assignments, func(a assignment) bool { return !s.advice.hasTicket(a.w, now) })
}

// memberCount returns the number of members in the assignments.
func memberCount(assignments []assignment) int {
	n := 0
	for _, a := range assignments {
		n += a.n
	}
	return n
}

// fitsIfUnknownEligible reports whether the workers with room now would hold the gang if all
// workers without an answer were eligible. The caller requests advice about each of
// these once.
func (c *Cell) fitsIfUnknownEligible(pool *servicePool, s *step) bool {
	duration := c.queueStats(s.queue.Name).expectedDuration(s.spec.Estimate)
	members := 0
	for _, cand := range pool.candidates {
		eligible, known := s.advice.lookup(cand.w)
		if (eligible || !known) && !cand.blocks(c.now.Steady, cand.w.duration(duration)) && cand.w.hasLabel(s.spec.Label) {
			members += s.room(cand.w, cand.free)
		}
		if members >= len(s.tasks) {
			return true
		}
	}
	return false
}

// logAdviceWait logs a gang's wait for the advice service, or for a host to call it
// from. The logged number is the time since the call in milliseconds, or the number
// of long calls in flight.
func (c *Cell) logAdviceWait(s *step, why string) {
	if s.advice.asking() {
		c.logGangWait(s, why, int((c.now.Steady - s.advice.askedAt).Milliseconds()))
	} else {
		c.logGangWait(s, "no host is free for its call", len(c.longCalls))
	}
}

// logGangWait logs what a gang waits for, at increasing intervals. The meaning of n
// depends on the reason.
func (c *Cell) logGangWait(s *step, why string, n int) {
	c.noteGangWait(s, why)
	if s.waitLogDelay == 0 {
		s.waitLogDelay, s.nextWaitLog = firstWaitLogDelay, c.now.Steady+firstWaitLogDelay
	}
	if c.now.Steady < s.nextWaitLog {
		return
	}
	s.waitLogDelay *= 2
	s.nextWaitLog = c.now.Steady + s.waitLogDelay
	c.logInfo("gang waits", slog.String("step", s.name), slog.Int("members", len(s.tasks)), slog.String("why", why), slog.Int("n", n), slog.Int("rank", s.rank))
}

// remainingTime estimates how long a run still occupies its worker.
func (c *Cell) remainingTime(r *run) time.Duration {
	s := r.task.step
	if s.job.spec == nil || r.state == stopping || r.roomFor != nil {
		return c.StopTimeout
	}
	if s.spec.LongRunning {
		return time.Hour
	}
	if s.spec.Gang {
		// Members that have finished their work wait for the others.
		if s.gangRemainingAt != c.now.Steady {
			s.gangRemainingAt, s.gangRemaining = c.now.Steady, 0
			for _, t := range s.tasks {
				for _, member := range t.runs {
					s.gangRemaining = max(s.gangRemaining, c.remainingWork(member))
				}
			}
		}
		return s.gangRemaining
	}
	return c.remainingWork(r)
}

// remainingWork estimates how long a run still has work to do.
func (c *Cell) remainingWork(r *run) time.Duration {
	s := r.task.step
	stats := c.queueStats(s.queue.Name)
	if r.confirmedAt == 0 {
		return r.w.duration(stats.expectedDuration(s.spec.Estimate))
	}
	age := c.now.Steady - r.confirmedAt
	if r.resumed {
		// The percentage includes work of earlier runs, so it gives no duration.
		return max(0, time.Duration(float64(r.w.duration(stats.expectedDuration(s.spec.Estimate)))*(1-r.doneShare()))-(c.now.Steady-r.progressAt))
	}
	if r.percent > 0 {
		// The percentage is exact only at the time at which it last changed.
		totalDuration := time.Duration(float64(r.progressAt-r.confirmedAt) * 100 / float64(r.percent))
		return max(0, totalDuration-age)
	}
	done := time.Duration(float64(age) * r.w.workSpeed())
	return r.w.duration(stats.remainingDuration(s.spec.Estimate, done))
}

// workerPenalty orders workers for a gang: workers on another rack than its data come
// last; within the same rack preference, those that are still slow after their start,
// then those on which its first member has failed.
func (s *step) workerPenalty(w *worker, now Instant) int {
	penalty := 0
	if s.spec.Rack != "" && w.Rack != s.spec.Rack {
		penalty = 4
	}
	if w.cold(now) {
		penalty += 2
	}
	if s.tasks[0].avoid[w.ID] {
		penalty++
	}
	return penalty
}

// hasHeldTask reports whether a member may still have a run of an earlier owner.
func (s *step) hasHeldTask() bool {
	for _, t := range s.tasks {
		if t.heldFor != "" {
			return true
		}
	}
	return false
}

// singleRack returns the assignments of one rack that holds the whole gang, or nil.
func singleRack(assignments []assignment, members int) []assignment {
	racks := map[string][]assignment{}
	total := map[string]int{}
	var best []assignment
	for _, a := range assignments {
		rack := a.w.Rack
		racks[rack] = append(racks[rack], a)
		total[rack] += a.n
		if total[rack] >= members && (best == nil || len(racks[rack]) < len(best)) {
			best = racks[rack]
		}
	}
	return best
}
