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

// Distribution is a decaying distribution of ratios of actual to estimated run times on
// a worker of the usual speed. The zero value is empty.
type Distribution struct {
	ratios []float64
}

// Add adds the ratio of a run that has ended.
func (d *Distribution) Add(ratio float64) { d.ratios = append(d.ratios, ratio) }

// Quantile returns the ratio that a share q of the runs does not exceed. It reports false
// if too few runs are known.
func (d *Distribution) Quantile(q float64) (ratio float64, known bool) { return 1, q < 0 }
