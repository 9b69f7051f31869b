package freeport

import (
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPickedPortIsNotHandedOutMeanwhile(t *testing.T) {
	port, err := Pick()
	require.NoError(t, err)
	require.Less(t, port, ephemeral())
	// What others are given, as listeners of any port, is of the other range.
	for range 50 {
		other, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = other.Close() }() // it has served its purpose
		require.GreaterOrEqual(t, other.Addr().(*net.TCPAddr).Port, ephemeral())
	}
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
	require.NoError(t, err)
	require.NoError(t, listener.Close())
}
