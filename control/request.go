package control

import (
	"time"

	"github.com/cowslipgap/cowslipgap/placement"
	"github.com/cowslipgap/cowslipgap/refusal"
	"github.com/cowslipgap/cowslipgap/segment"
	"github.com/cowslipgap/cowslipgap/storage"
	"github.com/cowslipgap/cowslipgap/task"
)

const (
	// recentAnswerTTL is how long the sender of a forwarded task can ask for its
	// outcome again. The answer to a silent sender is kept for at least the solo
	// limit, because the host that adopts the sender's jobs may be able to ask only
	// then if the table is down.
	recentAnswerTTL = time.Minute
	// retryRatio is the average number of retries allowed per request.
	retryRatio = 0.1
	// retryBurst limits the unused retries that add up.
	retryBurst = 20
	// resolveInterval is the interval between queries for the outcome of a
	// forwarded task whose answer was lost.
	resolveInterval = 500 * time.Millisecond
)

// request is a task whose answer a caller, another entry host or a job of this
// host waits for.
type request struct {
	task               task.Task
	guardKey           string    // key of the guard that records the request ID
	sender             string    // session that forwarded the task here
	senderForwardCount int       // Task.ForwardCount of that forwarding
	forwardedTo        string    // session to which the task was forwarded
	abandoned          bool      // nobody waits for the answer any more
	answerLostAt       time.Time // when the answer of the other host was lost, zero if it was not
	nextResolve        time.Time // when to ask for the outcome again
	resolveInFlight    bool      // a query for the outcome is in flight
	forwardCount       int       // number of times this host forwarded the task
	partlyRan          bool      // an earlier run stopped before its end
}

// recentAnswer is the answer to a forwarded task, kept for repeated requests.
type recentAnswer struct {
	answer             Answer
	senderForwardCount int // Task.ForwardCount of the forwarding that it answers
	answeredAt         time.Time
	sender             string // session that sent the task
}

// retryBudget limits retries to a fraction of the requests.
type retryBudget struct{ tokens float64 }

func (b *retryBudget) earn() { b.tokens = min(retryBurst, b.tokens+retryRatio) }

func (b *retryBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// handleRequest accepts a task from a caller.
func (s *State) handleRequest(ev Request) {
	id := ev.Task.ID
	if s.draining {
		s.emit(Answer{ID: id, Refusal: refusal.New(refusal.Leaving, "this entry host is shutting down; send the request to another host").WithRetryAfter(time.Millisecond)})
		return
	}
	s.retryBudget.earn()
	req := &request{task: ev.Task}
	s.requests[id] = req
	if ev.Task.NonIdempotent && ev.RequestID != "" {
		g := newRequestGuard(ev.Task.Team, ev.RequestID, requestRow{Hash: ev.Hash})
		req.guardKey = g.Key
		s.appendJournal(pendingRequest{ev.Task, ev.Hash}, segment.Batch{Guard: g, Droppable: true})
		return
	}
	s.routeTask(ev.Task)
}

// appendJournal queues a batch for the journal and records the operation that
// waits for it.
func (s *State) appendJournal(pending any, b segment.Batch) {
	s.nextID++
	b.Token = s.nextID
	s.journalWaiters[b.Token] = pending
	s.emit(Append{Batch: b})
}

// requestJournaled routes a request whose guard is in the table, or refuses it.
func (s *State) requestJournaled(p pendingRequest, r segment.Result) {
	t := p.task
	req := s.requests[t.ID]
	if req == nil {
		return
	}
	if r.Err == nil && req.abandoned {
		s.finishRequest(t.ID, Answer{ID: t.ID, Refusal: refusal.New(refusal.Cancelled, "the caller went away")})
		return
	}
	if r.Err != nil {
		req.guardKey = "" // this request did not write the guard
	}
	if refused := guardRefusal(r, p.hash); refused != nil {
		s.finishRequest(t.ID, Answer{ID: t.ID, Refusal: refused})
		return
	}
	s.routeTask(t)
}

// handleForwarded accepts a task from another entry host.
func (s *State) handleForwarded(ev Forwarded) {
	id := ev.Task.ID
	s.ensurePeer(ev.From).lastHeard = s.now
	if ev.SessionEnded {
		s.emit(s.orphanAnswer(id))
		return
	}
	if old, ok := s.recentAnswers[id]; ok && old.senderForwardCount >= ev.Task.ForwardCount {
		s.emit(old.answer)
		return
	}
	if r := s.requests[id]; r != nil {
		return // the answer goes to the latest sender
	}
	if ev.OutcomeOnly || s.draining || s.isOwnJob(ev.Task) {
		a := Answer{ID: id, Refusal: refusal.New(refusal.NoOwner, "session %s did not accept the task", s.Session).WithRetryAfter(time.Millisecond)}
		s.recentAnswers[id] = recentAnswer{a, ev.Task.ForwardCount, s.now, ev.From}
		s.emit(a)
		return
	}
	s.requests[id] = &request{task: ev.Task, sender: ev.From, senderForwardCount: ev.Task.ForwardCount}
	s.routeTask(ev.Task)
}

// handleCancelRequest cancels a task that nobody waits for any more.
func (s *State) handleCancelRequest(ev CancelRequest) {
	r := s.requests[ev.ID]
	if r == nil || r.task.Job != "" && r.sender == "" {
		return
	}
	r.abandoned = true
	if r.forwardedTo != "" {
		s.emit(CancelForwarded{ID: ev.ID, Session: r.forwardedTo})
		return
	}
	s.updateCore(placement.Cancel{ID: ev.ID})
}

// finishRequest answers the caller or entry host that waits for a task.
func (s *State) finishRequest(id string, a Answer) {
	r := s.requests[id]
	if r == nil {
		return
	}
	delete(s.requests, id)
	if r.guardKey != "" && a.Refusal != nil && a.Refusal.Ran == refusal.NotRun {
		a.DeleteGuard = r.guardKey
	}
	if r.sender != "" {
		s.recentAnswers[id] = recentAnswer{a, r.senderForwardCount, s.now, r.sender}
	}
	s.emit(a)
}

// taskRefused handles a task that did not run here.
func (s *State) taskRefused(t task.Task, cause *refusal.Refusal) {
	if s.isOwnJob(t) {
		s.jobTaskRefused(t, cause)
		return
	}
	r := s.requests[t.ID]
	if r == nil {
		return
	}
	if !r.abandoned && cause.Code == refusal.Overloaded && len(t.Path) < maxHops && s.retryBudget.spend() {
		if p := s.choosePeer(t); p != nil && p.freeSlots > 0 {
			s.forward(t, p)
			return
		}
	}
	if r.partlyRan {
		outcomeLost := refusal.New(refusal.OutcomeLost, "the task started, did not run to its end, and was then refused: %s", cause.Message)
		outcomeLost.RetryMillis = cause.RetryMillis
		cause = outcomeLost
	}
	s.finishRequest(t.ID, Answer{ID: t.ID, Refusal: cause})
}

// taskEnded handles the end of a task that ran, or may have run.
func (s *State) taskEnded(t task.Task, o storage.Outcome, worker string) {
	if s.isOwnJob(t) {
		s.jobTaskEnded(t, o)
		return
	}
	r := s.requests[t.ID]
	if r == nil {
		return
	}
	if o.End == storage.EndDone || o.End == storage.EndFailed || r.sender != "" || r.abandoned {
		s.finishRequest(t.ID, Answer{ID: t.ID, Outcome: &o, Worker: worker})
		return
	}
	inTime := t.Deadline.IsZero() || s.now.Before(t.Deadline)
	mayHaveEnded := o.End == placement.EndLost // the reply to its start was lost
	if !t.NonIdempotent && !mayHaveEnded && inTime && s.retryBudget.spend() {
		t.ResumeMillis = max(t.ResumeMillis, o.ResumeMillis)
		r.partlyRan = true
		s.routeTask(t)
		return
	}
	s.finishRequest(t.ID, Answer{ID: t.ID, Refusal: lostRefusal(t, o)})
}

func lostRefusal(t task.Task, o storage.Outcome) *refusal.Refusal {
	r := refusal.New(refusal.OutcomeLost, "the task started and its outcome is unknown: %s %s", o.End, o.Message)
	if !t.NonIdempotent {
		r = r.WithRetryAfter(time.Second)
	}
	return r
}

// forwardDone handles the answer of the host to which a task was forwarded.
func (s *State) forwardDone(ev ForwardDone) {
	r := s.requests[ev.ID]
	if p := s.peers[ev.Session]; p != nil {
		p.outstanding = max(0, p.outstanding-1)
	}
	if r == nil || r.forwardedTo != ev.Session {
		return
	}
	r.resolveInFlight = false
	t := r.task
	switch {
	case ev.Outcome != nil:
		r.forwardedTo = ""
		s.taskEnded(t, *ev.Outcome, "")
	case ev.Refusal != nil && (t.Job == "" || ev.Refusal.Ran != refusal.Unknown):
		r.forwardedTo = ""
		s.forwardRefused(t, ev.Refusal)
	case ev.Unsent && r.answerLostAt.IsZero():
		r.forwardedTo = ""
		if p := s.peers[ev.Session]; p != nil {
			p.lastHeard = time.Time{}
		}
		s.forwardRefused(t, refusal.New(refusal.NoOwner, "the host to which the task was forwarded is unreachable").WithRetryAfter(time.Second))
	case r.abandoned && r.sender == "":
		delete(s.requests, ev.ID)
	default:
		if r.answerLostAt.IsZero() {
			r.answerLostAt = s.now
		}
		r.nextResolve = s.now.Add(resolveInterval)
	}
}

// forwardRefused routes a refused task once more if another host may accept it.
func (s *State) forwardRefused(t task.Task, cause *refusal.Refusal) {
	retryable := cause.Code == refusal.NoOwner || cause.Code == refusal.Leaving || cause.Code == refusal.Overloaded
	if retryable && len(t.Path) < maxHops && cause.Ran == refusal.NotRun && s.retryBudget.spend() {
		s.routeTask(t)
		return
	}
	s.taskRefused(t, cause)
}

// maintainRequests resolves forwarded tasks whose answer was lost, cancels tasks
// whose sender is silent, and drops expired answers.
func (s *State) maintainRequests() {
	for _, rec := range s.reconciliations {
		rec.tasks = nil
	}
	for id, r := range s.requests {
		if !r.answerLostAt.IsZero() {
			s.resolveForward(id, r)
		}
		if r.sender != "" && !r.abandoned && s.isSilent(r.sender) {
			s.handleCancelRequest(CancelRequest{ID: id})
		}
	}
	s.runReconciliations()
	for id, old := range s.recentAnswers {
		ttl := recentAnswerTTL
		if s.isSilent(old.sender) {
			ttl = max(ttl, s.Rules.SoloLimit)
		}
		if s.now.Sub(old.answeredAt) > ttl {
			delete(s.recentAnswers, id)
		}
	}
}

// isSilent reports whether greetings of a host that forwarded tasks here have
// stopped.
func (s *State) isSilent(session string) bool {
	p := s.peers[session]
	return p == nil || s.now.Sub(p.lastHeard) > peerTimeout
}

// resolveForward queries the outcome of a forwarded task whose answer was lost.
// It stops once the lease of the task has lapsed wherever it may run and no worker
// can hold its outcome any more.
func (s *State) resolveForward(id string, r *request) {
	if s.finishFromOrphan(id, r) {
		return
	}
	lapsed := s.leaseLapsedAt(r)
	switch {
	case !s.now.After(lapsed):
	case r.task.Job == "": // the outcome is only in the reply to the start
		s.finishLost(id, r)
		return
	case s.now.Sub(lapsed) > outcomeQueryTimeout:
		s.emit(OutcomeUnconfirmed{Task: id})
		s.finishLost(id, r)
		return
	default:
		rec := s.reconcile(reconcileKey{forwardedTo: r.forwardedTo})
		rec.tasks = append(rec.tasks, id)
		if lapsed.After(rec.leasesLapsedAt) {
			rec.leasesLapsedAt = lapsed
		}
	}
	deadlinePassed := !r.task.Deadline.IsZero() && s.now.After(r.task.Deadline)
	if deadlinePassed && r.sender == "" && !s.isOwnJob(r.task) {
		s.finishRequest(id, Answer{ID: id, Refusal: lostRefusal(r.task, storage.Outcome{End: placement.EndLost})})
		return
	}
	p := s.peers[r.forwardedTo]
	if p == nil || r.resolveInFlight || s.now.Before(r.nextResolve) {
		return
	}
	r.resolveInFlight = true
	p.outstanding++
	s.emit(Forward{Task: r.task, Session: r.forwardedTo, Addr: p.addr, OutcomeOnly: true})
}

// leaseLapsedAt returns when the lease of a forwarded task whose answer was lost
// has lapsed wherever the task may run.
func (s *State) leaseLapsedAt(r *request) time.Time {
	lastContact := r.answerLostAt
	if p := s.peers[r.forwardedTo]; p != nil && p.lastReached.After(lastContact) {
		lastContact = p.lastReached // the peer runs the task as long as it receives greetings from this host
	}
	return lastContact.Add(s.forwardLapseTime())
}

// isOwnJob reports whether a task belongs to a job that this host keeps.
func (s *State) isOwnJob(t task.Task) bool {
	if t.Job == "" {
		return false
	}
	_, ok := s.acceptedJobs.Get(t.Job)
	return ok
}
