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
	}
}
