package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/cowslipgap/cowslipgap/workload"
)

// worthlessFactor determines when the result of a job is worthless to its caller: when
// the time since its arrival exceeds this multiple of the time that its objective allows.
const worthlessFactor = 3

// setObjective computes when a job should be complete and when each of its steps
// must start at the latest.
func (c *Cell) setObjective(j *job) {
	j.path = criticalPath(j.spec)
	j.objective = j.receivedAt + time.Duration(j.spec.Queue.Slack*float64(j.path)) + j.spec.Queue.Target
	tails := stepTails(j.spec)
	for _, o := range j.occurrences {
		base := j.objective
		if !o.due.IsZero() {
			base += max(0, o.due.Sub(c.now.Wall))
		}
		for n, s := range o.steps {
			s.latestStart, s.tail = base-tails[n], tails[n]
		}
	}
}

// stepTails returns, for each step, the time from its start to the end of the job
// if no task has to wait.
func stepTails(j *workload.Job) []time.Duration {
	tails := make([]time.Duration, len(j.Steps))
	for n := len(j.Steps) - 1; n >= 0; n-- {
		tails[n] += j.Steps[n].Estimate
		for _, dependency := range j.Steps[n].DependsOn {
			tails[dependency] = max(tails[dependency], tails[n])
		}
	}
	return tails
}

// criticalPath returns the duration of the job's critical path, its longest dependency
// chain: the time that the job takes if no task has to wait.
func criticalPath(j *workload.Job) time.Duration {
	longest := time.Duration(0)
	for _, tail := range stepTails(j) {
		longest = max(longest, tail)
	}
	return longest
}

// A step's rank is the priority of its queue plus one of these offsets, if any. The
// offsets exceed the range of priorities, so that steps with a higher offset always
// come later and the priority orders steps with the same offset.
const (
	rankLate       = 100  // the job can no longer meet its objective
	rankBeyondRate = 200  // the team exceeded its rate
	rankWorthless  = 1000 // the job is too late to be of use to its caller
)

// rank returns a step's rank; steps with lower ranks are placed first. On an
// overloaded fleet, queues with a higher priority come first, and steps that can
// still meet their objective come before those that cannot, so that one burst does
// not make all later jobs late as well.
func (c *Cell) rank(s *step) int {
	j := s.job
	switch {
	case c.now.Steady > j.receivedAt+worthlessFactor*(j.objective-j.receivedAt):
		return rankWorthless + s.queue.Priority
	case j.beyondRate:
		return rankBeyondRate + s.queue.Priority
	case j.acceptedLate || !c.canBeInTime(s):
		return rankLate + s.queue.Priority
	default:
		return s.queue.Priority
	}
}

// canBeInTime reports whether the job can meet its objective if the step starts now. The
// objective allows for the real work, so where the runs of a queue take longer or shorter
// than estimated, it moves with them. Work that cannot be in time gives way, so that it
// does not make others late as well.
func (c *Cell) canBeInTime(s *step) bool {
	stats := c.queueStats(s.queue.Name)
	overrun := func(estimate time.Duration) time.Duration { return stats.expectedDuration(estimate) - estimate }
	return c.now.Steady <= s.latestStart+time.Duration(s.queue.Slack*float64(overrun(s.job.path)))-overrun(s.tail)
}

// sortWaiting removes the steps that no longer wait and sorts the others by rank, on a
// crowded fleet by their teams' shares, then by latest start.
func (c *Cell) sortWaiting() {
	kept := c.waiting[:0]
	for _, s := range c.waiting {
		if s.done || s.job.spec == nil || s.job.progress.State.Final() || s.unstartedTasks() == 0 && s.tasksWithRuns > 0 {
			s.waiting = false
			continue
		}
		s.rank = c.rank(s)
		kept = append(kept, s)
	}
	clear(c.waiting[len(kept):])
	c.waiting = kept
	slices.SortStableFunc(c.waiting, func(a, b *step) int {
		if d := cmp.Compare(a.rank, b.rank); d != 0 {
			return d
		}
		return cmp.Compare(a.latestStart, b.latestStart)
	})
	c.orderByShare(c.waiting)
}

// queueReadySteps queues the steps whose dependencies are done and whose occurrence is
// due to start. It removes jobs without later occurrences from pendingJobs.
func (c *Cell) queueReadySteps() {
	kept := c.pendingJobs[:0]
	for _, j := range c.pendingJobs {
		if j.spec == nil || j.progress.State.Final() {
			continue
		}
		notYetDue := false
		for _, o := range j.occurrences {
			for _, s := range o.readySteps(c.now.Wall) {
				s.ready, s.readyAt = true, c.now.Steady
				c.enqueue(s)
			}
			notYetDue = notYetDue || !o.due.IsZero() && o.due.After(c.now.Wall)
		}
		if notYetDue {
			kept = append(kept, j)
		}
	}
	clear(c.pendingJobs[len(kept):])
	c.pendingJobs = kept
}
