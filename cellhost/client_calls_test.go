package cellhost

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/semaphore"

	"github.com/cowslipgap/cowslipgap/cell"
	"github.com/cowslipgap/cowslipgap/workload"
)

// TestUncertainOwnerDoesNotReportJobUnknown queries and cancels a job that is unknown to
// an owner whose commits are not confirmed. A new owner may have accepted the job, and
// a client treats the answer "no such job" as final, also when it cancels.
func TestUncertainOwnerDoesNotReportJobUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newOwner(&fakeStore{})
		h.LookUp = func(context.Context, string) (workload.Progress, bool, error) {
			return workload.Progress{State: workload.Active}, true, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { // stands in for a cell without jobs
			for {
				select {
				case event := <-h.events:
					event.(pendingCall).answer <- cell.Answer{Verdict: cell.Unknown}
				case <-ctx.Done():
					return
				}
			}
		}()
		time.Sleep(time.Second) // the last confirmed commit must no longer be recent
		require.Equal(t, cell.Refused, h.Cancel(ctx, "aa00000000000001").Verdict)
		out := h.Query(ctx, "aa00000000000001")
		require.Equal(t, Outcome{Verdict: cell.Accepted, State: workload.Active}, out)

		start := time.Now()
		time.AfterFunc(100*time.Millisecond, func() { h.ownership.commitConfirmed(h, 5, 8, h.Now()) })
		require.Equal(t, cell.Unknown, h.Cancel(ctx, "aa00000000000001").Verdict)
		require.Less(t, time.Since(start), 200*time.Millisecond)
	})
}

// TestJobsBeyondTheBoundAreTurnedAway lets jobs wait for the cell's answer until no more may.
func TestJobsBeyondTheBoundAreTurnedAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		job := func(i int) *workload.Job {
			return &workload.Job{ID: fmt.Sprintf("aa0000000000000%d", i), Steps: []workload.Step{{Count: 1}}}
		}
		h := newOwner(&fakeStore{})
		h.JobBytes = 2*int64(job(1).MaxSize()) + 1
		h.waitingJobs = semaphore.NewWeighted(h.JobBytes)
		answers := make(chan Outcome, 2)
		for i := range 2 {
			go func() { answers <- h.Submit(t.Context(), job(i)) }()
		}
		synctest.Wait()
		out := h.Submit(t.Context(), job(3))
		require.Equal(t, cell.Refused, out.Verdict)
		require.True(t, out.Unavailable)
		require.False(t, out.Unanswered)
		require.Positive(t, out.RetryAfter)
		require.Len(t, h.events, 2, "a job that is turned away does not reach the cell")
		require.EqualValues(t, 1, h.Counts.TurnedAway.Load())
		for range 2 {
			(<-h.events).(pendingCall).answer <- cell.Answer{Verdict: cell.Accepted}
			require.Equal(t, cell.Accepted, (<-answers).Verdict)
		}
		go func() { (<-h.events).(pendingCall).answer <- cell.Answer{Verdict: cell.Accepted} }()
		require.Equal(t, cell.Accepted, h.Submit(t.Context(), job(3)).Verdict)
	})
}

// TestOwnerTellsWhyAJobFailed guards against a reason that is lost on the way from the owner.
func TestOwnerTellsWhyAJobFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const reason = "its task crashed 2 workers"
		h := newOwner(&fakeStore{})
		go func() {
			call := (<-h.events).(pendingCall)
			call.answer <- cell.Answer{State: workload.Failed, Reason: reason}
		}()
		require.Equal(t, Outcome{State: workload.Failed, Reason: reason}, h.Query(t.Context(), "aa00000000000001"))
	})
}

// TestCallersReturnInTimeAfterAnOutage submits jobs while no owner has been in reach for
// six seconds. Callers must not all return in the same second, nor when their jobs can no
// longer be of use.
func TestCallersReturnInTimeAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newOwner(&fakeStore{})
		h.ownership.mu.Lock()
		h.ownership.isOwner = false
		h.ownership.mu.Unlock()
		time.Sleep(6 * time.Second)
		told := map[time.Duration]int{}
		for i := range 20 {
			job := &workload.Job{ID: fmt.Sprintf("aa%014x", i), Queue: workload.Queue{Slack: 4, Target: time.Second}, Steps: []workload.Step{{Count: 1, Estimate: 5 * time.Second}}}
			out := h.Submit(t.Context(), job)
			require.True(t, out.Unavailable)
			told[out.RetryAfter.Round(time.Second)]++
			job.Steps[0].Estimate, job.Queue.Slack = 500*time.Millisecond, 1.5
			require.Less(t, h.Submit(t.Context(), job).RetryAfter, 5*time.Second)
		}
		require.Greater(t, len(told), 2, "%v", told)
	})
}
