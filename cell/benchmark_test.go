package cell

import (
	"fmt"
	"maps"
	"runtime"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/workload"
)

// threadTime returns the CPU time of the calling thread. Callers must have locked their
// goroutine to it.
func threadTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		panic(err) // supported on every Linux
	}
	return time.Duration(ts.Nano())
}

// costs sums the CPU time that a cell spends on events, by kind of event.
type costs map[string]*cost

type cost struct {
	n     int
	total time.Duration
	worst time.Duration
}

func (c costs) add(event any, effects []any, took time.Duration) {
	kind := fmt.Sprintf("%T", event)[len("cell."):]
	if _, ok := event.(Submit); ok {
		for _, effect := range effects {
			if a, ok := effect.(Answer); ok && a.Verdict == Refused {
				kind = "Refusal"
			}
		}
	}
	if c[kind] == nil {
		c[kind] = &cost{}
	}
	c[kind].n++
	c[kind].total += took
	c[kind].worst = max(c[kind].worst, took)
}

// newLargeFleet returns a fleet of the size of the enlarged deployment, where one owner
// has 350 workers and 43 hosts that call the advice service. The given number of jobs has
// already ended.
func newLargeFleet(t testing.TB, ended int) *simFleet {
	f := newFleet(t, 5, 350)
	f.hosts = nil
	for i := range 43 {
		f.hosts = append(f.hosts, fmt.Sprintf("h%02d", i))
	}
	f.teams = map[string]Team{"blue": {Rate: 200}, "red": {Rate: 100, Ceiling: resource.Vector{MilliCPU: 9_000_000}}}
	for i := range ended {
		f.store.progress[fmt.Sprintf("dd%014x", i)] = &workload.Progress{State: workload.Completed, Team: "blue"}
	}
	f.claim()
	return f
}

// submitLargeFleetLoad submits the usual load of the enlarged deployment, times a factor.
// The sizes of the jobs are the means of that deployment.
func (f *simFleet) submitLargeFleetLoad(prefix string, from, to Instant, factor float64) {
	f.submitMix(prefix, from, to, 130*factor, 11*factor, 3.5*factor)
	for id, j := range inOrder(f.jobs) {
		if id[2:4] != prefix {
			continue
		}
		switch step := &j.spec.Steps[0]; j.spec.Queue.Name {
		case "lookup":
			step.Count, step.Need = 3, resource.Vector{MilliCPU: 5000, MemoryMB: 9100}
			j.spec.Queue.Advice = &workload.Advice{FixedLatency: 7200 * time.Microsecond, PerWorker: 100 * time.Microsecond, Validity: 1500 * time.Millisecond}
		case "quote":
			step.Count, step.Need = 25, resource.Vector{MilliCPU: 3500, MemoryMB: 3600}
			j.spec.Queue.Advice = &workload.Advice{FixedLatency: 80 * time.Millisecond, PerWorker: 1100 * time.Microsecond, Validity: 1500 * time.Millisecond}
		case "refret":
			step.Count = 20
			j.spec.Queue.Advice = &workload.Advice{FixedLatency: 540 * time.Millisecond, PerWorker: 7700 * time.Microsecond, Validity: 1500 * time.Millisecond}
		}
		f.drawDurations(j)
	}
}

// BenchmarkOwner reports the CPU time that an owner spends on each kind of event. It
// simulates the usual load of the enlarged deployment, the same load with the 8000 jobs of
// a minute already ended, a burst of twice the load, a fleet on which hundreds of steps
// wait, and the first seconds of a new owner.
func BenchmarkOwner(b *testing.B) {
	for _, phase := range []struct {
		name     string
		load     float64
		from, to Instant // period in which events are counted
		ended    int
		takeover bool
	}{
		{"usual", 1, 4 * time.Second, 10 * time.Second, 0, false},
		{"minute", 1, 4 * time.Second, 10 * time.Second, 8000, false},
		{"burst", 2, 4 * time.Second, 10 * time.Second, 0, false},
		{"full", 5, 4 * time.Second, 10 * time.Second, 0, false},
		{"takeover", 1, 6 * time.Second, 10 * time.Second, 0, true},
	} {
		b.Run(phase.name, func(b *testing.B) {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			spent := costs{}
			waiting, rounds, allocs := 0, 0, 0.0
			for b.Loop() {
				f := newLargeFleet(b, phase.ended)
				f.submitLargeFleetLoad("00", 2*time.Second, phase.to, phase.load)
				f.runUntil(phase.from)
				f.onUpdate = func(_ *Cell, event any, effects []any, took time.Duration) {
					spent.add(event, effects, took)
					if event == (PlacementRound{}) {
						waiting += len(f.owner.waiting)
						rounds++
					}
				}
				if phase.takeover {
					f.killOwner(700 * time.Millisecond)
				}
				f.runUntil(phase.to)
				f.onUpdate = nil
				allocs += testing.AllocsPerRun(10, func() { f.owner.Update(f.clock(), PlacementRound{}) })
			}
			total := time.Duration(0)
			for _, kind := range slices.Sorted(maps.Keys(spent)) {
				c := spent[kind]
				total += c.total
				b.ReportMetric(float64(c.total.Microseconds())/float64(c.n), "us/"+kind)
				b.Logf("%-10s %7d times, %8.1f us on average, %8d us at most", kind, c.n, float64(c.total.Microseconds())/float64(c.n), c.worst.Microseconds())
			}
			b.ReportMetric(float64(total.Microseconds())/1000/float64(b.N)/(phase.to-phase.from).Seconds(), "ms/s")
			b.ReportMetric(float64(waiting)/float64(rounds), "waiting")
			b.ReportMetric(allocs/float64(b.N), "allocs/PlacementRound")
		})
	}
}
