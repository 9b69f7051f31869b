package freeport

import (
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPickedPortIsBelowTheEphemeralRange(t *testing.T) {
	port, err := Pick()
	require.NoError(t, err)
	require.Less(t, port, ephemeralStart())
	// Listeners that ask for any port get one of the ephemeral range.
	for range 50 {
		other, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = other.Close() }() // held open so that each listener gets another port
		require.GreaterOrEqual(t, other.Addr().(*net.TCPAddr).Port, ephemeralStart())
	}
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
	require.NoError(t, err)
	require.NoError(t, listener.Close())
}

// TestPickedPortStaysReserved picks many ports. Nothing listens on them, yet no two are
// the same: with 400 random ports of some 20,000, that is unlikely by chance.
func TestPickedPortStaysReserved(t *testing.T) {
	picked := map[int]bool{}
	for range 400 {
		port, err := Pick()
		require.NoError(t, err)
		require.False(t, picked[port], "port %d was picked twice", port)
		picked[port] = true
	}
}
