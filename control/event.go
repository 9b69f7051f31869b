package control

import (
	"time"

	"github.com/cowslipgap/cowslipgap/allotment"
	"github.com/cowslipgap/cowslipgap/catalog"
	"github.com/cowslipgap/cowslipgap/job"
	"github.com/cowslipgap/cowslipgap/peer"
	"github.com/cowslipgap/cowslipgap/refusal"
	"github.com/cowslipgap/cowslipgap/segment"
	"github.com/cowslipgap/cowslipgap/storage"
	"github.com/cowslipgap/cowslipgap/task"
)

// Events, beside those of package placement.
type (
	// Request is a caller that waits for the answer of a task. A non-idempotent
	// one with a request id runs only after the id is in the table. Hash tells
	// apart the bodies of requests with the same id.
	Request struct {
		Task      task.Task
		RequestID string
		Hash      string
	}

	// Forwarded is a task that another entry host sent here. With Resolve, the
	// sender lost the answer: it wants the outcome, and the task must not start
	// if it has not.
	Forwarded struct {
		From    string // session
		Task    task.Task
		Resolve bool
		Gone    bool // of a Resolve: it was sent to a session that has ended
	}

	// Withdraw says that whoever waited for a task has gone away.
	Withdraw struct{ ID string }

	// ForwardDone says what became of a task that was forwarded. Without outcome
	// and refusal, the connection broke.
	ForwardDone struct {
		ID       string
		Session  string
		Outcome  *storage.Outcome
		Refusal  *refusal.Refusal
		Unsent   bool // certainly never reached the other host
		Resolved bool // the answer to an order with Resolve
	}

	// SubmitJob asks to accept a job. The answer is a JobAnswer with the token.
	SubmitJob struct {
		Token uint64
		Job   job.Job
		Hash  string // of the body, where the job has a request id
		Final bool   // another host sent it here; keep it
	}

	// CancelJob asks to cancel a job of a team.
	CancelJob struct {
		Token uint64
		Team  string
		ID    string
	}

	// Query reads a job, or a team's jobs if ID is empty.
	Query struct {
		Token uint64
		Team  string
		ID    string
	}

	// Journaled brings a result of the journal.
	Journaled struct{ Result segment.Result }

	// Adopted brings the journal of a session that this host took over.
	Adopted struct {
		Session string
		States  []job.State
		Entries []job.Entry
		Ended   []storage.Outcome // of tasks that the session had forwarded
		Err     error
	}

	// Catalog brings the records in force.
	Catalog struct{ Catalog *catalog.Catalog }

	// ZoneRows brings changed rows of this availability zone.
	ZoneRows struct{ Rows []storage.Row }

	// AllotmentRows brings changed rows of teams' allotments.
	AllotmentRows struct{ Rows []storage.Row }

	// AllotmentDone says what became of a WriteAllotment. Row and Revision are
	// what the table has now; after a conflict, as far as it could be read.
	AllotmentDone struct {
		Team     string
		Row      allotment.Row
		Revision uint64
		Err      error
	}

	// ZoneList brings changed rows that describe all zones.
	ZoneList struct{ Rows []storage.Row }

	// ZoneDone says what became of a WriteZone.
	ZoneDone struct {
		Row      ZoneRow
		Revision uint64
		Err      error
	}

	// Hosts brings the platform's list of this zone's workers.
	Hosts struct{ List []storage.Host }

	// BeatDone says what became of a Beat that was sent at Sent.
	BeatDone struct {
		Sent      time.Time
		Successor string
		Revision  uint64 // of the heartbeat row
		Fence     uint64 // of the session row; set by the first heartbeat
		Err       error
		Fenced    bool // the session row is no longer this session's
	}

	// ClaimDone says what became of a Claim.
	ClaimDone struct {
		Claim    Claim
		Revision uint64
		Err      error
	}

	// Greeted brings a greeting: the reply to a Greet that was sent at Sent, or,
	// if Incoming, another host's own.
	Greeted struct {
		Greeting peer.Greeting
		Addr     string
		Sent     time.Time
		Incoming bool
		Token    uint64 // of an incoming greeting, for the reply
	}

	// GreetFailed says that a Greet got no answer.
	GreetFailed struct{ Session string }

	// Drain starts a graceful shutdown: nothing new is taken.
	Drain struct{}

	// Release is the last event of a graceful shutdown.
	Release struct{}

	// Deliver answers whoever waits for a task.
	Deliver struct{ Answer Answer }

	// QueryEnded asks for the outcomes of tasks that a session forwarded here. The
	// answer is an EndedAnswer.
	QueryEnded struct {
		Token   uint64
		Session string
	}

	// QueryEnds is another host's question about ends at workers. The answer is an
	// EndsAnswer.
	QueryEnds struct {
		Token    uint64
		Question EndsQuestion
	}

	// EndsTold brings the answers to an AskEnds. Hosts that did not answer are
	// left out.
	EndsTold struct {
		Question EndsQuestion
		Answers  []EndsAnswer
	}

	// TakeSnapshot asks for a snapshot of the accepted jobs.
	TakeSnapshot struct{}

	// Tick lets time pass. Send one every 100 ms.
	Tick struct{}
)

// JobAnswer answers SubmitJob, CancelJob and Query. If Holder is set, another
// host keeps the job and is to be asked.
type JobAnswer struct {
	Token   uint64
	ID      string
	Status  *job.Status
	List    []job.Status
	Refusal *refusal.Refusal
	Holder  string // a peer address
}
