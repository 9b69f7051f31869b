package cellhost

import (
	"context"
	"maps"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/cowslipgap/cowslipgap/cell"
	"github.com/cowslipgap/cowslipgap/pause"
	"github.com/cowslipgap/cowslipgap/peer"
	"github.com/cowslipgap/cowslipgap/workload"
)

// requestKind identifies the kind of a request between entry hosts.
type requestKind int

const (
	kindHeartbeat    requestKind = iota + 1 // heartbeat from a host; asks whether the receiver owns the cell
	kindProbe                               // checks that the receiver can be reached
	kindOffer                               // offers a cell that is vacant or whose owner cannot write
	kindAdvise                              // asks the receiver to call the advice service on the sender's behalf
	kindSubmit                              // submits a job
	kindCancel                              // cancels a job
	kindQuery                               // asks for the state of a job
	kindCountQueued                         // asks for the number of jobs of a queue that have not started a task
	kindRelay                               // gives commands to a relay
	kindRelayResults                        // returns the results of relayed commands to the owner
	kindAnnounce                            // tells that the sender has claimed the cell
)

// kindNames names the kinds of requests in the metrics.
var kindNames = map[requestKind]string{
	kindHeartbeat: "heartbeat", kindProbe: "probe", kindOffer: "offer", kindAdvise: "advise", kindSubmit: "submit",
	kindCancel: "cancel", kindQuery: "query", kindCountQueued: "countQueued", kindRelay: "relay", kindRelayResults: "relayResults", kindAnnounce: "announce",
}

// request is a call from one entry host to another.
type request struct {
	Kind      requestKind   `cbor:"1,keyasint"`
	Name      string        `cbor:"2,keyasint,omitempty"`
	Addr      string        `cbor:"3,keyasint,omitempty"`
	Job       *workload.Job `cbor:"4,keyasint,omitempty"`
	ID        string        `cbor:"5,keyasint,omitempty"` // job ID; in kindCountQueued: the queue; in kindAdvise: the step; in kindOffer: the session of the owner that cannot write, or empty
	Workers   []string      `cbor:"6,keyasint,omitempty"`
	Forwarded bool          `cbor:"7,keyasint,omitempty"`  // already forwarded once; must not be forwarded again
	Timeout   time.Duration `cbor:"8,keyasint,omitempty"`  // how long the sender waits for the reply
	Cores     float64       `cbor:"9,keyasint,omitempty"`  // in a heartbeat: processor cores of the sender
	Uptime    time.Duration `cbor:"10,keyasint,omitempty"` // in a heartbeat: time since the sender's process started
	Info      *hostInfo     `cbor:"11,keyasint,omitempty"` // in a heartbeat: describes the sender; nil from older versions
	WantHosts bool          `cbor:"16,keyasint,omitempty"` // in a heartbeat: asks for the list of hosts if its version is not Hosts
	Hosts     uint64        `cbor:"12,keyasint,omitempty"` // in a heartbeat: version of the list of hosts last received from an owner
	Commands  *relayBatch   `cbor:"13,keyasint,omitempty"` // in kindRelay
	Session   string        `cbor:"14,keyasint,omitempty"` // in kindRelayResults: the owner that gave the commands
	Results   []relayResult `cbor:"15,keyasint,omitempty"` // in kindRelayResults
	Head      *HeadRow      `cbor:"17,keyasint,omitempty"` // in kindAnnounce
	Interval  time.Duration `cbor:"18,keyasint,omitempty"` // in a heartbeat: time between two heartbeats of the sender
	Zone      string        `cbor:"19,keyasint,omitempty"` // in kindSubmit: availability zone of the host that the caller reached
	Usage     usageReport   `cbor:"20,keyasint,omitempty"` // in a heartbeat: what the sender uses of its limits
}

// reply answers a request.
type reply struct {
	Owner     bool              `cbor:"1,keyasint,omitempty"` // the replying host owns the cell
	CommitAge time.Duration     `cbor:"2,keyasint,omitempty"` // in a heartbeat reply: age of the owner's last confirmed commit
	Head      HeadRow           `cbor:"3,keyasint,omitzero"`  // head row of the last owner known to the replying host
	Outcome   Outcome           `cbor:"4,keyasint,omitzero"`
	Advice    cell.AdviceResult `cbor:"5,keyasint,omitzero"`
	Known     map[string]string `cbor:",omitempty"` // to older versions: addresses of the hosts that the replying host knows, by name
	// Clock is the reading of the owner's clock, in a heartbeat reply.
	Clock cell.Instant `cbor:"6,keyasint,omitempty"`
	// Hosts holds the hosts that the owner knows, if the request asks for them;
	// HostsVersion is the version of the list.
	Hosts        map[string]hostInfo `cbor:"7,keyasint,omitempty"`
	HostsVersion uint64              `cbor:"8,keyasint,omitempty"`
}

// Serve handles a message from another entry host.
func (h *Host) Serve(ctx context.Context, m *peer.Message) (*peer.Message, error) {
	h.init()
	var r request
	if err := cbor.Unmarshal(m.Body, &r); err != nil {
		return nil, errors.Wrap(err, "decode peer request")
	}
	body, err := cbor.Marshal(h.handle(ctx, r))
	h.Counts.Traffic.Add("from "+kindNames[r.Kind], len(body), len(m.Body))
	return &peer.Message{Body: body}, errors.Wrap(err, "encode peer reply")
}

func (h *Host) handle(ctx context.Context, r request) reply {
	switch r.Kind {
	case kindHeartbeat:
		return h.handleHeartbeat(r)
	case kindProbe:
		return reply{}
	case kindOffer:
		return h.handleOffer(ctx, r.ID)
	case kindAdvise:
		return reply{Advice: h.Advise(ctx, r.ID, r.Workers)}
	case kindRelay:
		h.carry(context.WithoutCancel(ctx), r.Commands)
		return reply{}
	case kindAnnounce:
		h.ownership.handleAnnounce(r.Head)
		h.doubtOwner() // the next heartbeat makes this host known to the new owner
		return reply{}
	case kindRelayResults:
		h.handleRelayResults(ctx, r)
		return reply{}
	}
	if r.Kind == kindSubmit && (r.Job == nil || r.Job.Validate() != nil) {
		return reply{Outcome: Outcome{Verdict: cell.Malformed, Reason: "malformed job"}}
	}
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	return reply{Outcome: h.resolve(ctx, r)}
}

// handleHeartbeat records the sender as a member and replies with the last known
// owner. The list of hosts is long, so it is sent only if it has changed.
func (h *Host) handleHeartbeat(r request) reply {
	now := h.Now()
	info := hostInfo{Addr: r.Addr, Cores: r.Cores}
	if r.Info != nil {
		info = *r.Info
	}
	h.ownership.recordMember(r.Name, member{hostInfo: info, lastHeartbeat: now, interval: r.Interval, startedAt: now - r.Uptime, usage: r.Usage.decode(now)})
	h.ownership.mu.Lock()
	defer h.ownership.mu.Unlock()
	out := reply{Owner: h.ownership.isOwner, Head: h.ownership.owner}
	if h.ownership.isOwner {
		out.CommitAge, out.Clock = now-h.ownership.confirmedAt, now
	}
	switch hosts := &h.ownership.hosts; {
	case r.Info == nil:
		out.Known = make(map[string]string, len(hosts.byName))
		for name, info := range hosts.byName {
			out.Known[name] = info.Addr
		}
	case h.ownership.isOwner && r.WantHosts && r.Hosts != hosts.version:
		out.Hosts, out.HostsVersion = maps.Clone(hosts.byName), hosts.version
	}
	return out
}

// handleOffer claims a cell that is vacant, or whose owner cannot write to the
// store while this host can. The session is that of the owner, and is empty if the
// cell is vacant.
func (h *Host) handleOffer(ctx context.Context, session string) reply {
	if h.leaving.Load() || h.Rules() == nil || h.requestsExpired() || h.ownership.owns() {
		return reply{}
	}
	head, err := h.readHeadPromptly(ctx)
	readAt := h.Now()
	if err == nil && session != "" && head.Session == session && pause.Sleep(ctx, ownerRecoveryWait) {
		version := head.Version
		if head, err = h.readHeadPromptly(ctx); head.Version != version {
			return reply{} // the owner can write again
		}
	}
	if err == nil && (head.Vacant || session != "" && head.Session == session) {
		h.claim(context.WithoutCancel(ctx), head, readAt)
	}
	return reply{Owner: h.ownership.owns()}
}

// readHeadPromptly reads the head row with a timeout of promptReadTimeout.
func (h *Host) readHeadPromptly(ctx context.Context) (HeadRow, error) {
	ctx, cancel := context.WithTimeout(ctx, promptReadTimeout)
	defer cancel()
	return h.ReadHead(ctx)
}

// sendHeartbeat sends a heartbeat to the owner. It reports whether the receiver owns
// the cell and its last confirmed commit is recent.
func (h *Host) sendHeartbeat(ctx context.Context, owner HeadRow, timeout time.Duration) bool {
	sent := h.Now()
	out, err := h.callPeer(ctx, owner.Addr, h.heartbeat(), timeout)
	if err != nil {
		return false
	}
	h.ownership.mu.Lock()
	defer h.ownership.mu.Unlock()
	for name, addr := range out.Known {
		if h.ownership.hosts.byName[name].Addr != addr {
			h.ownership.hosts.record(name, hostInfo{Addr: addr})
		}
	}
	for name, info := range out.Hosts {
		h.ownership.hosts.record(name, info)
	}
	if out.HostsVersion != 0 {
		h.ownership.ownerHosts, h.ownership.ownerHostsAt = out.HostsVersion, sent
	}
	if h.ownership.isOwner {
		return true // this host became the owner during the call
	}
	if out.Owner && out.Clock > 0 {
		h.ownership.clock = ownerClock{session: out.Head.Session, offset: sent - out.Clock, readAt: sent}
	}
	if out.Owner && out.CommitAge < staleCommitAge {
		h.ownership.ownerSeenAt = h.Now()
		h.ownership.owner = out.Head
		return true
	}
	if !out.Owner && out.Head.Addr != "" && out.Head.Session != owner.Session && out.Head.Session != h.Session {
		h.ownership.owner = out.Head // the next heartbeat is sent to it
	}
	return false
}

// heartbeat returns the heartbeat request of this host.
func (h *Host) heartbeat() request {
	info, now, interval := h.info(), h.Now(), h.heartbeatInterval()
	h.ownership.mu.Lock()
	defer h.ownership.mu.Unlock()
	return request{
		Kind: kindHeartbeat, Name: h.Name, Addr: h.Addr, Cores: h.Cores, Uptime: now - h.startedAt, Info: &info, Interval: interval, Usage: h.usage(),
		WantHosts: h.ownership.ownerHosts == 0 || now-h.ownership.ownerHostsAt > hostListInterval, Hosts: h.ownership.ownerHosts,
	}
}

// findOwner asks the other hosts which host owns the cell. It is used when this host
// cannot read the head row from the store.
func (h *Host) findOwner(ctx context.Context) {
	for _, addr := range h.ownership.others(h.Name) {
		out, err := h.callPeer(ctx, addr, h.heartbeat(), heartbeatTimeout)
		if err != nil || out.Head.Addr == "" || out.Head.Session == h.Session {
			continue
		}
		h.ownership.updateOwner(out.Head)
		return
	}
}

// adviseViaPeer asks another host to call the advice service.
func (h *Host) adviseViaPeer(ctx context.Context, req cell.RequestAdvice) cell.AdviceResult {
	out, err := h.callPeer(ctx, h.ownership.host(req.Host).Addr, request{Kind: kindAdvise, ID: req.Step, Workers: req.Workers}, adviceTimeout)
	if err != nil {
		h.Log.Debug("advice from another host failed", "host", req.Host, "step", req.Step, "error", err)
		return cell.AdviceResult{Failure: cell.NoAnswer}
	}
	return out.Advice
}

// callPeer sends a request to the host at addr.
func (h *Host) callPeer(ctx context.Context, addr string, r request, timeout time.Duration) (reply, error) {
	var out reply
	body, err := cbor.Marshal(r)
	if err != nil {
		return out, errors.Mark(errors.Wrap(err, "encode peer request"), peer.ErrUnsendable)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := h.peers.Call(ctx, addr, body)
	h.Counts.Traffic.Add("to "+kindNames[r.Kind], len(body), len(answer))
	if err != nil {
		return out, err
	}
	return out, errors.Wrap(cbor.Unmarshal(answer, &out), "decode peer reply")
}
