// Package host runs one entry host: it owns the goroutine that feeds the control
// state, carries its effects out, reads the platform, and serves callers,
// operators and other entry hosts.
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

	"github.com/cowslipgap/cowslipgap/catalog"
	"github.com/cowslipgap/cowslipgap/control"
	"github.com/cowslipgap/cowslipgap/gateway"
	"github.com/cowslipgap/cowslipgap/lease"
	"github.com/cowslipgap/cowslipgap/pause"
	"github.com/cowslipgap/cowslipgap/peer"
	"github.com/cowslipgap/cowslipgap/placement"
	"github.com/cowslipgap/cowslipgap/segment"
	"github.com/cowslipgap/cowslipgap/settings"
	"github.com/cowslipgap/cowslipgap/storage"
)

const (
	tickEvery      = 100 * time.Millisecond
	eventQueue     = 4096
	sessionIDBytes = 5
	drainPoll      = 20 * time.Millisecond
	// drainNotice is how long a leaving host still takes what the balancer
	// sends before the balancer has noticed.
	drainNotice = 500 * time.Millisecond
)

// ErrStart says that the host could not start.
var ErrStart = errors.New("host: cannot start")

// Host is one entry host. Set Settings and call Start.
type Host struct {
	Settings settings.Settings
	Log      *slog.Logger // slog.Default() if nil
	Policy   placement.Policy

	platform storage.Client
	pool     peer.Pool
	journal  *segment.Journal
	session  string
	fence    atomic.Uint64 // revision of the session's row
	catalog  atomic.Pointer[catalog.Catalog]
	summary  atomic.Pointer[control.Summary]
	ready    atomic.Bool
	leaving  atomic.Bool
	busy     atomic.Int64
	interval atomic.Int64 // nanoseconds between segments of the journal
	tokens   atomic.Uint64
	counters counters

	events   chan envelope
	http     *http.Server
	httpLis  net.Listener
	peerLis  net.Listener
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	done     chan struct{} // closed when the control goroutine has ended
	fenced   chan struct{} // closed when a sibling has taken over
	fencedMu sync.Once
}

// Start listens, and serves until Shutdown or Kill.
func (h *Host) Start(ctx context.Context) error {
	if h.Log == nil {
		h.Log = slog.Default()
	}
	h.Log = h.Log.With("host", h.Settings.Name)
	h.session = newSession(h.Settings.Name)
	if err := h.listen(); err != nil {
		return errors.Mark(err, ErrStart)
	}
	h.platform.Base, h.platform.Timeout = h.Settings.PlatformURL, h.Settings.PlatformTimeout
	h.pool.Secret, h.pool.Count = h.Settings.PeerKey, h.counters.countPeerBytes
	h.events = make(chan envelope, eventQueue)
	h.done, h.fenced = make(chan struct{}), make(chan struct{})
	h.catalog.Store(&catalog.Catalog{})
	h.summary.Store(&control.Summary{})
	ctx, h.cancel = context.WithCancel(ctx)
	h.startJournal(ctx)
	if err := h.serveHTTP(); err != nil {
		h.cancel()
		return errors.Mark(err, ErrStart)
	}
	h.spawn(func() { _ = peer.Serve(ctx, h.peerLis, h.Settings.PeerKey, h.service()) })
	h.spawn(func() { h.pollShared(ctx) })
	h.spawn(func() { h.pollZone(ctx) })
	h.spawn(func() { h.pollHosts(ctx) })
	h.spawn(func() { h.tick(ctx) })
	go h.loop(ctx)
	h.Log.Info("host: started", "session", h.session, "zone", h.Settings.Zone, "http", h.HTTPAddr(), "peer", h.PeerAddr())
	return nil
}

func (h *Host) spawn(f func()) {
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		f()
	}()
}

func (h *Host) listen() error {
	var err error
	if h.httpLis, err = net.Listen("tcp", h.Settings.HTTPAddr); err != nil {
		return errors.Wrapf(err, "listen for callers on %s", h.Settings.HTTPAddr)
	}
	if h.peerLis, err = net.Listen("tcp", h.Settings.PeerAddr); err != nil {
		_ = h.httpLis.Close()
		return errors.Wrapf(err, "listen for entry hosts on %s", h.Settings.PeerAddr)
	}
	return nil
}

func newSession(name string) string {
	id := make([]byte, sessionIDBytes)
	_, _ = rand.Read(id) // never fails, by its documentation
	return name + "-" + strings.ToLower(base32.StdEncoding.EncodeToString(id))
}

func (h *Host) startJournal(ctx context.Context) {
	h.journal = &segment.Journal{
		Platform: &h.platform,
		Session:  h.session,
		Fence: func() storage.Check {
			return storage.Check{Key: control.SessionKey(h.Settings.Zone, h.session), Revision: h.fence.Load()}
		},
		Interval: h.journalInterval,
		Report: func(r segment.Result) {
			// The journal must not wait for the control goroutine, which may be
			// waiting to append.
			go h.post(control.Journaled{Result: r})
		},
	}
	h.spawn(func() { h.journal.Run(ctx) })
}

// journalInterval divides the fleet's budget of writes among the hosts known.
func (h *Host) journalInterval() time.Duration { return time.Duration(h.interval.Load()) }

func (h *Host) config() control.Config {
	s := h.Settings
	p := h.Policy
	p.MaxQueued, p.TaskLease, p.ClockMargin = s.MaxQueued, s.TaskLease, s.ClockMargin
	return control.Config{
		Session: h.session, Name: s.Name, Zone: s.Zone, PeerAddr: h.PeerAddr(), HTTPAddr: h.HTTPAddr(),
		Heartbeat: s.Heartbeat, Placement: p, WritesPerSecond: s.WritesPerSecond,
		Rules: lease.Rules{Lease: s.Lease, Margin: s.ClockMargin, SoloLimit: s.SoloLimit},
	}
}

// HTTPAddr returns the address for callers.
func (h *Host) HTTPAddr() string { return h.httpLis.Addr().String() }

// PeerAddr returns the address at which other entry hosts reach this one.
func (h *Host) PeerAddr() string {
	if h.Settings.PeerAdvertise != "" {
		return h.Settings.PeerAdvertise
	}
	return h.peerLis.Addr().String()
}

// ListenPeerAddr returns the address that the host listens on for other entry
// hosts.
func (h *Host) ListenPeerAddr() string { return h.peerLis.Addr().String() }

// Session returns the identity of this process.
func (h *Host) Session() string { return h.session }

// Fenced is closed when a sibling has taken over: the process is to end.
func (h *Host) Fenced() <-chan struct{} { return h.fenced }

// Ready reports whether the host can serve.
func (h *Host) Ready() bool { return h.ready.Load() && !h.leaving.Load() }

// Summary returns the latest summary of the control state.
func (h *Host) Summary() control.Summary { return *h.summary.Load() }

func (h *Host) serveHTTP() error {
	g := h.gateway()
	handler, err := g.Handler()
	if err != nil {
		return err
	}
	h.http = &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	h.spawn(func() {
		if err := h.http.Serve(h.httpLis); err != nil && !errors.Is(err, http.ErrServerClosed) {
			h.Log.Error("host: serving callers failed", "err", err.Error())
		}
	})
	return nil
}

func (h *Host) gateway() *gateway.Gateway {
	return &gateway.Gateway{
		Settings: h.Settings,
		Log:      h.Log,
		Catalog:  h.catalog.Load,
		Ready:    h.Ready,
		Leaving:  h.leaving.Load,
		Submit:   h.submit,
		Job:      h.submitJob,
		Jobs:     h.queryJobs,
		Cancel:   h.cancelJob,
		Records:  &records{host: h},
		Hosts:    h.listHosts,
		Vars:     h.vars(),
	}
}

// vars returns the host's metrics. Each host has a map of its own, because a
// process may run several.
func (h *Host) vars() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("summary", expvar.Func(func() any { return h.Summary() }))
	m.Set("counters", expvar.Func(func() any { return h.Counters() }))
	return m
}

// Shutdown leaves gracefully: it stops taking work, finishes what it took,
// hands the rest over and ends. When ctx ends first, it ends at once.
func (h *Host) Shutdown(ctx context.Context) {
	h.leaving.Store(true)
	h.Log.Info("host: leaving")
	// The balancer still sends here until it has seen the readiness check fail.
	pause.For(ctx, drainNotice)
	h.post(control.Drain{})
	ctx, cancel := context.WithTimeout(ctx, h.Settings.DrainTimeout)
	defer cancel()
	for h.busy.Load() > 0 && ctx.Err() == nil {
		pause.For(ctx, drainPoll)
	}
	_ = h.http.Shutdown(ctx)
	h.post(control.Release{})
	pause.For(ctx, drainNotice)
	h.Kill()
	h.Log.Info("host: left")
}

// Kill ends everything at once.
func (h *Host) Kill() {
	h.cancel()
	_ = h.http.Close()
	_ = h.peerLis.Close()
	h.pool.Close()
	<-h.done
	h.wg.Wait()
	h.platform.Close()
}
