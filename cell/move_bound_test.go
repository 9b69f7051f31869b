package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/workload"
)

// TestTaskIsStoppedAtMostTwiceByAllOwners submits gangs that have room only where tasks are
// stopped for them, while owners are killed in turn.
func TestTaskIsStoppedAtMostTwiceByAllOwners(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 24)
	const tasks = 12
	for i := range tasks {
		bulk := bulkJob(fmt.Sprintf("bb%014x", i), 40*time.Second)
		bulk.Steps[0].Count, bulk.Steps[0].Need, bulk.Steps[0].Label = 1, resource.Vector{MilliCPU: 17_000}, "k0"
		f.submit(2500*time.Millisecond, bulk)
	}
	stopped := f.logged("room taken back")
	for i := range 8 {
		spec := gangJob(fmt.Sprintf("cc%014x", i))
		spec.Queue.Advice, spec.Queue.Slack, spec.Queue.Priority = nil, 60, 1
		spec.Steps = []workload.Step{{Count: 12, Gang: true, Need: resource.Vector{MilliCPU: 18_000}, Estimate: 2 * time.Second, Label: "k0", MaxPerWorker: 1}}
		f.submit(time.Duration(8+7*i)*time.Second, spec)
	}
	for i := range 4 {
		f.at(time.Duration(14+14*i)*time.Second, func() { f.killOwner(500 * time.Millisecond) })
	}
	f.runUntil(90 * time.Second)
	require.LessOrEqual(t, len(*stopped), maxEvictions*tasks)
}

// storedEvictions returns how often a task was stopped to make room by the store's count.
func (f *simFleet) storedEvictions(task string) int {
	id, err := workload.ParseTaskID(task)
	require.NoError(f.t, err)
	for _, rec := range f.store.progress[id.Job].Steps {
		if rec.Occurrence == id.Occurrence && rec.Step == id.Step {
			return rec.Evictions[id.Index]
		}
	}
	return 0
}

// TestStopsThatMakeRoomAreStoredFirst lets an owner fail just after it has decided to stop
// runs. A task is stopped no more often than the store says.
func TestStopsThatMakeRoomAreStoredFirst(t *testing.T) {
	for name, fail := range map[string]func(f *simFleet){
		"nothing fails":      func(*simFleet) {},
		"owner dies at once": func(f *simFleet) { f.killOwner(500 * time.Millisecond) },
		"owner dies while it stores them": func(f *simFleet) {
			f.after(simCommitLatency/2, func() { f.killOwner(500 * time.Millisecond) })
		},
		"owner dies once they are stored": func(f *simFleet) {
			f.after(commitInterval+2*simCommitLatency, func() { f.killOwner(500 * time.Millisecond) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := fullOfBulk(t, 4, 2*time.Second)
			decided := 0
			f.onUpdate = func(c *Cell, _ any, _ []any, _ time.Duration) {
				if decided == 0 && c.eviction.runs > 0 {
					decided = c.eviction.runs
					f.after(0, func() { fail(f) })
				}
			}
			stopped := f.logged("room taken back")
			stops := map[string]int{}
			checked := 0
			before := f.onUpdate
			f.onUpdate = func(c *Cell, event any, effects []any, took time.Duration) {
				before(c, event, effects, took)
				for ; checked < len(*stopped); checked++ {
					task := (*stopped)[checked]["task"]
					stops[task]++
					require.GreaterOrEqual(t, f.storedEvictions(task), stops[task], task)
				}
			}
			f.runUntil(150 * time.Second)
			f.requireNoViolations()
			f.requireAllEnded()
			require.Positive(t, decided)
			require.NotEmpty(t, stops)
		})
	}
}

// TestNothingMakesRoomWhileTheStoreIsSilent lets the store fall silent when an owner decides
// to stop runs, for longer than the decision holds. Only later decisions are carried out.
func TestNothingMakesRoomWhileTheStoreIsSilent(t *testing.T) {
	t.Parallel()
	f := fullOfBulk(t, 1, 0)
	silentAt := Instant(0)
	f.onUpdate = func(c *Cell, _ any, effects []any, _ time.Duration) {
		if silentAt == 0 && c.eviction.runs > 0 {
			silentAt, f.storeDown = f.now, true
			f.after(2*evictionPause, func() { f.storeDown = false })
		}
		for _, effect := range effects {
			if stop, ok := effect.(Stop); ok && c.workers[stop.Worker].runs[stop.Task].evictedAt > 0 {
				require.False(t, f.storeDown)
				require.Less(t, f.now-c.workers[stop.Worker].runs[stop.Task].evictedAt, evictionPause)
			}
		}
	}
	stopped := f.logged("room taken back")
	f.runUntil(200 * time.Second)
	f.requireNoViolations()
	f.requireAllEnded()
	require.Positive(t, silentAt)
	require.Len(t, *stopped, f.owner.Summary().Evicted, "decisions that were not carried out do not count")
}
