package cell

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/workload"
)

// drawn returns a value around mean whose logarithm has the given deviation.
func (f *simFleet) drawn(mean, deviation, most float64) float64 {
	return min(most, mean*math.Exp(deviation*f.rng.NormFloat64()-deviation*deviation/2))
}

// fullFleetJob returns a job of one of three kinds whose sizes, run times and estimates
// vary as on a fleet that is shared by unlike work.
func (f *simFleet) fullFleetJob(kind, id string) *workload.Job {
	j := &workload.Job{ID: id, Team: fmt.Sprintf("t%d", f.rng.IntN(8)), Spec: kind + id}
	j.Queue = workload.Queue{Name: kind, Service: "s", MaxAttempts: 3}
	advice := func(fixed, each time.Duration) *workload.Advice {
		return &workload.Advice{FixedLatency: fixed, PerWorker: each, Validity: 1500 * time.Millisecond}
	}
	st := workload.Step{}
	width := 0.0
	switch kind {
	case "lookup":
		j.Queue.Priority, j.Queue.Slack, j.Queue.Target, j.Queue.Advice = 0, 1.5, 250*time.Millisecond, advice(11700*time.Microsecond, 169*time.Microsecond)
		width = f.drawn(3.2, 0.6, 19)
		st.Need = resource.Vector{MilliCPU: int64(f.drawn(5000, 0.45, 15000)), MemoryMB: int64(f.drawn(14000, 0.6, 43000))}
		st.Estimate = time.Duration(f.drawn(800, 0.5, 2000)) * time.Millisecond
		st.Gang = f.rng.Float64() < 0.3
	case "bulk":
		j.Queue.Priority, j.Queue.Slack, j.Queue.Target, j.Queue.Advice = 2, 4, 3*time.Second, advice(130*time.Millisecond, 1820*time.Microsecond)
		width = f.drawn(25, 0.7, 150)
		st.Need = resource.Vector{MilliCPU: int64(f.drawn(3500, 0.45, 10000)), MemoryMB: int64(f.drawn(7100, 0.6, 21000))}
		st.Estimate = time.Duration(f.drawn(2700, 0.5, 6800)) * time.Millisecond
		st.Checkpointing = f.rng.Float64() < 0.8
	case "gang":
		j.Queue.Priority, j.Queue.Slack, j.Queue.Target, j.Queue.Advice = 1, 2.2, time.Second, advice(702*time.Millisecond, 10010*time.Microsecond)
		width = f.drawn(20, 0.7, 36)
		st.Need = resource.Vector{MilliCPU: int64(f.drawn(9000, 0.4, 15000)), MemoryMB: int64(f.drawn(33000, 0.5, 65000))}
		st.Estimate = time.Duration(f.drawn(6200, 0.5, 16000)) * time.Millisecond
		st.Gang, st.Checkpointing = true, f.rng.Float64() < 0.5
	}
	st.Count = max(1, int(width))
	j.Steps = []workload.Step{st}
	if kind != "lookup" && f.rng.Float64() < 0.3 {
		st.DependsOn = []int{0}
		j.Steps = append(j.Steps, st)
	}
	return j
}

func (f *simFleet) submitFullFleet(kind string, from, to Instant, rate float64) {
	for at := from; at < to; at += time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second)) {
		f.submit(at, f.fullFleetJob(kind, fmt.Sprintf("%016x", len(f.jobs))))
	}
}

// usedShare returns the share of the processors that runs hold.
func (c *Cell) usedShare() float64 {
	used, capacity := int64(0), int64(0)
	for _, w := range c.sortedWorkers {
		used, capacity = used+w.used.MilliCPU, capacity+w.Capacity.MilliCPU
	}
	return float64(used) / float64(capacity)
}

// TestScarceAdviceKeepsNoRoomIdle simulates bursts of gangs, which make long calls for
// advice, and of bulk jobs, which make many medium ones. Together they ask for more calls
// than the hosts can make. While many steps wait, the fleet must be in use, and neither
// kind may keep the other from asking.
func TestScarceAdviceKeepsNoRoomIdle(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 5, 120)
	f.hosts = nil
	for i := range 12 {
		f.hosts = append(f.hosts, fmt.Sprintf("h%02d", i))
	}
	for _, w := range f.workers {
		w.info.Capacity = resource.Vector{MilliCPU: 32000, MemoryMB: 131072}
		w.speed = 1
	}
	f.teams, f.estimatesOff = map[string]Team{}, 1.9
	f.eligibleByQueue = map[string]uint32{"lookup": 70, "bulk": 45, "gang": 25}
	f.claim()
	end := 32 * time.Second
	f.submitFullFleet("lookup", 2*time.Second, end, 33)
	f.submitFullFleet("bulk", 2*time.Second, end, 4.3)
	f.submitFullFleet("gang", 2*time.Second, end, 1.4)
	f.submitFullFleet("bulk", 4*time.Second, 13*time.Second, 11)
	f.submitFullFleet("gang", 8*time.Second, 14*time.Second, 1.4)
	used, samples := 0.0, 0
	for at := 14 * time.Second; at < 30*time.Second; at += 500 * time.Millisecond {
		f.at(at, func() {
			if len(f.owner.waiting) > 40 {
				used, samples = used+f.owner.usedShare(), samples+1
			}
		})
	}
	f.runUntil(100 * time.Second)
	f.requireNoViolations()
	f.requireAllEnded()
	byQueue := f.outcomesByQueue()
	t.Logf("used %.3f in %d samples; %v", used/float64(samples), samples, byQueue)
	require.Greater(t, samples, 10)
	require.Greater(t, used/float64(samples), 0.75)
	require.Greater(t, byQueue["bulk"].onTimeShare(), 0.6)
}
