package cell

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/workload"
)

const (
	longestLease = 10 * time.Second // of a deployment with long leases
	// finishTime is the time from the end of the traffic to the check of LOST, which a job
	// fails that has had nothing running for idleLimit.
	finishTime = 14 * time.Second
	idleLimit  = 3 * time.Second
	// lastingIdleLimit is the same for a task that lasts, at any time.
	lastingIdleLimit = 9 * time.Second
)

// idleClock follows for how long each accepted job of a fleet has had nothing running.
type idleClock struct {
	since   map[string]Instant
	longest map[string]time.Duration
}

// watchIdle begins to follow the jobs.
func (f *simFleet) watchIdle() *idleClock {
	c := &idleClock{since: map[string]Instant{}, longest: map[string]time.Duration{}}
	f.every(10*time.Millisecond, func() {
		running := map[string]bool{}
		for _, w := range f.workers {
			for _, r := range w.runs {
				running[r.task.Job] = running[r.task.Job] || !w.gone
			}
		}
		for id, j := range f.jobs {
			if since, idle := c.since[id]; running[id] || !j.accepted || j.allDone() {
				delete(c.since, id)
			} else if !idle {
				c.since[id] = f.now
			} else {
				c.longest[id] = max(c.longest[id], f.now-since)
			}
		}
	})
	return c
}

// newDrainFleet returns a fleet with long leases under single tasks and gangs that go on for
// a minute.
func newDrainFleet(t *testing.T) *simFleet {
	f := newFleet(t, 1, 24)
	f.maxLease, f.eligiblePercent = longestLease, 100
	f.owner.MaxLease = longestLease
	for i := range 40 {
		spec := quoteJob(fmt.Sprintf("aa%014x", i))
		spec.Steps = []workload.Step{{Count: 1, Need: resource.Vector{MilliCPU: 2000, MemoryMB: 2000}, Estimate: time.Minute}}
		f.submit(2*time.Second, spec)
	}
	for i := range 5 {
		spec := gangJob(fmt.Sprintf("bb%014x", i))
		spec.Steps[0].Estimate = time.Minute
		f.submit(2*time.Second, spec)
	}
	return f
}

// drainWorkers makes a third of the workers drain at the given time, and exit later.
func (f *simFleet) drainWorkers(at Instant, drain time.Duration) {
	f.at(at, func() {
		for i := range 8 {
			w := f.workers[fmt.Sprintf("w%03d", 3*i)]
			w.info.Draining = true
			f.after(drain, func() { f.leave(w, time.Hour, true) })
		}
	})
}

// TestWorkOfADrainedWorkerRunsAgain guards against tasks and gangs that wait for the long
// leases of workers that have drained and ended.
func TestWorkOfADrainedWorkerRunsAgain(t *testing.T) {
	t.Parallel()
	f := newDrainFleet(t)
	f.drainWorkers(15*time.Second, longestLease)
	f.runUntil(15*time.Second + longestLease - time.Second)
	idle := f.watchIdle()
	f.runUntil(f.now + 20*time.Second)
	f.requireNoViolations()
	require.GreaterOrEqual(t, len(idle.longest), 5, "few jobs are interrupted")
	for id, longest := range inOrder(idle.longest) {
		require.LessOrEqual(t, longest, idleLimit, "job %s", id)
	}
}

// TestSuccessorKeepsLeasesOfDrainingWorkersShort lets a new owner poll a worker of the roster
// before it has read the list of workers.
func TestSuccessorKeepsLeasesOfDrainingWorkersShort(t *testing.T) {
	t.Parallel()
	for _, leaving := range []bool{false, true} {
		c := New(Config{MaxLease: longestLease, StatusRetention: time.Minute})
		now, clock := time.Hour, time.Minute // the worker's clock
		longest := time.Duration(0)
		step := func(event any) {
			queue := []any{event}
			for len(queue) > 0 {
				next := queue[0]
				queue = queue[1:]
				for _, effect := range c.Update(Clock{Steady: now, Wall: time.Unix(1, 0)}, next) {
					switch e := effect.(type) {
					case Commit:
						queue = append(queue, Committed{Seq: e.Seq, Sent: now})
					case Poll:
						longest = max(longest, e.LeaseUntil-clock)
						report := Report{StartedAt: 1, Clock: clock, Running: []RunningTask{{Task: "aa00000000000001.0.0.0", Run: 1}}}
						queue = append(queue, PollResult{Worker: e.Worker, Sent: now, Received: now, Report: report})
					}
				}
			}
		}
		poll := func() time.Duration {
			longest = 0
			for range 10 {
				now, clock = now+100*time.Millisecond, clock+100*time.Millisecond
				step(PlacementRound{})
			}
			return longest
		}
		step(Claimed{Token: 9, Sent: now, Previous: true, Workers: []WorkerRef{{ID: "w1", Addr: "w1", Service: "s", Leaving: leaving}}})
		length := poll()
		require.Equal(t, leaving, length < longestLease/2, "%v", length)
		step(Listed{Workers: []WorkerInfo{{ID: "w1", Addr: "w1", Service: "s", StartedAt: 1, Draining: !leaving}}})
		length = poll()
		require.Equal(t, !leaving, length < longestLease/2, "%v", length)
	}
}

// TestDrainingWorkersOutliveUnansweredPolls guards against short leases that run out while
// workers do not answer for half a second.
func TestDrainingWorkersOutliveUnansweredPolls(t *testing.T) {
	t.Parallel()
	f := newDrainFleet(t)
	f.drainWorkers(15*time.Second, 40*time.Second)
	for at := 30 * time.Second; at < 50*time.Second; at += 1970 * time.Millisecond {
		f.at(at, func() {
			for _, w := range f.workers {
				w.cutOff = true
			}
		})
		f.at(at+500*time.Millisecond, func() {
			for _, w := range f.workers {
				w.cutOff = false
			}
		})
	}
	f.runUntil(28 * time.Second)
	starts := f.starts
	f.runUntil(52 * time.Second)
	f.requireNoViolations()
	require.Equal(t, starts, f.starts, "runs were started again")
}

// TestWorkOfDrainedWorkersRunsAtTheEnd guards against work that waits for long leases at the
// check after the traffic, which ends as the workers begin to drain.
func TestWorkOfDrainedWorkersRunsAtTheEnd(t *testing.T) {
	t.Parallel()
	for _, drain := range []time.Duration{2 * time.Second, 4 * time.Second, 6 * time.Second, 8 * time.Second} {
		t.Run(drain.String(), func(t *testing.T) {
			t.Parallel()
			f := newDrainFleet(t)
			f.drainWorkers(15*time.Second, drain)
			idle := f.watchIdle()
			f.runUntil(15*time.Second + finishTime)
			f.requireNoViolations()
			require.NotEmpty(t, idle.longest)
			for id, since := range inOrder(idle.since) {
				require.Less(t, f.now-since, idleLimit, "job %s", id)
			}
		})
	}
}

// TestLastingTaskOfALostWorkerRunsAgain guards against long-running tasks that wait for the
// long leases of a worker that was lost without a word, at any time between two polls.
func TestLastingTaskOfALostWorkerRunsAgain(t *testing.T) {
	t.Parallel()
	for lostAt := 15 * time.Second; lostAt < 15*time.Second+pollWait; lostAt += 100 * time.Millisecond {
		f := newFleet(t, 1, 6)
		f.maxLease, f.eligiblePercent = longestLease, 100
		f.owner.MaxLease = longestLease
		spec := quoteJob("aa00000000000001")
		spec.Steps = []workload.Step{{Count: 1, Need: resource.Vector{MilliCPU: 2000, MemoryMB: 2000}, Estimate: time.Minute, LongRunning: true}}
		f.submit(2*time.Second, spec)
		f.runUntil(lostAt)
		idle := f.watchIdle()
		for _, id := range slices.Sorted(maps.Keys(f.workers)) {
			if w := f.workers[id]; len(w.runs) > 0 {
				f.leave(w, time.Hour, true)
			}
		}
		f.runUntil(40 * time.Second)
		f.requireNoViolations()
		require.NotZero(t, idle.longest[spec.ID])
		require.LessOrEqual(t, idle.longest[spec.ID], lastingIdleLimit, "lost at %v", lostAt)
	}
}

// TestLastingTaskOutlivesItsWorkerAndTheOwner guards against long-running tasks that wait for
// leases after their worker and the owner were lost at the same moment. A successor reads the
// head row once a heartbeat has failed, and claims the cell later.
func TestLastingTaskOutlivesItsWorkerAndTheOwner(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		for _, lease := range []time.Duration{simMaxLease, longestLease} {
			f := newFleet(t, seed, 6)
			f.maxLease, f.eligiblePercent, f.headReadDelay = lease, 100, 500*time.Millisecond
			f.owner.MaxLease = lease
			spec := quoteJob("aa00000000000001")
			spec.Steps = []workload.Step{{Count: 1, Need: resource.Vector{MilliCPU: 2000, MemoryMB: 2000}, Estimate: time.Minute, LongRunning: true}}
			f.submit(2*time.Second, spec)
			f.runUntil(15*time.Second + time.Duration(f.rng.Int64N(int64(pollWait))))
			idle := f.watchIdle()
			for _, id := range slices.Sorted(maps.Keys(f.workers)) {
				if w := f.workers[id]; len(w.runs) > 0 {
					f.leave(w, time.Hour, true)
				}
			}
			f.killOwner(1500 * time.Millisecond)
			f.runUntil(40 * time.Second)
			f.requireNoViolations()
			require.NotZero(t, idle.longest[spec.ID])
			require.LessOrEqual(t, idle.longest[spec.ID], lastingIdleLimit, "seed %d, leases of %v", seed, lease)
		}
	}
}

// TestRunsOutliveShortOutages guards against leases that are too short: the store is away for
// 6.5 s at any time between two polls.
func TestRunsOutliveShortOutages(t *testing.T) {
	t.Parallel()
	for _, lease := range []time.Duration{simMaxLease, longestLease} {
		f := newDrainFleet(t)
		f.maxLease, f.owner.MaxLease = lease, lease
		f.runUntil(15 * time.Second)
		starts := f.starts
		for phase := range 4 {
			f.storeDown = true
			f.runUntil(f.now + 6500*time.Millisecond)
			f.storeDown = false
			f.runUntil(f.now + 2*time.Second + time.Duration(phase)*310*time.Millisecond)
		}
		f.requireNoViolations()
		require.Equal(t, starts, f.starts, "runs were started again, leases of %v", lease)
	}
}

// TestRunsOutliveShortCuts guards against the same while a third of the workers is cut off,
// for 5 s under long leases and for 3.5 s otherwise.
func TestRunsOutliveShortCuts(t *testing.T) {
	t.Parallel()
	for lease, cut := range map[time.Duration]time.Duration{simMaxLease: 3500 * time.Millisecond, longestLease: 5 * time.Second} {
		f := newDrainFleet(t)
		f.maxLease, f.owner.MaxLease = lease, lease
		f.runUntil(15 * time.Second)
		starts := f.starts
		setCut := func(cutOff bool) {
			for i := range 8 {
				f.workers[fmt.Sprintf("w%03d", 3*i)].cutOff = cutOff
			}
		}
		for phase := range 4 {
			setCut(true)
			f.runUntil(f.now + cut)
			setCut(false)
			f.runUntil(f.now + 2*time.Second + time.Duration(phase)*310*time.Millisecond)
		}
		f.requireNoViolations()
		require.Equal(t, starts, f.starts, "runs were started again, leases of %v", lease)
	}
}

// TestDeposedOwnerOfSlowClocksCausesNoDoubleRun cuts the owner off from the store while it
// renews leases on workers whose clocks are as slow as they may be. Its successor cannot reach
// half of them, and knows when the owner's last commit was stored.
func TestDeposedOwnerOfSlowClocksCausesNoDoubleRun(t *testing.T) {
	t.Parallel()
	for phase := range 12 {
		f := newDrainFleet(t)
		f.clockRate = 1 - clockDrift
		f.runUntil(15*time.Second + time.Duration(phase)*70*time.Millisecond)
		starts := f.starts
		f.isolateOwner(1500*time.Millisecond, 20*time.Second)
		f.runUntil(45 * time.Second)
		f.requireNoViolations()
		require.Greater(t, f.starts, starts, "no run is given up")
	}
}
