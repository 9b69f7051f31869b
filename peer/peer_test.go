package peer_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcwire"

	"github.com/cowslipgap/cowslipgap/budget"
	"github.com/cowslipgap/cowslipgap/crowd"
	"github.com/cowslipgap/cowslipgap/ingress"
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

// TestLargeMessagesWaitForRoom sends more at once than the port has room for, beside
// connections on which a message stops: each call is answered, and nothing stays charged.
func TestLargeMessagesWaitForRoom(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	port := &ingress.Port{
		Listener: listener, Budget: &budget.Budget{Limit: 4 << 20}, HeadWeight: 2, WaitForRoom: time.Second,
		Timeouts: func() ingress.Timeouts { return ingress.Timeouts{Stall: time.Minute} },
	}
	ctx, cancel := context.WithCancel(t.Context())
	var most atomic.Int64
	done := make(chan error, 1)
	go func() {
		done <- peer.Serve(ctx, port, "", peer.Service{Call: func(_ context.Context, m *peer.Message) (*peer.Message, error) {
			most.Store(max(most.Load(), port.Usage().Bytes))
			return &peer.Message{Body: m.Body[:1]}, nil
		}})
	}()
	frame := drpcwire.AppendFrame(nil, drpcwire.Frame{ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke, Done: true, Data: make([]byte, 1<<20)})
	silent := crowd.Crowd{Addr: listener.Addr().String(), Conns: 3, Data: frame[:len(frame)-1]}
	defer silent.Close()
	go silent.Send()
	var p peer.Pool
	defer p.Close()
	errs := make(chan error, 12)
	for range cap(errs) {
		go func() {
			reply, err := p.Call(t.Context(), listener.Addr().String(), make([]byte, 1<<20))
			if err == nil && len(reply) != 1 {
				err = errors.Newf("reply of %d bytes", len(reply))
			}
			errs <- err
		}()
	}
	for range cap(errs) {
		require.NoError(t, <-errs)
	}
	require.Positive(t, most.Load())
	require.LessOrEqual(t, most.Load(), int64(4<<20))
	silent.Close()
	require.Eventually(t, func() bool { return port.Usage().Bytes < 4<<10 }, 10*time.Second, 10*time.Millisecond)
	cancel()
	require.NoError(t, <-done)
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

// A message that was too long for its receiver ended the connection: the sender took it for a
// call that may have had an effect, and the caller came back for ever.
func TestMessageThatNoHostTakesIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { // ends with ctx
		_ = peer.Serve(ctx, listener, "", peer.Service{Call: func(_ context.Context, m *peer.Message) (*peer.Message, error) {
			return &peer.Message{Body: []byte{byte(len(m.Body) >> 20)}}, nil
		}})
	}()
	var p peer.Pool
	defer p.Close()
	for size, sent := range map[int]bool{peer.MaxMessageBytes - 64: true, peer.MaxMessageBytes + 1: false, 8 << 20: false} {
		reply, err := p.Call(t.Context(), listener.Addr().String(), make([]byte, size))
		if sent {
			require.NoError(t, err, size)
			require.Equal(t, []byte{byte(size >> 20)}, reply)
			continue
		}
		require.True(t, errors.Is(err, peer.ErrUnsendable), "%d bytes: %v", size, err)
		require.False(t, errors.Is(err, peer.ErrNoReply))
	}
}
