// Package runtimes keeps the distribution of the run times of tasks relative to their
// estimates. It answers the load pattern of a heavy tail: few tasks take many times as
// long as the others, and a gang takes as long as its slowest member, so that a mean
// describes neither.
//
// # Usage
//
//	var d runtimes.Distribution
//	d.Add(1.3)
//	ratio, known := d.Quantile(0.9)
package runtimes

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minRuns is how many runs must be known before the distribution is.
	minRuns = 40
	// windows and runsPerWindow determine how many of the last runs count: between
	// windows-1 and windows times runsPerWindow.
	windows       = 4
	runsPerWindow = 500
	// refreshInterval is after how many runs the merged histogram is computed anew.
	refreshInterval = 10
	// unit is the resolution of a ratio. Ratios outside of [unit, maxRatio] are bounded.
	unit       = 0.001
	maxRatio   = 100
	sigFigures = 2
	// A tail is heavy if the run times at tailQuantile are more than heavyFactor times
	// the median. Uniform errors of estimates by a factor of 1.9 stay below that.
	tailQuantile = 0.98
	heavyFactor  = 3
	// maxSample is the maximum size of a sample. It is enough to show a heavy tail.
	maxSample = 64
)

// Distribution is a decaying distribution of ratios of actual to estimated run times on
// a worker of the usual speed. The zero value is empty.
type Distribution struct {
	recent *hdrhistogram.WindowedHistogram
	merged *hdrhistogram.Histogram
	added  int // runs since the first
	// The following are computed with merged.
	mean, spread float64
	heavy        bool
	quantiles    map[float64]float64 // those that have been read
}

// Add adds the ratio of a run that has ended.
func (d *Distribution) Add(ratio float64) {
	d.record(ratio)
	if d.added <= minRuns || d.added%refreshInterval == 0 {
		d.refresh()
	}
}

func (d *Distribution) record(ratio float64) {
	if d.recent == nil {
		d.recent = hdrhistogram.NewWindowed(windows, 1, maxRatio/unit, sigFigures)
	}
	if d.added > 0 && d.added%runsPerWindow == 0 {
		d.recent.Rotate()
	}
	d.added++
	// The value is within the range of the histogram, so there is no error.
	_ = d.recent.Current.RecordValue(int64(math.Round(min(maxRatio, max(unit, ratio)) / unit)))
}

// refresh merges the windows and computes what is read often.
func (d *Distribution) refresh() {
	d.merged = d.recent.Merge()
	d.quantiles = map[float64]float64{}
	d.mean = d.merged.Mean() * unit
	low, median, high := d.quantile(0.16), d.quantile(0.5), d.quantile(0.84)
	d.spread = math.Log(high/low) / 2
	d.heavy = d.Known() && d.quantile(tailQuantile) > heavyFactor*median
}

func (d *Distribution) quantile(q float64) float64 {
	ratio, known := d.quantiles[q]
	if !known {
		ratio = float64(d.merged.ValueAtQuantile(100*q)) * unit
		d.quantiles[q] = ratio
	}
	return ratio
}

// Known reports whether enough runs are known.
func (d *Distribution) Known() bool { return d.added >= minRuns }

// Mean returns the mean ratio. It reports false if no run is known.
func (d *Distribution) Mean() (ratio float64, known bool) { return d.mean, d.added > 0 }

// Quantile returns the ratio that a share q of the runs does not exceed. It reports false
// if too few runs are known.
func (d *Distribution) Quantile(q float64) (ratio float64, known bool) {
	if !d.Known() {
		return 1, false
	}
	return d.quantile(q), true
}

// Spread returns the standard deviation of the logarithm of the ratio, without its tails.
// It reports false if too few runs are known.
func (d *Distribution) Spread() (sigma float64, known bool) { return d.spread, d.Known() }

// HeavyTail reports whether a few runs take several times as long as the median.
func (d *Distribution) HeavyTail() bool { return d.heavy }

// Beyond returns the median ratio of the runs that exceed the given one: how long a run
// of that age takes in all. It reports false if too few such runs are known.
func (d *Distribution) Beyond(ratio float64) (total float64, known bool) {
	if !d.Known() {
		return ratio, false
	}
	below, count := int64(0), d.merged.TotalCount()
	limit := int64(ratio / unit)
	for _, bar := range d.merged.Distribution() {
		if bar.To > limit {
			break
		}
		below += bar.Count
	}
	if below == count {
		return ratio, false
	}
	return max(ratio, float64(d.merged.ValueAtQuantile(50*(float64(below)/float64(count)+1)))*unit), true
}

// Sample returns ratios that are spread like those of the last runs, at most one a run.
func (d *Distribution) Sample() []float64 {
	n := min(maxSample, d.added)
	if n == 0 {
		return nil
	}
	percentiles := make([]float64, n)
	for i := range percentiles {
		percentiles[i] = 100 * (float64(i) + 0.5) / float64(n)
	}
	values := d.merged.ValueAtPercentilesSlice(percentiles)
	sample := make([]float64, n)
	for i, v := range values {
		sample[i] = float64(v) * unit
	}
	return sample
}

// Restore replaces the distribution by a sample of another one. As a sample is smaller
// than what it was taken of, later runs soon outweigh it.
func (d *Distribution) Restore(sample []float64) {
	*d = Distribution{}
	for _, ratio := range sample {
		d.record(ratio)
	}
	if d.added > 0 {
		d.refresh()
	}
}
