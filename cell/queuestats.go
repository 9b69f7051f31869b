package cell

import (
	"log/slog"
	"time"

	"github.com/cowslipgap/cowslipgap/runtimes"
)

const (
	// maxAdviceSamples is how many calls to the advice service the share of eligible
	// workers is averaged over.
	maxAdviceSamples = 32
	// minEligibleShare keeps a series of negative answers from making a step ask about
	// all workers.
	minEligibleShare = 0.05
	// maxDurationRatio bounds the ratio of a single run.
	maxDurationRatio = 8
	// cautiousQuantile is the share of runs that end within their cautious duration.
	cautiousQuantile = 0.9
)

// queueStats holds what is known of a queue's jobs.
type queueStats struct {
	eligibleShare float64 // share of workers that may run a step
	adviceSamples int
	runs          runtimes.Distribution // actual to estimated duration on a worker of speed 1
	peers         runtimes.Distribution // work of a task relative to the median of its step
}

// queueStats returns the statistics of a queue.
func (c *Cell) queueStats(queue string) *queueStats {
	stats := c.statsByQueue[queue]
	if stats == nil {
		stats = &queueStats{eligibleShare: initialEligibleShare}
		c.statsByQueue[queue] = stats
	}
	return stats
}

// expectedDuration returns the average duration of runs with the given estimate on a
// worker of speed 1. It suits sums over many runs, such as the work that waits.
func (q *queueStats) expectedDuration(estimate time.Duration) time.Duration {
	ratio, known := q.runs.Mean()
	if !known {
		return estimate
	}
	return time.Duration(float64(estimate) * ratio)
}

// typicalDuration returns the duration of a single job's path. With a heavy tail, that is
// the median: the objective of a job allows for its real work, so the slack of the usual
// job does not grow with the few that take many times as long.
func (q *queueStats) typicalDuration(estimate time.Duration) time.Duration {
	if !q.runs.HeavyTail() {
		return q.expectedDuration(estimate)
	}
	return q.quantileDuration(estimate, 0.5)
}

// quantileDuration returns the duration that a share of the runs with the given estimate
// does not exceed, or the average one if too few runs are known.
func (q *queueStats) quantileDuration(estimate time.Duration, share float64) time.Duration {
	ratio, known := q.runs.Quantile(share)
	if !known {
		return q.expectedDuration(estimate)
	}
	return time.Duration(float64(estimate) * ratio)
}

// remainingDuration returns how much longer a run of the given age, both on a worker of
// speed 1, is expected to take. With a heavy tail, a run that exceeds the usual duration
// is one of the long ones.
func (q *queueStats) remainingDuration(estimate, age time.Duration) time.Duration {
	expected := q.expectedDuration(estimate)
	if age > expected && q.runs.HeavyTail() && estimate > 0 {
		if total, known := q.runs.Beyond(float64(age) / float64(estimate)); known {
			return max(expected/8, time.Duration(float64(estimate)*total)-age)
		}
	}
	return max(expected/8, expected-age)
}

// recordEligible updates the average share of eligible workers with an answer about workers
// for which there was none yet. Those that are asked about again, for new tickets, are all
// eligible and say nothing of the others.
func (c *Cell) recordEligible(queue string, eligible, asked int) {
	if asked == 0 {
		return
	}
	stats := c.queueStats(queue)
	stats.adviceSamples = min(stats.adviceSamples+1, maxAdviceSamples)
	stats.eligibleShare += (float64(eligible)/float64(asked) - stats.eligibleShare) / float64(stats.adviceSamples)
	stats.eligibleShare = max(stats.eligibleShare, minEligibleShare)
}

// recordResult updates what is known of the queue and the worker with the result of a run.
func (c *Cell) recordResult(r *run, outcome RunOutcome) {
	s := r.task.step
	switch {
	case outcome == GangTimedOut:
		c.logInfo("gang incomplete", slog.String("task", r.task.name), slog.Uint64("run", r.number))
	case s.spec.Gang && s.done:
		// The first of its members to be reported has counted for all.
	case outcome == Done && r.confirmedAt > 0 && s.spec.Estimate > 0 && s.job.spec != nil && r.number == 1:
		ratio := float64(c.now.Steady-r.confirmedAt) / float64(s.spec.Estimate) * r.speed()
		c.queueStats(s.queue.Name).runs.Add(min(maxDurationRatio, ratio))
		switch {
		case s.spec.Gang || r.adopted && r.sampledAt == 0: // unknown since when it runs
		case len(s.tasks) >= minPeers:
			c.addPeer(r)
		default:
			c.addSpeedSample(r, 100, c.now.Steady)
		}
	}
}
