// Package meter measures latencies as histograms that expvar can publish.
//
// # Usage
//
//	var accept meter.Latency
//	accept.Observe(time.Since(began))
//	expvar.Publish("acceptLatency", &accept)
package meter

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxMicros is the longest latency that is told apart: ten minutes.
	maxMicros = int64(10 * time.Minute / time.Microsecond)
	// digits is the precision, in significant decimal digits.
	digits = 2
)

// Latency is a histogram of durations. The zero value is empty. It may be used
// by several goroutines.
type Latency struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// Observe adds one duration. Negative ones count as zero, longer ones as ten
// minutes.
func (l *Latency) Observe(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.h == nil {
		l.h = hdrhistogram.New(1, maxMicros, digits)
	}
	// The value is within the histogram's range, the only reason to fail.
	_ = l.h.RecordValue(min(max(0, d.Microseconds()), maxMicros))
}

// Summary is what a Latency has seen, in microseconds.
type Summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50Micros"`
	P95   int64 `json:"p95Micros"`
	P99   int64 `json:"p99Micros"`
	Max   int64 `json:"maxMicros"`
}

// Summary returns the present summary.
func (l *Latency) Summary() Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.h == nil {
		return Summary{}
	}
	return Summary{
		Count: l.h.TotalCount(), P50: l.h.ValueAtQuantile(50), P95: l.h.ValueAtQuantile(95),
		P99: l.h.ValueAtQuantile(99), Max: l.h.Max(),
	}
}

// String implements expvar.Var.
func (l *Latency) String() string {
	data, err := json.Marshal(l.Summary())
	if err != nil {
		return "null" // a struct of numbers always has an encoding
	}
	return string(data)
}
