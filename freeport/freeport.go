// Package freeport picks loopback ports for processes that tests start later.
//
// The system hands ports of its ephemeral range to whoever asks for any port and
// to outgoing connections, so a port from there may be taken before the process
// that it was picked for listens. Ports below that range are not handed out.
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

	"github.com/cockroachdb/errors"
)

const (
	// lowest is the first port that is picked. Well-known services are below.
	lowest = 10_000
	// usualEphemeral is where the ephemeral range begins unless the system says
	// otherwise.
	usualEphemeral = 32_768
	// tries is how many ports are tried.
	tries = 200
)

// Pick returns a loopback TCP port that is free and not of the ephemeral range.
func Pick() (int, error) {
	limit := ephemeral()
	if limit <= lowest {
		return 0, errors.Newf("freeport: ephemeral ports begin at %d", limit)
	}
	var last error
	for range tries {
		port := lowest + rand.IntN(limit-lowest)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			last = err
			continue
		}
		return port, errors.Wrap(listener.Close(), "freeport: close")
	}
	return 0, errors.Wrap(last, "freeport: none is free")
}

// ephemeral returns where the system's ephemeral range begins.
func ephemeral() int {
	data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	first := 0
	if err != nil {
		return usualEphemeral // not Linux
	}
	if _, err := fmt.Sscan(string(data), &first); err != nil {
		return usualEphemeral
	}
	return first
}
