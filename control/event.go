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

// Events, in addition to those of package placement.
type (
	// Request is a task whose answer a caller waits for. A non-idempotent task
	// with a request ID starts only after the ID is in the table. Hash
	// distinguishes the bodies of requests with the same ID.
	Request struct {
		Task      task.Task
		RequestID string
		Hash      string
	}

	// Forwarded is a task that another entry host sent to this one. With
	// OutcomeOnly, the sender lost the answer and asks for the outcome; a task that
	// has not started must not start.
	Forwarded struct {
		From         string // session of the sender
		Task         task.Task
		OutcomeOnly  bool
		SessionEnded bool // with OutcomeOnly: the task was sent to a session that has ended
	}

	// CancelRequest says that nobody waits for a task any more.
	CancelRequest struct{ ID string }

	// ForwardDone is the result of forwarding a task. Without an outcome or a
	// refusal, the connection was lost.
	ForwardDone struct {
		ID          string
		Session     string
		Outcome     *storage.Outcome
		Refusal     *refusal.Refusal
		Unsent      bool // the task certainly did not reach the other host
		OutcomeOnly bool // the result of a Forward with OutcomeOnly
	}

	// SubmitJob asks to accept a job. The answer is a JobAnswer with the same token.
	SubmitJob struct {
		Token     uint64
		Job       job.Job
		Hash      string // hash of the body, if the job has a request ID
		NoForward bool   // another host sent the job here; do not pass it on
	}

	// CancelJob asks to cancel a job of a team.
	CancelJob struct {
		Token uint64
		Team  string
		ID    string
	}

	// Query reads a job, or all jobs of a team if ID is empty.
	Query struct {
		Token uint64
		Team  string
		ID    string
	}

	// Journaled is the result of a journal write.
	Journaled struct{ Result segment.Result }

	// Adopted is the journal of a session that this host has taken over.
	Adopted struct {
		Session string
		States  []job.State
		Entries []job.Entry
		Ended   []storage.Outcome // outcomes of tasks that the session had forwarded
		Err     error
	}

	// Catalog holds the records in effect.
	Catalog struct{ Catalog *catalog.Catalog }

	// ZoneRows holds changed rows of this availability zone.
	ZoneRows struct{ Rows []storage.Row }

	// AllotmentRows holds changed allotment rows of teams.
	AllotmentRows struct{ Rows []storage.Row }

	// AllotmentDone is the result of a WriteAllotment. Row and Revision are the
	// current ones in the table; after a conflict, only if they could be read.
	AllotmentDone struct {
		Team     string
		Row      allotment.Row
		Revision uint64
		Err      error
	}

	// ZoneList holds changed rows that describe all zones.
	ZoneList struct{ Rows []storage.Row }

	// ZoneDone is the result of a WriteZone.
	ZoneDone struct {
		Row      ZoneRow
		Revision uint64
		Err      error
	}

	// Workers is the platform's list of the workers in this zone.
	Workers struct{ List []storage.Worker }

	// HeartbeatDone is the result of a WriteHeartbeat that was sent at Sent.
	HeartbeatDone struct {
		Sent      time.Time
		Successor string
		Revision  uint64 // revision of the heartbeat row
		Fence     uint64 // revision of the session row; set by the first heartbeat
		Err       error
		Fenced    bool // the session row is no longer this session's
	}

	// ClaimDone is the result of a Claim.
	ClaimDone struct {
		Claim    Claim
		Revision uint64
		Err      error
	}

	// Greeted is a received greeting: the reply to a Greet that was sent at Sent
	// or, if Incoming, a greeting that another host sent.
	Greeted struct {
		Greeting peer.Greeting
		Addr     string
		Sent     time.Time
		Incoming bool
		Token    uint64 // identifies an incoming greeting, for the reply
	}

	// GreetFailed says that a Greet got no answer.
	GreetFailed struct{ Session string }

	// Drain starts a graceful shutdown: no new work is accepted.
	Drain struct{}

	// Release is the last event of a graceful shutdown.
	Release struct{}

	// Deliver passes an answer to the caller or entry host that waits for the task.
	Deliver struct{ Answer Answer }

	// QueryForwarded asks for the outcomes of tasks that a session forwarded here.
	// The answer is a ForwardedOutcomes.
	QueryForwarded struct {
		Token   uint64
		Session string
	}

	// QueryOutcomes is a query of another host for outcomes at workers. The answer is
	// an OutcomeReport.
	QueryOutcomes struct {
		Token uint64
		Query OutcomeQuery
	}

	// OutcomeReports holds the answers to a QueryPeerOutcomes, without the hosts that
	// did not answer.
	OutcomeReports struct {
		Query   OutcomeQuery
		Answers []OutcomeReport
	}

	// TakeSnapshot asks for a snapshot of the accepted jobs.
	TakeSnapshot struct{}

	// Tick triggers the periodic work. Send one every 100 ms.
	Tick struct{}
)

// JobAnswer answers SubmitJob, CancelJob and Query. If Holder is set, another
// host keeps the job, and the caller has to ask that host.
type JobAnswer struct {
	Token   uint64
	ID      string
	Status  *job.Status
	List    []job.Status
	Refusal *refusal.Refusal
	Holder  string // peer address
}
