// Package peer implements the protocol between entry hosts: drpc with CBOR
// messages. A host exchanges its load with other hosts, asks its successor for
// promises not to claim its racks, and forwards tasks to hosts with free
// capacity.
//
// Message fields are numbered, so fields can be added: older hosts ignore the
// ones they do not know. Every call carries the secret that entry hosts share.
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
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/cowslipgap/cowslipgap/pause"
	"github.com/cowslipgap/cowslipgap/resource"
)

const (
	rpcExchange = "/cowslipgap.Peer/Exchange"
	rpcRun      = "/cowslipgap.Peer/Run"
	rpcAsk      = "/cowslipgap.Peer/Ask"
	rpcCall     = "/cowslipgap.Peer/Call"

	dialTimeout = 2 * time.Second
	// acceptRetryDelay is the wait after a temporary failure to accept a connection.
	acceptRetryDelay = 100 * time.Millisecond
	maxIdlePerAddr   = 32
	// MaxMessageBytes is the size of the longest message that a host takes, encoded.
	MaxMessageBytes = 4<<20 - 1<<10
)

var (
	// ErrUnreachable reports that no connection could be made, so the call
	// certainly had no effect.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrUnsendable reports that no host would take the message, so it was not sent.
	ErrUnsendable = errors.New("peer: message cannot be sent")
	// ErrNoReply reports that the call was sent but returned no reply. It may
	// have taken effect.
	ErrNoReply = errors.New("peer: no reply")
	// ErrWrongSecret reports that the caller does not have the shared secret.
	ErrWrongSecret = errors.New("peer: wrong secret")
)

// Greeting is the status that two entry hosts exchange periodically.
type Greeting struct {
	Secret         string                     `cbor:"1,keyasint"`
	Session        string                     `cbor:"2,keyasint"`
	Zone           string                     `cbor:"3,keyasint"`
	RequestPromise bool                       `cbor:"4,keyasint,omitempty"` // asks the receiver to promise not to claim the sender's racks
	Promise        bool                       `cbor:"5,keyasint,omitempty"` // in a reply: the promise is given
	Leaving        bool                       `cbor:"6,keyasint,omitempty"`
	FreeSlots      int64                      `cbor:"7,keyasint"`
	Slots          int64                      `cbor:"8,keyasint"`
	Waiting        int64                      `cbor:"9,keyasint"`
	Capacity       resource.Vector            `cbor:"10,keyasint"`           // total capacity of the sender's workers; in a greeting to another zone, that of the sender's whole zone
	Largest        resource.Vector            `cbor:"11,keyasint"`           // largest capacity of a single worker, per dimension
	Used           map[string]resource.Vector `cbor:"12,keyasint,omitempty"` // resources in use by team; in a greeting to another zone, those of the sender's whole zone
}

// RunRequest asks another host to run a task. Task is encoded as JSON.
type RunRequest struct {
	Secret        string `cbor:"1,keyasint"`
	Session       string `cbor:"2,keyasint"` // session of the sender
	TargetSession string `cbor:"3,keyasint"` // session of the host that should run the task
	Task          []byte `cbor:"4,keyasint"`
	OutcomeOnly   bool   `cbor:"5,keyasint,omitempty"` // report the outcome without starting the task
}

// RunReply reports the result of a RunRequest. Refusal and Outcome are encoded as JSON.
type RunReply struct {
	Outcome []byte `cbor:"1,keyasint,omitempty"`
	Refusal []byte `cbor:"2,keyasint,omitempty"`
	Worker  string `cbor:"3,keyasint,omitempty"`
}

// JobRequest submits, reads or cancels jobs at another host, or asks for the
// outcomes of tasks.
type JobRequest struct {
	Secret    string `cbor:"1,keyasint"`
	Operation string `cbor:"2,keyasint"` // "status", "list", "cancel", "submit", "ended" or "ends"
	Team      string `cbor:"3,keyasint"`
	Job       string `cbor:"4,keyasint,omitempty"` // for "ended", a session
	Body      []byte `cbor:"5,keyasint,omitempty"` // JSON, for "submit" and "ends"
	Hops      int    `cbor:"6,keyasint,omitempty"` // number of times the request was forwarded
}

// JobReply answers a JobRequest. Data and Refusal are encoded as JSON.
type JobReply struct {
	Data    []byte `cbor:"1,keyasint,omitempty"`
	Refusal []byte `cbor:"2,keyasint,omitempty"`
}

// Message carries a request or a reply between hosts that share a cell. Package
// cellhost defines the encoding of Body.
type Message struct {
	Secret string `cbor:"1,keyasint,omitempty"`
	Body   []byte `cbor:"2,keyasint"`
}

// Service holds the functions that handle calls from peers. Call may be nil:
// calls to it then fail.
type Service struct {
	Call     func(ctx context.Context, m *Message) (*Message, error)
	Exchange func(ctx context.Context, g *Greeting) (*Greeting, error)
	Run      func(ctx context.Context, req *RunRequest) (*RunReply, error)
	Ask      func(ctx context.Context, req *JobRequest) (*JobReply, error)
}

// codec encodes drpc messages as CBOR.
type codec struct{}

func (codec) Marshal(msg drpc.Message) ([]byte, error) {
	data, err := cbor.Marshal(msg)
	if err == nil && len(data) > MaxMessageBytes {
		err = errors.Newf("it has %d bytes, %d are allowed", len(data), MaxMessageBytes)
	}
	if err != nil {
		return nil, errors.Mark(err, ErrUnsendable)
	}
	return data, nil
}

func (codec) Unmarshal(data []byte, msg drpc.Message) error { return cbor.Unmarshal(data, msg) }

// server checks the shared secret of each call and passes the call to the
// Service.
type server struct {
	service Service
	secret  string
}

func (s *server) authorized(secret string) bool {
	return subtle.ConstantTimeCompare([]byte(secret), []byte(s.secret)) == 1
}

func (s *server) exchange(ctx context.Context, g *Greeting) (*Greeting, error) {
	if !s.authorized(g.Secret) {
		return nil, ErrWrongSecret
	}
	return s.service.Exchange(ctx, g)
}

func (s *server) run(ctx context.Context, req *RunRequest) (*RunReply, error) {
	if !s.authorized(req.Secret) {
		return nil, ErrWrongSecret
	}
	return s.service.Run(ctx, req)
}

func (s *server) ask(ctx context.Context, req *JobRequest) (*JobReply, error) {
	if !s.authorized(req.Secret) {
		return nil, ErrWrongSecret
	}
	return s.service.Ask(ctx, req)
}

func (s *server) call(ctx context.Context, m *Message) (*Message, error) {
	if !s.authorized(m.Secret) {
		return nil, ErrWrongSecret
	}
	if s.service.Call == nil {
		return nil, errors.Newf("peer: %s is not served", rpcCall)
	}
	return s.service.Call(ctx, m)
}

// description lists the methods of server for drpc.
type description struct{}

// NumMethods implements drpc.Description.
func (description) NumMethods() int { return 4 }

// Method implements drpc.Description.
func (description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch n {
	case 0:
		return rpcExchange, codec{}, receiver((*server).exchange), (*server).exchange, true
	case 1:
		return rpcRun, codec{}, receiver((*server).run), (*server).run, true
	case 2:
		return rpcAsk, codec{}, receiver((*server).ask), (*server).ask, true
	case 3:
		return rpcCall, codec{}, receiver((*server).call), (*server).call, true
	default:
		return "", nil, nil, nil, false
	}
}

// receiver adapts a method of server to drpc.Receiver.
func receiver[In, Out any](call func(*server, context.Context, *In) (*Out, error)) drpc.Receiver {
	return func(srv any, ctx context.Context, in, _ any) (drpc.Message, error) {
		if conn, ok := drpcctx.Transport(ctx); ok {
			if conn, ok := conn.(accounted); ok {
				if !conn.Complete() {
					return nil, errors.New("peer: the call gave way to others")
				}
				defer conn.Rest()
			}
		}
		out, err := call(srv.(*server), ctx, in.(*In))
		if err != nil {
			return nil, err
		}
		return out, nil
	}
}

// accounted is a connection whose listener accounts for what calls hold, such as that of
// an ingress.Port.
type accounted interface {
	Complete() bool // the call has been received; false if it gave way to others
	Rest()          // the call has been handled
}

// Serve handles calls until ctx is done or the listener fails.
func Serve(ctx context.Context, listener net.Listener, secret string, service Service) error {
	mux := drpcmux.New()
	if err := mux.Register(&server{service, secret}, description{}); err != nil {
		return errors.Wrap(err, "register peer service")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer context.AfterFunc(ctx, func() { _ = listener.Close() })()
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	srv := drpcserver.New(mux)
	for {
		conn, err := listener.Accept()
		var temporary interface{ Temporary() bool }
		switch {
		case err != nil && ctx.Err() != nil:
			return nil
		case errors.As(err, &temporary) && temporary.Temporary():
			pause.Sleep(ctx, acceptRetryDelay)
		case err != nil:
			return errors.Wrap(err, "serve peers")
		default:
			// The error ends the connection; its caller learns that.
			calls.Go(func() { _ = srv.ServeOne(drpcctx.WithTransport(ctx, conn), conn) })
		}
	}
}

// Pool reuses connections to other entry hosts. The zero value is ready to use.
type Pool struct {
	Secret string
	// CountBytes, if set, is called with the bytes sent and received by each read and
	// write on any connection.
	CountBytes func(sent, received int)
	// Dial, if set, connects to a host in place of TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	mu   sync.Mutex
	idle map[string][]*drpcconn.Conn
	open map[string]map[*drpcconn.Conn]bool
}

// Exchange sends a Greeting to the host at addr and returns the host's own.
func (p *Pool) Exchange(ctx context.Context, addr string, g Greeting) (Greeting, error) {
	g.Secret = p.Secret
	var out Greeting
	err := p.invoke(ctx, addr, rpcExchange, &g, &out)
	return out, err
}

// Run sends a RunRequest to the host at addr and waits until the task ends.
func (p *Pool) Run(ctx context.Context, addr string, req RunRequest) (RunReply, error) {
	req.Secret = p.Secret
	var out RunReply
	err := p.invoke(ctx, addr, rpcRun, &req, &out)
	return out, err
}

// Ask sends a JobRequest to the host at addr and returns its reply.
func (p *Pool) Ask(ctx context.Context, addr string, req JobRequest) (JobReply, error) {
	req.Secret = p.Secret
	var out JobReply
	err := p.invoke(ctx, addr, rpcAsk, &req, &out)
	return out, err
}

// Call sends a message to the host at addr and returns its reply.
func (p *Pool) Call(ctx context.Context, addr string, body []byte) ([]byte, error) {
	var out Message
	err := p.invoke(ctx, addr, rpcCall, &Message{Secret: p.Secret, Body: body}, &out)
	return out.Body, err
}

// invoke makes one call. Concurrent calls use separate connections.
func (p *Pool) invoke(ctx context.Context, addr, rpc string, in, out drpc.Message) error {
	conn, err := p.acquire(ctx, addr)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "dial peer %s", addr), ErrUnreachable)
	}
	if err := conn.Invoke(ctx, rpc, codec{}, in, out); err != nil {
		p.discard(addr, conn)
		err = errors.Wrapf(err, "call %s at %s", rpc, addr)
		if errors.Is(err, ErrUnsendable) {
			return err
		}
		return errors.Mark(err, ErrNoReply)
	}
	p.release(addr, conn)
	return nil
}

// acquire returns an idle connection to addr or dials a new one.
func (p *Pool) acquire(ctx context.Context, addr string) (*drpcconn.Conn, error) {
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
	transport, err := p.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	if p.CountBytes != nil {
		transport = &countingConn{Conn: transport, count: p.CountBytes}
	}
	conn := drpcconn.New(transport)
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

func (p *Pool) dial(ctx context.Context, addr string) (net.Conn, error) {
	if p.Dial != nil {
		return p.Dial(ctx, addr)
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", addr)
}

// release returns a connection to the pool, or closes it if enough are idle.
func (p *Pool) release(addr string, conn *drpcconn.Conn) {
	p.mu.Lock()
	full := len(p.idle[addr]) >= maxIdlePerAddr
	if !full && p.open[addr][conn] {
		p.idle[addr] = append(p.idle[addr], conn)
	}
	p.mu.Unlock()
	if full {
		p.discard(addr, conn)
	}
}

// discard closes a connection and removes it from the pool.
func (p *Pool) discard(addr string, conn *drpcconn.Conn) {
	p.mu.Lock()
	delete(p.open[addr], conn)
	p.mu.Unlock()
	_ = conn.Close()
}

// CloseAddr closes every connection to addr. Calls in progress on them fail.
func (p *Pool) CloseAddr(addr string) {
	p.mu.Lock()
	conns := p.open[addr]
	delete(p.open, addr)
	delete(p.idle, addr)
	p.mu.Unlock()
	for conn := range conns {
		_ = conn.Close()
	}
}

// Close closes every connection of the pool.
func (p *Pool) Close() {
	p.mu.Lock()
	addrs := make([]string, 0, len(p.open))
	for addr := range p.open {
		addrs = append(addrs, addr)
	}
	p.mu.Unlock()
	for _, addr := range addrs {
		p.CloseAddr(addr)
	}
}

// countingConn reports the bytes read and written on a connection.
type countingConn struct {
	net.Conn
	count func(sent, received int)
}

func (c *countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.count(0, n)
	return n, err
}

func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.count(n, 0)
	return n, err
}
