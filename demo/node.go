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

// restartPause is the time between the end of a host and the start of the next.
const restartPause = 2 * time.Second

// node runs one entry host at a time. Its addresses stay the same when the host
// is replaced by a new one.
type node struct {
	settings      settings.Settings
	log           *slog.Logger
	platformProxy *faultproxy.Proxy // between the host and the platform; nil without faults
	peerProxy     *faultproxy.Proxy // in front of the peer address; nil without faults

	mu       sync.Mutex
	host     *host.Host
	reserved bool // a fault or a restart is in progress
}

// start starts the first host of the node and keeps its listen addresses for the
// hosts that replace it.
func (n *node) start(ctx context.Context, platformURL string, withFaults bool) error {
	n.settings.PlatformURL = platformURL
	if withFaults {
		n.platformProxy = &faultproxy.Proxy{Target: strings.TrimPrefix(platformURL, "http://")}
		if err := n.platformProxy.Start(); err != nil {
			return err
		}
		n.settings.PlatformURL = "http://" + n.platformProxy.Addr()
		n.peerProxy = &faultproxy.Proxy{}
		if err := n.peerProxy.Start(); err != nil {
			return err
		}
		n.settings.PeerAdvertise = n.peerProxy.Addr()
	}
	h := &host.Host{Settings: n.settings, Log: n.log}
	if err := h.Start(ctx); err != nil {
		return err
	}
	n.settings.HTTPAddr, n.settings.PeerAddr = h.HTTPAddr(), h.ListenPeerAddr()
	if n.peerProxy != nil {
		n.peerProxy.SetTarget(n.settings.PeerAddr)
	}
	n.host = h
	return nil
}

func (n *node) current() *host.Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.host
}

func (n *node) url() string { return "http://" + n.settings.HTTPAddr }

// setIsolated black-holes the connections between the node and the platform and
// those from other hosts, or restores them. Connections that the host opens to
// other hosts are not affected.
func (n *node) setIsolated(isolated bool) {
	f := faultproxy.Fault{DropRequests: isolated, DropReplies: isolated}
	n.platformProxy.SetFault(f)
	n.peerProxy.SetFault(f)
}

// reserve reserves the node for a fault or a restart. It returns false if the
// node is already reserved.
func (n *node) reserve() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.reserved {
		return false
	}
	n.reserved = true
	return true
}

func (n *node) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reserved = false
}

// restart ends the host, gracefully or not, and starts a new one after
// restartPause.
func (n *node) restart(ctx context.Context, graceful bool) {
	old := n.current()
	if graceful {
		old.Shutdown(ctx)
	} else {
		old.Kill()
	}
	select {
	case <-time.After(restartPause):
	case <-ctx.Done():
	}
	h := &host.Host{Settings: n.settings, Log: n.log}
	for range 50 { // retry until the addresses are free again
		if h.Start(context.WithoutCancel(ctx)) == nil {
			break
		}
		time.Sleep(pollInterval)
		h = &host.Host{Settings: n.settings, Log: n.log}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.host = h
}

// restartIfFenced restarts the host if a sibling has taken over its work.
func (n *node) restartIfFenced(ctx context.Context) {
	select {
	case <-n.current().Fenced():
		if n.reserve() {
			n.restart(ctx, false)
			n.release()
		}
	default:
	}
}

func (n *node) close() {
	if h := n.current(); h != nil {
		h.Kill()
	}
	if n.platformProxy != nil {
		n.platformProxy.Close()
	}
	if n.peerProxy != nil {
		n.peerProxy.Close()
	}
}
