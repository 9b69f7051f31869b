package control

import (
	"time"

	"github.com/cowslipgap/cowslipgap/job"
	"github.com/cowslipgap/cowslipgap/refusal"
	"github.com/cowslipgap/cowslipgap/storage"
)

const (
	// orphanTTL is how long the outcome of an unknown task is kept, in case this
	// host takes over its job shortly afterwards.
	orphanTTL  = time.Minute
	maxOrphans = 100_000
)

// orphan is the outcome of a task that ran to its end and that this host did not
// start.
type orphan struct {
	outcome storage.Outcome
	readAt  time.Time
}

// handleOrphan applies or keeps the outcome of a task that an earlier owner of the
// worker started, so that a job that was taken over does not run the task again.
func (s *State) handleOrphan(o storage.Outcome) {
	id, _, ok := job.ParseTaskID(o.Task)
	r := s.requests[o.Task]
	if !ok || !ranToEnd(o) || r != nil && r.forwardedTo == "" {
		return
	}
	if st := s.jobState(id); st != nil && r == nil {
		s.applyOrphan(st, o)
		return
	}
	if len(s.orphans) < maxOrphans {
		s.orphans[o.Task] = orphan{o, s.now}
	}
}

// applyOrphans applies the kept outcomes of a job that was just taken over.
func (s *State) applyOrphans(st job.State) {
	ownState := s.jobState(st.Job.ID)
	for i := range st.Ends {
		id := job.TaskID(st.Job.ID, i)
		if found, ok := s.orphans[id]; ok {
			delete(s.orphans, id)
			s.applyOrphan(ownState, found.outcome)
		}
	}
}

// applyOrphan ends a task of a job that this host keeps with an outcome that was
// read at a worker.
func (s *State) applyOrphan(st *job.State, o storage.Outcome) {
	_, index, _ := job.ParseTaskID(o.Task)
	if index < 0 || index >= len(st.Ends) || st.Ends[index].State != "" {
		return
	}
	if d := s.dispatching[st.Job.ID]; d != nil {
		d.dispatched++ // endTask decrements it
	}
	state := job.Done
	if o.End == storage.EndFailed {
		state = job.Failed
	}
	s.endTask(st.Task(index), state, o.Message, o.Output)
}

// reclaimForwarded makes this host the owner of tasks of an adopted job that the
// ended session had forwarded here and that still run.
func (s *State) reclaimForwarded(st job.State) {
	d := s.dispatching[st.Job.ID]
	for i := range st.Ends {
		if r := s.requests[job.TaskID(st.Job.ID, i)]; r != nil && r.sender != "" {
			r.sender, r.abandoned = "", false
			d.dispatched++
			d.alreadyRunning = append(d.alreadyRunning, i)
		}
	}
}

// knownOutcomes returns the outcomes that q selects and that are still kept: of
// tasks that were forwarded here, and of tasks that earlier owners of this host's
// workers started.
func (s *State) knownOutcomes(q OutcomeQuery) []storage.Outcome {
	var list []storage.Outcome
	add := func(id string) {
		if o := s.recentAnswers[id].answer.Outcome; o != nil {
			list = append(list, *o)
		}
		if found, ok := s.orphans[id]; ok {
			list = append(list, found.outcome)
		}
	}
	if q.Session == "" {
		for _, id := range q.Tasks {
			add(id)
		}
		return list
	}
	for id := range s.recentAnswers {
		if q.covers(id) {
			add(id)
		}
	}
	for id := range s.orphans {
		if _, ok := s.recentAnswers[id]; !ok && q.covers(id) {
			add(id)
		}
	}
	return list
}

// orphanAnswer returns the answer for a task that was sent to an earlier owner of
// these workers. If no outcome is kept, the task may still have run.
func (s *State) orphanAnswer(id string) Answer {
	found, ok := s.orphans[id]
	if !ok {
		return Answer{ID: id, Refusal: refusal.New(refusal.OutcomeLost, "the session that accepted the task has ended")}
	}
	return Answer{ID: id, Outcome: &found.outcome}
}

// jobIDOf returns the job ID that a task ID contains.
func jobIDOf(task string) string {
	id, _, _ := job.ParseTaskID(task)
	return id
}

// peerAddrs returns the addresses of the hosts to which hosts of this zone may
// have forwarded tasks.
func (s *State) peerAddrs() []string {
	var list []string
	for _, session := range s.liveSessions() {
		if session != s.Session {
			list = append(list, s.members[session].heartbeatRow.PeerAddr)
		}
	}
	for zone, z := range s.zones {
		if zone == s.Zone {
			continue
		}
		for _, e := range z.row.Entries {
			list = append(list, e.PeerAddr)
		}
	}
	return list
}

// expireOrphans drops outcomes that were kept longer than orphanTTL.
func (s *State) expireOrphans() {
	for id, found := range s.orphans {
		if s.now.Sub(found.readAt) > orphanTTL {
			delete(s.orphans, id)
		}
	}
}
