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

// Effects, beside those of package placement. JobAnswer is one as well.
type (
	// Answer tells whoever waits for a task what became of it.
	Answer struct {
		ID      string
		Outcome *storage.Outcome
		Refusal *refusal.Refusal
		Worker  string
		// Unguard is the key of a guard to delete first, because the work did
		// not run and its request id may be used again.
		Unguard string
	}

	// Forward sends a task to another entry host.
	Forward struct {
		Task    task.Task
		Session string
		Addr    string
		Resolve bool
	}

	// Append writes to the journal.
	Append struct{ Batch segment.Batch }

	// Snapshot writes the book to the object store.
	Snapshot struct{ States []job.State }

	// Beat writes this host's heartbeat. Revision is that of the row it
	// replaces, Fence that of the session row; both are zero for the first.
	Beat struct {
		Row      BeatRow
		Revision uint64
		Fence    uint64
		Session  SessionRow
	}

	// Claim takes over a session with its racks, or a rack that nobody owns.
	Claim struct {
		Session string // empty for a rack alone
		Row     SessionRow
		Checks  []storage.Check
		Racks   []string
	}

	// Adopt reads the journal of a session that was taken over, and asks the
	// hosts at Peers which of its forwarded tasks have ended there.
	Adopt struct {
		Session string
		Peers   []string
	}

	// AskEnds asks the hosts at Peers what has ended at their workers. The answers
	// come back as EndsTold.
	AskEnds struct {
		Question EndsQuestion
		Peers    []string
	}

	// Unsettled says that work is run again though its end may be waiting at a
	// worker whose owner did not tell in time: a session's jobs, or a task.
	Unsettled struct{ Session, Task string }

	// EndedAnswer answers a QueryEnded.
	EndedAnswer struct {
		Token uint64
		Ended []storage.Outcome
	}

	// MarkAbsorbed notes in the table that a session's jobs are in this host's
	// own snapshot.
	MarkAbsorbed struct {
		Session  string
		Row      SessionRow
		Revision uint64
	}

	// WriteAllotment writes a team's row on condition of its revision.
	WriteAllotment struct {
		Team     string
		Row      allotment.Row
		Revision uint64
	}

	// WriteZone writes this zone's row on condition of its revision.
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

	// Cut closes the connections to another host, so that calls on them end.
	Cut struct{ Addr string }
)
