package placement

import (
	"time"

	"github.com/cowslipgap/cowslipgap/storage"
)

const (
	// failuresToQuarantine is how many tasks in a row, of at least two jobs,
	// must fail on a worker.
	failuresToQuarantine = 4
	firstQuarantine      = 10 * time.Second
	longestQuarantine    = 5 * time.Minute
	// maxQuarantinedFraction bounds the workers in quarantine to a fifth.
	maxQuarantinedFraction = 5
	// healthyFailureRate is the failure rate of the fleet below which a worker's
	// failures are blamed on the worker and not on the tasks.
	healthyFailureRate = 0.5
	failureRateWeight  = 0.02
)

// failureRecord is a worker's recent failures.
type failureRecord struct {
	inRow   int
	source  string // of the first failure in the row
	mixed   bool   // failures of more than one source
	until   time.Time
	length  time.Duration
	probing bool // out of quarantine, one task at a time
}

func (f *failureRecord) quarantined(now time.Time) bool { return now.Before(f.until) }

// failureRate is the decayed failure rate of all workers.
type failureRate struct{ rate float64 }

func (f *failureRate) add(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	f.rate += failureRateWeight * (sample - f.rate)
}

// judge updates a worker's record with an outcome and quarantines it where it
// fails what other workers do not.
func (c *Core) judge(n *node, e *entry, outcome storage.Outcome) {
	failed := outcome.End == storage.EndFailed
	if outcome.End != storage.EndDone && !failed {
		return
	}
	r := &n.record
	if !failed {
		c.failures.add(false)
		*r = failureRecord{}
		return
	}
	if r.inRow < failuresToQuarantine {
		c.failures.add(true) // a broken worker must not hide behind its own failures
	}
	source := e.task.Team + "/" + e.task.Job
	if r.inRow == 0 {
		r.source = source
	}
	r.inRow++
	r.mixed = r.mixed || source != r.source
	if r.probing || r.inRow >= failuresToQuarantine && r.mixed && c.failures.rate < healthyFailureRate && c.mayQuarantine() {
		r.length = min(longestQuarantine, max(firstQuarantine, 2*r.length))
		r.until = c.now.Add(r.length)
		r.probing = true
	}
}

func (c *Core) mayQuarantine() bool {
	count := 0
	for _, n := range c.order {
		if n.record.quarantined(c.now) {
			count++
		}
	}
	return (count+1)*maxQuarantinedFraction <= max(len(c.order), maxQuarantinedFraction)
}
