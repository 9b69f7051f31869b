package cell

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/workload"
)

func movedEntry(addr, service string) WorkerInfo {
	return WorkerInfo{ID: "w1", Addr: addr, Service: service, Capacity: resource.Vector{MilliCPU: 8000, MemoryMB: 16_000}, StartedAt: 1}
}

// storedRoster returns the roster that a commit writes, or nil.
func storedRoster(t *testing.T, commit Commit) []WorkerRef {
	for _, row := range commit.Puts {
		if row.Table == Roster {
			refs, err := DecodeRoster(row.Value)
			require.NoError(t, err)
			return refs
		}
	}
	return nil
}

// A worker that was back at another address kept its old one in the store. The next owner asked
// there, took the answer of the worker that was there now for an end, and started tasks twice.
func TestWorkerGetsNoWorkBeforeItsAddressIsStored(t *testing.T) {
	for name, moved := range map[string]WorkerInfo{"address": movedEntry("b", "s"), "service": movedEntry("a", "s2")} {
		t.Run(name, func(t *testing.T) {
			c := New(Config{MaxLease: simMaxLease, StopTimeout: 200 * time.Millisecond, StatusRetention: time.Minute})
			clock := Clock{Steady: time.Second, Wall: time.Unix(1_700_000_000, 0)}
			send := func(event any) []any { return slices.Clone(c.Update(clock, event)) }
			report := func() {
				clock.Steady += 20 * time.Millisecond
				send(PollResult{Worker: "w1", Sent: clock.Steady, Received: clock.Steady, Report: Report{StartedAt: 1, Clock: clock.Steady}})
			}
			commit := func() Commit {
				clock.Steady += maxCommitInterval
				return nextCommit(t, c, clock)
			}
			send(Policy{Teams: map[string]Team{"blue": {Rate: 100}}, ReadAt: clock.Steady})
			send(Claimed{Token: 5, Sent: clock.Steady})
			send(Listed{Workers: []WorkerInfo{movedEntry("a", "s")}})
			report()
			first := commit()
			require.Equal(t, []WorkerRef{{ID: "w1", Addr: "a", Service: "s"}}, storedRoster(t, first))
			clock.Steady += 10 * time.Millisecond
			send(Listed{Workers: []WorkerInfo{moved}}) // while the commit is on its way
			send(Committed{Token: 5, Seq: first.Seq, Sent: clock.Steady})
			job := lookupJob("aa00000000000001")
			job.Queue.Advice, job.Queue.Service, job.Steps[0].Count = nil, moved.Service, 1
			send(Submit{Reply: 1, Job: job})
			report()
			require.False(t, c.workers["w1"].usable(clock.Steady))
			second := commit()
			require.Equal(t, []WorkerRef{{ID: "w1", Addr: moved.Addr, Service: moved.Service}}, storedRoster(t, second))
			require.Empty(t, c.workers["w1"].runs)
			send(Committed{Token: 5, Seq: second.Seq, Sent: clock.Steady})
			report()
			require.True(t, c.workers["w1"].usable(clock.Steady))
		})
	}
}

// The same with a row that an earlier version wrote: an answer of another worker at the stored
// address says nothing before the list of workers is read.
func TestAnotherWorkerAtAStoredAddressIsNoEnd(t *testing.T) {
	c := New(Config{MaxLease: simMaxLease, StopTimeout: 200 * time.Millisecond, StatusRetention: time.Minute})
	clock := Clock{Steady: time.Minute, Wall: time.Unix(1_700_000_000, 0)}
	var starts int
	var polls []Poll
	send := func(event any) {
		for _, effect := range slices.Clone(c.Update(clock, event)) {
			switch e := effect.(type) {
			case Start:
				starts++
			case Poll:
				polls = append(polls, e)
			}
		}
	}
	spec := lookupJob("aa00000000000001")
	spec.Queue.Advice, spec.Steps[0].Count, spec.ReceivedAt = nil, 1, clock.Wall
	const task, run = "aa00000000000001.0.0.0", 6*runsPerClaim + 1
	placed := workload.StepRecord{Placed: map[int]workload.Placement{0: {Worker: "w1", Run: run, StartedAt: 1}}}
	send(Policy{Teams: map[string]Team{"blue": {Rate: 100}}, ReadAt: clock.Steady})
	send(Claimed{Token: 7, Sent: clock.Steady, Previous: true, Workers: []WorkerRef{{ID: "w1", Addr: "a", Service: "s"}},
		Jobs: []StoredJob{{ID: spec.ID, Job: spec, Rows: 1, Progress: &workload.Progress{Steps: []workload.StepRecord{placed}}}}})
	send(PlacementRound{})
	require.Equal(t, "a", polls[0].Addr)
	clock.Steady += 5 * time.Millisecond
	send(PollResult{Token: 7, Worker: "w1", Sent: clock.Steady, Received: clock.Steady, Failure: OtherWorker})
	require.Contains(t, c.held, "w1")
	send(Listed{Workers: []WorkerInfo{movedEntry("b", "s")}})
	for n := len(polls); len(polls) == n; {
		clock.Steady += 20 * time.Millisecond
		send(PlacementRound{})
		require.Less(t, clock.Steady, time.Minute+5*time.Second)
	}
	require.Equal(t, "b", polls[len(polls)-1].Addr)
	clock.Steady += 5 * time.Millisecond
	send(PollResult{Token: 7, Worker: "w1", Sent: clock.Steady, Received: clock.Steady, Report: Report{StartedAt: 1, Clock: clock.Steady, Running: []RunningTask{{Task: task, Run: run, Percent: 20}}}})
	require.Contains(t, c.workers["w1"].runs, task)
	for range 100 {
		clock.Steady += 20 * time.Millisecond
		send(PlacementRound{})
	}
	require.Zero(t, starts)

	// Once the list has been read, it is the end of the life at the address that the list names.
	c.depose("claimed")
	send(Claimed{Token: 8, Sent: clock.Steady, Previous: true, Workers: []WorkerRef{{ID: "w1", Addr: "b", Service: "s"}}, Jobs: []StoredJob{{ID: spec.ID, Job: spec, Rows: 1, Progress: &workload.Progress{Steps: []workload.StepRecord{placed}}}}})
	send(Listed{Workers: []WorkerInfo{movedEntry("b", "s")}})
	send(PollResult{Token: 8, Worker: "w1", Sent: clock.Steady, Received: clock.Steady, Failure: OtherWorker})
	require.NotContains(t, c.held, "w1")
}
