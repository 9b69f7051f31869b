// Package control is the control state of one entry host: a single reducer over
// everything that happens to it. [State.Update] takes an event and the time and
// returns effects as data; one goroutine of the runtime owns the State, feeds it
// and carries the effects out on others.
//
// The State joins the parts that decide: package placement (what runs where),
// package lease (until when this host may act), package job (what was
// accepted), package allotment (upper limits) and the records in force.
//
// # Usage
//
//	s := control.New(control.Config{Session: "a1-x7", Zone: "a", ...})
//	for _, e := range s.Update(time.Now(), control.Request{Task: t}) {
//		switch e := e.(type) {
//		case control.Answer:
//			// Tell the caller.
//		}
//	}
package control

import (
	"time"

	"github.com/cowslipgap/cowslipgap/catalog"
	"github.com/cowslipgap/cowslipgap/job"
	"github.com/cowslipgap/cowslipgap/lease"
	"github.com/cowslipgap/cowslipgap/placement"
	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/storage"
)

// Config is what a State is told at its start.
type Config struct {
	Session   string // unique to this process
	Name      string // of the entry host
	Zone      string
	PeerAddr  string
	HTTPAddr  string
	Heartbeat time.Duration
	Rules     lease.Rules
	Placement placement.Policy
	// WritesPerSecond is the part of the table's budget that the whole fleet
	// spends on heartbeats and journals.
	WritesPerSecond int
}

// State is the control state of one entry host.
type State struct {
	Config

	now     time.Time
	effects []any
	core    placement.Core
	holder  lease.Holder
	book    job.Book
	cat     *catalog.Catalog

	members  map[string]*member // hosts of this availability zone, by session
	racks    map[string]rackState
	listed   []storage.Host // the platform's list
	peers    map[string]*neighbor
	beat     beatState
	claims   map[string]bool // claims in flight, by session or rack
	started  time.Time
	draining bool
	released bool

	requests map[string]*request
	recent   map[string]result // outcomes of forwarded tasks, for repeats
	budget   retryBudget
	jobs     map[string]*work
	jobOrder []string
	tokens   map[uint64]any // what waits for the journal
	nextID   uint64
	adopting map[string]time.Time // sessions whose journal is being read
	absorbed map[string]bool
	strays   map[string]stray // ends of tasks whose job is not known here, by ID
	settling map[settleKey]*settling

	zones        map[string]zoneState
	zoneInFlight bool

	quotas  map[string]*quota
	pushed  time.Time            // when limits were last told to the placement core
	endedAt map[string]time.Time // when sessions were first seen to be taken over
}

// New returns the State of a session that has not yet reached the table.
func New(cfg Config) *State {
	s := &State{Config: cfg, cat: &catalog.Catalog{}}
	s.core.Policy = cfg.Placement
	s.holder = lease.Holder{Self: cfg.Session, Addr: cfg.PeerAddr, Rules: cfg.Rules}
	s.members = map[string]*member{}
	s.racks = map[string]rackState{}
	s.peers = map[string]*neighbor{}
	s.claims = map[string]bool{}
	s.requests = map[string]*request{}
	s.recent = map[string]result{}
	s.jobs = map[string]*work{}
	s.tokens = map[uint64]any{}
	s.adopting = map[string]time.Time{}
	s.absorbed = map[string]bool{}
	s.strays = map[string]stray{}
	s.settling = map[settleKey]*settling{}
	s.quotas = map[string]*quota{}
	s.zones = map[string]zoneState{}
	s.endedAt = map[string]time.Time{}
	return s
}

// Update applies one event at the given time and returns the effects in order.
// The slice is valid until the next call.
func (s *State) Update(now time.Time, ev any) []any {
	s.now = now
	if s.started.IsZero() {
		s.started = now
	}
	clear(s.effects)
	s.effects = s.effects[:0]
	switch ev := ev.(type) {
	case placement.Event:
		s.step(ev)
	case Request:
		s.request(ev)
	case Forwarded:
		s.takeForwarded(ev)
	case Withdraw:
		s.withdraw(ev)
	case ForwardDone:
		s.forwardDone(ev)
	case SubmitJob:
		s.submitJob(ev)
	case CancelJob:
		s.cancelJob(ev)
	case Query:
		s.query(ev)
	case Journaled:
		s.journaled(ev)
	case Adopted:
		s.adopted(ev)
	case Catalog:
		s.setCatalog(ev)
	case ZoneRows:
		s.takeZoneRows(ev)
	case AllotmentRows:
		s.takeAllotments(ev)
	case AllotmentDone:
		s.allotmentDone(ev)
	case ZoneList:
		s.takeZones(ev)
	case ZoneDone:
		s.zoneDone(ev)
	case Hosts:
		s.setHosts(ev)
	case BeatDone:
		s.beatDone(ev)
	case ClaimDone:
		s.claimDone(ev)
	case Greeted:
		s.greeted(ev)
	case GreetFailed:
		s.greetFailed(ev)
	case Drain:
		s.draining = true
	case Release:
		s.release()
	case Deliver:
		s.emit(ev.Answer)
	case QueryEnded:
		s.emit(EndedAnswer{Token: ev.Token, Ended: s.endedFor(EndsQuestion{Session: ev.Session})})
	case QueryEnds:
		a := s.ends(ev.Question)
		a.Token = ev.Token
		s.emit(a)
	case EndsTold:
		s.endsTold(ev)
	case TakeSnapshot:
		s.emit(Snapshot{States: s.book.Snapshot()})
	case Tick:
		s.tick()
	}
	return s.effects
}

func (s *State) emit(e any) { s.effects = append(s.effects, e) }

// step runs the placement core and handles what concerns callers and jobs.
func (s *State) step(ev placement.Event) {
	// The core reuses its slice, and handling an effect may run it again.
	effects := append([]placement.Effect(nil), s.core.Update(s.now, ev)...)
	for _, e := range effects {
		switch e := e.(type) {
		case placement.Refuse:
			s.taskRefused(e.Task, e.Refusal)
		case placement.Finish:
			s.taskEnded(e.Task, e.Outcome, e.Worker)
		case placement.Stray:
			s.takeStray(e.Outcome)
		default:
			s.emit(e)
		}
	}
}

// tick does what depends on time alone.
func (s *State) tick() {
	s.step(placement.Authority{Until: s.holder.Until()})
	s.step(placement.Tick{})
	s.tendMembers()
	s.tendPeers()
	s.tendQuotas()
	s.tendJobs()
	s.tendRequests()
}

// Ready reports whether this host can serve: it has the records and a part in
// its availability zone.
func (s *State) Ready() bool {
	return s.cat.Revision > 0 && s.beat.revision > 0 && !s.draining && !s.holder.Fenced()
}

// Fenced reports whether a sibling has taken this session over.
func (s *State) Fenced() bool { return s.holder.Fenced() }

// Busy returns how many callers and other hosts wait for tasks here. Tasks of
// jobs that this host keeps do not count: whoever takes the jobs over goes on
// with them.
func (s *State) Busy() int {
	count := 0
	for _, r := range s.requests {
		if r.from != "" || r.task.Job == "" {
			count++
		}
	}
	return count
}

// Summary is the State's load, for metrics and operators.
type Summary struct {
	Session   string                        `json:"session"`
	Racks     int                           `json:"racks"`
	Load      placement.Load                `json:"load"`
	Requests  int                           `json:"requests"`
	Jobs      int                           `json:"jobs"`
	Members   []string                      `json:"members"`
	Authority time.Time                     `json:"authority"`
	Revision  uint64                        `json:"revision"`
	Room      resource.Vector               `json:"room"`
	Teams     map[string]placement.TeamLoad `json:"teams"`
	Sent      map[string]int                `json:"sent"` // tasks forwarded and not answered, by session
}

// Summary returns the present summary.
func (s *State) Summary() Summary {
	sum := Summary{
		Session: s.Session, Load: s.core.Load(), Requests: len(s.requests), Jobs: s.book.Len(),
		Authority: s.holder.Until(), Revision: s.cat.Revision, Room: s.core.Room(), Teams: s.core.Teams(), Sent: map[string]int{},
	}
	for _, r := range s.requests {
		if r.at != "" {
			sum.Sent[r.at]++
		}
	}
	for _, r := range s.racks {
		if r.owner == s.Session {
			sum.Racks++
		}
	}
	for session := range s.members {
		sum.Members = append(sum.Members, session)
	}
	return sum
}

func (s *State) setCatalog(ev Catalog) {
	s.cat = ev.Catalog
	s.pushTeams()
	s.pushWorkers()
}
