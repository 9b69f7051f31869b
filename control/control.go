// Package control implements the control loop of one entry host as a reducer.
// [State.Update] takes an event and the current time and returns the effects to
// carry out as data. One goroutine of the runtime owns the State and passes it
// the events; other goroutines carry out the effects.
//
// The State combines the packages that make the decisions: placement (which
// worker runs a task), lease (until when this host may act as an owner), job
// (accepted jobs), allotment (upper limits of teams) and the records in effect.
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
	"maps"
	"slices"
	"time"

	"github.com/cowslipgap/cowslipgap/catalog"
	"github.com/cowslipgap/cowslipgap/job"
	"github.com/cowslipgap/cowslipgap/lease"
	"github.com/cowslipgap/cowslipgap/placement"
	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/storage"
)

// Config holds the settings with which a State is created.
type Config struct {
	Session   string // unique to this process
	Name      string // name of the entry host
	Zone      string
	PeerAddr  string
	HTTPAddr  string
	Heartbeat time.Duration
	Rules     lease.Rules
	Placement placement.Policy
	// WritesPerSecond is the rate at which all entry hosts together may write
	// heartbeats and journal segments to the table.
	WritesPerSecond int
	MaxJobBytes     int64 // memory that accepted jobs may take; 0: no bound
}

// State is the control state of one entry host.
type State struct {
	Config

	now          time.Time
	effects      []any
	core         placement.Core
	lease        lease.Holder
	acceptedJobs job.Tracker
	catalog      *catalog.Catalog

	members       map[string]*member // hosts of this availability zone, by session
	racks         map[string]rackState
	listedWorkers []storage.Worker // workers in the list of the platform
	peers         map[string]*peerState
	heartbeat     heartbeatState
	claims        map[string]bool // claims in flight, by session or "rack/" and the name of the rack
	started       time.Time
	draining      bool
	released      bool

	requests        map[string]*request
	recentAnswers   map[string]recentAnswer // answers to forwarded tasks, kept for repeated requests
	retryBudget     retryBudget
	dispatching     map[string]*dispatchState
	dispatchOrder   []string
	journalingBytes int64          // memory of the jobs that wait for their journal write
	journalWaiters  map[uint64]any // operations that wait for a journal write, by token of the batch
	nextID          uint64
	adopting        map[string]time.Time // sessions whose journal is being read, and since when
	absorbed        map[string]bool      // sessions whose jobs this host has added to its own
	orphans         map[string]orphan    // outcomes of tasks whose job this host does not have, by task ID
	reconciliations map[reconcileKey]*reconciliation

	zones             map[string]zoneState
	zoneWriteInFlight bool

	quotas        map[string]*quota
	teamsPushedAt time.Time            // when limits were last passed to the placement core
	takenOverAt   map[string]time.Time // when a session was first seen to be taken over
}

// New returns the State of a session that has not written to the table yet.
func New(cfg Config) *State {
	s := &State{Config: cfg, catalog: &catalog.Catalog{}}
	s.core.Policy = cfg.Placement
	s.lease = lease.Holder{Self: cfg.Session, Addr: cfg.PeerAddr, Rules: cfg.Rules}
	s.members = map[string]*member{}
	s.racks = map[string]rackState{}
	s.peers = map[string]*peerState{}
	s.claims = map[string]bool{}
	s.requests = map[string]*request{}
	s.recentAnswers = map[string]recentAnswer{}
	s.dispatching = map[string]*dispatchState{}
	s.journalWaiters = map[uint64]any{}
	s.adopting = map[string]time.Time{}
	s.absorbed = map[string]bool{}
	s.orphans = map[string]orphan{}
	s.reconciliations = map[reconcileKey]*reconciliation{}
	s.quotas = map[string]*quota{}
	s.zones = map[string]zoneState{}
	s.takenOverAt = map[string]time.Time{}
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
		s.updateCore(ev)
	case Request:
		s.handleRequest(ev)
	case Forwarded:
		s.handleForwarded(ev)
	case CancelRequest:
		s.handleCancelRequest(ev)
	case ForwardDone:
		s.forwardDone(ev)
	case SubmitJob:
		s.submitJob(ev)
	case CancelJob:
		s.cancelJob(ev)
	case Query:
		s.handleQuery(ev)
	case Journaled:
		s.journalDone(ev)
	case Adopted:
		s.handleAdopted(ev)
	case Catalog:
		s.setCatalog(ev)
	case ZoneRows:
		s.applyZoneRows(ev)
	case AllotmentRows:
		s.applyAllotmentRows(ev)
	case AllotmentDone:
		s.allotmentDone(ev)
	case ZoneList:
		s.applyZoneList(ev)
	case ZoneDone:
		s.zoneDone(ev)
	case Workers:
		s.setWorkers(ev)
	case HeartbeatDone:
		s.heartbeatDone(ev)
	case ClaimDone:
		s.claimDone(ev)
	case Greeted:
		s.handleGreeting(ev)
	case GreetFailed:
		s.greetingFailed(ev)
	case Drain:
		s.draining = true
	case Release:
		s.release()
	case Deliver:
		s.emit(ev.Answer)
	case QueryForwarded:
		s.emit(ForwardedOutcomes{Token: ev.Token, Ended: s.knownOutcomes(OutcomeQuery{Session: ev.Session})})
	case QueryOutcomes:
		a := s.outcomeReport(ev.Query)
		a.Token = ev.Token
		s.emit(a)
	case OutcomeReports:
		s.handleOutcomes(ev)
	case TakeSnapshot:
		s.takeSnapshot()
	case Tick:
		s.tick()
	}
	return s.effects
}

// takeSnapshot emits a snapshot of the accepted jobs. Batches whose results have not
// arrived may be written, but are not applied to the accepted jobs yet.
func (s *State) takeSnapshot() {
	s.emit(Snapshot{States: s.acceptedJobs.Snapshot(), Unapplied: slices.Collect(maps.Keys(s.journalWaiters))})
}

func (s *State) emit(e any) { s.effects = append(s.effects, e) }

// updateCore passes an event to the placement core. It handles the effects that
// concern callers and jobs, and emits the others.
func (s *State) updateCore(ev placement.Event) {
	// Copied, because the core reuses its slice and handling an effect may call
	// Update again.
	effects := append([]placement.Effect(nil), s.core.Update(s.now, ev)...)
	for _, e := range effects {
		switch e := e.(type) {
		case placement.Refuse:
			s.taskRefused(e.Task, e.Refusal)
		case placement.Finish:
			s.taskEnded(e.Task, e.Outcome, e.Worker)
		case placement.UnknownTaskEnded:
			s.handleOrphan(e.Outcome)
		default:
			s.emit(e)
		}
	}
}

// tick does the periodic work.
func (s *State) tick() {
	s.updateCore(placement.Authority{Until: s.lease.AuthorityEnd()})
	s.updateCore(placement.Tick{})
	s.maintainMembership()
	s.greetPeers()
	s.updateQuotas()
	s.dispatchJobs()
	s.maintainRequests()
}

// Ready reports whether this host can serve requests: it has read the records,
// its heartbeat is in the table, and it is neither shutting down nor fenced.
func (s *State) Ready() bool {
	return s.catalog.Revision > 0 && s.heartbeat.revision > 0 && !s.draining && !s.lease.Fenced()
}

// Fenced reports whether another host has taken over this session.
func (s *State) Fenced() bool { return s.lease.Fenced() }

// Busy returns the number of tasks that callers or other hosts wait for. Tasks of
// this host's own jobs do not count: the host that takes over the jobs continues
// them.
func (s *State) Busy() int {
	count := 0
	for _, r := range s.requests {
		if r.sender != "" || r.task.Job == "" {
			count++
		}
	}
	return count
}

// Summary describes the load of a State, for metrics and operators.
type Summary struct {
	Session   string                        `json:"session"`
	Racks     int                           `json:"racks"`
	Load      placement.Load                `json:"load"`
	Requests  int                           `json:"requests"`
	Jobs      int                           `json:"jobs"`
	Members   []string                      `json:"members"`
	Authority time.Time                     `json:"authority"`
	Revision  uint64                        `json:"revision"`
	Capacity  resource.Vector               `json:"room"`
	Teams     map[string]placement.TeamLoad `json:"teams"`
	Sent      map[string]int                `json:"sent"` // forwarded tasks without an answer, by session
}

// Summary returns the current summary.
func (s *State) Summary() Summary {
	sum := Summary{
		Session: s.Session, Load: s.core.Load(), Requests: len(s.requests), Jobs: s.acceptedJobs.Len(),
		Authority: s.lease.AuthorityEnd(), Revision: s.catalog.Revision, Capacity: s.core.TotalCapacity(), Teams: s.core.Teams(), Sent: map[string]int{},
	}
	for _, r := range s.requests {
		if r.forwardedTo != "" {
			sum.Sent[r.forwardedTo]++
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
	s.catalog = ev.Catalog
	s.pushTeams()
	s.pushWorkers()
}
