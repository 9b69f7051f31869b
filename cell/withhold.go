package cell

import "time"

const (
	// maxJobAge is the age of a job up to which precautions against crashes may keep its tasks
	// from workers that have room for them. What is accepted last has to run 14 s later.
	maxJobAge = 12 * time.Second
	// maxPrecaution is how long they may do so in an older job, all together. What doesn't run
	// for 3 s then counts as lost.
	maxPrecaution = 2 * time.Second
	// maxLastingPrecaution is how long they may do so with a task that lasts, which has to run
	// again 6 s after its last run.
	maxLastingPrecaution = 4 * time.Second
)

// This file bounds the wait that precautions against crashes impose: the limits of classes, jobs
// with a task that was named, workers kept empty, and those with a run on probation. A task that
// has waited for as long is tried where it harms least.

// withhold notes that a precaution keeps the task from running.
func (c *Cell) withhold(t *task) {
	if t.withheldAt == 0 {
		t.withheldAt = c.now.Steady
	}
}

// overdue reports whether precautions have kept the task from running for as long as they may. One
// that ends by itself still waits while others use the room, or too many workers are at risk.
func (c *Cell) overdue(t *task) bool {
	waited := c.now.Steady - t.withheldAt
	switch {
	case t.withheldAt == 0:
		return false
	case t.step.spec.LongRunning:
		return waited >= maxLastingPrecaution
	default:
		return waited >= maxPrecaution && c.now.Steady-t.step.job.receivedAt >= maxJobAge && c.mayRisk(t)
	}
}

// mayRisk reports whether there is room to spare for a task that may crash its worker, and less
// than half of the workers are at risk.
func (c *Cell) mayRisk(t *task) bool {
	state, service := &c.crashes, t.step.queue.Service
	scope, _ := state.ledger.Scope(t.step.crashClass())
	return state.free[service] > minFreeShare && state.atRisk[scope] < maxIdleRisk*float64(state.fleet[service])
}

// onTrial returns 1 for a worker with a run on probation, 0 for others.
func (w *worker) onTrial() int {
	if w.probation != nil {
		return 1
	}
	return 0
}

// mayShare reports whether a task may be placed on the worker beside a run on probation.
func (c *Cell) mayShare(t *task, w *worker) bool { return w.probation == nil || c.overdue(t) }
