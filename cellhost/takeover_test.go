package cellhost

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

// newSuccessor returns a host that can claim a cell from an owner that has ended.
// The cell takes the given time to load.
func newSuccessor(f *fakeStore, loadTime time.Duration) *Host {
	h := &Host{Session: "me", Name: "me", Log: slog.New(slog.DiscardHandler)}
	h.Write = f.write
	h.Load = func(ctx context.Context) (cell.Stored, error) {
		select {
		case <-time.After(loadTime):
			return cell.Stored{}, nil
		case <-ctx.Done():
			return cell.Stored{}, ctx.Err()
		}
	}
	h.init()
	f.head = HeadRow{Head: Head{Session: "gone", Token: 5}, Version: 7}
	return h
}

// TestHeadRowIsRefreshedDuringLoad guards against a head row that stays unchanged
// while a new owner loads many jobs or reads from a slow store: a third host would
// claim the cell.
func TestHeadRowIsRefreshedDuringLoad(t *testing.T) {
	for name, f := range map[string]*fakeStore{
		"usual":         {latency: 4 * time.Millisecond},
		"slow":          {latency: 100 * time.Millisecond},
		"loses answers": {latency: 4 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newSuccessor(f, 4*time.Second)
				go h.claim(t.Context(), f.head, h.Now())
				time.Sleep(200 * time.Millisecond)
				if name == "loses answers" {
					f.mu.Lock()
					f.answersToLose = 1
					f.mu.Unlock()
				}
				version, since, longest := uint64(0), time.Now(), time.Duration(0)
				for !h.ownership.owns() {
					f.mu.Lock()
					if f.head.Version != version {
						version, since = f.head.Version, time.Now()
					}
					f.mu.Unlock()
					longest = max(longest, time.Since(since))
					time.Sleep(time.Millisecond)
				}
				if name == "loses answers" {
					require.Less(t, longest, storeTimeout+unchangedBeforeClaim)
				} else {
					require.Less(t, longest, unchangedBeforeClaim)
				}
				claimed := (<-h.events).(cell.Claimed)
				require.Equal(t, uint64(8), claimed.Token)
				require.Less(t, h.Now()-claimed.Sent, longest+headRefreshInterval)
				require.IsType(t, cell.AdviceHosts{}, <-h.events)
				commitOnce(t, h, 1)
				require.Equal(t, uint64(1), f.head.Seq)
			})
		})
	}
}

// TestHostWithFewCoresDelaysHeadRefresh checks that a host with a fifth of a core, which
// takes long to load the cell, keeps its claim against hosts with as few cores, but
// not against hosts with enough.
func TestHostWithFewCoresDelaysHeadRefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{latency: 4 * time.Millisecond}
		h := newSuccessor(f, 4*time.Second)
		h.Cores = 0.2
		go h.claim(t.Context(), f.head, h.Now())
		time.Sleep(unchangedBeforeClaim + candidateSteps*claimStagger)
		f.mu.Lock()
		require.Equal(t, uint64(8), f.head.Version, "a host with enough cores may claim")
		f.mu.Unlock()
		time.Sleep(maxExtraSteps*claimStagger - candidateSteps*claimStagger)
		f.mu.Lock()
		require.Equal(t, uint64(9), f.head.Version, "a host with few cores may not claim")
		f.mu.Unlock()
		require.IsType(t, cell.Claimed{}, <-h.events)
	})
}

// TestOwnerCommitsAfterLostRefreshAnswer loses the answer to a new owner's last head
// refresh, which takes effect. The first commit must not mistake the changed head row
// for another owner's.
func TestOwnerCommitsAfterLostRefreshAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{latency: 4 * time.Millisecond}
		h := newSuccessor(f, 300*time.Millisecond)
		go h.claim(t.Context(), f.head, h.Now())
		time.Sleep(200 * time.Millisecond)
		f.mu.Lock()
		f.answersToLose = 1
		f.mu.Unlock()
		require.IsType(t, cell.Claimed{}, <-h.events)
		require.IsType(t, cell.AdviceHosts{}, <-h.events)
		commitOnce(t, h, 1)
		require.True(t, h.ownership.owns())
	})
}

// TestLoadIsCancelledWhenAnotherHostClaims lets a third host claim the cell while a new
// owner loads it.
func TestLoadIsCancelledWhenAnotherHostClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{latency: 4 * time.Millisecond}
		h := newSuccessor(f, 5*time.Second)
		start := time.Now()
		done := make(chan bool)
		go func() {
			h.claim(t.Context(), f.head, h.Now())
			close(done)
		}()
		time.Sleep(100 * time.Millisecond)
		f.mu.Lock()
		f.head = HeadRow{Head: Head{Session: "third", Name: "third"}, Version: f.head.Version + 1}
		f.mu.Unlock()
		<-done
		require.Less(t, time.Since(start), 2*headRefreshInterval, "the load must be cancelled")
		require.False(t, h.ownership.owns())
		require.Empty(t, h.events)
		owner, _ := h.ownership.currentOwner()
		require.Equal(t, "third", owner.Name)
	})
}

// TestHeadRefreshStopsWhenLoadFails lets a new owner write to the store but not load
// the cell. It must not keep hosts that could load the cell from claiming it.
func TestHeadRefreshStopsWhenLoadFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{latency: 4 * time.Millisecond}
		h := newSuccessor(f, time.Hour)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go h.claim(ctx, f.head, h.Now())
		time.Sleep(loadTimeout + 2*headRefreshInterval)
		f.mu.Lock()
		version := f.head.Version
		f.mu.Unlock()
		time.Sleep(2 * unchangedBeforeClaim)
		require.Equal(t, version, f.head.Version)
	})
}

// TestOfferIsDeclinedIfOwnerCommitsAgain covers the end of a store outage. The first host
// that is offered the cell must not claim it if the owner can write again at the same
// moment.
func TestOfferIsDeclinedIfOwnerCommitsAgain(t *testing.T) {
	for _, ownerRecovers := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeStore{latency: 4 * time.Millisecond}
			h := newSuccessor(f, time.Millisecond)
			h.rules.Store(&ruleset.Rules{})
			h.ReadHead = func(context.Context) (HeadRow, error) {
				f.mu.Lock()
				defer f.mu.Unlock()
				return f.head, nil
			}
			if ownerRecovers {
				time.AfterFunc(commitRetryDelay, func() {
					f.mu.Lock()
					defer f.mu.Unlock()
					f.head.Version++
				})
			}
			start := time.Now()
			out := h.handleOffer(t.Context(), "gone")
			require.Equal(t, !ownerRecovers, out.Owner)
			require.Less(t, time.Since(start), heartbeatTimeout)
		})
	}
}

// TestNewOwnerListsTheWorkersAtOnce guards against a new owner that starts nothing until the
// next regular reading of the list.
func TestNewOwnerListsTheWorkersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{latency: 4 * time.Millisecond}
		h := newSuccessor(f, 10*time.Millisecond)
		listed := make(chan cell.Instant, 10)
		h.ListWorkers = func(context.Context) ([]cell.WorkerInfo, error) {
			listed <- h.Now()
			return nil, nil
		}
		go func() {
			for range h.events { // stands in for the cell
			}
		}()
		ctx, cancel := context.WithCancel(t.Context())
		go h.pollWorkerList(ctx)
		time.Sleep(workerListInterval + 50*time.Millisecond)
		require.Empty(t, listed)
		h.claim(ctx, f.head, h.Now())
		owns := h.Now()
		require.Equal(t, owns, <-listed)
		require.Equal(t, workerListInterval, <-listed-owns)
		cancel()
		synctest.Wait()
		close(h.events)
	})
}

// TestHostThatLeavesDuringTakeoverResigns stops a host in the middle of a takeover. The
// host must not own the cell until its process ends: the others would have to wait
// until the head row has been unchanged for long enough.
func TestHostThatLeavesDuringTakeoverResigns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{latency: 4 * time.Millisecond}
		const loadTime = 600 * time.Millisecond
		h := newSuccessor(f, loadTime)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go h.claim(ctx, f.head, h.Now())
		time.Sleep(loadTime / 2)
		h.Leave(ctx)
		go h.writeCommits(ctx)
		go h.maintainOwnership(ctx)
		time.Sleep(loadTime/2 + heartbeatInterval + 10*f.latency)
		f.mu.Lock()
		defer f.mu.Unlock()
		require.True(t, f.head.Vacant)
		require.False(t, h.ownership.owns())
	})
}

// TestOnlyOneClaimIsMadeAtATime offers a cell to a host that is already claiming it. If
// the second claim is mistaken for a resent write of the first, the cell is loaded
// twice: changes that the second load misses are lost, and run numbers are reused.
func TestOnlyOneClaimIsMadeAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{latency: 4 * time.Millisecond}
		h := newSuccessor(f, 100*time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		head := f.head
		go h.claim(ctx, head, h.Now())
		go h.claim(ctx, head, h.Now())
		time.Sleep(2 * time.Second)
		h.claim(ctx, head, h.Now()) // head was read before the first claim
		require.True(t, h.ownership.owns())
		claims := 0
		for len(h.events) > 0 {
			if _, ok := (<-h.events).(cell.Claimed); ok {
				claims++
			}
		}
		require.Equal(t, 1, claims)
	})
}

// TestStaleHeadRowDoesNotEndOwnership lets a slow read of the head row return the earlier
// owner after this host has claimed the cell. If the host believes the read, it stops
// committing while its cell still acts as the owner.
func TestStaleHeadRowDoesNotEndOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{latency: 4 * time.Millisecond}
		h := newSuccessor(f, 100*time.Millisecond)
		h.rules.Store(&ruleset.Rules{})
		f.head.Name = "gone"
		h.ReadHead = func(ctx context.Context) (HeadRow, error) {
			f.mu.Lock()
			stale := f.head
			f.mu.Unlock()
			time.Sleep(500 * time.Millisecond) // longer than the takeover
			return stale, nil
		}
		k := ownershipKeeper{host: h}
		go k.stepAsFollower(t.Context())
		time.Sleep(10 * time.Millisecond)
		h.claim(t.Context(), f.head, h.Now())
		time.Sleep(time.Second)
		require.True(t, h.ownership.owns())
	})
}

// TestClaimSaysWhenTheHeadRowWasRead guards against a new owner that waits for leases from the
// end of its load on, although the owner before has been silent since the head row last changed.
func TestClaimSaysWhenTheHeadRowWasRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{latency: 4 * time.Millisecond}
		h := newSuccessor(f, time.Second)
		h.rules.Store(&ruleset.Rules{})
		f.head.Name = "gone"
		changes := 3
		var readAt cell.Instant // when the last change was first read
		h.ReadHead = func(context.Context) (HeadRow, error) {
			time.Sleep(4 * time.Millisecond)
			f.mu.Lock()
			defer f.mu.Unlock()
			if changes > 0 {
				changes--
				f.head.Version++
				readAt = h.Now()
			}
			return f.head, nil
		}
		k := ownershipKeeper{host: h}
		for range 1000 {
			if h.ownership.owns() {
				break
			}
			k.stepAsFollower(t.Context())
			time.Sleep(50 * time.Millisecond)
		}
		require.True(t, h.ownership.owns())
		claimed, ok := nextEvent(t, h).(cell.Claimed)
		require.True(t, ok)
		require.True(t, claimed.Previous)
		require.Equal(t, readAt, claimed.PreviousReadAt)
		require.Less(t, claimed.PreviousReadAt, claimed.Sent-unchangedBeforeClaim)
	})
}
