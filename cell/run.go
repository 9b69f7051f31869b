package cell

import (
	"log/slog"
	"slices"
	"time"

	"github.com/cowslipgap/cowslipgap/docket"
)

const (
	// stopRetry is the pause before a stop without an answer is sent again.
	stopRetry = 300 * time.Millisecond
	// startPatience is how long a start may be on its way before it counts as
	// unanswered, whatever the sender does.
	startPatience = 2 * time.Second
	// refusalPause keeps a step from being tried again at once after a refusal.
	refusalPause = 20 * time.Millisecond
)

// order returns the common part of an order to w.
func (c *Cell) order(w *worker) Order {
	return Order{Worker: w.ID, Addr: w.Addr, Token: c.token, NotAfter: c.authority()}
}

// begin places a task on a worker. The start is sent once the store holds the
// placement: a successor then knows which worker to ask about the task.
func (c *Cell) begin(t *task, w *worker, n uint64) {
	s := t.step
	r := &run{task: t, n: n, w: w, sent: c.now.Steady, movedAt: c.now.Steady}
	t.runs = append(t.runs, r)
	s.active++
	w.runs[t.name] = r
	w.charge(r, 1)
	c.chargeTeam(s, 1)
	c.touch(s.job)
}

// sendStart sends the start of a run whose placement is stored.
func (c *Cell) sendStart(r *run) {
	t, s, w := r.task, r.task.step, r.w
	if r.state != planned || w.runs[t.name] != r || s.job.Job == nil || s.job.progress.State.Final() {
		return
	}
	if !s.advice.valid(w, c.now.Steady) || c.leaseLength() < minLease || !w.usable(c.now.Steady) {
		c.drop(r)
		c.abortGang(s, r.n)
		return
	}
	r.state, r.sent = starting, c.now.Steady
	checkpoint := t.checkpoint
	if s.spec.Gang {
		checkpoint = s.checkpoint
	}
	c.emit(Start{
		Order: c.order(w), Task: t.name, Run: r.n, Spec: s.job.Spec, Checkpoint: checkpoint,
		Ticket: s.advice.ticket(w), LeaseUntil: w.lease(c.now.Steady, c.leaseLength()),
	})
}

// drop forgets a run that is certainly not at work and never will be.
func (c *Cell) drop(r *run) {
	t := r.task
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			if len(t.runs) == 0 {
				t.step.active--
			}
			r.w.charge(r, -1)
			c.chargeTeam(t.step, -1)
			if r.w.runs[t.name] == r {
				delete(r.w.runs, t.name)
			}
			if t.step.job.Job != nil {
				c.touch(t.step.job)
			}
			break
		}
	}
	c.queue(t.step)
}

// dropLost forgets a run that was lost with its worker.
func (c *Cell) dropLost(r *run) {
	c.drop(r)
	c.abortGang(r.task.step, r.n)
}

// queue puts a step among those that wait, if it has tasks to start.
func (c *Cell) queue(s *step) {
	if !s.ready || s.done || s.queued || s.job.Job == nil || s.job.progress.State.Final() {
		return
	}
	s.queued = true
	c.waiting = append(c.waiting, s)
}

// started handles the outcome of a start.
func (c *Cell) started(e Started) {
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	r := w.runs[e.Task]
	if r == nil || r.n != e.Run {
		return
	}
	if e.Failure != NoAnswer && e.Failure != NotSent && e.Failure != OtherLife {
		w.setClock(e.Clock, e.Received)
		w.answered, w.failing = max(w.answered, e.Received), false
	}
	switch e.Failure {
	case None:
		if r.state == starting || r.state == unsettled {
			r.state = running
			r.confirmed = e.Received
			r.movedAt = e.Received
		}
		c.nowActive(r.task.step.job)
		return
	case NoAnswer:
		if r.state == starting {
			r.state = unsettled
		}
		w.failing = true
		return
	case Fenced:
		c.fenced(w)
		return
	case OtherLife:
		c.loseWorker(w, "another worker answers at its address")
		return
	case Unhealthy:
		w.pausedTo = c.now.Steady + unhealthyPause
	case NotSent:
		w.failing = true
	case BadTicket:
		delete(r.task.step.advice.tickets, w)
	case NoRoom:
		w.pausedTo = c.now.Steady + lookRetry
	case Superseded:
		r.task.nextRun = max(r.task.nextRun, r.n+1)
	}
	c.note("start refused", slog.String("task", e.Task), slog.Uint64("run", e.Run), slog.String("worker", e.Worker), slog.Int("failure", int(e.Failure)))
	r.task.step.notBefore = c.now.Steady + refusalPause
	c.drop(r)
	c.abortGang(r.task.step, r.n)
}

// fenced ends the claim: a worker has seen a higher token, and only a later
// claim has one.
func (c *Cell) fenced(w *worker) {
	c.note("worker has seen a higher token", slog.String("worker", w.ID), slog.Uint64("token", c.token))
	c.depose("fenced")
	c.emit(Abdicate{})
}

// nowActive shows a job as active once a task of it has begun.
func (c *Cell) nowActive(j *job) {
	if j.progress.State == docket.Queued && j.Job != nil {
		// Not written by itself: the placement that is stored says as much.
		j.progress.State = docket.Active
		j.shown = max(j.shown, docket.Active)
		c.emit(Waited{For: c.now.Steady - j.received})
		c.note("job active", slog.String("id", j.id), slog.Duration("waited", c.now.Steady-j.received))
	}
}

// abortGang stops the other members of a gang's run that cannot be complete.
func (c *Cell) abortGang(s *step, n uint64) {
	if !s.spec.Gang || s.done {
		return
	}
	for _, t := range s.tasks {
		for _, r := range slices.Clone(t.runs) {
			if r.n == n {
				c.halt(r)
			}
		}
	}
}

// halt stops a run.
func (c *Cell) halt(r *run) {
	if r.state == planned {
		c.drop(r)
		return
	}
	if r.stopAcked > 0 || r.stopSent > 0 && c.now.Steady-r.stopSent < stopRetry {
		return
	}
	if r.state != unsettled {
		r.state = stopping
	}
	r.stopSent = c.now.Steady
	c.emit(Stop{Order: c.order(r.w), Task: r.task.name, Run: r.n})
}

// stopAll stops whatever runs of a job.
func (c *Cell) stopAll(j *job) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				for _, r := range slices.Clone(t.runs) {
					c.halt(r)
				}
			}
		}
	}
}

// stopDone handles the outcome of a stop.
func (c *Cell) stopDone(e StopDone) {
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	switch e.Failure {
	case None:
		w.answered, w.failing = max(w.answered, e.Received), false
	case Fenced:
		c.fenced(w)
		return
	case OtherLife:
		c.loseWorker(w, "another worker answers at its address")
		return
	default:
		return // it is sent again
	}
	if r := w.runs[e.Task]; r != nil && r.n == e.Run {
		r.stopAcked = e.Received
	}
}

// looked handles a worker's report.
func (c *Cell) looked(e Looked) {
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	w.looking = false
	switch e.Failure {
	case None:
	case Fenced:
		c.fenced(w)
		return
	case OtherLife:
		c.loseWorker(w, "another worker answers at its address")
		return
	default:
		if !w.failing {
			c.note("worker does not answer", slog.String("worker", w.ID), slog.Int("failure", int(e.Failure)))
		}
		w.failing = true
		return
	}
	if w.failing {
		c.note("worker answers again", slog.String("worker", w.ID))
	}
	w.failing = false
	w.acked = max(w.acked, w.ackSent)
	w.answered = max(w.answered, e.Received)
	w.setClock(e.Report.Clock, e.Received)
	if e.Report.Born > 0 && w.Born > 0 && e.Report.Born != w.Born {
		if e.Report.Born < w.Born {
			return // an answer of the life before
		}
		c.reborn(w)
	}
	if e.Report.Born > 0 {
		w.Born = e.Report.Born
	}
	w.synced = true
	c.takeEnds(w, e.Report.Ended)
	c.takeRunning(w, e)
	c.release(w.ID)
}

// takeEnds processes the ends that are new.
func (c *Cell) takeEnds(w *worker, ends []EndedTask) {
	for _, end := range ends {
		if end.N <= w.seen {
			continue
		}
		w.seen = end.N
		c.takeEnd(w, end)
	}
}

// takeEnd applies one end to the task that it belongs to.
func (c *Cell) takeEnd(w *worker, end EndedTask) {
	if w.strays[end.Task] == end.Run {
		delete(w.strays, end.Task)
	}
	r := w.runs[end.Task]
	if r != nil && r.n != end.Run {
		r = nil
	}
	t := c.task(end.Task)
	if r != nil {
		t = r.task
	}
	if t == nil {
		return
	}
	s := t.step
	if r != nil {
		c.learn(r, end.How)
		c.drop(r)
	}
	if s.job.Job == nil || s.job.progress.State.Final() {
		return
	}
	if end.Checkpoint != "" {
		t.checkpoint = end.Checkpoint
		s.checkpoint = end.Checkpoint
	}
	switch end.How {
	case Done:
		w.faults = 0
		c.taskDone(t)
	case Faulted:
		c.taskFaulted(t, w, end.Run)
	default:
		t.nextRun = max(t.nextRun, end.Run)
	}
	c.touch(s.job)
}

// task finds a task by name.
func (c *Cell) task(name string) *task {
	id, err := docket.ParseTaskID(name)
	if err != nil {
		return nil
	}
	j := c.jobs[id.Job]
	if j == nil || j.Job == nil || id.Occurrence >= len(j.occurrences) || id.Step >= len(j.Steps) {
		return nil
	}
	s := j.occurrences[id.Occurrence].steps[id.Step]
	if id.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[id.Index]
}

// taskDone notes that a task, or a whole gang, has ended as it should.
func (c *Cell) taskDone(t *task) {
	s := t.step
	if s.spec.LongRunning || t.done {
		return
	}
	if s.spec.Gang {
		s.finish()
	} else {
		t.done = true
		s.left--
		for _, other := range slices.Clone(t.runs) {
			c.halt(other) // a copy
		}
		if s.left == 0 {
			s.finish()
		}
	}
	if s.done {
		c.unopened = appendJob(c.unopened, s.job)
		c.checkComplete(s.job)
	}
}

// appendJob adds a job once.
func appendJob(list []*job, j *job) []*job {
	for _, other := range list {
		if other == j {
			return list
		}
	}
	return append(list, j)
}

// checkComplete ends a job of which nothing is left to do.
func (c *Cell) checkComplete(j *job) {
	for _, o := range j.occurrences {
		if o.left > 0 {
			return
		}
	}
	c.conclude(j, docket.Completed)
}

// conclude gives a job its final state. It is shown once the store holds it.
func (c *Cell) conclude(j *job, state docket.State) {
	if j.progress.State.Final() {
		return
	}
	j.progress.State = state
	j.progress.EndedAt = c.now.Wall
	c.touch(j)
}

// taskFaulted counts a failed run, and fails the job at the limit.
func (c *Cell) taskFaulted(t *task, w *worker, n uint64) {
	s := t.step
	w.faults++
	if t.avoid == nil {
		t.avoid = map[string]bool{}
	}
	t.avoid[w.ID] = true
	faults := &t.faults
	if s.spec.Gang {
		faults = &s.faults
	}
	if !faults.Add(n) || s.spec.LongRunning {
		return
	}
	c.note("run failed", slog.String("task", t.name), slog.Uint64("run", n), slog.String("worker", w.ID), slog.Int("attempts", len(*faults)))
	if limit := s.job.Queue.MaxAttempts; limit > 0 && len(*faults) >= limit {
		c.conclude(s.job, docket.Failed)
		c.stopAll(s.job)
	}
}

// takeRunning compares what runs on a worker with what should.
func (c *Cell) takeRunning(w *worker, e Looked) {
	present := make(map[string]uint64, len(e.Report.Running))
	for _, entry := range e.Report.Running {
		present[entry.Task] = entry.Run
		r := w.runs[entry.Task]
		if r == nil {
			r = c.adoptRun(w, entry, e.Received)
		}
		if r == nil || r.n != entry.Run {
			c.stopStray(w, entry)
			continue
		}
		c.progressed(r, entry, e.Received)
	}
	for name, n := range w.strays {
		if present[name] != n {
			delete(w.strays, name)
		}
	}
	for name, r := range w.runs {
		if present[name] == r.n {
			continue
		}
		c.absent(r, e.Sent)
	}
}

// progressed notes what a report says of a run at work.
func (c *Cell) progressed(r *run, entry RunningTask, at Instant) {
	if r.state == starting || r.state == unsettled && r.stopSent == 0 {
		r.state = running
		r.confirmed = at
		r.movedAt = at
	}
	if entry.Percent != r.percent {
		c.learnSpeed(r, entry.Percent, at)
		r.percent, r.movedAt = entry.Percent, at
	}
	s := r.task.step
	if entry.Checkpoint != "" && s.job.Job != nil {
		r.task.checkpoint = entry.Checkpoint
		s.checkpoint = entry.Checkpoint
	}
	c.nowActive(s.job)
	if s.job.progress.State.Final() || r.task.done {
		c.halt(r)
	}
}

// absent handles a run that a report, asked for at the given time, does not list.
func (c *Cell) absent(r *run, asked Instant) {
	switch {
	case r.stopAcked > 0 && asked > r.stopAcked:
		c.drop(r) // it has not begun and is forbidden, or its end was acknowledged
	case r.state == running && asked > r.confirmed:
		c.note("run vanished", slog.String("task", r.task.name), slog.Uint64("run", r.n), slog.String("worker", r.w.ID))
		c.dropLost(r)
	case r.state == unsettled && r.stopAcked == 0 && asked > r.sent:
		c.halt(r)
	}
}

// adoptRun takes a run over that an earlier owner started.
func (c *Cell) adoptRun(w *worker, entry RunningTask, at Instant) *run {
	t := c.task(entry.Task)
	if t == nil || t.done || t.held != w.ID || len(t.runs) > 0 || t.step.job.progress.State.Final() {
		return nil
	}
	t.held = ""
	s := t.step
	r := &run{task: t, n: entry.Run, w: w, state: running, sent: at, confirmed: at, movedAt: at}
	t.runs = append(t.runs, r)
	if len(t.runs) == 1 {
		s.active++
	}
	w.runs[t.name] = r
	w.charge(r, 1)
	c.chargeTeam(s, 1)
	return r
}

// stopStray stops what should not run. Nothing new starts on the worker before
// it is gone, as what it takes is not known.
func (c *Cell) stopStray(w *worker, entry RunningTask) {
	if w.strays[entry.Task] != entry.Run {
		c.note("stray run", slog.String("task", entry.Task), slog.Uint64("run", entry.Run), slog.String("worker", w.ID))
	}
	w.strays[entry.Task] = entry.Run
	c.emit(Stop{Order: c.order(w), Task: entry.Task, Run: entry.Run})
}

// reborn notes that a worker has restarted: its ends are numbered anew. Which
// runs are gone is left to its report, as starts may have reached the new life
// before it was known here.
func (c *Cell) reborn(w *worker) {
	c.note("worker restarted", slog.String("worker", w.ID), slog.Int("runs", len(w.runs)))
	w.seen, w.ackable, w.acked, w.ackSent = 0, 0, 0, 0
	w.life++
	w.observed = 0
	clear(w.strays)
}

// loseWorker forgets a worker that certainly runs nothing any more.
func (c *Cell) loseWorker(w *worker, why string) {
	c.note("worker lost", slog.String("worker", w.ID), slog.String("why", why), slog.Int("runs", len(w.runs)))
	for _, r := range w.runs {
		c.dropLost(r)
	}
	c.release(w.ID)
	delete(c.workers, w.ID)
	c.book.rosterOpen = true
}

// tendRuns sends stops again and notices runs that stand still.
func (c *Cell) tendRuns() {
	now := c.now.Steady
	for _, w := range c.workers {
		for _, r := range w.runs {
			switch {
			case r.state == stopping, r.state == unsettled && r.stopSent > 0:
				c.halt(r)
			case r.state == starting && now-r.sent > startPatience:
				r.state = unsettled
			case r.state == running && c.stuck(r):
				c.note("run stands still", slog.String("task", r.task.name), slog.Uint64("run", r.n), slog.String("worker", w.ID), slog.Int("percent", r.percent))
				w.pausedTo = now + unhealthyPause*3
				c.halt(r)
			}
		}
	}
}

// stuck reports whether a run has made no progress for too long. Members of a
// gang end together: one that is through waits for the others, and none begins
// before all are there.
func (c *Cell) stuck(r *run) bool {
	s := r.task.step
	if s.spec.LongRunning || s.spec.Fills || r.w.failing || r.percent >= 100 {
		return false
	}
	if c.now.Steady-r.movedAt < max(stuckAfter, s.spec.Estimate/20) || c.now.Steady-r.w.answered >= lookWait {
		return false
	}
	return !s.spec.Gang || r.percent > 0 || s.begun()
}

// begun reports whether a member of a gang has made progress.
func (s *step) begun() bool {
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if r.percent > 0 {
				return true
			}
		}
	}
	return false
}

// lookAround sends the looks that are due.
func (c *Cell) lookAround() {
	now := c.now.Steady
	for _, w := range c.workers {
		if w.looking || !w.busy() {
			continue
		}
		gap := lookGap
		if w.failing {
			gap = lookRetry
		}
		if now-w.lookedAt < gap && w.lookedAt > 0 {
			continue
		}
		c.look(w)
	}
}

// look asks a worker for its state, and renews its leases while it answers.
func (c *Cell) look(w *worker) {
	now := c.now.Steady
	w.looking, w.lookedAt = true, now
	effect := Look{Order: c.order(w)}
	if !w.failing { // it may have restarted, and its ends count from 1 again
		effect.Ack = w.ackable
	}
	if w.synced && !w.failing {
		effect.Wait = lookWait
		for _, r := range w.runs {
			if r.state == unsettled || r.state == stopping {
				effect.Wait = 0
			}
		}
		if len(w.strays) > 0 || len(w.runs) == 0 {
			effect.Wait = 0
		}
	}
	if length := c.leaseLength(); w.synced && length > 0 && (!w.failing || now-w.answered < silentAfter*2) {
		effect.LeaseUntil = w.lease(now, length)
	}
	w.ackSent = effect.Ack
	c.emit(effect)
}
