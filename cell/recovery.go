package cell

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/workload"
)

// runsPerClaim is how many run numbers each claim may use. Run numbers must increase
// from owner to owner, and a new owner does not know the last number of the one
// before.
const runsPerClaim = 1 << 12

// answerTime is how long a new owner waits for workers to answer even if all leases of the
// earlier owner have expired, so that it learns of ends that were not acknowledged.
const answerTime = 2 * silentAfter

// restore begins a claim from the stored state. A task that was placed may be
// running on its worker, so it does not start again before that worker has answered
// or every lease there has expired.
func (c *Cell) restore(e Claimed) {
	c.reset()
	c.owner, c.token = true, e.Token
	c.commits.confirmedAt = e.Sent
	c.commits.lastSent = e.Sent
	c.recoverBy = c.now.Steady
	if e.Previous {
		readAt := e.PreviousReadAt
		if readAt == 0 {
			readAt = c.now.Steady
		}
		c.recoverBy = max(readAt+maxLeaseTime(MaxLeaseAfterCommit), c.now.Steady+answerTime)
	}
	c.restoreLearned(e) // before the jobs, whose objectives depend on it
	baseRun := e.Token * runsPerClaim
	live, unreadable := 0, 0
	for _, stored := range e.Jobs {
		progress := workload.Progress{}
		if stored.Progress != nil {
			progress = *stored.Progress
		}
		if stored.Unreadable {
			unreadable++
			c.holdUnreadable(stored, progress)
			continue
		}
		if progress.State.Final() {
			j := &job{id: stored.ID, progress: progress, reportedState: progress.State, stored: true, deleted: true, rows: stored.Rows, endedAt: c.now.Steady}
			c.jobs[j.id] = j
			c.ended = append(c.ended, j)
			for _, p := range stored.More {
				j.more = append(j.more, &part{job: j, first: p.First, stored: true})
			}
			if stored.Rows > 0 || len(j.more) > 0 {
				c.commits.drops = append(c.commits.drops, j.obsoleteRows()...)
			}
			j.more = nil
			continue
		}
		if stored.Job == nil {
			if stored.Progress != nil || len(stored.More) > 0 {
				c.logInfo("progress without a job", slog.String("id", stored.ID))
			} else {
				c.commits.drops = append(c.commits.drops, (&job{id: stored.ID, rows: stored.Rows}).obsoleteRows()...)
			}
			continue
		}
		live++
		progress.Team = stored.Job.Team
		j := newJob(stored.Job, progress, baseRun)
		j.restoreParts(progress, stored.More, c.partTasks())
		j.stored, j.rows, j.main.stored = true, stored.Rows, stored.Progress != nil
		age := c.now.Wall.Sub(stored.Job.ReceivedAt)
		j.receivedAt = c.now.Steady - min(max(0, age), time.Minute)
		c.addJob(j)
		c.recallSuspects(j)
	}
	for _, row := range e.Unreadable {
		c.rosterUnreadable = c.rosterUnreadable || row.Table == Roster
		c.emit(LogRecord{Level: slog.LevelError, Text: "row cannot be read", Attrs: []slog.Attr{slog.String("table", row.Table.String()), slog.String("key", row.Key), slog.String("reason", row.Reason)}})
	}
	c.commits.rosterRows = len(c.rosterShares(e.Workers))
	for _, ref := range e.Workers {
		w := newWorker(WorkerInfo{ID: ref.ID, Addr: ref.Addr, Service: ref.Service}, c.now.Steady)
		w.inherited, w.onRoster, w.wasLeaving, w.endsSoon = true, true, ref.Leaving, ref.Leaving
		c.addWorker(w)
	}
	c.logInfo("cell claimed", slog.Uint64("token", e.Token), slog.Int("jobs", live), slog.Int("ended", len(e.Jobs)-live-unreadable), slog.Int("unreadable", unreadable), slog.Int("workers", len(e.Workers)))
}

// holdUnreadable keeps a job that this version cannot run. Callers are told its stored state, and
// may cancel it. Until then its rows stay, for a version that can read them.
func (c *Cell) holdUnreadable(stored StoredJob, progress workload.Progress) {
	progress.Steps = nil
	j := &job{id: stored.ID, progress: progress, reportedState: progress.State, stored: true, unreadable: true, rows: stored.Rows}
	j.main = part{job: j, stored: true}
	for _, p := range stored.More {
		j.more = append(j.more, &part{job: j, first: p.First, stored: true})
	}
	c.jobs[j.id] = j
}

// addJob adds a job to the working state.
func (c *Cell) addJob(j *job) {
	c.jobs[j.id], c.live[j.id] = j, j
	j.memory = memoryOf(j.spec)
	c.work.add(j.memory)
	c.pendingJobs = append(c.pendingJobs, j)
	c.setObjective(j)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for i := range s.ended {
				s.ended[i].until = c.recoverBy
			}
			for _, t := range s.tasks {
				c.noteRecord(t)
				if t.heldFor != "" {
					c.held[t.heldFor] = append(c.held[t.heldFor], t)
				}
			}
		}
	}
	for _, o := range j.occurrences {
		if o.stepsLeft == 0 && j.progress.State < workload.Completed {
			c.checkComplete(j)
			return
		}
	}
}

// checkRecovery ends the recovery once all workers that an earlier owner may have
// used have answered, or their leases have expired.
func (c *Cell) checkRecovery() {
	if c.recovered {
		return
	}
	if c.now.Steady < c.recoverBy {
		if c.rosterUnreadable {
			return // a worker that is not known may run held tasks
		}
		for _, w := range c.sortedWorkers {
			if (w.inherited || w.onRoster) && (!w.synced || w.resultsLeft) {
				return
			}
		}
	}
	c.recovered = true
	for _, worker := range slices.Sorted(maps.Keys(c.held)) {
		if w := c.workers[worker]; w == nil || !w.resultsLeft {
			c.releaseHeld(worker, releasedByRecovery)
		}
	}
	c.logInfo("recovery complete", slog.Uint64("token", c.token), slog.Int("workers", len(c.workers)))
}

// releaseHeld allows tasks that are held for a worker to start. It is called once the
// worker has reported its runs or certainly runs nothing any more.
func (c *Cell) releaseHeld(worker, why string) {
	tasks := c.held[worker]
	if len(tasks) == 0 {
		return
	}
	c.logReleased(worker, why, len(tasks))
	delete(c.held, worker)
	for _, t := range tasks {
		if t.heldFor == worker {
			t.heldFor = ""
			c.enqueue(t.step)
		}
	}
}

// heldResources returns the resources that each team's held tasks may use on workers
// that have not answered yet.
func (c *Cell) heldResources() map[string]resource.Vector {
	if len(c.held) == 0 {
		return nil
	}
	use := map[string]resource.Vector{}
	for _, tasks := range c.held {
		for _, t := range tasks {
			if t.heldFor != "" {
				team := t.step.job.team()
				use[team] = use[team].Add(t.step.spec.Need)
			}
		}
	}
	return use
}

// depose ends the claim. Waiting callers are referred to the next owner, which knows
// from the store what was accepted.
func (c *Cell) depose(reason string) {
	if !c.owner {
		return
	}
	c.logInfo("cell lost", slog.Uint64("token", c.token), slog.String("reason", reason))
	var replies []uint64
	for _, j := range c.jobs {
		replies = append(append(replies, j.acceptReplies...), j.cancelReplies...)
	}
	if p := c.commits.inFlight; p != nil {
		for _, write := range p.parts {
			replies = append(append(replies, write.accepts...), write.cancels...)
		}
	}
	slices.Sort(replies)
	for _, reply := range replies {
		c.emit(Answer{Reply: reply, Verdict: Lost})
	}
	c.reset()
}
