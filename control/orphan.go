package control

import (
	"time"

	"github.com/cowslipgap/cowslipgap/job"
	"github.com/cowslipgap/cowslipgap/refusal"
	"github.com/cowslipgap/cowslipgap/storage"
)

const (
	// straysKept is for how long the end of an unknown task is kept, in case its
	// job is taken over by this host a moment later.
	straysKept = time.Minute
	maxStrays  = 100_000
)

// stray is the end of a task that ran to it and that this host did not start.
type stray struct {
	outcome storage.Outcome
	at      time.Time
}

// takeStray uses the end of a task that an earlier owner of the worker started:
// a job that was taken over need not run it again.
func (s *State) takeStray(o storage.Outcome) {
	id, _, ok := job.ParseTaskID(o.Task)
	r := s.requests[o.Task]
	if !ok || !final(o) || r != nil && r.at == "" {
		return
	}
	if st := s.lookJob(id); st != nil && r == nil {
		s.applyStray(st, o)
		return
	}
	if len(s.strays) < maxStrays {
		s.strays[o.Task] = stray{o, s.now}
	}
}

// applyStrays looks for ends of a job that has just been taken over.
func (s *State) applyStrays(st job.State) {
	own := s.lookJob(st.Job.ID)
	for i := range st.Ends {
		id := job.TaskID(st.Job.ID, i)
		if kept, ok := s.strays[id]; ok {
			delete(s.strays, id)
			s.applyStray(own, kept.outcome)
		}
	}
}

func (s *State) applyStray(st *job.State, o storage.Outcome) {
	_, index, _ := job.ParseTaskID(o.Task)
	if index < 0 || index >= len(st.Ends) || st.Ends[index].State != "" {
		return
	}
	if w := s.jobs[st.Job.ID]; w != nil {
		w.fed++ // endTask takes it off again
	}
	state := job.Done
	if o.End == storage.EndFailed {
		state = job.Failed
	}
	s.endTask(st.Task(index), state, o.Message, o.Output)
}

// takeBack makes tasks of an adopted job this host's own that the session which
// is gone had forwarded here and that still run.
func (s *State) takeBack(st job.State) {
	w := s.jobs[st.Job.ID]
	for i := range st.Ends {
		if r := s.requests[job.TaskID(st.Job.ID, i)]; r != nil && r.from != "" {
			r.from, r.gone = "", false
			w.fed++
			w.taken = append(w.taken, i)
		}
	}
}

// endedFor returns the outcomes of the tasks asked for that were forwarded here
// or found at workers that were taken over, as far as they are kept.
func (s *State) endedFor(q EndsQuestion) []storage.Outcome {
	var list []storage.Outcome
	add := func(id string) {
		if o := s.recent[id].answer.Outcome; o != nil {
			list = append(list, *o)
		}
		if kept, ok := s.strays[id]; ok {
			list = append(list, kept.outcome)
		}
	}
	if q.Session == "" {
		for _, id := range q.Tasks {
			add(id)
		}
		return list
	}
	for id := range s.recent {
		if q.covers(id) {
			add(id)
		}
	}
	for id := range s.strays {
		if _, ok := s.recent[id]; !ok && q.covers(id) {
			add(id)
		}
	}
	return list
}

// strayAnswer tells what became of a task that an earlier owner of these workers
// was sent. Without an outcome nothing is known: it may have run.
func (s *State) strayAnswer(id string) Answer {
	kept, ok := s.strays[id]
	if !ok {
		return Answer{ID: id, Refusal: refusal.New(refusal.OutcomeLost, "the session that took it on has ended")}
	}
	return Answer{ID: id, Outcome: &kept.outcome}
}

func jobOf(task string) string {
	id, _, _ := job.ParseTaskID(task)
	return id
}

// allPeers returns the addresses of the hosts that may have been sent tasks from
// this zone.
func (s *State) allPeers() []string {
	var list []string
	for _, session := range s.live() {
		if session != s.Session {
			list = append(list, s.members[session].beat.PeerAddr)
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

// forgetStrays drops what nobody asked for.
func (s *State) forgetStrays() {
	for id, kept := range s.strays {
		if s.now.Sub(kept.at) > straysKept {
			delete(s.strays, id)
		}
	}
}
