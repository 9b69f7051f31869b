package control

import (
	"slices"
	"time"

	"github.com/cowslipgap/cowslipgap/job"
	"github.com/cowslipgap/cowslipgap/placement"
	"github.com/cowslipgap/cowslipgap/storage"
)

const (
	// settlePace is the pause between questions about ends at workers. Half of
	// what a worker holds a renewal for, after which a report is complete.
	settlePace = 500 * time.Millisecond
	// settleLimit is how long after their leases have lapsed tasks wait for the
	// workers' owners at most: several times what a restarted host takes to claim
	// (docs/OWN-INTERFACE.md), and with the lapse before it less than recentKept.
	settleLimit = 30 * time.Second
)

// settleKey is what tasks have in common whose ends are asked for: the session
// that accepted them, which has ended, or the session that they were forwarded
// to and whose answers were lost.
type settleKey struct{ accepted, at string }

// settling is a group of tasks that may have ended at workers without their job
// having been told. They run again only when whoever owns workers has read what
// ended there.
type settling struct {
	lapsed   time.Time // when all their leases have lapsed
	tasks    []string  // of those forwarded
	asked    time.Time
	inFlight bool
	addrs    map[string]bool // of owners that answers named
}

// EndsQuestion asks an entry host for the ends of tasks that ran at its workers,
// now or under earlier owners.
type EndsQuestion struct {
	Session string   `json:"session,omitempty"` // of tasks of jobs that this session accepted
	Tasks   []string `json:"tasks,omitempty"`   // or of these
	// AgeMillis is how long ago the tasks' leases have lapsed. A time span, so
	// that the clocks of hosts need not agree.
	AgeMillis int64  `json:"ageMillis"`
	At        string `json:"at,omitempty"` // the session that they were forwarded to
}

func (q EndsQuestion) key() settleKey { return settleKey{q.Session, q.At} }

// covers reports whether the session asked for accepted a task's job.
func (q EndsQuestion) covers(task string) bool {
	_, by, ok := SplitJobID(jobOf(task))
	return ok && by == q.Session
}

// EndsAnswer answers an EndsQuestion.
type EndsAnswer struct {
	Token   uint64 `json:"-"`
	Session string `json:"session"`
	Zone    string `json:"zone"`
	// Read says that every worker owned here has reported since the leases
	// lapsed, and that none of the tasks is still in hand here.
	Read bool `json:"read"`
	// Owners are the sessions that own workers of this zone, as known here, with
	// their peer addresses. "" is among them if some worker has no owner.
	Owners map[string]string `json:"owners"`
	Ended  []storage.Outcome `json:"ended,omitempty"`
}

// ends answers a question about ends at workers.
func (s *State) ends(q EndsQuestion) EndsAnswer {
	a := EndsAnswer{Session: s.Session, Zone: s.Zone, Owners: map[string]string{}, Ended: s.endedFor(q)}
	for _, h := range s.listed {
		owner := s.racks[h.Rack].owner
		a.Owners[owner] = ""
		if m := s.members[owner]; m != nil {
			a.Owners[owner] = m.session.PeerAddr
		}
	}
	lapsed := s.now.Add(-time.Duration(q.AgeMillis) * time.Millisecond)
	a.Read = s.listed != nil && s.core.ReadSince(lapsed) && !s.inHand(q)
	return a
}

// inHand reports whether a task asked for was forwarded here and has not ended.
func (s *State) inHand(q EndsQuestion) bool {
	held := func(r *request) bool { return r != nil && r.from != "" && (q.At == "" || r.at != q.At) }
	if q.Session == "" {
		return slices.ContainsFunc(q.Tasks, func(id string) bool { return held(s.requests[id]) })
	}
	for id, r := range s.requests {
		if held(r) && q.covers(id) {
			return true
		}
	}
	return false
}

// settle starts to ask for the ends of the tasks under a key.
func (s *State) settle(key settleKey) *settling {
	g := s.settling[key]
	if g == nil {
		g = &settling{addrs: map[string]bool{}}
		s.settling[key] = g
	}
	return g
}

// settles reports whether a job's tasks wait for ends at workers.
func (s *State) settles(jobID string) bool {
	_, by, _ := SplitJobID(jobID)
	return s.settling[settleKey{accepted: by}] != nil
}

// tendSettling asks for ends, and gives up waiting for them.
func (s *State) tendSettling() {
	for key, g := range s.settling {
		switch {
		case key.at != "" && len(g.tasks) == 0:
			delete(s.settling, key)
		case key.accepted != "" && s.now.Sub(g.lapsed) > settleLimit:
			s.emit(Unsettled{Session: key.accepted})
			delete(s.settling, key)
		case !g.inFlight && s.now.After(g.lapsed) && s.now.Sub(g.asked) >= settlePace:
			g.inFlight, g.asked = true, s.now
			q := EndsQuestion{Session: key.accepted, Tasks: g.tasks, At: key.at, AgeMillis: s.now.Sub(g.lapsed).Milliseconds()}
			if peers := s.endsPeers(g); len(peers) > 0 {
				s.emit(AskEnds{Question: q, Peers: peers})
			} else {
				s.endsTold(EndsTold{Question: q})
			}
		}
	}
}

// endsPeers returns the addresses of the hosts to ask for ends.
func (s *State) endsPeers(g *settling) []string {
	list := s.allPeers()
	for addr := range g.addrs {
		if addr != "" && addr != s.PeerAddr {
			list = append(list, addr)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// endsTold uses what other hosts know of ends, and lets tasks run again if
// nothing can be waiting any more.
func (s *State) endsTold(ev EndsTold) {
	answers := slices.Concat(ev.Answers, []EndsAnswer{s.ends(ev.Question)})
	for _, a := range answers {
		for _, o := range a.Ended {
			s.takeStray(o)
		}
	}
	key := ev.Question.key()
	g := s.settling[key]
	if g == nil {
		return
	}
	g.inFlight = false
	for _, a := range answers {
		for _, addr := range a.Owners {
			g.addrs[addr] = true
		}
	}
	if !s.allRead(answers) {
		return
	}
	delete(s.settling, key)
	for _, id := range ev.Question.Tasks {
		r := s.requests[id]
		if r == nil || r.at != key.at || r.lostAt.IsZero() || s.useStray(id, r) {
			continue
		}
		if s.now.After(s.lapsedAt(r)) { // unless the host has been reached meanwhile
			s.giveUp(id, r)
		}
	}
}

// allRead reports whether every owner of workers in every zone has read them.
func (s *State) allRead(answers []EndsAnswer) bool {
	zones, read := map[string]bool{}, map[string]bool{}
	for _, a := range answers {
		if !a.Read {
			return false
		}
		zones[a.Zone], read[a.Session] = true, true
	}
	for zone := range s.zones {
		if !zones[zone] {
			return false
		}
	}
	for _, a := range answers {
		for owner := range a.Owners {
			if !read[owner] {
				return false
			}
		}
	}
	return true
}

// useStray ends a forwarded task whose answer was lost with the end that was
// read at its worker.
func (s *State) useStray(id string, r *request) bool {
	kept, ok := s.strays[id]
	if !ok {
		return false
	}
	delete(s.strays, id)
	r.lostAt, r.at = time.Time{}, ""
	s.taskEnded(r.task, kept.outcome, "")
	return true
}

// giveUp ends a forwarded task that runs nowhere and whose end is not known.
func (s *State) giveUp(id string, r *request) {
	r.lostAt, r.at = time.Time{}, ""
	o := storage.Outcome{Task: id, End: placement.EndLost, Message: "the host that ran it is out of reach"}
	s.taskEnded(r.task, o, "")
}

// final reports whether a task ran to its end.
func final(o storage.Outcome) bool { return o.End == storage.EndDone || o.End == storage.EndFailed }

// acceptedBy returns the sessions that accepted the open jobs among states.
func acceptedBy(states []job.State) []string {
	var list []string
	for _, st := range states {
		if _, by, ok := SplitJobID(st.Job.ID); ok && st.Open > 0 && !slices.Contains(list, by) {
			list = append(list, by)
		}
	}
	return list
}
