package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cowslipgap/cowslipgap/refusal"
)

const (
	// dedupRetention is how long the answer to a request with a request ID is
	// kept for repeated requests to the same entry host.
	dedupRetention  = 10 * time.Minute
	maxDedupEntries = 100_000
)

// dedupKey identifies a request for deduplication.
type dedupKey struct{ team, requestID string }

// deduplicator runs the requests of a team with the same request ID only once.
type deduplicator struct {
	mu      sync.Mutex
	entries map[dedupKey]*dedupEntry
	order   []dedupKey // oldest first
}

// dedupEntry is the first request with a key. Its answer is set once done is
// closed.
type dedupEntry struct {
	hash    string // of the body
	done    chan struct{}
	created time.Time
	answer  answerBody
	refused *refusal.Refusal
}

// do calls f, or waits for an earlier call with the same key and returns its
// answer. A request that did not run is not kept, so that it can be sent again.
func (d *deduplicator) do(ctx context.Context, key dedupKey, hash string, f func() (answerBody, *refusal.Refusal)) (answerBody, *refusal.Refusal) {
	if key.requestID == "" {
		return f()
	}
	e, first := d.getOrCreate(key, hash)
	if e.hash != hash {
		return answerBody{}, refusal.New(refusal.RequestIDReused, "the request id has been used with another body")
	}
	if !first {
		select {
		case <-e.done:
			return e.answer, e.refused
		case <-ctx.Done():
			return answerBody{}, refusal.New(refusal.OutcomeLost, "the first request with this id has not been answered yet")
		}
	}
	e.answer, e.refused = f()
	close(e.done)
	if e.refused != nil && e.refused.Ran == refusal.NotRun {
		d.remove(key, e)
	}
	return e.answer, e.refused
}

// getOrCreate returns the entry for key, and whether it is new.
func (d *deduplicator) getOrCreate(key dedupKey, hash string) (*dedupEntry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evict()
	if e := d.entries[key]; e != nil {
		return e, false
	}
	if d.entries == nil {
		d.entries = map[dedupKey]*dedupEntry{}
	}
	e := &dedupEntry{hash: hash, done: make(chan struct{}), created: time.Now()}
	d.entries[key] = e
	d.order = append(d.order, key)
	return e, true
}

// evict removes entries that are older than dedupRetention, and the oldest ones
// if there are too many.
func (d *deduplicator) evict() {
	for len(d.order) > 0 {
		e := d.entries[d.order[0]]
		if e != nil && time.Since(e.created) < dedupRetention && len(d.order) < maxDedupEntries {
			return
		}
		delete(d.entries, d.order[0])
		d.order = d.order[1:]
	}
}

// remove removes e, unless another entry has replaced it.
func (d *deduplicator) remove(key dedupKey, e *dedupEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.entries[key] == e {
		delete(d.entries, key)
	}
}
