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
	// maxDispatchedPerJob limits the tasks of one job that are queued or running.
	maxDispatchedPerJob = 512
	// dispatchesPerTick limits the tasks that one tick dispatches.
	dispatchesPerTick = 2048
	// retryDelay is the delay before a task is dispatched again that was refused or
	// lost, or whose start could not be journaled.
	retryDelay = 500 * time.Millisecond
	// maxListedJobs is the maximum number of jobs in a list.
	maxListedJobs = 1000
)

// dispatchState records how far the tasks of a job have been dispatched.
type dispatchState struct {
	nextIndex      int           // index of the first task that has not been dispatched
	dispatched     int           // tasks that are queued or running
	retries        []taskRetry   // tasks to dispatch again
	notBefore      time.Time     // until then, tasks of an adopted job may still run elsewhere
	resumeMillis   map[int]int64 // progress to resume from, by task index
	alreadyRunning []int         // indices of tasks of an adopted job that already run here
}

// taskRetry is a task to dispatch again, at notBefore or later.
type taskRetry struct {
	index     int
	notBefore time.Time
}

// pendingJob is a job that waits for its journal write.
type pendingJob struct {
	answerToken uint64
	job         job.Job
	hash        string
}

// pendingRequest is a non-idempotent request that waits for its journal write.
type pendingRequest struct {
	task task.Task
	hash string
}

// pendingStart is a non-idempotent task whose start waits for its journal write.
type pendingStart struct{ task task.Task }

// pendingCancel is a cancellation that waits for its journal write.
type pendingCancel struct {
	answerToken uint64
	id          string
}

// newJobID returns the ID of the next job. It contains the availability zone and
// the session in which the job was accepted.
func (s *State) newJobID() string {
	s.nextID++
	return s.Zone + "." + s.Session + "." + strconv.FormatUint(s.nextID, 10)
}

// submitJob journals a job. The job is accepted once the write has succeeded.
func (s *State) submitJob(ev SubmitJob) {
	if s.draining {
		s.emit(JobAnswer{Token: ev.Token, Refusal: refusal.New(refusal.Leaving, "this entry host is shutting down; send the job to another host").WithRetryAfter(time.Millisecond)})
		return
	}
	if addr := s.betterGangHost(ev); addr != "" {
		s.emit(JobAnswer{Token: ev.Token, Holder: addr})
		return
	}
	if r := s.neverFitsRefusal(ev.Job); r != nil {
		s.emit(JobAnswer{Token: ev.Token, Refusal: r})
		return
	}
	if r := s.memoryRefusal(ev.Job); r != nil {
		s.emit(JobAnswer{Token: ev.Token, Refusal: r})
		return
	}
	j := ev.Job
	if j.ID == "" {
		j.ID = s.newJobID()
	}
	j.Accepted = s.now
	s.journalingBytes += j.Memory()
	b := segment.Batch{Entries: []job.Entry{{Accept: &j}}, Droppable: true}
	if j.RequestID != "" {
		b.Guard = newRequestGuard(j.Team, j.RequestID, requestRow{Hash: ev.Hash, Job: j.ID})
	}
	s.appendJournal(pendingJob{ev.Token, j, ev.Hash}, b)
}

// jobRetryDelay is the time after which a job may be sent again that found no memory.
const jobRetryDelay = 5 * time.Second

// memoryRefusal returns the refusal for a job that finds no room beside the accepted ones, or
// nil.
func (s *State) memoryRefusal(j job.Job) *refusal.Refusal {
	switch memory := j.Memory(); {
	case s.MaxJobBytes <= 0 || s.acceptedJobs.Memory()+s.journalingBytes+memory <= s.MaxJobBytes:
		return nil
	case memory > s.MaxJobBytes:
		return refusal.New(refusal.TooLarge, "the job takes about %d bytes of memory, more than accepted jobs may", memory)
	default:
		return refusal.New(refusal.Overloaded, "the accepted jobs take too much memory").WithRetryAfter(jobRetryDelay)
	}
}

// betterGangHost returns the address of a host that has the slots for a gang job,
// if this host cannot run all its tasks at once. A gang is placed by the host that
// keeps the job.
func (s *State) betterGangHost(ev SubmitJob) string {
	j := ev.Job
	if ev.NoForward || j.Class != class.Gang || s.core.MaxTasks(j.Need, j.Rack) >= j.Tasks {
		return ""
	}
	var best *peerState
	for _, p := range s.peers {
		t := (&job.State{Job: j}).Task(0)
		if s.canForwardTo(p, t) && p.greeting.Slots >= int64(j.Tasks) && (best == nil || isBusier(best, p)) {
			best = p
		}
	}
	if best == nil {
		return ""
	}
	return best.addr
}

// neverFitsRefusal returns the refusal for a job that can never start, or nil. The
// tasks of such a job fit no worker known to this host, or it is a gang with more
// tasks than its team or the workers of this host may run at once.
func (s *State) neverFitsRefusal(j job.Job) *refusal.Refusal {
	t := (&job.State{Job: j}).Task(0)
	if p := s.catalog.Teams()[j.Team]; j.Class == class.Gang && p.Capped && p.Limit < j.Tasks {
		return refusal.New(refusal.NeverFits, "team %q may run %d tasks at once, and the job has %d that start together", j.Team, p.Limit, j.Tasks)
	}
	if j.Zone != "" && j.Zone != s.Zone {
		return nil
	}
	if j.Class == class.Gang && s.hasWorkers() {
		if capacity := s.core.MaxTasks(j.Need, j.Rack); capacity < j.Tasks {
			return refusal.New(refusal.NeverFits, "the workers of this host can run %d tasks of this size at once, and the job has %d that start together", capacity, j.Tasks)
		}
	}
	if s.core.Fits(t) || !s.hasWorkers() {
		return nil
	}
	for _, p := range s.peers {
		if t.Need.Fits(p.greeting.Largest) {
			return nil
		}
	}
	return refusal.New(refusal.NeverFits, "no worker in zone %s has room for %+v", s.Zone, j.Need)
}

// journalDone continues the operation that waited for a journal write.
func (s *State) journalDone(ev Journaled) {
	pending, ok := s.journalWaiters[ev.Result.Token]
	if !ok {
		return
	}
	delete(s.journalWaiters, ev.Result.Token)
	if errors.Is(ev.Result.Err, segment.ErrFenced) {
		s.lease.Fence()
	}
	switch p := pending.(type) {
	case pendingRequest:
		s.requestJournaled(p, ev.Result)
	case pendingJob:
		s.jobJournaled(p, ev.Result)
	case pendingStart:
		s.startJournaled(p, ev.Result)
	case pendingCancel:
		s.cancelJournaled(p, ev.Result)
	}
}

// journalRefusal returns the refusal for a failed journal write, or nil.
func journalRefusal(r segment.Result) *refusal.Refusal {
	switch {
	case r.Err == nil:
		return nil
	case errors.Is(r.Err, segment.ErrFenced):
		return refusal.New(refusal.Leaving, "this entry host has been replaced; send the request to another host").WithRetryAfter(time.Millisecond)
	default:
		return refusal.New(refusal.TableUnavailable, "the table did not take it").WithRetryAfter(time.Second)
	}
}

func (s *State) jobJournaled(p pendingJob, r segment.Result) {
	s.journalingBytes -= p.job.Memory()
	if existing, ok := decodeRequestRow(r); ok && existing.Hash == p.hash && existing.Job != "" {
		s.emit(JobAnswer{Token: p.answerToken, ID: existing.Job})
		return
	}
	if refused := guardRefusal(r, p.hash); refused != nil {
		s.emit(JobAnswer{Token: p.answerToken, Refusal: refused})
		return
	}
	s.acceptedJobs.Apply(job.Entry{Accept: &p.job})
	s.startDispatch(p.job.ID, time.Time{})
	s.emit(JobAnswer{Token: p.answerToken, ID: p.job.ID})
	s.dispatchJob(p.job.ID, dispatchesPerTick)
}

// startDispatch registers a job for dispatch, at notBefore at the earliest.
func (s *State) startDispatch(id string, notBefore time.Time) {
	if s.dispatching[id] != nil {
		return
	}
	s.dispatching[id] = &dispatchState{notBefore: notBefore, resumeMillis: map[int]int64{}}
	s.dispatchOrder = append(s.dispatchOrder, id)
}

// dispatchJobs dispatches tasks of open jobs. Jobs that were left out because of
// dispatchesPerTick come first in the next tick. It also drops expired jobs and
// expired outcomes of unknown tasks.
func (s *State) dispatchJobs() {
	budget := dispatchesPerTick
	var visited, skipped []string
	for _, id := range s.dispatchOrder {
		st, ok := s.acceptedJobs.Get(id)
		switch {
		case !ok || st.Open == 0:
			delete(s.dispatching, id)
		case budget > 0:
			budget -= s.dispatchJob(id, budget)
			visited = append(visited, id)
		default:
			skipped = append(skipped, id)
		}
	}
	s.dispatchOrder = slices.Concat(skipped, visited)
	s.acceptedJobs.RemoveExpired(s.now)
	s.expireOrphans()
}

// dispatchJob dispatches up to limit tasks of a job and returns their number.
func (s *State) dispatchJob(id string, limit int) int {
	d := s.dispatching[id]
	st, ok := s.acceptedJobs.Get(id)
	if d == nil || !ok || st.Cancelled || s.now.Before(d.notBefore) || s.awaitsOutcomes(id) || s.draining || s.lease.Fenced() {
		return 0
	}
	if st.Job.Class == class.Gang && d.nextIndex == 0 {
		return s.dispatchGang(st, d)
	}
	count := 0
	for count < limit && d.dispatched < maxDispatchedPerJob && d.nextIndex < st.Job.Tasks {
		index := d.nextIndex
		d.nextIndex++
		if st.Ends[index].State == "" && !slices.Contains(d.alreadyRunning, index) {
			s.dispatchTask(st, d, index)
			count++
		}
	}
	return count + s.dispatchRetries(st, d, limit-count)
}

// dispatchRetries dispatches tasks that are due to be tried again.
func (s *State) dispatchRetries(st *job.State, d *dispatchState, limit int) int {
	count := 0
	for i := 0; i < len(d.retries) && count < limit; {
		r := d.retries[i]
		if s.now.Before(r.notBefore) {
			i++
			continue
		}
		d.retries = slices.Delete(d.retries, i, i+1)
		if st.Ends[r.index].State == "" {
			s.dispatchTask(st, d, r.index)
			count++
		}
	}
	return count
}

// dispatchTask routes one task. The start of a non-idempotent task is journaled
// first; a task whose start is already in the journal is not dispatched again, but
// ends with an unknown outcome.
func (s *State) dispatchTask(st *job.State, d *dispatchState, index int) {
	t := st.Task(index)
	t.ResumeMillis = d.resumeMillis[index]
	d.dispatched++
	if !t.NonIdempotent {
		s.requests[t.ID] = &request{task: t}
		s.routeTask(t)
		return
	}
	if st.MayHaveStarted(index) {
		s.endTask(t, job.OutcomeUnknown, "the task was started and its outcome is unknown", nil)
		return
	}
	e := job.Entry{Begin: &job.StartRecord{Job: st.Job.ID, Index: index}}
	s.appendJournal(pendingStart{t}, segment.Batch{Entries: []job.Entry{e}, Droppable: true})
}

// startJournaled routes a non-idempotent task whose start is in the journal, or
// dispatches it again later if the write failed.
func (s *State) startJournaled(p pendingStart, r segment.Result) {
	id, index, _ := job.ParseTaskID(p.task.ID)
	d, st := s.dispatching[id], s.jobState(id)
	if d == nil || st == nil {
		return
	}
	if r.Err != nil {
		d.dispatched--
		d.retries = append(d.retries, taskRetry{index, s.now.Add(retryDelay)})
		return
	}
	s.acceptedJobs.Apply(job.Entry{Begin: &job.StartRecord{Job: id, Index: index}})
	if st.Cancelled {
		s.endTask(p.task, job.Cancelled, "cancelled before it started", nil)
		return
	}
	s.requests[p.task.ID] = &request{task: p.task}
	s.routeTask(p.task)
}

func (s *State) jobState(id string) *job.State {
	st, _ := s.acceptedJobs.Get(id)
	return st
}

// dispatchGang passes all tasks of a gang to the placement core at once. They
// start together on this host, or wait until they can.
func (s *State) dispatchGang(st *job.State, d *dispatchState) int {
	tasks := st.OpenTasks()
	d.nextIndex = st.Job.Tasks
	d.dispatched += len(tasks)
	for _, t := range tasks {
		s.requests[t.ID] = &request{task: t}
	}
	if len(tasks) > 0 {
		s.updateCore(placement.Submit{Tasks: tasks})
	}
	return len(tasks)
}

// jobTaskRefused handles a task of a job that did not run.
func (s *State) jobTaskRefused(t task.Task, cause *refusal.Refusal) {
	delete(s.requests, t.ID)
	switch cause.Code {
	case refusal.NeverFits:
		s.endTask(t, job.Refused, cause.Message, nil)
	default:
		// This includes tasks that were cancelled in the queue of another host: a host
		// cancels the tasks that were forwarded to it when the connection of their
		// sender closes.
		s.retryTask(t, 0)
	}
}

// retryTask dispatches a task again after a delay.
func (s *State) retryTask(t task.Task, resumeMillis int64) {
	id, index, _ := job.ParseTaskID(t.ID)
	d, st := s.dispatching[id], s.jobState(id)
	if d == nil || st == nil {
		return
	}
	if st.Cancelled {
		s.endTask(t, job.Cancelled, "cancelled", nil)
		return
	}
	d.dispatched--
	if resumeMillis > 0 {
		d.resumeMillis[index] = resumeMillis
	}
	if t.NonIdempotent {
		// The start is journaled, and the task certainly did not run.
		s.requests[t.ID] = &request{task: t}
		d.dispatched++
		t.Path = nil
		s.routeTask(t)
		return
	}
	d.retries = append(d.retries, taskRetry{index, s.now.Add(retryDelay)})
}

// jobTaskEnded handles the end of a task of a job that ran or may have run.
func (s *State) jobTaskEnded(t task.Task, o storage.Outcome) {
	delete(s.requests, t.ID)
	st := s.jobState(t.Job)
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
			s.endTask(t, job.OutcomeUnknown, "the task started and its outcome is unknown: "+o.End, nil)
		default:
			s.retryTask(t, o.ResumeMillis)
		}
	}
}

// endTask records the end of a task of a job.
func (s *State) endTask(t task.Task, state, message string, output []byte) {
	id, index, _ := job.ParseTaskID(t.ID)
	if d := s.dispatching[id]; d != nil {
		d.dispatched--
		delete(d.resumeMillis, index)
	}
	delete(s.requests, t.ID)
	e := job.Entry{End: &job.TaskEnd{Job: id, Index: index, State: state, Message: message, Output: output, At: s.now}}
	s.acceptedJobs.Apply(e)
	s.appendJournal(nil, segment.Batch{Entries: []job.Entry{e}})
	s.dispatchJob(id, 1)
}

// cancelJob journals a cancellation. It takes effect once the write has succeeded.
func (s *State) cancelJob(ev CancelJob) {
	st, answer := s.findJob(ev.Token, ev.Team, ev.ID)
	if st == nil {
		s.emit(answer)
		return
	}
	s.appendJournal(pendingCancel{ev.Token, ev.ID}, segment.Batch{Entries: []job.Entry{{Cancel: ev.ID}}, Droppable: true})
}

func (s *State) cancelJournaled(p pendingCancel, r segment.Result) {
	if refused := journalRefusal(r); refused != nil {
		s.emit(JobAnswer{Token: p.answerToken, Refusal: refused})
		return
	}
	st := s.jobState(p.id)
	if st == nil {
		return
	}
	s.acceptedJobs.Apply(job.Entry{Cancel: p.id})
	for i, e := range st.Ends {
		if e.State == "" {
			s.cancelTask(st.Task(i))
		}
	}
	status, _ := s.acceptedJobs.Status(p.id, true)
	s.emit(JobAnswer{Token: p.answerToken, ID: p.id, Status: &status})
}

// cancelTask ends a task of a cancelled job. A running task ends when its worker
// reports the end.
func (s *State) cancelTask(t task.Task) {
	r := s.requests[t.ID]
	switch {
	case r == nil:
		if d := s.dispatching[t.Job]; d != nil {
			d.dispatched++ // endTask decrements it
		}
		s.endTask(t, job.Cancelled, "cancelled before it started", nil)
	case r.forwardedTo != "":
		s.emit(CancelForwarded{ID: t.ID, Session: r.forwardedTo})
	default:
		s.updateCore(placement.Cancel{ID: t.ID})
	}
}

// CancelForwarded tells the host to which a task was forwarded that nobody waits for
// the task any more.
type CancelForwarded struct{ ID, Session string }

// handleQuery answers with a job or with the jobs of a team.
func (s *State) handleQuery(ev Query) {
	if ev.ID == "" {
		s.emit(JobAnswer{Token: ev.Token, List: s.acceptedJobs.List(ev.Team, maxListedJobs)})
		return
	}
	st, answer := s.findJob(ev.Token, ev.Team, ev.ID)
	if st != nil {
		status, _ := s.acceptedJobs.Status(ev.ID, false)
		answer.Status = &status
	}
	s.emit(answer)
}

// findJob returns a job that this host keeps. Otherwise it returns nil and an
// answer that names the host that keeps the job, or refuses the request.
func (s *State) findJob(token uint64, team, id string) (*job.State, JobAnswer) {
	answer := JobAnswer{Token: token, ID: id}
	if st, ok := s.acceptedJobs.Get(id); ok && st.Job.Team == team {
		return st, answer
	}
	zone, session, ok := SplitJobID(id)
	if ok && zone == s.Zone {
		if holder := s.currentHolder(session); holder != "" && holder != s.Session {
			answer.Holder = s.members[holder].sessionRow.PeerAddr
			return nil, answer
		}
		if len(s.adopting) > 0 {
			answer.Refusal = refusal.New(refusal.NotReady, "the job is being taken over from a lost host").WithRetryAfter(time.Second)
			return nil, answer
		}
	}
	answer.Refusal = refusal.New(refusal.NotFound, "team %q has no job %q", team, id)
	return nil, answer
}

// currentHolder follows the takeovers of a session and returns the session that
// keeps its jobs now.
func (s *State) currentHolder(session string) string {
	for range 64 {
		m := s.members[session]
		if m == nil {
			return ""
		}
		if m.sessionRow.State != sessionClaimed {
			return session
		}
		session = m.sessionRow.Holder
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

// adopt starts to read the journal of a session that this host has taken over,
// and of the sessions that the ended session had taken over but not absorbed.
func (s *State) adopt(session string) {
	if _, ok := s.adopting[session]; ok || s.absorbed[session] {
		return
	}
	s.adopting[session] = s.now
	s.emit(Adopt{Session: session, Peers: s.peerAddrs()})
	for other, m := range s.members {
		if m.sessionRow.State == sessionClaimed && m.sessionRow.Holder == session && !m.sessionRow.Absorbed {
			s.adopt(other)
		}
	}
}

func (s *State) handleAdopted(ev Adopted) {
	startedAt, ok := s.adopting[ev.Session]
	if !ok {
		return
	}
	if ev.Err != nil {
		s.emit(Adopt{Session: ev.Session, Peers: s.peerAddrs()}) // the runtime delays the next attempt
		return
	}
	delete(s.adopting, ev.Session)
	s.absorbed[ev.Session] = true
	var adoptedJobs job.Tracker
	adoptedJobs.Restore(ev.States)
	for _, e := range ev.Entries {
		adoptedJobs.Apply(e)
	}
	states := adoptedJobs.Snapshot()
	s.acceptedJobs.Restore(states)
	p := s.core.Policy
	notBefore := startedAt.Add(p.StartWindow + p.TaskLease + 2*p.ClockMargin)
	for _, session := range acceptingSessions(states) {
		s.reconcile(reconcileKey{acceptedBy: session}).leasesLapsedAt = notBefore
		for _, o := range s.knownOutcomes(OutcomeQuery{Session: session}) {
			s.handleOrphan(o)
		}
	}
	for _, o := range ev.Ended {
		s.handleOrphan(o)
	}
	for _, st := range states {
		if st.Open > 0 {
			s.startDispatch(st.Job.ID, notBefore)
			s.applyOrphans(st)
			s.reclaimForwarded(st)
		}
	}
	s.takeSnapshot()
	if m := s.members[ev.Session]; m != nil {
		row := m.sessionRow
		row.Absorbed = true
		s.emit(WriteSessionRow{Session: ev.Session, Row: row, Revision: m.sessionRevision})
	}
}
