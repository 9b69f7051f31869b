// Package peer is the protocol between entry hosts, over drpc with CBOR
// messages. A host exchanges loads with its siblings, asks its successor for
// promises, and forwards work to where there is room.
//
// Messages number their fields, so that fields can be added and older hosts
// pass over them. Every call carries the secret that entry hosts share.
//
// # Usage
//
//	go peer.Serve(ctx, listener, secret, service)
//
//	var p peer.Pool
//	reply, err := p.Exchange(ctx, "127.0.0.1:9001", peer.Greeting{...})
package peer

import (
	"context"
	"crypto/subtle"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/cowslipgap/cowslipgap/resource"
)

const (
	rpcExchange = "/cowslipgap.Peer/Exchange"
	rpcRun      = "/cowslipgap.Peer/Run"
	rpcAsk      = "/cowslipgap.Peer/Ask"
	rpcCall     = "/cowslipgap.Peer/Call"

	dialTimeout   = 2 * time.Second
	maxIdlePerKey = 32
)

var (
	// ErrUnreachable says that the call certainly had no effect.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrBroken says that the call was sent and no answer came.
	ErrBroken = errors.New("peer: connection broken")
	// ErrSecret says that a caller does not have the shared secret.
	ErrSecret = errors.New("peer: wrong secret")
)

// Greeting is what two entry hosts tell each other all the time.
type Greeting struct {
	Secret     string                     `cbor:"1,keyasint"`
	Session    string                     `cbor:"2,keyasint"`
	Zone       string                     `cbor:"3,keyasint"`
	AskPromise bool                       `cbor:"4,keyasint,omitempty"` // promise not to claim my racks
	Promise    bool                       `cbor:"5,keyasint,omitempty"` // in a reply: promised
	Leaving    bool                       `cbor:"6,keyasint,omitempty"`
	FreeSlots  int64                      `cbor:"7,keyasint"`
	Slots      int64                      `cbor:"8,keyasint"`
	Waiting    int64                      `cbor:"9,keyasint"`
	Room       resource.Vector            `cbor:"10,keyasint"`
	Largest    resource.Vector            `cbor:"11,keyasint"`           // the room of the largest worker, by dimension
	Used       map[string]resource.Vector `cbor:"12,keyasint,omitempty"` // by team; of the whole zone towards another zone
}

// Order asks another host to run a task. The task's form is JSON.
type Order struct {
	Secret  string `cbor:"1,keyasint"`
	Session string `cbor:"2,keyasint"` // of the sender
	To      string `cbor:"3,keyasint"` // the session that is to run it
	Task    []byte `cbor:"4,keyasint"`
	Resolve bool   `cbor:"5,keyasint,omitempty"` // tell the outcome, do not start it
}

// Answer tells what became of an order. Refusal and Outcome are JSON.
type Answer struct {
	Outcome []byte `cbor:"1,keyasint,omitempty"`
	Refusal []byte `cbor:"2,keyasint,omitempty"`
	Worker  string `cbor:"3,keyasint,omitempty"`
}

// Question reads or cancels jobs that another host keeps.
type Question struct {
	Secret string `cbor:"1,keyasint"`
	Verb   string `cbor:"2,keyasint"` // "status", "list", "cancel" or "submit"
	Team   string `cbor:"3,keyasint"`
	Job    string `cbor:"4,keyasint,omitempty"`
	Body   []byte `cbor:"5,keyasint,omitempty"` // of a submit, JSON
	Hops   int    `cbor:"6,keyasint,omitempty"` // how often it was passed on
}

// Reply answers a Question, in JSON.
type Reply struct {
	Data    []byte `cbor:"1,keyasint,omitempty"`
	Refusal []byte `cbor:"2,keyasint,omitempty"`
}

// Message carries a request or a reply of hosts that share cells; its form is
// theirs.
type Message struct {
	Secret string `cbor:"1,keyasint,omitempty"`
	Body   []byte `cbor:"2,keyasint"`
}

// Service is what a host does for its peers. A call that it leaves nil fails.
type Service struct {
	Call     func(ctx context.Context, m *Message) (*Message, error)
	Exchange func(ctx context.Context, g *Greeting) (*Greeting, error)
	Run      func(ctx context.Context, o *Order) (*Answer, error)
	Ask      func(ctx context.Context, q *Question) (*Reply, error)
}

// codec is the drpc encoding of the messages.
type codec struct{}

func (codec) Marshal(msg drpc.Message) ([]byte, error) { return cbor.Marshal(msg) }

func (codec) Unmarshal(data []byte, msg drpc.Message) error { return cbor.Unmarshal(data, msg) }

// endpoint is a Service with its secret, as drpc calls it.
type endpoint struct {
	service Service
	secret  string
}

func (e *endpoint) allows(secret string) bool {
	return subtle.ConstantTimeCompare([]byte(secret), []byte(e.secret)) == 1
}

func (e *endpoint) exchange(ctx context.Context, g *Greeting) (*Greeting, error) {
	if !e.allows(g.Secret) {
		return nil, ErrSecret
	}
	return e.service.Exchange(ctx, g)
}

func (e *endpoint) run(ctx context.Context, o *Order) (*Answer, error) {
	if !e.allows(o.Secret) {
		return nil, ErrSecret
	}
	return e.service.Run(ctx, o)
}

func (e *endpoint) ask(ctx context.Context, q *Question) (*Reply, error) {
	if !e.allows(q.Secret) {
		return nil, ErrSecret
	}
	return e.service.Ask(ctx, q)
}

func (e *endpoint) call(ctx context.Context, m *Message) (*Message, error) {
	if !e.allows(m.Secret) {
		return nil, ErrSecret
	}
	if e.service.Call == nil {
		return nil, errors.Newf("peer: %s is not served", rpcCall)
	}
	return e.service.Call(ctx, m)
}

// description tells drpc the methods of an endpoint.
type description struct{}

// NumMethods implements drpc.Description.
func (description) NumMethods() int { return 4 }

// Method implements drpc.Description.
func (description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch n {
	case 0:
		return rpcExchange, codec{}, receiver((*endpoint).exchange), (*endpoint).exchange, true
	case 1:
		return rpcRun, codec{}, receiver((*endpoint).run), (*endpoint).run, true
	case 2:
		return rpcAsk, codec{}, receiver((*endpoint).ask), (*endpoint).ask, true
	case 3:
		return rpcCall, codec{}, receiver((*endpoint).call), (*endpoint).call, true
	default:
		return "", nil, nil, nil, false
	}
}

func receiver[In, Out any](call func(*endpoint, context.Context, *In) (*Out, error)) drpc.Receiver {
	return func(srv any, ctx context.Context, in, _ any) (drpc.Message, error) {
		out, err := call(srv.(*endpoint), ctx, in.(*In))
		if err != nil {
			return nil, err
		}
		return out, nil
	}
}

// Serve answers calls until ctx is done or the listener fails.
func Serve(ctx context.Context, listener net.Listener, secret string, service Service) error {
	mux := drpcmux.New()
	if err := mux.Register(&endpoint{service, secret}, description{}); err != nil {
		return errors.Wrap(err, "register peer service")
	}
	return errors.Wrap(drpcserver.New(mux).Serve(ctx, listener), "serve peers")
}

// Pool keeps connections to other entry hosts. The zero Pool is ready.
type Pool struct {
	Secret string
	// Count, if set, is told the bytes sent and received on all connections.
	Count func(sent, received int)

	mu   sync.Mutex
	idle map[string][]*drpcconn.Conn
	open map[string]map[*drpcconn.Conn]bool
}

// Exchange greets the host at addr and returns its greeting.
func (p *Pool) Exchange(ctx context.Context, addr string, g Greeting) (Greeting, error) {
	g.Secret = p.Secret
	var out Greeting
	err := p.invoke(ctx, addr, rpcExchange, &g, &out)
	return out, err
}

// Run sends an order to the host at addr and waits for the task's end.
func (p *Pool) Run(ctx context.Context, addr string, o Order) (Answer, error) {
	o.Secret = p.Secret
	var out Answer
	err := p.invoke(ctx, addr, rpcRun, &o, &out)
	return out, err
}

// Ask asks the host at addr about jobs.
func (p *Pool) Ask(ctx context.Context, addr string, q Question) (Reply, error) {
	q.Secret = p.Secret
	var out Reply
	err := p.invoke(ctx, addr, rpcAsk, &q, &out)
	return out, err
}

// Call sends a message to the host at addr and returns its reply.
func (p *Pool) Call(ctx context.Context, addr string, body []byte) ([]byte, error) {
	var out Message
	err := p.invoke(ctx, addr, rpcCall, &Message{Secret: p.Secret, Body: body}, &out)
	return out.Body, err
}

// invoke makes one call on a connection of its own.
func (p *Pool) invoke(ctx context.Context, addr, rpc string, in, out drpc.Message) error {
	conn, err := p.take(ctx, addr)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "dial peer %s", addr), ErrUnreachable)
	}
	if err := conn.Invoke(ctx, rpc, codec{}, in, out); err != nil {
		p.drop(addr, conn)
		return errors.Mark(errors.Wrapf(err, "call %s at %s", rpc, addr), ErrBroken)
	}
	p.give(addr, conn)
	return nil
}

func (p *Pool) take(ctx context.Context, addr string) (*drpcconn.Conn, error) {
	p.mu.Lock()
	for list := p.idle[addr]; len(list) > 0; list = p.idle[addr] {
		conn := list[len(list)-1]
		p.idle[addr] = list[:len(list)-1]
		select {
		case <-conn.Closed():
			delete(p.open[addr], conn)
			continue
		default:
		}
		p.mu.Unlock()
		return conn, nil
	}
	p.mu.Unlock()
	dialer := net.Dialer{Timeout: dialTimeout}
	tcp, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if p.Count != nil {
		tcp = &countedConn{Conn: tcp, count: p.Count}
	}
	conn := drpcconn.New(tcp)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open == nil {
		p.idle = map[string][]*drpcconn.Conn{}
		p.open = map[string]map[*drpcconn.Conn]bool{}
	}
	if p.open[addr] == nil {
		p.open[addr] = map[*drpcconn.Conn]bool{}
	}
	p.open[addr][conn] = true
	return conn, nil
}

func (p *Pool) give(addr string, conn *drpcconn.Conn) {
	p.mu.Lock()
	full := len(p.idle[addr]) >= maxIdlePerKey
	if !full && p.open[addr][conn] {
		p.idle[addr] = append(p.idle[addr], conn)
	}
	p.mu.Unlock()
	if full {
		p.drop(addr, conn)
	}
}

func (p *Pool) drop(addr string, conn *drpcconn.Conn) {
	p.mu.Lock()
	delete(p.open[addr], conn)
	p.mu.Unlock()
	_ = conn.Close()
}

// Cut closes every connection to addr; the calls on them fail.
func (p *Pool) Cut(addr string) {
	p.mu.Lock()
	conns := p.open[addr]
	delete(p.open, addr)
	delete(p.idle, addr)
	p.mu.Unlock()
	for conn := range conns {
		_ = conn.Close()
	}
}

// Close closes every connection.
func (p *Pool) Close() {
	p.mu.Lock()
	addrs := make([]string, 0, len(p.open))
	for addr := range p.open {
		addrs = append(addrs, addr)
	}
	p.mu.Unlock()
	for _, addr := range addrs {
		p.Cut(addr)
	}
}

// countedConn counts the bytes that pass.
type countedConn struct {
	net.Conn
	count func(sent, received int)
}

func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.count(0, n)
	return n, err
}

func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.count(n, 0)
	return n, err
}
