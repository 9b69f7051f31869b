package cell

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cowslipgap/cowslipgap/resource"
)

const (
	// maxReservingGangs is how many waiting gangs a placement round reserves workers
	// for. Later ones could not start before these anyway.
	maxReservingGangs = 64
	// ticketLeadTime is added to the expected duration of a call to the advice
	// service, so that tickets arrive before the room is free.
	ticketLeadTime = 100 * time.Millisecond
	// quotaReserveHorizon bounds the expected time until there is room for a gang. For a
	// gang that would wait longer, no quota of its team is reserved. Users accept that
	// a job waits for up to 3 s although there is room for it.
	quotaReserveHorizon = 2 * time.Second
	// reserveHorizon bounds the expected time until there is room for a gang for which workers
	// are reserved while hosts for calls are scarce. Others use them until then. For a gang that
	// has waited longer, the bound is half of its wait.
	reserveHorizon = time.Second
	// freeReserveHorizon bounds reserveHorizon for a late gang while the fleet is mostly free.
	// Users accept that a job waits for up to 3 s although there is room for it.
	freeReserveHorizon = 2 * time.Second
	// overrunFactor is applied to the expected duration of a run when deciding
	// whether it ends before a reservation begins.
	overrunFactor = 1.2
)

// This file reserves workers for gangs that wait for room.

// reserveForGang reserves the workers that can hold the gang soonest, and requests
// tickets for them in time.
func (c *Cell) reserveForGang(p *round, pool *servicePool, s *step) {
	s.roomExpectedAt = math.MaxInt64
	if p.reservationsFull() {
		if s.advice.needed && c.chooseHost(s.queue.Advice, 1) != "" && c.fitsIfUnknownEligible(pool, s) {
			c.requestMoreAdvice(pool, s, true)
		}
		c.logGangWait(s, "room is kept for others", p.reservingGangs)
		return
	}
	openings := c.soonestOpenings(pool, s, c.gangOpenings(pool, s))
	if len(openings) < len(s.tasks) {
		if s.advice.needed {
			c.requestMoreAdvice(pool, s, false)
		}
		c.logGangWait(s, "too few workers may hold it", len(openings))
		return
	}
	if c.takeRoomBack(p, pool, s, openings[len(s.tasks)-1].at, len(s.tasks)) {
		if openings = c.soonestOpenings(pool, s, c.gangOpenings(pool, s)); len(openings) < len(s.tasks) {
			return
		}
	}
	at := openings[len(s.tasks)-1].at
	s.roomExpectedAt = at
	if at > c.now.Steady+c.reserveAhead(pool, s) {
		c.logGangWait(s, "room for it is far off", int((at - c.now.Steady).Milliseconds()))
		if s.advice.needed {
			c.requestMoreAdvice(pool, s, true)
		}
		return
	}
	if !pool.mostlyFree() {
		s.claim = claim{}
	} else if !s.claim.renew(c.now.Steady, at) {
		c.logGangWait(s, "room did not open in time", int((at - c.now.Steady).Milliseconds()))
		if s.advice.needed {
			c.requestMoreAdvice(pool, s, true)
		}
		return
	}
	p.reservingGangs++
	assignments, spare := assignOpenings(openings, len(s.tasks))
	p.reserve(s, assignments, at)
	c.logGangWait(s, "workers are kept for it", int((at - c.now.Steady).Milliseconds()))
	if !s.advice.needed {
		return
	}
	advice := s.queue.Advice
	callTime := advice.Duration(len(assignments)+len(spare)) + ticketLeadTime
	if at > c.now.Steady+callTime {
		c.requestMoreAdvice(pool, s, true) // other workers with room may hold it sooner
		return
	}
	if !s.hasTickets(assignments, c.now.Steady) {
		c.renewTickets(s, append(assignments, spare...))
	}
}

// reserveAhead returns how long before its room is expected workers are reserved for a gang.
// A late one loses little by a start that is later still, so that on a fleet that is mostly
// free it does not keep others from room that they have now.
func (c *Cell) reserveAhead(pool *servicePool, s *step) time.Duration {
	growing := max(reserveHorizon, (c.now.Steady-s.job.receivedAt)/2)
	switch {
	case s.rank >= rankLate && pool.mostlyFree():
		return min(growing, freeReserveHorizon)
	case s.advice.needed && c.hostsScarce():
		return growing
	default:
		return math.MaxInt64 - c.now.Steady
	}
}

// reservationsFull reports whether no more workers may be reserved for gangs.
func (p *round) reservationsFull() bool {
	return p.reservingGangs >= maxReservingGangs || float64(p.reservedMilliCPU) > maxReservedShare*float64(p.totalMilliCPU)
}

// gangOpenings returns the openings for a gang on all workers that may hold it, sorted by
// time.
func (c *Cell) gangOpenings(pool *servicePool, s *step) []opening {
	var openings []opening
	for _, cand := range pool.mayRunOn(s) {
		if cand.reservedFrom == 0 && c.mayShare(s.tasks[0], cand.w) && s.eligibleOn(cand.w) {
			openings = c.openings(openings, s, cand)
		}
	}
	slices.SortFunc(openings, func(a, b opening) int {
		if d := cmp.Compare(a.at, b.at); d != 0 {
			return d
		}
		return cmp.Compare(a.cand.w.ID, b.cand.w.ID)
	})
	return openings
}

// opening is a time from which a worker has room for one more member.
type opening struct {
	at   Instant
	cand *candidate
}

// assignOpenings returns assignments to the first count openings, which are sorted
// by time, and spare assignments on other workers.
func assignOpenings(openings []opening, count int) (assignments, spare []assignment) {
	for i, o := range openings[:min(len(openings), count+int(spareShare*float64(count)))] {
		onSameWorker := func(a assignment) bool { return a.candidate == o.cand }
		if k := slices.IndexFunc(assignments, onSameWorker); k >= 0 {
			if i < count {
				assignments[k].n++
			}
		} else if i < count {
			assignments = append(assignments, assignment{o.cand, 1})
		} else if !slices.ContainsFunc(spare, onSameWorker) {
			spare = append(spare, assignment{o.cand, 1})
		}
	}
	return assignments, spare
}

// openings appends to list the times at which a worker is expected to have room for
// one, two and more members of the gang, given the progress of its runs.
func (c *Cell) openings(list []opening, s *step, cand *candidate) []opening {
	free, counted := cand.free, 0
	addOpenings := func(at Instant) {
		for n := s.room(cand.w, free); counted < n; counted++ {
			list = append(list, opening{at, cand})
		}
	}
	addOpenings(c.now.Steady)
	for _, rel := range c.releases(cand) {
		free = free.Add(rel.need)
		addOpenings(rel.at)
	}
	return list
}

// release is the room that a run frees at its expected end.
type release struct {
	at   Instant
	need resource.Vector
}

// releases returns the expected ends of a worker's runs, sorted by time. They are
// computed once per placement round for all gangs.
func (c *Cell) releases(cand *candidate) []release {
	if cand.releases == nil {
		cand.releases = make([]release, 0, len(cand.w.runs))
		for _, r := range cand.w.runsByAge {
			cand.releases = append(cand.releases, release{c.now.Steady + c.remainingTime(r), r.task.step.need()})
		}
		slices.SortFunc(cand.releases, func(a, b release) int { return cmp.Compare(a.at, b.at) })
	}
	return cand.releases
}

// reserve reserves workers for a gang from the given time on. Later steps may use
// them only for tasks that are expected to end before that time.
func (p *round) reserve(s *step, assignments []assignment, from Instant) {
	need := s.need()
	for _, a := range assignments {
		a.reservedFrom = max(from, 1)
		a.w.reservedFrom, a.w.reservedRank = from, s.rank
		p.reservedMilliCPU += int64(a.n) * need.MilliCPU
		if rest := a.free.Sub(need.Times(int64(a.n))); !rest.Negative() {
			// The worker already has room for the members; others may use the rest.
			a.free, a.reservedFrom = rest, 0
		}
	}
}

// reserveQuota reserves the part of the team's ceiling that a step needs.
func (p *round) reserveQuota(s *step) {
	p.reservedQuota[s.job.team()] = p.reservedQuota[s.job.team()].Add(s.spec.Need.Times(int64(len(s.tasks))))
}

// blocks reports whether a reservation prevents a task of the given duration from
// starting on the worker, because the task would delay the gang.
func (cand *candidate) blocks(now Instant, duration time.Duration) bool {
	return cand.reservedFrom > 0 && now+time.Duration(overrunFactor*float64(duration)) > cand.reservedFrom
}

// blockedByReservation reports whether a reservation prevents a task of the step, not
// of a gang, from starting on a worker. Long-running tasks ignore reservations: users
// want them running wherever there is room.
func (s *step) blockedByReservation(cand *candidate, now Instant, duration time.Duration) bool {
	return !s.spec.LongRunning && cand.blocks(now, duration)
}
