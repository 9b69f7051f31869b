package control

import (
	"github.com/cowslipgap/cowslipgap/allotment"
	"github.com/cowslipgap/cowslipgap/job"
	"github.com/cowslipgap/cowslipgap/peer"
	"github.com/cowslipgap/cowslipgap/refusal"
	"github.com/cowslipgap/cowslipgap/segment"
	"github.com/cowslipgap/cowslipgap/storage"
	"github.com/cowslipgap/cowslipgap/task"
)

// Effects. Those of package placement and JobAnswer are effects as well.
type (
	// Answer delivers the outcome or the refusal of a task to the caller or entry host
	// that waits for it.
	Answer struct {
		ID      string
		Outcome *storage.Outcome
		Refusal *refusal.Refusal
		Worker  string
		// DeleteGuard is the key of a guard to delete first: the task did not run, so
		// its request ID may be used again.
		DeleteGuard string
	}

	// Forward sends a task to another entry host. With OutcomeOnly, it asks for the
	// outcome of a task that was sent before.
	Forward struct {
		Task        task.Task
		Session     string
		Addr        string
		OutcomeOnly bool
	}

	// Append writes a batch to the journal.
	Append struct{ Batch segment.Batch }

	// Snapshot writes the accepted jobs to the object store. Unapplied holds the tokens
	// of the batches whose results have not been applied to the states.
	Snapshot struct {
		States    []job.State
		Unapplied []uint64
	}

	// WriteHeartbeat writes this host's heartbeat. Revision is the revision of the row that
	// it replaces, Fence that of the session row; both are zero for the first.
	WriteHeartbeat struct {
		Row      HeartbeatRow
		Revision uint64
		Fence    uint64
		Session  SessionRow
	}

	// Claim takes over a session and its racks, or a rack without an owner.
	Claim struct {
		Session string // empty for a rack alone
		Row     SessionRow
		Checks  []storage.Check
		Racks   []string
	}

	// Adopt reads the journal of a session that was taken over. It also asks the
	// hosts at Peers which of the session's forwarded tasks have ended there.
	Adopt struct {
		Session string
		Peers   []string
	}

	// QueryPeerOutcomes asks the hosts at Peers for outcomes at their workers. The
	// answers come back as OutcomeReports.
	QueryPeerOutcomes struct {
		Query OutcomeQuery
		Peers []string
	}

	// OutcomeUnconfirmed reports that this host stops waiting for the outcomes of
	// tasks, although a worker whose owner did not answer in time may hold them. The
	// tasks run again if they may. It names either the session that accepted their
	// jobs, or one task.
	OutcomeUnconfirmed struct{ Session, Task string }

	// ForwardedOutcomes answers a QueryForwarded.
	ForwardedOutcomes struct {
		Token uint64
		Ended []storage.Outcome
	}

	// WriteSessionRow writes a session row on condition of its revision. It marks
	// this host's session as left, or records that the jobs of a session that was
	// taken over are in the snapshot of this host.
	WriteSessionRow struct {
		Session  string
		Row      SessionRow
		Revision uint64
	}

	// WriteAllotment writes the allotment row of a team on condition of its
	// revision.
	WriteAllotment struct {
		Team     string
		Row      allotment.Row
		Revision uint64
	}

	// WriteZone writes the row of this zone on condition of its revision.
	WriteZone struct {
		Row      ZoneRow
		Revision uint64
	}

	// Greet sends a greeting to another host.
	Greet struct {
		Session  string
		Addr     string
		Greeting peer.Greeting
	}

	// GreetReply answers an incoming greeting.
	GreetReply struct {
		Token    uint64
		Greeting peer.Greeting
	}

	// CloseConnections closes the connections to another host, which ends the calls on them.
	CloseConnections struct{ Addr string }
)
