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
	// recentKept is for how long the outcome of a forwarded task can be asked
	// for again by its sender. Whoever adopts the jobs of a silent sender may come
	// as late as the solo limit, if the table is down.
	recentKept = time.Minute
	// retryRatio is how many retries a request may cause on average.
	retryRatio  = 0.1
	retryBurst  = 20
	resolvePace = 500 * time.Millisecond
)

// request is a task that somebody waits for: a caller, another entry host, or
// a job of this host.
type request struct {
	task     task.Task
	guard    string // the key of its guard
	from     string // the session that forwarded it here
	order    int    // of that forwarding
	at       string // the session that it was forwarded to
	gone     bool   // nobody waits any more
	lostAt   time.Time
	resolve  time.Time // when to ask next what became of it
	resolved bool      // a question is on its way
	orders   int       // times it was forwarded from here
	begun    bool      // a run of it ended before its end
}

// result is the outcome of a forwarded task, kept for repeats.
type result struct {
	answer Answer
	order  int // that it answers
	at     time.Time
	from   string // the session that sent the task
}

// retryBudget bounds retries to a part of the requests.
type retryBudget struct{ tokens float64 }

func (b *retryBudget) earn() { b.tokens = min(retryBurst, b.tokens+retryRatio) }

func (b *retryBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// request takes a caller's task.
func (s *State) request(ev Request) {
	id := ev.Task.ID
	if s.draining {
		s.emit(Answer{ID: id, Refusal: refusal.New(refusal.Leaving, "this entry host is leaving; send it to another").After(time.Millisecond)})
		return
	}
	s.budget.earn()
	req := &request{task: ev.Task}
	s.requests[id] = req
	if ev.Task.NonIdempotent && ev.RequestID != "" {
		g := newGuard(ev.Task.Team, ev.RequestID, guardRow{Hash: ev.Hash})
		req.guard = g.Key
		s.append(guardToken{ev.Task, ev.Hash}, segment.Batch{Guard: g, MayDrop: true})
		return
	}
	s.route(ev.Task)
}

// append writes a batch to the journal and remembers what waits for it.
func (s *State) append(waits any, b segment.Batch) {
	s.nextID++
	b.Token = s.nextID
	s.tokens[b.Token] = waits
	s.emit(Append{Batch: b})
}

// guardWritten goes on with a request whose guard is in the table, or refuses it.
func (s *State) guardWritten(g guardToken, r segment.Result) {
	t := g.task
	req := s.requests[t.ID]
	if req == nil {
		return
	}
	if r.Err == nil && req.gone {
		s.finish(t.ID, Answer{ID: t.ID, Refusal: refusal.New(refusal.Cancelled, "the caller went away")})
		return
	}
	if r.Err != nil {
		req.guard = "" // it is not this request's
	}
	if refused := guardRefusal(r, g.hash); refused != nil {
		s.finish(t.ID, Answer{ID: t.ID, Refusal: refused})
		return
	}
	s.route(t)
}

// takeForwarded takes a task of another entry host.
func (s *State) takeForwarded(ev Forwarded) {
	id := ev.Task.ID
	s.neighbor(ev.From).heard = s.now
	if ev.Gone {
		s.emit(s.strayAnswer(id))
		return
	}
	if old, ok := s.recent[id]; ok && old.order >= ev.Task.Order {
		s.emit(old.answer)
		return
	}
	if r := s.requests[id]; r != nil {
		return // the answer goes to whoever asked last
	}
	if ev.Resolve || s.draining || s.isOwnJob(ev.Task) {
		a := Answer{ID: id, Refusal: refusal.New(refusal.NoOwner, "it was not taken on at %s", s.Session).After(time.Millisecond)}
		s.recent[id] = result{a, ev.Task.Order, s.now, ev.From}
		s.emit(a)
		return
	}
	s.requests[id] = &request{task: ev.Task, from: ev.From, order: ev.Task.Order}
	s.route(ev.Task)
}

// withdraw ends a task that nobody waits for any more.
func (s *State) withdraw(ev Withdraw) {
	r := s.requests[ev.ID]
	if r == nil || r.task.Job != "" && r.from == "" {
		return
	}
	r.gone = true
	if r.at != "" {
		s.emit(Withdrawn{ID: ev.ID, Session: r.at})
		return
	}
	s.step(placement.Cancel{ID: ev.ID})
}

// finish answers whoever waits for a task.
func (s *State) finish(id string, a Answer) {
	r := s.requests[id]
	if r == nil {
		return
	}
	delete(s.requests, id)
	if r.guard != "" && a.Refusal != nil && a.Refusal.Ran == refusal.NotRun {
		a.Unguard = r.guard
	}
	if r.from != "" {
		s.recent[id] = result{a, r.order, s.now, r.from}
	}
	s.emit(a)
}

// taskRefused handles a task that did not run here.
func (s *State) taskRefused(t task.Task, why *refusal.Refusal) {
	if s.isOwnJob(t) {
		s.jobRefused(t, why)
		return
	}
	r := s.requests[t.ID]
	if r == nil {
		return
	}
	if !r.gone && why.Code == refusal.Overloaded && len(t.Path) < maxHops && s.budget.spend() {
		if n := s.choose(t); n != nil && n.slack > 0 {
			s.forward(t, n)
			return
		}
	}
	if r.begun {
		begun := refusal.New(refusal.OutcomeLost, "it started, did not reach its end, and was then refused: %s", why.Message)
		begun.RetryMillis = why.RetryMillis
		why = begun
	}
	s.finish(t.ID, Answer{ID: t.ID, Refusal: why})
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
	if o.End == storage.EndDone || o.End == storage.EndFailed || r.from != "" || r.gone {
		s.finish(t.ID, Answer{ID: t.ID, Outcome: &o, Worker: worker})
		return
	}
	inTime := t.Deadline.IsZero() || s.now.Before(t.Deadline)
	mayBeDone := o.End == placement.EndLost // the reply to its start was lost
	if !t.NonIdempotent && !mayBeDone && inTime && s.budget.spend() {
		t.ResumeMillis = max(t.ResumeMillis, o.ResumeMillis)
		r.begun = true
		s.route(t)
		return
	}
	s.finish(t.ID, Answer{ID: t.ID, Refusal: lostRefusal(t, o)})
}

func lostRefusal(t task.Task, o storage.Outcome) *refusal.Refusal {
	r := refusal.New(refusal.OutcomeLost, "it started and its outcome is unknown: %s %s", o.End, o.Message)
	if !t.NonIdempotent {
		r = r.After(time.Second)
	}
	return r
}

// forwardDone handles the answer of the host that a task was forwarded to.
func (s *State) forwardDone(ev ForwardDone) {
	r := s.requests[ev.ID]
	if n := s.peers[ev.Session]; n != nil {
		n.sent = max(0, n.sent-1)
	}
	if r == nil || r.at != ev.Session {
		return
	}
	r.resolved = false
	t := r.task
	switch {
	case ev.Outcome != nil:
		r.at = ""
		s.taskEnded(t, *ev.Outcome, "")
	case ev.Refusal != nil && (t.Job == "" || ev.Refusal.Ran != refusal.Unknown):
		r.at = ""
		s.forwardRefused(t, ev.Refusal)
	case ev.Unsent && r.lostAt.IsZero():
		r.at = ""
		if n := s.peers[ev.Session]; n != nil {
			n.heard = time.Time{}
		}
		s.forwardRefused(t, refusal.New(refusal.NoOwner, "the host it was forwarded to is out of reach").After(time.Second))
	case r.gone && r.from == "":
		delete(s.requests, ev.ID)
	default:
		if r.lostAt.IsZero() {
			r.lostAt = s.now
		}
		r.resolve = s.now.Add(resolvePace)
	}
}

// forwardRefused tries a refused task once more where that may help.
func (s *State) forwardRefused(t task.Task, why *refusal.Refusal) {
	helps := why.Code == refusal.NoOwner || why.Code == refusal.Leaving || why.Code == refusal.Overloaded
	if helps && len(t.Path) < maxHops && why.Ran == refusal.NotRun && s.budget.spend() {
		s.route(t)
		return
	}
	s.taskRefused(t, why)
}

// tendRequests resolves forwarded tasks whose answer was lost, ends those whose
// sender is silent, and forgets old results.
func (s *State) tendRequests() {
	for _, g := range s.settling {
		g.tasks = nil
	}
	for id, r := range s.requests {
		if !r.lostAt.IsZero() {
			s.resolve(id, r)
		}
		if r.from != "" && !r.gone && s.silent(r.from) {
			s.withdraw(Withdraw{ID: id})
		}
	}
	s.tendSettling()
	for id, old := range s.recent {
		kept := recentKept
		if s.silent(old.from) {
			kept = max(kept, s.Rules.SoloLimit)
		}
		if s.now.Sub(old.at) > kept {
			delete(s.recent, id)
		}
	}
}

// silent reports whether a host that forwarded tasks here has stopped greeting.
func (s *State) silent(session string) bool {
	n := s.peers[session]
	return n == nil || s.now.Sub(n.heard) > peerSilence
}

// resolve asks what became of a task, until its lease has lapsed wherever it is
// and its end cannot be waiting there.
func (s *State) resolve(id string, r *request) {
	if s.useStray(id, r) {
		return
	}
	lapsed := s.lapsedAt(r)
	switch {
	case !s.now.After(lapsed):
	case r.task.Job == "": // its end comes with the reply to its start alone
		s.giveUp(id, r)
		return
	case s.now.Sub(lapsed) > settleLimit:
		s.emit(Unsettled{Task: id})
		s.giveUp(id, r)
		return
	default:
		g := s.settle(settleKey{at: r.at})
		g.tasks = append(g.tasks, id)
		if lapsed.After(g.lapsed) {
			g.lapsed = lapsed
		}
	}
	past := !r.task.Deadline.IsZero() && s.now.After(r.task.Deadline)
	if past && r.from == "" && !s.isOwnJob(r.task) {
		s.finish(id, Answer{ID: id, Refusal: lostRefusal(r.task, storage.Outcome{End: placement.EndLost})})
		return
	}
	n := s.peers[r.at]
	if n == nil || r.resolved || s.now.Before(r.resolve) {
		return
	}
	r.resolved = true
	n.sent++
	s.emit(Forward{Task: r.task, Session: r.at, Addr: n.addr, Resolve: true})
}

// lapsedAt returns when the lease of a forwarded task whose answer was lost has
// lapsed wherever it is.
func (s *State) lapsedAt(r *request) time.Time {
	since := r.lostAt
	if n := s.peers[r.at]; n != nil && n.reached.After(since) {
		since = n.reached // it still runs the task as long as it hears from here
	}
	return since.Add(s.lapseAfterSilence())
}

// isOwnJob reports whether a task belongs to a job that this host keeps.
func (s *State) isOwnJob(t task.Task) bool {
	if t.Job == "" {
		return false
	}
	_, ok := s.book.Get(t.Job)
	return ok
}
