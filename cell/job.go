package cell

import (
	"time"

	"github.com/cowslipgap/cowslipgap/docket"
)

// job is an accepted job, or one whose acceptance is being written.
type job struct {
	*docket.Job // nil once the job has ended
	id          string
	progress    docket.Progress
	shown       docket.State // the state that the store holds
	stored      bool         // the store has the job
	storing     bool         // its row is on the way
	recorded    bool         // the store has, or will have, its progress
	dirty       bool
	received    Instant
	objective   Instant // when it should be complete
	occurrences []*occurrence
	acceptWaits []uint64
	cancelWaits []uint64
	endedAt     Instant
	deleted     bool
	beyondRate  bool // the team sent more than it is owed
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	k     int
	due   time.Time // zero: at once
	steps []*step
	left  int // steps not done
}

// step is a step of an occurrence.
type step struct {
	job  *job
	occ  *occurrence
	n    int
	spec *docket.Step
	name string

	tasks      []*task
	left       int // tasks not done
	active     int // tasks with a run
	ready      bool
	queued     bool // in the list of steps that wait
	done       bool
	nextRun    uint64        // of a gang
	faults     docket.Faults // of a gang
	checkpoint string        // of a gang
	leftAt     Instant       // when longest was worked out
	longest    time.Duration // for which a gang's members still have work

	advice    adviceState
	notBefore Instant // pause after a refusal
	noteDue   Instant // when its wait is logged again
	noteGap   time.Duration
	roomAt    Instant // when a gang that waits may have room
	latestAt  Instant // start by then to meet the objective
	rank      int
}

// task is one task of a step.
type task struct {
	step       *step
	index      int
	name       string
	done       bool
	faults     docket.Faults
	checkpoint string
	nextRun    uint64
	runs       []*run
	avoid      map[string]bool // workers on which it failed
	held       string          // a worker that may run it for an earlier owner
}

// runState is what is known of a run.
type runState int

const (
	planned   runState = iota // its placement is being stored
	starting                  // the order is on its way
	unsettled                 // no answer; it may begin later
	running
	stopping
)

// run is one start of a task.
type run struct {
	task      *task
	n         uint64
	w         *worker
	state     runState
	sent      Instant
	confirmed Instant // when it was known to be at work
	stopSent  Instant
	stopAcked Instant
	percent   int
	movedAt   Instant // when percent last changed
}

func (s *step) waiting() int { return s.left - s.active }

// newJob builds the working state of a job with the given progress.
func newJob(spec *docket.Job, p docket.Progress, firstRun uint64) *job {
	j := &job{Job: spec, id: spec.ID, progress: p, shown: p.State}
	for k := range spec.Occurrences() {
		o := &occurrence{k: k, due: spec.Due(k), left: len(spec.Steps)}
		for n := range spec.Steps {
			st := &spec.Steps[n]
			s := &step{job: j, occ: o, n: n, spec: st, left: st.Count, nextRun: firstRun}
			s.advice.needed = spec.Queue.Advice != nil
			s.name = docket.TaskID{Job: spec.ID, Occurrence: k, Step: n}.StepName()
			for i := range st.Count {
				id := docket.TaskID{Job: spec.ID, Occurrence: k, Step: n, Index: i}
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

// restoreStep applies stored progress.
func (j *job) restoreStep(rec docket.StepRecord) {
	if rec.Occurrence >= len(j.occurrences) || rec.Step >= len(j.Steps) {
		return
	}
	s := j.occurrences[rec.Occurrence].steps[rec.Step]
	for _, i := range rec.Done {
		if i < len(s.tasks) && !s.tasks[i].done {
			s.tasks[i].done = true
			s.left--
		}
	}
	for i, f := range rec.Faults {
		if i < len(s.tasks) {
			s.tasks[i].faults = f
			s.faults = f
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
			s.tasks[i].held = at.Worker
		}
	}
	if rec.AllDone || s.left == 0 {
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
	s.left = 0
	s.done = true
	s.occ.left--
}

// record returns the job's progress in its stored form.
func (j *job) record() docket.Progress {
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

func (s *step) record() (docket.StepRecord, bool) {
	rec := docket.StepRecord{Occurrence: s.occ.k, Step: s.n}
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
				rec.Placed = map[int]docket.Placement{}
			}
			rec.Placed[t.index] = at
		}
		faults, saved := t.faults, t.checkpoint
		if s.spec.Gang {
			if t.index > 0 {
				continue
			}
			faults, saved = s.faults, s.checkpoint
		}
		if len(faults) > 0 {
			if rec.Faults == nil {
				rec.Faults = map[int]docket.Faults{}
			}
			rec.Faults[t.index] = faults
		}
		if saved != "" {
			if rec.Checkpoints == nil {
				rec.Checkpoints = map[int]string{}
			}
			rec.Checkpoints[t.index] = saved
		}
	}
	return rec, len(rec.Done)+len(rec.Faults)+len(rec.Checkpoints)+len(rec.Placed) > 0
}

// placement returns where the task may be at work.
func (t *task) placement() (docket.Placement, bool) {
	if len(t.runs) > 0 {
		r := t.runs[len(t.runs)-1]
		return docket.Placement{Worker: r.w.ID, Run: r.n}, true
	}
	return docket.Placement{Worker: t.held}, t.held != ""
}

// open returns the steps that may run now: all they wait for is done, and their
// time has come.
func (o *occurrence) open(wall time.Time) []*step {
	if !o.due.IsZero() && wall.Before(o.due) {
		return nil
	}
	var list []*step
	for _, s := range o.steps {
		if s.ready || s.done {
			continue
		}
		ready := true
		for _, before := range s.spec.After {
			ready = ready && o.steps[before].done
		}
		if ready {
			list = append(list, s)
		}
	}
	return list
}
