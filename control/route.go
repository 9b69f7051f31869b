package control

import (
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
	bytesPerTeam  = 24
	greetingBytes = 96
)

// neighbor is another entry host, as its greetings show it.
type neighbor struct {
	session  string
	addr     string
	zone     string
	greeting peer.Greeting
	heard    time.Time // its last greeting of either direction
	greeted  time.Time // our last greeting to it
	full     time.Time // our last greeting with the use of teams
	inFlight bool
	sent     int // tasks forwarded to it and not answered
	slack    int64
}

// tendPeers greets the other hosts of the zone.
func (s *State) tendPeers() {
	s.listPeers()
	siblings := max(1, len(s.peers))
	fullEvery := time.Duration(float64(siblings*(greetingBytes+bytesPerTeam*s.core.ActiveTeams())) / greetBudget * float64(time.Second))
	carried := s.holder.Successors()
	for session, n := range s.peers {
		if n.inFlight || s.now.Sub(n.greeted) < greetEvery {
			continue
		}
		full := s.now.Sub(n.full) >= max(greetEvery, fullEvery)
		needed := n.sent > 0
		for _, c := range carried {
			needed = needed || c == session
		}
		if !full && !needed {
			continue
		}
		n.inFlight, n.greeted = true, s.now
		g := s.greeting(full)
		if full {
			n.full = s.now
		}
		g.AskPromise = true
		s.emit(Greet{Session: session, Addr: n.addr, Greeting: g})
	}
}

// listPeers follows the zone's rows.
func (s *State) listPeers() {
	for session, m := range s.members {
		if session == s.Session || m.beatRev == 0 || m.session.State != sessionLive {
			continue
		}
		if s.peers[session] == nil {
			s.peers[session] = &neighbor{session: session, addr: m.beat.PeerAddr, zone: s.Zone}
		}
	}
	for session, n := range s.peers {
		m := s.members[session]
		gone := m == nil || m.session.State != sessionLive || m.beatRev == 0
		if gone && n.sent == 0 {
			delete(s.peers, session)
		}
	}
}

func (s *State) greeting(full bool) peer.Greeting {
	l := s.core.Load()
	g := peer.Greeting{
		Session: s.Session, Zone: s.Zone, Leaving: s.draining, FreeSlots: l.FreeSlots, Slots: l.TotalSlots,
		Waiting: int64(l.Waiting), Room: s.core.Room(), Largest: s.core.Largest(),
	}
	if full {
		g.Used = s.core.Used()
	}
	return g
}

func (s *State) greeted(ev Greeted) {
	g := ev.Greeting
	n := s.peers[g.Session]
	if ev.Incoming {
		reply := s.greeting(true)
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
	if n == nil {
		return
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
	if n.sent > 0 && s.now.Sub(n.heard) > peerSilence {
		s.emit(Cut{Addr: n.addr})
	}
}

// pushRemote tells the placement core what the other hosts use.
func (s *State) pushRemote() {
	ev := placement.Remote{Used: map[string]resource.Vector{}}
	for _, n := range s.peers {
		if s.now.Sub(n.heard) > 10*peerSilence {
			continue
		}
		ev.Room = ev.Room.Add(n.greeting.Room)
		for team, used := range n.greeting.Used {
			ev.Used[team] = ev.Used[team].Add(used)
		}
	}
	s.step(ev)
}

// usable reports whether a neighbor may be sent a task.
func (s *State) usable(n *neighbor, t task.Task) bool {
	return s.now.Sub(n.heard) < peerSilence && !n.greeting.Leaving && n.greeting.Slots > 0 &&
		t.Need.Fits(n.greeting.Largest) && (t.Zone == "" || t.Zone == n.zone)
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

func (s *State) hasWorkers() bool { return s.core.Load().Workers > 0 }

// choose returns the host to send a task to, or nil to keep it here.
func (s *State) choose(t task.Task) *neighbor {
	local := s.core.Load()
	here := local.Workers > 0 && s.now.Before(s.holder.Until()) && s.core.Fits(t) && (t.Zone == "" || t.Zone == s.Zone)
	if t.Hops >= maxHops || here && local.Waiting == 0 && local.FreeSlots > 0 {
		return nil
	}
	var best *neighbor
	for _, n := range s.peers {
		if s.usable(n, t) && (best == nil || busier(best, n)) {
			best = n
		}
	}
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
	t.Hops++
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
