package cell

import (
	"log/slog"
	"time"

	"github.com/cowslipgap/cowslipgap/docket"
	"github.com/cowslipgap/cowslipgap/resource"
)

// runsPerClaim is the range of run numbers of one claim. Run numbers must increase
// from owner to owner, and a new owner does not know the last number of the one
// before.
const runsPerClaim = 1 << 12

// restore begins a claim from the stored state. A task that was placed may be
// running on its worker, so it does not start again before that worker has answered
// or every lease there has expired.
func (c *Cell) restore(e Claimed) {
	c.reset()
	c.owner, c.token = true, e.Token
	c.book.confirmed = e.Sent
	c.book.lastSent = e.Sent
	c.recoverBy = c.now.Steady
	if e.Previous {
		c.recoverBy += slowest(Authority)
	}
	firstRun := e.Token * runsPerClaim
	live := 0
	for _, stored := range e.Jobs {
		progress := docket.Progress{}
		if stored.Progress != nil {
			progress = *stored.Progress
		}
		if progress.State.Final() {
			j := &job{id: stored.ID, progress: progress, shown: progress.State, stored: true, recorded: true, deleted: true, endedAt: c.now.Steady}
			c.jobs[j.id] = j
			c.ended = append(c.ended, j)
			if stored.Job != nil {
				c.book.drops = append(c.book.drops, Row{Table: Jobs, Key: stored.ID})
			}
			continue
		}
		if stored.Job == nil {
			c.note("progress without a job", slog.String("id", stored.ID))
			continue
		}
		live++
		progress.Team = stored.Job.Team
		j := newJob(stored.Job, progress, firstRun)
		j.stored, j.recorded = true, stored.Progress != nil
		age := c.now.Wall.Sub(stored.Job.ReceivedAt)
		j.received = c.now.Steady - min(max(0, age), time.Minute)
		c.adopt(j)
	}
	for _, ref := range e.Workers {
		w := newWorker(WorkerInfo{ID: ref.ID, Addr: ref.Addr, Service: ref.Service}, c.now.Steady)
		w.onRoster = true
		c.enlist(w)
	}
	c.note("cell claimed", slog.Uint64("token", e.Token), slog.Int("jobs", live), slog.Int("ended", len(e.Jobs)-live), slog.Int("workers", len(e.Workers)))
}

// addJob adds a job to the working state.
func (c *Cell) adopt(j *job) {
	c.jobs[j.id], c.live[j.id] = j, j
	c.unopened = append(c.unopened, j)
	c.setObjective(j)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.held != "" {
					c.held[t.held] = append(c.held[t.held], t)
				}
			}
		}
	}
	for _, o := range j.occurrences {
		if o.left == 0 && j.progress.State < docket.Completed {
			c.checkComplete(j)
			return
		}
	}
}

// checkRecovery ends the recovery once all workers that an earlier owner may have
// used have answered, or their leases have expired.
func (c *Cell) tendRecovery() {
	if c.recovered {
		return
	}
	if c.now.Steady < c.recoverBy {
		for _, w := range c.roll {
			if w.onRoster && !w.synced {
				return
			}
		}
	}
	c.recovered = true
	for worker := range c.held {
		c.release(worker)
	}
	c.note("recovery complete", slog.Uint64("token", c.token), slog.Int("workers", len(c.workers)))
}

// releaseHeld lets the tasks start that are held for a worker, once the worker has
// reported its runs or certainly runs nothing any more.
func (c *Cell) release(worker string) {
	tasks := c.held[worker]
	if len(tasks) == 0 {
		return
	}
	delete(c.held, worker)
	for _, t := range tasks {
		if t.held == worker {
			t.held = ""
			c.queue(t.step)
		}
	}
}

// heldResources returns the resources that each team's held tasks may use on workers
// that have not answered yet.
func (c *Cell) hiddenUse() map[string]resource.Vector {
	if len(c.held) == 0 {
		return nil
	}
	hidden := map[string]resource.Vector{}
	for _, tasks := range c.held {
		for _, t := range tasks {
			if t.held != "" {
				team := t.step.job.team()
				hidden[team] = hidden[team].Add(t.step.spec.Need)
			}
		}
	}
	return hidden
}

// depose ends the claim. Waiting callers are referred to the next owner, which knows
// from the store what was accepted.
func (c *Cell) depose(reason string) {
	if !c.owner {
		return
	}
	c.note("cell lost", slog.Uint64("token", c.token), slog.String("reason", reason))
	answer := func(replies []uint64) {
		for _, reply := range replies {
			c.emit(Answer{Reply: reply, Verdict: Lost})
		}
	}
	for _, j := range c.jobs {
		answer(j.acceptWaits)
		answer(j.cancelWaits)
	}
	if p := c.book.inFlight; p != nil {
		for _, write := range p.jobs {
			answer(write.accepts)
			answer(write.cancels)
		}
	}
	c.reset()
}
