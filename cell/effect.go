package cell

import (
	"log/slog"
	"time"

	"github.com/cowslipgap/cowslipgap/workload"
)

// Commit is a transaction that the store accepts only while this host owns the
// cell. Commits are written in order, one at a time.
type Commit struct {
	Token uint64 // fencing token of the claim that it belongs to
	Seq   uint64
	Puts  []Row
	Drops []Row
}

func (c *Commit) rows() int { return len(c.Puts) + len(c.Drops) }

// Table identifies a table of the store.
type Table int

// Tables of a cell.
const (
	Jobs     Table = iota // workload.Job by ID
	Progress              // workload.Progress by ID
	Roster                // workers in use, some hundred in a row
	Learned               // digest.State of what the owner has learned, in one row
)

var tableNames = [...]string{Jobs: "jobs", Progress: "progress", Roster: "roster", Learned: "learned"}

// String returns the name of the table in logs.
func (t Table) String() string { return tableNames[t] }

// Row is one row of a Commit.
type Row struct {
	Table Table
	Key   string
	Value []byte
}

// Answer answers the caller's request that has the number Reply.
type Answer struct {
	Reply      uint64
	Verdict    Verdict
	State      workload.State
	Count      int
	RetryAfter time.Duration
	Reason     string // of a refusal, or why the job failed
}

// Verdict is the outcome of a caller's request.
type Verdict int

// Outcomes of a caller's request.
const (
	Accepted  Verdict = iota
	Refused           // the job has not run and never will
	Unknown           // no such job
	NotOwner          // the caller must ask the cell's owner
	Lost              // the cell changes owner; the next owner knows the outcome of the request
	Malformed         // the job can never be served; it has not run and never will
)

// Command holds the fields common to all commands to a worker.
type Command struct {
	Worker   string
	Addr     string
	Token    uint64
	NotAfter Instant // must not be sent later
}

// Poll polls a worker: it renews the lease of all runs there, acknowledges run
// results, and asks for a Report.
type Poll struct {
	Command
	LeaseUntil time.Duration // on the worker's clock; 0 renews nothing
	Ack        uint64        // highest sequence number of the results to acknowledge; only for the life of the worker that listed them, so it must be sent at once
	Wait       time.Duration // maximum time to wait for a new result before answering
}

// Start starts one task.
type Start struct {
	Command
	Task       string
	Run        uint64
	Spec       string
	Checkpoint string
	Ticket     string
	LeaseUntil time.Duration // on the worker's clock
}

// Stop ends one run, or prevents its start if it has not begun.
type Stop struct {
	Command
	Task string
	Run  uint64
}

// RequestAdvice calls the advice service from Host to find out which of the workers
// may run a step.
type RequestAdvice struct {
	Host    string
	Step    string
	Workers []string
}

// FirstStartDelay reports to the metrics how long a job waited for its first start.
type FirstStartDelay struct{ For time.Duration }

// LogRecord asks the host to write a log record.
type LogRecord struct {
	Level slog.Level
	Text  string
	Attrs []slog.Attr
}

// OwnershipLost reports that another host owns the cell, as learned from a worker.
type OwnershipLost struct{}
