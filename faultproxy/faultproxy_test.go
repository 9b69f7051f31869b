package faultproxy

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// failingListener fails its first accepts as if the process were out of file
// descriptors.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestProxyAcceptsAgainAfterAcceptErrors guards against a proxy that stops
// accepting for good after a failed accept. In one run the process was briefly
// out of file descriptors: three proxies stopped, and calls through them stayed
// in the kernel's accept queue without a reply.
func TestProxyAcceptsAgainAfterAcceptErrors(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = echo.Close() }() // ends the accept loop below
	go func() {
		for {
			conn, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }() // until the proxy closes the connection
		}
	}()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	failing := &failingListener{Listener: listener}
	failing.failures.Store(3)
	p := Proxy{Target: echo.Addr().String(), listener: failing, conns: map[net.Conn]bool{}}
	go p.acceptLoop()
	defer p.Close()

	conn, err := net.Dial("tcp", p.Addr())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("ping"))
	require.NoError(t, err)
	reply := make([]byte, 4)
	_, err = io.ReadFull(conn, reply)
	require.NoError(t, err)
	require.Equal(t, "ping", string(reply))
}
