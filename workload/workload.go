// Package workload defines accepted jobs and their progress, and encodes both for
// storage.
//
// A job has steps, and a step has tasks. A repeating job has occurrences, each
// with its own progress over the same steps. A job is immutable once accepted;
// everything that changes is in [Progress], which is kept small because it is
// written often.
//
// # Usage
//
//	data, err := job.Encode()
//	job, err := workload.DecodeJob(data)
//	p := workload.Progress{State: workload.Queued}
package workload

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/cowslipgap/cowslipgap/resource"
)

// ErrMalformed marks errors from decoding stored data, parsing a task name, or encoding a job
// that cannot be stored.
var ErrMalformed = errors.New("workload: malformed")

// State is the state of a job as reported to callers.
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

// Advice holds the call latency and the ticket validity of the advice service,
// which decides which workers may run a step.
type Advice struct {
	FixedLatency time.Duration `cbor:"1,keyasint"` // fixed duration of a call
	PerWorker    time.Duration `cbor:"2,keyasint"` // added per worker in the call
	Validity     time.Duration `cbor:"3,keyasint"` // of a ticket
}

// Duration returns the expected duration of a call about the given number of workers.
func (a *Advice) Duration(workers int) time.Duration {
	return a.FixedLatency + time.Duration(workers)*a.PerWorker
}

// Queue is the part of a queue's configuration that applies to its jobs.
type Queue struct {
	Name        string        `cbor:"1,keyasint"`
	Service     string        `cbor:"2,keyasint"` // service whose workers run its tasks
	Priority    int           `cbor:"3,keyasint"` // 0 is the highest
	MaxAttempts int           `cbor:"4,keyasint"`
	Slack       float64       `cbor:"5,keyasint"` // completion objective: Slack x duration of the longest dependency chain + Target
	Target      time.Duration `cbor:"6,keyasint"`
	Advice      *Advice       `cbor:"7,keyasint,omitempty"`
}

// Step is a group of identical tasks.
type Step struct {
	Count          int             `cbor:"1,keyasint"`
	Need           resource.Vector `cbor:"2,keyasint"` // resources per task
	Estimate       time.Duration   `cbor:"3,keyasint,omitempty"`
	DependsOn      []int           `cbor:"4,keyasint,omitempty"` // indexes of the steps that it depends on
	Checkpointing  bool            `cbor:"5,keyasint,omitempty"`
	Gang           bool            `cbor:"6,keyasint,omitempty"` // all tasks start together or not at all
	RackLocal      bool            `cbor:"7,keyasint,omitempty"` // runs faster if all tasks are on one rack
	Label          string          `cbor:"8,keyasint,omitempty"` // required label of the worker
	Rack           string          `cbor:"9,keyasint,omitempty"` // rack that holds its data
	MaxPerWorker   int             `cbor:"10,keyasint,omitempty"`
	Speculative    bool            `cbor:"11,keyasint,omitempty"` // several runs of a task may execute concurrently
	LongRunning    bool            `cbor:"12,keyasint,omitempty"` // runs until the job is cancelled
	Image          string          `cbor:"13,keyasint,omitempty"`
	LatencyTarget  time.Duration   `cbor:"14,keyasint,omitempty"` // tail latency target of the responses of a long-running task
	UsesIdleCPU    bool            `cbor:"15,keyasint,omitempty"` // uses only otherwise idle CPU time
	MaxUnavailable int             `cbor:"16,keyasint,omitempty"` // number of long-running tasks that the scheduler may take down at once
}

// Job is an accepted job.
type Job struct {
	ID       string        `cbor:"1,keyasint"`
	Team     string        `cbor:"2,keyasint"`
	Queue    Queue         `cbor:"3,keyasint"`
	Spec     string        `cbor:"4,keyasint"`
	Steps    []Step        `cbor:"5,keyasint"`
	Repeat   int           `cbor:"6,keyasint,omitempty"` // number of occurrences; 0 runs the job once, immediately
	FirstAt  time.Time     `cbor:"7,keyasint,omitempty"` // due time of occurrence 0
	Interval time.Duration `cbor:"8,keyasint,omitempty"`
	// ReceivedAt is the wall-clock time at which the job was accepted.
	ReceivedAt time.Time `cbor:"9,keyasint,omitempty"`
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeat) }

// Due returns when occurrence k is due, or the zero time if it has no due time.
func (j *Job) Due(k int) time.Time {
	if j.Repeat == 0 {
		return time.Time{}
	}
	return j.FirstAt.Add(time.Duration(k) * j.Interval)
}

// maxCount bounds the tasks of a step and the occurrences of a job, so that sums
// over them cannot overflow.
const maxCount = 1 << 20

// Validate returns an error if the job cannot be run.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 {
		return errors.New("job has no steps")
	}
	if j.Repeat < 0 || j.Repeat > maxCount {
		return errors.Newf("invalid number of occurrences: %d", j.Repeat)
	}
	for i, step := range j.Steps {
		if step.Count < 1 || step.Count > maxCount {
			return errors.Newf("step %d has an invalid number of tasks: %d", i, step.Count)
		}
		for _, dependency := range step.DependsOn {
			if dependency < 0 || dependency >= i {
				return errors.Newf("step %d depends on step %d, which is not an earlier step", i, dependency)
			}
		}
	}
	return nil
}

const (
	// maxAmount bounds the amount of a resource that a task of a new job needs.
	maxAmount = 1e11
	// maxTime bounds the times of a new job, so that sums over them cannot overflow.
	maxTime = 10 * 365 * 24 * time.Hour
)

// ValidateNew returns an error if a new job asks for amounts or times that no schedule can
// hold, or cannot be stored. Stored jobs, which earlier versions may have accepted, need not
// meet this.
func (j *Job) ValidateNew() error {
	if err := j.Validate(); err != nil {
		return err
	}
	if j.Interval < 0 || j.Interval > maxTime/time.Duration(max(1, j.Repeat)) {
		return errors.Newf("invalid interval of %d occurrences: %v", j.Repeat, j.Interval)
	}
	for i, step := range j.Steps {
		for _, n := range []int64{step.Need.Slots, step.Need.MilliCPU, step.Need.MemoryMB, step.Need.Accelerators, int64(step.MaxPerWorker), int64(step.MaxUnavailable)} {
			if n < 0 || n > maxAmount {
				return errors.Newf("step %d has an amount out of range: %d", i, n)
			}
		}
		for _, d := range []time.Duration{step.Estimate, step.LatencyTarget} {
			if d < 0 || d > maxTime {
				return errors.Newf("step %d has a time out of range: %v", i, d)
			}
		}
	}
	_, err := j.EncodeNew()
	return err
}

// jobEncoder keeps all of a time: the library's default is whole seconds.
var jobEncoder = newEncoder(cbor.EncOptions{Time: cbor.TimeRFC3339Nano})

// MarshalCBOR implements cbor.Marshaler, for jobs in messages too. Versions that stored times
// in whole seconds read these as well.
func (j Job) MarshalCBOR() ([]byte, error) {
	type plain Job
	j.FirstAt, j.ReceivedAt = j.FirstAt.UTC(), j.ReceivedAt.UTC()
	return jobEncoder.Marshal(plain(j))
}

// Encode encodes the job for storage.
func (j *Job) Encode() ([]byte, error) {
	data, err := cbor.Marshal(j)
	return data, errors.Wrapf(err, "encode job %s", j.ID)
}

// EncodeNew encodes a new job for storage. It returns an error that matches [ErrMalformed] if
// the job cannot be encoded, or could not be read again by its next owner.
func (j *Job) EncodeNew() ([]byte, error) {
	data, err := j.Encode()
	if err != nil {
		return nil, errors.Mark(err, ErrMalformed)
	}
	_, err = DecodeJob(data)
	return data, errors.Wrap(err, "read the encoded job again")
}

// MaxSize returns an upper bound of the size of the encoded job in bytes.
func (j *Job) MaxSize() int {
	const jobBytes, stepBytes, numberBytes = 320, 240, 9 // without texts and lists
	size := jobBytes + len(j.ID) + len(j.Team) + len(j.Queue.Name) + len(j.Queue.Service) + len(j.Spec)
	for i := range j.Steps {
		st := &j.Steps[i]
		size += stepBytes + len(st.Label) + len(st.Rack) + len(st.Image) + numberBytes*len(st.DependsOn)
	}
	return size
}

// DecodeJob decodes and validates a stored job.
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

// TaskID identifies a task.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name, JOB.OCCURRENCE.STEP.INDEX.
func (id TaskID) String() string {
	return id.StepName() + "." + strconv.Itoa(id.Index)
}

// StepName returns the name of the task's step, JOB.OCCURRENCE.STEP.
func (id TaskID) StepName() string {
	return id.Job + "." + strconv.Itoa(id.Occurrence) + "." + strconv.Itoa(id.Step)
}

// ParseTaskID parses a task name as returned by [TaskID.String].
func ParseTaskID(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, errors.Mark(errors.Newf("malformed task name %q", name), ErrMalformed)
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskID{}, errors.Mark(errors.Newf("malformed task name %q", name), ErrMalformed)
		}
		numbers[i] = n
	}
	return TaskID{Job: parts[0], Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}
