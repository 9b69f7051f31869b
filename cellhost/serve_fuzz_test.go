package cellhost

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/cell"
	"github.com/cowslipgap/cowslipgap/peer"
	"github.com/cowslipgap/cowslipgap/workload"
)

// newFuzzedOwner returns an owner that serves other hosts and reaches no other system.
func newFuzzedOwner(t testing.TB) *Host {
	h := newOwner(&fakeStore{})
	h.ReadHead = func(context.Context) (HeadRow, error) { return HeadRow{}, context.DeadlineExceeded }
	h.Advise = func(context.Context, string, []string) cell.AdviceResult { return cell.AdviceResult{} }
	h.Start = func(context.Context, cell.Start) cell.Started { return cell.Started{} }
	h.Stop = func(context.Context, cell.Stop) cell.StopDone { return cell.StopDone{} }
	h.Poll = func(context.Context, cell.Poll) cell.PollResult { return cell.PollResult{} }
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go h.runCell(ctx)
	h.post(ctx, cell.Claimed{Token: 1})
	go func() {
		for {
			select {
			case <-h.commits: // never confirmed
			case <-ctx.Done():
				return
			}
		}
	}()
	return h
}

// FuzzServe gives a host messages that no other host would send. None may end the process.
func FuzzServe(f *testing.F) {
	for kind := kindHeartbeat; kind <= kindAnnounce; kind++ {
		for _, r := range []request{
			{Kind: kind}, {Kind: kind, Job: &workload.Job{}, Commands: &relayBatch{}, Head: &HeadRow{}},
			{Kind: kind, ID: "5c0e7a21d94b36f8", Results: []relayResult{{ID: 1}}, Commands: &relayBatch{Commands: []relayCommand{{Kind: startCommand, Spec: 1}, {Kind: pollCommand}}}},
		} {
			data, err := cbor.Marshal(r)
			require.NoError(f, err)
			f.Add(data)
		}
	}
	h := newFuzzedOwner(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, _ = h.Serve(ctx, &peer.Message{Body: data}) // malformed messages are errors
	})
}
