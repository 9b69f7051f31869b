package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/cowslipgap/cowslipgap/docket"
)

// lateFactor is how many times its objective a job may take and still be worth
// something to its caller.
const lateFactor = 3

// setObjective derives when a job should be complete and by when each of its
// steps must have begun.
func (c *Cell) setObjective(j *job) {
	chain := longestChain(j.Job)
	j.objective = j.received + time.Duration(j.Queue.Slack*float64(chain)) + j.Queue.Target
	tails := stepTails(j.Job)
	for _, o := range j.occurrences {
		base := j.objective
		if !o.due.IsZero() {
			base += max(0, o.due.Sub(c.now.Wall))
		}
		for n, s := range o.steps {
			s.latestAt = base - tails[n]
		}
	}
}

// stepTails returns, for each step, the time from its start to the end of the
// job if nothing waits.
func stepTails(j *docket.Job) []time.Duration {
	tails := make([]time.Duration, len(j.Steps))
	for n := len(j.Steps) - 1; n >= 0; n-- {
		tails[n] += j.Steps[n].Estimate
		for _, before := range j.Steps[n].After {
			tails[before] = max(tails[before], tails[n])
		}
	}
	return tails
}

// longestChain returns the time that the job takes if nothing waits.
func longestChain(j *docket.Job) time.Duration {
	chain := time.Duration(0)
	for _, tail := range stepTails(j) {
		chain = max(chain, tail)
	}
	return chain
}

// Ranks put whole groups of steps behind others. Within a group the queue's
// priority decides, so a group is wider than priorities are.
const (
	rankLate   = 100  // cannot be complete within its objective any more
	rankBeyond = 200  // of a team that sent more than it is owed
	rankVoid   = 1000 // too late to be worth anything to its caller
)

// rank orders steps. It answers a fleet that is offered more than it can do:
// lookups come before patient work, and what can still be in time comes before
// what cannot, so that one burst does not make all that follows late as well.
func (c *Cell) rank(s *step) int {
	j := s.job
	switch {
	case c.now.Steady > j.received+lateFactor*(j.objective-j.received):
		return rankVoid + j.Queue.Priority
	case j.beyondRate:
		return rankBeyond + j.Queue.Priority
	case c.now.Steady > s.latestAt:
		return rankLate + j.Queue.Priority
	default:
		return j.Queue.Priority
	}
}

// sortWaiting drops the steps that no longer wait and orders the others.
func (c *Cell) sortWaiting() {
	kept := c.waiting[:0]
	for _, s := range c.waiting {
		if s.done || s.job.Job == nil || s.job.progress.State.Final() || s.waiting() == 0 && s.active > 0 {
			s.queued = false
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
		return cmp.Compare(a.latestAt, b.latestAt)
	})
}

// openSteps makes steps ready whose predecessors are done and whose time has
// come.
func (c *Cell) openSteps() {
	kept := c.unopened[:0]
	for _, j := range c.unopened {
		if j.Job == nil || j.progress.State.Final() {
			continue
		}
		closed := false
		for _, o := range j.occurrences {
			for _, s := range o.open(c.now.Wall) {
				s.ready = true
				c.queue(s)
			}
			closed = closed || !o.due.IsZero() && o.due.After(c.now.Wall)
		}
		if closed {
			kept = append(kept, j)
		}
	}
	clear(c.unopened[len(kept):])
	c.unopened = kept
}
