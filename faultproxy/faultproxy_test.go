package faultproxy

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// failingListener fails its first accepts for want of descriptors.
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

// TestServesAfterAcceptFails answers a run in which the process was out of
// descriptors for a moment: three proxies stopped accepting for good, and calls
// through them stayed in the kernel's queue without an answer.
func TestServesAfterAcceptFails(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = echo.Close() }() // the test is over
	go func() {
		for {
			conn, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }() // until the proxy closes it
		}
	}()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	failing := &failingListener{Listener: listener}
	failing.failures.Store(3)
	p := Proxy{Target: echo.Addr().String(), listener: failing, conns: map[net.Conn]bool{}}
	go p.accept()
	defer p.Close()

	conn, err := net.Dial("tcp", p.Addr())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("ping"))
	require.NoError(t, err)
	answer := make([]byte, 4)
	_, err = io.ReadFull(conn, answer)
	require.NoError(t, err)
	require.Equal(t, "ping", string(answer))
}
