package cell

import (
	"log/slog"
	"time"

	"github.com/cowslipgap/cowslipgap/docket"
)

// Commit is one transaction that the store takes only while this host owns the
// cell. Commits are written in order, one at a time.
type Commit struct {
	Seq   uint64
	Puts  []Row
	Drops []Row
}

func (c *Commit) rows() int { return len(c.Puts) + len(c.Drops) }

// Table names a kind of row.
type Table int

// Tables of a cell.
const (
	Jobs     Table = iota // docket.Job by ID
	Progress              // docket.Progress by ID
	Roster                // the workers in use, one row
)

// Row is one row of a Commit.
type Row struct {
	Table Table
	Key   string
	Value []byte
}

// Answer goes to the waiter called Reply.
type Answer struct {
	Reply      uint64
	Verdict    Verdict
	State      docket.State
	Count      int
	RetryAfter time.Duration
	Reason     string
}

// Verdict is the outcome of a caller's call.
type Verdict int

// Verdicts.
const (
	Accepted Verdict = iota
	Refused          // it has not run and never will
	Unknown          // no such job
	NotOwner         // ask the cell's owner
	Lost             // the cell has moved; its next owner knows what became of the call
)

// Order is what all orders to a worker have in common.
type Order struct {
	Worker   string
	Addr     string
	Token    uint64
	NotAfter Instant // it must not be sent later
}

// Look renews the lease of all that runs on a worker, acknowledges ends, and
// asks what runs.
type Look struct {
	Order
	LeaseUntil time.Duration // on the worker's clock; 0 renews nothing
	Ack        uint64
	Wait       time.Duration // the answer waits for an end this long
}

// Start starts one task.
type Start struct {
	Order
	Task       string
	Run        uint64
	Spec       string
	Checkpoint string
	Ticket     string
	LeaseUntil time.Duration // on the worker's clock
}

// Stop ends one run, and forbids it if it has not begun.
type Stop struct {
	Order
	Task string
	Run  uint64
}

// Ask asks the advice service, from Host, which of the workers may run a step.
type Ask struct {
	Host    string
	Step    string
	Workers []string
}

// Waited says how long a job waited for its first start, for the metrics.
type Waited struct{ For time.Duration }

// Note is a line for the log.
type Note struct {
	Level slog.Level
	Text  string
	Attrs []slog.Attr
}

// Abdicate says that another host owns the cell, as a worker has told.
type Abdicate struct{}
