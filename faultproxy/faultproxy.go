// Package faultproxy is a TCP proxy for tests that injects faults into the
// connections it forwards: delays, dropped data, resets, half-open connections,
// a black hole in one direction, and replies lost after the request was
// delivered.
//
// # Usage
//
//	p := faultproxy.Proxy{Target: "127.0.0.1:7000"}
//	if err := p.Start(); err != nil {
//		return err
//	}
//	conn, err := net.Dial("tcp", p.Addr())
//	p.SetFault(faultproxy.Fault{DropReplies: true})
//	p.ResetConnections() // resets every connection
package faultproxy

import (
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	bufferBytes = 32 << 10
	// acceptRetryDelay is the time until a failed accept is retried. It is the
	// first delay that net/http servers use.
	acceptRetryDelay = 5 * time.Millisecond
)

// Fault is a fault that the proxy injects. The zero Fault forwards everything.
type Fault struct {
	Delay        time.Duration // before each chunk of data is forwarded
	DropRequests bool          // drop all data sent to the target
	DropReplies  bool          // drop all data sent to the caller
	Refuse       bool          // reset new connections
}

// Proxy forwards connections to Target.
type Proxy struct {
	Target string // address with port

	listener net.Listener
	mu       sync.Mutex
	fault    Fault
	conns    map[net.Conn]bool
}

// Start listens on a free loopback port.
func (p *Proxy) Start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "faultproxy: listen")
	}
	p.listener = listener
	p.conns = map[net.Conn]bool{}
	go p.acceptLoop()
	return nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.ResetConnections()
}

// SetTarget forwards new connections to another address.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Target = target
}

// SetFault replaces the current fault, also for open connections.
func (p *Proxy) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// ResetConnections resets every connection.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	conns := p.conns
	p.conns = map[net.Conn]bool{}
	p.mu.Unlock()
	for conn := range conns {
		reset(conn)
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *Proxy) currentFault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Proxy) acceptLoop() {
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The process may be out of file descriptors. If the proxy stopped
			// here, callers would stay in the kernel's accept queue without a
			// reply.
			slog.Warn("faultproxy: accept failed", "addr", p.Addr(), "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if p.currentFault().Refuse {
			reset(conn)
			continue
		}
		go p.serve(conn)
	}
}

func (p *Proxy) serve(caller net.Conn) {
	p.mu.Lock()
	addr := p.Target
	p.mu.Unlock()
	target, err := net.Dial("tcp", addr)
	if err != nil {
		reset(caller)
		return
	}
	p.track(caller, target)
	go p.forward(target, caller, func(f Fault) bool { return f.DropRequests })
	p.forward(caller, target, func(f Fault) bool { return f.DropReplies })
}

func (p *Proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.conns[conn] = true
	}
}

// forward copies from src to dst, except for the data that the current fault
// drops.
func (p *Proxy) forward(dst, src net.Conn, drops func(Fault) bool) {
	defer func() {
		_ = dst.Close()
		_ = src.Close()
		p.mu.Lock()
		delete(p.conns, dst)
		delete(p.conns, src)
		p.mu.Unlock()
	}()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buffer)
		f := p.currentFault()
		if n > 0 && !drops(f) {
			time.Sleep(f.Delay)
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) && drops(f) {
			// Do not pass the close on while the fault drops data: an isolated
			// side must not learn that the other side has closed.
			for drops(p.currentFault()) && p.isTracked(dst) {
				time.Sleep(time.Millisecond)
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *Proxy) isTracked(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[conn]
}
