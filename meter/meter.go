// Package meter records latencies in histograms that expvar can publish.
//
// # Usage
//
//	var accept meter.Latency
//	accept.Observe(time.Since(start))
//	expvar.Publish("acceptLatency", &accept)
package meter

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxMicros is the longest latency that the histogram distinguishes: ten minutes
	// in microseconds.
	maxMicros = int64(10 * time.Minute / time.Microsecond)
	// significantDigits is the precision of the histogram, in decimal digits.
	significantDigits = 2
)

// Latency is a histogram of durations. The zero value is empty and ready to use. It is
// safe for concurrent use.
type Latency struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// Observe adds one duration. Negative durations count as zero, and durations over ten
// minutes count as ten minutes.
func (l *Latency) Observe(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.histogram == nil {
		l.histogram = hdrhistogram.New(1, maxMicros, significantDigits)
	}
	// RecordValue fails only for a value outside the histogram's range, and the value is
	// clamped to it.
	_ = l.histogram.RecordValue(min(max(0, d.Microseconds()), maxMicros))
}

// Summary holds the count, percentiles and maximum of the observed durations, in
// microseconds.
type Summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50Micros"`
	P95   int64 `json:"p95Micros"`
	P99   int64 `json:"p99Micros"`
	Max   int64 `json:"maxMicros"`
}

// Summary returns a summary of the durations observed so far.
func (l *Latency) Summary() Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.histogram == nil {
		return Summary{}
	}
	return Summary{
		Count: l.histogram.TotalCount(), P50: l.histogram.ValueAtQuantile(50), P95: l.histogram.ValueAtQuantile(95),
		P99: l.histogram.ValueAtQuantile(99), Max: l.histogram.Max(),
	}
}

// String implements expvar.Var.
func (l *Latency) String() string {
	data, err := json.Marshal(l.Summary())
	if err != nil {
		return "null" // cannot happen: a struct of integers always has a JSON encoding
	}
	return string(data)
}
