// Package speed estimates the speeds of workers from the run times of their tasks. It
// answers the load pattern of an uneven fleet: some workers are several times as fast as
// others, the estimates of run times are off by job, and a few tasks take many times as
// long as the others whatever their worker.
//
// # Usage
//
//	var e speed.Estimate
//	e.Add(expected.Seconds()/actual.Seconds(), 0.15, 1, false)
//	factor, known := e.Value()
package speed

import "math"

const (
	// priorSigma is the standard deviation of the logarithm of a worker's speed before
	// any run on it is known.
	priorSigma = 0.5
	// knownSigma is the standard deviation from which on a speed is known.
	knownSigma = 0.2
	// minSigma bounds the certainty.
	minSigma = 0.05
	// maxDeviation bounds, in standard deviations, how far a sample counts.
	maxDeviation = 2
	// maxRuns is how many runs an estimate is averaged over at most, so that it follows a
	// worker that changes.
	maxRuns = 12
	// maxOutliers is how many runs may lie beyond maxDeviation on one side before the speed
	// counts as changed, unless a run on the other side comes between.
	maxOutliers = 3
	// minSpread bounds the spread of samples.
	minSpread = 0.05
)

// Estimate is the estimated speed of a worker, relative to the usual one. The zero value
// is an unknown speed.
type Estimate struct {
	log       float64 // logarithm of the speed
	factor    float64 // the speed
	precision float64 // inverse variance of log that the samples add
	outliers  float64 // runs beyond maxDeviation: positive if faster, negative if slower
}

// Add adds a sample, the ratio of the expected run time on a usual worker to the actual
// one. The spread is the standard deviation of the logarithm of such ratios on one worker,
// share is the share of a run that the sample covers, and again is whether the run gave an
// earlier one: a long run is no sign of a slow worker, several are.
func (e *Estimate) Add(ratio, spread, share float64, again bool) {
	if ratio <= 0 || share <= 0 {
		return
	}
	const prior = 1 / (priorSigma * priorSigma)
	spread = max(spread, minSpread)
	share = min(share, 1)
	weight := share / (spread * spread)
	deviation := math.Log(ratio) - e.log
	limit := maxDeviation * math.Sqrt(1/(prior+e.precision)+1/weight)
	counts := 1.0
	if again {
		counts = 0
	}
	switch {
	case deviation > limit:
		e.outliers = max(e.outliers, 0) + counts
		deviation = limit
	case deviation < -limit:
		e.outliers = min(e.outliers, 0) - counts
		deviation = -limit
	case deviation*e.outliers < 0:
		e.outliers = 0
	}
	if math.Abs(e.outliers) >= maxOutliers {
		e.precision, e.outliers = 0, 0
		deviation = math.Log(ratio) - e.log
	}
	e.precision = min(e.precision+weight, 1/(minSigma*minSigma)-prior)
	e.log += deviation * max(weight/(prior+e.precision), share/maxRuns)
	e.factor = math.Exp(e.log)
}

// Restore sets the speed that an earlier owner knew. It counts as just known, so that the
// next runs correct it soon.
func (e *Estimate) Restore(factor float64) {
	if factor > 0 {
		*e = Estimate{log: math.Log(factor), factor: factor, precision: 1 / (knownSigma * knownSigma)}
	}
}

// Value returns the speed. It reports false, with a speed of 1, while that is not known.
func (e *Estimate) Value() (factor float64, known bool) {
	if e.precision < 1/(knownSigma*knownSigma) {
		return 1, false
	}
	return e.factor, true
}
