package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cowslipgap/cowslipgap/refusal"
)

const (
	// repeatsKept is for how long the answer to a request with a request id is
	// kept for repeats at the same entry host.
	repeatsKept = 10 * time.Minute
	maxRepeats  = 100_000
)

type repeatKey struct{ team, requestID string }

// repeats makes a request with the same request id the same request.
type repeats struct {
	mu      sync.Mutex
	entries map[repeatKey]*repeat
	order   []repeatKey // oldest first
}

type repeat struct {
	hash    string
	done    chan struct{}
	at      time.Time
	answer  answerBody
	refused *refusal.Refusal
}

// do calls f, or waits for the call under the same key that came first. Work
// that did not run is forgotten, so that it can be sent again.
func (p *repeats) do(ctx context.Context, key repeatKey, hash string, f func() (answerBody, *refusal.Refusal)) (answerBody, *refusal.Refusal) {
	if key.requestID == "" {
		return f()
	}
	e, first := p.enter(key, hash)
	if e.hash != hash {
		return answerBody{}, refusal.New(refusal.RequestIDReused, "the request id has been used with another body")
	}
	if !first {
		select {
		case <-e.done:
			return e.answer, e.refused
		case <-ctx.Done():
			return answerBody{}, refusal.New(refusal.OutcomeLost, "the first request with this id has no answer yet")
		}
	}
	e.answer, e.refused = f()
	close(e.done)
	if e.refused != nil && e.refused.Ran == refusal.NotRun {
		p.forget(key, e)
	}
	return e.answer, e.refused
}

// enter returns the entry under key, and whether the caller is the first.
func (p *repeats) enter(key repeatKey, hash string) (*repeat, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trim()
	if e := p.entries[key]; e != nil {
		return e, false
	}
	if p.entries == nil {
		p.entries = map[repeatKey]*repeat{}
	}
	e := &repeat{hash: hash, done: make(chan struct{}), at: time.Now()}
	p.entries[key] = e
	p.order = append(p.order, key)
	return e, true
}

// trim drops what is old or too much.
func (p *repeats) trim() {
	for len(p.order) > 0 {
		e := p.entries[p.order[0]]
		if e != nil && time.Since(e.at) < repeatsKept && len(p.order) < maxRepeats {
			return
		}
		delete(p.entries, p.order[0])
		p.order = p.order[1:]
	}
}

func (p *repeats) forget(key repeatKey, e *repeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.entries[key] == e {
		delete(p.entries, key)
	}
}
