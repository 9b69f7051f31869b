package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/workload"
)

// plainJob returns a job that needs no advice, of the given tasks.
func plainJob(id string, step workload.Step) *workload.Job {
	spec := quoteJob(id)
	spec.Queue.Advice, spec.Queue.Slack = nil, 60
	spec.Steps = []workload.Step{step}
	return spec
}

// TestGangKeepsTheWorkersItAsksAbout guards against gangs whose workers are taken while the
// call for their tickets is in flight, because others have as much room by then.
func TestGangKeepsTheWorkersItAsksAbout(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 12)
	f.eligiblePercent = 100
	// The first two workers stay partly in use, the next eight until the call is in flight.
	for i, id := range f.owner.sortedWorkerIDs()[:10] {
		f.workers[id].info.Labels = []string{"soon free"}
		if i < 2 {
			f.workers[id].info.Labels = []string{"in use"}
		}
	}
	f.submit(2*time.Second, plainJob("dd00000000000002", workload.Step{Count: 2, Need: resource.Vector{MilliCPU: 10_000}, Estimate: 20 * time.Second, Label: "in use", MaxPerWorker: 1}))
	f.submit(2*time.Second, plainJob("dd00000000000000", workload.Step{Count: 8, Need: resource.Vector{MilliCPU: 10_000}, Estimate: 300 * time.Millisecond, Label: "soon free", MaxPerWorker: 1}))
	spec := gangJob("cc00000000000000")
	spec.Queue.Slack, spec.Steps[0].Count, spec.Steps[0].Need = 60, 4, resource.Vector{MilliCPU: 16_000}
	gang := f.submit(2052*time.Millisecond, spec)
	f.at(2053*time.Millisecond, func() { // it knows who may run it, and has no tickets
		s := f.owner.jobs[spec.ID].occurrences[0].steps[0]
		s.advice.answers, s.advice.tickets = map[*worker]eligibility{}, map[*worker]ticket{}
		for _, w := range f.owner.sortedWorkers {
			s.advice.answers[w] = eligibility{eligible: true, startedAt: w.StartedAt}
			s.advice.addEligible(w)
		}
	})
	f.submit(2500*time.Millisecond, plainJob("dd00000000000001", workload.Step{Count: 12, Need: resource.Vector{MilliCPU: 20_000}, Estimate: 20 * time.Second, MaxPerWorker: 1}))
	f.runUntil(6 * time.Second)
	t.Logf("calls %d, started %v", f.adviceCalls["refret"], gang.startedAt)
	require.Empty(t, f.violations)
	require.Equal(t, 1, f.adviceCalls["refret"])
	require.NotZero(t, gang.startedAt)
}

// TestGangDoesNotWaitForRoomThatOthersAlwaysTake simulates a gang that is expected to have room
// within a second, and for which workers are reserved. Each time, steps that come before it
// take the room. A gang behind it has room beside these on the same workers.
func TestGangDoesNotWaitForRoomThatOthersAlwaysTake(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 24)
	f.submit(2*time.Second, plainJob("dd00000000000000", workload.Step{Count: 6, Need: resource.Vector{MilliCPU: 30_000}, Estimate: time.Minute, Label: "k0", MaxPerWorker: 1}))
	for i := range 240 {
		urgent := plainJob(fmt.Sprintf("aa%014x", i), workload.Step{Count: 1, Need: resource.Vector{MilliCPU: 20_000}, Estimate: 600 * time.Millisecond, Label: "k0"})
		urgent.Queue.Priority = 0
		f.submit(2*time.Second+time.Duration(i)*75*time.Millisecond, urgent)
	}
	members := func(id string, priority, count int, milliCPU int64) *workload.Job {
		spec := gangJob(id)
		spec.Queue.Advice, spec.Queue.Slack, spec.Queue.Priority = nil, 60, priority
		spec.Steps = []workload.Step{{Count: count, Gang: true, Need: resource.Vector{MilliCPU: milliCPU}, Estimate: 5 * time.Second, Label: "k0"}}
		return spec
	}
	f.submit(4*time.Second, members("cc00000000000000", 1, 6, 20_000))
	behind := f.submit(6*time.Second, members("cc00000000000001", 2, 3, 12_000))
	f.runUntil(20 * time.Second)
	f.requireStartedWithin(behind, behind.submittedAt)
}

// TestGangWithRoomDoesNotWaitForALateOneThatStartsLater simulates a late gang that is expected to
// have room in some seconds. The gang behind it has room now on the same workers, until later
// than that, and most of the fleet is free.
func TestGangWithRoomDoesNotWaitForALateOneThatStartsLater(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 24)
	f.submit(2*time.Second, plainJob("dd00000000000000", workload.Step{Count: 6, Need: resource.Vector{MilliCPU: 30_000}, Estimate: time.Minute, Label: "k0", MaxPerWorker: 1}))
	f.submit(2*time.Second, plainJob("dd00000000000001", workload.Step{Count: 6, Need: resource.Vector{MilliCPU: 14_000}, Estimate: 6 * time.Second, Label: "k0", MaxPerWorker: 1}))
	members := func(id string, priority, count int, milliCPU int64, estimate time.Duration) *workload.Job {
		spec := gangJob(id)
		spec.Queue.Advice, spec.Queue.Slack, spec.Queue.Priority = nil, 60, priority
		spec.Steps = []workload.Step{{Count: count, Gang: true, Need: resource.Vector{MilliCPU: milliCPU}, Estimate: estimate, Label: "k0"}}
		return spec
	}
	first := f.submit(2500*time.Millisecond, members("cc00000000000000", 1, 6, 20_000, 5*time.Second))
	f.at(2501*time.Millisecond, func() { f.owner.jobs[first.spec.ID].acceptedLate = true })
	behind := f.submit(3*time.Second, members("cc00000000000001", 2, 3, 9000, 12*time.Second))
	f.at(3001*time.Millisecond, func() { f.owner.jobs[behind.spec.ID].acceptedLate = true })
	f.runUntil(25 * time.Second)
	t.Logf("the first starts at %v", first.startedAt)
	require.NotZero(t, first.startedAt)
	f.requireStartedWithin(behind, behind.submittedAt)
}

// newGangBesideMovableRuns returns a fleet and a gang whose workers each run a task that saves
// its progress, while the rest of the fleet is free.
func newGangBesideMovableRuns(t *testing.T) (*simFleet, *simJob) {
	f := newFleet(t, 1, 24)
	for i := range 12 {
		bulk := bulkJob(fmt.Sprintf("bb%014x", i), 40*time.Second)
		bulk.Steps[0].Count, bulk.Steps[0].Need = 1, resource.Vector{MilliCPU: 17_000}
		f.submit(2500*time.Millisecond, bulk)
	}
	drain := func(draining bool) func() {
		return func() {
			for _, w := range f.workers {
				w.info.Draining = draining && w.info.Labels[0] == "k1"
			}
		}
	}
	f.at(1200*time.Millisecond, drain(true)) // the tasks begin on the others
	f.at(6*time.Second, drain(false))
	spec := gangJob("cc00000000000000")
	spec.Queue.Advice, spec.Queue.Slack, spec.Queue.Priority = nil, 60, 1
	spec.Steps = []workload.Step{{Count: 12, Gang: true, Need: resource.Vector{MilliCPU: 18_000}, Estimate: 5 * time.Second, Label: "k0", MaxPerWorker: 1}}
	return f, f.submit(8*time.Second, spec)
}

// TestGangTakesRoomThatIsFreeElsewhere simulates a gang whose workers each run a task that saves
// its progress, while the rest of the fleet is free: it waited for the end of these tasks.
func TestGangTakesRoomThatIsFreeElsewhere(t *testing.T) {
	t.Parallel()
	f, gang := newGangBesideMovableRuns(t)
	f.runUntil(12 * time.Second)
	f.requireStartedWithin(gang, gang.submittedAt)
	f.runUntil(80 * time.Second)
	f.requireNoViolations()
	f.requireAllEnded()
}

// TestNoRunsAreMovedForAGangBeyondItsTeamsRate lets the gang's team exceed its rate.
func TestNoRunsAreMovedForAGangBeyondItsTeamsRate(t *testing.T) {
	t.Parallel()
	f, gang := newGangBesideMovableRuns(t)
	f.at(8100*time.Millisecond, func() { f.owner.jobs[gang.spec.ID].beyondRate = true })
	f.runUntil(14 * time.Second)
	require.Zero(t, f.owner.eviction.runs)
}
