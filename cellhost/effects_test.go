package cellhost

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/cell"
)

// fakeStore stores the head row of a cell. It answers after a delay and can lose
// answers.
type fakeStore struct {
	mu            sync.Mutex
	head          HeadRow
	latency       time.Duration
	answersToLose int // number of further answers to lose
	calls         int
}

func (f *fakeStore) write(ctx context.Context, version uint64, head Head, _, _ []cell.Row) (uint64, *HeadRow, error) {
	f.mu.Lock()
	f.calls++
	current := f.head
	applied := version == f.head.Version
	if applied {
		f.head = HeadRow{Head: head, Version: version + 1}
	}
	delay := f.latency
	if f.answersToLose > 0 {
		f.answersToLose--
		delay = time.Hour
	}
	f.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return 0, nil, ctx.Err()
	}
	if !applied {
		return 0, &current, nil
	}
	return version + 1, nil, nil
}

// commitOnce writes a commit to the store and returns the time that it took.
func commitOnce(t *testing.T, h *Host, seq uint64) time.Duration {
	start := time.Now()
	head, _ := h.ownership.currentOwner()
	h.writeCommit(t.Context(), cell.Commit{Token: head.Token, Seq: seq})
	took := time.Since(start)
	require.IsType(t, cell.Committed{}, <-h.events)
	return took
}

// newOwner returns a host that owns the cell.
func newOwner(f *fakeStore) *Host {
	h := &Host{Session: "me", Dependencies: Dependencies{Write: f.write}, Log: slog.New(slog.DiscardHandler)}
	h.init()
	f.head = HeadRow{Head: Head{Session: "me", Token: 5}, Version: 7}
	h.ownership.owner, h.ownership.isOwner = f.head, true
	return h
}

// TestLostAnswerDelaysCommitLittle guards against waiting for the full timeout when the
// store loses an answer: nothing can be accepted, started or ended meanwhile.
func TestLostAnswerDelaysCommitLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{latency: 4 * time.Millisecond}
		h := newOwner(f)
		require.Less(t, commitOnce(t, h, 1), 10*time.Millisecond)
		f.answersToLose = 1
		require.Less(t, commitOnce(t, h, 2), 100*time.Millisecond)
		f.answersToLose = 2
		require.Less(t, commitOnce(t, h, 3), 250*time.Millisecond)
		require.Equal(t, uint64(3), f.head.Seq)
		require.Equal(t, uint64(10), f.head.Version, "each commit must take effect once")
	})
}

// TestResendDelayAdaptsToSlowStore lets the store become slow: after a few commits, each
// commit must be written only once, as before.
func TestResendDelayAdaptsToSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{latency: 250 * time.Millisecond}
		h := newOwner(f)
		for seq := range uint64(5) {
			commitOnce(t, h, seq+1)
		}
		before := f.calls
		for seq := range uint64(10) {
			commitOnce(t, h, seq+10)
		}
		require.Equal(t, 10, f.calls-before)
	})
}

// TestUnansweredStartTimesOutSoon covers workers that do not answer commands and carry them
// out much later. Until the command times out, the task cannot be placed elsewhere.
func TestUnansweredStartTimesOutSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &Host{Log: slog.New(slog.DiscardHandler)}
		h.Start = func(ctx context.Context, _ cell.Start) cell.Started {
			<-ctx.Done()
			return cell.Started{Failure: cell.NoAnswer}
		}
		h.init()
		start := time.Now()
		h.dispatch(t.Context(), "w", cell.Start{Command: cell.Command{NotAfter: time.Hour}})
		require.Equal(t, cell.NoAnswer, (<-h.events).(cell.Started).Failure)
		require.LessOrEqual(t, time.Since(start), 400*time.Millisecond)
	})
}
