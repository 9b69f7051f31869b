package station

import (
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/cell"
)

// silentHosts is how many other hosts there are that do not answer.
const silentHosts = 8

// amongSilent returns an owner whose last commit was confirmed long ago, and the
// connections that it has made to the other hosts.
func amongSilent(t *testing.T) (*Station, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, listener.Close()) })
	calls := &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			calls.Add(1)
			t.Cleanup(func() { _ = conn.Close() }) // it is never answered
		}
	}()
	s := owner(&fakeStore{})
	s.Name = "me"
	s.Log = slog.New(slog.DiscardHandler)
	began := time.Now()
	s.Now = func() cell.Instant { return time.Hour + time.Since(began) }
	for i := range silentHosts {
		s.lead.learn(fmt.Sprintf("host-%d", i), listener.Addr().String())
	}
	t.Cleanup(s.peers.Close)
	return s, calls
}

// TestOffersDoNotHoldUpMembers replays an owner that is cut off from the store and
// some hosts: it told the cell of its members only after it had asked all of them,
// and hosts that were gone went on being sent calls for advice.
func TestOffersDoNotHoldUpMembers(t *testing.T) {
	s, calls := amongSilent(t)
	s.lead.meet("near", member{addr: "127.0.0.1:1", at: s.Now()})
	k := keeper{station: s}
	began := time.Now()
	k.tendOwn(t.Context())
	k.tendOwn(t.Context())
	require.Less(t, time.Since(began), greetTimeout)
	require.Equal(t, cell.Members{Hosts: []string{"me", "near"}}, <-s.events)
	require.Eventually(t, func() bool { return calls.Load() > 0 }, time.Second, time.Millisecond)
	require.LessOrEqual(t, calls.Load(), int64(2), "one after the other")
}

// TestOwnerThatCommitsAgainOffersNoMore lets the store answer again while the owner
// offers the cell.
func TestOwnerThatCommitsAgainOffersNoMore(t *testing.T) {
	s, calls := amongSilent(t)
	done := make(chan bool)
	go func() {
		s.offer(t.Context(), true)
		close(done)
	}()
	require.Eventually(t, func() bool { return calls.Load() > 0 }, time.Second, time.Millisecond)
	s.lead.confirmed(s, 8, s.Now())
	select {
	case <-done:
	case <-time.After(2 * greetTimeout):
		require.Fail(t, "the owner still offers the cell")
	}
	require.Equal(t, int64(1), calls.Load())
}

// TestOwnerNoticesSoonThatItIsCutOff lets no other host answer an owner that they
// cannot reach either, so that no caller of theirs is served.
func TestOwnerNoticesSoonThatItIsCutOff(t *testing.T) {
	s, _ := amongSilent(t)
	began := time.Now()
	require.True(t, s.cutOff(t.Context()))
	require.Less(t, time.Since(began), 2*greetTimeout)
}
