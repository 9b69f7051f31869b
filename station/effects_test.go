package station

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

// fakeStore is the cell's head row. It answers after a time, and loses answers.
type fakeStore struct {
	mu    sync.Mutex
	head  HeadRow
	takes time.Duration
	lost  int // answers still to be lost
	calls int
}

func (f *fakeStore) write(ctx context.Context, version uint64, head Head, _, _ []cell.Row) (uint64, *HeadRow, error) {
	f.mu.Lock()
	f.calls++
	stands := f.head
	taken := version == f.head.Version
	if taken {
		f.head = HeadRow{Head: head, Version: version + 1}
	}
	took := f.takes
	if f.lost > 0 {
		f.lost--
		took = time.Hour
	}
	f.mu.Unlock()
	select {
	case <-time.After(took):
	case <-ctx.Done():
		return 0, nil, ctx.Err()
	}
	if !taken {
		return 0, &stands, nil
	}
	return version + 1, nil, nil
}

// commitOnce writes a commit to the store and returns how long it took.
func commitOnce(t *testing.T, s *Station, seq uint64) time.Duration {
	began := time.Now()
	s.writeCommit(t.Context(), cell.Commit{Seq: seq})
	took := time.Since(began)
	require.IsType(t, cell.Committed{}, <-s.events)
	return took
}

func owner(f *fakeStore) *Station {
	s := &Station{Session: "me", Seams: Seams{Write: f.write}, Log: slog.New(slog.DiscardHandler)}
	s.init()
	f.head = HeadRow{Head: Head{Session: "me", Token: 5}, Version: 7}
	s.lead.owner, s.lead.own = f.head, true
	return s
}

// TestLostAnswerHoldsUpLittle replays a store that loses answers: each cost the
// whole timeout, in which nothing could be accepted, started or ended.
func TestLostAnswerHoldsUpLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{takes: 4 * time.Millisecond}
		s := owner(f)
		require.Less(t, commitOnce(t, s, 1), 10*time.Millisecond)
		f.lost = 1
		require.Less(t, commitOnce(t, s, 2), 100*time.Millisecond)
		f.lost = 2
		require.Less(t, commitOnce(t, s, 3), 250*time.Millisecond)
		require.Equal(t, uint64(3), f.head.Seq)
		require.Equal(t, uint64(10), f.head.Version, "each took effect once")
	})
}

// TestSlowStoreIsNotAskedTwiceForLong lets the store become slow: after a few
// commits each is sent once again.
func TestSlowStoreIsNotAskedTwiceForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{takes: 250 * time.Millisecond}
		s := owner(f)
		for seq := range uint64(5) {
			commitOnce(t, s, seq+1)
		}
		before := f.calls
		for seq := range uint64(10) {
			commitOnce(t, s, seq+10)
		}
		require.Equal(t, 10, f.calls-before)
	})
}

// TestUnansweredOrderIsGivenUpSoon replays workers that leave orders unanswered and
// carry them out much later: meanwhile the task may not go elsewhere.
func TestUnansweredOrderIsGivenUpSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Station{Log: slog.New(slog.DiscardHandler)}
		s.Start = func(ctx context.Context, _ cell.Start) cell.Started {
			<-ctx.Done()
			return cell.Started{Failure: cell.NoAnswer}
		}
		s.init()
		began := time.Now()
		s.sendStart(t.Context(), cell.Start{Order: cell.Order{NotAfter: time.Hour}})
		require.Equal(t, cell.NoAnswer, (<-s.events).(cell.Started).Failure)
		require.LessOrEqual(t, time.Since(began), 400*time.Millisecond)
	})
}
