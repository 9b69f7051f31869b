package host

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/control"
	"github.com/cowslipgap/cowslipgap/peer"
	"github.com/cowslipgap/cowslipgap/refusal"
)

// TestJobRequestIsForwardedAtMostMaxHopsTimes guards against endless
// forwarding between two hosts that were restarted together and each name the
// other as the holder of a job. They forwarded a status request to each other,
// on a new connection each time, until no file descriptors were left.
func TestJobRequestIsForwardedAtMostMaxHopsTimes(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const secret = "a-secret-of-peers"
	var requests atomic.Int64
	var addrs [2]string
	var listeners [2]net.Listener
	for i := range listeners {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners[i], addrs[i] = listener, listener.Addr().String()
	}
	var hosts [2]Host
	for i, listener := range listeners {
		h := &hosts[i]
		h.pool.Secret = secret
		defer h.pool.Close()
		other := addrs[1-i]
		serve := func(ctx context.Context, req *peer.JobRequest) (*peer.JobReply, error) {
			if requests.Add(1) > 20 {
				cancel()
			}
			_, r := h.forwardToHolder(ctx, control.JobAnswer{Holder: other}, *req)
			data, err := json.Marshal(r)
			return &peer.JobReply{Refusal: data}, err
		}
		go func() { _ = peer.Serve(ctx, listener, secret, peer.Service{Ask: serve}) }() // ends with ctx
	}
	_, r := hosts[0].forwardToHolder(ctx, control.JobAnswer{Holder: addrs[1]}, peer.JobRequest{Operation: opStatus, Job: "j"})
	require.NotNil(t, r)
	require.Equal(t, refusal.NotReady, r.Code)
	require.Positive(t, r.RetryMillis)
	require.LessOrEqual(t, requests.Load(), int64(maxHops))
}
