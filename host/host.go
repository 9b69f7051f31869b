// Package host runs one entry host. It passes events to the control state on
// one goroutine, carries out the effects, polls the platform, and serves
// callers, operators and other entry hosts.
//
// # Usage
//
//	h := host.Host{Settings: s, Log: slog.Default()}
//	if err := h.Start(ctx); err != nil {
//		return err
//	}
//	<-signal
//	h.Shutdown(ctx)
package host

import (
	"context"
	"crypto/rand"
	"encoding/base32"
	"expvar"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/cowslipgap/cowslipgap/budget"
	"github.com/cowslipgap/cowslipgap/catalog"
	"github.com/cowslipgap/cowslipgap/control"
	"github.com/cowslipgap/cowslipgap/gateway"
	"github.com/cowslipgap/cowslipgap/ingress"
	"github.com/cowslipgap/cowslipgap/lease"
	"github.com/cowslipgap/cowslipgap/pause"
	"github.com/cowslipgap/cowslipgap/peer"
	"github.com/cowslipgap/cowslipgap/placement"
	"github.com/cowslipgap/cowslipgap/segment"
	"github.com/cowslipgap/cowslipgap/settings"
	"github.com/cowslipgap/cowslipgap/storage"
)

const (
	tickInterval      = 100 * time.Millisecond
	eventQueueSize    = 4096
	sessionIDBytes    = 5
	drainPollInterval = 20 * time.Millisecond
	// balancerNoticePeriod is how long a leaving host keeps accepting requests,
	// so that the load balancer notices that its readiness check fails.
	balancerNoticePeriod = 500 * time.Millisecond
	// messageWeight is how many bytes each byte of a message between hosts takes while it
	// is received.
	messageWeight = 2
	// messageWait is how long a message between hosts may stop before it gives way to others
	// that wait for room.
	messageWait = time.Second
	// maxDefaultConnections bounds the default of Settings.MaxConnections, and
	// fallbackMaxConnections is that default if the limit on descriptors is unknown.
	maxDefaultConnections  = 1500
	fallbackMaxConnections = 300
)

// ErrStart marks the errors with which Start fails.
var ErrStart = errors.New("host: cannot start")

// Host is one entry host. Set Settings and call Start.
type Host struct {
	Settings settings.Settings
	Log      *slog.Logger     // slog.Default() if nil
	Policy   placement.Policy // Start sets MaxQueued, TaskLease and ClockMargin from Settings

	platform             storage.Client
	pool                 peer.Pool
	journal              *segment.Journal
	session              string
	fenceRevision        atomic.Uint64 // revision of the session's row
	catalog              atomic.Pointer[catalog.Catalog]
	summary              atomic.Pointer[control.Summary]
	ready                atomic.Bool
	leaving              atomic.Bool  // Shutdown has been called
	busyCount            atomic.Int64 // callers and other hosts that wait for tasks here
	journalIntervalNanos atomic.Int64 // minimum time between journal segments
	lastToken            atomic.Uint64
	counters             counters

	events     chan envelope
	http       *http.Server
	callers    *ingress.Port
	peers      *ingress.Port
	cancel     context.CancelFunc
	wg         sync.WaitGroup
	loopDone   chan struct{} // closed when the control goroutine has ended
	fenced     chan struct{} // closed when another host has taken over the session
	fencedOnce sync.Once
}

// Start opens the listeners and serves in the background until Shutdown or
// Kill.
func (h *Host) Start(ctx context.Context) error {
	if h.Log == nil {
		h.Log = slog.Default()
	}
	h.Log = h.Log.With("host", h.Settings.Name)
	h.session = newSession(h.Settings.Name)
	if err := h.listen(); err != nil {
		return errors.Mark(err, ErrStart)
	}
	h.platform.BaseURL, h.platform.Timeout = h.Settings.PlatformURL, h.Settings.PlatformTimeout
	h.pool.Secret, h.pool.CountBytes = h.Settings.PeerKey, h.counters.countPeerBytes
	h.events = make(chan envelope, eventQueueSize)
	h.loopDone, h.fenced = make(chan struct{}), make(chan struct{})
	h.catalog.Store(&catalog.Catalog{})
	h.summary.Store(&control.Summary{})
	ctx, h.cancel = context.WithCancel(ctx)
	h.startJournal(ctx)
	if err := h.serveHTTP(); err != nil {
		h.cancel()
		return errors.Mark(err, ErrStart)
	}
	h.spawn(func() { _ = peer.Serve(ctx, h.peers, h.Settings.PeerKey, h.service()) })
	h.spawn(func() { h.pollShared(ctx) })
	h.spawn(func() { h.pollZone(ctx) })
	h.spawn(func() { h.pollWorkers(ctx) })
	h.spawn(func() { h.tick(ctx) })
	go h.loop(ctx)
	h.Log.Info("host: started", "session", h.session, "zone", h.Settings.Zone, "http", h.HTTPAddr(), "peer", h.PeerAddr())
	return nil
}

// spawn runs f on a goroutine that Kill waits for.
func (h *Host) spawn(f func()) {
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		f()
	}()
}

// listen opens the ports, whose connections and requests in progress are bounded.
func (h *Host) listen() error {
	s := h.Settings
	maxConns := s.MaxConnections
	if maxConns == 0 {
		maxConns = defaultMaxConnections()
	}
	h.callers = &ingress.Port{
		MaxConns: maxConns, Budget: &budget.Budget{Limit: s.MaxRequestBytes}, HeadWeight: ingress.HTTPHeadWeight,
		Timeouts: func() ingress.Timeouts {
			return ingress.Timeouts{Head: s.HeaderTimeout, Idle: s.IdleTimeout, Write: s.WriteTimeout}
		},
	}
	h.peers = &ingress.Port{
		MaxConns: maxConns, Budget: &budget.Budget{Limit: s.MaxMessageBytes}, HeadWeight: messageWeight, WaitForRoom: messageWait,
		Timeouts: func() ingress.Timeouts { return ingress.Timeouts{Stall: s.BodyTimeout, Write: s.WriteTimeout} },
	}
	var err error
	if h.callers.Listener, err = net.Listen("tcp", s.HTTPAddr); err != nil {
		return errors.Wrapf(err, "listen for callers on %s", s.HTTPAddr)
	}
	if h.peers.Listener, err = net.Listen("tcp", s.PeerAddr); err != nil {
		_ = h.callers.Close()
		return errors.Wrapf(err, "listen for entry hosts on %s", s.PeerAddr)
	}
	return nil
}

// defaultMaxConnections returns a third of the descriptors that the process may open: for
// callers, for other entry hosts, and for what the host itself opens.
func defaultMaxConnections() int {
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err != nil {
		return fallbackMaxConnections
	}
	return int(min(files.Cur/3, maxDefaultConnections))
}

// newSession returns a session ID: the host's name and a random suffix.
func newSession(name string) string {
	id := make([]byte, sessionIDBytes)
	_, _ = rand.Read(id) // documented never to return an error
	return name + "-" + strings.ToLower(base32.StdEncoding.EncodeToString(id))
}

func (h *Host) startJournal(ctx context.Context) {
	h.journal = &segment.Journal{
		Platform: &h.platform,
		Session:  h.session,
		Fence: func() storage.Check {
			return storage.Check{Key: control.SessionKey(h.Settings.Zone, h.session), Revision: h.fenceRevision.Load()}
		},
		Interval: h.journalInterval,
		Report: func(r segment.Result) {
			// The journal must not block on the control goroutine, which may be
			// blocked in Append.
			go h.post(control.Journaled{Result: r})
		},
	}
	h.spawn(func() { h.journal.Run(ctx) })
}

// journalInterval returns the minimum time between journal segments. It divides
// the fleet's write budget among the known hosts.
func (h *Host) journalInterval() time.Duration { return time.Duration(h.journalIntervalNanos.Load()) }

func (h *Host) config() control.Config {
	s := h.Settings
	p := h.Policy
	p.MaxQueued, p.TaskLease, p.ClockMargin = s.MaxQueuedPerTeam, s.TaskLease, s.ClockMargin
	return control.Config{
		Session: h.session, Name: s.Name, Zone: s.Zone, PeerAddr: h.PeerAddr(), HTTPAddr: h.HTTPAddr(),
		Heartbeat: s.Heartbeat, Placement: p, WritesPerSecond: s.WritesPerSecond, MaxJobBytes: s.MaxJobBytes,
		Rules: lease.Rules{Lease: s.HostLease, Margin: s.ClockMargin, SoloLimit: s.SoloLimit},
	}
}

// HTTPAddr returns the address that the host listens on for callers and
// operators.
func (h *Host) HTTPAddr() string { return h.callers.Addr().String() }

// PeerAddr returns the address at which other entry hosts reach this one.
func (h *Host) PeerAddr() string {
	if h.Settings.PeerAdvertise != "" {
		return h.Settings.PeerAdvertise
	}
	return h.peers.Addr().String()
}

// ListenPeerAddr returns the address that the host listens on for other entry
// hosts.
func (h *Host) ListenPeerAddr() string { return h.peers.Addr().String() }

// Session returns the session ID, which identifies this process.
func (h *Host) Session() string { return h.session }

// Fenced returns a channel that is closed when another host has taken over the
// session. The process must then exit.
func (h *Host) Fenced() <-chan struct{} { return h.fenced }

// Ready reports whether the host can serve and is not leaving.
func (h *Host) Ready() bool { return h.ready.Load() && !h.leaving.Load() }

// Summary returns the latest summary of the control state.
func (h *Host) Summary() control.Summary { return *h.summary.Load() }

func (h *Host) serveHTTP() error {
	g := h.gateway()
	handler, err := g.Handler()
	if err != nil {
		return err
	}
	h.http = &http.Server{
		Handler: h.callers.Handler(h.closeWhileLeaving(handler)), MaxHeaderBytes: int(h.Settings.MaxHeaderBytes),
		ConnState: h.callers.ConnState, ConnContext: ingress.ConnContext,
	}
	h.spawn(func() {
		if err := h.http.Serve(h.callers); err != nil && !errors.Is(err, http.ErrServerClosed) {
			h.Log.Error("host: serving callers failed", "err", err.Error())
		}
	})
	return nil
}

// closeWhileLeaving makes callers of a leaving host close their connections after the
// response. The server closes idle connections when it shuts down, and a request that is
// sent on one at that moment would be lost.
func (h *Host) closeWhileLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (h *Host) gateway() *gateway.Gateway {
	return &gateway.Gateway{
		Settings:   h.Settings,
		Log:        h.Log,
		Catalog:    h.catalog.Load,
		Ready:      h.Ready,
		Leaving:    h.leaving.Load,
		RunRequest: h.submit,
		SubmitJob:  h.submitJob,
		Jobs:       h.queryJobs,
		Cancel:     h.cancelJob,
		Records:    &recordStore{host: h},
		Hosts:      h.listHosts,
		Vars:       h.vars(),
	}
}

// vars returns the host's metrics. Each host has its own map, because a process
// may run several hosts.
func (h *Host) vars() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("summary", expvar.Func(func() any { return h.Summary() }))
	m.Set("counters", expvar.Func(func() any { return h.Counters() }))
	m.Set("ingress", expvar.Func(func() any {
		return map[string]ingress.Usage{"callers": h.callers.Usage(), "entryHosts": h.peers.Usage()}
	}))
	return m
}

// Shutdown stops the host gracefully: it stops accepting work, finishes the
// accepted work within Settings.DrainTimeout, hands over the rest and stops. If
// ctx ends first, it stops at once.
func (h *Host) Shutdown(ctx context.Context) {
	h.leaving.Store(true)
	h.Log.Info("host: leaving")
	// The load balancer sends requests here until the readiness check has failed.
	pause.Sleep(ctx, balancerNoticePeriod)
	h.post(control.Drain{})
	ctx, cancel := context.WithTimeout(ctx, h.Settings.DrainTimeout)
	defer cancel()
	for h.busyCount.Load() > 0 && ctx.Err() == nil {
		pause.Sleep(ctx, drainPollInterval)
	}
	_ = h.http.Shutdown(ctx)
	h.post(control.Release{})
	pause.Sleep(ctx, balancerNoticePeriod)
	h.Kill()
	h.Log.Info("host: stopped")
}

// Kill stops the host at once and waits for its goroutines.
func (h *Host) Kill() {
	h.cancel()
	_ = h.http.Close()
	_ = h.peers.Close()
	h.pool.Close()
	<-h.loopDone
	h.wg.Wait()
	h.platform.Close()
}
