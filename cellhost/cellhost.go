// Package cellhost runs an entry host: it answers client calls, owns the cell
// after a successful claim, and performs the effects that the cell returns.
//
// One goroutine updates the [cell.Cell]; all other goroutines post events to it.
// Another goroutine maintains the ownership: it sends heartbeats to the current
// owner, and claims the cell when the owner stops committing. A claim is one
// conditional write to the store and safe at any time, so a wrong suspicion
// costs only an unnecessary move of the cell.
//
// External systems (the store, the workers, the advice service) are reached
// through the function fields of [Dependencies].
//
// # Usage
//
//	h := &cellhost.Host{Name: "a1", Addr: "10.0.0.1:7420", Dependencies: deps, Log: log}
//	go h.Run(ctx)
//	outcome := h.Submit(ctx, job)
package cellhost

import (
	"cmp"
	"context"
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/cowslipgap/cowslipgap/cell"
	"github.com/cowslipgap/cowslipgap/peer"
	"github.com/cowslipgap/cowslipgap/ruleset"
	"github.com/cowslipgap/cowslipgap/workload"
)

const (
	// eventQueueSize bounds the events that wait for the cell's goroutine.
	eventQueueSize = 4096
)

// Head is the row of the store that names the owner of a cell. Every commit
// rewrites it on condition of its version, so only the owner's commits succeed,
// and a delayed write of an earlier commit fails.
type Head struct {
	Session string `cbor:"1,keyasint"` // session of the owner's process
	Name    string `cbor:"2,keyasint"`
	Addr    string `cbor:"3,keyasint"`           // address for other entry hosts
	Token   uint64 `cbor:"4,keyasint"`           // fencing token of the claim; 0 in the write that makes the claim
	Seq     uint64 `cbor:"5,keyasint"`           // sequence number of the commit
	Vacant  bool   `cbor:"6,keyasint,omitempty"` // the owner has given the cell up
}

// HeadRow is a Head with the version of its row. Version 0 means that the row
// does not exist.
type HeadRow struct {
	Head
	Version uint64
}

// Dependencies holds the functions through which a Host calls external systems.
type Dependencies struct {
	// ReadHead reads the head row of the cell.
	ReadHead func(ctx context.Context) (HeadRow, error)
	// Write writes the head row and the rows in puts, and deletes the rows in drops, in
	// one transaction, if the head row still has the given version. It returns the
	// new version, or the current head row if the version differs.
	Write func(ctx context.Context, version uint64, head Head, puts, drops []cell.Row) (uint64, *HeadRow, error)
	// Load reads what a new owner needs: the stored jobs, and the workers that
	// earlier owners may have used.
	Load func(ctx context.Context) (cell.Stored, error)
	// LoadLearned reads the row of what the last owner had learned, which is empty if there
	// is none. A new owner can do without it, and without the function.
	LoadLearned func(ctx context.Context) ([]byte, error)
	// LookUp reads the progress of one job from the store. It reports false if the
	// store does not hold the job.
	LookUp func(ctx context.Context, id string) (workload.Progress, bool, error)
	// ListWorkers reads the list of workers from the store.
	ListWorkers func(ctx context.Context) ([]cell.WorkerInfo, error)
	// FollowRules waits for a limited time for rules newer than those of the last call,
	// and returns nil if there are none. It may return both rules and an error: the
	// operators' requests have been read, but not the newest version of the rules.
	FollowRules func(ctx context.Context) (*ruleset.Rules, error)

	// Start starts one task on a worker.
	Start func(ctx context.Context, o cell.Start) cell.Started
	// Stop ends one run of a task on a worker, or prevents its start.
	Stop func(ctx context.Context, o cell.Stop) cell.StopDone
	// Poll polls a worker for its running and ended tasks, and renews its leases.
	Poll func(ctx context.Context, o cell.Poll) cell.PollResult
	// Advise asks the advice service which of the workers may run a step.
	Advise func(ctx context.Context, step string, workers []string) cell.AdviceResult
}

// Host is one entry host.
type Host struct {
	Dependencies
	Name    string
	Session string  // unique to this process
	Addr    string  // address for other entry hosts
	Zone    string  // availability zone
	Cores   float64 // number of processor cores available to this host; 0 if unknown
	// LinkMbps is the bandwidth of this host in megabits per second; 0 if unknown.
	LinkMbps float64
	MemoryMB int64 // memory available to this host; 0 if unknown
	// WorkBytes bounds the memory that accepted jobs take at the owner; 0: workShare of the
	// memory of the smallest host, if that is known.
	WorkBytes int64
	// JobBytes bounds the jobs that wait here for the answer of the cell, in sum; 0: no bound.
	JobBytes int64
	Cell     cell.Config
	// EvacuationBound is how long after an operator's request to evacuate a zone work may
	// still start there; 0 if there is no such bound.
	EvacuationBound time.Duration
	// ShrinkGrace is how long after a worker has shrunk starts may still use the room that
	// it had; 0 if there is no such bound.
	ShrinkGrace time.Duration
	Log         *slog.Logger
	// Now is a monotonic clock that must keep running while the host is
	// suspended.
	Now func() cell.Instant

	once             sync.Once
	startedAt        cell.Instant
	events           chan any
	waitingJobs      *semaphore.Weighted // bytes of the jobs that wait for the answer of the cell
	peers            peer.Pool
	rules            atomic.Pointer[ruleset.Rules]
	rulesConfirmedAt atomic.Int64 // cell.Instant at which the store last confirmed the rules
	requestsReadAt   atomic.Int64 // cell.Instant as of which the operators' requests were last read
	ownership        ownership
	ownerDoubted     chan struct{} // the owner may have changed
	claimed          chan struct{} // this host has claimed the cell
	claimedAt        atomic.Int64  // cell.Instant of the claim, until the first start after it; 0: none
	dispatcher       dispatcher
	carrier          carrier
	commits          chan writeRequest
	// resendDelay is used only by the goroutine that writes commits.
	resendDelay resendDelay
	nextID      atomic.Uint64
	leaving     atomic.Bool
	summary     atomic.Pointer[cell.Summary]
	usageNow    atomic.Pointer[usageReport]
	Counts      Counters
}

// pendingCall is a client call that waits for the cell's answer.
type pendingCall struct {
	event  any // a cell event whose Reply field is id
	id     uint64
	answer chan cell.Answer
}

func (h *Host) init() {
	h.once.Do(func() {
		h.events = make(chan any, eventQueueSize)
		h.waitingJobs = semaphore.NewWeighted(cmp.Or(h.JobBytes, math.MaxInt64))
		h.commits = make(chan writeRequest, 4)
		h.ownerDoubted = make(chan struct{}, 1)
		h.claimed = make(chan struct{}, 1)
		h.dispatcher.polls = make(chan struct{}, maxDirectPolls)
		if h.Now == nil {
			start := time.Now()
			h.Now = func() cell.Instant { return time.Since(start) }
		}
		h.startedAt = h.Now()
	})
}

// Run runs the host until ctx ends.
func (h *Host) Run(ctx context.Context) {
	h.init()
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){h.runCell, h.followRules, h.maintainOwnership, h.writeCommits, h.pollWorkerList, h.measureUsage} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
	h.peers.Close()
}

// Rules returns the rules in force, or nil before the first ones are read.
func (h *Host) Rules() *ruleset.Rules { return h.rules.Load() }

// post sends an event to the cell's goroutine.
func (h *Host) post(ctx context.Context, event any) {
	select {
	case h.events <- event:
	case <-ctx.Done():
	}
}

// runCell is the goroutine that owns the state of the cell. It applies events and
// runs placement rounds and flushes when they are due.
func (h *Host) runCell(ctx context.Context) {
	cfg := h.Cell
	cfg.MaxPolicyAge = h.maxRequestsAge()
	cfg.MaxCapacityAge = h.maxCapacityAge()
	cfg.MaxWorkMemory = h.workLimit()
	state := cell.New(cfg)
	pending := map[uint64]chan cell.Answer{}
	timer := time.NewTimer(idleRoundInterval)
	defer timer.Stop()
	var schedule eventSchedule
	for {
		select {
		case event := <-h.events:
			h.apply(ctx, state, pending, event)
			h.drainEvents(ctx, state, pending, schedule.nextDue())
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if !state.Owner() {
			h.summarize(state, h.Now())
			timer.Reset(time.Second)
			continue
		}
		now := h.Now()
		for _, failure := range h.dispatcher.expire(h, now) {
			h.apply(ctx, state, pending, failure)
		}
		event := schedule.dueEvent(now)
		if event == nil {
			timer.Reset(schedule.nextDue() - now)
			continue
		}
		h.apply(ctx, state, pending, event)
		h.summarize(state, now)
		schedule.applied(event, now, h.Now())
		timer.Reset(idleRoundInterval)
	}
}

// drainEvents applies the queued events, so that one placement round serves all of
// them. It stops at the given time, so that a long queue does not delay the next
// flush.
func (h *Host) drainEvents(ctx context.Context, state *cell.Cell, pending map[uint64]chan cell.Answer, until cell.Instant) {
	for h.Now() < until {
		select {
		case event := <-h.events:
			h.apply(ctx, state, pending, event)
		default:
			return
		}
	}
}

// apply updates the cell with an event, delivers answers to pending calls and
// performs the other effects.
func (h *Host) apply(ctx context.Context, state *cell.Cell, pending map[uint64]chan cell.Answer, event any) {
	if call, ok := event.(pendingCall); ok {
		pending[call.id] = call.answer
		event = call.event
	}
	for _, effect := range state.Update(cell.Clock{Steady: h.Now(), Wall: time.Now()}, event) {
		if answer, ok := effect.(cell.Answer); ok {
			if ch := pending[answer.Reply]; ch != nil {
				ch <- answer // does not block: the channel is buffered and gets one answer
				delete(pending, answer.Reply)
			}
			continue
		}
		h.perform(ctx, effect)
	}
}

// maxCapacityAge returns how old what a worker said of its capacity may be when a start is
// sent to it, by a clock that may be read as late as its entry is listed; 0 if its age does
// not matter.
func (h *Host) maxCapacityAge() time.Duration {
	if h.ShrinkGrace <= 0 {
		return 0
	}
	return max(h.ShrinkGrace-commandTimeout-workerListInterval, h.ShrinkGrace/2)
}

// pollWorkerList posts the store's list of workers to the cell while this host
// owns it.
func (h *Host) pollWorkerList(ctx context.Context) {
	timer := time.NewTimer(workerListInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		if h.ownership.owns() {
			callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
			workers, err := h.ListWorkers(callCtx)
			cancel()
			if err == nil {
				h.planRelays(workers)
				h.post(ctx, cell.Listed{Workers: workers})
			} else {
				h.Log.Debug("workers cannot be listed", "error", err)
			}
		}
		timer.Reset(workerListInterval)
		select {
		case <-timer.C:
		case <-h.claimed:
		case <-ctx.Done():
		}
	}
}
