package cellhost

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/cell"
)

// claimAgain makes the host own the cell with a later token, as after another owner.
func claimAgain(h *Host, f *fakeStore) {
	f.mu.Lock()
	f.head = HeadRow{Head: Head{Session: "me", Token: 12}, Version: 15}
	head := f.head
	f.mu.Unlock()
	h.ownership.mu.Lock()
	h.ownership.owner, h.ownership.isOwner, h.ownership.confirmedAt = head, true, h.Now()
	h.ownership.mu.Unlock()
}

// The store's late answer to a commit of an earlier claim set the version of the current one,
// whose next commit then failed as that of a replaced owner.
func TestLateAnswerOfAnEarlierClaimLeavesTheHeadAsItIs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{latency: 400 * time.Millisecond}
		h := newOwner(f)
		h.resendDelay.observe(time.Second)
		done := make(chan bool)
		go func() {
			h.writeCommit(t.Context(), cell.Commit{Token: 5, Seq: 1})
			close(done)
		}()
		time.Sleep(200 * time.Millisecond)
		claimAgain(h, f)
		confirmedAt := h.ownership.confirmedAt
		<-done
		head, owned := h.ownership.currentOwner()
		require.True(t, owned)
		require.Equal(t, f.head, head)
		require.Equal(t, confirmedAt, h.ownership.confirmedAt)
		h.writeCommit(t.Context(), cell.Commit{Token: 12, Seq: 1})
		require.True(t, h.ownership.owns())
		require.Equal(t, uint64(16), f.head.Version)
	})
}

// A commit that waited until this host owned the cell again would overwrite what the owner in
// between has stored.
func TestCommitOfAnEarlierClaimIsNotWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{latency: 4 * time.Millisecond}
		h := newOwner(f)
		claimAgain(h, f)
		h.writeCommit(t.Context(), cell.Commit{Token: 5, Seq: 1})
		require.Zero(t, f.calls)
		require.Empty(t, h.events)
	})
}
