package demo

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/cowslipgap/cowslipgap/faultproxy"
	"github.com/cowslipgap/cowslipgap/host"
	"github.com/cowslipgap/cowslipgap/settings"
)

// restartPause is how long a host that has ended takes to come back.
const restartPause = 2 * time.Second

// place is where an entry host runs: its addresses stay while hosts come and go.
type place struct {
	settings settings.Settings
	log      *slog.Logger
	table    *faultproxy.Proxy // towards the platform; nil without faults
	peers    *faultproxy.Proxy // in front of the peer address

	mu   sync.Mutex
	host *host.Host
	busy bool // it is being changed
}

// open starts the first host of the place.
func (p *place) open(ctx context.Context, platform string, faults bool) error {
	p.settings.PlatformURL = platform
	if faults {
		p.table = &faultproxy.Proxy{Target: strings.TrimPrefix(platform, "http://")}
		if err := p.table.Start(); err != nil {
			return err
		}
		p.settings.PlatformURL = "http://" + p.table.Addr()
		p.peers = &faultproxy.Proxy{}
		if err := p.peers.Start(); err != nil {
			return err
		}
		p.settings.PeerAdvertise = p.peers.Addr()
	}
	h := &host.Host{Settings: p.settings, Log: p.log}
	if err := h.Start(ctx); err != nil {
		return err
	}
	p.settings.HTTPAddr, p.settings.PeerAddr = h.HTTPAddr(), h.ListenPeerAddr()
	if p.peers != nil {
		p.peers.Retarget(p.settings.PeerAddr)
	}
	p.host = h
	return nil
}

func (p *place) current() *host.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.host
}

func (p *place) url() string { return "http://" + p.settings.HTTPAddr }

// cut black-holes the place towards the platform and other hosts, or heals it.
func (p *place) cut(on bool) {
	f := faultproxy.Fault{DropRequests: on, DropReplies: on}
	p.table.Set(f)
	p.peers.Set(f)
}

// take reserves the place for a fault; it reports false if another has it.
func (p *place) take() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy {
		return false
	}
	p.busy = true
	return true
}

func (p *place) give() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy = false
}

// restart ends the host, gracefully or not, and starts a new one after a pause.
func (p *place) restart(ctx context.Context, graceful bool) {
	old := p.current()
	if graceful {
		old.Shutdown(ctx)
	} else {
		old.Kill()
	}
	select {
	case <-time.After(restartPause):
	case <-ctx.Done():
	}
	h := &host.Host{Settings: p.settings, Log: p.log}
	for range 50 { // until the addresses are free again
		if h.Start(context.WithoutCancel(ctx)) == nil {
			break
		}
		time.Sleep(pollEvery)
		h = &host.Host{Settings: p.settings, Log: p.log}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.host = h
}

// tend restarts the host if a sibling has taken it over.
func (p *place) tend(ctx context.Context) {
	select {
	case <-p.current().Fenced():
		if p.take() {
			p.restart(ctx, false)
			p.give()
		}
	default:
	}
}

func (p *place) close() {
	if h := p.current(); h != nil {
		h.Kill()
	}
	if p.table != nil {
		p.table.Close()
	}
	if p.peers != nil {
		p.peers.Close()
	}
}
