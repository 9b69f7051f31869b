package cell

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/workload"
)

// memoryFleet returns 48 workers of 32 cores and 128 GB.
func memoryFleet(t *testing.T, seed uint64) *simFleet {
	f := newFleet(t, seed, 48)
	f.teams = map[string]Team{"blue": {Rate: 1000}, "red": {Rate: 1000}}
	for _, w := range f.workers {
		w.info.Capacity.MemoryMB = 128_000
	}
	f.claim()
	return f
}

// spread draws from a log-normal distribution with the given mean, below the limit.
func (f *simFleet) spread(mean, sigma, limit float64) float64 {
	return min(limit, mean*math.Exp(sigma*f.rng.NormFloat64()-sigma*sigma/2))
}

// submitMemoryMix submits lookups, bulk tasks and gangs whose memory is nearly as scarce
// as their cores. Estimates are off by up to a factor of 1.9.
func (f *simFleet) submitMemoryMix(prefix string, from, to Instant, lookups, bulks, gangs float64) {
	f.submitMix(prefix, from, to, lookups, bulks, gangs)
	for _, id := range slices.Sorted(maps.Keys(f.jobs)) {
		j := f.jobs[id]
		if id[2:4] != prefix {
			continue
		}
		count, work, cpu, memory := 3.0, 0.8, 5000.0, 14_000.0
		switch j.spec.Queue.Name {
		case "quote":
			count, work, cpu, memory = 25, 2.7, 3500, 7100
		case "refret":
			count, work, cpu, memory = 20, 6.2, 9000, 33_000
		}
		step := &j.spec.Steps[0]
		j.spec.Steps = j.spec.Steps[:1]
		step.Count = int(f.spread(count, 0.6, 2*count)) + 1
		step.Need = resource.Vector{MilliCPU: int64(f.spread(cpu, 0.4, 15_000)), MemoryMB: int64(f.spread(memory, 0.5, 65_000))}
		step.Estimate = time.Duration(f.spread(work, 0.5, 2.5*work) * float64(time.Second))
		f.drawDurations(j)
		step.Estimate = time.Duration(float64(step.Estimate) * math.Pow(1.9, 2*f.rng.Float64()-1))
	}
}

// roomFor returns how many tasks of a step the workers that may run it have room for.
func (f *simFleet) roomFor(j *workload.Job) int {
	n, st := 0, &j.Steps[0]
	for id, w := range f.workers {
		if j.Queue.Advice != nil && !f.allows(j.ID+".0.0", id) || st.Label != "" && !w.hasSimLabel(st.Label) {
			continue
		}
		if from := f.owner.workers[id].reservedFrom; from > 0 && f.now+2*st.Estimate > from {
			continue // the placement keeps it for a gang
		}
		free := w.info.Capacity
		for _, r := range w.runs {
			free = free.Sub(r.need)
		}
		for ; st.Need.Fits(free); n++ {
			free = free.Sub(st.Need)
		}
	}
	return n
}

func (w *simWorker) hasSimLabel(label string) bool {
	for _, l := range w.info.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// watchRefusals counts the refusals, and those of jobs for which there was room.
func (f *simFleet) watchRefusals() (refused, withRoom map[string]int) {
	refused, withRoom = map[string]int{}, map[string]int{}
	f.onUpdate = func(_ *Cell, event any, effects []any, _ time.Duration) {
		e, ok := event.(Submit)
		if !ok {
			return
		}
		for _, effect := range effects {
			if a, ok := effect.(Answer); ok && a.Verdict == Refused {
				refused[e.Job.Queue.Name]++
				if f.roomFor(e.Job) >= e.Job.Steps[0].Count {
					withRoom[e.Job.Queue.Name]++
				}
			}
		}
	}
	return refused, withRoom
}

// TestMemoryDecidesWhoFits fills the memory of a fleet whose processors are mostly free.
// A job that fits on no worker in time is refused at once, one that fits is in time.
func TestMemoryDecidesWhoFits(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		gigabytes int64
		fits      bool
	}{{14, true}, {33, true}, {48, true}, {49, false}, {65, false}} {
		t.Run(fmt.Sprint(c.gigabytes, " GB"), func(t *testing.T) {
			f := memoryFleet(t, 1)
			f.fillWith(2*time.Second, "", 48, resource.Vector{MilliCPU: 10_000, MemoryMB: 80_000}, time.Minute)
			spec := lookupJob("aa00000000000000")
			spec.Queue.Advice = nil
			spec.Steps[0].Need = resource.Vector{MilliCPU: 5000, MemoryMB: c.gigabytes * 1000}
			j := f.submit(5*time.Second, spec)
			f.runUntil(10 * time.Second)
			require.Equal(t, c.fits, j.accepted)
			require.Equal(t, !c.fits, j.refused)
			require.Equal(t, c.fits, f.outcomesByQueue()["lookup"].onTime == 1)
			f.requireNoViolations()
		})
	}
}

// fillWith submits a job that takes the same room on a number of workers with a label.
func (f *simFleet) fillWith(at Instant, label string, workers int, need resource.Vector, length time.Duration) {
	f.fillWorkers(at, label, workers, length)
	f.jobs["dd00000000000000"].spec.Steps[0].Need = need
}

// TestRoomThatGangsAheadCannotUse submits lookups behind gangs that wait for other
// workers. The lookups have room and must not be refused.
func TestRoomThatGangsAheadCannotUse(t *testing.T) {
	t.Parallel()
	f := memoryFleet(t, 1)
	f.fillWorkers(2*time.Second, "k0", 24, time.Minute)
	f.submitBlockedGangs(3*time.Second, "k0", 40, 20_000)
	var lookups []*simJob
	for i := range 20 {
		spec := lookupJob(fmt.Sprintf("aa%014x", i))
		spec.Queue.Advice = nil
		lookups = append(lookups, f.submit(5*time.Second+time.Duration(i)*200*time.Millisecond, spec))
	}
	f.runUntil(12 * time.Second)
	require.Equal(t, len(lookups), f.outcomesByQueue()["lookup"].onTime, f.outcomesByQueue()["lookup"])
	f.requireNoViolations()
}

// TestJobThatNoWorkerHoldsIsRefused submits jobs that no number of free workers can run.
func TestJobThatNoWorkerHoldsIsRefused(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(*workload.Step){
		"too much memory": func(s *workload.Step) { s.Need.MemoryMB = 200_000 },
		"too many cores":  func(s *workload.Step) { s.Need.MilliCPU = 33_000 },
		"too wide a gang": func(s *workload.Step) { s.Count, s.Gang, s.Need.MemoryMB = 49, true, 65_000 },
	} {
		t.Run(name, func(t *testing.T) {
			f := memoryFleet(t, 1)
			spec := quoteJob("bb00000000000000")
			spec.Queue.Advice = nil
			change(&spec.Steps[0])
			j := f.submit(5*time.Second, spec)
			f.runUntil(6 * time.Second)
			require.True(t, j.refused)
		})
	}
}

// TestLastingJobIsAcceptedOnAFullFleet hands a job that lasts in while nothing is free.
func TestLastingJobIsAcceptedOnAFullFleet(t *testing.T) {
	t.Parallel()
	f := memoryFleet(t, 1)
	f.fillWorkers(2*time.Second, "", 48, 20*time.Second)
	spec := quoteJob("ff00000000000000")
	spec.Queue.Advice = nil
	spec.Steps = []workload.Step{{Count: 1, Need: resource.Vector{MilliCPU: 4000}, LongRunning: true}}
	j := f.submit(5*time.Second, spec)
	f.runUntil(30 * time.Second)
	require.True(t, j.accepted)
	require.NotZero(t, j.startedAt)
}

// TestWorkOfAnotherServiceDoesNotDelay fills the workers of one service. Jobs of another
// service, whose workers are free, are accepted.
func TestWorkOfAnotherServiceDoesNotDelay(t *testing.T) {
	t.Parallel()
	f := memoryFleet(t, 1)
	for _, w := range f.workers {
		if w.info.Labels[0] == "k1" {
			w.info.Service = "other"
		}
	}
	f.claim()
	for i := range 20 {
		spec := quoteJob(fmt.Sprintf("dd%014x", i))
		spec.Queue.Advice, spec.Queue.Slack, spec.Queue.Priority = nil, 100, 0
		spec.Steps = []workload.Step{{Count: 24, Need: resource.Vector{MilliCPU: 30_000}, Estimate: 20 * time.Second}}
		f.submit(2*time.Second, spec)
	}
	spec := lookupJob("aa00000000000000")
	spec.Queue.Advice, spec.Queue.Service = nil, "other"
	j := f.submit(5*time.Second, spec)
	f.runUntil(8 * time.Second)
	require.True(t, j.accepted)
	require.Equal(t, 1, f.outcomesByQueue()["lookup"].onTime)
}

// TestRefusalsWithRoomOnAMemoryScarceFleet replays lookups, bulk tasks and gangs at twice
// what the fleet can do. No caller should be refused while its job has room. The estimates
// of run times are off by up to a factor of 1.9, so one job in a hundred may be.
func TestRefusalsWithRoomOnAMemoryScarceFleet(t *testing.T) {
	t.Parallel()
	refusals, room, submitted := 0, 0, 0
	for seed := range uint64(3) {
		f := memoryFleet(t, 11+seed)
		refused, withRoom := f.watchRefusals()
		f.submitMemoryMix("00", 2*time.Second, 32*time.Second, 30, 2.7, 1.04)
		f.runUntil(40 * time.Second)
		f.requireNoViolations()
		for queue, o := range f.outcomesByQueue() {
			submitted += o.submitted
			refusals += refused[queue]
			room += withRoom[queue]
		}
	}
	t.Logf("%d submitted, %d refused, %d with room", submitted, refusals, room)
	require.LessOrEqual(t, float64(room), 0.01*float64(submitted))
}
