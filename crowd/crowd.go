// Package crowd opens many connections to a server at once and sends the same bytes on
// each, for tests of clients that do not behave. The connections stay open until Close,
// also those on which a request is incomplete.
//
// # Usage
//
//	c := crowd.Crowd{Addr: addr, Conns: 400, Data: request[:len(request)-1]}
//	defer c.Close()
//	c.Send()
package crowd

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout and sendTimeout bound what a server may hold up.
	dialTimeout = 5 * time.Second
	sendTimeout = 20 * time.Second
)

// Crowd is a number of connections to one address. Addr, Conns and Data must be set.
type Crowd struct {
	Addr  string
	Conns int
	Data  []byte
	// Piece is the number of bytes that each write sends; 0: all of them.
	Piece int
	// Pause is the time between two writes.
	Pause time.Duration
	// Read makes each connection read and discard what the server sends.
	Read bool

	mu    sync.Mutex
	conns []net.Conn
	wg    sync.WaitGroup
	sent  atomic.Int64
}

// Send opens the connections and returns when each has sent its bytes, or cannot send any
// more because the server has closed it or does not read.
func (c *Crowd) Send() {
	var wg sync.WaitGroup
	for range c.Conns {
		wg.Go(c.run)
	}
	wg.Wait()
}

// Sent returns the number of connections that have sent all their bytes.
func (c *Crowd) Sent() int { return int(c.sent.Load()) }

func (c *Crowd) run() {
	conn, err := net.DialTimeout("tcp", c.Addr, dialTimeout)
	if err != nil {
		return // the server does not accept more connections
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	if c.Read {
		c.wg.Go(func() { _, _ = io.Copy(io.Discard, conn) }) // ends with the connection
	}
	if conn.SetWriteDeadline(time.Now().Add(sendTimeout)) != nil {
		return // Close was called
	}
	for data := c.Data; len(data) > 0; {
		n := len(data)
		if c.Piece > 0 {
			n = min(n, c.Piece)
		}
		if _, err := conn.Write(data[:n]); err != nil {
			return // the server has closed the connection or does not read
		}
		if data = data[n:]; len(data) > 0 {
			time.Sleep(c.Pause)
		}
	}
	c.sent.Add(1)
}

// Close closes the connections.
func (c *Crowd) Close() {
	c.mu.Lock()
	for _, conn := range c.conns {
		_ = conn.Close() // the server may have closed it
	}
	c.conns = nil
	c.mu.Unlock()
	c.wg.Wait()
}
