package cell

import (
	"cmp"
	"slices"

	"github.com/cowslipgap/cowslipgap/resource"
)

const (
	// maxReserved is the share of all processors that steps which wait for more
	// room may keep from later ones.
	maxReserved = 0.35
	// Penalties order workers for a task; the rest of the score is the share of
	// the processor left unused, at most 1.
	penaltyFaulted  = 4 // the task failed there before
	penaltyOffRack  = 8 // its data is elsewhere, it takes longer
	minLease        = 2 * leaseMargin
	unlimitedWorker = 1 << 30
)

// round is one pass over what waits.
type round struct {
	reserved map[*worker]resource.Vector
	kept     int64 // processors reserved, in thousandths
	total    int64 // processors of all workers
}

// free returns the room on w that nobody earlier in the order has reserved.
func (p *round) free(w *worker) resource.Vector {
	free := w.free()
	if kept, ok := p.reserved[w]; ok {
		free = free.Sub(kept)
	}
	return free
}

func (p *round) reserve(w *worker, need resource.Vector) {
	p.reserved[w] = p.reserved[w].Add(need)
	p.kept += need.MilliCPU
}

// place starts what can start, in order, and asks for advice where it is needed.
func (c *Cell) place() {
	if c.leaseLength() < minLease || len(c.waiting) == 0 {
		return
	}
	c.sortWaiting()
	p := &round{reserved: map[*worker]resource.Vector{}}
	for _, w := range c.workers {
		p.total += w.Capacity.MilliCPU
	}
	for _, s := range c.waiting {
		if !c.mayStart(s) {
			continue
		}
		if s.spec.Gang {
			c.placeGang(p, s)
		} else {
			c.placeTasks(p, s)
		}
	}
}

// mayStart reports whether tasks of the step may be started at all now.
func (c *Cell) mayStart(s *step) bool {
	if s.job.restored && !c.recovered {
		return false
	}
	return c.now.Steady >= s.notBefore && (s.job.stored || s.job.Queue.Advice != nil)
}

// suits reports whether a worker may run the step, room aside.
func (c *Cell) suits(s *step, w *worker) bool {
	return w.Service == s.job.Queue.Service && w.usable(c.now.Steady) && w.hasLabel(s.spec.Label)
}

// room returns how many tasks of the step fit into free on w.
func room(s *step, w *worker, free resource.Vector) int {
	n := unlimitedWorker
	fit := func(have, need int64) {
		if need > 0 {
			n = min(n, int(max(0, have)/need))
		}
	}
	if !s.spec.Fills {
		fit(free.MilliCPU, s.spec.Need.MilliCPU)
	}
	fit(free.MemoryMB, s.spec.Need.MemoryMB)
	fit(free.Accelerators, s.spec.Need.Accelerators)
	if limit := s.spec.MaxPerWorker; limit > 0 {
		n = min(n, limit-s.onWorker(w))
	}
	return min(max(0, n), len(s.tasks))
}

// onWorker counts the runs of the step on w.
func (s *step) onWorker(w *worker) int {
	count := 0
	for _, r := range w.runs {
		if r.task.step == s {
			count++
		}
	}
	return count
}

// placeTasks starts tasks of a step one by one where there is room.
func (c *Cell) placeTasks(p *round, s *step) {
	allowed := c.teamRoom(s)
	if allowed == 0 {
		return
	}
	pending := s.pending()
	if len(pending) > allowed {
		pending = pending[:allowed]
	}
	var candidates []*worker
	for _, w := range c.workers {
		if c.suits(s, w) && s.advice.allows(w, c.now.Steady) {
			candidates = append(candidates, w)
		}
	}
	left := 0
	for _, t := range pending {
		w := c.best(p, s, t, candidates)
		if w == nil || !s.job.stored {
			left++
			continue
		}
		t.nextRun++
		c.begin(t, w, t.nextRun)
	}
	if left > 0 && s.job.Queue.Advice != nil {
		c.ask(p, s, left)
	}
}

// best returns the worker on which the task leaves least unused.
func (c *Cell) best(p *round, s *step, t *task, candidates []*worker) *worker {
	var best *worker
	bestScore := 0.0
	for _, w := range candidates {
		free := p.free(w)
		if room(s, w, free) == 0 {
			continue
		}
		score := float64(free.MilliCPU-s.spec.Need.MilliCPU) / float64(max(1, w.Capacity.MilliCPU))
		if t.avoid[w.ID] {
			score += penaltyFaulted
		}
		if s.spec.Rack != "" && w.Rack != s.spec.Rack {
			score += penaltyOffRack
		}
		if best == nil || score < bestScore || score == bestScore && w.ID < best.ID {
			best, bestScore = w, score
		}
	}
	return best
}

// seat is a number of a gang's members on one worker.
type seat struct {
	w *worker
	n int
}

// placeGang starts all members at once, or keeps room for them.
func (c *Cell) placeGang(p *round, s *step) {
	if s.active > 0 || c.teamRoom(s) < len(s.tasks) {
		return
	}
	if s.job.Queue.Advice != nil && !s.advice.knowsAny() {
		c.ask(p, s, len(s.tasks))
		return
	}
	seats, complete := c.seatGang(p, s)
	if !complete {
		c.reserveFor(p, s, seats)
		if s.job.Queue.Advice != nil {
			c.askMore(s)
		}
		return
	}
	for _, seat := range seats {
		if !s.advice.valid(seat.w, c.now.Steady) {
			c.reserveFor(p, s, seats)
			c.renew(s, seats)
			return
		}
	}
	if !s.job.stored {
		c.reserveFor(p, s, seats)
		return
	}
	s.nextRun++
	next := 0
	for _, seat := range seats {
		for range seat.n {
			t := s.tasks[next]
			t.nextRun = s.nextRun
			c.begin(t, seat.w, s.nextRun)
			next++
		}
	}
}

// seatGang divides the members over workers with room, few workers first. If
// they do not all fit, it returns the seats that there are.
func (c *Cell) seatGang(p *round, s *step) ([]seat, bool) {
	var seats []seat
	for _, w := range c.workers {
		if !c.suits(s, w) || !s.advice.knows(w) {
			continue
		}
		if n := room(s, w, p.free(w)); n > 0 {
			seats = append(seats, seat{w, n})
		}
	}
	slices.SortFunc(seats, func(a, b seat) int {
		if d := cmp.Compare(c.offRack(s, a.w), c.offRack(s, b.w)); d != 0 {
			return d
		}
		if d := cmp.Compare(b.n, a.n); d != 0 {
			return d
		}
		return cmp.Compare(a.w.ID, b.w.ID)
	})
	if s.spec.RackLocal {
		if one := singleRack(seats, len(s.tasks)); one != nil {
			seats = one
		}
	}
	left := len(s.tasks)
	for i := range seats {
		seats[i].n = min(seats[i].n, left)
		left -= seats[i].n
		if left == 0 {
			return seats[:i+1], true
		}
	}
	return seats, false
}

// offRack is 1 for a worker far from the step's data, or one on which a gang of
// it has failed.
func (c *Cell) offRack(s *step, w *worker) int {
	penalty := 0
	if s.spec.Rack != "" && w.Rack != s.spec.Rack {
		penalty = 2
	}
	if s.tasks[0].avoid[w.ID] {
		penalty++
	}
	return penalty
}

// singleRack returns the seats of one rack that holds the whole gang, if any.
func singleRack(seats []seat, members int) []seat {
	racks := map[string][]seat{}
	for _, one := range seats {
		racks[one.w.Rack] = append(racks[one.w.Rack], one)
	}
	var best []seat
	for _, list := range racks {
		total := 0
		for _, one := range list {
			total += one.n
		}
		if total >= members && (best == nil || len(list) < len(best)) {
			best = list
		}
	}
	return best
}

// reserveFor keeps the room of the seats from steps later in the order.
func (c *Cell) reserveFor(p *round, s *step, seats []seat) {
	if float64(p.kept) > maxReserved*float64(p.total) {
		return
	}
	for _, seat := range seats {
		for range seat.n {
			p.reserve(seat.w, s.spec.Need)
		}
	}
}

// teamRoom returns how many more tasks of the step the team's ceiling allows.
func (c *Cell) teamRoom(s *step) int {
	ceiling := c.policy[s.job.Team].Ceiling
	used := c.team(s.job.Team).used
	n := len(s.tasks)
	fit := func(limit, have, need int64) {
		if limit > 0 && need > 0 {
			n = min(n, int(max(0, limit-have)/need))
		}
	}
	fit(ceiling.MilliCPU, used.MilliCPU, s.spec.Need.MilliCPU)
	fit(ceiling.MemoryMB, used.MemoryMB, s.spec.Need.MemoryMB)
	fit(ceiling.Accelerators, used.Accelerators, s.spec.Need.Accelerators)
	return n
}

func (c *Cell) team(name string) *teamUse {
	use := c.teams[name]
	if use == nil {
		use = &teamUse{at: c.now.Steady, spent: c.policy[name].Rate * rateWindow.Seconds()}
		c.teams[name] = use
	}
	return use
}

func (c *Cell) chargeTeam(s *step, sign int64) {
	use := c.team(s.job.team())
	if sign > 0 {
		use.used = use.used.Add(s.spec.Need)
	} else {
		use.used = use.used.Sub(s.spec.Need)
	}
}

// team returns the job's team, also after the job has ended.
func (j *job) team() string { return j.progress.Team }
