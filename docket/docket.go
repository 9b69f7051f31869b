// Package docket describes accepted work: a job as its caller handed it in, and
// its progress, each with the form in which it is stored.
//
// A job has steps, a step has tasks. A job that repeats has occurrences, each
// with its own progress over the same steps. The job never changes after it is
// accepted; everything that changes is in [Progress], which is small because it
// is written often.
//
// # Usage
//
//	data, err := job.Encode()
//	job, err := docket.DecodeJob(data)
//	p := docket.Progress{State: docket.Queued}
package docket

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/cowslipgap/cowslipgap/resource"
)

// ErrMalformed says that stored bytes or a task's name cannot be read.
var ErrMalformed = errors.New("docket: malformed")

// State is what callers are shown of a job.
type State int

// States of a job. The last three are final.
const (
	Queued State = iota
	Active
	Completed
	Failed
	Cancelled
)

// Final reports whether a job in this state never changes again.
func (s State) Final() bool { return s >= Completed }

// Advice describes the service that knows which workers may run a step.
type Advice struct {
	Decision  time.Duration `cbor:"1,keyasint"` // fixed time of a call
	PerWorker time.Duration `cbor:"2,keyasint"` // added for each worker named
	Validity  time.Duration `cbor:"3,keyasint"` // of a ticket
}

// Length returns how long a call that names a number of workers takes.
func (a *Advice) Length(workers int) time.Duration {
	return a.Decision + time.Duration(workers)*a.PerWorker
}

// Queue is the part of a queue's configuration that governs its jobs.
type Queue struct {
	Name        string        `cbor:"1,keyasint"`
	Service     string        `cbor:"2,keyasint"` // the workers that run its tasks
	Priority    int           `cbor:"3,keyasint"` // 0 comes first
	MaxAttempts int           `cbor:"4,keyasint"`
	Slack       float64       `cbor:"5,keyasint"` // objective: Slack x longest chain + Target
	Target      time.Duration `cbor:"6,keyasint"`
	Advice      *Advice       `cbor:"7,keyasint,omitempty"`
}

// Step is a group of equal tasks.
type Step struct {
	Count         int             `cbor:"1,keyasint"`
	Need          resource.Vector `cbor:"2,keyasint"` // of one task
	Estimate      time.Duration   `cbor:"3,keyasint,omitempty"`
	After         []int           `cbor:"4,keyasint,omitempty"` // steps that must be done first
	Checkpointing bool            `cbor:"5,keyasint,omitempty"`
	Gang          bool            `cbor:"6,keyasint,omitempty"` // all tasks run together or not at all
	RackLocal     bool            `cbor:"7,keyasint,omitempty"` // faster on a single rack
	Label         string          `cbor:"8,keyasint,omitempty"` // that the worker must have
	Rack          string          `cbor:"9,keyasint,omitempty"` // where its data is
	MaxPerWorker  int             `cbor:"10,keyasint,omitempty"`
	Speculative   bool            `cbor:"11,keyasint,omitempty"` // copies may run side by side
	LongRunning   bool            `cbor:"12,keyasint,omitempty"` // runs until the job is cancelled
	Image         string          `cbor:"13,keyasint,omitempty"`
	TailTarget    time.Duration   `cbor:"14,keyasint,omitempty"` // of a long-running task's own responses
	Fills         bool            `cbor:"15,keyasint,omitempty"` // uses only processor time that others leave
	MayBeAway     int             `cbor:"16,keyasint,omitempty"` // long-running tasks that may be down by our action
}

// Job is work as it was accepted.
type Job struct {
	ID       string        `cbor:"1,keyasint"`
	Team     string        `cbor:"2,keyasint"`
	Queue    Queue         `cbor:"3,keyasint"`
	Spec     string        `cbor:"4,keyasint"`
	Steps    []Step        `cbor:"5,keyasint"`
	Repeat   int           `cbor:"6,keyasint,omitempty"` // occurrences; 0: the job runs once, now
	FirstAt  time.Time     `cbor:"7,keyasint,omitempty"` // due time of occurrence 0
	Interval time.Duration `cbor:"8,keyasint,omitempty"`
	// ReceivedAt is the time of day at which the job was accepted.
	ReceivedAt time.Time `cbor:"9,keyasint,omitempty"`
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeat) }

// Due returns when occurrence k is due; the zero time if it has no set time.
func (j *Job) Due(k int) time.Time {
	if j.Repeat == 0 {
		return time.Time{}
	}
	return j.FirstAt.Add(time.Duration(k) * j.Interval)
}

// maxCount bounds tasks of a step and occurrences of a job, so that sums of them
// cannot overflow.
const maxCount = 1 << 20

// Validate reports what makes the job impossible to run.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 {
		return errors.New("a job needs a step")
	}
	if j.Repeat < 0 || j.Repeat > maxCount {
		return errors.Newf("%d occurrences", j.Repeat)
	}
	for i, step := range j.Steps {
		if step.Count < 1 || step.Count > maxCount {
			return errors.Newf("step %d has %d tasks", i, step.Count)
		}
		for _, before := range step.After {
			if before < 0 || before >= i {
				return errors.Newf("step %d waits for step %d, which is not an earlier one", i, before)
			}
		}
	}
	return nil
}

// Encode returns the job's stored form.
func (j *Job) Encode() ([]byte, error) {
	data, err := cbor.Marshal(j)
	return data, errors.Wrapf(err, "encode job %s", j.ID)
}

// DecodeJob reads a job's stored form.
func DecodeJob(data []byte) (*Job, error) {
	j := &Job{}
	if err := cbor.Unmarshal(data, j); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode job"), ErrMalformed)
	}
	if err := j.Validate(); err != nil {
		return nil, errors.Mark(err, ErrMalformed)
	}
	return j, nil
}

// TaskID names one task.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name.
func (id TaskID) String() string {
	return id.StepName() + "." + strconv.Itoa(id.Index)
}

// StepName returns the name of the task's step.
func (id TaskID) StepName() string {
	return id.Job + "." + strconv.Itoa(id.Occurrence) + "." + strconv.Itoa(id.Step)
}

// ParseTaskID reads a task's name.
func ParseTaskID(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, errors.Mark(errors.Newf("task name %q", name), ErrMalformed)
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskID{}, errors.Mark(errors.Newf("task name %q", name), ErrMalformed)
		}
		numbers[i] = n
	}
	return TaskID{Job: parts[0], Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}
