package cell

import (
	"log/slog"
	"time"

	"github.com/cowslipgap/cowslipgap/resource"
)

const (
	// maxReservedShare is the share of all processors that may be reserved for waiting
	// gangs.
	maxReserved = 0.35
	// Penalties order workers for a task; a lower score is better. The rest of the
	// score is the share of the worker's processors left unused, at most 1, less the
	// weighted speed.
	penaltyFaulted = 4 // the task failed there before
	penaltyOffRack = 8 // the data is on another rack, so the task takes longer
	// penaltyReserved applies to workers that the last round reserved for a gang.
	// Steps ranked before the gang may use them if no other worker has room.
	penaltyKept = 2
	// speedWeight is the value of twice the usual speed, as a share of the worker's
	// processors left unused.
	speedWeight = 0.6
	// minLease is the minimum lease for which a start is sent.
	minLease = 2 * leaseMargin
)

// candidate is a usable worker during a placement round.
type slot struct {
	w    *worker
	free resource.Vector // room that runs and earlier steps of the round leave
	// keptUntil is when a gang that is placed earlier needs the worker; 0 if none does.
	keptUntil Instant
	releases  []release // nil: not computed for the current runs
}

// take subtracts the needs of a new run from the free room.
func (sl *slot) take(need resource.Vector) {
	sl.free = sl.free.Sub(need)
	sl.releases = nil
}

// round is the state of one placement round, a pass over the waiting steps.
type round struct {
	pools   map[string]*pool           // by service
	kept    int64                      // processors reserved for gangs, in thousandths
	total   int64                      // processors of all usable workers, in thousandths
	planned int                        // gangs for which workers are reserved
	teams   map[string]resource.Vector // quota reserved for gangs, by team
}

// servicePool holds the usable workers of a service.
type pool struct {
	slots []*slot
	most  resource.Vector // maximum free room on any worker, per dimension
}

// newRound collects the usable workers for a placement round.
func (c *Cell) newRound() *round {
	p := &round{pools: map[string]*pool{}, teams: map[string]resource.Vector{}}
	slots := make([]slot, 0, len(c.roll))
	for _, w := range c.roll {
		if !w.usable(c.now.Steady) {
			w.keptUntil = 0
			continue
		}
		of := p.pools[w.Service]
		if of == nil {
			of = &pool{}
			p.pools[w.Service] = of
		}
		free := w.free()
		slots = append(slots, slot{w: w, free: free})
		of.slots = append(of.slots, &slots[len(slots)-1])
		of.most = of.most.Max(free)
		p.total += w.Capacity.MilliCPU
	}
	return p
}

// need returns the room that a task of the step takes on a worker.
func (s *step) need() resource.Vector {
	need := s.spec.Need
	if s.spec.Fills {
		need.MilliCPU = 0
	}
	return need
}

// place starts the waiting tasks that can start, in order, and requests advice where
// it is missing.
func (c *Cell) place() {
	if c.leaseLength() < minLease || len(c.waiting) == 0 {
		return
	}
	c.sortWaiting()
	c.hidden = c.hiddenUse()
	p := c.newRound()
	defer p.forget()
	for _, s := range c.waiting {
		of := p.pools[s.job.Queue.Service]
		if of == nil || !c.mayStart(s) {
			continue
		}
		if s.spec.Gang {
			c.placeGang(p, of, s)
		} else {
			c.placeTasks(p, of, s)
		}
	}
}

// clearStaleReservations ends the reservations that this round did not renew.
func (p *round) forget() {
	for _, of := range p.pools {
		for _, sl := range of.slots {
			if sl.keptUntil == 0 {
				sl.w.keptUntil = 0
			}
		}
	}
}

// mayPlace reports whether tasks of the step may be placed now, or advice requested
// for them.
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

// runsOn returns the number of runs of the step on w.
func (s *step) onWorker(w *worker) int {
	count := 0
	for _, r := range w.runs {
		if r.task.step == s {
			count++
		}
	}
	return count
}

// placeTasks starts the tasks of a step one by one where there is room.
func (c *Cell) placeTasks(p *round, of *pool, s *step) {
	need := s.need()
	if !need.Fits(of.most) {
		return // no worker has room, the usual case on a full fleet
	}
	allowed := c.teamRoom(p, s)
	if allowed == 0 {
		return
	}
	length := c.lesson(s.job.Queue.Name).actual(s.spec.Estimate)
	var candidates []*slot
	room := 0
	for _, sl := range of.slots {
		if need.Fits(sl.free) && !s.keptOut(sl, c.now.Steady, length) && s.advice.allows(sl.w, c.now.Steady) && sl.w.hasLabel(s.spec.Label) {
			candidates = append(candidates, sl)
			room += s.room(sl.w, sl.free)
		}
	}
	if !s.job.stored {
		// Until the job is stored, only advice is requested, for tasks without tickets.
		if left := min(allowed, s.waiting()); room < left {
			c.ask(of, s, left)
		}
		return
	}
	left, placed := 0, 0
	for _, t := range s.tasks {
		if t.done || len(t.runs) > 0 || t.held != "" || allowed == 0 {
			continue
		}
		allowed--
		sl := c.best(s, t, length, candidates)
		if sl == nil {
			left++
			continue
		}
		t.nextRun++
		c.begin(t, sl.w, t.nextRun)
		placed++
		sl.take(need)
	}
	c.notePlaced(s, placed, left)
	if left > 0 && s.advice.needed {
		c.ask(of, s, left)
	}
}

// bestCandidate returns the worker with the lowest score for the task, or nil if none
// has room: a fast one that the task leaves the least unused, if no penalty applies.
func (c *Cell) best(s *step, t *task, length time.Duration, candidates []*slot) *slot {
	var best *slot
	bestScore := 0.0
	for _, sl := range candidates {
		if s.room(sl.w, sl.free) == 0 {
			continue
		}
		score := float64(sl.free.MilliCPU-s.spec.Need.MilliCPU) / float64(max(1, sl.w.Capacity.MilliCPU))
		score -= speedWeight * sl.w.pace()
		if until := sl.w.keptUntil; until > c.now.Steady && c.now.Steady+length > until {
			score += penaltyKept
		}
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

// remainingQuota returns how many more tasks of the step the team's ceiling allows.
func (c *Cell) teamRoom(p *round, s *step) int {
	ceiling := c.policy[s.job.Team].Ceiling
	used := c.team(s.job.Team).used.Add(c.hidden[s.job.Team]).Add(p.teams[s.job.Team])
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
	use.used = use.used.Add(s.spec.Need.Times(sign))
}

// team returns the job's team. It also works after the job has ended.
func (j *job) team() string { return j.progress.Team }

// logPlaced logs the placement of tasks of a step.
func (c *Cell) notePlaced(s *step, placed, left int) {
	if placed > 0 {
		c.note("placed", slog.String("step", s.name), slog.Int("tasks", placed), slog.Int("left", left), slog.Uint64("token", c.token))
	}
}
