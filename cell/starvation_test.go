package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/workload"
)

// maxWait is how long users accept that a job waits although there is room for it and
// its team and the fleet are little used.
const maxWait = 3 * time.Second

// requireStartedWithin checks that an accepted job started within maxWait of a time.
func (f *simFleet) requireStartedWithin(j *simJob, from Instant) {
	f.t.Helper()
	require.True(f.t, j.accepted)
	require.NotZero(f.t, j.startedAt, "job %s has not started", j.spec.ID)
	require.Less(f.t, j.startedAt-from, maxWait, j.spec.ID)
	require.Empty(f.t, f.violations)
}

// fillWorkers submits a job that keeps a number of workers with a label nearly full.
func (f *simFleet) fillWorkers(at Instant, label string, workers int, length time.Duration) {
	spec := quoteJob("dd00000000000000")
	spec.Team, spec.Queue.Advice = "blue", nil
	spec.Steps = []workload.Step{{Count: workers, Need: resource.Vector{MilliCPU: 30_000}, Estimate: length, Label: label, MaxPerWorker: 1}}
	f.submit(at, spec)
}

// submitBlockedGangs submits gangs of two members with the given need, for which the
// workers that fillWorkers fills have no room.
func (f *simFleet) submitBlockedGangs(at Instant, label string, count int, milliCPU int64) {
	for i := range count {
		spec := gangJob(fmt.Sprintf("ee%014x", i))
		spec.Queue.Advice, spec.Queue.Slack, spec.Queue.Priority = nil, 60, 0
		spec.Steps[0].Count, spec.Steps[0].Need, spec.Steps[0].Label = 2, resource.Vector{MilliCPU: milliCPU}, label
		f.submit(at, spec)
	}
}

// TestAdviceIsRequestedWhenOneWorkerMakesTheCallLong simulates a queue whose fixed call
// duration is short, but for which a call about a single worker is long.
func TestAdviceIsRequestedWhenOneWorkerMakesTheCallLong(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 48)
	spec := quoteJob("bb00000000000000")
	spec.Queue.Advice = &workload.Advice{FixedLatency: longCall - time.Millisecond, PerWorker: 2 * time.Millisecond, Validity: 1500 * time.Millisecond}
	j := f.submit(2*time.Second, spec)
	f.runUntil(20 * time.Second)
	f.requireStartedWithin(j, j.submittedAt)
}

// TestRestartedWorkerIsAskedAboutAgain simulates workers that may not run a step and
// restart under the same IDs as workers that may.
func TestRestartedWorkerIsAskedAboutAgain(t *testing.T) {
	t.Parallel()
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprintf("gang %v", gang), func(t *testing.T) {
			f := newFleet(t, 1, 12)
			f.eligiblePercent = 0
			spec := gangJob("cc00000000000000")
			spec.Queue.Slack, spec.Steps[0].Count, spec.Steps[0].Gang = 60, 4, gang
			j := f.submit(2*time.Second, spec)
			f.runUntil(8 * time.Second)
			require.Zero(t, j.startedAt)
			f.eligiblePercent = 100
			for _, w := range f.workers {
				w.info.StartedAt++
				w.token, w.lastSeq, w.ended = 0, 0, nil
			}
			f.runUntil(20 * time.Second)
			f.requireStartedWithin(j, 8*time.Second)
		})
	}
}

// TestGangsWithoutRoomDoNotBlockTheirTeam simulates gangs that wait for the workers of
// one rack while the rest of the fleet and of their team's ceiling is free.
func TestGangsWithoutRoomDoNotBlockTheirTeam(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 48)
	f.teams["red"] = Team{Rate: 100, Ceiling: resource.Vector{MilliCPU: 120_000}}
	f.claim()
	f.fillWorkers(2*time.Second, "r0", 8, time.Minute)
	f.submitBlockedGangs(3*time.Second, "r0", 4, 20_000)
	j := f.submit(5*time.Second, quoteJob("bb00000000000000"))
	f.runUntil(20 * time.Second)
	f.requireStartedWithin(j, j.submittedAt)
}

// TestGangAboveALoweredCeilingReservesNothing simulates a ceiling that is lowered below
// the needs of an accepted gang.
func TestGangAboveALoweredCeilingReservesNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 48)
	f.fillWorkers(2*time.Second, "", 48, time.Minute)
	big := f.submit(3*time.Second, gangJob("cc00000000000000"))
	big.spec.Queue.Advice, big.spec.Queue.Slack = nil, 60
	f.runUntil(4 * time.Second)
	require.True(t, big.accepted)
	f.teams["red"] = Team{Rate: 100, Ceiling: resource.Vector{MilliCPU: 60_000}}
	f.update(Policy{Teams: f.teams})
	for _, w := range f.workers {
		for _, r := range w.runs {
			r.work = 0
		}
	}
	j := f.submit(64*time.Second, quoteJob("bb00000000000000"))
	f.runUntil(80 * time.Second)
	f.requireStartedWithin(j, j.submittedAt)
}

// TestGangBehindReservingGangsRequestsMoreAdvice simulates gangs that know of too few
// eligible workers. More gangs than a round reserves workers for are ahead of them, all
// waiting for workers with one label. The reservations on these exceed maxReservedShare.
func TestGangBehindReservingGangsRequestsMoreAdvice(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 48)
	f.eligiblePercent = 20
	f.fillWorkers(2*time.Second, "k0", 24, 10*time.Minute)
	f.submitBlockedGangs(3*time.Second, "k0", 10, 27_000)
	gangs := 0
	for i := range 20 {
		spec := gangJob(fmt.Sprintf("cc%014x", i))
		spec.Queue.Slack = 60
		spec.Steps[0].Need = resource.Vector{MilliCPU: 7000, MemoryMB: 2000}
		spec.Steps[0].Count, spec.Steps[0].Estimate = 4, time.Second
		members := 0
		for id, w := range f.workers {
			if w.info.Labels[0] == "k1" && f.allows(spec.ID+".0.0", id) {
				members += 4
			}
		}
		if members < 2*spec.Steps[0].Count {
			continue
		}
		gangs++
		j := f.submit(f.now+5*time.Second, spec)
		f.runUntil(f.now + 10*time.Second)
		f.requireStartedWithin(j, j.submittedAt)
	}
	require.Positive(t, gangs)
}

// TestOtherHostsCallWhenOneCannotReachAdvice simulates two or three hosts, one of which
// never reaches the advice service.
func TestOtherHostsCallWhenOneCannotReachAdvice(t *testing.T) {
	t.Parallel()
	for _, hosts := range [][]string{{"a1", "a2"}, {"a1", "a2", "b1"}} {
		for _, unreachable := range hosts {
			t.Run(fmt.Sprintf("%d hosts, %s unreachable", len(hosts), unreachable), func(t *testing.T) {
				f := newFleet(t, 1, 48)
				f.hosts = hosts
				f.claim()
				f.adviceDownHost = unreachable
				a := f.submit(2*time.Second, gangJob("cc00000000000000"))
				b := f.submit(2*time.Second, lookupJob("aa00000000000000"))
				f.runUntil(20 * time.Second)
				f.requireStartedWithin(a, a.submittedAt)
				f.requireStartedWithin(b, b.submittedAt)
			})
		}
	}
}

// TestLongRunningTaskUsesRoomReservedForGangs simulates a long-running task that fails
// on a nearly full fleet whose free room is all on workers reserved for gangs. Users
// count the task as lost if it is not restarted there.
func TestLongRunningTaskUsesRoomReservedForGangs(t *testing.T) {
	t.Parallel()
	for _, advised := range []bool{false, true} {
		t.Run(fmt.Sprintf("advised %v", advised), func(t *testing.T) {
			f := newFleet(t, 1, 12)
			spec := quoteJob("ff00000000000000")
			spec.Team = "blue"
			spec.Steps = []workload.Step{{Count: 1, Need: resource.Vector{MilliCPU: 1000}, Estimate: time.Hour, LongRunning: true}}
			if !advised {
				spec.Queue.Advice = nil
			}
			f.submit(2*time.Second, spec)
			f.fillWorkers(3*time.Second, "", 12, 10*time.Minute)
			for i := range 6 {
				spec := gangJob(fmt.Sprintf("ee%014x", i))
				spec.Queue.Advice, spec.Queue.Slack, spec.Queue.Priority = nil, 60, 0
				spec.Steps[0].Count, spec.Steps[0].Need, spec.Steps[0].MaxPerWorker = 3, resource.Vector{MilliCPU: 9000}, 1
				f.submit(4*time.Second, spec)
			}
			f.runUntil(10 * time.Second)
			name := spec.ID + ".0.0.0"
			for _, w := range f.workers {
				if r := w.runs[name]; r != nil {
					f.endRun(w, name, r, Failed)
				}
			}
			f.runUntil(10*time.Second + maxWait)
			running := 0
			for _, w := range f.workers {
				if w.runs[name] != nil {
					running++
				}
			}
			require.Equal(t, 1, running)
			require.Empty(t, f.violations)
		})
	}
}

// TestAcceptedGangsStartInTimeWhenAdviceIsScarce simulates long loads of gangs for which
// there is room, but for which the hosts cannot get enough advice.
func TestAcceptedGangsStartInTimeWhenAdviceIsScarce(t *testing.T) {
	t.Parallel()
	const end = 92 * time.Second
	for _, load := range []struct {
		hosts                  int
		lookups, quotes, gangs float64 // per second
	}{{6, 40, 6, 8}, {2, 20, 2, 2}} {
		t.Run(fmt.Sprintf("%d hosts", load.hosts), func(t *testing.T) {
			f := newFleet(t, 1, 48)
			f.eligiblePercent = 22
			f.hosts = f.hosts[:load.hosts]
			f.claim()
			f.submitMix("00", 2*time.Second, end, load.lookups, load.quotes, 0)
			for i := range int(load.gangs * (end - 2*time.Second).Seconds()) {
				spec := gangJob(fmt.Sprintf("cc%014x", i))
				spec.Steps[0].Count, spec.Steps[0].Need, spec.Steps[0].Estimate = 4, lightGangs.need, lightGangs.estimate
				f.submit(2*time.Second+time.Duration(f.rng.Int64N(int64(end-2*time.Second))), spec)
			}
			f.requireStartedAfterLoad(end)
		})
	}
}
