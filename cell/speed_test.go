package cell

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/workload"
)

var (
	likeSpeeds   = []float64{1, 1, 1}
	unevenSpeeds = []float64{0.6, 1, 1.6}
)

// newUnevenFleet returns a fleet with workers of the given speeds in turn.
func newUnevenFleet(t *testing.T, seed uint64, speeds []float64) *simFleet {
	f := newFleet(t, seed, 48)
	for i := range 48 {
		f.workers[fmt.Sprintf("w%03d", i)].speed = speeds[i%len(speeds)]
	}
	return f
}

// inTime reports whether the job ended within its objective, which counts the real work of
// its longest tasks at speed 1.
func (j *simJob) inTime() bool {
	actual := *j.spec
	actual.Steps = slices.Clone(j.spec.Steps)
	for n := range actual.Steps {
		actual.Steps[n].Estimate = 0
		for i := range actual.Steps[n].Count {
			id := workload.TaskID{Job: j.spec.ID, Step: n, Index: i}
			actual.Steps[n].Estimate = max(actual.Steps[n].Estimate, j.actual[id.String()])
		}
	}
	allowed := time.Duration(j.spec.Queue.Slack*float64(criticalPath(&actual))) + j.spec.Queue.Target
	return j.state == workload.Completed && j.endedAt-j.submittedAt <= allowed
}

// inTimeShares returns the share of jobs in time by queue, and logs it with the time that
// gangs take.
func (f *simFleet) inTimeShares() map[string]float64 {
	inTime, total := map[string]float64{}, map[string]float64{}
	var gangs []time.Duration
	for _, j := range f.jobs {
		queue := j.spec.Queue.Name
		total[queue]++
		if j.inTime() {
			inTime[queue]++
		}
		if queue == "refret" && j.endedAt > 0 {
			gangs = append(gangs, j.endedAt-j.submittedAt)
		}
	}
	slices.Sort(gangs)
	for queue := range total {
		inTime[queue] = math.Round(1000*inTime[queue]/total[queue]) / 1000
	}
	if len(gangs) > 0 {
		f.t.Logf("in time %v, gangs take %v (median) and %v (0.9 quantile), %v", inTime, gangs[len(gangs)/2], gangs[len(gangs)*9/10], f.outcomesByQueue())
	}
	return inTime
}

// unevenLoads are loads of a fleet of 48 workers with 32 cores each.
var unevenLoads = []struct {
	name     string
	simulate func(f *simFleet)
}{
	{"usual", func(f *simFleet) {
		f.submitMix("00", 2*time.Second, 32*time.Second, 40, 6, 1)
		f.misestimate(0)
	}},
	{"burst", func(f *simFleet) {
		f.submitMix("00", 2*time.Second, 32*time.Second, 40, 6, 1)
		f.submitMix("01", 16*time.Second, 20*time.Second, 40, 0, 1)
		f.misestimate(0)
	}},
	{"heavy tail", func(f *simFleet) {
		f.submitMix("00", 2*time.Second, 32*time.Second, 40, 6, 1)
		f.misestimate(0.03)
	}},
}

// TestUnevenFleetIsServedAsWellAsALikeOne replays loads on a fleet a third of which is slow
// and a third fast. The shares are those of the usual load on a fleet of like speeds.
func TestUnevenFleetIsServedAsWellAsALikeOne(t *testing.T) {
	t.Parallel()
	minShares := map[string]float64{"lookup": loadPatterns[0].minLookups, "quote": loadPatterns[0].minQuotes, "refret": loadPatterns[0].minGangs}
	for _, load := range unevenLoads {
		t.Run(load.name, func(t *testing.T) {
			const seeds = 3
			shares := map[string]float64{}
			for seed := range uint64(seeds) {
				f := newUnevenFleet(t, seed, unevenSpeeds)
				load.simulate(f)
				f.runUntil(4 * time.Minute)
				f.requireNoViolations()
				f.requireAllEnded()
				for queue, share := range f.inTimeShares() {
					shares[queue] += share / seeds
				}
			}
			like := newUnevenFleet(t, 0, likeSpeeds)
			load.simulate(like)
			like.runUntil(4 * time.Minute)
			like.inTimeShares()
			require.Empty(t, like.owner.uneven)
			for queue, share := range minShares {
				require.GreaterOrEqual(t, shares[queue], share, queue)
			}
		})
	}
}

// TestLikeSpeedsChangeNothing replays the usual load on fleets whose speeds differ by little
// or, on few workers, for a while.
func TestLikeSpeedsChangeNothing(t *testing.T) {
	t.Parallel()
	for _, speeds := range [][]float64{{0.8, 1, 1.25}, {1, 1, 1.3}, {1, 1, 1, 1, 1, 1, 0.2}} {
		f := newUnevenFleet(t, 1, speeds)
		unevenLoads[1].simulate(f)
		for f.now < 40*time.Second {
			f.runUntil(f.now + time.Second)
			require.Zero(t, f.owner.Summary().Uneven, "%v", speeds)
		}
		require.Greater(t, f.owner.Summary().Speeds, 40)
	}
}

// TestSlowWorkersThatTurnFastAreUsed changes the speed of a few slow workers.
func TestSlowWorkersThatTurnFastAreUsed(t *testing.T) {
	t.Parallel()
	f := newUnevenFleet(t, 2, unevenSpeeds)
	unevenLoads[0].simulate(f)
	f.runUntil(14 * time.Second)
	require.Equal(t, 1, f.owner.Summary().Uneven)
	// Of three workers in a row, the first is slow and the last fast.
	median := func(first, step int) float64 {
		var speeds []float64
		for i := first; i < 48; i += step {
			speeds = append(speeds, f.owner.workers[fmt.Sprintf("w%03d", i)].relativeSpeed())
		}
		slices.Sort(speeds)
		return speeds[len(speeds)/2]
	}
	require.InDelta(t, 0.6, median(0, 3)/median(1, 3), 0.1)
	require.InDelta(t, 1.6, median(2, 3)/median(1, 3), 0.2)
	for i := 0; i < 48; i += 12 {
		f.workers[fmt.Sprintf("w%03d", i)].speed = 1.6
	}
	f.runUntil(24 * time.Second)
	require.InDelta(t, 1.6, median(0, 12)/median(1, 3), 0.3)
}

// TestGangsRunOnWorkersOfLikeSpeed submits gangs one after the other to a fleet with room.
func TestGangsRunOnWorkersOfLikeSpeed(t *testing.T) {
	t.Parallel()
	f := newUnevenFleet(t, 5, unevenSpeeds)
	f.submitMix("00", 2*time.Second, 15*time.Second, 40, 6, 0) // from which the speeds are known
	f.submitMix("01", 15*time.Second, 55*time.Second, 0, 0, 0.12)
	slowest, fastest := map[string]float64{}, map[string]float64{}
	f.onUpdate = func(_ *Cell, _ any, effects []any, _ time.Duration) {
		for _, effect := range effects {
			if e, ok := effect.(Start); ok && e.Task[:2] == "cc" {
				id, speed := e.Task[:16], f.workers[e.Worker].speed
				fastest[id] = max(fastest[id], speed)
				if slowest[id] == 0 || speed < slowest[id] {
					slowest[id] = speed
				}
			}
		}
	}
	f.runUntil(70 * time.Second)
	f.requireNoViolations()
	f.requireAllEnded()
	require.Greater(t, len(slowest), 3)
	for id := range slowest {
		require.Equal(t, fastest[id], slowest[id], id)
	}
}

// unevenCell returns a cell that knows the speeds of its workers, and a step.
func unevenCell(spec *workload.Job, speeds ...float64) (*Cell, *step, []*candidate) {
	c := New(Config{})
	c.now = Clock{Steady: time.Minute}
	c.uneven["s"] = 1
	var candidates []*candidate
	for i, factor := range speeds {
		w := newWorker(WorkerInfo{ID: fmt.Sprint(i), Service: "s", Capacity: resource.Vector{MilliCPU: 32000, MemoryMB: 65536}}, c.now.Steady)
		for range 50 {
			w.speed.Add(factor, 0.1, 1, false)
		}
		w.setFactor(1)
		candidates = append(candidates, &candidate{w: w, free: w.Capacity})
	}
	j := newJob(spec, workload.Progress{}, 0)
	j.receivedAt = c.now.Steady
	c.setObjective(j)
	return c, j.occurrences[0].steps[0], candidates
}

// TestResumedRunGivesNoSampleOfItsEarlierProgress reports a run that resumes at half of its
// work.
func TestResumedRunGivesNoSampleOfItsEarlierProgress(t *testing.T) {
	c, s, candidates := unevenCell(quoteJob("bb00000000000000"), 1)
	for range 100 {
		c.queueStats("quote").runs.Add(1)
	}
	w := candidates[0].w
	r := &run{task: s.tasks[0], number: 2, w: w, state: running, confirmedAt: c.now.Steady}
	for range 5 {
		c.now.Steady += 50 * time.Millisecond
		r.sampledAt, r.sampledPercent = 0, 0
		c.recordProgressSpeed(r, 50, c.now.Steady)
	}
	require.InDelta(t, 1, w.relativeSpeed(), 0.01)
}

// TestGangWaitsForAFastOpeningOnlyIfItEndsSooner weighs slow workers that have room now
// against fast ones that have room later.
func TestGangWaitsForAFastOpeningOnlyIfItEndsSooner(t *testing.T) {
	c, s, candidates := unevenCell(gangJob("cc00000000000000"), 0.6, 1.6)
	openings := func(fastAfter time.Duration) []opening {
		var list []opening
		for range s.tasks {
			list = append(list, opening{c.now.Steady, candidates[0]})
		}
		for range s.tasks {
			list = append(list, opening{c.now.Steady + fastAfter, candidates[1]})
		}
		return list
	}
	// The gang takes 10.3 s on the slow worker and 3.9 s on the fast one.
	require.Same(t, candidates[1], c.soonestOpenings(&servicePool{}, s, openings(time.Second))[0].cand)
	require.Same(t, candidates[0], c.soonestOpenings(&servicePool{}, s, openings(20*time.Second))[0].cand)
}

// TestGangDoesNotWaitForFastWorkersForGood guards against a gang that waits beside free room
// because the fast workers that it waits for are never free together.
func TestGangDoesNotWaitForFastWorkersForGood(t *testing.T) {
	c, s, candidates := unevenCell(gangJob("cc00000000000000"), 0.6, 1.6)
	s.readyAt = c.now.Steady
	first := func(pool *servicePool) *candidate {
		var openings []opening
		for range s.tasks {
			openings = append(openings, opening{c.now.Steady, candidates[0]})
		}
		for range s.tasks {
			openings = append(openings, opening{c.now.Steady + time.Second, candidates[1]})
		}
		return c.soonestOpenings(pool, s, openings)[0].cand
	}
	crowded, free := &servicePool{totalMilliCPU: 64000}, &servicePool{totalMilliCPU: 64000, freeMilliCPU: 48000}
	require.Same(t, candidates[1], first(free))
	c.now.Steady += acceptedWait + time.Millisecond
	require.Same(t, candidates[0], first(free))
	require.Same(t, candidates[1], first(crowded))
}

// TestSlackDecidesWhichWorkersServe places a lookup, which has little time beside its work,
// and bulk with slack.
func TestSlackDecidesWhichWorkersServe(t *testing.T) {
	lookup, quote := lookupJob("aa00000000000000"), quoteJob("bb00000000000000")
	for spec, want := range map[*workload.Job]int{lookup: 2, quote: 0} {
		c, s, candidates := unevenCell(spec, 0.6, 1, 1.6)
		best := c.bestCandidate(s, s.tasks[0], s.spec.Estimate, c.neededSpeed(s), candidates)
		require.Same(t, candidates[want], best, spec.ID)
	}
	c, s, candidates := unevenCell(quote, 0.6, 1, 1.6)
	c.now.Steady = s.latestStart // little time is left
	require.Same(t, candidates[2], c.bestCandidate(s, s.tasks[0], s.spec.Estimate, c.neededSpeed(s), candidates))
	candidates[0].w.setFactor(0)
	require.Equal(t, 1.0, candidates[0].w.workSpeed())
}

// TestReservationsCountTheSpeed keeps a task off a slow worker on which it would not end
// before a gang needs it.
func TestReservationsCountTheSpeed(t *testing.T) {
	c, s, candidates := unevenCell(quoteJob("bb00000000000000"), 0.6, 1.6)
	from := c.now.Steady + 3*time.Second
	for i, blocked := range []bool{true, false} {
		candidates[i].reservedFrom = from
		require.Equal(t, blocked, candidates[i].blocks(c.now.Steady, candidates[i].w.duration(s.spec.Estimate)))
	}
}
