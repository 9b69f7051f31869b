package cell

import (
	"time"

	"github.com/cowslipgap/cowslipgap/docket"
	"github.com/cowslipgap/cowslipgap/resource"
)

// Instant is a moment on this host's steady clock.
type Instant = time.Duration

// Clock is the time at which an event is handled.
type Clock struct {
	Steady Instant
	Wall   time.Time // for due times only
}

// Claimed says that this host now owns the cell.
type Claimed struct {
	Token uint64 // fencing token of the claim
	// Sent is when the writing was sent that last confirmed the ownership. Loading
	// what the store holds takes a while after it.
	Sent Instant
	// Previous is whether a predecessor may have left work on workers.
	Previous bool
	Jobs     []Stored
	Workers  []WorkerRef // that predecessors may have used
}

// Stored is one job as the store holds it. Job is nil once it has ended and its
// row is gone; Progress is nil while nothing has been placed.
type Stored struct {
	ID       string
	Job      *docket.Job
	Progress *docket.Progress
}

// WorkerRef is what a successor needs to reach a worker that is no longer listed.
type WorkerRef struct {
	ID      string `cbor:"1,keyasint"`
	Addr    string `cbor:"2,keyasint"`
	Service string `cbor:"3,keyasint"`
}

// Deposed says that another host owns the cell, or that this one gave it up.
type Deposed struct{ Reason string }

// Submit hands a job in. The answer goes to the waiter called Reply.
type Submit struct {
	Reply uint64
	Job   *docket.Job
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

// CountQueued asks how many jobs of a queue have started nothing.
type CountQueued struct {
	Reply uint64
	Queue string
}

// Committed says that the store took a Commit. Sent is when it was sent: the
// ownership it confirms held then.
type Committed struct {
	Seq  uint64
	Sent Instant
}

// Listed is the store's whole list of workers.
type Listed struct{ Workers []WorkerInfo }

// WorkerInfo is what a worker says of itself in the store.
type WorkerInfo struct {
	ID       string
	Addr     string
	Service  string
	Zone     string
	Rack     string
	Labels   []string
	Capacity resource.Vector
	Draining bool
	Born     int64 // start of this life, Unix milliseconds
	Clock    time.Duration
}

// Policy is the part of the configuration that governs placement.
type Policy struct{ Teams map[string]Team }

// Team is a team's share and limit.
type Team struct {
	Rate    float64         // jobs a second it is owed, and its share when all is full
	Ceiling resource.Vector // a zero dimension has no limit
}

// Members is the set of entry hosts that can call the advice service.
type Members struct{ Hosts []string }

// Looked is a worker's answer to Look, or the lack of one.
type Looked struct {
	Worker   string
	Sent     Instant
	Received Instant
	Failure  Failure
	Report   Report
}

// Report is what a worker says runs and has ended on it.
type Report struct {
	Born    int64 // 0 if it did not say
	Clock   time.Duration
	Running []RunningTask
	Ended   []EndedTask
}

// RunningTask is one run at work on a worker.
type RunningTask struct {
	Task       string
	Run        uint64
	Checkpoint string
	Percent    int
}

// EndedTask is one end on a worker.
type EndedTask struct {
	N          uint64 // rises within a life of the worker
	Task       string
	Run        uint64
	How        End
	Checkpoint string
}

// End is how a run ended.
type End int

// Ends of a run.
const (
	Done    End = iota
	Faulted     // by its own fault or the worker's
	Stopped
	Lapsed // its lease ran out
	Broken // another member of its gang ended
	Alone  // it waited in vain for the other members of its gang
)

// Failure classifies an order that did not succeed.
type Failure int

// Failures of an order. All but NoAnswer say that nothing was done.
const (
	None       Failure = iota
	NoAnswer           // it may be carried out, also much later
	NotSent            // the connection was never made
	Fenced             // the worker has seen a higher token
	Superseded         // a run that is not lower was stopped or ended there
	Expired            // the order's deadline has passed
	NoRoom
	BadTicket
	Unhealthy
	OtherLife // another worker answers at the address
	Invalid
)

// Started is the outcome of a Start.
type Started struct {
	Worker   string
	Task     string
	Run      uint64
	Received Instant
	Failure  Failure
	Clock    time.Duration // of the worker, if it answered
}

// StopDone is the outcome of a Stop.
type StopDone struct {
	Worker   string
	Task     string
	Run      uint64
	Received Instant
	Failure  Failure
}

// Advised is the advice service's answer to Ask.
type Advised struct {
	Host     string
	Step     string
	Failure  Failure
	Tickets  map[string]string // by worker that may run the step
	Validity time.Duration
}

// Pump lets the cell place what waits, and do what Flush does.
type Pump struct{}

// Flush lets the cell write what is due and look at workers, without a round of
// placement: neither becomes slower when much waits.
type Flush struct{}
