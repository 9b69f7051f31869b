// Package job tracks the jobs that one entry host has accepted and the progress of
// each task. It defines the entries that the journal must hold so that another
// entry host can continue the jobs after this one fails.
//
// A Tracker changes only by applying entries. The same entries are written to the
// journal; replaying them gives the same Tracker.
//
// # Usage
//
//	var tracker job.Tracker
//	tracker.Apply(job.Entry{Accept: &j}) // after it was written to the journal
//	state, _ := tracker.Get(j.ID)
//	for _, t := range state.OpenTasks() { ... } // the tasks still to run
//	tracker.Apply(job.Entry{End: &job.TaskEnd{Job: j.ID, Index: 0, State: job.Done}})
//	status, ok := tracker.Status(j.ID, false)
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

// States of a task and of a job.
const (
	Waiting        = "waiting"
	Done           = "done"
	Failed         = "failed"
	Cancelled      = "cancelled"
	Refused        = "refused" // the task can never run
	OutcomeUnknown = "outcomeUnknown"
)

// Retention is how long an ended job can be read.
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

// TaskEnd records how one task of a job ended.
type TaskEnd struct {
	Job     string          `json:"job"`
	Index   int             `json:"index"`
	State   string          `json:"state"`
	Message string          `json:"message,omitempty"`
	Output  json.RawMessage `json:"output,omitempty"`
	At      time.Time       `json:"at,omitzero"`
}

// StartRecord records that a non-idempotent task is about to be started. Such a
// task is started at most once.
type StartRecord struct {
	Job   string `json:"job"`
	Index int    `json:"index"`
}

// Entry is one change to a Tracker. Exactly one field is set.
type Entry struct {
	Accept *Job         `json:"accept,omitempty"`
	Begin  *StartRecord `json:"begin,omitempty"`
	End    *TaskEnd     `json:"end,omitempty"`
	Cancel string       `json:"cancel,omitempty"` // job ID
}

// State is a job with the progress of its tasks. Snapshots store jobs in this
// form.
type State struct {
	Job       Job       `json:"job"`
	Ends      []TaskEnd `json:"ends"`            // by task index; State is empty until the task has ended
	Started   []int     `json:"begun,omitempty"` // indexes of the tasks with a StartRecord
	Cancelled bool      `json:"cancelled,omitempty"`
	Open      int       `json:"open"` // number of tasks that have not ended
	EndedAt   time.Time `json:"endedAt,omitzero"`
}

// Status is the state of a job as reported to a caller.
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

// Tracker holds jobs by ID. The zero Tracker is empty and ready to use.
type Tracker struct {
	jobs   map[string]*State
	teams  map[string]map[string]*State // by team and job ID
	memory int64
}

// jobBytes and taskBytes are what a job and each of its tasks take, beside the payload.
const jobBytes, taskBytes = 600, 160

// Memory returns the bytes that a tracker holds for the job until it expires, without the
// outputs of its tasks.
func (j *Job) Memory() int64 { return jobBytes + int64(len(j.Payload)) + taskBytes*int64(j.Tasks) }

// Memory returns the bytes that the tracker holds for its jobs.
func (t *Tracker) Memory() int64 { return t.memory }

// Apply applies an entry. Applying the same entry again has no effect.
func (t *Tracker) Apply(e Entry) {
	switch {
	case e.Accept != nil:
		t.accept(*e.Accept)
	case e.Begin != nil:
		t.recordStart(*e.Begin)
	case e.End != nil:
		t.end(*e.End)
	case e.Cancel != "":
		if s := t.jobs[e.Cancel]; s != nil {
			s.Cancelled = true
		}
	}
}

func (t *Tracker) accept(j Job) {
	if _, ok := t.jobs[j.ID]; ok {
		return
	}
	t.put(&State{Job: j, Ends: make([]TaskEnd, j.Tasks), Open: j.Tasks})
}

func (t *Tracker) put(s *State) {
	if t.jobs == nil {
		t.jobs = map[string]*State{}
		t.teams = map[string]map[string]*State{}
	}
	if before := t.jobs[s.Job.ID]; before != nil {
		t.memory -= before.Job.Memory()
	}
	t.memory += s.Job.Memory()
	t.jobs[s.Job.ID] = s
	if t.teams[s.Job.Team] == nil {
		t.teams[s.Job.Team] = map[string]*State{}
	}
	t.teams[s.Job.Team][s.Job.ID] = s
}

func (t *Tracker) recordStart(e StartRecord) {
	s := t.jobs[e.Job]
	if s == nil || e.Index < 0 || e.Index >= len(s.Ends) || s.MayHaveStarted(e.Index) {
		return
	}
	s.Started = append(s.Started, e.Index)
}

func (t *Tracker) end(e TaskEnd) {
	s := t.jobs[e.Job]
	if s == nil || e.Index < 0 || e.Index >= len(s.Ends) || s.Ends[e.Index].State != "" {
		return
	}
	s.Ends[e.Index] = e
	s.Open--
	if s.Open == 0 {
		s.EndedAt = e.At
	}
}

// MayHaveStarted reports whether the start of a non-idempotent task was recorded, so
// that the task may have run.
func (s *State) MayHaveStarted(index int) bool {
	for _, i := range s.Started {
		if i == index {
			return true
		}
	}
	return false
}

// Get returns the state of a job. The caller must not modify it.
func (t *Tracker) Get(id string) (*State, bool) {
	s, ok := t.jobs[id]
	return s, ok
}

// Len returns the number of jobs.
func (t *Tracker) Len() int { return len(t.jobs) }

// Status returns the status of a job. If brief is set, it leaves out the ends of
// the tasks.
func (t *Tracker) Status(id string, brief bool) (Status, bool) {
	s, ok := t.jobs[id]
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

// summary returns the state of the whole job. While tasks are open, it is
// Cancelled if the job was cancelled and otherwise Waiting. After that, it is the
// state of the first task that is neither Done nor Cancelled. If there is none, it
// is Cancelled if any task was cancelled and otherwise Done.
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

// List returns the brief status of up to limit of a team's jobs, the newest first.
func (t *Tracker) List(team string, limit int) []Status {
	list := []Status{}
	for id := range t.teams[team] {
		st, _ := t.Status(id, true)
		list = append(list, st)
	}
	sort.Slice(list, func(i, j int) bool {
		if !list[i].Accepted.Equal(list[j].Accepted) {
			return list[i].Accepted.After(list[j].Accepted)
		}
		return list[i].ID < list[j].ID
	})
	return list[:min(limit, len(list))]
}

// RemoveExpired removes the jobs that ended longer than Retention ago.
func (t *Tracker) RemoveExpired(now time.Time) {
	for id, s := range t.jobs {
		if s.Open == 0 && now.Sub(s.EndedAt) > Retention {
			t.memory -= s.Job.Memory()
			delete(t.jobs, id)
			delete(t.teams[s.Job.Team], id)
		}
	}
}

// Snapshot returns the state of every job, sorted by ID.
func (t *Tracker) Snapshot() []State {
	list := make([]State, 0, len(t.jobs))
	for _, s := range t.jobs {
		list = append(list, s.clone())
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Job.ID < list[j].Job.ID })
	return list
}

func (s *State) clone() State {
	c := *s
	c.Ends = append([]TaskEnd(nil), s.Ends...)
	c.Started = append([]int(nil), s.Started...)
	return c
}

// Restore adds the jobs of a snapshot.
func (t *Tracker) Restore(list []State) {
	for i := range list {
		s := list[i].clone()
		t.put(&s)
	}
}

// OpenTasks returns the tasks of a job that have not ended, in order. It leaves
// out non-idempotent tasks that may have run.
func (s *State) OpenTasks() []task.Task {
	var list []task.Task
	for i, e := range s.Ends {
		if e.State == "" && !s.MayHaveStarted(i) {
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

// TaskID returns the ID of a job's task.
func TaskID(job string, index int) string { return fmt.Sprintf("%s/%d", job, index) }

// ParseTaskID returns the job ID and the index in a task ID made by TaskID.
func ParseTaskID(id string) (job string, index int, ok bool) {
	i := strings.LastIndexByte(id, '/')
	if i < 0 {
		return "", 0, false
	}
	index, err := strconv.Atoi(id[i+1:])
	return id[:i], index, err == nil
}
