package control

import (
	"slices"
	"time"

	"github.com/cowslipgap/cowslipgap/job"
	"github.com/cowslipgap/cowslipgap/placement"
	"github.com/cowslipgap/cowslipgap/storage"
)

const (
	// outcomeQueryInterval is the interval between queries for outcomes at
	// workers. It is half of the time for which a worker holds a renewal request
	// open; the report of the worker is complete after that time.
	outcomeQueryInterval = 500 * time.Millisecond
	// outcomeQueryTimeout is how long tasks whose leases have lapsed wait for the
	// owners of workers to answer. It is several times as long as a restarted host
	// takes to claim its racks (docs/OWN-INTERFACE.md). Together with the time until the
	// leases lapse, it is shorter than recentAnswerTTL.
	outcomeQueryTimeout = 30 * time.Second
)

// reconcileKey identifies a group of tasks whose outcomes are queried: either
// those accepted by a session that has ended, or those forwarded to a session
// whose answers were lost.
type reconcileKey struct{ acceptedBy, forwardedTo string }

// reconciliation is a group of tasks that may have ended at workers without this
// being reported to their job. They run again only after every owner of workers
// has read which tasks ended there, or after outcomeQueryTimeout.
type reconciliation struct {
	leasesLapsedAt time.Time // when all leases of the tasks have lapsed
	tasks          []string  // IDs of the tasks, if they were forwarded
	lastQueried    time.Time
	inFlight       bool
	ownerAddrs     map[string]bool // addresses of owners that answers named
}

// OutcomeQuery asks an entry host for the outcomes of tasks that ran at its
// workers, under it or under earlier owners.
type OutcomeQuery struct {
	Session string   `json:"session,omitempty"` // selects the tasks of jobs that this session accepted
	Tasks   []string `json:"tasks,omitempty"`   // selects tasks by ID, if Session is empty
	// AgeMillis is the time since the leases of the tasks lapsed. It is a
	// duration, so that the clocks of the hosts need not agree.
	AgeMillis int64  `json:"ageMillis"`
	At        string `json:"at,omitempty"` // the session to which the tasks were forwarded
}

func (q OutcomeQuery) key() reconcileKey { return reconcileKey{q.Session, q.At} }

// covers reports whether q.Session accepted the job of a task.
func (q OutcomeQuery) covers(task string) bool {
	_, session, ok := SplitJobID(jobIDOf(task))
	return ok && session == q.Session
}

// OutcomeReport answers an OutcomeQuery.
type OutcomeReport struct {
	Token   uint64 `json:"-"`
	Session string `json:"session"`
	Zone    string `json:"zone"`
	// Read reports whether every worker owned by this host has reported since
	// the leases lapsed, and none of the tasks is still unfinished here.
	Read bool `json:"read"`
	// Owners maps the sessions that own workers of this zone, as known to this
	// host, to their peer addresses. It has the key "" if a worker has no owner.
	Owners map[string]string `json:"owners"`
	Ended  []storage.Outcome `json:"ended,omitempty"`
}

// outcomeReport answers a query for outcomes at workers.
func (s *State) outcomeReport(q OutcomeQuery) OutcomeReport {
	a := OutcomeReport{Session: s.Session, Zone: s.Zone, Owners: map[string]string{}, Ended: s.knownOutcomes(q)}
	for _, w := range s.listedWorkers {
		owner := s.racks[w.Rack].owner
		a.Owners[owner] = ""
		if m := s.members[owner]; m != nil {
			a.Owners[owner] = m.sessionRow.PeerAddr
		}
	}
	lapsed := s.now.Add(-time.Duration(q.AgeMillis) * time.Millisecond)
	a.Read = s.listedWorkers != nil && s.core.AllReportedSince(lapsed) && !s.holdsUnfinished(q)
	return a
}

// holdsUnfinished reports whether a task that q selects was forwarded here and
// has not ended.
func (s *State) holdsUnfinished(q OutcomeQuery) bool {
	unfinished := func(r *request) bool { return r != nil && r.sender != "" && (q.At == "" || r.forwardedTo != q.At) }
	if q.Session == "" {
		return slices.ContainsFunc(q.Tasks, func(id string) bool { return unfinished(s.requests[id]) })
	}
	for id, r := range s.requests {
		if unfinished(r) && q.covers(id) {
			return true
		}
	}
	return false
}

// reconcile returns the reconciliation under a key, and starts it if there is none.
func (s *State) reconcile(key reconcileKey) *reconciliation {
	rec := s.reconciliations[key]
	if rec == nil {
		rec = &reconciliation{ownerAddrs: map[string]bool{}}
		s.reconciliations[key] = rec
	}
	return rec
}

// awaitsOutcomes reports whether the tasks of a job wait for outcomes at workers.
func (s *State) awaitsOutcomes(jobID string) bool {
	_, session, _ := SplitJobID(jobID)
	return s.reconciliations[reconcileKey{acceptedBy: session}] != nil
}

// runReconciliations sends queries for outcomes, and stops waiting for them after
// outcomeQueryTimeout.
func (s *State) runReconciliations() {
	for key, rec := range s.reconciliations {
		switch {
		case key.forwardedTo != "" && len(rec.tasks) == 0:
			delete(s.reconciliations, key)
		case key.acceptedBy != "" && s.now.Sub(rec.leasesLapsedAt) > outcomeQueryTimeout:
			s.emit(OutcomeUnconfirmed{Session: key.acceptedBy})
			delete(s.reconciliations, key)
		case !rec.inFlight && s.now.After(rec.leasesLapsedAt) && s.now.Sub(rec.lastQueried) >= outcomeQueryInterval:
			rec.inFlight, rec.lastQueried = true, s.now
			q := OutcomeQuery{Session: key.acceptedBy, Tasks: rec.tasks, At: key.forwardedTo, AgeMillis: s.now.Sub(rec.leasesLapsedAt).Milliseconds()}
			if peers := s.outcomePeers(rec); len(peers) > 0 {
				s.emit(QueryPeerOutcomes{Query: q, Peers: peers})
			} else {
				s.handleOutcomes(OutcomeReports{Query: q})
			}
		}
	}
}

// outcomePeers returns the addresses of the hosts to query for outcomes.
func (s *State) outcomePeers(rec *reconciliation) []string {
	list := s.peerAddrs()
	for addr := range rec.ownerAddrs {
		if addr != "" && addr != s.PeerAddr {
			list = append(list, addr)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// handleOutcomes applies the outcomes that other hosts report. It lets the tasks
// run again if no worker can hold an unread outcome any more.
func (s *State) handleOutcomes(ev OutcomeReports) {
	answers := slices.Concat(ev.Answers, []OutcomeReport{s.outcomeReport(ev.Query)})
	for _, a := range answers {
		for _, o := range a.Ended {
			s.handleOrphan(o)
		}
	}
	key := ev.Query.key()
	rec := s.reconciliations[key]
	if rec == nil {
		return
	}
	rec.inFlight = false
	for _, a := range answers {
		for _, addr := range a.Owners {
			rec.ownerAddrs[addr] = true
		}
	}
	if !s.allWorkersRead(answers) {
		return
	}
	delete(s.reconciliations, key)
	for _, id := range ev.Query.Tasks {
		r := s.requests[id]
		if r == nil || r.forwardedTo != key.forwardedTo || r.answerLostAt.IsZero() || s.finishFromOrphan(id, r) {
			continue
		}
		if s.now.After(s.leaseLapsedAt(r)) { // false if the host has been reached in the meantime
			s.finishLost(id, r)
		}
	}
}

// allWorkersRead reports whether every owner of workers in every zone has read
// the outcomes at its workers.
func (s *State) allWorkersRead(answers []OutcomeReport) bool {
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

// finishFromOrphan ends a forwarded task whose answer was lost with the outcome
// that was read at its worker. It reports whether there was one.
func (s *State) finishFromOrphan(id string, r *request) bool {
	found, ok := s.orphans[id]
	if !ok {
		return false
	}
	delete(s.orphans, id)
	r.answerLostAt, r.forwardedTo = time.Time{}, ""
	s.taskEnded(r.task, found.outcome, "")
	return true
}

// finishLost ends a forwarded task that runs nowhere and whose outcome is unknown.
func (s *State) finishLost(id string, r *request) {
	r.answerLostAt, r.forwardedTo = time.Time{}, ""
	o := storage.Outcome{Task: id, End: placement.EndLost, Message: "the host that ran the task is unreachable"}
	s.taskEnded(r.task, o, "")
}

// ranToEnd reports whether a task ran to its end.
func ranToEnd(o storage.Outcome) bool { return o.End == storage.EndDone || o.End == storage.EndFailed }

// acceptingSessions returns the sessions that accepted the open jobs among states.
func acceptingSessions(states []job.State) []string {
	var list []string
	for _, st := range states {
		if _, session, ok := SplitJobID(st.Job.ID); ok && st.Open > 0 && !slices.Contains(list, session) {
			list = append(list, session)
		}
	}
	return list
}
