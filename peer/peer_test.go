package peer_test

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/peer"
	"github.com/cowslipgap/cowslipgap/resource"
)

// startServer starts a server that answers each Greeting and returns its address.
func startServer(t *testing.T, secret string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- peer.Serve(ctx, listener, secret, peer.Service{
			Exchange: func(_ context.Context, g *peer.Greeting) (*peer.Greeting, error) {
				return &peer.Greeting{Session: "server", Waiting: g.Waiting + 1}, nil
			},
		})
	}()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return listener.Addr().String()
}

// TestExchangeRequiresTheSharedSecret exchanges greetings over a reused connection,
// and checks that a call with another secret fails.
func TestExchangeRequiresTheSharedSecret(t *testing.T) {
	addr := startServer(t, "a-shared-secret")
	p := peer.Pool{Secret: "a-shared-secret"}
	defer p.Close()
	for range 3 {
		g, err := p.Exchange(t.Context(), addr, peer.Greeting{Session: "client", Waiting: 4})
		require.NoError(t, err)
		require.Equal(t, peer.Greeting{Session: "server", Waiting: 5}, g)
	}
	unauthorized := peer.Pool{Secret: "another"}
	defer unauthorized.Close()
	_, err := unauthorized.Exchange(t.Context(), addr, peer.Greeting{})
	require.True(t, errors.Is(err, peer.ErrNoReply))
}

// TestFailedDialIsUnreachable checks that a call that was never sent can be
// distinguished from one without a reply: only the former certainly had no effect.
func TestFailedDialIsUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := listener.Addr().String()
	require.NoError(t, listener.Close())
	var p peer.Pool
	defer p.Close()
	_, err = p.Exchange(t.Context(), addr, peer.Greeting{})
	require.True(t, errors.Is(err, peer.ErrUnreachable))
}

// BenchmarkGreetingSize reports the encoded size of a Greeting by its number of
// teams.
func BenchmarkGreetingSize(b *testing.B) {
	for _, teams := range []int{0, 6, 50, 300} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			g := peer.Greeting{Secret: "0123456789abcdef", Session: "cam-pho-1-abcdefgh", Zone: "cam-pho", FreeSlots: 60, Slots: 360, Used: map[string]resource.Vector{}}
			for i := range teams {
				g.Used[fmt.Sprintf("team-%03d", i)] = resource.Vector{Slots: 12, MilliCPU: 24_000, MemoryMB: 32_768}
			}
			for b.Loop() {
				data, err := cbor.Marshal(g)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "wire-bytes")
			}
		})
	}
}
