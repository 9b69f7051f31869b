package cell

import (
	"log/slog"
	"slices"
	"time"

	"github.com/cowslipgap/cowslipgap/workload"
)

const (
	// stopRetryDelay is the pause before an unanswered stop is sent again.
	stopRetryDelay = 300 * time.Millisecond
	// startTimeout is how long a start may be in flight before it counts as
	// unanswered, even if the sender reports no outcome.
	startTimeout = 2 * time.Second
	// refusalBackoff is the pause before a step is placed again after a refused start.
	refusalBackoff = 20 * time.Millisecond
	// maxRejectionBackoff bounds that pause for a step whose starts are rejected as malformed
	// one after the other. It doubles with each, as another worker need not take them either.
	maxRejectionBackoff = time.Second
)

// command returns the common fields of a command to w.
func (c *Cell) command(w *worker) Command {
	return Command{Worker: w.ID, Addr: w.Addr, Token: c.token, NotAfter: c.leaseLimit()}
}

// placeTask places a task on a worker. The start is sent once the placement is
// stored, so that a successor knows which worker to ask about the task.
func (c *Cell) placeTask(t *task, w *worker, n uint64) {
	c.addRun(&run{task: t, number: n, w: w, sentAt: c.now.Steady, progressAt: c.now.Steady})
	c.startProbation(t, w)
	c.markTaskDirty(t)
}

// addRun adds a run, and charges it to its worker and team.
func (c *Cell) addRun(r *run) {
	t := r.task
	t.runs = append(t.runs, r)
	if len(t.runs) == 1 {
		t.step.tasksWithRuns++
	}
	t.withheldAt = 0
	r.workerStart = r.w.StartedAt
	r.w.addRun(r)
	r.w.charge(r, 1)
	c.chargeTeam(t.step, 1)
}

// sendStart sends the start of a run whose placement is stored.
func (c *Cell) sendStart(r *run) {
	t, s, w := r.task, r.task.step, r.w
	if r.state != placing || w.runs[t.name] != r || s.job.spec == nil || s.job.progress.State.Final() {
		return
	}
	if c.leaseLengthOn(w) < minLease || c.policyExpired() {
		c.dropRun(r)
		c.abortGang(r, "start withheld")
		return
	}
	if !s.advice.hasTicket(w, c.now.Steady) || !w.usable(c.now.Steady) {
		c.dropRun(r)
		c.replaceMember(r, "start withheld")
		return
	}
	r.state, r.sentAt = starting, c.now.Steady
	c.crashes.ledger.Started(s.crashClass(), len(c.workers), c.now.Steady)
	checkpoint := t.checkpoint
	if s.spec.Gang {
		checkpoint = s.runCheckpoint(r.number)
	}
	cmd := c.command(w)
	cmd.NotAfter = min(c.startLimit(), w.capacityKnownUntil(c.now.Steady))
	r.saved, r.resumed = checkpoint, checkpoint != ""
	c.emit(Start{
		Command: cmd, Task: t.name, Run: r.number, Spec: s.job.spec.Spec, Checkpoint: checkpoint,
		Ticket: s.advice.ticketFor(w), LeaseUntil: c.grantLease(w, c.leaseLengthOn(w)),
	})
}

// dropRun removes a run that is certainly not running and never will be.
func (c *Cell) dropRun(r *run) {
	t := r.task
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			if len(t.runs) == 0 {
				t.step.tasksWithRuns--
			}
			r.w.charge(r, -1)
			c.chargeTeam(t.step, -1)
			r.w.removeRun(r)
			if t.step.job.spec != nil {
				c.noteOutlived(r)
				c.markTaskDirty(t)
			}
			break
		}
	}
	c.enqueue(t.step)
}

// dropLostRun removes a run that was lost with its worker, and stops the other
// members of its gang if it may have begun.
func (c *Cell) dropLostRun(r *run, cause string) {
	c.dropRun(r)
	if r.state == placing {
		c.replaceMember(r, cause)
		return
	}
	c.abortGang(r, cause)
}

// enqueue adds a step to the waiting ones, if it is ready and not done.
func (c *Cell) enqueue(s *step) {
	if !s.ready || s.done || s.waiting || s.job.spec == nil || s.job.progress.State.Final() {
		return
	}
	s.waiting = true
	c.waiting = append(c.waiting, s)
}

// handleStarted handles the outcome of a start.
func (c *Cell) handleStarted(e Started) {
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	r := w.runs[e.Task]
	if r == nil || r.number != e.Run {
		return
	}
	if e.Failure == OtherWorker {
		c.handleStartElsewhere(r)
		return
	}
	if c.handleFatal(w, e.Failure) {
		return
	}
	if e.Failure.answered() && r.sentAt >= w.lifeSince {
		w.setClock(e.Clock, e.Received)
		w.answered(r.sentAt, e.Received)
	}
	switch e.Failure {
	case None:
		if r.state == starting || r.state == unconfirmed {
			c.confirmRun(r, e.Received)
		}
		c.markActive(r.task.step.job)
		r.task.step.rejectedStarts = 0
		return
	case NoAnswer:
		if r.state == starting {
			r.state = unconfirmed
		}
		w.failing, w.unansweredAt = true, e.Received
		return
	case Unhealthy:
		w.pausedUntil = c.now.Steady + unhealthyPause
	case NotSent:
		w.refused(e.Received)
	case BadTicket:
		delete(r.task.step.advice.tickets, w)
	case NoRoom:
		w.pausedUntil = c.now.Steady + pollRetryDelay
	case Superseded:
		r.task.lastRun = max(r.task.lastRun, r.number+1)
	}
	c.logLoss("start refused", w, slog.String("task", e.Task), slog.Uint64("run", e.Run), slog.Int("failure", int(e.Failure)))
	r.task.step.notBefore = c.now.Steady + refusalBackoff
	if e.Failure == Invalid {
		c.startRejected(r)
	}
	c.dropRun(r)
	if e.Failure.replaceable() {
		c.replaceMember(r, "start refused")
	} else {
		c.abortGang(r, "start refused")
	}
}

// startRejected prefers other workers for a task whose start its worker rejected as malformed.
func (c *Cell) startRejected(r *run) {
	s := r.task.step
	r.task.avoidWorker(r.w)
	if s.spec.Gang {
		s.tasks[0].avoidWorker(r.w)
	}
	s.notBefore = c.now.Steady + min(refusalBackoff<<s.rejectedStarts, maxRejectionBackoff)
	s.rejectedStarts = min(s.rejectedStarts+1, 10)
}

// answered reports whether the worker has answered.
func (f Failure) answered() bool { return f != NoAnswer && f != NotSent && f != Withheld }

// handleStartElsewhere handles a start that reached another worker. If it was sent before the
// present life of the worker became known, its address may be that of an earlier one.
func (c *Cell) handleStartElsewhere(r *run) {
	c.logGivenUp(r, "another worker answers at its address")
	c.dropRun(r) // before the worker's other runs, which may have begun
	if r.sentAt >= r.w.lifeSince {
		c.handleFatal(r.w, OtherWorker)
	}
	c.replaceMember(r, "start refused")
}

// confirmRun records that a run is known to be running.
func (c *Cell) confirmRun(r *run, at Instant) {
	r.state, r.confirmedAt, r.progressAt = running, at, at
	c.noteBegun(r)
}

// handleFatal handles the command failures that end the claim or remove the worker,
// and reports whether the failure was one of them.
func (c *Cell) handleFatal(w *worker, failure Failure) bool {
	switch failure {
	case Fenced:
		c.handleFenced(w)
	case OtherWorker:
		if !c.listedOnce {
			w.failing = true // it may have moved since its address was stored
			return true
		}
		c.recordReplaced(w)
		c.removeLostWorker(w, "another worker answers at its address")
	default:
		return false
	}
	return true
}

// handleFenced ends the claim. A worker has seen a higher token, which only a later
// claim can have.
func (c *Cell) handleFenced(w *worker) {
	c.logInfo("worker has seen a higher token", slog.String("worker", w.ID), slog.Uint64("token", c.token))
	c.depose("fenced")
	c.emit(OwnershipLost{})
}

// markActive reports a job as active once one of its tasks has started.
func (c *Cell) markActive(j *job) {
	if j.progress.State == workload.Queued && j.spec != nil {
		// This needs no commit of its own: the stored placement implies it.
		j.progress.State = workload.Active
		j.reportedState = max(j.reportedState, workload.Active)
		c.emit(FirstStartDelay{For: c.now.Steady - j.receivedAt})
		c.logInfo("job active", slog.String("id", j.id), slog.Duration("waited", c.now.Steady-j.receivedAt))
	}
}

// abortGang stops the other members of a gang's run, after the given one was lost or could
// not start.
func (c *Cell) abortGang(lost *run, cause string) {
	s := lost.task.step
	if !s.spec.Gang || s.done {
		return
	}
	c.logGangEnd(lost, cause)
	c.noteBroken(s)
	s.notStarted = nil
	for _, t := range s.tasks {
		for _, r := range slices.Clone(t.runs) {
			if r.number == lost.number {
				c.stopRun(r)
			}
		}
	}
}

// stopRun stops a run.
func (c *Cell) stopRun(r *run) {
	if r.state == placing {
		c.dropRun(r)
		return
	}
	if r.stopAckedAt > 0 || r.stopSentAt > 0 && c.now.Steady-r.stopSentAt < stopRetryDelay {
		return
	}
	if r.state != unconfirmed {
		r.state = stopping
	}
	r.stopSentAt = c.now.Steady
	if r.firstStopAt == 0 {
		r.firstStopAt = c.now.Steady
	}
	c.emit(Stop{Command: c.command(r.w), Task: r.task.name, Run: r.number})
}

// stopJob stops all runs of a job.
func (c *Cell) stopJob(j *job) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				for _, r := range slices.Clone(t.runs) {
					c.stopRun(r)
				}
			}
		}
	}
}

// handleStopDone handles the outcome of a stop.
func (c *Cell) handleStopDone(e StopDone) {
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	if r := w.runs[e.Task]; e.Failure == OtherWorker && (r == nil || r.number != e.Run || r.stopSentAt < w.lifeSince) {
		return // maybe from an address of an earlier life; a poll will tell
	}
	if c.handleFatal(w, e.Failure) {
		return
	}
	if e.Failure == NotSent {
		w.refused(e.Received)
	}
	if e.Failure != None {
		return // checkRuns sends it again if it is still needed
	}
	r := w.runs[e.Task]
	if r == nil || r.number != e.Run {
		w.answered(0, e.Received)
		return
	}
	w.answered(r.stopSentAt, e.Received)
	r.stopAckedAt = e.Received
}
