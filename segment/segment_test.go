package segment_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/job"
	"github.com/cowslipgap/cowslipgap/segment"
	"github.com/cowslipgap/cowslipgap/standin"
	"github.com/cowslipgap/cowslipgap/storage"
)

const waitTimeout = 30 * time.Second

// harness is a journal that writes to a stand-in's table.
type harness struct {
	standin       *standin.Standin
	client        *storage.Client
	fence         storage.Check
	begunSegments atomic.Int32 // segments whose writing has begun
	mu            sync.Mutex
	results       map[uint64]segment.Result
	journal       *segment.Journal
}

func newHarness(t *testing.T) *harness {
	const session = "s"
	t.Helper()
	h := &harness{standin: &standin.Standin{WritesPerSecond: 5000}, results: map[uint64]segment.Result{}}
	require.NoError(t, h.standin.Start("127.0.0.1:0"))
	t.Cleanup(h.standin.Close)
	h.client = &storage.Client{BaseURL: h.standin.URL(), Timeout: 300 * time.Millisecond}
	revision, err := h.client.Transact(t.Context(), storage.Tx{Puts: []storage.Put{{Key: "session/" + session, Value: json.RawMessage(`1`)}}})
	require.NoError(t, err)
	h.fence = storage.Check{Key: "session/" + session, Revision: revision}
	h.journal = &segment.Journal{
		Platform: h.client, Session: session, Fence: func() storage.Check {
			h.begunSegments.Add(1)
			return h.fence
		},
		Report: func(res segment.Result) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.results[res.Token] = res
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.journal.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return h
}

func (h *harness) wait(t *testing.T, token uint64) segment.Result {
	t.Helper()
	var res segment.Result
	require.Eventually(t, func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		var ok bool
		res, ok = h.results[token]
		return ok
	}, waitTimeout, time.Millisecond)
	return res
}

func acceptBatch(n uint64) segment.Batch {
	return segment.Batch{Token: n, Droppable: true, Entries: []job.Entry{{Accept: &job.Job{ID: fmt.Sprint("j", n), Team: "a", Tasks: 1}}}}
}

// replayedIDs returns the IDs of the jobs that a replay restores.
func (h *harness) replayedIDs(t *testing.T) map[string]bool {
	t.Helper()
	states, entries, err := segment.Replay(t.Context(), h.client, "s")
	require.NoError(t, err)
	var tracker job.Tracker
	tracker.Restore(states)
	for _, e := range entries {
		tracker.Apply(e)
	}
	ids := map[string]bool{}
	for _, s := range tracker.Snapshot() {
		ids[s.Job.ID] = true
	}
	return ids
}

// TestLostRepliesAreReportedCorrectly loses half of the replies. Every batch must
// be reported as written and restored once.
func TestLostRepliesAreReportedCorrectly(t *testing.T) {
	h := newHarness(t)
	h.standin.SetTableFault(standin.TableFault{LoseReplies: 0.5})
	const count = 30
	for n := uint64(1); n <= count; n++ {
		h.journal.Append(acceptBatch(n))
		require.NoError(t, h.wait(t, n).Err)
	}
	h.standin.SetTableFault(standin.TableFault{})
	require.Len(t, h.replayedIDs(t), count)
}

// TestBrokenWriteIDIsDetected treats every conflict as caused by the journal's own
// write. After a takeover, the journal then reports a batch as written that never
// was.
func TestBrokenWriteIDIsDetected(t *testing.T) {
	for _, broken := range []bool{false, true} {
		t.Run(fmt.Sprint("broken=", broken), func(t *testing.T) {
			h := newHarness(t)
			h.journal.BreakWriteID = broken
			h.journal.Append(acceptBatch(1))
			require.NoError(t, h.wait(t, 1).Err)
			// A row in the slot, left by an earlier owner, causes the conflict.
			_, err := h.client.Transact(t.Context(), storage.Tx{Puts: []storage.Put{
				{Key: h.fence.Key, Value: json.RawMessage(`2`)}, {Key: "journal/s/2", Value: json.RawMessage(`{"seq":2,"writeId":"other","entries":[]}`)},
			}})
			require.NoError(t, err)
			h.journal.Append(acceptBatch(2))
			res := h.wait(t, 2)
			correct := res.Err != nil || h.replayedIDs(t)["j2"]
			require.Equal(t, !broken, correct, "result %v", res.Err)
		})
	}
}

// TestOutageDropsOnlyBatchesThatMayDrop refuses batches that may be dropped, keeps
// the others, and writes them when the table is back.
func TestOutageDropsOnlyBatchesThatMayDrop(t *testing.T) {
	h := newHarness(t)
	h.standin.SetTableFault(standin.TableFault{Outage: "refuse"})
	h.journal.Append(acceptBatch(1))
	require.True(t, errors.Is(h.wait(t, 1).Err, segment.ErrDropped))
	kept := acceptBatch(2)
	kept.Droppable = false
	h.journal.Append(kept)
	// A batch that must be kept does not delay the refusal of later ones.
	h.journal.Append(acceptBatch(3))
	require.True(t, errors.Is(h.wait(t, 3).Err, segment.ErrDropped))
	h.standin.SetTableFault(standin.TableFault{})
	require.NoError(t, h.wait(t, 2).Err)
	require.Equal(t, map[string]bool{"j2": true}, h.replayedIDs(t))
}

// TestHangDropsQueuedBatches reports queued batches as dropped at once while a write
// has no answer.
func TestHangDropsQueuedBatches(t *testing.T) {
	h := newHarness(t)
	h.standin.SetTableFault(standin.TableFault{Outage: "hang"})
	h.journal.Append(acceptBatch(1))
	require.Eventually(t, func() bool { return h.begunSegments.Load() > 0 }, waitTimeout, time.Millisecond)
	h.journal.Append(acceptBatch(3)) // after the write of the first batch has begun
	require.True(t, errors.Is(h.wait(t, 3).Err, segment.ErrDropped))
	h.standin.SetTableFault(standin.TableFault{})
	require.NoError(t, h.wait(t, 1).Err)
	require.True(t, h.replayedIDs(t)["j1"])
	require.False(t, h.replayedIDs(t)["j3"])
}

// TestGuardIsUsedOnceAndTakeoverFencesJournal refuses only the second use of a
// guard, and every batch after a takeover.
func TestGuardIsUsedOnceAndTakeoverFencesJournal(t *testing.T) {
	h := newHarness(t)
	for n := uint64(1); n <= 2; n++ {
		b := acceptBatch(n)
		b.Guard = &segment.Guard{Key: "request/a/x", Value: json.RawMessage(fmt.Sprintf(`{"n":%d}`, n))}
		h.journal.Append(b)
	}
	h.journal.Append(acceptBatch(3))
	first, second := h.wait(t, 1), h.wait(t, 2)
	require.NoError(t, first.Err)
	require.True(t, errors.Is(second.Err, segment.ErrGuarded))
	require.JSONEq(t, `{"n":1}`, string(second.Existing))
	require.NoError(t, h.wait(t, 3).Err)
	_, err := h.client.Transact(t.Context(), storage.Tx{Puts: []storage.Put{{Key: h.fence.Key, Value: json.RawMessage(`2`)}}})
	require.NoError(t, err)
	h.journal.Append(acceptBatch(4))
	require.True(t, errors.Is(h.wait(t, 4).Err, segment.ErrFenced))
}

// TestSnapshotsFreeRing writes more segments than the ring holds. Snapshots free
// the ring, and a replay restores every entry.
func TestSnapshotsFreeRing(t *testing.T) {
	h := newHarness(t)
	var tracker job.Tracker
	const count = 600
	for n := uint64(1); n <= count; n++ {
		b := acceptBatch(n)
		h.journal.Append(b)
		require.NoError(t, h.wait(t, n).Err)
		tracker.Apply(b.Entries[0])
		if h.journal.SnapshotDue() {
			h.journal.Snapshot(tracker.Snapshot(), nil)
		}
	}
	require.Len(t, h.replayedIDs(t), count)
}

// TestSnapshotKeepsUnappliedBatches takes a snapshot after a batch was written, but
// before its result was applied. A replay must still restore the batch.
func TestSnapshotKeepsUnappliedBatches(t *testing.T) {
	h := newHarness(t)
	var tracker job.Tracker
	for n := uint64(1); n <= 3; n++ {
		b := acceptBatch(n)
		h.journal.Append(b)
		require.NoError(t, h.wait(t, n).Err)
		if n != 2 { // the result of batch 2 is still on its way
			tracker.Apply(b.Entries[0])
		}
	}
	h.journal.Snapshot(tracker.Snapshot(), []uint64{2})
	h.journal.Append(acceptBatch(4)) // is written after the snapshot
	require.NoError(t, h.wait(t, 4).Err)
	require.Equal(t, map[string]bool{"j1": true, "j2": true, "j3": true, "j4": true}, h.replayedIDs(t))
}

// TestReplayReportsMissingSegment deletes a segment and replays the journal.
func TestReplayReportsMissingSegment(t *testing.T) {
	h := newHarness(t)
	for n := uint64(1); n <= 3; n++ {
		h.journal.Append(acceptBatch(n))
		require.NoError(t, h.wait(t, n).Err)
	}
	_, err := h.client.Transact(t.Context(), storage.Tx{Deletes: []string{"journal/s/2"}})
	require.NoError(t, err)
	_, _, err = segment.Replay(t.Context(), h.client, "s")
	require.True(t, errors.Is(err, segment.ErrMalformed))
}
