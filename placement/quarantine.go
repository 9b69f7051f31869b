package placement

import (
	"time"

	"github.com/cowslipgap/cowslipgap/storage"
)

const (
	// failuresToQuarantine is the number of consecutive failed tasks, from at
	// least two jobs, after which a worker is quarantined.
	failuresToQuarantine = 4
	// A quarantine lasts firstQuarantine at first, and twice as long each further
	// time up to longestQuarantine.
	firstQuarantine   = 10 * time.Second
	longestQuarantine = 5 * time.Minute
	// quarantineDivisor limits quarantine to one in five workers. One worker
	// may be quarantined however few there are.
	quarantineDivisor = 5
	// healthyFailureRate is the failure rate of all workers below which a
	// worker's failures are attributed to the worker and not to its tasks.
	healthyFailureRate = 0.5
	// failureRateWeight is the weight of one outcome in the moving average of the
	// failure rate.
	failureRateWeight = 0.02
)

// failureRecord counts a worker's consecutive failures and holds its quarantine.
type failureRecord struct {
	consecutive      int
	firstSource      string        // team and job of the first failure; requests have no job
	severalSources   bool          // the failures are of more than one source
	quarantineEnd    time.Time     // end of the quarantine
	quarantineLength time.Duration // of the last quarantine
	onProbation      bool          // from the first quarantine until a task succeeds: takes one task at a time
}

func (f *failureRecord) quarantined(now time.Time) bool { return now.Before(f.quarantineEnd) }

// failureRate is the exponentially weighted failure rate of all workers.
type failureRate struct{ rate float64 }

func (f *failureRate) add(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	f.rate += failureRateWeight * (sample - f.rate)
}

// recordOutcome updates a worker's failure record. It quarantines a worker whose
// tasks fail while those of other workers do not, and a worker on probation
// after each failure.
func (c *Core) recordOutcome(w *worker, e *taskEntry, outcome storage.Outcome) {
	failed := outcome.End == storage.EndFailed
	if outcome.End != storage.EndDone && !failed {
		return
	}
	r := &w.failures
	if !failed {
		c.failures.add(false)
		*r = failureRecord{}
		return
	}
	if r.consecutive < failuresToQuarantine {
		// Further failures do not count, so that a broken worker does not raise
		// the rate above healthyFailureRate and escape quarantine.
		c.failures.add(true)
	}
	source := e.task.Team + "/" + e.task.Job
	if r.consecutive == 0 {
		r.firstSource = source
	}
	r.consecutive++
	r.severalSources = r.severalSources || source != r.firstSource
	if r.onProbation || r.consecutive >= failuresToQuarantine && r.severalSources && c.failures.rate < healthyFailureRate && c.mayQuarantine() {
		r.quarantineLength = min(longestQuarantine, max(firstQuarantine, 2*r.quarantineLength))
		r.quarantineEnd = c.now.Add(r.quarantineLength)
		r.onProbation = true
	}
}

// mayQuarantine reports whether one more worker may be quarantined.
func (c *Core) mayQuarantine() bool {
	count := 0
	for _, w := range c.workers {
		if w.failures.quarantined(c.now) {
			count++
		}
	}
	return (count+1)*quarantineDivisor <= max(len(c.workers), quarantineDivisor)
}
