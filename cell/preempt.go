package cell

import (
	"log/slog"
	"time"

	"github.com/cowslipgap/cowslipgap/eviction"
	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/scarcity"
)

// This file takes room back from running tasks. On a fleet full of long tasks of a low
// priority, an urgent step would start after its latest start. Then runs that save their
// progress are stopped and resume later. Their room is reserved for the step in the
// placement round that stops them and in those that follow, as it is free soonest.

const (
	// evictionShare is the share of the fleet's work that may be thrown away to make room.
	evictionShare = 0.01
	// evictionBurst bounds what may be thrown away at once: as much as evictionShare
	// allows in this time.
	evictionBurst = 10 * time.Second
	// maxEvictions is how often a task may be stopped to make room.
	maxEvictions = 2
	// maxCheckpointAge is the age of a run's last checkpoint, or of the run if it has none,
	// above which the run is not stopped: it does not save its progress as it should.
	maxCheckpointAge = 3 * time.Second
	// restoreTime is the work that a run loses on resuming from a checkpoint.
	restoreTime = 100 * time.Millisecond
	// evictionPause is the minimum time between two evictions for the same step.
	evictionPause = time.Second
	// roomCheckInterval is the minimum time between two searches for runs to stop for the
	// same step.
	roomCheckInterval = 100 * time.Millisecond
	// acceptedWait is how long users accept that a job waits although there is room for it.
	acceptedWait = 3 * time.Second
	// maxRoomChecks bounds these searches in a placement round.
	maxRoomChecks = 4
)

// evictionState is the work that may still be thrown away, and what was.
type evictionState struct {
	budget     float64 // core-seconds
	refilledAt Instant
	runs       int     // stopped
	lost       float64 // core-seconds
}

// restart empties the budget at a claim, so that takeovers do not add up to more than the
// budget of one owner.
func (e *evictionState) restart(now Instant) { e.budget, e.refilledAt = 0, now }

// refill adds what a fleet of the given cores may throw away since the last refill.
func (e *evictionState) refill(now Instant, cores float64) {
	e.budget = min(e.budget+evictionShare*cores*(now-e.refilledAt).Seconds(), evictionShare*cores*evictionBurst.Seconds())
	e.refilledAt = now
}

// takeRoomBack stops runs of lower priority if the tasks of an urgent step would otherwise
// start, at the given time, after their latest start, or if a gang lacks room that is free
// elsewhere. It reports whether it stopped any.
func (c *Cell) takeRoomBack(p *round, pool *servicePool, s *step, expected Instant, tasks int) bool {
	late := expected > s.latestStart-c.evictionTime(s) && c.mayTakeRoomBack(p, pool, s)
	if !late && !c.mayMoveRunsFor(p, pool, s, expected) {
		return false
	}
	return c.stopRunsFor(p, pool, s, tasks)
}

// mayMoveRunsFor reports whether runs may be stopped for a gang that waits on a fleet that is
// mostly free, because the few workers that may run it are not free together. The runs resume
// on others at once. Users accept a wait of acceptedWait although there is room.
func (c *Cell) mayMoveRunsFor(p *round, pool *servicePool, s *step, expected Instant) bool {
	now := c.now.Steady
	return s.spec.Gang && s.job.stored && !s.job.beyondRate && pool.mostlyFree() && expected > max(now+c.evictionTime(s), s.readyAt+acceptedWait) &&
		now >= s.roomCheckAt && p.roomChecks < maxRoomChecks && pool.evictsFor(s)
}

// stopRunsFor stops runs of lower priority to make room for tasks of the step, if that is
// possible within the budget, and reports whether it was.
func (c *Cell) stopRunsFor(p *round, pool *servicePool, s *step, tasks int) bool {
	p.roomChecks++
	s.roomCheckAt = c.now.Steady + roomCheckInterval
	workers, runs := c.evictable(pool, s)
	plan := eviction.Plan{Budget: c.eviction.budget}
	chosen := plan.Choose(workers, s.need(), tasks)
	if len(chosen) == 0 {
		return false
	}
	s.roomCheckAt = c.now.Steady + evictionPause
	s.roomOn = map[*worker]int{}
	for _, cand := range pool.candidates {
		free := cand.free
		for _, v := range chosen[cand.w.ID] {
			c.evict(runs[v.Task], s, v.Lost)
			cand.releases = nil
			free = free.Add(v.Need)
			s.roomOn[cand.w] = s.room(cand.w, free)
		}
	}
	return true
}

// mayTakeRoomBack reports whether runs may be stopped for the step now, if it lacks room.
func (c *Cell) mayTakeRoomBack(p *round, pool *servicePool, s *step) bool {
	now := c.now.Steady
	return s.job.stored && !s.job.beyondRate && now >= s.roomCheckAt && now <= s.latestStart-c.evictionTime(s) &&
		p.roomChecks < maxRoomChecks && pool.evictsFor(s)
}

// evictionTime returns how long it takes from a decision to stop runs until the step can
// start in their place.
func (c *Cell) evictionTime(s *step) time.Duration {
	took := c.StopTimeout
	if s.advice.needed {
		took = max(took, s.queue.Advice.Duration(len(s.tasks))+ticketLeadTime)
	}
	return took
}

// evict stops a run to make room for a step. The stop is sent once it is counted in the
// store, so that the owners together stop no task more than maxEvictions times.
func (c *Cell) evict(r *run, s *step, lost float64) {
	c.chargeEviction(r, lost)
	c.eviction.runs++
	r.task.evictions++
	r.roomFor, r.evictedAt = s, c.now.Steady
	p := r.task.part()
	p.evicted = append(p.evicted, r)
	c.markPartDirty(p)
}

// stopEvicted stops a run whose eviction is stored. It takes the eviction back if the run
// has ended, can no longer be stopped at little loss, or makes room for nothing by now.
func (c *Cell) stopEvicted(r *run) {
	t, s := r.task, r.roomFor
	r.roomFor = nil
	if r.w.runs[t.name] != r || !c.stopsWell(r) || s.job.spec == nil || s.unstartedTasks() == 0 || c.now.Steady-r.evictedAt >= evictionPause {
		c.chargeEviction(r, 0)
		c.eviction.runs--
		t.evictions--
		if t.step.job.spec != nil {
			c.markTaskDirty(t)
		}
		return
	}
	c.chargeEviction(r, c.lostWork(r))
	c.logInfo("room taken back", slog.String("task", t.name), slog.Uint64("run", r.number), slog.String("worker", r.w.ID), slog.String("for", s.name), slog.Float64("lostCoreSeconds", r.lost))
	c.stopRun(r)
}

// chargeEviction charges the core-seconds that the stop of a run throws away, in place of
// what was charged for it before.
func (c *Cell) chargeEviction(r *run, lost float64) {
	c.eviction.budget -= lost - r.lost
	c.eviction.lost += lost - r.lost
	r.lost = lost
}

// refundEviction takes back what was charged for a stopped run, but for the time to resume
// it, because the run saved its progress at the stop.
func (c *Cell) refundEviction(r *run) {
	c.chargeEviction(r, min(r.lost, restoreTime.Seconds()*float64(r.task.step.need().MilliCPU)/1000))
	r.lost = 0
}

// evictable returns the workers that may run the step, with the runs that may be stopped
// for it, and these runs by task.
func (c *Cell) evictable(pool *servicePool, s *step) ([]eviction.Worker, map[string]*run) {
	var workers []eviction.Worker
	runs := map[string]*run{}
	freed := c.now.Steady + c.StopTimeout
	for _, cand := range pool.candidates {
		if cand.reservedFrom > 0 || !s.eligibleOn(cand.w) {
			continue
		}
		w := eviction.Worker{ID: cand.w.ID, Free: cand.free, Limit: s.spec.MaxPerWorker}
		if w.Limit > 0 {
			if w.Limit -= s.runsOn(cand.w); w.Limit <= 0 {
				continue
			}
		}
		for _, rel := range c.releases(cand) {
			if rel.at <= freed {
				w.Free = w.Free.Add(rel.need)
			}
		}
		for _, r := range cand.w.runsByAge {
			if !c.mayEvict(r, s.queue.Priority) || c.remainingTime(r) <= c.StopTimeout {
				continue
			}
			w.Victims = append(w.Victims, eviction.Victim{Task: r.task.name, Need: r.task.step.need(), Lost: c.lostWork(r), Late: c.lateAfter(r, s)})
			runs[r.task.name] = r
		}
		workers = append(workers, w)
	}
	return workers, runs
}

// mayEvict reports whether a run may be stopped for a step of the given priority. Members
// of a gang are not: the end of one ends the work of all, on workers that are not needed.
func (c *Cell) mayEvict(r *run, priority int) bool {
	s := r.task.step
	if s.job.spec == nil || s.job.progress.State.Final() || s.queue.Priority <= priority {
		return false
	}
	if !s.spec.Checkpointing || s.spec.Gang || s.spec.LongRunning || s.spec.UsesIdleCPU {
		return false
	}
	return r.task.evictions < maxEvictions && c.stopsWell(r)
}

// stopsWell reports whether a run is at work and a stop throws away little of it.
func (c *Cell) stopsWell(r *run) bool {
	return r.atWork() && !r.w.failing && c.unsaved(r) <= maxCheckpointAge
}

// unsaved returns how long a run has worked since its last known checkpoint.
func (c *Cell) unsaved(r *run) time.Duration { return c.now.Steady - max(r.confirmedAt, r.savedAt) }

// lostWork returns the core-seconds that a stop of the run throws away at most.
func (c *Cell) lostWork(r *run) float64 {
	return (c.unsaved(r) + restoreTime).Seconds() * float64(r.task.step.need().MilliCPU) / 1000
}

// lateAfter reports whether the run's step would be late only because the run is stopped
// and resumes after the tasks of s, for which it makes room.
func (c *Cell) lateAfter(r *run, s *step) bool {
	victim := r.task.step
	latestEnd := victim.latestStart + victim.spec.Estimate
	end := c.now.Steady + c.remainingTime(r)
	pause := c.evictionTime(s) + c.queueStats(s.queue.Name).expectedDuration(s.spec.Estimate) + restoreTime
	return end <= latestEnd && end+pause > latestEnd
}

// takeRoomBackForTasks takes room back for the unstarted tasks of a step that is not a gang
// and found no room. The workers whose runs are stopped are reserved until the step looks
// for room again.
func (c *Cell) takeRoomBackForTasks(p *round, pool *servicePool, s *step, left int) {
	if left > 0 && c.mayTakeRoomBack(p, pool, s) {
		s.roomOn = nil
		s.roomCheckAt = c.now.Steady + roomCheckInterval
		left = min(left, c.remainingQuota(p, s))
		openings := c.gangOpenings(pool, s)
		inTime := left <= len(openings) && (left == 0 || openings[left-1].at <= s.latestStart-c.evictionTime(s))
		if !inTime {
			c.stopRunsFor(p, pool, s, left)
		}
	}
	if left == 0 || len(s.roomOn) == 0 || c.now.Steady >= s.roomCheckAt {
		return
	}
	for _, cand := range pool.candidates {
		if n := s.roomOn[cand.w]; n > 0 && cand.reservedFrom == 0 {
			p.reserve(s, []assignment{{cand, min(n, left)}}, c.now.Steady+c.StopTimeout)
		}
	}
}

// evictsFor reports whether runs of a lower priority than the step's are on the workers.
func (pool *servicePool) evictsFor(s *step) bool {
	if !pool.prioritiesKnown {
		pool.prioritiesKnown = true
		for _, cand := range pool.candidates {
			for _, r := range cand.w.runsByAge {
				if v := r.task.step; v.job.spec != nil && v.spec.Checkpointing && !v.spec.Gang {
					pool.lowestPriority = max(pool.lowestPriority, v.queue.Priority)
				}
			}
		}
	}
	return pool.lowestPriority > s.queue.Priority
}

// evictableKey identifies the room that steps of a priority may take back.
type evictableKey struct {
	service  string
	priority int
}

// evictableRoom is the room of a service's workers without the runs that may be stopped.
type evictableRoom struct {
	fleet       scarcity.Fleet
	held        resource.Vector // by other runs
	lostPerCore float64         // core-seconds that stops throw away for each core that they free
}

// fitsAfterEviction reports whether a request of the given priority finds room at once if
// runs of lower priority are stopped for it and for what waits ahead, within the budget.
func (c *Cell) fitsAfterEviction(r scarcity.Request, service string, priority int, ahead scarcity.Ahead) bool {
	key := evictableKey{service, priority}
	room := c.load.evictable[key]
	if room == nil {
		room = c.evictableRoom(key)
		c.load.evictable[key] = room
	}
	if room.lostPerCore == 0 {
		return false
	}
	waiting := ahead.Tasks.Add(ahead.Gangs)
	cores := float64(waiting.Now.Add(r.Total()).MilliCPU) / 1000
	if cores*room.lostPerCore > c.eviction.budget {
		return false
	}
	return room.fleet.Wait(r, scarcity.Ahead{Running: scarcity.Demand{Now: room.held}, Tasks: waiting}) == 0
}

func (c *Cell) evictableRoom(key evictableKey) *evictableRoom {
	room := &evictableRoom{}
	var holes []scarcity.Hole
	lost, cores := 0.0, 0.0
	for _, w := range c.sortedWorkers {
		if w.Service != key.service || !w.counts(c.now.Steady) {
			continue
		}
		hole := scarcity.Hole{Free: w.free(), Labels: w.Labels}
		for _, r := range w.runsByAge {
			if c.mayEvict(r, key.priority) {
				need := r.task.step.need()
				hole.Free = hole.Free.Add(need)
				lost += c.lostWork(r)
				cores += float64(need.MilliCPU) / 1000
			}
		}
		room.held = room.held.Add(w.Capacity.Sub(hole.Free))
		holes = append(holes, hole)
	}
	if cores > 0 {
		room.lostPerCore = lost / cores
	}
	fleet := c.fleet(key.service)
	table := scarcity.NewHoles(holes)
	room.fleet = scarcity.Fleet{Capacity: fleet.Capacity, Empty: fleet.Empty, Holes: func(time.Duration) *scarcity.Holes { return table }}
	return room
}
