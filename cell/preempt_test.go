package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/workload"
)

// bulkJob returns a job of tasks of a low priority that may run only once each.
func bulkJob(id string, length time.Duration) *workload.Job {
	return &workload.Job{
		ID: id, Team: "blue", Spec: "bulk " + id,
		Queue: workload.Queue{Name: "quote", Service: "s", Priority: 2, MaxAttempts: 1, Slack: 20, Target: time.Minute},
		Steps: []workload.Step{{Count: 25, Need: resource.Vector{MilliCPU: 3500, MemoryMB: 7000}, Estimate: length, Checkpointing: true}},
	}
}

// fullOfBulk returns a fleet full of bulk tasks, to which urgent gangs come from 12 s on.
func fullOfBulk(t *testing.T, gangs int, gap time.Duration) *simFleet {
	f := memoryFleet(t, 1)
	for i := range 24 { // 432 tasks fit
		f.submit(2*time.Second, bulkJob(fmt.Sprintf("bb%014x", i), 40*time.Second))
	}
	for i := range gangs {
		spec := gangJob(fmt.Sprintf("cc%014x", i))
		spec.Queue.Advice, spec.Queue.Slack = nil, 1.5
		spec.Steps[0].Count, spec.Steps[0].Need = 8, resource.Vector{MilliCPU: 9000, MemoryMB: 33_000}
		spec.Steps[0].Checkpointing = false
		f.submit(12*time.Second+time.Duration(i)*gap, spec)
	}
	return f
}

// TestUrgentGangsTakeRoomBack sends urgent gangs to a fleet full of bulk tasks. They are in
// time if these save their progress; the work that is thrown away stays in the budget.
func TestUrgentGangsTakeRoomBack(t *testing.T) {
	for _, saves := range []bool{false, true} {
		t.Run(fmt.Sprint("saves ", saves), func(t *testing.T) {
			const end = 150 * time.Second
			f := fullOfBulk(t, 3, 4*time.Second)
			for _, j := range f.jobs {
				j.spec.Steps[0].Checkpointing = saves
			}
			f.runUntil(end)
			f.requireNoViolations()
			f.requireAllEnded()
			sum, got := f.owner.Summary(), f.outcomesByQueue()
			t.Logf("gangs: %v; bulk: %v; %d runs stopped, %d core-seconds thrown away by the count of the owner and %.1f by the workers", got["refret"], got["quote"], sum.Evicted, sum.LostWork, f.wastedCoreSeconds)
			require.Equal(t, 24, got["quote"].onTime)
			if !saves {
				require.Zero(t, got["refret"].onTime)
				require.Zero(t, sum.Evicted)
				return
			}
			require.Equal(t, 3, got["refret"].onTime)
			require.Positive(t, sum.Evicted)
			budget := evictionShare * float64(48*32) * (12 + 2*4 + 5) // until the last gang's latest start
			require.LessOrEqual(t, float64(sum.LostWork), budget)
			require.LessOrEqual(t, f.wastedCoreSeconds, budget)
		})
	}
}

// TestUrgentGangsWithAdviceTakeRoomBack does the same for gangs that some workers may run.
func TestUrgentGangsWithAdviceTakeRoomBack(t *testing.T) {
	f := fullOfBulk(t, 3, 4*time.Second)
	for id, j := range f.jobs {
		if id[:2] == "cc" {
			j.spec.Queue.Advice = gangJob(id).Queue.Advice
		}
	}
	f.runUntil(150 * time.Second)
	f.requireNoViolations()
	f.requireAllEnded()
	require.Equal(t, 3, f.outcomesByQueue()["refret"].onTime, f.outcomesByQueue()["refret"])
	require.Equal(t, 24, f.outcomesByQueue()["quote"].onTime)
}

// TestUrgentTasksTakeRoomBack sends lookups to a fleet full of bulk tasks.
func TestUrgentTasksTakeRoomBack(t *testing.T) {
	for _, saves := range []bool{false, true} {
		t.Run(fmt.Sprint("saves ", saves), func(t *testing.T) {
			f := fullOfBulk(t, 0, 0)
			for _, j := range f.jobs {
				j.spec.Steps[0].Checkpointing = saves
			}
			for i := range 10 {
				spec := lookupJob(fmt.Sprintf("aa%014x", i))
				spec.Queue.Advice, spec.Steps[0].Need.MilliCPU = nil, 6000
				f.submit(14*time.Second+time.Duration(i)*200*time.Millisecond, spec)
			}
			f.runUntil(150 * time.Second)
			f.requireNoViolations()
			f.requireAllEnded()
			t.Log(f.outcomesByQueue()["lookup"], f.owner.Summary().Evicted)
			require.Equal(t, map[bool]int{false: 0, true: 10}[saves], f.outcomesByQueue()["lookup"].onTime)
			require.Equal(t, saves, f.owner.Summary().Evicted > 0)
		})
	}
}

// TestStepsOfTheSamePriorityDoNotStopEachOther sends gangs of the priority of the bulk
// tasks.
func TestStepsOfTheSamePriorityDoNotStopEachOther(t *testing.T) {
	f := fullOfBulk(t, 3, 4*time.Second)
	for _, j := range f.jobs {
		j.spec.Queue.Priority = 1
	}
	f.runUntil(150 * time.Second)
	f.requireNoViolations()
	require.Zero(t, f.owner.Summary().Evicted)
}

// TestEvictedTasksAreNotStoppedAgainAndAgain sends urgent gangs for a minute. No bulk task
// may be stopped more than maxEvictions times.
func TestEvictedTasksAreNotStoppedAgainAndAgain(t *testing.T) {
	f := fullOfBulk(t, 30, 2*time.Second)
	stops := map[string]int{}
	f.onUpdate = func(_ *Cell, _ any, effects []any, _ time.Duration) {
		for _, effect := range effects {
			if l, ok := effect.(LogRecord); ok && l.Text == "room taken back" {
				stops[l.Attrs[0].Value.String()]++
			}
		}
	}
	f.runUntil(300 * time.Second)
	f.requireNoViolations()
	f.requireAllEnded()
	t.Logf("%v, %d tasks stopped, %.1f core-seconds wasted", f.outcomesByQueue(), len(stops), f.wastedCoreSeconds)
	require.NotEmpty(t, stops)
	for task, n := range stops {
		require.LessOrEqual(t, n, maxEvictions, task)
	}
	require.LessOrEqual(t, f.wastedCoreSeconds, evictionShare*48*32*f.now.Seconds())
}

// atFirstEviction does something when the first run is stopped to make room.
func (f *simFleet) atFirstEviction(do func(worker string)) {
	done := false
	f.onUpdate = func(_ *Cell, _ any, effects []any, _ time.Duration) {
		for _, effect := range effects {
			if l, ok := effect.(LogRecord); ok && l.Text == "room taken back" && !done {
				done = true
				do(l.Attrs[2].Value.String())
			}
		}
	}
}

// evictionFailures are failures between the stop of the bulk tasks and the start of the
// gang. After each, no task runs twice and none is lost.
var evictionFailures = []struct {
	name string
	fail func(f *simFleet, worker string)
}{
	{"stops are carried out late", func(f *simFleet, _ string) {
		f.stopDelay = 2 * time.Second
		f.after(time.Second, func() { f.stopDelay = 0 })
	}},
	{"stops are lost", func(f *simFleet, _ string) {
		f.stopsLost = true
		f.after(time.Second, func() { f.stopsLost = false })
	}},
	{"a worker is lost", func(f *simFleet, worker string) {
		f.after(50*time.Millisecond, func() { f.workers[worker].gone = true })
	}},
	{"a worker is cut off", func(f *simFleet, worker string) {
		f.after(50*time.Millisecond, func() { f.workers[worker].cutOff = true })
		f.after(8*time.Second, func() { f.workers[worker].cutOff = false })
	}},
	{"the owner is replaced", func(f *simFleet, _ string) {
		f.after(50*time.Millisecond, func() { f.killOwner(700 * time.Millisecond) })
	}},
	{"the store is down", func(f *simFleet, _ string) {
		f.after(0, func() { f.storeDown = true })
		f.after(3*time.Second, func() { f.storeDown = false })
	}},
}

func TestEvictionSurvivesFailures(t *testing.T) {
	for _, failure := range evictionFailures {
		t.Run(failure.name, func(t *testing.T) {
			f := fullOfBulk(t, 1, 0)
			failed := false
			f.atFirstEviction(func(worker string) {
				failed = true
				failure.fail(f, worker)
			})
			f.runUntil(200 * time.Second)
			require.True(t, failed)
			f.requireNoViolations()
			f.requireAllEnded()
			for id, j := range f.jobs {
				require.Equal(t, workload.Completed, j.state, id)
			}
		})
	}
}
