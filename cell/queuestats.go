package cell

import (
	"log/slog"
	"time"
)

const (
	// maxAdviceSamples is how many calls to the advice service the share of eligible
	// workers is averaged over.
	maxAdviceSamples = 32
	// minEligibleShare keeps a series of negative answers from making a step ask about
	// all workers.
	minEligibleShare = 0.05
	// maxDurationSamples is how many runs the ratio of actual to estimated duration is
	// averaged over.
	maxDurationSamples = 200
	// maxDurationRatio bounds the ratio of a single run.
	maxDurationRatio = 8
	// maxSpeedSamples is how many samples a worker's speed is averaged over: a few
	// seconds of lookup jobs.
	maxSpeedSamples = 12
	// maxSpeed bounds a single speed sample.
	maxSpeed = 3
	// minSpeedInterval is the minimum time between two progress reports that give a
	// speed sample, because progress is reported in whole percents.
	minSpeedInterval = 150 * time.Millisecond
)

// queueStats holds the running averages of a queue's jobs.
type queueStats struct {
	eligibleShare   float64 // share of workers that may run a step
	adviceSamples   int
	durationRatio   float64 // actual to estimated duration of runs; 0: unknown
	durationSamples int
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

// expectedDuration returns the average duration of runs with the given estimate.
func (q *queueStats) expectedDuration(estimate time.Duration) time.Duration {
	if q.durationRatio == 0 {
		return estimate
	}
	return time.Duration(float64(estimate) * q.durationRatio)
}

// recordEligible updates the average share of eligible workers.
func (c *Cell) recordEligible(queue string, eligible, asked int) {
	if asked == 0 {
		return
	}
	stats := c.queueStats(queue)
	stats.adviceSamples = min(stats.adviceSamples+1, maxAdviceSamples)
	stats.eligibleShare += (float64(eligible)/float64(asked) - stats.eligibleShare) / float64(stats.adviceSamples)
	stats.eligibleShare = max(stats.eligibleShare, minEligibleShare)
}

// recordResult updates the averages of the queue and the worker with the result of a
// run.
func (c *Cell) recordResult(r *run, outcome RunOutcome) {
	s := r.task.step
	switch {
	case outcome == GangTimedOut:
		c.logInfo("gang incomplete", slog.String("task", r.task.name), slog.Uint64("run", r.number))
	case outcome == Done && r.confirmedAt > 0 && s.spec.Estimate > 0 && s.job.Job != nil && r.number == 1:
		stats := c.queueStats(s.job.Queue.Name)
		stats.durationSamples = min(stats.durationSamples+1, maxDurationSamples)
		ratio := min(maxDurationRatio, float64(c.now.Steady-r.confirmedAt)/float64(s.spec.Estimate))
		stats.durationRatio += (ratio - stats.durationRatio) / float64(stats.durationSamples)
		if stats.durationSamples == maxDurationSamples && !r.w.cold(c.now.Steady) {
			duration := stats.expectedDuration(s.spec.Estimate)
			r.w.addSpeedSample(min(maxSpeed, float64(duration)/float64(max(1, c.now.Steady-r.confirmedAt))))
		}
	}
}

// recordProgressSpeed takes a speed sample of a run's worker from the progress
// between two reports. Estimates are rough, so a single sample means little.
func (c *Cell) recordProgressSpeed(r *run, percent int, at Instant) {
	s := r.task.step
	passed := at - r.progressAt
	if passed < minSpeedInterval || percent <= r.percent || s.spec.LongRunning || s.spec.UsesIdleCPU || s.job.Job == nil || r.w.cold(c.now.Steady) {
		return
	}
	duration := c.queueStats(s.job.Queue.Name).expectedDuration(s.spec.Estimate)
	speed := float64(percent-r.percent) / 100 * float64(duration) / float64(passed)
	r.w.addSpeedSample(min(speed, maxSpeed))
}

func (w *worker) addSpeedSample(speed float64) {
	w.speedSamples = min(w.speedSamples+1, maxSpeedSamples)
	w.speed += (speed - w.speed) / float64(w.speedSamples)
}

// relativeSpeed returns the worker's speed relative to the usual one, 1 if it is
// unknown.
func (w *worker) relativeSpeed() float64 {
	if w.speedSamples < maxSpeedSamples/2 {
		return 1
	}
	return w.speed
}
