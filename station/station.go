// Package station runs an entry host: it serves callers, owns the cell when it
// is this host's turn, and carries out what the cell decides.
//
// One goroutine feeds the [cell.Cell]; everything else happens on others, which
// post events to it. Another goroutine keeps the ownership: it greets the
// present owner, and claims the cell when the owner commits nothing any more. A
// claim is one conditional write and safe at any time, so suspicion decides
// only how often the cell moves.
//
// What lies outside the product is reached through the function fields of
// [Seams].
//
// # Usage
//
//	s := &station.Station{Name: "a1", Addr: "10.0.0.1:7420", Seams: seams, Log: log}
//	go s.Run(ctx)
//	outcome := s.Submit(ctx, job)
package station

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowslipgap/cowslipgap/cell"
	"github.com/cowslipgap/cowslipgap/docket"
	"github.com/cowslipgap/cowslipgap/pause"
	"github.com/cowslipgap/cowslipgap/peer"
	"github.com/cowslipgap/cowslipgap/ruleset"
)

const (
	// eventQueue bounds the events that wait for the cell's goroutine.
	eventQueue = 4096
)

// Head is the row that says who owns a cell. Every commit rewrites it on
// condition of its version, so that only the owner's commits succeed and a late
// one of an earlier commit never does.
type Head struct {
	Session string `cbor:"1,keyasint"` // of the owner's process
	Name    string `cbor:"2,keyasint"`
	Addr    string `cbor:"3,keyasint"` // for other entry hosts
	Token   uint64 `cbor:"4,keyasint"` // of the claim; 0 in the claim itself
	Seq     uint64 `cbor:"5,keyasint"` // of the commit
	Vacant  bool   `cbor:"6,keyasint,omitempty"`
}

// HeadRow is the head with its version; version 0 means that there is none.
type HeadRow struct {
	Head
	Version uint64
}

// Seams are the ways in which a station reaches what lies outside.
type Seams struct {
	// ReadHead reads the head of the cell.
	ReadHead func(ctx context.Context) (HeadRow, error)
	// Write writes the head and rows in one transaction if the head still has
	// the given version. It returns the new version, or what stands there.
	Write func(ctx context.Context, version uint64, head Head, puts, drops []cell.Row) (uint64, *HeadRow, error)
	// Load reads everything that a new owner needs.
	Load func(ctx context.Context) ([]cell.Stored, []cell.WorkerRef, error)
	// LookUp reads one job's state from the store.
	LookUp func(ctx context.Context, id string) (docket.State, bool, error)
	// ListWorkers reads the store's list of workers.
	ListWorkers func(ctx context.Context) ([]cell.WorkerInfo, error)
	// FollowRules waits a while for rules that are newer than the version given,
	// and returns nil if there are none.
	FollowRules func(ctx context.Context, version int64) (*ruleset.Rules, error)

	Start  func(ctx context.Context, o cell.Start) cell.Started
	Stop   func(ctx context.Context, o cell.Stop) cell.StopDone
	Look   func(ctx context.Context, o cell.Look) cell.Looked
	Advise func(ctx context.Context, step string, workers []string) cell.Advised
}

// Station is one entry host.
type Station struct {
	Seams
	Name    string
	Session string  // unique to this process
	Addr    string  // for other entry hosts
	Cores   float64 // processor share of this host; 0 if it is not known
	Cell    cell.Config
	Log     *slog.Logger
	// Now is the steady clock, which must go on while the host is suspended.
	Now func() cell.Instant

	once    sync.Once
	began   cell.Instant
	events  chan any
	peers   peer.Pool
	rules   atomic.Pointer[ruleset.Rules]
	rulesAt atomic.Int64 // Instant at which the store last confirmed them
	lead    leadership
	commits chan commitOrder
	// patience belongs to the goroutine that writes commits.
	patience patience
	nextID   atomic.Uint64
	leaving  atomic.Bool
	summary  atomic.Pointer[cell.Summary]
	Counts   Counts
}

// waiter is a caller's question on its way through the cell.
type waiter struct {
	event  any // with a Reply
	id     uint64
	answer chan cell.Answer
}

func (s *Station) init() {
	s.once.Do(func() {
		s.events = make(chan any, eventQueue)
		s.commits = make(chan commitOrder, 4)
		if s.Now == nil {
			start := time.Now()
			s.Now = func() cell.Instant { return time.Since(start) }
		}
		s.began = s.Now()
	})
}

// Run serves until ctx ends.
func (s *Station) Run(ctx context.Context) {
	s.init()
	var wg sync.WaitGroup
	for _, part := range []func(context.Context){s.loop, s.followRules, s.keepLead, s.writeCommits, s.followWorkers} {
		wg.Go(func() { part(ctx) })
	}
	wg.Wait()
	s.peers.Close()
}

// Rules returns the rules in force, or nil before any were read.
func (s *Station) Rules() *ruleset.Rules { return s.rules.Load() }

// post sends an event to the cell's goroutine.
func (s *Station) post(ctx context.Context, event any) {
	select {
	case s.events <- event:
	case <-ctx.Done():
	}
}

// loop is the goroutine that owns the cell.
func (s *Station) loop(ctx context.Context) {
	state := cell.New(s.Cell)
	waiters := map[uint64]chan cell.Answer{}
	timer := time.NewTimer(idlePump)
	defer timer.Stop()
	var due pace
	for {
		select {
		case event := <-s.events:
			s.apply(ctx, state, waiters, event)
			s.drainEvents(ctx, state, waiters, due.next())
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if !state.Owner() {
			s.summarize(state, s.Now())
			timer.Reset(time.Second)
			continue
		}
		now := s.Now()
		event := due.event(now)
		if event == nil {
			timer.Reset(due.next() - now)
			continue
		}
		s.apply(ctx, state, waiters, event)
		s.summarize(state, now)
		due.done(event, now, s.Now())
		timer.Reset(idlePump)
	}
}

// drainEvents applies what has queued up, so that placement runs once for all, but
// not beyond the given time: the next flush must not wait for a long queue.
func (s *Station) drainEvents(ctx context.Context, state *cell.Cell, waiters map[uint64]chan cell.Answer, until cell.Instant) {
	for s.Now() < until {
		select {
		case event := <-s.events:
			s.apply(ctx, state, waiters, event)
		default:
			return
		}
	}
}

// apply updates the cell and performs the effects.
func (s *Station) apply(ctx context.Context, state *cell.Cell, waiters map[uint64]chan cell.Answer, event any) {
	if w, ok := event.(waiter); ok {
		waiters[w.id] = w.answer
		event = w.event
	}
	for _, effect := range state.Update(cell.Clock{Steady: s.Now(), Wall: time.Now()}, event) {
		if answer, ok := effect.(cell.Answer); ok {
			if ch := waiters[answer.Reply]; ch != nil {
				ch <- answer // buffered, one answer each
				delete(waiters, answer.Reply)
			}
			continue
		}
		s.perform(ctx, effect)
	}
}

// followRules keeps the newest rules in force.
func (s *Station) followRules(ctx context.Context) {
	version := int64(0)
	reachable := true
	for ctx.Err() == nil {
		rules, err := s.FollowRules(ctx, version)
		if err != nil {
			if ctx.Err() == nil && reachable {
				s.Log.Warn("configuration cannot be read", "version", version, "error", err)
			}
			reachable = false
			pause.For(ctx, followRetry)
			continue
		}
		if !reachable {
			s.Log.Info("configuration can be read again", "version", version)
		}
		reachable = true
		s.rulesAt.Store(int64(s.Now()))
		if rules == nil || rules.Version <= version {
			continue
		}
		s.Log.Info("configuration in force", "version", rules.Version, "before", version, "queues", len(rules.Queues), "keys", len(rules.Keys))
		version = rules.Version
		s.rules.Store(rules)
		s.post(ctx, rules.Policy())
	}
}

// followWorkers tells the cell which workers the store lists, while it is owned
// here.
func (s *Station) followWorkers(ctx context.Context) {
	for ctx.Err() == nil {
		if s.lead.owns() {
			callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
			workers, err := s.ListWorkers(callCtx)
			cancel()
			if err == nil {
				s.post(ctx, cell.Listed{Workers: workers})
			} else {
				s.Log.Debug("workers cannot be listed", "error", err)
			}
		}
		pause.For(ctx, listEvery)
	}
}
