package cell

import (
	"cmp"
	"log/slog"
	"math"
	"slices"
	"time"

	"github.com/cowslipgap/cowslipgap/resource"
)

const (
	// maxReservingGangs is how many waiting gangs a placement round reserves workers
	// for. Later ones could not start before these anyway.
	maxPlanned = 8
	// ticketLeadTime is added to the expected duration of a call to the advice
	// service, so that tickets arrive before the room is free.
	prefetch = 100 * time.Millisecond
	// firstWaitLogDelay is how long a gang waits before its first log line. The
	// delays of later lines double, so that many gangs do not fill the log.
	waitNoteGap = 2 * time.Second
	// spareShare is how much more room a gang asks about than its members need, as a
	// share of its members.
	spareSeats = 0.5
	// quotaReserveHorizon is how soon a gang must be expected to have room for its
	// team's quota to be reserved for it. Users accept that a job waits for up to 3 s
	// although there is room for it.
	teamHorizon = 2 * time.Second
	// overrunFactor is applied to the expected duration of a run when deciding
	// whether it ends before a reservation begins.
	overrun = 1.2
)

// This file places gangs. A gang needs room for all its members at the same time,
// on the few workers that may run it. On a full fleet, small tasks would take each
// part of that room as it becomes free. So the workers that can hold the gang
// soonest are reserved for it; until then they run only tasks that end in time.

// assignment is a number of a gang's members on one worker.
type seat struct {
	*slot
	n int
}

// placeGang starts all members at once, or reserves the workers that can hold them
// soonest.
func (c *Cell) placeGang(p *round, of *pool, s *step) {
	if s.active > 0 {
		return
	}
	if s.held() {
		c.noteWaiting(s, "an earlier owner may run it", 0)
		return
	}
	seats, ready := c.prepareGang(p, of, s)
	if !ready {
		if s.roomAt <= c.now.Steady+teamHorizon && !c.exceeds(s.job.Job) && c.couldHold(of, s) {
			// The quota that the team's other runs free is reserved for the gang too.
			p.keepTeam(s)
		}
		return
	}
	s.nextRun++
	next := 0
	for _, seat := range seats {
		for range seat.n {
			t := s.tasks[next]
			t.nextRun = s.nextRun
			c.begin(t, seat.w, s.nextRun)
			seat.take(s.need())
			next++
		}
	}
	c.notePlaced(s, next, 0)
}

// prepareGang returns the assignments of a gang that can start now. Otherwise it
// requests advice or reserves workers, depending on what the gang waits for.
func (c *Cell) prepareGang(p *round, of *pool, s *step) ([]seat, bool) {
	s.roomAt = c.now.Steady
	if !s.advice.knowsAny() {
		c.ask(of, s, len(s.tasks))
		c.noteAsking(s, "it waits for advice")
		return nil, false
	}
	if allowed := c.teamRoom(p, s); allowed < len(s.tasks) {
		c.noteWaiting(s, "the team is at its ceiling", allowed)
		return nil, false
	}
	seats, spare := c.seatGang(of, s)
	if members(seats) < len(s.tasks) {
		c.planGang(p, of, s)
		return nil, false
	}
	if !s.ticketed(seats, c.now.Steady) {
		p.keep(s, seats, c.now.Steady)
		c.renew(s, append(seats, spare...))
		c.noteAsking(s, "it waits for tickets")
		return nil, false
	}
	if !s.job.stored {
		p.keep(s, seats, c.now.Steady)
		c.noteWaiting(s, "its acceptance is not stored", 0)
		return nil, false
	}
	return seats, true
}

// couldHold reports whether the workers known to be allowed to run the gang would
// hold it if they were empty. Nothing is reserved for a gang that cannot run.
func (c *Cell) couldHold(of *pool, s *step) bool {
	members := 0
	for _, sl := range of.slots {
		if s.suits(sl.w) {
			members += s.room(sl.w, sl.w.Capacity)
		}
		if members >= len(s.tasks) {
			return true
		}
	}
	return false
}

// assignMembers assigns the members to workers with room. It prefers workers with a
// ticket, then as few workers as possible. If there is not enough room, not all
// members are assigned; otherwise it also returns spare assignments.
func (c *Cell) seatGang(of *pool, s *step) (seats, spare []seat) {
	length := c.lesson(s.job.Queue.Name).actual(s.spec.Estimate)
	for _, sl := range of.slots {
		if n := s.room(sl.w, sl.free); n > 0 && !sl.keptFrom(c.now.Steady, length) && s.suits(sl.w) {
			seats = append(seats, seat{sl, n})
		}
	}
	order := func(w *worker) int {
		if s.advice.valid(w, c.now.Steady) {
			return 2 * s.distance(w)
		}
		return 2*s.distance(w) + 1
	}
	slices.SortStableFunc(seats, func(a, b seat) int {
		return cmp.Or(cmp.Compare(order(a.w), order(b.w)), cmp.Compare(b.n, a.n))
	})
	if s.spec.RackLocal {
		if one := singleRack(seats, len(s.tasks)); one != nil {
			seats = one
		}
	}
	return split(seats, len(s.tasks))
}

// splitSpare returns the assignments that hold count members, and some spare ones,
// because the workers that have room change while a call to the advice service
// lasts.
func split(seats []seat, count int) (first, spare []seat) {
	i := 0
	for left := count; i < len(seats) && left > 0; i++ {
		seats[i].n = min(seats[i].n, left)
		left -= seats[i].n
	}
	first, spare = seats[:i:i], seats[i:]
	j := 0
	for extra := spareSeats * float64(count); j < len(spare) && extra > 0; j++ {
		extra -= float64(spare[j].n)
	}
	return first, spare[:j]
}

// hasTickets reports whether there are valid tickets for all assignments, or none
// are needed.
func (s *step) ticketed(seats []seat, now Instant) bool {
	return !slices.ContainsFunc(seats, func(one seat) bool { return !s.advice.valid(one.w, now) })
}

// memberCount returns the number of members in the assignments.
func members(seats []seat) int {
	n := 0
	for _, one := range seats {
		n += one.n
	}
	return n
}

// reserveForGang reserves the workers that can hold the gang soonest, and requests
// tickets for them in time.
func (c *Cell) planGang(p *round, of *pool, s *step) {
	s.roomAt = math.MaxInt64
	if p.planned >= maxPlanned || float64(p.kept) > maxReserved*float64(p.total) {
		if s.advice.needed && c.lane(s.job.Queue.Advice, 1) != "" && c.mayHold(of, s) {
			c.askMore(of, s, true)
		}
		c.noteWaiting(s, "room is kept for others", p.planned)
		return
	}
	var openings []opening
	for _, sl := range of.slots {
		if sl.keptUntil == 0 && s.suits(sl.w) {
			openings = c.openings(openings, s, sl)
		}
	}
	if len(openings) < len(s.tasks) {
		if s.advice.needed {
			c.askMore(of, s, false)
		}
		c.noteWaiting(s, "too few workers may hold it", len(openings))
		return
	}
	p.planned++
	slices.SortFunc(openings, func(a, b opening) int {
		if d := cmp.Compare(a.at, b.at); d != 0 {
			return d
		}
		return cmp.Compare(a.sl.w.ID, b.sl.w.ID)
	})
	at := openings[len(s.tasks)-1].at
	s.roomAt = at
	seats, spare := soonest(openings, len(s.tasks))
	p.keep(s, seats, at)
	c.noteWaiting(s, "workers are kept for it", int((at - c.now.Steady).Milliseconds()))
	if !s.advice.needed {
		return
	}
	advice := s.job.Queue.Advice
	call := advice.Length(len(seats)+len(spare)) + prefetch
	if at > c.now.Steady+call {
		c.askMore(of, s, true) // other workers with room may hold it sooner
		return
	}
	if !s.ticketed(seats, c.now.Steady) {
		c.renew(s, append(seats, spare...))
	}
}

// opening is a time from which a worker has room for one more member.
type opening struct {
	at Instant
	sl *slot
}

// assignOpenings returns assignments to the first count openings, which are sorted
// by time, and spare assignments on other workers.
func soonest(openings []opening, count int) (seats, spare []seat) {
	for i, o := range openings[:min(len(openings), count+int(spareSeats*float64(count)))] {
		same := func(one seat) bool { return one.slot == o.sl }
		if k := slices.IndexFunc(seats, same); k >= 0 {
			if i < count {
				seats[k].n++
			}
		} else if i < count {
			seats = append(seats, seat{o.sl, 1})
		} else if !slices.ContainsFunc(spare, same) {
			spare = append(spare, seat{o.sl, 1})
		}
	}
	return seats, spare
}

// mightHold reports whether the workers with room now would hold the gang if all those
// that have not been asked about were eligible. The caller asks about each of these
// once.
func (c *Cell) mayHold(of *pool, s *step) bool {
	length := c.lesson(s.job.Queue.Name).actual(s.spec.Estimate)
	seats := 0
	for _, sl := range of.slots {
		good, known := s.advice.verdict(sl.w)
		if (good || !known) && !sl.keptFrom(c.now.Steady, length) && sl.w.hasLabel(s.spec.Label) {
			seats += s.room(sl.w, sl.free)
		}
	}
	return seats >= len(s.tasks)
}

// logAdviceWait logs a gang's wait for the advice service, or for a host to call it
// from. The logged number is the time since the call in milliseconds, or the number
// of long calls in flight.
func (c *Cell) noteAsking(s *step, why string) {
	if s.advice.asking {
		c.noteWaiting(s, why, int((c.now.Steady - s.advice.askedAt).Milliseconds()))
	} else {
		c.noteWaiting(s, "no host is free for its call", len(c.longCalls))
	}
}

// logGangWait logs what a gang waits for, at increasing intervals. The meaning of n
// depends on the reason.
func (c *Cell) noteWaiting(s *step, why string, n int) {
	if s.noteGap == 0 {
		s.noteGap, s.noteDue = waitNoteGap, c.now.Steady+waitNoteGap
	}
	if c.now.Steady < s.noteDue {
		return
	}
	s.noteGap *= 2
	s.noteDue = c.now.Steady + s.noteGap
	c.note("gang waits", slog.String("step", s.name), slog.Int("members", len(s.tasks)), slog.String("why", why), slog.Int("n", n), slog.Int("rank", s.rank))
}

// openings appends to list the times at which a worker is expected to have room for
// one, two and more members of the gang, given the progress of its runs.
func (c *Cell) openings(list []opening, s *step, sl *slot) []opening {
	free, known := sl.free, 0
	open := func(at Instant) {
		for n := s.room(sl.w, free); known < n; known++ {
			list = append(list, opening{at, sl})
		}
	}
	open(c.now.Steady)
	for _, one := range c.releases(sl) {
		free = free.Add(one.need)
		open(one.at)
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
func (c *Cell) releases(sl *slot) []release {
	if sl.releases == nil {
		sl.releases = make([]release, 0, len(sl.w.runs))
		for _, r := range sl.w.runs {
			sl.releases = append(sl.releases, release{c.now.Steady + c.remaining(r), r.task.step.need()})
		}
		slices.SortFunc(sl.releases, func(a, b release) int { return cmp.Compare(a.at, b.at) })
	}
	return sl.releases
}

// remainingTime estimates how long a run still occupies its worker.
func (c *Cell) remaining(r *run) time.Duration {
	s := r.task.step
	if s.job.Job == nil || r.state == stopping {
		return c.StopTimeout
	}
	if s.spec.LongRunning {
		return time.Hour
	}
	if s.spec.Gang {
		// Members that have finished their work wait for the others.
		if s.leftAt != c.now.Steady {
			s.leftAt, s.longest = c.now.Steady, 0
			for _, t := range s.tasks {
				for _, member := range t.runs {
					s.longest = max(s.longest, c.left(member))
				}
			}
		}
		return s.longest
	}
	return c.left(r)
}

// remainingWork estimates how long a run still has work to do.
func (c *Cell) left(r *run) time.Duration {
	s := r.task.step
	length := c.lesson(s.job.Queue.Name).actual(s.spec.Estimate)
	if r.confirmed == 0 {
		return length
	}
	age := c.now.Steady - r.confirmed
	if r.percent > 0 {
		// Progress is exact for the time at which it last changed.
		whole := time.Duration(float64(r.movedAt-r.confirmed) * 100 / float64(r.percent))
		return max(0, whole-age)
	}
	return max(length/8, length-age)
}

// reserve reserves workers for a gang from the given time on. Later steps may use
// them only for tasks that end before.
func (p *round) keep(s *step, seats []seat, until Instant) {
	need := s.need()
	for _, one := range seats {
		one.keptUntil = max(until, 1)
		one.w.keptUntil = until
		p.kept += int64(one.n) * need.MilliCPU
		if left := one.free.Sub(need.Times(int64(one.n))); !left.Negative() {
			// The worker already has room for the members; others may use the rest.
			one.free, one.keptUntil = left, 0
		}
	}
}

// reserveQuota reserves the part of the team's ceiling that a step needs.
func (p *round) keepTeam(s *step) {
	p.teams[s.job.Team] = p.teams[s.job.Team].Add(s.spec.Need.Times(int64(len(s.tasks))))
}

// blocks reports whether a reservation prevents a task of the given duration from
// starting on the worker, because the task would delay the gang.
func (sl *slot) keptFrom(now Instant, length time.Duration) bool {
	return sl.keptUntil > 0 && now+time.Duration(overrun*float64(length)) > sl.keptUntil
}

// blockedByReservation reports whether a reservation prevents a task of the step, not
// of a gang, from starting on a worker. Long-running tasks ignore reservations: users
// want them running wherever there is room.
func (s *step) keptOut(sl *slot, now Instant, length time.Duration) bool {
	return !s.spec.LongRunning && sl.keptFrom(now, length)
}

// workerPenalty orders workers for a gang: workers on another rack than its data come
// last and, within the same rack preference, those on which its first member has
// failed.
func (s *step) distance(w *worker) int {
	distance := 0
	if s.spec.Rack != "" && w.Rack != s.spec.Rack {
		distance = 2
	}
	if s.tasks[0].avoid[w.ID] {
		distance++
	}
	return distance
}

// hasHeldTask reports whether a member may still run under an earlier owner.
func (s *step) held() bool {
	for _, t := range s.tasks {
		if t.held != "" {
			return true
		}
	}
	return false
}

// singleRack returns the assignments of one rack that holds the whole gang, or nil.
func singleRack(seats []seat, members int) []seat {
	racks := map[string][]seat{}
	total := map[string]int{}
	var best []seat
	for _, one := range seats {
		rack := one.w.Rack
		racks[rack] = append(racks[rack], one)
		total[rack] += one.n
		if total[rack] >= members && (best == nil || len(racks[rack]) < len(best)) {
			best = racks[rack]
		}
	}
	return best
}
