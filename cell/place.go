package cell

import (
	"log/slog"
	"slices"
	"time"

	"github.com/cowslipgap/cowslipgap/resource"
)

const (
	// maxReservedShare is the share of all processors that may be reserved for waiting
	// gangs.
	maxReservedShare = 0.35
	// Penalties order workers for a task; a lower score is better. The rest of the
	// score is the share of the worker's processors left unused, at most 1, less the
	// weighted speed.
	penaltyFailed  = 4 // the task failed there before
	penaltyOffRack = 8 // the data is on another rack, so the task takes longer
	// penaltyProbation applies to workers with a run on probation, which the task would share.
	penaltyProbation = 16
	penaltyLate      = 3 // the worker is too slow for the job's objective
	// penaltyReserved applies to workers that the last round reserved for a gang.
	// Steps ranked before the gang may use them if no other worker has room.
	penaltyReserved = 2
	// speedWeight weights a worker's relative speed in the score: twice the usual speed
	// makes up for this share of its processors left unused.
	speedWeight = 0.6
	// minLease is the minimum lease for which a start is sent.
	minLease = 2 * leaseMargin
)

// candidate is a usable worker during a placement round.
type candidate struct {
	w    *worker
	free resource.Vector // room that runs and earlier steps of the round leave
	// reservedFrom is when a gang earlier in the round's order needs the worker; 0 if
	// none does.
	reservedFrom Instant
	releases     []release // nil: not computed for the current runs
}

// take subtracts the needs of a new run from the free room.
func (cand *candidate) take(need resource.Vector) {
	cand.free = cand.free.Sub(need)
	cand.releases = nil
}

// round is the state of one placement round, a pass over the waiting steps.
type round struct {
	pools            map[string]*servicePool    // by service
	reservedMilliCPU int64                      // processors reserved for gangs, in thousandths
	totalMilliCPU    int64                      // processors of all usable workers, in thousandths
	reservingGangs   int                        // gangs for which workers are reserved
	reservedQuota    map[string]resource.Vector // quota reserved for gangs, by team
	roomChecks       int                        // steps for which room was looked for on workers with less urgent runs
}

// newRound collects the usable workers for a placement round.
func (c *Cell) newRound() *round {
	p := &round{pools: map[string]*servicePool{}, reservedQuota: map[string]resource.Vector{}}
	candidates := make([]candidate, 0, len(c.sortedWorkers))
	for _, w := range c.sortedWorkers {
		if !w.usable(c.now.Steady) {
			w.reservedFrom, w.candidate = 0, nil
			continue
		}
		pool := p.pools[w.Service]
		if pool == nil {
			pool = &servicePool{}
			p.pools[w.Service] = pool
		}
		candidates = append(candidates, candidate{w: w, free: w.free()})
		w.candidate = &candidates[len(candidates)-1]
		pool.add(w.candidate)
		p.totalMilliCPU += w.Capacity.MilliCPU
	}
	return p
}

// need returns the room that a task of the step takes on a worker.
func (s *step) need() resource.Vector {
	need := s.spec.Need
	if s.spec.UsesIdleCPU {
		need.MilliCPU = 0
	}
	return need
}

// place starts the waiting tasks that can start, in order, and requests advice where
// it is missing.
func (c *Cell) place() {
	lost := c.lostGangs()
	if c.leaseLength() < minLease || len(c.waiting)+len(lost) == 0 || c.policyExpired() {
		return
	}
	c.sortWaiting()
	c.heldUse = c.heldResources()
	c.allHostsBusy = [callClasses]bool{}
	p := c.newRound()
	defer p.clearStaleReservations()
	defer func() { c.reservedMilliCPU = p.reservedMilliCPU }()
	c.placeMissingMembers(p)
	for _, s := range c.waiting {
		pool := p.pools[s.queue.Service]
		if pool == nil || !c.mayPlace(s) {
			continue
		}
		if s.spec.Gang {
			c.placeGang(p, pool, s)
		} else {
			c.placeTasks(p, pool, s)
		}
	}
	for _, s := range lost {
		if pool := p.pools[s.queue.Service]; pool != nil {
			c.requestTicketsAhead(pool, s)
		}
	}
}

// clearStaleReservations ends the reservations that this round did not renew.
func (p *round) clearStaleReservations() {
	for _, pool := range p.pools {
		for _, cand := range pool.candidates {
			if cand.reservedFrom == 0 {
				cand.w.reservedFrom = 0
			}
		}
	}
}

// mayPlace reports whether tasks of the step may be placed now, or advice requested
// for them.
func (c *Cell) mayPlace(s *step) bool {
	if c.now.Steady < s.notBefore {
		return false
	}
	return s.job.stored || s.advice.needed
}

// room returns how many tasks of the step fit on the worker: none on one whose runs take more
// of any resource than it has.
func (s *step) room(w *worker, free resource.Vector) int {
	n := len(s.tasks)
	fit := func(have, need int64) {
		if need > 0 {
			n = min(n, int(have/need))
		}
	}
	need := s.need()
	if !need.Fits(free) {
		return 0
	}
	fit(free.MilliCPU, need.MilliCPU)
	fit(free.MemoryMB, need.MemoryMB)
	fit(free.Accelerators, need.Accelerators)
	if limit := s.spec.MaxPerWorker; limit > 0 && n > 0 {
		n = min(n, limit-s.runsOn(w))
	}
	return max(0, n)
}

// runsOn returns the number of runs of the step on w.
func (s *step) runsOn(w *worker) int {
	count := 0
	for _, r := range w.runsByAge {
		if r.task.step == s {
			count++
		}
	}
	return count
}

// placeTasks starts the tasks of a step one by one where there is room.
func (c *Cell) placeTasks(p *round, pool *servicePool, s *step) {
	need := s.need()
	if !pool.hasRoom(need) {
		c.takeRoomBackForTasks(p, pool, s, s.unstartedTasks())
		return // no worker has room, the usual case on a full fleet
	}
	allowed := min(c.remainingQuota(p, s), c.longStartsAllowed(pool, s.queue.Service, s))
	if allowed == 0 {
		return
	}
	duration := c.queueStats(s.queue.Name).expectedDuration(s.spec.Estimate)
	var candidates []*candidate
	room := 0
	for _, cand := range pool.mayRunOn(s) {
		if need.Fits(cand.free) && !s.blockedByReservation(cand, c.now.Steady, cand.w.duration(duration)) && s.advice.startAllowed(cand.w, c.now.Steady) && cand.w.hasLabel(s.spec.Label) {
			candidates = append(candidates, cand)
			room += s.room(cand.w, cand.free)
		}
	}
	if !s.job.stored {
		// Until the job is stored, only advice is requested, for tasks without tickets.
		if left := min(allowed, s.unstartedTasks()); room < left {
			c.requestAdvice(pool, s, left)
		}
		return
	}
	needed := c.neededSpeed(s)
	left, placed := 0, 0
	for _, t := range s.tasks {
		if t.done || len(t.runs) > 0 || t.heldFor != "" || allowed == 0 {
			continue
		}
		cand, may := c.candidateFor(s, t, duration, needed, candidates)
		if !may {
			continue
		}
		allowed--
		if cand == nil {
			left++
			continue
		}
		t.lastRun++
		c.placeTask(t, cand.w, t.lastRun)
		placed++
		cand.take(need)
	}
	c.takeLongRoom(pool, s, placed)
	c.logPlaced(s, placed, left)
	c.takeRoomBackForTasks(p, pool, s, left)
	if left > 0 && s.advice.needed {
		c.requestAdvice(pool, s, left)
	}
}

// candidateFor returns the worker for a task, nil if none has room, and reports whether the
// task may start now.
func (c *Cell) candidateFor(s *step, t *task, duration time.Duration, needed float64, candidates []*candidate) (*candidate, bool) {
	if cand := c.groupCandidate(t, candidates); cand != nil {
		return cand, true
	}
	if !c.mayTry(t) {
		return nil, false
	}
	cand := c.bestCandidate(s, t, duration, needed, candidates)
	if cand == nil && slices.ContainsFunc(candidates, func(cand *candidate) bool { return s.room(cand.w, cand.free) > 0 }) {
		c.withhold(t)
	}
	return cand, true
}

// bestCandidate returns the worker with the lowest score for the task, or nil if none
// has room. Apart from penalties, it prefers fast workers and those on which the task
// leaves the least processor time unused. On an uneven fleet it prefers slow workers, if
// they are fast enough.
func (c *Cell) bestCandidate(s *step, t *task, duration time.Duration, needed float64, candidates []*candidate) *candidate {
	trial := c.trialOf(t)
	if trial.alone && !c.overdue(t) {
		return c.emptyCandidate(t, candidates)
	}
	var best *candidate
	bestScore := 0.0
	for _, cand := range candidates {
		if s.room(cand.w, cand.free) == 0 || !c.mayShare(t, cand.w) {
			continue
		}
		score := float64(cand.free.MilliCPU-s.spec.Need.MilliCPU) / float64(max(1, cand.w.Capacity.MilliCPU, s.spec.Need.MilliCPU))
		score += speedScore(cand.w.placementSpeed(), max(needed, t.minSpeed))
		if from := cand.w.reservedFrom; from > c.now.Steady && c.now.Steady+cand.w.duration(duration) > from {
			score += penaltyReserved
		}
		if cand.w.cold(c.now.Steady) {
			score += penaltyCold
		}
		score += trial.penalty(cand.w)
		if cand.w.probation != nil {
			score += penaltyProbation
		}
		if t.avoid[cand.w.ID] {
			score += penaltyFailed
		}
		if s.spec.Rack != "" && cand.w.Rack != s.spec.Rack {
			score += penaltyOffRack
		}
		if best == nil || score < bestScore {
			best, bestScore = cand, score
		}
	}
	return best
}

// remainingQuota returns how many more tasks of the step the team's ceiling allows.
func (c *Cell) remainingQuota(p *round, s *step) int {
	ceiling := c.policy[s.job.team()].Ceiling
	used := c.team(s.job.team()).used.Add(c.heldUse[s.job.team()]).Add(p.reservedQuota[s.job.team()])
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
		use = &teamUse{refilledAt: c.now.Steady, allowance: c.policy[name].Rate * rateBurst.Seconds()}
		c.teams[name] = use
	}
	return use
}

// chargeTeam adds the resources of one task of a step to its team's use or, with a
// negative sign, subtracts them.
func (c *Cell) chargeTeam(s *step, sign int64) {
	use := c.team(s.job.team())
	use.used = use.used.Add(s.spec.Need.Times(sign))
	c.chargeShare(s, sign)
}

// team returns the job's team. It also works after the job has ended.
func (j *job) team() string { return j.progress.Team }

// logPlaced logs the placement of tasks of a step.
func (c *Cell) logPlaced(s *step, placed, left int) {
	if placed > 0 {
		c.logInfo("placed", slog.String("step", s.name), slog.Int("tasks", placed), slog.Int("left", left), slog.Uint64("token", c.token))
	}
}
