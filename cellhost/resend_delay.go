package cellhost

import "time"

const (
	// minResendDelay is the shortest wait for the answer to a commit: the store takes
	// 4 ms, and a busy host adds some tens of milliseconds.
	minResendDelay = 60 * time.Millisecond
	// resendDelayFactor is the wait in multiples of the usual latency of a commit.
	resendDelayFactor = 8
	// latencyWeight is the weight of the newest commit in the usual latency.
	latencyWeight = 0.125
)

// resendDelay computes how long a commit waits for its answer before the write is
// sent again in parallel. The answer may be lost, and waiting delays every later
// commit. The zero value is ready to use.
type resendDelay struct {
	usualLatency time.Duration // smoothed latency of the answered commits
}

// initial returns the wait before the second write of a commit. Each later wait is
// twice as long, up to storeTimeout/maxParallelWrites, so that during an outage
// maxParallelWrites are in flight at even intervals.
func (d *resendDelay) initial() time.Duration {
	return min(max(resendDelayFactor*d.usualLatency, minResendDelay), storeTimeout)
}

// observe updates the usual latency with that of an answered commit.
func (d *resendDelay) observe(latency time.Duration) {
	d.usualLatency += time.Duration(latencyWeight * float64(latency-d.usualLatency))
}
