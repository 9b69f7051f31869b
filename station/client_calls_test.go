package station

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/cell"
	"github.com/cowslipgap/cowslipgap/docket"
)

// TestFormerOwnerDoesNotDenyJobs asks an owner, whose commits are not confirmed, for a
// job that it does not know. Its successor may have accepted it, and a caller takes
// "no such job" for the end of it, also when it cancels.
func TestFormerOwnerDoesNotDenyJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := owner(&fakeStore{})
		s.LookUp = func(context.Context, string) (docket.State, bool, error) { return docket.Active, true, nil }
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { // the cell, which knows no jobs
			for {
				select {
				case event := <-s.events:
					event.(waiter).answer <- cell.Answer{Verdict: cell.Unknown}
				case <-ctx.Done():
					return
				}
			}
		}()
		time.Sleep(time.Second) // since the last commit
		require.Equal(t, cell.Refused, s.Cancel(ctx, "aa00000000000001").Verdict)
		out := s.Query(ctx, "aa00000000000001")
		require.Equal(t, Outcome{Verdict: cell.Accepted, State: docket.Active}, out)

		began := time.Now()
		time.AfterFunc(100*time.Millisecond, func() { s.lead.confirmed(s, 8, s.Now()) })
		require.Equal(t, cell.Unknown, s.Cancel(ctx, "aa00000000000001").Verdict)
		require.Less(t, time.Since(began), 200*time.Millisecond)
	})
}
