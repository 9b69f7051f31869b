package cell

import (
	"log/slog"
	"time"
)

const (
	// adviceMemory is how many calls for advice the share of eligible workers is
	// averaged over.
	adviceMemory = 32
	// minEligible keeps a run of refusals from making a step name everyone.
	minEligible = 0.05
	// runMemory is how many runs the ratio to the estimate is averaged over.
	runMemory = 200
	// maxRatio bounds the ratio of one run.
	maxRatio = 8
	// speedMemory is how many observations a worker's speed is averaged over: a
	// few seconds of lookups.
	speedMemory = 12
	// maxSpeed bounds one observation.
	maxSpeed = 3
	// speedGap is the least time between two reports that tell a speed: progress
	// is told in whole percents.
	speedGap = 150 * time.Millisecond
)

// lesson is what is learned of a queue's jobs.
type lesson struct {
	eligible float64 // share of workers that may run a step
	samples  int
	ratio    float64 // of the time that runs take to their estimate; 0: not known
	runs     int
}

// lesson returns what is learned of a queue.
func (c *Cell) lesson(queue string) *lesson {
	l := c.learned[queue]
	if l == nil {
		l = &lesson{eligible: firstEligible}
		c.learned[queue] = l
	}
	return l
}

// actual returns how long what is estimated takes on average.
func (l *lesson) actual(estimate time.Duration) time.Duration {
	if l.ratio == 0 {
		return estimate
	}
	return time.Duration(float64(estimate) * l.ratio)
}

// learnEligible averages the share of eligible workers.
func (c *Cell) learnEligible(queue string, good, asked int) {
	if asked == 0 {
		return
	}
	l := c.lesson(queue)
	l.samples = min(l.samples+1, adviceMemory)
	l.eligible += (float64(good)/float64(asked) - l.eligible) / float64(l.samples)
	l.eligible = max(l.eligible, minEligible)
}

// learn takes what a run's end teaches.
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

// learnSpeed takes what a run's progress, from one report to the next, tells of
// its worker. Estimates are rough, so one observation says little.
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

// pace returns the worker's speed against the usual one, 1 if it is not known.
func (w *worker) pace() float64 {
	if w.observed < speedMemory/2 {
		return 1
	}
	return w.speed
}
