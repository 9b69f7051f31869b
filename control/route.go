package control

import (
	"slices"
	"time"

	"github.com/cowslipgap/cowslipgap/peer"
	"github.com/cowslipgap/cowslipgap/placement"
	"github.com/cowslipgap/cowslipgap/refusal"
	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/task"
)

const (
	// maxHops limits how often a task is forwarded.
	maxHops = 2
	// peerTimeout is how long another host may send no greeting before it counts
	// as unreachable and the tasks that it forwarded are cancelled.
	peerTimeout = 3 * time.Second
	// greetingInterval is the interval between greetings to the successor and to
	// hosts that run forwarded tasks, and the minimum for all other hosts.
	greetingInterval = time.Second
	// greetingBytesPerSecond limits the traffic of greetings. If many peers or
	// teams would exceed it, greetings that carry the usage of teams are sent
	// less often.
	greetingBytesPerSecond = 2048
	// greetingBytesPerTeam is the approximate size of a team's usage in a greeting.
	greetingBytesPerTeam = 42
	greetingBaseBytes    = 96
	// maxForwarded limits the tasks that are forwarded to one host and not yet
	// answered, and so the connections to it. Tasks of jobs can wait, so they
	// have a lower limit.
	maxForwarded         = 256
	maxForwardedJobTasks = 64
	// remoteUsageTTL is how long a usage report of another host counts.
	remoteUsageTTL = 30 * time.Second
)

// peerState is what this host knows of another entry host from its greetings.
type peerState struct {
	session     string
	addr        string
	zone        string
	greeting    peer.Greeting
	lastHeard   time.Time // when it last sent a greeting, a reply to one, or a task
	lastGreeted time.Time // when this host last sent it a greeting
	lastReached time.Time // when it last answered a greeting of this host
	lastFull    time.Time // when this host last sent it a greeting with the usage of teams
	inFlight    bool
	outstanding int   // forwarded tasks and queries about them that it has not answered
	freeSlots   int64 // estimate: reported free slots minus tasks forwarded since
}

// greetPeers sends greetings to other hosts that are due.
func (s *State) greetPeers() {
	s.refreshPeers()
	fullInterval := s.fullGreetingInterval()
	successors := s.lease.Successors()
	for session, p := range s.peers {
		if p.addr == "" || p.inFlight || s.now.Sub(p.lastGreeted) < greetingInterval {
			continue
		}
		full := s.now.Sub(p.lastFull) >= fullInterval
		required := p.outstanding > 0
		for _, successor := range successors {
			required = required || successor == session
		}
		if !full && !required {
			continue
		}
		p.inFlight, p.lastGreeted = true, s.now
		g := s.greeting(full, p.zone)
		if full {
			p.lastFull = s.now
		}
		g.RequestPromise = p.zone == s.Zone
		s.emit(Greet{Session: session, Addr: p.addr, Greeting: g})
	}
}

// ensurePeer returns the state of a peer, and creates it if there is none. A peer
// known only from its greetings or forwarded tasks has no address, and is sent
// nothing.
func (s *State) ensurePeer(session string) *peerState {
	p := s.peers[session]
	if p == nil {
		p = &peerState{session: session}
		s.peers[session] = p
	}
	return p
}

// refreshPeers updates the list of peers from the rows of the zones.
func (s *State) refreshPeers() {
	for session, m := range s.members {
		if session == s.Session || m.heartbeatRevision == 0 || m.sessionRow.State != sessionLive {
			continue
		}
		p := s.ensurePeer(session)
		p.addr, p.zone = m.heartbeatRow.PeerAddr, s.Zone
	}
	s.refreshOtherZonePeers()
	for session, p := range s.peers {
		if p.zone != s.Zone {
			continue
		}
		m := s.members[session]
		gone := m == nil || m.sessionRow.State != sessionLive || m.heartbeatRevision == 0
		if gone && p.outstanding == 0 {
			delete(s.peers, session)
		}
	}
}

// refreshOtherZonePeers picks one entry host of every other zone. The choice
// depends on the position of this session among the live ones, so that the hosts
// of this zone pick different hosts as far as there are enough.
func (s *State) refreshOtherZonePeers() {
	chosen := map[string]bool{}
	ownIndex := slices.Index(s.liveSessions(), s.Session)
	for zone, z := range s.zones {
		if zone == s.Zone || len(z.row.Entries) == 0 {
			continue
		}
		e := z.row.Entries[ownIndex%len(z.row.Entries)]
		chosen[e.Session] = true
		p := s.ensurePeer(e.Session)
		p.addr, p.zone = e.PeerAddr, zone
	}
	for session, p := range s.peers {
		if p.zone != s.Zone && !chosen[session] && p.outstanding == 0 && s.now.Sub(p.lastHeard) > peerTimeout {
			delete(s.peers, session)
		}
	}
}

// greeting returns a greeting that describes this host. To another zone it reports
// the capacity and usage of this whole zone.
func (s *State) greeting(full bool, toZone string) peer.Greeting {
	l := s.core.Load()
	g := peer.Greeting{
		Session: s.Session, Zone: s.Zone, Leaving: s.draining, FreeSlots: l.FreeSlots, Slots: l.TotalSlots,
		Waiting: int64(l.Waiting), Capacity: s.core.TotalCapacity(), Largest: s.core.LargestCapacity(),
	}
	if full {
		g.Used = s.core.Used()
	}
	if toZone == s.Zone {
		return g
	}
	for _, p := range s.peers {
		if p.zone != s.Zone || s.now.Sub(p.lastHeard) > remoteUsageTTL {
			continue
		}
		g.Capacity = g.Capacity.Add(p.greeting.Capacity)
		if full {
			addUsage(g.Used, p.greeting.Used)
		}
	}
	return g
}

func addUsage(sum, other map[string]resource.Vector) {
	for team, used := range other {
		sum[team] = sum[team].Add(used)
	}
}

func (s *State) handleGreeting(ev Greeted) {
	g := ev.Greeting
	p := s.peers[g.Session]
	if ev.Incoming {
		reply := s.greeting(true, g.Zone)
		if g.RequestPromise && g.Zone == s.Zone {
			reply.Promise = s.lease.Grant(s.now, g.Session)
		}
		s.emit(GreetReply{Token: ev.Token, Greeting: reply})
	} else {
		s.greetingDone(ev.Addr)
		if g.Promise {
			s.lease.AckPromise(g.Session, ev.Sent)
			s.updateCore(placement.Authority{Until: s.lease.AuthorityEnd()})
		}
		s.markReplaced(ev.Addr, g.Session)
	}
	if p == nil && !ev.Incoming {
		return
	}
	p = s.ensurePeer(g.Session)
	p.zone = g.Zone
	if !ev.Incoming {
		if !p.lastReached.IsZero() {
			s.closeUnreachable(p)
		}
		p.lastReached = s.now
	}
	used := p.greeting.Used
	p.greeting, p.lastHeard, p.freeSlots = g, s.now, g.FreeSlots
	if g.Used == nil {
		p.greeting.Used = used
	}
	s.pushRemote()
}

// markReplaced marks the other sessions at an address as gone: the given session
// answers there now.
func (s *State) markReplaced(addr, session string) {
	for other, p := range s.peers {
		if p.addr == addr && other != session {
			s.lease.MarkGone(other)
		}
	}
}

// greetingDone records that no greeting to an address is in flight any more.
func (s *State) greetingDone(addr string) {
	for _, p := range s.peers {
		if p.addr == addr {
			p.inFlight = false
		}
	}
}

func (s *State) greetingFailed(ev GreetFailed) {
	p := s.peers[ev.Session]
	if p == nil {
		return
	}
	p.inFlight = false
	s.closeUnreachable(p)
}

// closeUnreachable closes the connections to a host that has not answered
// greetings for peerTimeout, even if its own greetings arrive: calls sent to it in
// that time may be lost.
func (s *State) closeUnreachable(p *peerState) {
	if p.outstanding > 0 && s.now.Sub(p.lastReached) > peerTimeout {
		s.emit(CloseConnections{Addr: p.addr})
	}
}

// pushRemote passes the capacity and usage of other hosts to the placement core.
func (s *State) pushRemote() {
	ev := placement.RemoteUse{Used: map[string]resource.Vector{}}
	otherZones := map[string]*peerState{} // the peer heard from last, by zone
	for _, p := range s.peers {
		if s.now.Sub(p.lastHeard) > remoteUsageTTL {
			continue
		}
		if p.zone != s.Zone {
			if known := otherZones[p.zone]; known == nil || p.lastHeard.After(known.lastHeard) {
				otherZones[p.zone] = p
			}
			continue
		}
		ev.Capacity = ev.Capacity.Add(p.greeting.Capacity)
		addUsage(ev.Used, p.greeting.Used)
	}
	for _, p := range otherZones {
		ev.Capacity = ev.Capacity.Add(p.greeting.Capacity)
		addUsage(ev.Used, p.greeting.Used)
	}
	s.updateCore(ev)
}

// canForwardTo reports whether a peer may be sent a task.
func (s *State) canForwardTo(p *peerState, t task.Task) bool {
	if t.Job != "" && p.outstanding >= maxForwardedJobTasks || p.outstanding >= maxForwarded {
		return false
	}
	return p.addr != "" && s.now.Sub(p.lastHeard) < s.maxGreetingAge(p) && !p.greeting.Leaving && p.greeting.Slots > 0 &&
		!slices.Contains(t.Path, p.session) && t.Need.Fits(p.greeting.Largest) && (t.Zone == "" || t.Zone == p.zone)
}

// routeTask places a task here or forwards it to another host.
func (s *State) routeTask(t task.Task) {
	if p := s.choosePeer(t); p != nil {
		s.forward(t, p)
		return
	}
	if s.hasWorkers() && (t.Zone == "" || t.Zone == s.Zone) {
		s.updateCore(placement.Submit{Tasks: []task.Task{t}})
		return
	}
	s.taskRefused(t, refusal.New(refusal.NoOwner, "no reachable entry host has workers for the task").WithRetryAfter(time.Second))
}

// maxGreetingAge returns how old the last greeting of a peer may be. Greetings
// limited by greetingBytesPerSecond arrive less often than once a second.
func (s *State) maxGreetingAge(p *peerState) time.Duration {
	if p.outstanding > 0 {
		return peerTimeout
	}
	return max(peerTimeout, 3*s.fullGreetingInterval())
}

// fullGreetingInterval returns the interval between greetings with the usage of
// teams that keeps them within greetingBytesPerSecond.
func (s *State) fullGreetingInterval() time.Duration {
	bytes := len(s.peers) * (greetingBaseBytes + greetingBytesPerTeam*s.core.ActiveTeams())
	return max(greetingInterval, time.Duration(float64(bytes)/greetingBytesPerSecond*float64(time.Second)))
}

func (s *State) hasWorkers() bool { return s.core.Load().Workers > 0 }

// choosePeer returns the host to forward a task to, or nil to keep it here.
func (s *State) choosePeer(t task.Task) *peerState {
	local := s.core.Load()
	canRunHere := local.Workers > 0 && s.now.Before(s.lease.AuthorityEnd()) && s.core.Fits(t) && (t.Zone == "" || t.Zone == s.Zone)
	if len(t.Path) >= maxHops || canRunHere && local.Waiting == 0 && local.FreeSlots > 0 {
		return nil
	}
	best := s.bestPeer(t)
	if best == nil || !canRunHere {
		return best
	}
	if best.freeSlots > 0 && best.greeting.Waiting == 0 && local.FreeSlots <= 0 {
		return best
	}
	// Forwards to balance the queues only if the queue here, per slot, is longer than
	// twice the peer's, with the tasks forwarded to it, plus one.
	peerLoad := float64(best.greeting.Waiting+int64(best.outstanding)) / float64(best.greeting.Slots)
	if localLoad := float64(local.Waiting) / float64(max(1, local.TotalSlots)); localLoad > 2*peerLoad+1 {
		return best
	}
	return nil
}

// bestPeer returns the least busy host to which a task can be forwarded. It
// prefers hosts of this zone, unless only another zone has free slots.
func (s *State) bestPeer(t task.Task) *peerState {
	var sameZone, otherZone *peerState
	for _, p := range s.peers {
		switch {
		case !s.canForwardTo(p, t):
		case p.zone == s.Zone:
			if sameZone == nil || isBusier(sameZone, p) {
				sameZone = p
			}
		case otherZone == nil || isBusier(otherZone, p):
			otherZone = p
		}
	}
	if sameZone == nil || sameZone.freeSlots <= 0 && otherZone != nil && otherZone.freeSlots > 0 {
		return otherZone
	}
	return sameZone
}

// isBusier reports whether a is busier than b: only b has free slots or, if both or
// neither have, a has more waiting and forwarded tasks per slot, less its free slots.
func isBusier(a, b *peerState) bool {
	if (a.freeSlots > 0) != (b.freeSlots > 0) {
		return b.freeSlots > 0
	}
	x := float64(a.greeting.Waiting+int64(a.outstanding)-a.freeSlots) / float64(a.greeting.Slots)
	y := float64(b.greeting.Waiting+int64(b.outstanding)-b.freeSlots) / float64(b.greeting.Slots)
	if x != y {
		return x > y
	}
	return a.session > b.session
}

func (s *State) forward(t task.Task, p *peerState) {
	t.Path = append(slices.Clone(t.Path), s.Session)
	if r := s.requests[t.ID]; r != nil {
		r.forwardCount++
		t.ForwardCount = r.forwardCount
	}
	p.outstanding++
	p.freeSlots--
	if r := s.requests[t.ID]; r != nil {
		r.forwardedTo = p.session
		r.task = t
	}
	s.emit(Forward{Task: t, Session: p.session, Addr: p.addr})
}

// forwardLapseTime returns how long a host must be silent until the tasks forwarded
// to it have certainly ended there. The host ends them itself after peerTimeout; if
// it cannot reach the workers either, the leases of the tasks lapse.
func (s *State) forwardLapseTime() time.Duration {
	p := s.core.Policy
	return 2*peerTimeout + p.StartWindow + p.TaskLease + 2*p.ClockMargin
}
