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

const patience = 30 * time.Second

// rig is a journal on a stand-in's table.
type rig struct {
	standin *standin.Standin
	client  *storage.Client
	fence   storage.Check
	writing atomic.Int32 // segments that were begun
	mu      sync.Mutex
	results map[uint64]segment.Result
	journal *segment.Journal
}

func newRig(t *testing.T) *rig {
	const session = "s"
	t.Helper()
	r := &rig{standin: &standin.Standin{WritesPerSecond: 5000}, results: map[uint64]segment.Result{}}
	require.NoError(t, r.standin.Start("127.0.0.1:0"))
	t.Cleanup(r.standin.Close)
	r.client = &storage.Client{Base: r.standin.URL(), Timeout: 300 * time.Millisecond}
	revision, err := r.client.Transact(t.Context(), storage.Tx{Puts: []storage.Put{{Key: "session/" + session, Value: json.RawMessage(`1`)}}})
	require.NoError(t, err)
	r.fence = storage.Check{Key: "session/" + session, Revision: revision}
	r.journal = &segment.Journal{
		Platform: r.client, Session: session, Fence: func() storage.Check {
			r.writing.Add(1)
			return r.fence
		},
		Report: func(res segment.Result) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.results[res.Token] = res
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.journal.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return r
}

func (r *rig) wait(t *testing.T, token uint64) segment.Result {
	t.Helper()
	var res segment.Result
	require.Eventually(t, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		var ok bool
		res, ok = r.results[token]
		return ok
	}, patience, time.Millisecond)
	return res
}

func accept(n uint64) segment.Batch {
	return segment.Batch{Token: n, MayDrop: true, Entries: []job.Entry{{Accept: &job.Job{ID: fmt.Sprint("j", n), Team: "a", Tasks: 1}}}}
}

// replayed returns the IDs of the jobs that a replay brings back.
func (r *rig) replayed(t *testing.T) map[string]bool {
	t.Helper()
	states, entries, err := segment.Replay(t.Context(), r.client, "s")
	require.NoError(t, err)
	var book job.Book
	book.Restore(states)
	for _, e := range entries {
		book.Apply(e)
	}
	ids := map[string]bool{}
	for _, s := range book.Snapshot() {
		ids[s.Job.ID] = true
	}
	return ids
}

// TestLostReplies loses half of the replies: what was reported as written is
// there once, and what was reported as dropped is not.
func TestLostReplies(t *testing.T) {
	r := newRig(t)
	r.standin.Break(standin.TableFault{LoseReplies: 0.5})
	const count = 30
	for n := uint64(1); n <= count; n++ {
		r.journal.Append(accept(n))
		require.NoError(t, r.wait(t, n).Err)
	}
	r.standin.Break(standin.TableFault{})
	require.Len(t, r.replayed(t), count)
}

// TestBrokenWriteIDIsFound trusts every conflict to be its own write's trace.
// After a takeover, the journal then reports what was never written.
func TestBrokenWriteIDIsFound(t *testing.T) {
	for _, broken := range []bool{false, true} {
		t.Run(fmt.Sprint("broken=", broken), func(t *testing.T) {
			r := newRig(t)
			r.journal.BreakWriteID = broken
			r.journal.Append(accept(1))
			require.NoError(t, r.wait(t, 1).Err)
			// A ring of rows that an earlier owner left makes the slot exist.
			_, err := r.client.Transact(t.Context(), storage.Tx{Puts: []storage.Put{
				{Key: r.fence.Key, Value: json.RawMessage(`2`)}, {Key: "journal/s/2", Value: json.RawMessage(`{"seq":2,"writeId":"other","entries":[]}`)},
			}})
			require.NoError(t, err)
			r.journal.Append(accept(2))
			res := r.wait(t, 2)
			honest := res.Err != nil || r.replayed(t)["j2"]
			require.Equal(t, !broken, honest, "result %v", res.Err)
		})
	}
}

// TestOutageDropsAccepts refuses what may be dropped, keeps what may not, and
// writes it when the table is back.
func TestOutageDropsAccepts(t *testing.T) {
	r := newRig(t)
	r.standin.Break(standin.TableFault{Outage: "refuse"})
	r.journal.Append(accept(1))
	require.True(t, errors.Is(r.wait(t, 1).Err, segment.ErrDropped))
	kept := accept(2)
	kept.MayDrop = false
	r.journal.Append(kept)
	// What must be kept does not hold up the refusal of what comes after it.
	r.journal.Append(accept(3))
	require.True(t, errors.Is(r.wait(t, 3).Err, segment.ErrDropped))
	r.standin.Break(standin.TableFault{})
	require.NoError(t, r.wait(t, 2).Err)
	require.Equal(t, map[string]bool{"j2": true}, r.replayed(t))
}

// TestHangDropsWhatWaits tells callers at once while a write has no answer.
func TestHangDropsWhatWaits(t *testing.T) {
	r := newRig(t)
	r.standin.Break(standin.TableFault{Outage: "hang"})
	r.journal.Append(accept(1))
	require.Eventually(t, func() bool { return r.writing.Load() > 0 }, patience, time.Millisecond)
	r.journal.Append(accept(3)) // after the write of the first has begun
	require.True(t, errors.Is(r.wait(t, 3).Err, segment.ErrDropped))
	r.standin.Break(standin.TableFault{})
	require.NoError(t, r.wait(t, 1).Err)
	require.True(t, r.replayed(t)["j1"])
	require.False(t, r.replayed(t)["j3"])
}

// TestGuardsAndFence refuses the second use of a guard alone, and everything
// after a takeover.
func TestGuardsAndFence(t *testing.T) {
	r := newRig(t)
	for n := uint64(1); n <= 2; n++ {
		b := accept(n)
		b.Guard = &segment.Guard{Key: "request/a/x", Value: json.RawMessage(fmt.Sprintf(`{"n":%d}`, n))}
		r.journal.Append(b)
	}
	r.journal.Append(accept(3))
	first, second := r.wait(t, 1), r.wait(t, 2)
	require.NoError(t, first.Err)
	require.True(t, errors.Is(second.Err, segment.ErrGuarded))
	require.JSONEq(t, `{"n":1}`, string(second.Existing))
	require.NoError(t, r.wait(t, 3).Err)
	_, err := r.client.Transact(t.Context(), storage.Tx{Puts: []storage.Put{{Key: r.fence.Key, Value: json.RawMessage(`2`)}}})
	require.NoError(t, err)
	r.journal.Append(accept(4))
	require.True(t, errors.Is(r.wait(t, 4).Err, segment.ErrFenced))
}

// TestRingAndSnapshot writes more segments than the ring holds; snapshots free
// them, and a replay is whole.
func TestRingAndSnapshot(t *testing.T) {
	r := newRig(t)
	var book job.Book
	const count = 600
	for n := uint64(1); n <= count; n++ {
		b := accept(n)
		r.journal.Append(b)
		require.NoError(t, r.wait(t, n).Err)
		book.Apply(b.Entries[0])
		if r.journal.SnapshotDue() {
			r.journal.Snapshot(book.Snapshot())
		}
	}
	require.Len(t, r.replayed(t), count)
}

// TestReplayRefusesGaps reports a journal whose segment is missing.
func TestReplayRefusesGaps(t *testing.T) {
	r := newRig(t)
	for n := uint64(1); n <= 3; n++ {
		r.journal.Append(accept(n))
		require.NoError(t, r.wait(t, n).Err)
	}
	_, err := r.client.Transact(t.Context(), storage.Tx{Deletes: []string{"journal/s/2"}})
	require.NoError(t, err)
	_, _, err = segment.Replay(t.Context(), r.client, "s")
	require.True(t, errors.Is(err, segment.ErrMalformed))
}
