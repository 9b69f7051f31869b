package cell

import (
	"log/slog"
	"time"
)

const (
	// maxAdviceSamples is how many calls to the advice service the share of eligible
	// workers is averaged over.
	adviceMemory = 32
	// minEligibleShare keeps a series of negative answers from making a step ask about
	// all workers.
	minEligible = 0.05
	// maxDurationSamples is how many runs the ratio of actual to estimated duration is
	// averaged over.
	runMemory = 200
	// maxDurationRatio bounds the ratio of a single run.
	maxRatio = 8
	// maxSpeedSamples is how many samples a worker's speed is averaged over: a few
	// seconds of lookup jobs.
	speedMemory = 12
	// maxSpeed bounds a single speed sample.
	maxSpeed = 3
	// minSpeedInterval is the minimum time between two progress reports that give a
	// speed sample, because progress is reported in whole percents.
	speedGap = 150 * time.Millisecond
)

// queueStats holds the running averages of a queue's jobs.
type lesson struct {
	eligible float64 // share of workers that may run a step
	samples  int
	ratio    float64 // actual to estimated duration of runs; 0: unknown
	runs     int
}

// queueStats returns the statistics of a queue.
func (c *Cell) lesson(queue string) *lesson {
	l := c.learned[queue]
	if l == nil {
		l = &lesson{eligible: firstEligible}
		c.learned[queue] = l
	}
	return l
}

// expectedDuration returns the average duration of runs with the given estimate.
func (l *lesson) actual(estimate time.Duration) time.Duration {
	if l.ratio == 0 {
		return estimate
	}
	return time.Duration(float64(estimate) * l.ratio)
}

// recordEligible updates the average share of eligible workers.
func (c *Cell) learnEligible(queue string, good, asked int) {
	if asked == 0 {
		return
	}
	l := c.lesson(queue)
	l.samples = min(l.samples+1, adviceMemory)
	l.eligible += (float64(good)/float64(asked) - l.eligible) / float64(l.samples)
	l.eligible = max(l.eligible, minEligible)
}

// recordResult updates the averages of the queue and the worker with the result of a
// run.
func (c *Cell) learn(r *run, how End) {
	s := r.task.step
	switch {
	case how == Alone:
		c.note("gang incomplete", slog.String("task", r.task.name), slog.Uint64("run", r.n))
	case how == Done && r.confirmed > 0 && s.spec.Estimate > 0 && s.job.Job != nil && r.n == 1:
		l := c.lesson(s.job.Queue.Name)
		l.runs = min(l.runs+1, runMemory)
		ratio := min(maxRatio, float64(c.now.Steady-r.confirmed)/float64(s.spec.Estimate))
		l.ratio += (ratio - l.ratio) / float64(l.runs)
		if l.runs == runMemory {
			length := l.actual(s.spec.Estimate)
			r.w.observeSpeed(min(maxSpeed, float64(length)/float64(max(1, c.now.Steady-r.confirmed))))
		}
	}
}

// recordProgressSpeed takes a speed sample of a run's worker from the progress
// between two reports. Estimates are rough, so a single sample means little.
func (c *Cell) learnSpeed(r *run, percent int, at Instant) {
	s := r.task.step
	passed := at - r.movedAt
	if passed < speedGap || percent <= r.percent || s.spec.LongRunning || s.spec.Fills || s.job.Job == nil {
		return
	}
	length := c.lesson(s.job.Queue.Name).actual(s.spec.Estimate)
	speed := float64(percent-r.percent) / 100 * float64(length) / float64(passed)
	r.w.observeSpeed(min(speed, maxSpeed))
}

func (w *worker) observeSpeed(speed float64) {
	w.observed = min(w.observed+1, speedMemory)
	w.speed += (speed - w.speed) / float64(w.observed)
}

// relativeSpeed returns the worker's speed relative to the usual one, 1 if it is
// unknown.
func (w *worker) pace() float64 {
	if w.observed < speedMemory/2 {
		return 1
	}
	return w.speed
}
