package cell

import (
	"log/slog"
	"slices"

	"github.com/cowslipgap/cowslipgap/workload"
)

// handlePollResult handles the outcome of a poll.
func (c *Cell) handlePollResult(e PollResult) {
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	w.pollInFlight = false
	if e.Failure == OtherWorker {
		if e.Sent < w.lifeSince {
			return // from an address of an earlier life
		}
		if c.listedOnce {
			c.replaced[w.ID] = life{w.Addr, w.StartedAt, w.listedStart}
		}
	}
	if c.handleFatal(w, e.Failure) {
		return
	}
	if e.Failure != None {
		c.handlePollFailure(w, e)
		return
	}
	if e.Report.StartedAt > 0 && w.StartedAt > 0 && e.Report.StartedAt != w.StartedAt {
		if e.Sent < w.lifeSince {
			return // of an earlier incarnation, or a later poll will tell
		}
		c.handleRestart(w)
		w.lifeSince = c.now.Steady
	} else if e.Sent >= w.unsureGrantAt {
		w.unsureGrantAt, w.unsureLeaseEnd = 0, 0
	}
	failing := w.failing
	w.answered(e.Sent, e.Received)
	if failing && !w.failing {
		c.logInfo("worker answers again", slog.String("worker", w.ID))
	}
	w.reportedAt, w.reportClock = e.Received, e.Report.Clock
	w.setClock(e.Report.Clock, e.Received)
	if e.Report.StartedAt > 0 {
		w.StartedAt = e.Report.StartedAt
	}
	w.synced = true
	w.lastAcked = max(w.lastAcked, min(e.Ack, w.lastStored))
	if c.now.Steady-e.Sent <= maxPollTime { // else it may tell of long ago
		w.ackableUntil = c.now.Steady + ackWindow
	}
	if e.Report.Capacity != nil {
		c.readCapacity(w, *e.Report.Capacity, e.Report.StartedAt, e.Report.Clock)
	}
	w.resultsLeft = c.MaxResults > 0 && len(e.Report.Ended) >= c.MaxResults
	c.processResults(w, e.Report.Ended)
	c.reconcileRuns(w, e)
	if !w.resultsLeft {
		c.recordRestart(w, e.Report)
		w.ended = nil
		c.releaseHeld(w.ID, releasedByReport)
	}
	if w.wasLeaving {
		w.wasLeaving, c.commits.rosterDirty = false, true
	}
}

// handlePollFailure handles a poll that got no report.
func (c *Cell) handlePollFailure(w *worker, e PollResult) {
	if !w.failing {
		c.logInfo("worker does not answer", slog.String("worker", w.ID), slog.Int("failure", int(e.Failure)))
	}
	w.failing = true
	if e.Failure == NotSent {
		w.refused(e.Received)
	}
}

// processResults processes the run results that are new.
func (c *Cell) processResults(w *worker, results []RunResult) {
	for _, result := range results {
		if result.Seq <= w.lastProcessed {
			continue
		}
		w.lastProcessed = result.Seq
		c.processResult(w, result)
	}
	c.resultsProcessed(w)
}

// processResult applies a run result to its task.
func (c *Cell) processResult(w *worker, result RunResult) {
	if w.strays[result.Task] == result.Run {
		delete(w.strays, result.Task)
	}
	r := w.runs[result.Task]
	if r != nil && r.number != result.Run {
		r = nil
	}
	t := c.task(result.Task)
	if r != nil {
		t = r.task
	}
	if r == nil {
		c.logLateResult(w, result, t)
	}
	if t == nil {
		return
	}
	s := t.step
	if r != nil {
		if result.Outcome == Stopped {
			r.aliveAt = max(r.aliveAt, r.firstStopAt)
		}
		c.recordResult(r, result.Outcome)
		c.runEnded(r, result.Outcome)
		if result.Outcome == Stopped && result.Checkpoint != "" {
			c.refundEviction(r)
		}
		c.dropRun(r)
	}
	if s.job.spec == nil || s.job.progress.State.Final() {
		return
	}
	if result.Checkpoint != "" {
		t.checkpoint = result.Checkpoint
		s.checkpoint = result.Checkpoint
	}
	switch result.Outcome {
	case Done:
		c.taskDone(t)
	case Failed:
		c.taskFailed(t, w, result.Run)
	default:
		t.lastRun = max(t.lastRun, result.Run)
	}
	if r != nil && result.Outcome != Done {
		c.memberEnded(r, result.Outcome)
	}
	c.markTaskDirty(t)
}

// task returns the task with the given name, or nil if there is none.
func (c *Cell) task(name string) *task {
	id, err := workload.ParseTaskID(name)
	if err != nil {
		return nil
	}
	j := c.jobs[id.Job]
	if j == nil || j.spec == nil || id.Occurrence >= len(j.occurrences) || id.Step >= len(j.spec.Steps) {
		return nil
	}
	s := j.occurrences[id.Occurrence].steps[id.Step]
	if id.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[id.Index]
}

// taskDone marks a task, or its whole gang, as done.
func (c *Cell) taskDone(t *task) {
	s := t.step
	if s.spec.LongRunning || t.done {
		return
	}
	if s.spec.Gang {
		s.finish()
	} else {
		t.done = true
		s.tasksLeft--
		for _, other := range slices.Clone(t.runs) {
			c.stopRun(other) // another run of the same task
		}
		if s.tasksLeft == 0 {
			s.finish()
		}
	}
	if s.done {
		c.markTaskDirty(s.tasks[0])
		if !slices.Contains(c.pendingJobs, s.job) {
			c.pendingJobs = append(c.pendingJobs, s.job)
		}
		c.checkComplete(s.job)
	}
}

// checkComplete completes a job whose steps are all done.
func (c *Cell) checkComplete(j *job) {
	for _, o := range j.occurrences {
		if o.stepsLeft > 0 {
			return
		}
	}
	c.setFinalState(j, workload.Completed)
}

// setFinalState sets the final state of a job. Callers see it once it is stored.
func (c *Cell) setFinalState(j *job, state workload.State) {
	if j.progress.State.Final() {
		return
	}
	j.progress.State = state
	c.markDirty(j)
}

// taskFailed records a failed run. It fails the job if the task, or its gang, has
// reached the maximum number of attempts of the queue, but never for long-running tasks.
func (c *Cell) taskFailed(t *task, w *worker, n uint64) {
	s := t.step
	t.avoidWorker(w)
	failedRuns := &t.failedRuns
	if s.spec.Gang {
		failedRuns = &s.failedRuns
	}
	limit := s.queue.MaxAttempts
	if s.spec.LongRunning || limit == 0 || !failedRuns.Add(n) {
		return
	}
	c.logInfo("run failed", slog.String("task", t.name), slog.Uint64("run", n), slog.String("worker", w.ID), slog.Int("attempts", len(*failedRuns)))
	if len(*failedRuns) >= limit {
		c.setFinalState(s.job, workload.Failed)
		c.stopJob(s.job)
	}
}

// reconcileRuns compares the reported runs of a worker with the expected ones. The end of a
// run that is in neither list may be among the results that did not fit into the report.
func (c *Cell) reconcileRuns(w *worker, e PollResult) {
	present := make(map[string]uint64, len(e.Report.Running))
	for _, entry := range e.Report.Running {
		present[entry.Task] = entry.Run
		r := w.runs[entry.Task]
		if r == nil {
			r = c.adoptRun(w, entry, e.Received)
		}
		if r == nil || r.number != entry.Run {
			c.stopStray(w, entry)
			continue
		}
		c.updateRun(r, entry, e.Received)
	}
	if w.resultsLeft {
		return
	}
	for name, n := range w.strays {
		if present[name] != n {
			delete(w.strays, name)
		}
	}
	for r := range w.eachRun {
		if present[r.task.name] == r.number {
			continue
		}
		c.handleAbsentRun(r, e.Sent)
	}
}

// updateRun updates a run from a report that lists it as running.
func (c *Cell) updateRun(r *run, entry RunningTask, at Instant) {
	if r.state == starting || r.state == unconfirmed && r.stopSentAt == 0 {
		c.confirmRun(r, at)
	}
	r.aliveAt = at
	if entry.Percent != r.percent || r.progressClock == 0 {
		r.progressClock = r.w.reportClock
	}
	if entry.Percent != r.percent {
		c.recordProgressSpeed(r, entry.Percent, at)
		r.percent, r.progressAt = entry.Percent, at
	}
	s := r.task.step
	if entry.Checkpoint != "" && s.job.spec != nil {
		if r.task.checkpoint != entry.Checkpoint {
			r.savedPercent = entry.Percent
		}
		r.task.checkpoint = entry.Checkpoint
		s.checkpoint = entry.Checkpoint
		if entry.Checkpoint != r.saved {
			r.saved, r.savedAt = entry.Checkpoint, at
		}
	}
	c.markActive(s.job)
	if s.job.progress.State.Final() || r.task.done {
		c.stopRun(r)
	}
}

// handleAbsentRun handles a run that is missing from a report. The report was
// requested at the given time.
func (c *Cell) handleAbsentRun(r *run, requestedAt Instant) {
	switch {
	case r.stopAckedAt > 0 && requestedAt > r.stopAckedAt:
		c.logGivenUp(r, "stop acknowledged")
		c.dropRun(r) // its start is prevented, or its result was acknowledged
	case r.state == running && requestedAt > r.confirmedAt:
		c.logLoss("run vanished", r.w, slog.String("task", r.task.name), slog.Uint64("run", r.number))
		c.dropLostRun(r, "run vanished")
	case r.state == unconfirmed && r.stopAckedAt == 0 && requestedAt > r.sentAt:
		c.stopRun(r)
		c.abortGang(r, "start lost") // the others would wait for it in vain
	}
}

// adoptRun takes over a run that an earlier owner started. It returns nil if the task
// is not held for this worker or needs no run.
func (c *Cell) adoptRun(w *worker, entry RunningTask, at Instant) *run {
	t := c.task(entry.Task)
	if t == nil || t.done || t.heldFor != w.ID || len(t.runs) > 0 || t.step.job.progress.State.Final() {
		return nil
	}
	t.heldFor = ""
	r := &run{task: t, number: entry.Run, w: w, sentAt: at, adopted: true}
	c.addRun(r)
	c.confirmRun(r, at)
	return r
}

// stopStray stops a stray run, one that no task expects. No task starts on the worker
// before the stray run has ended, because its resource use is unknown.
func (c *Cell) stopStray(w *worker, entry RunningTask) {
	if w.strays[entry.Task] != entry.Run {
		c.logInfo("stray run", slog.String("task", entry.Task), slog.Uint64("run", entry.Run), slog.String("worker", w.ID))
	}
	w.strays[entry.Task] = entry.Run
	c.emit(Stop{Command: c.command(w), Task: entry.Task, Run: entry.Run})
}
