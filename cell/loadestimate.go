package cell

import (
	"time"

	"github.com/cowslipgap/cowslipgap/scarcity"
	"github.com/cowslipgap/cowslipgap/workload"
)

// minAdviceAnswers is how many answers of the advice service are needed before a queue's
// share of eligible workers bounds what fits.
const minAdviceAnswers = 8

// loadEstimate is the demand on the fleet. Running work is counted separately, as
// it keeps its room whatever its rank.
type loadEstimate struct {
	running   map[teamService]scarcity.Demand
	waiting   map[waitingKey]scarcity.Demand
	capacity  map[string]float64 // cores of speed 1, by service
	fleets    map[string]*scarcity.Fleet
	evictable map[evictableKey]*evictableRoom
	untried   map[trialKey]int // waiting tasks that may crash their workers
	listed    bool             // the workers had been listed when it was computed
}

// teamService identifies the running work of a team on the workers of a service.
type teamService struct{ team, service string }

// waitingKey identifies the waiting work of a team at one rank.
type waitingKey struct {
	teamService
	rank int
	gang bool
}

// expectedWait estimates how long a job would wait behind the accepted jobs and those of
// the callers that come before it: for room on the workers of its service, for its team's
// share and for its team's ceiling.
func (c *Cell) expectedWait(spec *workload.Job, rank int, promised promisedDemand) time.Duration {
	ahead, team := scarcity.Ahead{Tasks: promised.fleet}, promised.team
	add := func(key teamService, d scarcity.Demand, sum *scarcity.Demand) {
		if key.service == spec.Queue.Service {
			*sum = sum.Add(d)
		}
		if key.team == spec.Team {
			team = team.Add(d)
		}
	}
	for key, d := range c.load.running {
		add(key, d, &ahead.Running)
	}
	for key, d := range c.load.waiting {
		switch {
		case key.rank > rank || key.rank == rank && c.teamYields(key.team, spec.Team):
		case key.gang:
			add(key.teamService, d, &ahead.Gangs)
		default:
			add(key.teamService, d, &ahead.Tasks)
		}
	}
	fleet, ceiling := c.fleet(spec.Queue.Service), c.policy[spec.Team].Ceiling
	wait := c.shareWait(spec, rank, team)
	for i := range spec.Steps {
		if spec.Steps[i].UsesIdleCPU {
			continue
		}
		r := c.request(&spec.Queue, &spec.Steps[i], rank)
		r.Deferred = r.Deferred || spec.Repeat > 0
		if fleet != nil {
			forRoom := fleet.Wait(r, ahead)
			if forRoom > c.StopTimeout && rank == spec.Queue.Priority && c.fitsAfterEviction(r, spec.Queue.Service, rank, ahead) {
				forRoom = c.StopTimeout
			}
			wait = max(wait, forRoom)
		}
		wait = max(wait, team.Wait(r.Total(), ceiling))
	}
	return wait
}

// request returns what a step asks of the fleet. No rack is asked for: a step whose data
// or members are on other racks takes longer, but does not wait for one rack.
func (c *Cell) request(q *workload.Queue, s *workload.Step, rank int) scarcity.Request {
	r := scarcity.Request{Need: s.Need, Tasks: s.Count, MaxPerWorker: s.MaxPerWorker, Label: s.Label, Gang: s.Gang, Deferred: s.LongRunning, Rank: rank}
	stats := c.queueStats(q.Name)
	r.Time = time.Duration(overrunFactor * float64(stats.expectedDuration(s.Estimate)))
	if q.Advice != nil && stats.adviceSamples >= minAdviceAnswers {
		r.Eligible = stats.eligibleShare
	}
	return r
}

// estimateLoad computes the remaining work of all accepted jobs.
func (c *Cell) estimateLoad() {
	c.load = loadEstimate{running: map[teamService]scarcity.Demand{}, waiting: map[waitingKey]scarcity.Demand{}, capacity: map[string]float64{}, fleets: map[string]*scarcity.Fleet{}, evictable: map[evictableKey]*evictableRoom{}, untried: map[trialKey]int{}, listed: c.listedOnce}
	cores := 0.0
	for _, w := range c.sortedWorkers {
		if w.counts(c.now.Steady) {
			n := float64(w.Capacity.MilliCPU) / 1000 * w.workSpeed()
			c.load.capacity[w.Service] += n
			cores += n
		}
	}
	c.eviction.refill(c.now.Steady, cores)
	for _, j := range c.live {
		if !j.progress.State.Final() {
			c.addLoad(j)
		}
	}
}

// counts reports whether the worker's capacity is part of the estimate.
func (w *worker) counts(now Instant) bool {
	return w.listed && !w.Draining && !w.evacuated && !w.silent(now)
}

// fleet returns the room of a service's workers. It is computed when the first job after an
// estimate asks for it.
func (c *Cell) fleet(service string) *scarcity.Fleet {
	if c.load.fleets == nil || c.load.fleets[service] != nil {
		return c.load.fleets[service]
	}
	var workers []*worker
	for _, w := range c.sortedWorkers {
		if w.Service == service && w.counts(c.now.Steady) {
			workers = append(workers, w)
		}
	}
	f := c.newFleet(workers)
	c.load.fleets[service] = f
	return f
}

// newFleet returns the room of the workers as it is now. What Holes returns for later times
// is computed when it is first asked for, from the runs of now.
func (c *Cell) newFleet(workers []*worker) *scarcity.Fleet {
	if len(workers) == 0 {
		return &scarcity.Fleet{}
	}
	f := &scarcity.Fleet{}
	empty, free := make([]scarcity.Hole, len(workers)), make([]scarcity.Hole, len(workers))
	for i, w := range workers {
		f.Capacity = f.Capacity.Add(w.Capacity)
		empty[i] = scarcity.Hole{Free: w.Capacity, Labels: w.Labels}
		free[i] = scarcity.Hole{Free: w.free(), Labels: w.Labels, Rank: w.reservedRank}
		if w.reservedFrom > 0 {
			free[i].Reserved = max(1, w.reservedFrom-c.now.Steady)
		}
	}
	f.Empty = scarcity.NewHoles(empty)
	estimatedAt := c.now.Steady
	cache := map[time.Duration]*scarcity.Holes{}
	var releases [][]release
	f.Holes = func(after time.Duration) *scarcity.Holes {
		if h := cache[after]; h != nil {
			return h
		}
		if after > 0 && releases == nil {
			releases = c.releasesSince(workers, estimatedAt)
		}
		holes := make([]scarcity.Hole, len(free))
		copy(holes, free)
		if after > 0 {
			for i := range holes {
				for _, rel := range releases[i] {
					if rel.at <= estimatedAt+after {
						holes[i].Free = holes[i].Free.Add(rel.need)
					}
				}
			}
		}
		h := scarcity.NewHoles(holes)
		cache[after] = h
		return h
	}
	return f
}

// releasesSince returns, for each worker, the expected ends of the runs that had been
// placed at the given time.
func (c *Cell) releasesSince(workers []*worker, at Instant) [][]release {
	list := make([][]release, len(workers))
	for i, w := range workers {
		for _, r := range w.runsByAge {
			if r.sentAt <= at || r.confirmedAt > 0 {
				list[i] = append(list[i], release{c.now.Steady + c.remainingTime(r), r.task.step.need()})
			}
		}
	}
	return list
}

// addLoad adds the remaining work of a job to the estimate.
func (c *Cell) addLoad(j *job) {
	if c.load.running == nil {
		return // the next estimate includes it
	}
	stats := c.queueStats(j.spec.Queue.Name)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if !s.done && !s.spec.UsesIdleCPU {
				c.addStep(s, stats.expectedDuration(s.spec.Estimate))
			}
		}
	}
}

// addStep adds the remaining work of a step whose tasks take the given time.
func (c *Cell) addStep(s *step, duration time.Duration) {
	j, need, now := s.job, s.spec.Need, c.now.Steady
	running, ready, later := 0, 0, 0 // tasks
	left := 0.0                      // of the running ones, in runs
	for _, t := range s.tasks {
		switch {
		case t.done:
		case len(t.runs) > 0 && (t.runs[0].w.evacuated || t.runs[0].w.silent(now)):
			// The capacity of these workers is not counted either.
		case len(t.runs) > 0:
			running++
			left += 1 - t.runs[0].doneShare()
		case s.ready || j.acceptedAt == now:
			ready++
		default:
			later++
		}
	}
	demand := func(tasks int, runs float64) scarcity.Demand {
		return scarcity.Demand{Now: need.Times(int64(tasks)), Work: need.Times(int64(runs * float64(duration.Milliseconds())))}
	}
	key := waitingKey{teamService{j.team(), s.queue.Service}, c.rank(s), s.spec.Gang}
	if ready > 0 {
		c.addTrials(s, key.rank)
	}
	if running > 0 {
		c.load.running[key.teamService] = c.load.running[key.teamService].Add(demand(running, left))
	}
	if ready+later > 0 {
		c.load.waiting[key] = c.load.waiting[key].Add(demand(ready, float64(ready+later)))
	}
}

// doneShare returns the share of its work that a run has done.
func (r *run) doneShare() float64 { return min(1, max(0, float64(r.percent)/100)) }
