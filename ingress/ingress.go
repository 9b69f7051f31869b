// Package ingress bounds what the clients of a port make a process hold, whatever they
// send: connections, heads and bodies of requests that are not complete, and answers that
// are not read.
//
// A connection is idle between requests, receiving from the first byte of a request to its
// last, and serving until the next. If a port is full, the connection that has been idle
// for longest is closed for a new one, or else that which has gone longest without
// receiving anything. A connection that is serving is never closed for another.
//
// # Usage
//
//	port := &ingress.Port{Listener: listener, MaxConns: 1000, Budget: &budget.Budget{Limit: 32 << 20}, HeadWeight: ingress.HTTPHeadWeight}
//	server := &http.Server{Handler: port.Handler(handler), ConnState: port.ConnState, ConnContext: ingress.ConnContext}
//	err := server.Serve(port)
package ingress

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowslipgap/cowslipgap/budget"
)

const (
	// HTTPHeadWeight is the Port.HeadWeight of HTTP servers. Short header lines take many
	// times their length once they are decoded.
	HTTPHeadWeight = 16
	// sweepInterval is the time between two searches for connections whose time is up.
	sweepInterval = 500 * time.Millisecond
	// minStalledBytes is the size from which an incomplete message counts as stalled:
	// control frames may follow a message.
	minStalledBytes = 4 << 10
	// roomInterval is the time between two looks for room in the budget.
	roomInterval = 10 * time.Millisecond
	// smallMessage is the charge up to which messages that wait for room are charged as they
	// come, and largeMessage the least charge of others: that of a whole batch.
	smallMessage, largeMessage = 32 << 10, 5 << 19
	// refusalTimeout bounds the writing of a refusal.
	refusalTimeout = 100 * time.Millisecond
	// sendBytes is the size of the buffer that the kernel is asked to keep for what a client
	// has not read. Small receive buffers stall senders on links with large segments.
	sendBytes = 32 << 10
)

// Timeouts bound the phases of a connection; 0: no bound.
type Timeouts struct {
	Head  time.Duration // from the first byte of a request, or the start of the connection, to the end of the head
	Idle  time.Duration // between two requests
	Stall time.Duration // without progress within a message
	Write time.Duration // for a single write
}

// Counts holds the counters of a Port since its start.
type Counts struct {
	Accepted atomic.Int64
	Closed   atomic.Int64 // idle or receiving connections that were closed for new ones
	Refused  atomic.Int64 // connections and requests for which there was no room
	TimedOut atomic.Int64 // idle and receiving connections whose time was up
}

// Port is a listener whose connections are bounded. Listener must be set.
type Port struct {
	net.Listener
	MaxConns   int            // 0: no bound
	Budget     *budget.Budget // for requests in progress; without a limit if nil
	HeadWeight int64          // bytes that each byte of a head takes; 1 if 0
	// Timeouts, if set, returns the bounds in force.
	Timeouts func() Timeouts
	// WaitForRoom, if set, makes heads and messages wait for room in the budget, instead of
	// taking it from others at once. Others give way if nothing of them came for that long.
	WaitForRoom time.Duration
	// Refusal, if set, is sent to clients whose request is refused before its head is read.
	Refusal []byte
	Counts  Counts

	mu        sync.Mutex
	conns     map[*Conn]bool
	idle      list.List // of *Conn, the one that has been idle for longest first
	receiving list.List // of *Conn, the one without progress for longest first
	sweeping  bool
	unlimited budget.Budget
}

func (p *Port) budget() *budget.Budget {
	if p.Budget == nil {
		return &p.unlimited
	}
	return p.Budget
}

// Usage is what a Port holds, and how often its bounds were met.
type Usage struct {
	Connections int   `json:"connections"`
	Bytes       int64 `json:"bytes"`    // of requests in progress
	Accepted    int64 `json:"accepted"` // connections, like the following, since the start
	Closed      int64 `json:"closed"`   // for new ones
	Refused     int64 `json:"refused"`  // and requests
	TimedOut    int64 `json:"timedOut"`
	GaveWay     int64 `json:"gaveWay"` // requests, to others
}

// Usage returns the metrics of the port.
func (p *Port) Usage() Usage {
	p.mu.Lock()
	n := len(p.conns)
	p.mu.Unlock()
	return Usage{
		Connections: n, Bytes: p.budget().Used(), Accepted: p.Counts.Accepted.Load(), Closed: p.Counts.Closed.Load(),
		Refused: p.Counts.Refused.Load(), TimedOut: p.Counts.TimedOut.Load(), GaveWay: p.budget().Evicted.Load(),
	}
}

// Accept implements net.Listener. It makes room for the connection if the port is full.
func (p *Port) Accept() (net.Conn, error) {
	for {
		conn, err := p.Listener.Accept()
		if err != nil {
			return nil, err
		}
		limitSendBuffer(conn)
		if c := p.add(conn); c != nil {
			return c, nil
		}
		p.Counts.Refused.Add(1)
		p.refuse(conn)
	}
}

// limitSendBuffer limits what the kernel keeps of answers that are not read. The limit is
// only advisory.
func limitSendBuffer(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBytes)
	}
}

// refuse answers a request that has not been decoded, and closes its connection.
func (p *Port) refuse(conn net.Conn) {
	if len(p.Refusal) > 0 && conn.SetWriteDeadline(time.Now().Add(refusalTimeout)) == nil {
		_, _ = conn.Write(p.Refusal) // the client may have gone
	}
	_ = conn.Close()
}

// add returns the connection as one of the port, or nil if the port is full.
func (p *Port) add(conn net.Conn) *Conn {
	now := time.Now()
	c := &Conn{Conn: conn, port: p, since: now, fresh: true}
	p.mu.Lock()
	var victim *Conn
	if p.MaxConns > 0 && len(p.conns) >= p.MaxConns {
		stalest := p.idle.Front()
		if stalest == nil {
			stalest = p.receiving.Front()
		}
		if stalest == nil {
			p.mu.Unlock()
			return nil
		}
		victim = stalest.Value.(*Conn)
		victim.leave()
	}
	if p.conns == nil {
		p.conns = map[*Conn]bool{}
	}
	p.conns[c] = true
	c.element = p.idle.PushBack(c)
	if !p.sweeping {
		p.sweeping = true
		time.AfterFunc(sweepInterval, p.sweep)
	}
	p.mu.Unlock()
	p.Counts.Accepted.Add(1)
	if victim != nil {
		p.Counts.Closed.Add(1)
		victim.end()
	}
	return c
}

func (p *Port) timeouts() Timeouts {
	if p.Timeouts == nil {
		return Timeouts{}
	}
	return p.Timeouts()
}

// sweep closes the connections whose time is up, and goes on as long as there are any.
func (p *Port) sweep() {
	now, limits := time.Now(), p.timeouts()
	var expired []*Conn
	p.mu.Lock()
	for _, conns := range []*list.List{&p.idle, &p.receiving} {
		for e := conns.Front(); e != nil; {
			c := e.Value.(*Conn)
			e = e.Next()
			if c.expired(now, limits) {
				expired = append(expired, c)
				c.leave()
			}
		}
	}
	p.sweeping = len(p.conns) > 0
	if p.sweeping {
		time.AfterFunc(sweepInterval, p.sweep)
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.Counts.TimedOut.Add(1)
		c.end()
	}
}
