package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/workload"
)

// An end was acknowledged while the state of its job, which made the progress of the job's later
// tasks needless, waited for the next commit: a successor would start the task again.
func TestEndsInPartsOfAnEndedJobAreStoredBeforeTheirAcknowledgement(t *testing.T) {
	t.Parallel()
	c := New(Config{MaxLease: simMaxLease, StopTimeout: 200 * time.Millisecond, StatusRetention: time.Minute, MaxRowBytes: 8 * minTaskBytes})
	clock := Clock{Steady: time.Second, Wall: time.Unix(1_700_000_000, 0)}
	send := func(event any) []any { return slices.Clone(c.Update(clock, event)) }
	var pending []Commit
	var starts []Start
	var acked uint64
	round := func() {
		clock.Steady += 60 * time.Millisecond
		for _, effect := range send(PlacementRound{}) {
			switch e := effect.(type) {
			case Commit:
				pending = append(pending, e)
			case Poll:
				acked = max(acked, e.Ack)
			}
		}
	}
	confirm := func() {
		require.NotEmpty(t, pending)
		for _, effect := range send(Committed{Token: 5, Seq: pending[0].Seq, Sent: clock.Steady}) {
			if e, ok := effect.(Start); ok {
				starts = append(starts, e)
			}
		}
		pending = pending[1:]
	}
	report := func(results ...RunResult) {
		r := Report{StartedAt: 1, Clock: clock.Steady, Ended: results}
		for _, s := range starts {
			if !slices.ContainsFunc(results, func(e RunResult) bool { return e.Task == s.Task }) {
				r.Running = append(r.Running, RunningTask{Task: s.Task, Run: s.Run})
			}
		}
		send(PollResult{Token: 5, Worker: "w1", Sent: clock.Steady, Received: clock.Steady, Report: r})
	}
	send(Policy{Teams: map[string]Team{"blue": {Rate: 10_000}}, ReadAt: clock.Steady})
	send(Claimed{Token: 5, Sent: clock.Steady})
	send(Listed{Workers: []WorkerInfo{{ID: "w1", Addr: "w1", Service: "s", Capacity: resource.Vector{MilliCPU: 64_000, MemoryMB: 64_000}, StartedAt: 1}}})
	job := lookupJob("aa00000000000001")
	job.Queue.Advice, job.Steps[0].Count, job.Steps[0].Need, job.Steps[0].Estimate = nil, 16, resource.Vector{MilliCPU: 100, MemoryMB: 100}, time.Minute
	send(Submit{Reply: 1, Job: job})
	for len(starts) < 16 {
		round()
		if len(pending) > 0 {
			confirm()
		}
		report()
		require.Less(t, clock.Steady, 30*time.Second)
	}
	for _, s := range starts {
		send(Started{Token: 5, Worker: "w1", Task: s.Task, Run: s.Run, Received: clock.Steady})
	}
	for len(pending) > 0 {
		confirm()
	}

	i := slices.IndexFunc(starts, func(s Start) bool { return s.Task == "aa00000000000001.0.0.12" })
	report(RunResult{Seq: 1, Task: starts[i].Task, Run: starts[i].Run, Outcome: Done})
	for n := range 2 * maxRows {
		other := lookupJob(fmt.Sprintf("bb%014x", n))
		other.Queue.Advice, other.Queue.Target, other.Steps[0].Count, other.Steps[0].Need = nil, time.Hour, 1, job.Steps[0].Need
		send(Submit{Reply: uint64(2 + n), Job: other})
	}
	require.Greater(t, len(c.commits.dirty), maxRows)
	send(Cancel{Reply: 1000, ID: job.ID})
	stored := false
	for !stored {
		round()
		require.Zero(t, acked, "nothing tells a successor that the task is done")
		require.NotEmpty(t, pending)
		stored = slices.ContainsFunc(pending[0].Puts, func(r Row) bool { return r.Table == Progress && r.Key == job.ID })
		confirm()
		report(RunResult{Seq: 1, Task: starts[i].Task, Run: starts[i].Run, Outcome: Done})
	}
	for acked == 0 {
		round()
		report(RunResult{Seq: 1, Task: starts[i].Task, Run: starts[i].Run, Outcome: Done})
		require.Less(t, clock.Steady, time.Minute)
	}
}

// A successor that found only the row of a gang's later members took the gang for one that has
// to run, and passed over the ends that its workers still listed.
func TestGangIsDoneIfTheRowOfSomeMembersSaysSo(t *testing.T) {
	t.Parallel()
	spec := gangJob("aa00000000000001")
	spec.Steps[0].Count = 16
	c := New(Config{MaxRowBytes: 8 * minTaskBytes})
	j := newJob(spec, workload.Progress{}, 0)
	j.restoreParts(workload.Progress{}, nil, c.partTasks())
	j.occurrences[0].steps[0].finish()
	require.NotEmpty(t, j.more)
	stored := j.progressRecord(j.more[0].first, j.more[0].end)

	restored := newJob(spec, workload.Progress{}, 0)
	restored.restoreParts(workload.Progress{}, []StoredPart{{First: j.more[0].first, Progress: &stored}}, c.partTasks())
	require.True(t, restored.occurrences[0].steps[0].done)
}
