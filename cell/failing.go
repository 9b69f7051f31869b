package cell

import "time"

// This file decides when a worker counts as failing and how it is tried again.

const (
	// maxPollRetryDelay is the maximum pause between two polls of a failing worker without
	// runs. The dead workers of a large fleet would else take most of the calls.
	maxPollRetryDelay = time.Second
	// retryShare is the pause between two such polls as a share of the worker's silence.
	retryShare = 0.125
)

// refused records that no connection to the worker could be made. What was sent before may
// still be answered, by a worker that has ended since, so it gets nothing new until it
// answers a call sent later.
func (w *worker) refused(at Instant) {
	w.failing, w.refusedAt = true, max(w.refusedAt, at)
}

// answered records the answer to a call sent at the given time, 0 if unknown.
func (w *worker) answered(sent, received Instant) {
	w.answeredAt = max(w.answeredAt, received)
	if w.refusedAt == 0 || sent > w.refusedAt {
		w.failing, w.refusedAt = false, 0
	}
}

// probeDue reports whether the worker is polled beside the poll in flight, which may be held
// open: by a worker that refused only one connection, or that a start did not reach.
func (w *worker) probeDue() bool {
	return w.refusedAt > 0 && w.polledAt <= w.refusedAt || w.unansweredAt > 0 && w.polledAt <= w.unansweredAt
}

// retryInterval returns the pause between two polls of a failing worker. One with runs is
// polled often, because its leases run out.
func (c *Cell) retryInterval(w *worker) time.Duration {
	if len(w.runs) > 0 || !c.recovered {
		return pollRetryDelay
	}
	silence := c.now.Steady - w.answeredAt
	return min(maxPollRetryDelay, max(pollRetryDelay, time.Duration(retryShare*float64(silence))))
}
