package cell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/workload"
)

// TestWorkOfCrashedWorkersRunsAtTheEnd is TestWorkOfDrainedWorkersRunsAtTheEnd with workers that
// end without a word after the traffic.
func TestWorkOfCrashedWorkersRunsAtTheEnd(t *testing.T) {
	t.Parallel()
	for _, after := range []time.Duration{0, time.Second, 3 * time.Second, 6 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			t.Parallel()
			f := newDrainFleet(t)
			f.at(15*time.Second+after, func() {
				for _, id := range []string{"w000", "w003", "w006", "w009"} {
					f.leave(f.workers[id], time.Hour, true)
				}
			})
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

// TestWorkOfWorkersThatDrainAfterTheTrafficRunsAtTheEnd lets workers begin to drain for 3 s, the
// drain_ms of a deployment whose workers grant 10 s, after the end of the traffic. The long lease
// from before their first word outlasts the drain.
func TestWorkOfWorkersThatDrainAfterTheTrafficRunsAtTheEnd(t *testing.T) {
	t.Parallel()
	for _, after := range []time.Duration{3500 * time.Millisecond, 4500 * time.Millisecond, 5500 * time.Millisecond, 6500 * time.Millisecond, 7500 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			t.Parallel()
			f := newDrainFleet(t)
			f.drainWorkers(15*time.Second+after, 3*time.Second)
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

// TestWorkOfDrainedWorkersOutlivesTheOwner ends the owner after the traffic, as workers that have
// drained for long exit. Its successor knows from the roster that they were leaving.
func TestWorkOfDrainedWorkersOutlivesTheOwner(t *testing.T) {
	t.Parallel()
	f := newDrainFleet(t)
	f.headReadDelay = 500 * time.Millisecond
	f.drainWorkers(12*time.Second, 10*time.Second)
	idle := f.watchIdle()
	f.at(22*time.Second, func() { f.killOwner(1500 * time.Millisecond) })
	f.runUntil(15*time.Second + finishTime)
	f.requireNoViolations()
	require.NotEmpty(t, idle.longest)
	for id, since := range inOrder(idle.since) {
		require.Less(t, f.now-since, idleLimit, "job %s", id)
	}
}

// TestWorkHeldAfterAnOutageOfAllHostsRunsAtTheEnd takes the power of all hosts at the end of the
// traffic, and ends a few workers meanwhile. The hosts read the head row again only once they are
// back. By then, all leases of the former owner have run out.
func TestWorkHeldAfterAnOutageOfAllHostsRunsAtTheEnd(t *testing.T) {
	t.Parallel()
	for _, outage := range []time.Duration{3500 * time.Millisecond, 5500 * time.Millisecond, 9500 * time.Millisecond} {
		t.Run(outage.String(), func(t *testing.T) {
			t.Parallel()
			f := newDrainFleet(t)
			f.headReadDelay = time.Hour // the first reading is that of the claim
			f.runUntil(15 * time.Second)
			idle := f.watchIdle()
			f.killOwner(outage)
			f.after(500*time.Millisecond, func() {
				for _, id := range []string{"w000", "w003", "w006", "w009"} {
					f.leave(f.workers[id], time.Hour, true)
				}
			})
			f.runUntil(15*time.Second + finishTime)
			f.requireNoViolations()
			require.NotEmpty(t, idle.longest)
			for id, since := range inOrder(idle.since) {
				require.Less(t, f.now-since, idleLimit, "job %s", id)
			}
		})
	}
}

// TestLastingTaskRunsAgainAfterAnOutageOfAllHosts takes the power of all hosts for 9.5 s. A task
// that lasts, whose worker ended meanwhile, may wait for 7 s of calm after that.
func TestLastingTaskRunsAgainAfterAnOutageOfAllHosts(t *testing.T) {
	t.Parallel()
	const outage, calm = 9500 * time.Millisecond, 7 * time.Second
	f := newFleet(t, 1, 6)
	f.maxLease, f.eligiblePercent, f.headReadDelay = longestLease, 100, time.Hour
	f.owner.MaxLease = longestLease
	spec := quoteJob("aa00000000000001")
	spec.Steps = []workload.Step{{Count: 1, Need: resource.Vector{MilliCPU: 2000, MemoryMB: 2000}, Estimate: time.Minute, LongRunning: true}}
	f.submit(2*time.Second, spec)
	f.runUntil(15 * time.Second)
	idle := f.watchIdle()
	f.killOwner(outage)
	f.after(500*time.Millisecond, func() {
		for _, w := range inOrder(f.workers) {
			if len(w.runs) > 0 {
				f.leave(w, time.Hour, true)
			}
		}
	})
	f.runUntil(15*time.Second + outage + calm)
	f.requireNoViolations()
	require.Empty(t, idle.since, "idle at the end of the calm span")
}
