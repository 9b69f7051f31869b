package cellhost

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/cell"
)

// silentHosts is the number of other hosts, none of which answers.
const silentHosts = 8

// newOwnerAmongSilentHosts returns an owner whose last commit was confirmed long ago,
// and the number of connections that it has opened to the other hosts.
func newOwnerAmongSilentHosts(t *testing.T) (*Host, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, listener.Close()) })
	connections := &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			t.Cleanup(func() { _ = conn.Close() }) // stays open without an answer until the test ends
		}
	}()
	h := newOwner(&fakeStore{})
	h.Name = "me"
	h.Log = slog.New(slog.DiscardHandler)
	start := time.Now()
	h.Now = func() cell.Instant { return time.Hour + time.Since(start) }
	for i := range silentHosts {
		h.ownership.hosts.record(fmt.Sprintf("host-%d", i), hostInfo{Addr: listener.Addr().String()})
	}
	t.Cleanup(h.peers.Close)
	return h, connections
}

// TestOfferDoesNotDelayMembers covers an owner that cannot reach the store and some of
// the hosts. If it posts the members only after all hosts were offered the cell, hosts
// that are gone still get requests for advice.
func TestOfferDoesNotDelayMembers(t *testing.T) {
	h, connections := newOwnerAmongSilentHosts(t)
	h.ownership.recordMember("near", member{hostInfo: hostInfo{Addr: "127.0.0.1:1"}, lastHeartbeat: h.Now()})
	k := ownershipKeeper{host: h}
	start := time.Now()
	k.stepAsOwner(t.Context())
	k.stepAsOwner(t.Context())
	require.Less(t, time.Since(start), heartbeatTimeout)
	require.Equal(t, cell.AdviceHosts{Hosts: []string{"me", "near"}}, <-h.events)
	require.Eventually(t, func() bool { return connections.Load() > 0 }, time.Second, time.Millisecond)
	require.LessOrEqual(t, connections.Load(), int64(2), "hosts must be offered the cell one after the other")
}

// TestOfferEndsWhenOwnerCommitsAgain lets the store answer again while the owner offers
// the cell.
func TestOfferEndsWhenOwnerCommitsAgain(t *testing.T) {
	h, connections := newOwnerAmongSilentHosts(t)
	done := make(chan bool)
	go func() {
		h.offer(t.Context(), true)
		close(done)
	}()
	require.Eventually(t, func() bool { return connections.Load() > 0 }, time.Second, time.Millisecond)
	h.ownership.commitConfirmed(h, 5, 8, h.Now())
	select {
	case <-done:
	case <-time.After(2 * heartbeatTimeout):
		require.Fail(t, "the owner still offers the cell")
	}
	require.Equal(t, int64(1), connections.Load())
}

// TestOwnerDetectsIsolationInTime checks that an owner soon notices that no other host
// answers. The others cannot reach the owner either, so none of their clients is
// served until then. Half of them accept connections.
func TestOwnerDetectsIsolationInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newOwner(&fakeStore{})
		h.Name = "me"
		h.Log = slog.New(slog.DiscardHandler)
		h.peers.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			if addr == "off" {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }() // until the near end is closed
			return near, nil
		}
		for i := range silentHosts {
			h.ownership.hosts.record(fmt.Sprintf("host-%d", i), hostInfo{Addr: []string{"off", "silent"}[i%2]})
		}
		start := time.Now()
		require.True(t, h.isolated(t.Context()))
		require.Less(t, time.Since(start), 2*heartbeatTimeout)
		h.peers.Close()
	})
}
