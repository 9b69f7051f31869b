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
	// Size returns the size of a value. It is needed only with a MaxSize.
	Size func(value T) int
	// MaxSize is the maximum size of a batch of more than one value, in the unit of Size; 0:
	// any size.
	MaxSize int

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
		values := q.next()
		if len(values) == 0 {
			return
		}
		next := time.Now().Add(q.Interval)
		q.Send(values)
		time.Sleep(time.Until(next))
	}
}

// next takes the values of the next batch. If there are none, the queue ends.
func (q *Queue[T]) next() []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	n, size := len(q.values), 0
	for i := 0; q.MaxSize > 0 && i < n; i++ {
		if size += q.Size(q.values[i]); size > q.MaxSize && i > 0 {
			n = i
		}
	}
	values := q.values[:n:n]
	q.values = q.values[n:]
	if len(q.values) == 0 {
		q.values = nil
	}
	q.running = n > 0
	return values
}
