// Package budget bounds the bytes that a process holds for requests in progress, in sum.
// Each request has an [Account]. When the budget is used up, the request that has gone
// longest without receiving anything gives way to one that receives, so that clients who
// stop in the middle of their requests do not keep others out.
//
// # Usage
//
//	b := &budget.Budget{Limit: 32 << 20}
//	a := b.Open(func() { conn.Close() })
//	defer a.Close()
//	if !a.Resize(n) {
//		// refuse the request
//	}
package budget

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// smallBytes is the size up to which an account may use all of the budget. The larger
	// ones together get largeShare of it.
	smallBytes = 48 << 10
	largeShare = 0.75
)

// Budget is a number of bytes for all requests of a port or of several. The zero value
// has no limit.
type Budget struct {
	Limit int64 // bytes; 0: no limit
	// Evicted counts requests that gave way to others, Refused those for which there was
	// no room.
	Evicted, Refused atomic.Int64

	mu      sync.Mutex
	changed sync.Cond // an account was closed or evicted; uses mu
	small   pool
	large   pool // accounts larger than smallBytes
}

// pool is a class of accounts.
type pool struct {
	held      int64     // bytes of all accounts
	evictable int64     // bytes of the accounts that may be evicted
	evicted   int64     // bytes of the accounts that have been evicted and not closed yet
	accounts  list.List // those that may be evicted, the stalest first
}

// Used returns the bytes in use.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.small.held + b.large.held
}

// Open returns an empty account. If it is evicted, evict is called once, on another
// request's goroutine; it must not block. Close must be called soon after.
func (b *Budget) Open(evict func()) *Account { return &Account{budget: b, evict: evict} }

// Account is the part of a Budget that one request uses. Until Complete is called, the
// request counts as being received, and may be evicted.
type Account struct {
	budget   *Budget
	evict    func()
	held     int64
	element  *list.Element // in its pool; nil if it cannot be evicted
	touched  time.Time     // when the request last received something
	complete bool
	evicted  bool
	closed   bool
}

// Resize sets the bytes that the request holds and reports whether there is room for
// them. It waits until those that give way to it are closed. If there is no room, or if the
// account has been evicted, it stays as it is.
func (a *Account) Resize(n int64) bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.changed.L = &b.mu
	for !a.evicted && !a.closed {
		if a.fits(n) {
			return true
		}
		victims, enough := a.chooseVictims(n, 0)
		if !enough {
			b.Refused.Add(1)
			return false
		}
		if len(victims) > 0 {
			b.changed.Broadcast()
			b.mu.Unlock()
			for _, v := range victims {
				v.evict()
			}
			b.mu.Lock()
			continue
		}
		b.changed.Wait()
	}
	return false
}

// TryResize is like Resize, but does not wait, and evicts only requests that have received
// nothing for the given time. It can be repeated until there is room.
func (a *Account) TryResize(n int64, stalledFor time.Duration) bool {
	b := a.budget
	b.mu.Lock()
	if a.evicted || a.closed || a.fits(n) {
		defer b.mu.Unlock()
		return !a.evicted && !a.closed
	}
	victims, _ := a.chooseVictims(n, stalledFor)
	b.changed.L = &b.mu
	b.changed.Broadcast()
	b.mu.Unlock()
	for _, v := range victims {
		v.evict()
	}
	return false
}

// fits sets the bytes of the account if there is room for them, and reports whether there
// is.
func (a *Account) fits(n int64) bool {
	b := a.budget
	a.remove()
	fits := !b.exceeded(n, b.small.held, b.large.held)
	if fits {
		a.held, a.touched = n, time.Now()
	}
	a.insert()
	return fits
}

// exceeded reports whether an account of n bytes does not fit beside others that hold the
// given bytes.
func (b *Budget) exceeded(n, small, large int64) bool {
	if b.Limit <= 0 {
		return false
	}
	return small+large+n > b.Limit || n > smallBytes && large+n > int64(float64(b.Limit)*largeShare)
}

// chooseVictims evicts requests that have received nothing for the given time, until the
// account fits with n bytes once those that are evicted are closed. It reports whether it
// will; if it cannot, because of complete requests, none is evicted.
func (a *Account) chooseVictims(n int64, stalledFor time.Duration) (victims []*Account, enough bool) {
	b := a.budget
	a.remove()
	defer a.insert()
	if b.exceeded(n, b.small.held-b.small.evictable-b.small.evicted, b.large.held-b.large.evictable-b.large.evicted) {
		return nil, false
	}
	for b.exceeded(n, b.small.held-b.small.evicted, b.large.held-b.large.evicted) {
		stalest := b.large.accounts.Front()
		if stalest == nil {
			stalest = b.small.accounts.Front()
		}
		v := stalest.Value.(*Account)
		if stalledFor > 0 && time.Since(v.touched) < stalledFor {
			return victims, false
		}
		v.remove()
		v.evicted = true
		v.insert()
		b.Evicted.Add(1)
		victims = append(victims, v)
	}
	return victims, true
}

// pool returns the pool that the account belongs to.
func (a *Account) pool() *pool {
	if a.held > smallBytes {
		return &a.budget.large
	}
	return &a.budget.small
}

// remove takes the account out of its pool.
func (a *Account) remove() {
	p := a.pool()
	p.held -= a.held
	if a.evicted {
		p.evicted -= a.held
	}
	if a.element != nil {
		p.evictable -= a.held
		p.accounts.Remove(a.element)
		a.element = nil
	}
}

// insert adds the account to its pool, as the freshest.
func (a *Account) insert() {
	p := a.pool()
	p.held += a.held
	switch {
	case a.evicted:
		p.evicted += a.held
	case !a.complete && a.held > 0:
		p.evictable += a.held
		a.element = p.accounts.PushBack(a)
	}
}

// Touch marks the account as the one that has received most recently.
func (a *Account) Touch() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.touched = time.Now()
	if a.element != nil {
		a.remove()
		a.insert()
	}
}

// Complete marks the request as received: it is no longer evicted. It reports false if it
// has been evicted before.
func (a *Account) Complete() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if !a.complete && !a.evicted && !a.closed {
		a.remove()
		a.complete = true
		a.insert()
	}
	return !a.evicted
}

// Evicted reports whether the account has been evicted.
func (a *Account) Evicted() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.evicted
}

// Close gives the bytes back.
func (a *Account) Close() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !a.closed {
		a.remove()
		a.held, a.closed = 0, true
		b.changed.L = &b.mu
		b.changed.Broadcast()
	}
}
