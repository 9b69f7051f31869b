package cell

import (
	"cmp"
	"log/slog"
	"slices"

	"github.com/cowslipgap/cowslipgap/resource"
)

const (
	// maxReserved is the share of all processors that steps which wait for more
	// room may keep from later ones.
	maxReserved = 0.35
	// Penalties order workers for a task; the rest of the score is the share of
	// the processor left unused, at most 1.
	penaltyFaulted = 4 // the task failed there before
	penaltyOffRack = 8 // its data is elsewhere, it takes longer
	// speedWeight is what a worker of twice the usual speed is worth, in shares
	// of a processor left unused.
	speedWeight = 0.6
	// minLease is the least time that a lease must have left for a start.
	minLease = 2 * leaseMargin
	// unlimited is the room for tasks that need nothing that is counted.
	unlimited = 1 << 30
)

// slot is one usable worker during a round of placement.
type slot struct {
	w    *worker
	free resource.Vector // room that nothing earlier in the order has or keeps
}

// round is one pass over what waits.
type round struct {
	pools map[string]*pool // by service
	kept  int64            // processors reserved, in thousandths
	total int64            // processors of all usable workers
}

// pool is the usable workers of one service.
type pool struct {
	slots []*slot
	most  resource.Vector // no worker has more room in any dimension
}

// newRound takes stock of the workers.
func (c *Cell) newRound() *round {
	p := &round{pools: map[string]*pool{}}
	for _, w := range c.workers {
		if !w.usable(c.now.Steady) {
			continue
		}
		of := p.pools[w.Service]
		if of == nil {
			of = &pool{}
			p.pools[w.Service] = of
		}
		free := w.free()
		of.slots = append(of.slots, &slot{w, free})
		of.most = of.most.Max(free)
		p.total += w.Capacity.MilliCPU
	}
	for _, of := range p.pools {
		slices.SortFunc(of.slots, func(a, b *slot) int { return cmp.Compare(a.w.ID, b.w.ID) })
	}
	return p
}

// need returns what a task of the step takes from a worker's room.
func (s *step) need() resource.Vector {
	need := s.spec.Need
	if s.spec.Fills {
		need.MilliCPU = 0
	}
	return need
}

func (p *round) reserve(s *step, seats []seat) {
	if float64(p.kept) > maxReserved*float64(p.total) {
		return
	}
	need := s.need()
	for _, seat := range seats {
		for range seat.n {
			seat.free = seat.free.Sub(need)
			p.kept += need.MilliCPU
		}
	}
}

// place starts what can start, in order, and asks for advice where it is needed.
func (c *Cell) place() {
	if c.leaseLength() < minLease || len(c.waiting) == 0 {
		return
	}
	c.sortWaiting()
	c.hidden = c.hiddenUse()
	p := c.newRound()
	for _, s := range c.waiting {
		of := p.pools[s.job.Queue.Service]
		if of == nil || !c.mayStart(s) {
			continue
		}
		if s.spec.Gang {
			c.placeGang(p, of, s)
		} else {
			c.placeTasks(of, s)
		}
	}
}

// mayStart reports whether tasks of the step may be started, or asked about, at
// all now.
func (c *Cell) mayStart(s *step) bool {
	if c.now.Steady < s.notBefore {
		return false
	}
	return s.job.stored || s.advice.needed
}

// room returns how many tasks of the step fit on the worker.
func (s *step) room(w *worker, free resource.Vector) int {
	n := len(s.tasks)
	fit := func(have, need int64) {
		if need > 0 {
			n = min(n, int(max(0, have)/need))
		}
	}
	need := s.need()
	fit(free.MilliCPU, need.MilliCPU)
	fit(free.MemoryMB, need.MemoryMB)
	fit(free.Accelerators, need.Accelerators)
	if limit := s.spec.MaxPerWorker; limit > 0 && n > 0 {
		n = min(n, limit-s.onWorker(w))
	}
	return max(0, n)
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
func (c *Cell) placeTasks(of *pool, s *step) {
	need := s.need()
	if !need.Fits(of.most) {
		return // nothing has room, the usual case when the fleet is full
	}
	allowed := c.teamRoom(s)
	if allowed == 0 {
		return
	}
	var candidates []*slot
	if s.job.stored {
		for _, sl := range of.slots {
			if need.Fits(sl.free) && s.advice.allows(sl.w, c.now.Steady) && sl.w.hasLabel(s.spec.Label) {
				candidates = append(candidates, sl)
			}
		}
	}
	left, placed := 0, 0
	for _, t := range s.tasks {
		if t.done || len(t.runs) > 0 || t.held != "" || allowed == 0 {
			continue
		}
		allowed--
		sl := c.best(s, t, candidates)
		if sl == nil {
			left++
			continue
		}
		t.nextRun++
		c.begin(t, sl.w, t.nextRun)
		placed++
		sl.free = sl.free.Sub(need)
	}
	c.notePlaced(s, placed, left)
	if left > 0 && s.advice.needed {
		c.ask(of, s, left)
	}
}

// best returns the worker on which the task leaves least unused.
func (c *Cell) best(s *step, t *task, candidates []*slot) *slot {
	var best *slot
	bestScore := 0.0
	for _, sl := range candidates {
		if s.room(sl.w, sl.free) == 0 {
			continue
		}
		score := float64(sl.free.MilliCPU-s.spec.Need.MilliCPU) / float64(max(1, sl.w.Capacity.MilliCPU))
		score -= speedWeight * sl.w.pace()
		if t.avoid[sl.w.ID] {
			score += penaltyFaulted
		}
		if s.spec.Rack != "" && sl.w.Rack != s.spec.Rack {
			score += penaltyOffRack
		}
		if best == nil || score < bestScore {
			best, bestScore = sl, score
		}
	}
	return best
}

// held reports whether a member may be at work for an earlier owner.
func (s *step) held() bool {
	for _, t := range s.tasks {
		if t.held != "" {
			return true
		}
	}
	return false
}

// seat is a number of a gang's members on one worker.
type seat struct {
	*slot
	n int
}

// placeGang starts all members at once, or keeps room for them.
func (c *Cell) placeGang(p *round, of *pool, s *step) {
	if s.active > 0 || s.held() || c.teamRoom(s) < len(s.tasks) {
		return
	}
	if !s.advice.knowsAny() {
		c.ask(of, s, len(s.tasks))
		return
	}
	seats, complete := c.seatGang(of, s)
	if !complete {
		p.reserve(s, seats)
		if s.advice.needed {
			c.askMore(of, s)
		}
		return
	}
	for _, seat := range seats {
		if !s.advice.valid(seat.w, c.now.Steady) {
			p.reserve(s, seats)
			c.renew(s, seats)
			return
		}
	}
	if !s.job.stored {
		p.reserve(s, seats)
		return
	}
	s.nextRun++
	next := 0
	for _, seat := range seats {
		for range seat.n {
			t := s.tasks[next]
			t.nextRun = s.nextRun
			c.begin(t, seat.w, s.nextRun)
			seat.free = seat.free.Sub(s.need())
			next++
		}
	}
	c.notePlaced(s, next, 0)
}

// notePlaced logs the placement of tasks of a step.
func (c *Cell) notePlaced(s *step, placed, left int) {
	if placed > 0 {
		c.note("placed", slog.String("step", s.name), slog.Int("tasks", placed), slog.Int("left", left), slog.Uint64("token", c.token))
	}
}

// seatGang divides the members over workers with room, few workers first. If
// they do not all fit, it returns the seats that there are.
func (c *Cell) seatGang(of *pool, s *step) ([]seat, bool) {
	var seats []seat
	for _, sl := range of.slots {
		if !s.advice.knows(sl.w) || !sl.w.hasLabel(s.spec.Label) {
			continue
		}
		if n := s.room(sl.w, sl.free); n > 0 {
			seats = append(seats, seat{sl, n})
		}
	}
	slices.SortStableFunc(seats, func(a, b seat) int {
		if d := cmp.Compare(s.distance(a.w), s.distance(b.w)); d != 0 {
			return d
		}
		return cmp.Compare(b.n, a.n)
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

// distance orders workers for a gang: those far from its data come last, then
// those on which it has failed.
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

// singleRack returns the seats of one rack that holds the whole gang, if any.
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

// teamRoom returns how many more tasks of the step the team's ceiling allows.
func (c *Cell) teamRoom(s *step) int {
	ceiling := c.policy[s.job.Team].Ceiling
	used := c.team(s.job.Team).used.Add(c.hidden[s.job.Team])
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
