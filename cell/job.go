package cell

import (
	"time"

	"github.com/cowslipgap/cowslipgap/workload"
)

// job is an accepted job, or one whose acceptance is being stored.
type job struct {
	*workload.Job // nil once the job has ended
	id            string
	progress      workload.Progress
	shownState    workload.State // state reported to callers: the stored one, or Active
	stored        bool           // the store has the job's row
	storing       bool           // the job's row has been sent to the store
	recorded      bool           // the store has, or will have, its progress row
	dirty         bool           // queued for the next commit
	receivedAt    Instant
	objective     Instant // when it should be complete
	occurrences   []*occurrence
	acceptReplies []uint64 // replies due once the acceptance is stored
	cancelReplies []uint64 // replies due once the cancellation is stored
	endedAt       Instant
	deleted       bool // the job's row is deleted, or will be
	beyondRate    bool // the team exceeded its rate when it was submitted
}

// occurrence is one pass through a job's steps.
type occurrence struct {
	k         int
	due       time.Time // scheduled start; zero: immediately
	steps     []*step
	stepsLeft int // steps that are not done
}

// step is a step of one occurrence.
type step struct {
	job  *job
	occ  *occurrence
	n    int
	spec *workload.Step
	name string

	tasks           []*task
	tasksLeft       int  // tasks that are not done
	active          int  // tasks with a run
	ready           bool // its dependencies are done and its occurrence is due to start
	queued          bool // in Cell.waiting
	done            bool
	nextRun         uint64              // of a gang
	failedRuns      workload.FailedRuns // of a gang
	checkpoint      string              // of a gang
	gangRemainingAt Instant             // when gangRemaining was computed
	gangRemaining   time.Duration       // longest remaining work of a gang's members

	advice         adviceState
	notBefore      Instant // do not place before; set after a refused start or a failed call
	nextWaitLog    Instant // when its wait is logged next
	waitLogDelay   time.Duration
	roomExpectedAt Instant // when a waiting gang is expected to have room
	latestStart    Instant // latest start that meets the objective
	rank           int     // its rank in the current placement round; lower comes first
}

// task is one task of a step.
type task struct {
	step       *step
	index      int
	name       string
	done       bool
	failedRuns workload.FailedRuns
	checkpoint string
	nextRun    uint64
	runs       []*run
	avoid      map[string]bool // workers on which it failed
	heldBy     string          // worker that may still have a run of it by an earlier owner
}

// runState is what is known of a run.
type runState int

const (
	placing     runState = iota // its placement is being stored
	starting                    // the start command is in flight
	unconfirmed                 // the start was not answered; it may still begin later
	running
	stopping
)

// run is one execution of a task on a worker.
type run struct {
	task        *task
	n           uint64
	w           *worker
	state       runState
	sentAt      Instant
	confirmedAt Instant // when it was first known to be running
	stopSentAt  Instant
	stopAckedAt Instant
	percent     int
	progressAt  Instant // when percent last changed
}

func (s *step) unstartedTasks() int { return s.tasksLeft - s.active }

// newJob returns the working state of a job with the given progress.
func newJob(spec *workload.Job, p workload.Progress, firstRun uint64) *job {
	j := &job{Job: spec, id: spec.ID, progress: p, shownState: p.State}
	for k := range spec.Occurrences() {
		o := &occurrence{k: k, due: spec.Due(k), stepsLeft: len(spec.Steps)}
		for n := range spec.Steps {
			st := &spec.Steps[n]
			s := &step{job: j, occ: o, n: n, spec: st, tasksLeft: st.Count, nextRun: firstRun}
			s.advice.needed = spec.Queue.Advice != nil
			s.name = workload.TaskID{Job: spec.ID, Occurrence: k, Step: n}.StepName()
			for i := range st.Count {
				id := workload.TaskID{Job: spec.ID, Occurrence: k, Step: n, Index: i}
				s.tasks = append(s.tasks, &task{step: s, index: i, name: id.String(), nextRun: firstRun})
			}
			o.steps = append(o.steps, s)
		}
		j.occurrences = append(j.occurrences, o)
	}
	for _, rec := range p.Steps {
		j.restoreStep(rec)
	}
	return j
}

// restoreStep applies the stored progress of a step.
func (j *job) restoreStep(rec workload.StepRecord) {
	if rec.Occurrence >= len(j.occurrences) || rec.Step >= len(j.Steps) {
		return
	}
	s := j.occurrences[rec.Occurrence].steps[rec.Step]
	for _, i := range rec.Done {
		if i < len(s.tasks) && !s.tasks[i].done {
			s.tasks[i].done = true
			s.tasksLeft--
		}
	}
	for i, f := range rec.FailedRuns {
		if i < len(s.tasks) {
			s.tasks[i].failedRuns = f
			s.failedRuns = f
		}
	}
	for i, saved := range rec.Checkpoints {
		if i < len(s.tasks) {
			s.tasks[i].checkpoint = saved
			s.checkpoint = saved
		}
	}
	for i, at := range rec.Placed {
		if i < len(s.tasks) {
			s.tasks[i].heldBy = at.Worker
		}
	}
	if rec.AllDone || s.tasksLeft == 0 {
		s.finish()
	}
}

// finish marks every task of the step as done.
func (s *step) finish() {
	if s.done {
		return
	}
	for _, t := range s.tasks {
		t.done = true
	}
	s.tasksLeft = 0
	s.done = true
	s.occ.stepsLeft--
}

// record returns the job's progress to store.
func (j *job) record() workload.Progress {
	p := j.progress
	p.Steps = nil
	if p.State.Final() {
		return p
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if rec, changed := s.record(); changed {
				p.Steps = append(p.Steps, rec)
			}
		}
	}
	return p
}

func (s *step) record() (workload.StepRecord, bool) {
	rec := workload.StepRecord{Occurrence: s.occ.k, Step: s.n}
	if s.done {
		rec.AllDone = true
		return rec, true
	}
	for _, t := range s.tasks {
		if t.done {
			rec.Done = append(rec.Done, t.index)
			continue
		}
		if at, placed := t.placement(); placed {
			if rec.Placed == nil {
				rec.Placed = map[int]workload.Placement{}
			}
			rec.Placed[t.index] = at
		}
		failedRuns, saved := t.failedRuns, t.checkpoint
		if s.spec.Gang {
			if t.index > 0 {
				continue
			}
			failedRuns, saved = s.failedRuns, s.checkpoint
		}
		if len(failedRuns) > 0 {
			if rec.FailedRuns == nil {
				rec.FailedRuns = map[int]workload.FailedRuns{}
			}
			rec.FailedRuns[t.index] = failedRuns
		}
		if saved != "" {
			if rec.Checkpoints == nil {
				rec.Checkpoints = map[int]string{}
			}
			rec.Checkpoints[t.index] = saved
		}
	}
	return rec, len(rec.Done)+len(rec.FailedRuns)+len(rec.Checkpoints)+len(rec.Placed) > 0
}

// placement returns the worker on which the task may be running, and its run.
func (t *task) placement() (workload.Placement, bool) {
	if len(t.runs) > 0 {
		r := t.runs[len(t.runs)-1]
		return workload.Placement{Worker: r.w.ID, Run: r.n}, true
	}
	return workload.Placement{Worker: t.heldBy}, t.heldBy != ""
}

// readySteps returns the steps that become ready now: all their dependencies are
// done, and the occurrence is due.
func (o *occurrence) readySteps(wall time.Time) []*step {
	if !o.due.IsZero() && wall.Before(o.due) {
		return nil
	}
	var list []*step
	for _, s := range o.steps {
		if s.ready || s.done {
			continue
		}
		ready := true
		for _, dependency := range s.spec.DependsOn {
			ready = ready && o.steps[dependency].done
		}
		if ready {
			list = append(list, s)
		}
	}
	return list
}
