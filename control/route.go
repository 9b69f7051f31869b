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
	// maxHops is how often a task is forwarded at most.
	maxHops = 2
	// peerSilence is how long another host may leave its greetings out before it
	// counts as out of reach, and its forwarded tasks are ended.
	peerSilence = 3 * time.Second
	// greetEvery is the pause between greetings to siblings, and to those that
	// run forwarded tasks.
	greetEvery = time.Second
	// greetBudget is what greetings may cost in bytes a second. Where many
	// siblings or teams would exceed it, greetings that carry the use of teams
	// become rarer.
	greetBudget = 2048
	// bytesPerTeam is about what a team's use takes in a greeting.
	bytesPerTeam  = 42
	greetingBytes = 96
	// maxSent bounds the tasks forwarded to one host and not answered, and so the
	// connections to it; tasks of jobs can wait and get fewer.
	maxSent       = 256
	maxSentOfJobs = 64
	// remoteKept is for how long a report of use counts.
	remoteKept = 30 * time.Second
)

// neighbor is another entry host, as its greetings show it.
type neighbor struct {
	session  string
	addr     string
	zone     string
	greeting peer.Greeting
	heard    time.Time // its last greeting of either direction
	greeted  time.Time // our last greeting to it
	reached  time.Time // when it last answered a greeting of ours
	full     time.Time // our last greeting with the use of teams
	inFlight bool
	sent     int // tasks forwarded to it, and questions about them, not answered
	slack    int64
}

// tendPeers greets the other hosts of the zone.
func (s *State) tendPeers() {
	s.listPeers()
	fullEvery := s.fullEvery()
	carried := s.holder.Successors()
	for session, n := range s.peers {
		if n.addr == "" || n.inFlight || s.now.Sub(n.greeted) < greetEvery {
			continue
		}
		full := s.now.Sub(n.full) >= fullEvery
		needed := n.sent > 0
		for _, c := range carried {
			needed = needed || c == session
		}
		if !full && !needed {
			continue
		}
		n.inFlight, n.greeted = true, s.now
		g := s.greeting(full, n.zone)
		if full {
			n.full = s.now
		}
		g.AskPromise = n.zone == s.Zone
		s.emit(Greet{Session: session, Addr: n.addr, Greeting: g})
	}
}

// neighbor returns what is known of a session. One that is known by its
// greetings or its forwarded tasks alone has no address, and is sent nothing.
func (s *State) neighbor(session string) *neighbor {
	n := s.peers[session]
	if n == nil {
		n = &neighbor{session: session}
		s.peers[session] = n
	}
	return n
}

// listPeers follows the zone's rows.
func (s *State) listPeers() {
	for session, m := range s.members {
		if session == s.Session || m.beatRev == 0 || m.session.State != sessionLive {
			continue
		}
		n := s.neighbor(session)
		n.addr, n.zone = m.beat.PeerAddr, s.Zone
	}
	s.listFarPeers()
	for session, n := range s.peers {
		if n.zone != s.Zone {
			continue
		}
		m := s.members[session]
		gone := m == nil || m.session.State != sessionLive || m.beatRev == 0
		if gone && n.sent == 0 {
			delete(s.peers, session)
		}
	}
}

// listFarPeers picks one entry host of every other zone, the same as long as it
// is listed, and another for each host of this zone as far as there are.
func (s *State) listFarPeers() {
	chosen := map[string]bool{}
	own := slices.Index(s.live(), s.Session)
	for zone, z := range s.zones {
		if zone == s.Zone || len(z.row.Entries) == 0 {
			continue
		}
		e := z.row.Entries[own%len(z.row.Entries)]
		chosen[e.Session] = true
		n := s.neighbor(e.Session)
		n.addr, n.zone = e.PeerAddr, zone
	}
	for session, n := range s.peers {
		if n.zone != s.Zone && !chosen[session] && n.sent == 0 && s.now.Sub(n.heard) > peerSilence {
			delete(s.peers, session)
		}
	}
}

// greeting describes this host; towards another zone, its room and use are
// those of the whole zone.
func (s *State) greeting(full bool, towards string) peer.Greeting {
	l := s.core.Load()
	g := peer.Greeting{
		Session: s.Session, Zone: s.Zone, Leaving: s.draining, FreeSlots: l.FreeSlots, Slots: l.TotalSlots,
		Waiting: int64(l.Waiting), Room: s.core.Room(), Largest: s.core.Largest(),
	}
	if full {
		g.Used = s.core.Used()
	}
	if towards == s.Zone {
		return g
	}
	for _, n := range s.peers {
		if n.zone != s.Zone || s.now.Sub(n.heard) > remoteKept {
			continue
		}
		g.Room = g.Room.Add(n.greeting.Room)
		if full {
			addUse(g.Used, n.greeting.Used)
		}
	}
	return g
}

func addUse(sum, more map[string]resource.Vector) {
	for team, used := range more {
		sum[team] = sum[team].Add(used)
	}
}

func (s *State) greeted(ev Greeted) {
	g := ev.Greeting
	n := s.peers[g.Session]
	if ev.Incoming {
		reply := s.greeting(true, g.Zone)
		if g.AskPromise && g.Zone == s.Zone {
			reply.Promise = s.holder.Grant(s.now, g.Session)
		}
		s.emit(GreetReply{Token: ev.Token, Greeting: reply})
	} else {
		s.endGreet(ev.Addr)
		if g.Promise {
			s.holder.AckPromise(g.Session, ev.Sent)
			s.step(placement.Authority{Until: s.holder.Until()})
		}
		s.noteReplaced(ev.Addr, g.Session)
	}
	if n == nil && !ev.Incoming {
		return
	}
	n = s.neighbor(g.Session)
	n.zone = g.Zone
	if !ev.Incoming {
		if !n.reached.IsZero() {
			s.cutLost(n)
		}
		n.reached = s.now
	}
	used := n.greeting.Used
	n.greeting, n.heard, n.slack = g, s.now, g.FreeSlots
	if g.Used == nil {
		n.greeting.Used = used
	}
	s.pushRemote()
}

// noteReplaced finds the sessions whose address another session answers at.
func (s *State) noteReplaced(addr, session string) {
	for other, n := range s.peers {
		if n.addr == addr && other != session {
			s.holder.Gone(other)
		}
	}
}

func (s *State) endGreet(addr string) {
	for _, n := range s.peers {
		if n.addr == addr {
			n.inFlight = false
		}
	}
}

func (s *State) greetFailed(ev GreetFailed) {
	n := s.peers[ev.Session]
	if n == nil {
		return
	}
	n.inFlight = false
	s.cutLost(n)
}

// cutLost ends the calls to a host that did not answer our greetings for a while,
// though its own may arrive: what was sent in that time may be lost.
func (s *State) cutLost(n *neighbor) {
	if n.sent > 0 && s.now.Sub(n.reached) > peerSilence {
		s.emit(Cut{Addr: n.addr})
	}
}

// pushRemote tells the placement core what the other hosts use.
func (s *State) pushRemote() {
	ev := placement.Remote{Used: map[string]resource.Vector{}}
	far := map[string]*neighbor{} // the last heard of each other zone
	for _, n := range s.peers {
		if s.now.Sub(n.heard) > remoteKept {
			continue
		}
		if n.zone != s.Zone {
			if old := far[n.zone]; old == nil || n.heard.After(old.heard) {
				far[n.zone] = n
			}
			continue
		}
		ev.Room = ev.Room.Add(n.greeting.Room)
		addUse(ev.Used, n.greeting.Used)
	}
	for _, n := range far {
		ev.Room = ev.Room.Add(n.greeting.Room)
		addUse(ev.Used, n.greeting.Used)
	}
	s.step(ev)
}

// usable reports whether a neighbor may be sent a task.
func (s *State) usable(n *neighbor, t task.Task) bool {
	if t.Job != "" && n.sent >= maxSentOfJobs || n.sent >= maxSent {
		return false
	}
	return n.addr != "" && s.now.Sub(n.heard) < s.freshness(n) && !n.greeting.Leaving && n.greeting.Slots > 0 &&
		!slices.Contains(t.Path, n.session) && t.Need.Fits(n.greeting.Largest) && (t.Zone == "" || t.Zone == n.zone)
}

// route places a task here or sends it to another host.
func (s *State) route(t task.Task) {
	if n := s.choose(t); n != nil {
		s.forward(t, n)
		return
	}
	if s.hasWorkers() && (t.Zone == "" || t.Zone == s.Zone) {
		s.step(placement.Submit{Tasks: []task.Task{t}})
		return
	}
	s.taskRefused(t, refusal.New(refusal.NoOwner, "no entry host with workers for it is in reach").After(time.Second))
}

// freshness is how old the last greeting of a neighbor may be. Greetings that
// are paced by their budget come more rarely than once a second.
func (s *State) freshness(n *neighbor) time.Duration {
	if n.sent > 0 {
		return peerSilence
	}
	return max(peerSilence, 3*s.fullEvery())
}

// fullEvery is the pause between greetings with the use of teams that keeps
// them within their budget.
func (s *State) fullEvery() time.Duration {
	bytes := len(s.peers) * (greetingBytes + bytesPerTeam*s.core.ActiveTeams())
	return max(greetEvery, time.Duration(float64(bytes)/greetBudget*float64(time.Second)))
}

func (s *State) hasWorkers() bool { return s.core.Load().Workers > 0 }

// choose returns the host to send a task to, or nil to keep it here.
func (s *State) choose(t task.Task) *neighbor {
	local := s.core.Load()
	here := local.Workers > 0 && s.now.Before(s.holder.Until()) && s.core.Fits(t) && (t.Zone == "" || t.Zone == s.Zone)
	if len(t.Path) >= maxHops || here && local.Waiting == 0 && local.FreeSlots > 0 {
		return nil
	}
	best := s.best(t)
	if best == nil || !here {
		return best
	}
	if best.slack > 0 && best.greeting.Waiting == 0 && local.FreeSlots <= 0 {
		return best
	}
	// Even the queues out, but only where the difference is worth the hop.
	there := float64(best.greeting.Waiting+int64(best.sent)) / float64(best.greeting.Slots)
	if mine := float64(local.Waiting) / float64(max(1, local.TotalSlots)); mine > 2*there+1 {
		return best
	}
	return nil
}

// best returns the least busy host that a task can be sent to, in this zone if
// there is one with room.
func (s *State) best(t task.Task) *neighbor {
	var near, far *neighbor
	for _, n := range s.peers {
		switch {
		case !s.usable(n, t):
		case n.zone == s.Zone:
			if near == nil || busier(near, n) {
				near = n
			}
		case far == nil || busier(far, n):
			far = n
		}
	}
	if near == nil || near.slack <= 0 && far != nil && far.slack > 0 {
		return far
	}
	return near
}

// busier reports whether a has less room than b.
func busier(a, b *neighbor) bool {
	if (a.slack > 0) != (b.slack > 0) {
		return b.slack > 0
	}
	x := float64(a.greeting.Waiting+int64(a.sent)-a.slack) / float64(a.greeting.Slots)
	y := float64(b.greeting.Waiting+int64(b.sent)-b.slack) / float64(b.greeting.Slots)
	if x != y {
		return x > y
	}
	return a.session > b.session
}

func (s *State) forward(t task.Task, n *neighbor) {
	t.Path = append(slices.Clone(t.Path), s.Session)
	if r := s.requests[t.ID]; r != nil {
		r.orders++
		t.Order = r.orders
	}
	n.sent++
	n.slack--
	if r := s.requests[t.ID]; r != nil {
		r.at = n.session
		r.task = t
	}
	s.emit(Forward{Task: t, Session: n.session, Addr: n.addr})
}

// lapseAfterSilence is after what time of silence the tasks forwarded to a host
// have certainly ended there: it ends them itself after peerSilence, and their
// leases lapse if the workers are out of its reach too.
func (s *State) lapseAfterSilence() time.Duration {
	p := s.core.Policy
	return 2*peerSilence + p.StartWindow + p.TaskLease + 2*p.ClockMargin
}
