package cellhost

import "time"

const (
	// minResendDelay is the shortest wait before a commit is sent again. A write to the
	// store takes 4 ms, and a busy host adds some tens of milliseconds.
	minResendDelay = 60 * time.Millisecond
	// resendDelayFactor is the wait in multiples of the smoothed latency of a commit.
	resendDelayFactor = 8
	// latencyWeight is the weight of the newest commit in the smoothed latency.
	latencyWeight = 0.125
)

// resendDelay computes how long a commit waits for its answer before the write is
// sent again in parallel. The answer may be lost, and waiting delays every later
// commit. The zero value is ready to use.
type resendDelay struct {
	smoothedLatency time.Duration // exponentially weighted average over the answered commits
}

// initial returns the wait before the second write of a commit. Each later wait is
// twice the one before, but at most storeTimeout/maxParallelWrites. During an outage
// up to maxParallelWrites writes are then in flight, sent at even intervals.
func (d *resendDelay) initial() time.Duration {
	return min(max(resendDelayFactor*d.smoothedLatency, minResendDelay), storeTimeout)
}

// observe updates the smoothed latency with that of an answered commit.
func (d *resendDelay) observe(latency time.Duration) {
	d.smoothedLatency += time.Duration(latencyWeight * float64(latency-d.smoothedLatency))
}
