// Package faultproxy is a TCP proxy that breaks what passes through it: delays,
// drops, resets, connections that hang half-open, one direction black-holed, and
// replies lost after the request went through. It is for tests.
//
// # Usage
//
//	p := faultproxy.Proxy{Target: "127.0.0.1:7000"}
//	if err := p.Start(); err != nil {
//		return err
//	}
//	conn, err := net.Dial("tcp", p.Addr())
//	p.Set(faultproxy.Fault{DropReplies: true})
//	p.Cut() // resets every connection
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
	// acceptPause is the time until a failed accept is tried again, as in the
	// servers of net/http at first.
	acceptPause = 5 * time.Millisecond
)

// Fault is what the proxy does to the connections. The zero Fault lets
// everything pass.
type Fault struct {
	Delay        time.Duration // before each piece of data
	DropRequests bool          // black-hole towards the target
	DropReplies  bool          // black-hole towards the caller
	Refuse       bool          // reset new connections
}

// Proxy forwards connections to Target.
type Proxy struct {
	Target string

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
	go p.accept()
	return nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Cut()
}

// Retarget sends new connections to another address.
func (p *Proxy) Retarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Target = target
}

// Set puts a fault in force, for open connections too.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// Cut resets every connection.
func (p *Proxy) Cut() {
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

func (p *Proxy) current() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Out of descriptors, for example. A proxy that stopped here would
			// leave callers connected to nobody.
			slog.Warn("faultproxy: accept failed", "addr", p.Addr(), "error", err)
			time.Sleep(acceptPause)
			continue
		}
		if p.current().Refuse {
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
	go p.pump(target, caller, func(f Fault) bool { return f.DropRequests })
	p.pump(caller, target, func(f Fault) bool { return f.DropReplies })
}

func (p *Proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.conns[conn] = true
	}
}

// pump copies from src to dst, losing what the fault in force drops.
func (p *Proxy) pump(dst, src net.Conn, drops func(Fault) bool) {
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
		f := p.current()
		if n > 0 && !drops(f) {
			time.Sleep(f.Delay)
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) && drops(f) {
			// A side that is cut off does not learn that the other has closed.
			for drops(p.current()) && p.tracked(dst) {
				time.Sleep(time.Millisecond)
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *Proxy) tracked(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[conn]
}
