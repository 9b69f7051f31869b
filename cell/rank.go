package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/cowslipgap/cowslipgap/workload"
)

// lateFactor is the multiple of its objective after which the result of a job is
// worthless to its caller.
const lateFactor = 3

// setObjective computes when a job should be complete and when each of its steps
// must start at the latest.
func (c *Cell) setObjective(j *job) {
	chain := longestChain(j.Job)
	j.objective = j.receivedAt + time.Duration(j.Queue.Slack*float64(chain)) + j.Queue.Target
	tails := stepTails(j.Job)
	for _, o := range j.occurrences {
		base := j.objective
		if !o.due.IsZero() {
			base += max(0, o.due.Sub(c.now.Wall))
		}
		for n, s := range o.steps {
			s.latestStart = base - tails[n]
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

// longestChain returns the duration of the job's longest dependency chain: the time
// that the job takes if no task has to wait.
func longestChain(j *workload.Job) time.Duration {
	chain := time.Duration(0)
	for _, tail := range stepTails(j) {
		chain = max(chain, tail)
	}
	return chain
}

// Rank offsets put groups of steps behind others. The queue's priority orders steps
// within a group, so the offsets exceed the range of priorities.
const (
	rankLate       = 100  // the job can no longer meet its objective
	rankBeyondRate = 200  // the team exceeded its rate
	rankWorthless  = 1000 // the job is too late to be of use to its caller
)

// rank returns a step's rank; steps with lower ranks are placed first. On an
// overloaded fleet, urgent queues come before patient ones, and steps that can
// still be in time before those that cannot, so that one burst does not make all
// later jobs late as well.
func (c *Cell) rank(s *step) int {
	j := s.job
	switch {
	case c.now.Steady > j.receivedAt+lateFactor*(j.objective-j.receivedAt):
		return rankWorthless + j.Queue.Priority
	case j.beyondRate:
		return rankBeyondRate + j.Queue.Priority
	case c.now.Steady > s.latestStart:
		return rankLate + j.Queue.Priority
	default:
		return j.Queue.Priority
	}
}

// sortWaiting removes the steps that no longer wait and sorts the others.
func (c *Cell) sortWaiting() {
	kept := c.waiting[:0]
	for _, s := range c.waiting {
		if s.done || s.job.Job == nil || s.job.progress.State.Final() || s.unstartedTasks() == 0 && s.tasksWithRuns > 0 {
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
}

// queueReadySteps queues the steps whose dependencies are done and whose due time
// has passed.
func (c *Cell) queueReadySteps() {
	kept := c.pendingJobs[:0]
	for _, j := range c.pendingJobs {
		if j.Job == nil || j.progress.State.Final() {
			continue
		}
		moreDue := false
		for _, o := range j.occurrences {
			for _, s := range o.readySteps(c.now.Wall) {
				s.ready = true
				c.enqueue(s)
			}
			moreDue = moreDue || !o.due.IsZero() && o.due.After(c.now.Wall)
		}
		if moreDue {
			kept = append(kept, j)
		}
	}
	clear(c.pendingJobs[len(kept):])
	c.pendingJobs = kept
}
