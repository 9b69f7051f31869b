package station

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/cell"
	"github.com/cowslipgap/cowslipgap/ruleset"
)

// successor returns a station that claims a cell which takes the given time to
// load, from an owner that is gone.
func successor(f *fakeStore, loading time.Duration) *Station {
	s := &Station{Session: "me", Name: "me", Log: slog.New(slog.DiscardHandler)}
	s.Write = f.write
	s.Load = func(ctx context.Context) ([]cell.Stored, []cell.WorkerRef, error) {
		select {
		case <-time.After(loading):
			return nil, nil, nil
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
	s.init()
	f.head = HeadRow{Head: Head{Session: "gone", Token: 5}, Version: 7}
	return s
}

// TestHeadMovesWhileTheCellIsLoaded replays takeovers of a cell with many jobs, or
// from a slow store: the head stood still meanwhile, and a third host claimed.
func TestHeadMovesWhileTheCellIsLoaded(t *testing.T) {
	for name, f := range map[string]*fakeStore{
		"usual":         {takes: 4 * time.Millisecond},
		"slow":          {takes: 100 * time.Millisecond},
		"loses answers": {takes: 4 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := successor(f, 4*time.Second)
				go s.claim(t.Context(), f.head)
				time.Sleep(200 * time.Millisecond)
				if name == "loses answers" {
					f.mu.Lock()
					f.lost = 1
					f.mu.Unlock()
				}
				version, since, longest := uint64(0), time.Now(), time.Duration(0)
				for !s.lead.owns() {
					f.mu.Lock()
					if f.head.Version != version {
						version, since = f.head.Version, time.Now()
					}
					f.mu.Unlock()
					longest = max(longest, time.Since(since))
					time.Sleep(time.Millisecond)
				}
				if name == "loses answers" {
					require.Less(t, longest, storeTimeout+unchangedFor)
				} else {
					require.Less(t, longest, unchangedFor)
				}
				claimed := (<-s.events).(cell.Claimed)
				require.Equal(t, uint64(8), claimed.Token)
				require.Less(t, s.Now()-claimed.Sent, longest+holdEvery)
				require.IsType(t, cell.Members{}, <-s.events)
				commitOnce(t, s, 1)
				require.Equal(t, uint64(1), f.head.Seq)
			})
		})
	}
}

// TestWeakHostLetsStrongOnesClaim lets a host with a fifth of a core, which loads for
// long, keep its claim against hosts as weak, but not against strong ones.
func TestWeakHostLetsStrongOnesClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{takes: 4 * time.Millisecond}
		s := successor(f, 4*time.Second)
		s.Cores = 0.2
		go s.claim(t.Context(), f.head)
		time.Sleep(unchangedFor + candidateTurns*claimStagger)
		f.mu.Lock()
		require.Equal(t, uint64(8), f.head.Version, "a strong host may claim")
		f.mu.Unlock()
		time.Sleep(maxWeakTurns*claimStagger - candidateTurns*claimStagger)
		f.mu.Lock()
		require.Equal(t, uint64(9), f.head.Version, "a weak one may not")
		f.mu.Unlock()
		require.IsType(t, cell.Claimed{}, <-s.events)
	})
}

// TestAnswerLostAtTheEndOfLoading lets the last writing of a new owner take effect
// unseen: its first commit must not take that for another owner's.
func TestAnswerLostAtTheEndOfLoading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{takes: 4 * time.Millisecond}
		s := successor(f, 300*time.Millisecond)
		go s.claim(t.Context(), f.head)
		time.Sleep(200 * time.Millisecond)
		f.mu.Lock()
		f.lost = 1
		f.mu.Unlock()
		require.IsType(t, cell.Claimed{}, <-s.events)
		require.IsType(t, cell.Members{}, <-s.events)
		commitOnce(t, s, 1)
		require.True(t, s.lead.owns())
	})
}

// TestClaimedWhileLoading lets a third host claim the cell during a takeover.
func TestClaimedWhileLoading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{takes: 4 * time.Millisecond}
		s := successor(f, 5*time.Second)
		began := time.Now()
		done := make(chan bool)
		go func() {
			s.claim(t.Context(), f.head)
			close(done)
		}()
		time.Sleep(100 * time.Millisecond)
		f.mu.Lock()
		f.head = HeadRow{Head: Head{Session: "third", Name: "third"}, Version: f.head.Version + 1}
		f.mu.Unlock()
		<-done
		require.Less(t, time.Since(began), 2*holdEvery, "the loading is given up")
		require.False(t, s.lead.owns())
		require.Empty(t, s.events)
		owner, _ := s.lead.current()
		require.Equal(t, "third", owner.Name)
	})
}

// TestOthersMayClaimWhenLoadingFails lets a new owner reach the store for writing
// only: it must not keep hosts from the cell that could load it.
func TestOthersMayClaimWhenLoadingFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{takes: 4 * time.Millisecond}
		s := successor(f, time.Hour)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go s.claim(ctx, f.head)
		time.Sleep(loadTimeout + 2*holdEvery)
		f.mu.Lock()
		version := f.head.Version
		f.mu.Unlock()
		time.Sleep(2 * unchangedFor)
		require.Equal(t, version, f.head.Version)
	})
}

// TestCellIsNotTakenFromAnOwnerThatWritesAgain replays the end of an outage of the
// store: the first host that was offered the cell then took it, though its owner
// could write again at the same moment.
func TestCellIsNotTakenFromAnOwnerThatWritesAgain(t *testing.T) {
	for _, again := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeStore{takes: 4 * time.Millisecond}
			s := successor(f, time.Millisecond)
			s.rules.Store(&ruleset.Rules{})
			s.ReadHead = func(context.Context) (HeadRow, error) {
				f.mu.Lock()
				defer f.mu.Unlock()
				return f.head, nil
			}
			if again {
				time.AfterFunc(commitRetry, func() {
					f.mu.Lock()
					defer f.mu.Unlock()
					f.head.Version++
				})
			}
			began := time.Now()
			out := s.asked(t.Context(), "gone")
			require.Equal(t, !again, out.Owner)
			require.Less(t, time.Since(began), greetTimeout)
		})
	}
}

// TestHostThatLeavesKeepsNoCell stops a host in the middle of a takeover. It owned the
// cell until its process ended, and the others waited for the head to stand still.
func TestHostThatLeavesKeepsNoCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{takes: 4 * time.Millisecond}
		const loading = 600 * time.Millisecond
		s := successor(f, loading)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go s.claim(ctx, f.head)
		time.Sleep(loading / 2)
		s.Leave(ctx)
		go s.writeCommits(ctx)
		go s.keepLead(ctx)
		time.Sleep(loading/2 + greetEvery + 10*f.takes)
		f.mu.Lock()
		defer f.mu.Unlock()
		require.True(t, f.head.Vacant)
		require.False(t, s.lead.owns())
	})
}

// TestOneClaimAtATime lets a host be offered a cell while it claims that by itself. It
// took the second claim for an earlier sending of the first, and loaded the cell
// twice: what the second loading had missed was forgotten, and run numbers came again.
func TestOneClaimAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{takes: 4 * time.Millisecond}
		s := successor(f, 100*time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		head := f.head
		go s.claim(ctx, head)
		go s.claim(ctx, head)
		time.Sleep(2 * time.Second)
		s.claim(ctx, head) // read before the first claim
		require.True(t, s.lead.owns())
		claims := 0
		for len(s.events) > 0 {
			if _, ok := (<-s.events).(cell.Claimed); ok {
				claims++
			}
		}
		require.Equal(t, 1, claims)
	})
}

// TestStaleWordDoesNotTakeTheCell lets the keeper hear of an earlier owner after the
// cell was handed to this host: it ceased to commit, while the cell took itself for
// owned.
func TestStaleWordDoesNotTakeTheCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{takes: 4 * time.Millisecond}
		s := successor(f, 100*time.Millisecond)
		s.rules.Store(&ruleset.Rules{})
		f.head.Name = "gone"
		s.ReadHead = func(ctx context.Context) (HeadRow, error) {
			f.mu.Lock()
			stale := f.head
			f.mu.Unlock()
			time.Sleep(500 * time.Millisecond) // longer than the takeover
			return stale, nil
		}
		k := keeper{station: s}
		go k.tendOther(t.Context())
		time.Sleep(10 * time.Millisecond)
		s.claim(t.Context(), f.head)
		time.Sleep(time.Second)
		require.True(t, s.lead.owns())
	})
}
