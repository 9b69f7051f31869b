package cell

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/cowslipgap/cowslipgap/resource"
)

const (
	// slowRunInterval is how often slow runs are looked for.
	slowRunInterval = 200 * time.Millisecond
	// minSpareRoom is the share of a service's processors that must be free, beyond what
	// the waiting work needs, for copies and moves.
	minSpareRoom = 0.1
	// maxExtraRoom is the share of a service's processors that copies and moves under way
	// may take.
	maxExtraRoom = 0.02
	// maxCopies bounds the copies of a task, some of which may fail or get no answer.
	maxCopies = 2
	// restartDelay is the time to store a placement, start a run and resume its work; for a
	// move, also to stop the run before.
	restartDelay = 500 * time.Millisecond
	// minGain is the share of the remaining time by which a copy or a move must end sooner.
	minGain = 0.25
)

// This file answers runs that are slow while fast workers are free. Where a step allows
// copies, a second run starts on a faster worker, and the first to end counts. Elsewhere a
// run whose checkpoint is saved is stopped and resumes on a faster worker, if that makes its
// job end in time.

// hastening counts copies and moves since the claim.
type hastening struct {
	copies, moves int
	checkedAt     Instant
	looked        int // runs and workers looked at for them
}

// slowRun is a run that a copy or a move to another worker would end sooner.
type slowRun struct {
	*run
	target *candidate
	gain   time.Duration
}

// hastenSlowRuns starts copies of slow runs and moves others, if there is room that no
// waiting work needs.
func (c *Cell) hastenSlowRuns() {
	if c.now.Steady-c.hastening.checkedAt < slowRunInterval || c.leaseLength() < minLease || c.policyExpired() || len(c.sortedWorkers) == 0 {
		return
	}
	c.hastening.checkedAt = c.now.Steady
	c.heldUse = c.heldResources()
	p := c.newRound()
	for _, service := range slices.Sorted(maps.Keys(p.pools)) {
		c.hastenOn(p, p.pools[service], service)
	}
}

func (c *Cell) hastenOn(p *round, pool *servicePool, service string) {
	spare, budget := c.spareRoom(pool, service)
	if spare <= 0 || budget <= 0 {
		return
	}
	for _, slow := range c.slowRuns(p, pool, service) {
		s := slow.task.step
		need := s.spec.Need.MilliCPU
		if spare -= need; spare < 0 || budget < need {
			return
		}
		if !c.stillFits(p, slow) {
			continue // an earlier one took the room, or the rest of the team's quota
		}
		budget -= need
		if s.spec.Speculative {
			c.copyRun(slow)
		} else {
			c.moveRun(slow)
		}
		slow.target.take(s.need())
	}
}

// stillFits reports whether the target may take the run beside those that have been placed
// since it was chosen.
func (c *Cell) stillFits(p *round, slow slowRun) bool {
	s := slow.task.step
	return slow.target.w.probation == nil && s.room(slow.target.w, slow.target.free) > 0 && (!s.spec.Speculative || c.remainingQuota(p, s) > 0)
}

// spareRoom returns the processors, in thousandths, that copies and moves may take: of the
// room that nothing else needs, and of what those under way leave of the maximum.
func (c *Cell) spareRoom(pool *servicePool, service string) (spare, budget int64) {
	total := int64(0)
	for _, cand := range pool.candidates {
		total += cand.w.Capacity.MilliCPU
		spare += cand.free.Usable().MilliCPU
		for _, r := range cand.w.runsByAge {
			if r.hastened {
				budget -= r.task.step.spec.Need.MilliCPU
			}
		}
	}
	for _, s := range c.waiting {
		if s.job.spec != nil && s.queue.Service == service {
			spare -= int64(s.unstartedTasks()) * s.spec.Need.MilliCPU
		}
	}
	return spare - int64(minSpareRoom*float64(total)), budget + int64(maxExtraRoom*float64(total))
}

// slowRuns returns the runs that are worth a copy or a move, those with the greatest gain
// first.
func (c *Cell) slowRuns(p *round, pool *servicePool, service string) []slowRun {
	var list []slowRun
	var fastest *fastWorkers
	noTarget := map[*step]bool{} // steps of which a run has found no worker
	for _, w := range c.sortedWorkers {
		if w.Service != service {
			continue
		}
		for _, r := range w.runsByAge {
			c.hastening.looked++
			s := r.task.step
			if !c.mayHasten(r) || !c.isSlow(r) || noTarget[s] || c.remainingQuota(p, s) == 0 {
				continue
			}
			if fastest == nil {
				fastest = newFastWorkers(pool, &c.hastening.looked)
			}
			target := c.fasterWorker(pool, fastest, r)
			if target == nil {
				noTarget[s] = true
				continue
			}
			if gain, worth := c.hasteningGain(r, target.w); worth {
				list = append(list, slowRun{r, target, gain})
			}
		}
	}
	slices.SortFunc(list, func(a, b slowRun) int {
		return cmp.Or(cmp.Compare(b.gain, a.gain), cmp.Compare(a.task.name, b.task.name))
	})
	return list
}

// mayHasten reports whether a run may be copied or moved: the first of its task, if its
// step allows copies or has saved a checkpoint.
func (c *Cell) mayHasten(r *run) bool {
	s := r.task.step
	if !r.atWork() || r.number != 1 || len(r.task.runs) != 1 || r.task.copies >= maxCopies || s.job.spec == nil || s.job.progress.State.Final() {
		return false
	}
	if s.spec.Gang || c.mayCrash(r) || s.spec.LongRunning || s.spec.UsesIdleCPU || s.spec.Estimate <= 0 || !c.queueStats(s.queue.Name).runs.Known() {
		return false
	}
	if limit := s.queue.MaxAttempts; limit > 0 && len(r.task.failedRuns)+1 >= limit {
		return false
	}
	if s.spec.Speculative {
		return true
	}
	return s.spec.Checkpointing && r.task.checkpoint != "" && r.percent > 0 && r.w.factor > 0 && !r.w.failing
}

// fastWorkers holds the candidates of a pool, the fastest first.
type fastWorkers struct {
	list     []*candidate
	firstFit map[resource.Vector]int // index of the first that has room for a need
	looked   *int                    // counts candidates looked at
}

func newFastWorkers(pool *servicePool, looked *int) *fastWorkers {
	f := &fastWorkers{list: slices.Clone(pool.candidates), firstFit: map[resource.Vector]int{}, looked: looked}
	slices.SortStableFunc(f.list, fasterFirst)
	return f
}

func fasterFirst(a, b *candidate) int {
	return cmp.Compare(b.w.placementSpeed(), a.w.placementSpeed())
}

// from returns the candidates from the first one that has room for the need.
func (f *fastWorkers) from(need resource.Vector) []*candidate {
	first, known := f.firstFit[need]
	if !known {
		for first < len(f.list) && !need.Fits(f.list[first].free) {
			first++
			*f.looked++
		}
		f.firstFit[need] = first
	}
	return f.list[first:]
}

// fasterWorker returns the fastest worker on which a copy of the run can start, or to which
// the run can move. It asks for a ticket if only that is missing.
func (c *Cell) fasterWorker(pool *servicePool, fastest *fastWorkers, r *run) *candidate {
	s := r.task.step
	need := s.need()
	candidates := fastest.from(need)
	if s.advice.needed {
		candidates = pool.mayRunOn(s) // few
		slices.SortStableFunc(candidates, fasterFirst)
		c.hastening.looked += len(candidates)
	}
	var best *candidate
	for _, cand := range candidates {
		c.hastening.looked++
		if cand.w != r.w && cand.w.probation == nil && need.Fits(cand.free) && cand.w.reservedFrom == 0 && !r.task.avoid[cand.w.ID] && s.eligibleOn(cand.w) && s.room(cand.w, cand.free) > 0 {
			best = cand
			break
		}
	}
	if best != nil && s.spec.Speculative && !s.advice.hasTicket(best.w, c.now.Steady) {
		if _, worth := c.hasteningGain(r, best.w); worth {
			c.renewTickets(s, []assignment{{best, 1}})
		}
		return nil
	}
	return best
}

// totalWork estimates how long all of a run's work takes on a worker of speed 1. A run that
// takes long on a worker of the usual speed has much work, and would take as long elsewhere.
func (c *Cell) totalWork(r *run) time.Duration {
	if r.percent == 0 {
		return c.queueStats(r.task.step.queue.Name).quantileDuration(r.task.step.spec.Estimate, 0.5) // it may be stuck
	}
	return time.Duration(float64(r.progressAt-r.confirmedAt) * 100 / float64(r.percent) * r.w.placementSpeed())
}

// isSlow reports whether a run that may be copied has taken longer than nearly all others,
// or one that may be moved makes its job late.
func (c *Cell) isSlow(r *run) bool {
	s := r.task.step
	if s.spec.Speculative {
		age := time.Duration(float64(c.now.Steady-r.confirmedAt) * r.w.workSpeed())
		return age > c.queueStats(s.queue.Name).quantileDuration(s.spec.Estimate, cautiousQuantile)
	}
	return c.now.Steady+c.remainingWork(r) > c.endBy(s, c.totalWork(r))
}

// hasteningGain returns how much sooner a slow run's task ends if it runs on w too, or
// instead, and whether that is worth it. A move must make the job end in time.
func (c *Cell) hasteningGain(r *run, w *worker) (time.Duration, bool) {
	s := r.task.step
	remaining, total := c.remainingWork(r), c.totalWork(r)
	left := float64(total) * float64(100-r.savedPercent) / 100
	renewed := restartDelay + time.Duration(left/w.placementSpeed())
	gain := remaining - renewed
	worth := float64(gain) >= minGain*float64(remaining)
	return gain, worth && (s.spec.Speculative || c.now.Steady+renewed <= c.endBy(s, total))
}

// copyRun starts a second run of a task.
func (c *Cell) copyRun(slow slowRun) {
	t := slow.task
	t.lastRun++
	t.copies++
	c.placeTask(t, slow.target.w, t.lastRun)
	t.runs[len(t.runs)-1].hastened = true
	c.hastening.copies++
	c.logHastened("slow run copied", slow)
}

// moveRun stops a run. Its task is placed again once the run has ended, on a worker that is
// as fast as the target if there still is one.
func (c *Cell) moveRun(slow slowRun) {
	slow.task.minSpeed = slow.target.w.workSpeed() / likeSpeed
	slow.hastened = true
	c.hastening.moves++
	c.logHastened("slow run moves", slow)
	c.stopRun(slow.run)
}

func (c *Cell) logHastened(text string, slow slowRun) {
	c.logInfo(text, slog.String("task", slow.task.name), slog.Uint64("run", slow.number), slog.String("worker", slow.w.ID),
		slog.String("to", slow.target.w.ID), slog.Int("percent", slow.percent), slog.Duration("gain", slow.gain))
}
