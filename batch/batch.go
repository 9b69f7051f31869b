// Package batch collects values and hands them on in batches. It answers the load
// pattern of many small messages to the same receiver: the first value goes out at
// once, and what arrives while it is under way, or shortly after, goes out together.
//
// # Usage
//
//	q := &batch.Queue[int]{Interval: 10 * time.Millisecond, Send: send}
//	q.Add(1)
package batch

import (
	"sync"
	"time"
)

// Queue hands values to Send in the order in which they were added. It calls Send from
// a goroutine of its own, which ends when the queue is empty.
type Queue[T any] struct {
	// Interval is the minimum time between the starts of two calls of Send.
	Interval time.Duration
	// Send handles one batch, which is not empty. Only one call is in progress at a time.
	Send func(values []T)

	mu      sync.Mutex
	values  []T
	running bool
}

// Add adds a value. It does not block.
func (q *Queue[T]) Add(value T) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.values = append(q.values, value)
	if !q.running {
		q.running = true
		go q.run()
	}
}

func (q *Queue[T]) run() {
	for {
		q.mu.Lock()
		values := q.values
		q.values = nil
		if len(values) == 0 {
			q.running = false
			q.mu.Unlock()
			return
		}
		q.mu.Unlock()
		next := time.Now().Add(q.Interval)
		q.Send(values)
		time.Sleep(time.Until(next))
	}
}
