package placement

import (
	"time"

	"github.com/cowslipgap/cowslipgap/refusal"
	"github.com/cowslipgap/cowslipgap/storage"
	"github.com/cowslipgap/cowslipgap/task"
)

// Effect is an action for the runtime to carry out. All effect types are
// declared in this file.
type Effect interface{ effect() }

// Start sends a task to a worker. The worker must refuse it after NotAfter.
type Start struct {
	Task     task.Task
	Worker   storage.Worker
	NotAfter time.Time
}

// Stop stops tasks on a worker, with a checkpoint if Checkpoint is set.
type Stop struct {
	Worker     storage.Worker
	Tasks      []string
	Checkpoint bool
}

// Renew renews the leases of tasks on a worker and reads its report, with the
// outcomes after sequence number After. The worker must ignore a renewal that
// reaches it after NotAfter.
type Renew struct {
	Worker   storage.Worker
	Tasks    []string
	After    uint64
	NotAfter time.Time
}

// Refuse reports that a task did not run here, and why.
type Refuse struct {
	Task    task.Task
	Refusal *refusal.Refusal
}

// Finish reports how a task ended: with one of the ends that package storage
// declares, or with [EndLost].
type Finish struct {
	Task    task.Task
	Outcome storage.Outcome
	Worker  string
}

// EndLost is the end of a task that is no longer running and of which it is
// unknown whether it ran.
const EndLost = "lost"

// UnknownTaskEnded reports the end of a task that this Core does not know. A host that took
// over the jobs of another session learns from it which tasks had already ended.
type UnknownTaskEnded struct {
	Outcome storage.Outcome
}

func (UnknownTaskEnded) effect() {}
func (Start) effect()            {}
func (Stop) effect()             {}
func (Renew) effect()            {}
func (Refuse) effect()           {}
func (Finish) effect()           {}
