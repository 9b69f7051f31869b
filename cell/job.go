package cell

import (
	"time"

	"github.com/cowslipgap/cowslipgap/poison"
	"github.com/cowslipgap/cowslipgap/workload"
)

// job is an accepted job, or one whose acceptance is being stored.
type job struct {
	id            string
	spec          *workload.Job // nil once the job has ended, while its steps may still have runs
	progress      workload.Progress
	reportedState workload.State // state reported to callers: the stored one, or Active
	encoded       []byte         // its specification, until that is stored
	stored        bool           // the store has the job's specification
	unreadable    bool           // one of its rows cannot be decoded: it has no spec, and does not run
	storing       bool           // the job's specification has been sent to the store
	rows          int            // rows of its specification in the store
	tasks         int            // of all its occurrences
	memory        int64          // bytes that it takes until it ends
	main          part           // its first part
	more          []*part        // its other parts, in order
	receivedAt    Instant        // when it was first submitted
	acceptedAt    Instant        // when this owner accepted it; 0 if an earlier one did
	objective     Instant        // when the job should be complete
	path          time.Duration  // estimated duration of its critical path
	occurrences   []*occurrence
	acceptReplies []uint64 // IDs of the replies to send once the acceptance is stored
	cancelReplies []uint64 // IDs of the replies to send once the cancellation is stored
	endedAt       Instant
	deleted       bool // the rows of its specification are deleted, or will be
	beyondRate    bool // the team exceeded its rate when it submitted the job
	acceptedLate  bool // it was expected to miss its objective when it was accepted
}

// occurrence is one pass through a job's steps.
type occurrence struct {
	index     int
	due       time.Time // scheduled start; zero: immediately
	steps     []*step
	stepsLeft int // steps that are not done
}

// step is a step of one occurrence.
type step struct {
	job   *job
	occ   *occurrence
	index int
	first int // ordinal of its first task in the job
	spec  *workload.Step
	queue *workload.Queue // of its job
	name  string

	tasks           []*task
	tasksLeft       int // tasks that are not done
	tasksWithRuns   int
	rejectedStarts  int     // starts that workers rejected as malformed since the last one that was taken
	ready           bool    // its dependencies are done and its occurrence is due to start
	readyAt         Instant // when it became ready under this owner
	waiting         bool    // in Cell.waiting
	done            bool
	lastRun         uint64              // number of the last run of a gang; the runs of other steps are numbered in task
	failedRuns      workload.FailedRuns // of a gang; other steps use task.failedRuns
	endedRun        uint64              // last run of a gang whose end by one member was logged
	broken          gangWait            // since the last run of a gang was broken
	ended           []endedRun          // runs of lost members of a gang
	notStarted      *run                // member of a gang that is to be placed anew; nil if none is
	sentRun         uint64              // last run of a gang of which a start was sent
	sentCheckpoint  string              // checkpoint that the starts of sentRun carry
	checkpoint      string              // of a gang; other steps use task.checkpoint
	peers           []peerRun           // runs that have ended and are not compared yet
	peerWork        float64             // median work of its tasks, in nanoseconds at speed 1; 0: unknown
	crashes         crashRecord         // of a gang; other steps use task.crashes
	begunRun        uint64              // last run of a gang with crashes of which all members were running
	begunAt         Instant             // since when they were
	gangRemainingAt Instant             // when gangRemaining was computed
	gangRemaining   time.Duration       // longest remaining work of a gang's members

	advice         adviceState
	aheadCheckAt   Instant         // no request for tickets ahead before
	notBefore      Instant         // do not place before; set after a refused start or a failed call
	nextWaitLog    Instant         // when the step's wait is logged next
	waitLogDelay   time.Duration   // time between the last log of its wait and the next; 0 before the first
	roomExpectedAt Instant         // when the workers are expected to have room for a waiting gang
	claim          claim           // of a waiting gang, to workers
	latestStart    Instant         // latest start that meets the objective
	roomOn         map[*worker]int // workers whose runs were stopped for it, with the tasks that they then hold
	roomCheckAt    Instant         // no search for runs to stop for it before
	tail           time.Duration   // estimated time from its start to the end of the job if no task has to wait
	rank           int             // its rank in the current placement round; lower comes first
}

// task is one task of a step.
type task struct {
	step       *step
	index      int
	name       string
	done       bool
	failedRuns workload.FailedRuns
	checkpoint string
	lastRun    uint64 // number of its last run, or the one after which its runs are numbered
	runs       []*run
	avoid      map[string]bool // workers on which it failed
	evictions  int             // how often its run was stopped to make room, or will be once that is stored
	copies     int             // copies of slow runs that have been started
	minSpeed   float64         // preferred speed of its worker, after a move from a slow one
	crashes    crashRecord
	withheldAt Instant // since when precautions against crashes keep it from running; 0 if none do
	brokenRun  uint64  // last run that its worker listed as broken
	heldSince  int64   // start of that worker when the run was placed; 0: unknown
	heldFor    string  // worker that may still execute a run that an earlier owner started; until that is known, no run starts
}

// runState is the last known state of a run.
type runState int

const (
	placing     runState = iota // its placement is being stored
	starting                    // the start command is in flight
	unconfirmed                 // the start command got no answer; the run may still start later
	running
	stopping
)

// run is one execution of a task on a worker.
type run struct {
	task           *task
	number         uint64
	workerStart    int64 // start of the worker when it was placed there, Unix milliseconds
	w              *worker
	state          runState
	sentAt         Instant
	confirmedAt    Instant // when it was first known to be running
	aliveAt        Instant // when it was last known to be running
	crashed        bool    // a crash of its worker was recorded with it
	adopted        bool    // an earlier owner started it, at an unknown time before confirmedAt
	stopSentAt     Instant
	firstStopAt    Instant // when the first stop was sent
	stopAckedAt    Instant
	percent        int     // reported progress
	savedPercent   int     // progress when the checkpoint was reported
	hastened       bool    // a copy, or stopped for a move to a faster worker
	sampledPercent int     // progress at the last speed sample
	sampledAt      Instant // when that was; 0 before the first
	progressAt     Instant // when percent last changed
	savedAt        Instant // when its last checkpoint was reported; 0 if none was
	saved          string  // that checkpoint
	roomFor        *step   // step that it makes room for, until its stop is sent
	evictedAt      Instant // when that was decided
	lost           float64 // core-seconds charged for its stop, if it was stopped to make room
	resumed        bool    // it was started from a checkpoint
	// progressClock is the worker's clock in the first report with the current percent; 0
	// if no report has listed the run.
	progressClock time.Duration
}

// atWork reports whether a run is running and is not to be stopped.
func (r *run) atWork() bool { return r.state == running && r.stopSentAt == 0 && r.roomFor == nil }

func (s *step) unstartedTasks() int { return s.tasksLeft - s.tasksWithRuns }

// newJob returns the working state of a job with the given state. Its runs are numbered
// from baseRun+1.
func newJob(spec *workload.Job, p workload.Progress, baseRun uint64) *job {
	j := &job{id: spec.ID, spec: spec, progress: p, reportedState: p.State}
	j.progress.Steps = nil
	for k := range spec.Occurrences() {
		o := &occurrence{index: k, due: spec.Due(k), stepsLeft: len(spec.Steps)}
		for n := range spec.Steps {
			st := &spec.Steps[n]
			s := &step{job: j, occ: o, index: n, first: j.tasks, spec: st, queue: &spec.Queue, tasksLeft: st.Count, lastRun: baseRun}
			s.advice.needed = spec.Queue.Advice != nil
			s.name = workload.TaskID{Job: spec.ID, Occurrence: k, Step: n}.StepName()
			for i := range st.Count {
				id := workload.TaskID{Job: spec.ID, Occurrence: k, Step: n, Index: i}
				s.tasks = append(s.tasks, &task{step: s, index: i, name: id.String(), lastRun: baseRun})
			}
			j.tasks += st.Count
			o.steps = append(o.steps, s)
		}
		j.occurrences = append(j.occurrences, o)
	}
	j.setParts(nil)
	return j
}

// restoreStep applies the stored progress of a step to its tasks with ordinals in a range,
// and returns the ordinal after the last task of which it says something.
func (j *job) restoreStep(rec workload.StepRecord, first, end int) int {
	if rec.Occurrence < 0 || rec.Occurrence >= len(j.occurrences) || rec.Step < 0 || rec.Step >= len(j.spec.Steps) {
		return first
	}
	s, known := j.occurrences[rec.Occurrence].steps[rec.Step], first
	has := func(i int) bool {
		if n := s.first + i; i < 0 || i >= len(s.tasks) || n < first || n >= end {
			return false
		}
		known = max(known, s.first+i+1)
		return true
	}
	for _, i := range rec.Done {
		if has(i) && !s.tasks[i].done {
			s.tasks[i].done = true
			s.tasksLeft--
		}
	}
	for _, n := range rec.Lost {
		if has(0) {
			s.ended = append(s.ended, endedRun{number: n})
		}
	}
	eachOf(rec.FailedRuns, has, func(i int, runs workload.FailedRuns) { s.tasks[i].failedRuns, s.failedRuns = runs, runs })
	eachOf(rec.Checkpoints, has, func(i int, saved string) { s.tasks[i].checkpoint, s.checkpoint = saved, saved })
	eachOf(rec.Crashes, has, func(i int, r poison.Record) { s.tasks[i].crashRecord().Record = r })
	eachOf(rec.Evictions, has, func(i, n int) { s.tasks[i].evictions = n })
	eachOf(rec.Placed, has, func(i int, at workload.Placement) { s.tasks[i].heldFor, s.tasks[i].heldSince = at.Worker, at.StartedAt })
	someDone := s.tasksLeft < len(s.tasks)
	if rec.AllDone && has(0) || s.tasksLeft == 0 || s.spec.Gang && someDone { // members are done together
		s.finish()
	}
	return known
}

// eachOf ranges over the values of the tasks that has accepts.
func eachOf[T any](values map[int]T, has func(i int) bool, do func(i int, value T)) {
	for i, value := range values {
		if has(i) {
			do(i, value)
		}
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

// placement returns the worker on which the task may be running and the number of the
// run, which is 0 if only an earlier owner's placement is known. It reports whether
// there is such a worker.
func (t *task) placement() (workload.Placement, bool) {
	if len(t.runs) > 0 {
		r := t.runs[0] // the most advanced, if there are copies
		return workload.Placement{Worker: r.w.ID, Run: r.number, StartedAt: r.workerStart}, true
	}
	return workload.Placement{Worker: t.heldFor, StartedAt: t.heldSince}, t.heldFor != ""
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

// avoidWorker makes other workers preferred for the task's next run.
func (t *task) avoidWorker(w *worker) {
	if t.avoid == nil {
		t.avoid = map[string]bool{}
	}
	t.avoid[w.ID] = true
}
