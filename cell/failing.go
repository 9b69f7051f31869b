package cell

import "time"

// This file decides how a worker that does not answer is tried again.

const (
	// maxPollRetryDelay is the maximum pause between two polls of a failing worker without
	// runs. The dead workers of a large fleet would else take most of the calls.
	maxPollRetryDelay = time.Second
	// retryShare is the pause between two such polls as a share of the worker's silence.
	retryShare = 0.125
)

// retryInterval returns the pause between two polls of a failing worker. One with runs is
// polled often, because its leases run out.
func (c *Cell) retryInterval(w *worker) time.Duration {
	if len(w.runs) > 0 || !c.recovered {
		return pollRetryDelay
	}
	silence := c.now.Steady - w.answeredAt
	return min(maxPollRetryDelay, max(pollRetryDelay, time.Duration(retryShare*float64(silence))))
}
