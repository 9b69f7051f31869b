package cellhost

import (
	"context"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/cell"
	"github.com/cowslipgap/cowslipgap/peer"
	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/workload"
)

// BenchmarkRefusedSubmit submits jobs to a host that forwards them to the owner. The
// owner refuses them. The result includes the work of both hosts and the owner's log
// line.
func BenchmarkRefusedSubmit(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	owner := &Host{Name: "owner", Session: "o", Log: slog.New(slog.NewJSONHandler(io.Discard, nil))}
	owner.init()
	go owner.runCell(ctx)
	owner.post(ctx, cell.Claimed{Token: 1})
	owner.post(ctx, cell.Listed{})
	owner.ownership.isOwner = true
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	go func() { _ = peer.Serve(ctx, listener, "", peer.Service{Call: owner.Serve}) }() // returns when ctx ends
	go func() {
		for range owner.commits {
		}
	}()
	follower := &Host{Name: "front", Session: "f", Log: owner.Log}
	follower.init()
	follower.ownership.setOwner(HeadRow{Head: Head{Session: "o", Name: "owner", Addr: listener.Addr().String()}, Version: 1})
	job := &workload.Job{
		ID: "5c0e7a21d94b36f8", Team: "blue", Spec: strings.Repeat("s", 500),
		Queue: workload.Queue{Name: "slot-check", Service: "booking", MaxAttempts: 3, Slack: 1.5, Target: 250 * time.Millisecond, Advice: &workload.Advice{FixedLatency: 7 * time.Millisecond, PerWorker: 100 * time.Microsecond, Validity: 1500 * time.Millisecond}},
		Steps: []workload.Step{{Count: 3, Need: resource.Vector{MilliCPU: 5000, MemoryMB: 9100}, Estimate: 640 * time.Millisecond}},
	}
	time.Sleep(100 * time.Millisecond) // the owner refuses jobs for a service without workers only after its first load estimate
	b.ReportAllocs()
	for b.Loop() {
		out := follower.Submit(ctx, job)
		require.Equal(b, cell.Refused, out.Verdict)
	}
}
