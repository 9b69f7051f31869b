package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/docket"
	"github.com/cowslipgap/cowslipgap/resource"
)

// maxWait is how long users accept that a job waits although there is room for it and
// its team and the fleet are little used.
const waitAllowed = 3 * time.Second

// requireStartedWithin checks that an accepted job started within maxWait of a time.
func (f *fleet) requireBegun(j *simJob, from Instant) {
	f.t.Helper()
	require.True(f.t, j.accepted)
	require.NotZero(f.t, j.begunAt, "job %s has not started", j.spec.ID)
	require.Less(f.t, j.begunAt-from, waitAllowed, j.spec.ID)
	require.Empty(f.t, f.violations)
}

// fillWorkers submits a job that keeps a number of workers with a label nearly full.
func (f *fleet) occupied(at Instant, label string, workers int, length time.Duration) {
	spec := quote("dd00000000000000")
	spec.Team, spec.Queue.Advice = "blue", nil
	spec.Steps = []docket.Step{{Count: workers, Need: resource.Vector{MilliCPU: 30_000}, Estimate: length, Label: label, MaxPerWorker: 1}}
	f.submit(at, spec)
}

// submitBlockedGangs submits gangs for which the workers that fillWorkers fills have no
// room.
func (f *fleet) blocked(at Instant, label string, count int) {
	for i := range count {
		spec := refret(fmt.Sprintf("ee%014x", i))
		spec.Queue.Advice, spec.Queue.Slack, spec.Queue.Priority = nil, 60, 0
		spec.Steps[0].Count, spec.Steps[0].Need, spec.Steps[0].Label = 2, resource.Vector{MilliCPU: 20_000}, label
		f.submit(at, spec)
	}
}

// TestAdviceIsRequestedWhenOneWorkerMakesTheCallLong simulates a queue whose fixed call
// duration is short, but for which a call about a single worker is long.
func TestAdviceAlmostLongIsAskedFor(t *testing.T) {
	f := newFleet(t, 1, 48)
	spec := quote("bb00000000000000")
	spec.Queue.Advice = &docket.Advice{Decision: longCall - time.Millisecond, PerWorker: 2 * time.Millisecond, Validity: 1500 * time.Millisecond}
	j := f.submit(2*time.Second, spec)
	f.run(20 * time.Second)
	f.requireBegun(j, j.handedIn)
}

// TestRestartedWorkerIsAskedAboutAgain simulates workers that may not run a step and
// restart under the same IDs as workers that may.
func TestWorkerOfAnotherLifeIsAskedAboutAgain(t *testing.T) {
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprintf("gang %v", gang), func(t *testing.T) {
			f := newFleet(t, 1, 12)
			f.eligible = 0
			spec := refret("cc00000000000000")
			spec.Queue.Slack, spec.Steps[0].Count, spec.Steps[0].Gang = 60, 4, gang
			j := f.submit(2*time.Second, spec)
			f.run(8 * time.Second)
			require.Zero(t, j.begunAt)
			f.eligible = 100
			for _, w := range f.workers {
				w.info.Born++
				w.token, w.n, w.ended = 0, 0, nil
			}
			f.run(20 * time.Second)
			f.requireBegun(j, 8*time.Second)
		})
	}
}

// TestGangsWithoutRoomDoNotBlockTheirTeam simulates gangs that wait for the workers of
// one rack while the rest of the fleet and of their team's ceiling is free.
func TestGangsWithoutRoomLeaveTheirTeamItsShare(t *testing.T) {
	f := newFleet(t, 1, 48)
	f.teams["red"] = Team{Rate: 100, Ceiling: resource.Vector{MilliCPU: 120_000}}
	f.claim()
	f.occupied(2*time.Second, "r0", 8, time.Minute)
	f.blocked(3*time.Second, "r0", 4)
	j := f.submit(5*time.Second, quote("bb00000000000000"))
	f.run(20 * time.Second)
	f.requireBegun(j, j.handedIn)
}

// TestGangAboveALoweredCeilingReservesNothing simulates a ceiling that is lowered below
// the needs of an accepted gang.
func TestGangLargerThanALoweredCeilingKeepsNothing(t *testing.T) {
	f := newFleet(t, 1, 48)
	f.occupied(2*time.Second, "", 48, time.Minute)
	big := f.submit(3*time.Second, refret("cc00000000000000"))
	big.spec.Queue.Advice, big.spec.Queue.Slack = nil, 60
	f.run(4 * time.Second)
	require.True(t, big.accepted)
	f.teams["red"] = Team{Rate: 100, Ceiling: resource.Vector{MilliCPU: 60_000}}
	f.update(Policy{Teams: f.teams})
	for _, w := range f.workers {
		for _, r := range w.runs {
			r.work = 0
		}
	}
	j := f.submit(64*time.Second, quote("bb00000000000000"))
	f.run(80 * time.Second)
	f.requireBegun(j, j.handedIn)
}

// TestGangBehindReservingGangsRequestsMoreAdvice simulates gangs that know of too few
// eligible workers. More gangs than a round reserves workers for are ahead of them, all
// waiting for workers with one label.
func TestGangThatKnowsTooLittleAsksBehindOthers(t *testing.T) {
	f := newFleet(t, 1, 48)
	f.eligible = 20
	f.occupied(2*time.Second, "k0", 24, 10*time.Minute)
	f.blocked(3*time.Second, "k0", 2*maxReservingGangs)
	gangs := 0
	for i := range 20 {
		spec := refret(fmt.Sprintf("cc%014x", i))
		spec.Queue.Slack = 60
		spec.Steps[0].Need = resource.Vector{MilliCPU: 7000, MemoryMB: 2000}
		spec.Steps[0].Count, spec.Steps[0].Estimate = 4, time.Second
		seats := 0
		for id, w := range f.workers {
			if w.info.Labels[0] == "k1" && f.allows(spec.ID+".0.0", id) {
				seats += 4
			}
		}
		if seats < 2*spec.Steps[0].Count {
			continue
		}
		gangs++
		j := f.submit(f.now+5*time.Second, spec)
		f.run(f.now + 10*time.Second)
		f.requireBegun(j, j.handedIn)
	}
	require.Positive(t, gangs)
}

// TestOtherHostsCallWhenOneCannotReachAdvice simulates hosts, one of which never
// reaches the advice service.
func TestHostWithoutAdviceLeavesCallsToTheOther(t *testing.T) {
	for _, hosts := range [][]string{{"a1", "a2"}, {"a1", "a2", "b1"}} {
		for _, silent := range hosts {
			t.Run(fmt.Sprintf("%d hosts, %s silent", len(hosts), silent), func(t *testing.T) {
				f := newFleet(t, 1, 48)
				f.hosts = hosts
				f.claim()
				f.muteHost = silent
				a := f.submit(2*time.Second, refret("cc00000000000000"))
				b := f.submit(2*time.Second, lookup("aa00000000000000"))
				f.run(20 * time.Second)
				f.requireBegun(a, a.handedIn)
				f.requireBegun(b, b.handedIn)
			})
		}
	}
}

// TestLongRunningTaskUsesRoomReservedForGangs simulates a long-running task that fails
// on a nearly full fleet whose free room is all on workers reserved for gangs. Users
// count the task as lost if it is not restarted there.
func TestLastingTaskUsesRoomKeptForGangs(t *testing.T) {
	for _, advised := range []bool{false, true} {
		t.Run(fmt.Sprintf("advised %v", advised), func(t *testing.T) {
			f := newFleet(t, 1, 12)
			spec := quote("ff00000000000000")
			spec.Team = "blue"
			spec.Steps = []docket.Step{{Count: 1, Need: resource.Vector{MilliCPU: 1000}, Estimate: time.Hour, LongRunning: true}}
			if !advised {
				spec.Queue.Advice = nil
			}
			f.submit(2*time.Second, spec)
			f.occupied(3*time.Second, "", 12, 10*time.Minute)
			for i := range 6 {
				spec := refret(fmt.Sprintf("ee%014x", i))
				spec.Queue.Advice, spec.Queue.Slack, spec.Queue.Priority = nil, 60, 0
				spec.Steps[0].Count, spec.Steps[0].Need, spec.Steps[0].MaxPerWorker = 3, resource.Vector{MilliCPU: 9000}, 1
				f.submit(4*time.Second, spec)
			}
			f.run(10 * time.Second)
			name := spec.ID + ".0.0.0"
			for _, w := range f.workers {
				if r := w.runs[name]; r != nil {
					f.end(w, name, r, Faulted)
				}
			}
			f.run(10*time.Second + waitAllowed)
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
func TestLineForAdviceStaysShort(t *testing.T) {
	const end = 92 * time.Second
	for _, load := range []struct {
		hosts                  int
		lookups, quotes, gangs float64 // per second
	}{{6, 40, 6, 8}, {2, 20, 2, 2}} {
		t.Run(fmt.Sprintf("%d hosts", load.hosts), func(t *testing.T) {
			f := newFleet(t, 1, 48)
			f.eligible = 22
			f.hosts = f.hosts[:load.hosts]
			f.claim()
			f.mix("00", 2*time.Second, end, load.lookups, load.quotes, 0)
			for i := range int(load.gangs * (end - 2*time.Second).Seconds()) {
				spec := refret(fmt.Sprintf("cc%014x", i))
				spec.Steps[0].Count, spec.Steps[0].Need, spec.Steps[0].Estimate = 4, lightGangs.need, lightGangs.estimate
				f.submit(2*time.Second+time.Duration(f.rng.Int64N(int64(end-2*time.Second))), spec)
			}
			f.requireStarted(end)
		})
	}
}
