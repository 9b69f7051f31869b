package cell

import (
	"time"

	"github.com/cowslipgap/cowslipgap/evacuation"
	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/workload"
)

// Instant is a time on this host's monotonic clock.
type Instant = time.Duration

// Clock is the time at which an event is handled.
type Clock struct {
	Steady Instant
	Wall   time.Time // for due times and the ages of stored jobs
}

// Claimed reports that this host now owns the cell.
type Claimed struct {
	Token uint64 // fencing token of the claim
	// Sent is when the write was sent that last confirmed the ownership. Loading the
	// stored state takes a while after that.
	Sent Instant
	// Previous is whether an earlier owner may have left runs on workers.
	Previous bool
	// PreviousReadAt is when the last version of the head row that the earlier owner wrote
	// was first read; 0: with this event. It sent its last confirmed commit before.
	PreviousReadAt Instant
	Jobs           []StoredJob
	Workers        []WorkerRef     // workers that earlier owners may have used
	Unreadable     []UnreadableRow // rows that are in neither, or of jobs that cannot be run
	Learned        []byte          // row of what the last owner had learned; empty if there is none
	// LearnedFailure is why that row could not be read, or empty.
	LearnedFailure string
}

// StoredJob is a job as loaded from the store. Job is nil if the job has ended and its
// rows are deleted; Progress is nil while nothing has been stored of its first tasks.
type StoredJob struct {
	ID       string
	Job      *workload.Job
	Rows     int // rows of its specification
	Progress *workload.Progress
	More     []StoredPart // progress of later tasks, in order
	// Unreadable reports that the job has not ended and one of its rows cannot be decoded.
	Unreadable bool
}

// StoredPart is the stored progress of a job's tasks from an ordinal on.
type StoredPart struct {
	First    int
	Progress *workload.Progress
}

// WorkerRef holds what a new owner needs to reach a worker that is no longer listed.
type WorkerRef struct {
	ID      string `cbor:"1,keyasint"`
	Addr    string `cbor:"2,keyasint"`
	Service string `cbor:"3,keyasint"`
	Leaving bool   `cbor:"4,keyasint,omitempty"` // it drains, or its zone is evacuated
}

// Deposed reports that another host owns the cell, or that this host gave it up.
type Deposed struct{ Reason string }

// Submit submits a job. Reply is the number of the request, and its Answer carries the
// same number. The other requests of callers are numbered in the same way.
type Submit struct {
	Reply uint64
	Job   *workload.Job
	Zone  string // availability zone of the host that the caller reached; "" if unknown
}

// Cancel cancels a job.
type Cancel struct {
	Reply uint64
	ID    string
}

// Query asks for a job's state.
type Query struct {
	Reply uint64
	ID    string
}

// CountQueued asks how many jobs of a queue have not started a task.
type CountQueued struct {
	Reply uint64
	Queue string
}

// Committed reports that the store accepted a Commit. Sent is when it was sent; the
// ownership that it confirms held at that time.
type Committed struct {
	Token uint64 // of the Commit; 0: of the current claim
	Seq   uint64
	Sent  Instant
}

// CommitRejected reports that the store rejects a Commit for good, whole: it has changed
// nothing and never will.
type CommitRejected struct {
	Token  uint64 // of the Commit; 0: of the current claim
	Seq    uint64
	Reason string
}

// Listed is the complete list of workers in the store.
type Listed struct{ Workers []WorkerInfo }

// WorkerInfo is a worker's own entry in the store.
type WorkerInfo struct {
	ID        string
	Addr      string
	Service   string
	Zone      string
	Rack      string
	Labels    []string
	Capacity  resource.Vector
	Draining  bool
	StartedAt int64         // start of this incarnation, Unix milliseconds
	Clock     time.Duration // reading of the worker's clock
	ColdUntil time.Duration // on the worker's clock, when it reaches its usual speed; 0: it has
}

// Policy is the part of the configuration that applies to placement.
type Policy struct {
	Teams     map[string]Team
	Evacuated evacuation.Orders // zones whose workers get no new work
	ReadAt    Instant           // when it was read
}

// PolicyConfirmed reports that the policy in force was still the operators' latest at the
// given time.
type PolicyConfirmed struct{ ReadAt Instant }

// Team holds the rate and the resource limit of a team.
type Team struct {
	Rate    float64         // guaranteed jobs per second; jobs beyond it get a later rank, so it sets the team's share of a full fleet
	Ceiling resource.Vector // limit on its runs; zero in a dimension means no limit
}

// AdviceHosts holds the entry hosts that can call the advice service.
type AdviceHosts struct{ Hosts []string }

// WorkLimit changes how many bytes accepted jobs may take. Any host may have to take over
// the cell, so the one with the least memory decides. Jobs that have been accepted stay.
type WorkLimit struct{ Memory int64 }

// PollResult is the outcome of a Poll.
type PollResult struct {
	Token    uint64 // of the command, as in all outcomes of commands; 0: of the current claim
	Worker   string
	Sent     Instant
	Received Instant
	Failure  Failure
	Ack      uint64 // as sent; 0 if the poll was sent too late for its acknowledgement
	Report   Report
}

// Report is a worker's report of its running tasks and its unacknowledged run
// results.
type Report struct {
	StartedAt int64 // as in WorkerInfo; 0 if unknown
	Clock     time.Duration
	Capacity  *resource.Vector // nil if the report does not say
	Running   []RunningTask
	Ended     []RunResult
}

// RunningTask is a run that is executing on a worker.
type RunningTask struct {
	Task       string
	Run        uint64
	Checkpoint string
	Percent    int
}

// RunResult is the result of a run on a worker.
type RunResult struct {
	Seq        uint64 // sequence number, increasing within an incarnation of the worker
	Task       string
	Run        uint64
	Outcome    RunOutcome
	Checkpoint string
}

// RunOutcome is how a run ended.
type RunOutcome int

// Outcomes of a run.
const (
	Done   RunOutcome = iota
	Failed            // failed, through its own fault or the worker's
	Stopped
	LeaseExpired // its lease expired
	GangAborted  // another member of its gang ended
	GangTimedOut // timed out waiting for the other members of its gang
)

// Failure classifies the failures of a command or a call.
type Failure int

// Failures of a command. All but NoAnswer mean that nothing was done.
const (
	None       Failure = iota
	NoAnswer           // may still be executed, even much later
	NotSent            // no connection was made
	Fenced             // the worker has seen a higher token
	Superseded         // the same or a later run of the task was stopped or ended there
	Expired            // the command's deadline has passed
	NoRoom
	BadTicket
	Unhealthy
	OtherWorker // another worker answers at the address
	Invalid
	Withheld // the sender did not send it, because it was late or the ownership had expired
)

// Started is the outcome of a Start.
type Started struct {
	Token    uint64
	Worker   string
	Task     string
	Run      uint64
	Received Instant
	Failure  Failure
	Clock    time.Duration // reading of the worker's clock, if it answered
}

// StopDone is the outcome of a Stop.
type StopDone struct {
	Token    uint64
	Worker   string
	Task     string
	Run      uint64
	Received Instant
	Failure  Failure
}

// AdviceResult is the outcome of a RequestAdvice.
type AdviceResult struct {
	Host     string
	Step     string
	Failure  Failure
	Tickets  map[string]string // by worker asked about; "" if it may not run the step
	Validity time.Duration
}

// PlacementRound makes the cell run a placement round, and do what Flush does.
type PlacementRound struct{}

// Flush makes the cell commit and poll workers as due, without a placement round,
// so that neither becomes slower when many steps wait.
type Flush struct{}
