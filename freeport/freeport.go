// Package freeport picks free loopback ports for processes that tests start
// later.
//
// The system assigns ports of its ephemeral range to outgoing connections and to
// listeners that ask for any port. A port from that range may therefore be taken
// before the process that it was picked for listens. The system does not assign
// ports below that range. Other processes that pick ports are kept away by a UDP
// socket on the same port, which stays open until this process ends. So a port stays
// picked while the process that listens on it is restarted.
//
// # Usage
//
//	port, err := freeport.Pick()
package freeport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// minPort is the lowest port that is picked. Well-known services use lower
	// ports.
	minPort = 10_000
	// defaultEphemeralStart is the assumed first port of the ephemeral range if
	// the system does not report it. It is the default of Linux.
	defaultEphemeralStart = 32_768
	// maxAttempts is the number of random ports that are tried.
	maxAttempts = 200
)

// reservations holds the sockets that reserve the picked ports.
var reservations struct {
	mu    sync.Mutex
	conns []net.PacketConn
}

// Pick returns a free loopback TCP port below the ephemeral range. No other call of
// Pick, in any process, returns the port until this process ends.
func Pick() (int, error) {
	limit := ephemeralStart()
	if limit <= minPort {
		return 0, errors.Newf("freeport: no ports below the ephemeral range, which begins at %d", limit)
	}
	var lastErr error
	for range maxAttempts {
		port := minPort + rand.IntN(limit-minPort)
		if lastErr = reserve(port); lastErr == nil {
			return port, nil
		}
	}
	return 0, errors.Wrap(lastErr, "freeport: no free port found")
}

// reserve reserves a port if no process listens on it or has reserved it.
func reserve(port int) error {
	addr := fmt.Sprintf("127.0.0.1:%d", port)
	conn, err := net.ListenPacket("udp", addr)
	if err != nil {
		return errors.Wrap(err, "freeport: reserve")
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.CombineErrors(errors.Wrap(err, "freeport: listen"), conn.Close())
	}
	reservations.mu.Lock()
	reservations.conns = append(reservations.conns, conn)
	reservations.mu.Unlock()
	return errors.Wrap(listener.Close(), "freeport: close")
}

// ephemeralStart returns the first port of the system's ephemeral range.
func ephemeralStart() int {
	data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	first := 0
	if err != nil {
		return defaultEphemeralStart // not Linux
	}
	if _, err := fmt.Sscan(string(data), &first); err != nil {
		return defaultEphemeralStart
	}
	return first
}
