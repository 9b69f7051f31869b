package cell

import (
	"cmp"
	"log/slog"
	"slices"
	"time"
)

const (
	// missingShare is the share of GangTimeout for which the members of a gang that have
	// been started wait for one that has not. They end by themselves after GangTimeout.
	missingShare = 0.5
	// missingSurplus is the ratio of the room that a call to the advice service asks about
	// to that of the missing members.
	missingSurplus = 2.0
	// freshAnswer is the age of a worker's last answer up to which it is preferred for a
	// missing member. One without runs is not polled, so it may be dead.
	freshAnswer = 500 * time.Millisecond
)

// This file places single members of a gang anew. A wide gang rarely finds workers that all
// take their member, so a member whose start was certainly not carried out gets another
// worker, under the same run number. If there is none in time, the gang is stopped.

// replaceable reports whether a failed start was certainly not carried out, and its run
// number can be used on another worker.
func (f Failure) replaceable() bool {
	switch f {
	case NotSent, Unhealthy, NoRoom, BadTicket, Withheld:
		return true
	default:
		return false
	}
}

// replaceMember lets a member be placed anew whose run was dropped because it has certainly
// not begun. If that is not possible, it stops the gang. A gang of which no start was sent is
// dropped, and placed anew as a whole.
func (c *Cell) replaceMember(r *run, cause string) {
	s := r.task.step
	if !s.spec.Gang || s.done {
		return
	}
	if r.number != s.lastRun || r.state > starting || c.now.Steady >= c.missingUntil(s) {
		c.abortGang(r, cause)
		return
	}
	if r.state != placing {
		c.logGivenUp(r, "member to be placed anew: "+cause)
	}
	s.notStarted = r
}

// missingUntil returns until when members of a gang's last run may be placed anew; 0 if none
// was sent, or one is being stopped.
func (c *Cell) missingUntil(s *step) Instant {
	first := Instant(0)
	for _, t := range s.tasks {
		for _, r := range t.runs {
			switch {
			case r.number != s.lastRun || r.stopSentAt > 0:
				return 0
			case r.state != placing && (first == 0 || r.sentAt < first):
				first = r.sentAt
			}
		}
	}
	if first == 0 {
		return 0
	}
	return first + time.Duration(missingShare*float64(c.GangTimeout))
}

// startsTooLate reports whether a run is of a gang whose other members would not wait for its
// start, which waits for the store.
func (c *Cell) startsTooLate(r *run) bool {
	s := r.task.step
	if !s.spec.Gang || r.number != s.lastRun {
		return false
	}
	until := c.missingUntil(s)
	return until > 0 && c.now.Steady >= until
}

// checkMissingMembers stops the gangs whose missing members found no worker in time, or were
// not placed by the owner before.
func (c *Cell) checkMissingMembers() {
	for _, s := range c.waiting {
		if !s.spec.Gang || s.tasksWithRuns == 0 || s.job.spec == nil {
			continue
		}
		if r := s.notStarted; r != nil && c.now.Steady >= c.missingUntil(s) {
			c.abortGang(r, "no worker for a member")
		}
		if r := s.adoptedRun(); r != nil && s.unstartedTasks() > 0 && !s.hasHeldTask() {
			c.abortGang(r, "a member was not placed")
		}
	}
}

// adoptedRun returns a run of a gang that an earlier owner started and that is not being
// stopped, or nil.
func (s *step) adoptedRun() *run {
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if r.adopted && r.stopSentAt == 0 {
				return r
			}
		}
	}
	return nil
}

// memberEnded handles a result of a gang's member other than done. Its worker ends the members
// that work; those that have not begun would wait in vain.
func (c *Cell) memberEnded(r *run, outcome RunOutcome) {
	s := r.task.step
	c.noteBroken(s)
	if outcome == GangAborted {
		r.task.brokenRun = r.number
	} else {
		c.logGangEnd(r, outcome.cause())
	}
	if s.spec.Gang && (s.notStarted != nil || s.hasUnbegun(r.number)) {
		c.abortGang(r, outcome.cause())
	}
}

// hasUnbegun reports whether a member of a run is not known to have begun.
func (s *step) hasUnbegun(n uint64) bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool {
		return slices.ContainsFunc(t.runs, func(r *run) bool {
			return r.number == n && (r.state == placing || r.state == starting)
		})
	})
}

// runCheckpoint returns the checkpoint for the starts of a gang's run, the same for all.
func (s *step) runCheckpoint(n uint64) string {
	if s.sentRun != n {
		s.sentRun, s.sentCheckpoint = n, s.checkpoint
	}
	return s.sentCheckpoint
}

// placeMissingMembers places the missing members of gangs, before all other steps: the rest
// of each gang holds its room already.
func (c *Cell) placeMissingMembers(p *round) {
	for _, s := range c.waiting {
		if s.notStarted == nil {
			continue
		}
		if s.tasksWithRuns == 0 {
			s.notStarted = nil // placed anew as a whole
			continue
		}
		if pool := p.pools[s.queue.Service]; pool != nil && c.mayPlace(s) {
			c.placeMissing(p, pool, s)
		}
	}
}

// placeMissing places the missing members of a gang for which there are a ticket and room,
// and keeps room and requests tickets for the others.
func (c *Cell) placeMissing(p *round, pool *servicePool, s *step) {
	var missing []*task
	for _, t := range s.tasks {
		if len(t.runs) == 0 {
			missing = append(missing, t)
		}
	}
	allowed := min(len(missing), c.remainingQuota(p, s))
	withTicket, without := c.assignMissing(pool, s, len(missing))
	placed := 0
	for _, a := range withTicket {
		for ; a.n > 0 && placed < allowed; a.n-- {
			t := missing[placed]
			t.lastRun = s.notStarted.number
			c.placeTask(t, a.w, s.notStarted.number)
			a.take(s.need())
			placed++
		}
	}
	c.takeLongRoom(pool, s, placed)
	if placed > 0 {
		c.logInfo("gang members placed anew", slog.String("step", s.name), slog.Uint64("run", s.notStarted.number), slog.Int("members", placed), slog.Int("left", len(missing)-placed))
	}
	left := len(missing) - placed
	if left == 0 {
		s.notStarted = nil
		return
	}
	p.reservedQuota[s.job.team()] = p.reservedQuota[s.job.team()].Add(s.spec.Need.Times(int64(left)))
	if allowed < len(missing) || !s.advice.needed {
		return
	}
	c.requestMissingTickets(pool, s, left)
	p.reserve(s, without, c.now.Steady)
}

// assignMissing assigns missing members to workers that have a ticket and room, as far as
// there are any, and the others to workers without a ticket. It prefers workers like those
// of the gang's other members.
func (c *Cell) assignMissing(pool *servicePool, s *step, missing int) (withTicket, without []assignment) {
	rack, band := s.placedOn()
	var list []assignment
	for _, cand := range pool.mayRunOn(s) {
		if n := s.room(cand.w, cand.free); n > 0 && s.eligibleOn(cand.w) && !cand.w.onProbationForOther(s) && (rack == "" || cand.w.Rack == rack) {
			list = append(list, assignment{cand, n})
			c.probe(cand.w)
		}
	}
	slices.SortStableFunc(list, func(a, b assignment) int {
		return cmp.Or(cmp.Compare(c.staleness(a.w), c.staleness(b.w)), cmp.Compare(s.workerPenalty(a.w, c.now.Steady), s.workerPenalty(b.w, c.now.Steady)),
			cmp.Compare(max(0, band-a.w.speedBand), max(0, band-b.w.speedBand)), cmp.Compare(b.n, a.n))
	})
	for _, a := range list {
		if !s.advice.hasTicket(a.w, c.now.Steady) {
			continue
		}
		if a.n = min(a.n, missing); a.n > 0 {
			withTicket = append(withTicket, a)
			missing -= a.n
		}
	}
	for _, a := range list {
		if s.advice.hasTicket(a.w, c.now.Steady) {
			continue
		}
		if a.n = min(a.n, missing); a.n > 0 {
			without = append(without, a)
			missing -= a.n
		}
	}
	return withTicket, without
}

// staleness is 0 for a worker that has answered a moment ago, 1 for others.
func (c *Cell) staleness(w *worker) int {
	if c.now.Steady-w.answeredAt <= freshAnswer {
		return 0
	}
	return 1
}

// probe polls a worker that has not answered for a while, so that the next member does not
// find it dead as well.
func (c *Cell) probe(w *worker) {
	if c.staleness(w) > 0 && !w.pollInFlight && c.now.Steady-w.polledAt >= pollRetryDelay {
		c.poll(w)
	}
}

// placedOn returns the rack that a rack-local gang's members are on, "" if they are on several
// or on any, and the lowest speed band of their workers.
func (s *step) placedOn() (rack string, band int) {
	first := true
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if first {
				rack, band, first = r.w.Rack, r.w.speedBand, false
			}
			if rack != r.w.Rack {
				rack = ""
			}
			band = min(band, r.w.speedBand)
		}
	}
	if !s.spec.RackLocal {
		rack = ""
	}
	return rack, band
}

// requestMissingTickets requests tickets for missing members, for workers that have room and
// may run them. If they would come too late, it stops the gang.
func (c *Cell) requestMissingTickets(pool *servicePool, s *step, missing int) {
	if s.advice.asking() {
		return
	}
	rack, _ := s.placedOn()
	advice := s.queue.Advice
	var ids []string
	expected := 0.0
	for _, cand := range c.adviceCandidates(pool, s, false) {
		if expected >= missingSurplus*float64(missing) || len(ids) == callSize(advice) {
			break
		}
		if rack == "" || cand.w.Rack == rack {
			ids = append(ids, cand.w.ID)
			expected += cand.expectedTasks
		}
	}
	if len(ids) == 0 {
		return
	}
	if c.now.Steady+advice.Duration(len(ids))+ticketLeadTime > c.missingUntil(s) {
		c.abortGang(s.notStarted, "no worker for a member")
		return
	}
	c.callAdvice(s, ids)
}
