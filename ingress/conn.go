package ingress

import (
	"container/list"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cowslipgap/cowslipgap/budget"
)

// Conn is a connection of a Port.
type Conn struct {
	net.Conn
	port      *Port
	closeOnce sync.Once
	closeErr  error

	// The following are guarded by the mutex of the port.
	element  *list.Element // in one of the lists of the port; nil while the connection is serving
	since    time.Time     // start of the phase
	progress time.Time     // last time that bytes came
	fresh    bool          // no request has begun yet
	inHead   bool          // receiving the head of a request
	complete bool          // the request has been received, and is served
	received int64         // bytes of the head, or of a message
	account  *budget.Account
}

// expired reports whether the time of the connection's phase is up.
func (c *Conn) expired(now time.Time, limits Timeouts) bool {
	over := func(since time.Time, limit time.Duration) bool { return limit > 0 && now.Sub(since) > limit }
	switch {
	case c.account == nil && c.fresh:
		return over(c.since, limits.Head)
	case c.account == nil:
		return over(c.since, limits.Idle)
	default:
		return c.inHead && over(c.since, limits.Head) || c.received >= minStalledBytes && over(c.progress, limits.Stall)
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.receive(int64(n)) {
		c.port.Counts.Refused.Add(1)
		c.port.refuse(c.Conn)
		return 0, os.ErrDeadlineExceeded // a server doesn't answer after a timeout
	}
	return n, err
}

// receive accounts for received bytes. It reports false if there is no room for the head
// of a request or for a message.
func (c *Conn) receive(n int64) bool {
	p := c.port
	p.mu.Lock()
	if c.complete || !p.conns[c] {
		p.mu.Unlock()
		return true
	}
	if c.account == nil {
		c.begin()
	} else {
		c.progress = time.Now()
		p.receiving.MoveToBack(c.element)
	}
	account, inHead := c.account, c.inHead
	if inHead {
		c.received += n
	}
	size := c.received * max(1, p.HeadWeight)
	p.mu.Unlock()
	if !inHead {
		account.Touch() // who reads the body accounts for it
		return true
	}
	if p.WaitForRoom > 0 {
		return c.waitForRoom(account, size)
	}
	return account.Resize(size)
}

// waitForRoom waits until there is room for size bytes of a message. Meanwhile nothing is
// read, so the sender waits too. It reports false if the message gives way to others. The
// room for a large message is taken at once: messages that have come in part would wait
// for each other.
func (c *Conn) waitForRoom(account *budget.Account, size int64) bool {
	p := c.port
	if size > smallMessage {
		size = max(size, largeMessage)
	}
	deadline := time.Now().Add(p.timeouts().Stall)
	for !account.TryResize(size, p.WaitForRoom) {
		account.Touch()
		p.mu.Lock()
		open := p.conns[c]
		p.mu.Unlock()
		if !open || account.Evicted() || time.Now().After(deadline) {
			return false
		}
		time.Sleep(roomInterval)
	}
	return true
}

// begin begins a request: its first bytes have been received.
func (c *Conn) begin() {
	p := c.port
	p.idle.Remove(c.element)
	c.element = p.receiving.PushBack(c)
	c.progress = time.Now()
	c.since, c.fresh, c.inHead, c.received = c.progress, false, true, 0
	c.account = p.budget().Open(c.giveWay)
}

// giveWay ends the request for another one: that of a head or a message by closing the
// connection, that of a body by ending the read, so that the request is answered.
func (c *Conn) giveWay() {
	c.port.mu.Lock()
	inHead := c.inHead
	c.port.mu.Unlock()
	if inHead {
		c.port.refuse(c.Conn) // the server closes the connection then
		return
	}
	_ = c.SetReadDeadline(time.Unix(1, 0)) // it fails if the connection is closed
}

// endHead marks the head of the request as received. It takes n bytes.
func (c *Conn) endHead(n int64) {
	p := c.port
	p.mu.Lock()
	if p.conns[c] && c.account == nil { // the head came with the request before
		c.begin()
	}
	c.inHead = false
	account := c.account
	p.mu.Unlock()
	if account != nil {
		_ = account.Resize(n) // less than before; if the account was evicted, reading the body fails
	}
}

// Hold sets the bytes that the request holds, and reports whether there is room for them.
func (c *Conn) Hold(n int64) bool {
	c.port.mu.Lock()
	account := c.account
	c.port.mu.Unlock()
	if account != nil && !account.Resize(n) {
		c.port.Counts.Refused.Add(1)
		return false
	}
	return true
}

// Complete marks the request or message as received: it is served now, and does not give
// way to others. It reports false if it has given way before.
func (c *Conn) Complete() bool {
	p := c.port
	p.mu.Lock()
	account := c.account
	open := p.conns[c]
	if c.element != nil && account != nil {
		p.receiving.Remove(c.element)
		c.element = nil
	}
	c.complete, c.inHead = true, false
	p.mu.Unlock()
	return open && (account == nil || account.Complete())
}

// release gives the bytes of a request back that will not be served.
func (c *Conn) release() {
	c.port.mu.Lock()
	account := c.account
	c.port.mu.Unlock()
	if account != nil {
		account.Close()
	}
}

// completed reports whether the request has been received.
func (c *Conn) completed() bool {
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	return c.complete
}

// Rest marks the connection as idle: the request has been answered.
func (c *Conn) Rest() {
	p := c.port
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.conns[c] {
		return
	}
	c.leaveList()
	if c.account != nil {
		c.account.Close()
		c.account = nil
	}
	c.element = p.idle.PushBack(c)
	c.since, c.fresh, c.inHead, c.complete, c.received = time.Now(), false, false, false, 0
}

// leaveList takes the connection out of its list.
func (c *Conn) leaveList() {
	switch {
	case c.element != nil && c.account == nil:
		c.port.idle.Remove(c.element)
	case c.element != nil:
		c.port.receiving.Remove(c.element)
	}
	c.element = nil
}

// leave takes the connection out of the port. Its request holds its bytes until the server
// closes the connection.
func (c *Conn) leave() {
	if c.port.conns[c] {
		c.leaveList()
		delete(c.port.conns, c)
	}
}

// end closes the connection below the server, which closes it then.
func (c *Conn) end() {
	c.closeOnce.Do(func() { c.closeErr = c.Conn.Close() })
}

// Write implements net.Conn. It bounds the time of the write.
func (c *Conn) Write(p []byte) (int, error) {
	if d := c.port.timeouts().Write; d > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(d)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// CloseWrite ends the sending direction, so that the client can read an answer although it
// still sends.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. The server calls it.
func (c *Conn) Close() error {
	c.port.mu.Lock()
	c.leave()
	account := c.account
	c.port.mu.Unlock()
	c.end()
	if account != nil {
		account.Close()
	}
	return c.closeErr
}

// gaveWay reports whether the request has given way to another one.
func (c *Conn) gaveWay() bool {
	c.port.mu.Lock()
	account := c.account
	c.port.mu.Unlock()
	return account != nil && account.Evicted()
}
