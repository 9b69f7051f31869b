package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/workload"
)

// newWorkingGang returns a fleet with a gang of eight members that works since some seconds, at
// most perWorker of them on one worker.
func newWorkingGang(t *testing.T, perWorker int) (*simFleet, *simJob) {
	f := newFleet(t, 1, 48)
	spec := gangJob("cc00000000000001")
	spec.Queue.Slack, spec.Steps[0].MaxPerWorker, spec.Steps[0].Estimate = 60, perWorker, 12*time.Second
	j := f.submit(2*time.Second, spec)
	f.runUntil(7 * time.Second)
	require.NotZero(t, j.begunAt)
	return f, j
}

// memberWorker returns the worker that runs a member.
func (f *simFleet) memberWorker(j *simJob, index int) *simWorker {
	for _, w := range f.workers {
		if w.runs[fmt.Sprintf("%s.0.0.%d", j.spec.ID, index)] != nil {
			return w
		}
	}
	require.Fail(f.t, "the member does not run")
	return nil
}

// TestBrokenGangDoesNotWaitForTheWorkerThatCrashed crashes the worker of one member. The others
// are listed as broken, so that member has ended; the gang waited until the worker was back.
func TestBrokenGangDoesNotWaitForTheWorkerThatCrashed(t *testing.T) {
	t.Parallel()
	for _, perWorker := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d on a worker", perWorker), func(t *testing.T) {
			f, j := newWorkingGang(t, perWorker)
			broken := f.now
			w := f.memberWorker(j, 3)
			require.Len(t, w.runs, perWorker)
			f.crashWorker(w)
			f.runUntil(60 * time.Second)
			f.requireNoViolations()
			require.Equal(t, workload.Completed, j.state)
			require.Greater(t, j.begunAt, broken)
			require.Less(t, j.begunAt-broken, maxWait)
		})
	}
}

// TestGangWaitsForTwoLostMembers crashes the worker of one member while that of another is cut
// off: either may have ended first, and the other is not known to have ended.
func TestGangWaitsForTwoLostMembers(t *testing.T) {
	t.Parallel()
	f, j := newWorkingGang(t, 1)
	broken := f.now
	first, second := f.memberWorker(j, 3), f.memberWorker(j, 5)
	second.cutOff = true
	f.after(simDownTime, func() { second.cutOff = false })
	f.crashWorker(first)
	f.runUntil(60 * time.Second)
	f.requireNoViolations()
	require.Equal(t, workload.Completed, j.state)
	require.GreaterOrEqual(t, j.begunAt-broken, simDownTime)
}

// TestGangWaitsForAMemberThatNoOtherEndProves stops one member and cuts off the worker of
// another. The others are broken by the stop, so the one that is cut off may run on.
func TestGangWaitsForAMemberThatNoOtherEndProves(t *testing.T) {
	t.Parallel()
	f, j := newWorkingGang(t, 1)
	s := f.owner.jobs[j.spec.ID].occurrences[0].steps[0]
	lost, stopped := f.memberWorker(j, 3), f.memberWorker(j, 5)
	lost.cutOff = true
	f.endRun(stopped, j.spec.ID+".0.0.5", stopped.runs[j.spec.ID+".0.0.5"], Stopped)
	f.runUntil(f.now + maxWait)
	require.Len(t, s.tasks[3].runs, 1, "the member counts as ended")
	lost.cutOff = false
	f.runUntil(60 * time.Second)
	f.requireNoViolations()
	require.Equal(t, workload.Completed, j.state)
}

// TestLostMemberMayHaveFailedForTheLastTime crashes the worker of a member of a gang that has
// failed once and may fail once more. The lost run may be one that failed.
func TestLostMemberMayHaveFailedForTheLastTime(t *testing.T) {
	t.Parallel()
	f, j := newWorkingGang(t, 1)
	s := f.owner.jobs[j.spec.ID].occurrences[0].steps[0]
	s.failedRuns, s.queue.MaxAttempts = workload.FailedRuns{1 << 40}, 2
	broken := f.now
	f.crashWorker(f.memberWorker(j, 3))
	f.runUntil(60 * time.Second)
	f.requireNoViolations()
	require.GreaterOrEqual(t, j.begunAt-broken, simDownTime)
}

// failMember ends a member of a gang that works as failed.
func (f *simFleet) failMember(j *simJob, index int) {
	w, name := f.memberWorker(j, index), fmt.Sprintf("%s.0.0.%d", j.spec.ID, index)
	f.endRun(w, name, w.runs[name], Failed)
}

// works reports whether all members of a gang run.
func (f *simFleet) works(j *simJob) bool {
	n := 0
	for _, w := range f.workers {
		for _, r := range w.runs {
			if r.task.Job == j.spec.ID && !r.waiting {
				n++
			}
		}
	}
	return n == j.tasks()
}

// A gang was started once more than its queue allows: the failure of a member whose worker was cut
// off was read after the start. The same under a new owner, which did not know of the lost run.
func TestLostMemberCountsAsAnAttempt(t *testing.T) {
	t.Parallel()
	for _, newOwner := range []bool{false, true} {
		t.Run(fmt.Sprintf("new owner %v", newOwner), func(t *testing.T) {
			f, j := newWorkingGang(t, 1)
			f.owner.jobs[j.spec.ID].occurrences[0].steps[0].queue.MaxAttempts, j.spec.Queue.MaxAttempts = 3, 3
			lost := f.memberWorker(j, 3)
			lost.cutOff = true
			f.failMember(j, 3)
			f.after(4*time.Second, func() { lost.cutOff = false })
			for attempt := range 2 {
				for !f.works(j) {
					f.runUntil(f.now + time.Millisecond)
					require.Less(t, f.now, 30*time.Second)
				}
				if newOwner && attempt == 0 {
					f.killOwner(100 * time.Millisecond)
					f.runUntil(f.now + 200*time.Millisecond)
				}
				if f.works(j) {
					f.failMember(j, 3)
				}
			}
			f.runUntil(60 * time.Second)
			f.requireNoViolations()
			f.requireAllEnded()
		})
	}
}

// TestCrashIsJudgedWithTheMemberThatHasEnded crashes the worker of a member that is known to
// have ended before the worker is replaced.
func TestCrashIsJudgedWithTheMemberThatHasEnded(t *testing.T) {
	t.Parallel()
	f, j := newWorkingGang(t, 1)
	settled, crashed := f.logged("lost members have ended"), f.logged("worker crashed")
	f.crashWorker(f.memberWorker(j, 3))
	f.runUntil(60 * time.Second)
	f.requireNoViolations()
	require.Len(t, *settled, 1)
	require.Len(t, *crashed, 1)
	require.Equal(t, "1", (*crashed)[0]["runs"])
}

// oneCall is the time in which a gang starts that has tickets, and a call to the advice service
// is not over.
const oneCall = 400 * time.Millisecond

// TestGangThatWaitsForLostMembersHasTicketsInTime crashes the worker of all members, so that no
// other's end shows that they have ended. The gang asked for tickets once the worker was back.
func TestGangThatWaitsForLostMembersHasTicketsInTime(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 48)
	spec := gangJob("cc00000000000001")
	spec.Queue.Slack, spec.Steps[0].Count, spec.Steps[0].Estimate = 60, 3, 12*time.Second
	j := f.submit(2*time.Second, spec)
	f.runUntil(7 * time.Second)
	w := f.memberWorker(j, 0)
	require.Len(t, w.runs, 3)
	f.crashWorker(w)
	f.runUntil(60 * time.Second)
	f.requireNoViolations()
	require.Equal(t, workload.Completed, j.state)
	require.Less(t, j.begunAt-f.crashes.backAt, oneCall)
}

// TestGangOfAnEarlierOwnerHasTicketsInTime kills the owner of a gang and cuts off the worker of one
// member until after the leases of the earlier owner have run out. The next owner asked for
// tickets only then.
func TestGangOfAnEarlierOwnerHasTicketsInTime(t *testing.T) {
	t.Parallel()
	f, j := newWorkingGang(t, 1)
	silent := f.memberWorker(j, 3)
	silent.cutOff = true
	leasesEnd := f.now + MaxLeaseAfterCommit
	f.killOwner(700 * time.Millisecond)
	released := Instant(0)
	f.every(10*time.Millisecond, func() {
		if f.owner == nil || released > 0 || f.owner.jobs[j.spec.ID] == nil {
			return
		}
		if !f.owner.jobs[j.spec.ID].occurrences[0].steps[0].hasHeldTask() {
			released = f.now
		}
	})
	f.runUntil(60 * time.Second)
	f.requireNoViolations()
	require.Equal(t, workload.Completed, j.state)
	require.LessOrEqual(t, silent.lease, leasesEnd)
	require.Greater(t, released, leasesEnd)
	require.Greater(t, j.begunAt, leasesEnd)
	require.Less(t, j.begunAt-released, oneCall)
}
