// Package job keeps the accepted jobs of one entry host: what was acknowledged,
// how far each task has come, and what the journal must hold so that a sibling
// can go on after this host.
//
// A Book changes only by applying entries, and the same entries are journalled;
// replaying them gives the same Book.
//
// # Usage
//
//	var b job.Book
//	b.Apply(job.Entry{Accept: &j})            // once it is in the journal
//	for _, t := range b.Open() { ... }        // what still has to run
//	b.Apply(job.Entry{End: &job.TaskEnd{Job: j.ID, Index: 0, State: job.Done}})
//	status, ok := b.Status(j.ID)
package job

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cowslipgap/cowslipgap/class"
	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/task"
)

// States of a job's task and of a job.
const (
	Waiting   = "waiting"
	Done      = "done"
	Failed    = "failed"
	Cancelled = "cancelled"
	Refused   = "refused" // it can never run
	Lost      = "outcomeUnknown"
)

// Retention is for how long an ended job can be read.
const Retention = time.Hour

// Job is an accepted job.
type Job struct {
	ID            string          `json:"id"`
	Team          string          `json:"team"`
	RequestID     string          `json:"requestId,omitempty"`
	Class         class.Class     `json:"class"`
	Need          resource.Vector `json:"need"`
	Tasks         int             `json:"tasks"`
	Zone          string          `json:"zone,omitempty"`
	Rack          string          `json:"rack,omitempty"`
	Urgent        bool            `json:"urgent,omitempty"`
	NonIdempotent bool            `json:"nonIdempotent,omitempty"`
	Payload       json.RawMessage `json:"payload,omitempty"`
	Accepted      time.Time       `json:"accepted"`
}

// TaskEnd is the end of one of a job's tasks.
type TaskEnd struct {
	Job     string          `json:"job"`
	Index   int             `json:"index"`
	State   string          `json:"state"`
	Message string          `json:"message,omitempty"`
	Output  json.RawMessage `json:"output,omitempty"`
	At      time.Time       `json:"at,omitzero"`
}

// Begin says that a non-idempotent task is about to be started for the only time.
type Begin struct {
	Job   string `json:"job"`
	Index int    `json:"index"`
}

// Entry is one change of a Book. Exactly one field is set.
type Entry struct {
	Accept *Job     `json:"accept,omitempty"`
	Begin  *Begin   `json:"begin,omitempty"`
	End    *TaskEnd `json:"end,omitempty"`
	Cancel string   `json:"cancel,omitempty"` // a job's ID
}

// State is what is known of a job. It is also the form of a snapshot.
type State struct {
	Job       Job       `json:"job"`
	Ends      []TaskEnd `json:"ends"` // by index; State is empty while the task is open
	Begun     []int     `json:"begun,omitempty"`
	Cancelled bool      `json:"cancelled,omitempty"`
	Open      int       `json:"open"` // tasks without an end
	EndedAt   time.Time `json:"endedAt,omitzero"`
}

// Status is what a caller reads of a job.
type Status struct {
	ID       string         `json:"id"`
	Team     string         `json:"team"`
	Class    class.Class    `json:"class"`
	State    string         `json:"state"`
	Tasks    int            `json:"tasks"`
	Counts   map[string]int `json:"counts"`
	Accepted time.Time      `json:"accepted"`
	EndedAt  time.Time      `json:"endedAt,omitzero"`
	Ends     []TaskEnd      `json:"ends,omitempty"`
}

// Book holds jobs by ID. The zero Book is empty and ready.
type Book struct {
	jobs  map[string]*State
	teams map[string]map[string]*State
}

// Apply makes a change. Applying an entry twice changes nothing more.
func (b *Book) Apply(e Entry) {
	switch {
	case e.Accept != nil:
		b.accept(*e.Accept)
	case e.Begin != nil:
		b.begin(*e.Begin)
	case e.End != nil:
		b.end(*e.End)
	case e.Cancel != "":
		if s := b.jobs[e.Cancel]; s != nil {
			s.Cancelled = true
		}
	}
}

func (b *Book) accept(j Job) {
	if _, ok := b.jobs[j.ID]; ok {
		return
	}
	b.put(&State{Job: j, Ends: make([]TaskEnd, j.Tasks), Open: j.Tasks})
}

func (b *Book) put(s *State) {
	if b.jobs == nil {
		b.jobs = map[string]*State{}
		b.teams = map[string]map[string]*State{}
	}
	b.jobs[s.Job.ID] = s
	if b.teams[s.Job.Team] == nil {
		b.teams[s.Job.Team] = map[string]*State{}
	}
	b.teams[s.Job.Team][s.Job.ID] = s
}

func (b *Book) begin(e Begin) {
	s := b.jobs[e.Job]
	if s == nil || e.Index < 0 || e.Index >= len(s.Ends) || s.Begins(e.Index) {
		return
	}
	s.Begun = append(s.Begun, e.Index)
}

func (b *Book) end(e TaskEnd) {
	s := b.jobs[e.Job]
	if s == nil || e.Index < 0 || e.Index >= len(s.Ends) || s.Ends[e.Index].State != "" {
		return
	}
	s.Ends[e.Index] = e
	s.Open--
	if s.Open == 0 {
		s.EndedAt = e.At
	}
}

// Begins reports whether a non-idempotent task may have been started.
func (s *State) Begins(index int) bool {
	for _, i := range s.Begun {
		if i == index {
			return true
		}
	}
	return false
}

// Get returns a job's state, which the caller must not change.
func (b *Book) Get(id string) (*State, bool) {
	s, ok := b.jobs[id]
	return s, ok
}

// Len returns the number of jobs.
func (b *Book) Len() int { return len(b.jobs) }

// Status returns a job's status for its caller. The ends are left out where
// brief is set.
func (b *Book) Status(id string, brief bool) (Status, bool) {
	s, ok := b.jobs[id]
	if !ok {
		return Status{}, false
	}
	st := Status{
		ID: id, Team: s.Job.Team, Class: s.Job.Class, Tasks: s.Job.Tasks,
		Accepted: s.Job.Accepted, EndedAt: s.EndedAt, Counts: map[string]int{}, State: s.summary(),
	}
	for _, e := range s.Ends {
		if e.State == "" {
			st.Counts[Waiting]++
			continue
		}
		st.Counts[e.State]++
		if !brief {
			st.Ends = append(st.Ends, e)
		}
	}
	return st, true
}

// summary is the state of the job as a whole.
func (s *State) summary() string {
	if s.Open > 0 {
		if s.Cancelled {
			return Cancelled
		}
		return Waiting
	}
	worst := Done
	for _, e := range s.Ends {
		if e.State != Done && (worst == Done || worst == Cancelled) {
			worst = e.State
		}
	}
	return worst
}

// List returns the brief status of a team's jobs, the newest first.
func (b *Book) List(team string, most int) []Status {
	list := []Status{}
	for id := range b.teams[team] {
		st, _ := b.Status(id, true)
		list = append(list, st)
	}
	sort.Slice(list, func(i, j int) bool {
		if !list[i].Accepted.Equal(list[j].Accepted) {
			return list[i].Accepted.After(list[j].Accepted)
		}
		return list[i].ID < list[j].ID
	})
	return list[:min(most, len(list))]
}

// Forget drops jobs that ended longer than Retention ago.
func (b *Book) Forget(now time.Time) {
	for id, s := range b.jobs {
		if s.Open == 0 && now.Sub(s.EndedAt) > Retention {
			delete(b.jobs, id)
			delete(b.teams[s.Job.Team], id)
		}
	}
}

// Snapshot returns every job's state, in the order of the IDs.
func (b *Book) Snapshot() []State {
	list := make([]State, 0, len(b.jobs))
	for _, s := range b.jobs {
		list = append(list, s.clone())
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Job.ID < list[j].Job.ID })
	return list
}

func (s *State) clone() State {
	c := *s
	c.Ends = append([]TaskEnd(nil), s.Ends...)
	c.Begun = append([]int(nil), s.Begun...)
	return c
}

// Restore adds the jobs of a snapshot.
func (b *Book) Restore(list []State) {
	for i := range list {
		s := list[i].clone()
		b.put(&s)
	}
}

// OpenTasks returns the tasks of a job that have no end, in order. Those that
// are not idempotent and may have run are not among them.
func (s *State) OpenTasks() []task.Task {
	var list []task.Task
	for i, e := range s.Ends {
		if e.State == "" && !s.Begins(i) {
			list = append(list, s.Task(i))
		}
	}
	return list
}

// Task returns the job's task with the given index.
func (s *State) Task(index int) task.Task {
	j := s.Job
	t := task.Task{
		ID: TaskID(j.ID, index), Job: j.ID, Team: j.Team, Class: j.Class, Need: j.Need, Zone: j.Zone, Rack: j.Rack,
		Urgent: j.Urgent, NonIdempotent: j.NonIdempotent, Submitted: j.Accepted, Payload: j.Payload,
	}
	if j.Class == class.Gang {
		t.GangSize = j.Tasks
	}
	return t
}

// TaskID names a job's task.
func TaskID(job string, index int) string { return fmt.Sprintf("%s/%d", job, index) }

// ParseTaskID returns the job and the index of a task that TaskID named.
func ParseTaskID(id string) (job string, index int, ok bool) {
	i := strings.LastIndexByte(id, '/')
	if i < 0 {
		return "", 0, false
	}
	index, err := strconv.Atoi(id[i+1:])
	return id[:i], index, err == nil
}
