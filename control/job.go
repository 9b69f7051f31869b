package control

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipgap/cowslipgap/class"
	"github.com/cowslipgap/cowslipgap/job"
	"github.com/cowslipgap/cowslipgap/placement"
	"github.com/cowslipgap/cowslipgap/refusal"
	"github.com/cowslipgap/cowslipgap/segment"
	"github.com/cowslipgap/cowslipgap/storage"
	"github.com/cowslipgap/cowslipgap/task"
)

const (
	// maxFed is how many tasks of one job are in the queues at once.
	maxFed = 512
	// feedPerTick bounds the work of one tick.
	feedPerTick = 2048
	// rerunPause is the pause before a task that found no place or was lost is
	// tried again.
	rerunPause = 500 * time.Millisecond
	// listMost is how many jobs a list shows.
	listMost = 1000
)

// work is how far the tasks of a job have been handed on.
type work struct {
	next    int       // the first task not handed on yet
	fed     int       // tasks in queues or running
	again   []rerun   // tasks to hand on once more
	notTill time.Time // an adopted job's tasks may still run until then
	resume  map[int]int64
	taken   []int // tasks of an adopted job that run here already
}

type rerun struct {
	index int
	at    time.Time
}

// jobToken is a job that waits for the journal.
type jobToken struct {
	answer uint64
	job    job.Job
	hash   string
}

// guardToken is a non-idempotent request that waits for the journal.
type guardToken struct {
	task task.Task
	hash string
}

// beginToken is a non-idempotent task that waits for the journal.
type beginToken struct{ task task.Task }

// cancelToken is a cancellation that waits for the journal.
type cancelToken struct {
	answer uint64
	id     string
}

// NewJobID returns the ID of the next job. It tells where the job was accepted.
func (s *State) newJobID() string {
	s.nextID++
	return s.Zone + "." + s.Session + "." + strconv.FormatUint(s.nextID, 10)
}

// submitJob journals a job; it is accepted once that is done.
func (s *State) submitJob(ev SubmitJob) {
	if s.draining {
		s.emit(JobAnswer{Token: ev.Token, Refusal: refusal.New(refusal.Leaving, "this entry host is leaving; send it to another").After(time.Millisecond)})
		return
	}
	if addr := s.better(ev); addr != "" {
		s.emit(JobAnswer{Token: ev.Token, Holder: addr})
		return
	}
	if r := s.neverFits(ev.Job); r != nil {
		s.emit(JobAnswer{Token: ev.Token, Refusal: r})
		return
	}
	j := ev.Job
	if j.ID == "" {
		j.ID = s.newJobID()
	}
	j.Accepted = s.now
	b := segment.Batch{Entries: []job.Entry{{Accept: &j}}, MayDrop: true}
	if j.RequestID != "" {
		b.Guard = newGuard(j.Team, j.RequestID, guardRow{Hash: ev.Hash, Job: j.ID})
	}
	s.append(jobToken{ev.Token, j, ev.Hash}, b)
}

// better returns the address of a host that can keep a job where this one
// cannot: a gang is placed by the host that keeps it.
func (s *State) better(ev SubmitJob) string {
	j := ev.Job
	if ev.Final || j.Class != class.Gang || s.core.Capacity(j.Need, j.Rack) >= j.Tasks {
		return ""
	}
	var best *neighbor
	for _, n := range s.peers {
		t := (&job.State{Job: j}).Task(0)
		if s.usable(n, t) && n.greeting.Slots >= int64(j.Tasks) && (best == nil || busier(best, n)) {
			best = n
		}
	}
	if best == nil {
		return ""
	}
	return best.addr
}

// neverFits refuses a job whose tasks fit no worker that this host knows of.
func (s *State) neverFits(j job.Job) *refusal.Refusal {
	t := (&job.State{Job: j}).Task(0)
	if p := s.cat.Teams()[j.Team]; j.Class == class.Gang && p.Capped && p.Limit < j.Tasks {
		return refusal.New(refusal.NeverFits, "team %q may run %d tasks at once, and the job has %d that start together", j.Team, p.Limit, j.Tasks)
	}
	if j.Zone != "" && j.Zone != s.Zone {
		return nil
	}
	if j.Class == class.Gang && s.hasWorkers() {
		if places := s.core.Capacity(j.Need, j.Rack); places < j.Tasks {
			return refusal.New(refusal.NeverFits, "the workers here hold %d tasks of this size at once, and the job has %d that start together", places, j.Tasks)
		}
	}
	if s.core.Fits(t) || !s.hasWorkers() {
		return nil
	}
	for _, n := range s.peers {
		if t.Need.Fits(n.greeting.Largest) {
			return nil
		}
	}
	return refusal.New(refusal.NeverFits, "no worker in zone %s has room for %+v", s.Zone, j.Need)
}

// journaled goes on with what waited for the journal.
func (s *State) journaled(ev Journaled) {
	waits, ok := s.tokens[ev.Result.Token]
	if !ok {
		return
	}
	delete(s.tokens, ev.Result.Token)
	if errors.Is(ev.Result.Err, segment.ErrFenced) {
		s.holder.Fence()
	}
	switch w := waits.(type) {
	case guardToken:
		s.guardWritten(w, ev.Result)
	case jobToken:
		s.jobJournaled(w, ev.Result)
	case beginToken:
		s.beginJournaled(w, ev.Result)
	case cancelToken:
		s.cancelJournaled(w, ev.Result)
	}
}

// journalRefusal turns a result of the journal into what the caller is told.
func journalRefusal(r segment.Result) *refusal.Refusal {
	switch {
	case r.Err == nil:
		return nil
	case errors.Is(r.Err, segment.ErrFenced):
		return refusal.New(refusal.Leaving, "this entry host has been replaced; send it to another").After(time.Millisecond)
	default:
		return refusal.New(refusal.TableUnavailable, "the table did not take it").After(time.Second)
	}
}

func (s *State) jobJournaled(w jobToken, r segment.Result) {
	if existing, ok := decodeGuard(r); ok && existing.Hash == w.hash && existing.Job != "" {
		s.emit(JobAnswer{Token: w.answer, ID: existing.Job})
		return
	}
	if refused := guardRefusal(r, w.hash); refused != nil {
		s.emit(JobAnswer{Token: w.answer, Refusal: refused})
		return
	}
	s.book.Apply(job.Entry{Accept: &w.job})
	s.openJob(w.job.ID, time.Time{})
	s.emit(JobAnswer{Token: w.answer, ID: w.job.ID})
	s.feed(w.job.ID, feedPerTick)
}

// openJob starts to hand on a job's tasks, not before notTill.
func (s *State) openJob(id string, notTill time.Time) {
	if s.jobs[id] != nil {
		return
	}
	s.jobs[id] = &work{notTill: notTill, resume: map[int]int64{}}
	s.jobOrder = append(s.jobOrder, id)
}

// tendJobs hands on tasks of open jobs. Where one tick's work does not reach all
// of them, the next begins with those that were left out.
func (s *State) tendJobs() {
	left := feedPerTick
	var fed, leftOut []string
	for _, id := range s.jobOrder {
		st, ok := s.book.Get(id)
		switch {
		case !ok || st.Open == 0:
			delete(s.jobs, id)
		case left > 0:
			left -= s.feed(id, left)
			fed = append(fed, id)
		default:
			leftOut = append(leftOut, id)
		}
	}
	s.jobOrder = slices.Concat(leftOut, fed)
	s.book.Forget(s.now)
	s.forgetStrays()
}

// feed hands on up to most tasks of a job and returns how many it did.
func (s *State) feed(id string, most int) int {
	w := s.jobs[id]
	st, ok := s.book.Get(id)
	if w == nil || !ok || st.Cancelled || s.now.Before(w.notTill) || s.settles(id) || s.draining || s.holder.Fenced() {
		return 0
	}
	if st.Job.Class == class.Gang && w.next == 0 {
		return s.feedGang(st, w)
	}
	count := 0
	for count < most && w.fed < maxFed && w.next < st.Job.Tasks {
		index := w.next
		w.next++
		if st.Ends[index].State == "" && !slices.Contains(w.taken, index) {
			s.handOn(st, w, index)
			count++
		}
	}
	return count + s.feedAgain(st, w, most-count)
}

// feedAgain hands on tasks that have to be tried once more.
func (s *State) feedAgain(st *job.State, w *work, most int) int {
	count := 0
	for i := 0; i < len(w.again) && count < most; {
		r := w.again[i]
		if s.now.Before(r.at) {
			i++
			continue
		}
		w.again = slices.Delete(w.again, i, i+1)
		if st.Ends[r.index].State == "" {
			s.handOn(st, w, r.index)
			count++
		}
	}
	return count
}

// handOn sends one task to a queue. A non-idempotent task is journalled as begun
// first, and never handed on twice.
func (s *State) handOn(st *job.State, w *work, index int) {
	t := st.Task(index)
	t.ResumeMillis = w.resume[index]
	w.fed++
	if !t.NonIdempotent {
		s.requests[t.ID] = &request{task: t}
		s.route(t)
		return
	}
	if st.Begins(index) {
		s.endTask(t, job.Lost, "it was started and its outcome is unknown", nil)
		return
	}
	b := job.Entry{Begin: &job.Begin{Job: st.Job.ID, Index: index}}
	s.append(beginToken{t}, segment.Batch{Entries: []job.Entry{b}, MayDrop: true})
}

func (s *State) beginJournaled(b beginToken, r segment.Result) {
	id, index, _ := job.ParseTaskID(b.task.ID)
	w, st := s.jobs[id], s.lookJob(id)
	if w == nil || st == nil {
		return
	}
	if r.Err != nil {
		w.fed--
		w.again = append(w.again, rerun{index, s.now.Add(rerunPause)})
		return
	}
	s.book.Apply(job.Entry{Begin: &job.Begin{Job: id, Index: index}})
	if st.Cancelled {
		s.endTask(b.task, job.Cancelled, "cancelled before it started", nil)
		return
	}
	s.requests[b.task.ID] = &request{task: b.task}
	s.route(b.task)
}

func (s *State) lookJob(id string) *job.State {
	st, _ := s.book.Get(id)
	return st
}

// feedGang hands on all tasks of a gang at once. They start together here, or
// wait until they can.
func (s *State) feedGang(st *job.State, w *work) int {
	tasks := st.OpenTasks()
	w.next = st.Job.Tasks
	w.fed += len(tasks)
	for _, t := range tasks {
		s.requests[t.ID] = &request{task: t}
	}
	if len(tasks) > 0 {
		s.step(placement.Submit{Tasks: tasks})
	}
	return len(tasks)
}

// jobRefused handles a job's task that did not run.
func (s *State) jobRefused(t task.Task, why *refusal.Refusal) {
	delete(s.requests, t.ID)
	switch why.Code {
	case refusal.NeverFits:
		s.endTask(t, job.Refused, why.Message, nil)
	default:
		// Also if it was cancelled where it waited: that host withdraws what it
		// was sent when the sender's connection ends.
		s.again(t, 0)
	}
}

// again hands a task on once more after a pause.
func (s *State) again(t task.Task, resumeMillis int64) {
	id, index, _ := job.ParseTaskID(t.ID)
	w, st := s.jobs[id], s.lookJob(id)
	if w == nil || st == nil {
		return
	}
	if st.Cancelled {
		s.endTask(t, job.Cancelled, "cancelled", nil)
		return
	}
	w.fed--
	if resumeMillis > 0 {
		w.resume[index] = resumeMillis
	}
	if t.NonIdempotent {
		// It was journalled as begun, and certainly did not run.
		s.requests[t.ID] = &request{task: t}
		w.fed++
		t.Path = nil
		s.route(t)
		return
	}
	w.again = append(w.again, rerun{index, s.now.Add(rerunPause)})
}

// jobTaskEnded handles the end of a job's task that ran or may have run.
func (s *State) jobTaskEnded(t task.Task, o storage.Outcome) {
	delete(s.requests, t.ID)
	st := s.lookJob(t.Job)
	switch o.End {
	case storage.EndDone:
		s.endTask(t, job.Done, "", o.Output)
	case storage.EndFailed:
		s.endTask(t, job.Failed, o.Message, o.Output)
	default:
		switch {
		case st.Cancelled:
			s.endTask(t, job.Cancelled, "stopped", nil)
		case t.NonIdempotent:
			s.endTask(t, job.Lost, "it started and its outcome is unknown: "+o.End, nil)
		default:
			s.again(t, o.ResumeMillis)
		}
	}
}

// endTask records the end of a job's task.
func (s *State) endTask(t task.Task, state, message string, output []byte) {
	id, index, _ := job.ParseTaskID(t.ID)
	if w := s.jobs[id]; w != nil {
		w.fed--
		delete(w.resume, index)
	}
	delete(s.requests, t.ID)
	e := job.Entry{End: &job.TaskEnd{Job: id, Index: index, State: state, Message: message, Output: output, At: s.now}}
	s.book.Apply(e)
	s.append(nil, segment.Batch{Entries: []job.Entry{e}})
	s.feed(id, 1)
}

// cancelJob journals a cancellation and then carries it out.
func (s *State) cancelJob(ev CancelJob) {
	st, answer := s.findJob(ev.Token, ev.Team, ev.ID)
	if st == nil {
		s.emit(answer)
		return
	}
	s.append(cancelToken{ev.Token, ev.ID}, segment.Batch{Entries: []job.Entry{{Cancel: ev.ID}}, MayDrop: true})
}

func (s *State) cancelJournaled(c cancelToken, r segment.Result) {
	if refused := journalRefusal(r); refused != nil {
		s.emit(JobAnswer{Token: c.answer, Refusal: refused})
		return
	}
	st := s.lookJob(c.id)
	if st == nil {
		return
	}
	s.book.Apply(job.Entry{Cancel: c.id})
	for i, e := range st.Ends {
		if e.State == "" {
			s.cancelTask(st.Task(i))
		}
	}
	status, _ := s.book.Status(c.id, true)
	s.emit(JobAnswer{Token: c.answer, ID: c.id, Status: &status})
}

// cancelTask ends a task of a cancelled job. One that runs ends when its worker
// says so.
func (s *State) cancelTask(t task.Task) {
	r := s.requests[t.ID]
	switch {
	case r == nil:
		if w := s.jobs[t.Job]; w != nil {
			w.fed++ // endTask takes it off again
		}
		s.endTask(t, job.Cancelled, "cancelled before it started", nil)
	case r.at != "":
		s.emit(Withdrawn{ID: t.ID, Session: r.at})
	default:
		s.step(placement.Cancel{ID: t.ID})
	}
}

// Withdrawn tells the host that a task was forwarded to that nobody waits for it.
type Withdrawn struct{ ID, Session string }

// query reads a job or a team's jobs.
func (s *State) query(ev Query) {
	if ev.ID == "" {
		s.emit(JobAnswer{Token: ev.Token, List: s.book.List(ev.Team, listMost)})
		return
	}
	st, answer := s.findJob(ev.Token, ev.Team, ev.ID)
	if st != nil {
		status, _ := s.book.Status(ev.ID, false)
		answer.Status = &status
	}
	s.emit(answer)
}

// findJob returns a job that this host keeps, or the answer that tells who does.
func (s *State) findJob(token uint64, team, id string) (*job.State, JobAnswer) {
	answer := JobAnswer{Token: token, ID: id}
	if st, ok := s.book.Get(id); ok && st.Job.Team == team {
		return st, answer
	}
	zone, session, ok := SplitJobID(id)
	if ok && zone == s.Zone {
		if holder := s.holderOf(session); holder != "" && holder != s.Session {
			answer.Holder = s.members[holder].session.PeerAddr
			return nil, answer
		}
		if len(s.adopting) > 0 {
			answer.Refusal = refusal.New(refusal.NotReady, "the job is being taken over from a lost host").After(time.Second)
			return nil, answer
		}
	}
	answer.Refusal = refusal.New(refusal.NotFound, "team %q has no job %q", team, id)
	return nil, answer
}

// holderOf follows the takeovers of a session to the session that keeps its
// jobs now.
func (s *State) holderOf(session string) string {
	for range 64 {
		m := s.members[session]
		if m == nil {
			return ""
		}
		if m.session.State != sessionClaimed {
			return session
		}
		session = m.session.Holder
	}
	return ""
}

// SplitJobID returns the availability zone and the session that accepted a job.
func SplitJobID(id string) (zone, session string, ok bool) {
	parts := strings.Split(id, ".")
	if len(parts) != 3 {
		return "", "", false
	}
	return parts[0], parts[1], true
}

// adopt reads the journal of a session that this host has taken over, and of
// those that it had taken over and not absorbed.
func (s *State) adopt(session string) {
	if _, ok := s.adopting[session]; ok || s.absorbed[session] {
		return
	}
	s.adopting[session] = s.now
	s.emit(Adopt{Session: session, Peers: s.allPeers()})
	for other, m := range s.members {
		if m.session.State == sessionClaimed && m.session.Holder == session && !m.session.Absorbed {
			s.adopt(other)
		}
	}
}

func (s *State) adopted(ev Adopted) {
	since, ok := s.adopting[ev.Session]
	if !ok {
		return
	}
	if ev.Err != nil {
		s.emit(Adopt{Session: ev.Session, Peers: s.allPeers()}) // the runtime paces the attempts
		return
	}
	delete(s.adopting, ev.Session)
	s.absorbed[ev.Session] = true
	var theirs job.Book
	theirs.Restore(ev.States)
	for _, e := range ev.Entries {
		theirs.Apply(e)
	}
	states := theirs.Snapshot()
	s.book.Restore(states)
	p := s.core.Policy
	notTill := since.Add(p.StartWindow + p.TaskLease + 2*p.ClockMargin)
	for _, by := range acceptedBy(states) {
		s.settle(settleKey{accepted: by}).lapsed = notTill
		for _, o := range s.endedFor(EndsQuestion{Session: by}) {
			s.takeStray(o)
		}
	}
	for _, o := range ev.Ended {
		s.takeStray(o)
	}
	for _, st := range states {
		if st.Open > 0 {
			s.openJob(st.Job.ID, notTill)
			s.applyStrays(st)
			s.takeBack(st)
		}
	}
	s.emit(Snapshot{States: s.book.Snapshot()})
	if m := s.members[ev.Session]; m != nil {
		row := m.session
		row.Absorbed = true
		s.emit(MarkAbsorbed{Session: ev.Session, Row: row, Revision: m.fence})
	}
}
