package placement

import (
	"time"

	"github.com/cowslipgap/cowslipgap/refusal"
	"github.com/cowslipgap/cowslipgap/storage"
	"github.com/cowslipgap/cowslipgap/task"
)

// Effect is something for the runtime to do. The types of this file are all
// there are.
type Effect interface{ effect() }

// Start sends a task to a worker, unless NotAfter has passed by then.
type Start struct {
	Task     task.Task
	Worker   storage.Host
	NotAfter time.Time
}

// Stop ends tasks on a worker.
type Stop struct {
	Worker     storage.Host
	Tasks      []string
	Checkpoint bool
}

// Renew renews the leases of tasks on a worker and reads its report. The worker
// must ignore a renewal that reaches it after NotAfter.
type Renew struct {
	Worker   storage.Host
	Tasks    []string
	After    uint64
	NotAfter time.Time
}

// Refuse tells that a task did not run here.
type Refuse struct {
	Task    task.Task
	Refusal *refusal.Refusal
}

// Finish tells how a task ended, beside the ways of package platform also with
// [EndLost].
type Finish struct {
	Task    task.Task
	Outcome storage.Outcome
	Worker  string
}

// EndLost is the end of a task that runs no longer and of which nobody knows
// whether it ran.
const EndLost = "lost"

// Stray is the end of a task that this Core did not start. A host that took
// over a session's jobs learns from it what had ended already.
type Stray struct {
	Outcome storage.Outcome
}

func (Stray) effect()  {}
func (Start) effect()  {}
func (Stop) effect()   {}
func (Renew) effect()  {}
func (Refuse) effect() {}
func (Finish) effect() {}
