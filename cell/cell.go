// Package cell decides for a group of workers: which jobs are accepted, which
// task starts where and when, and what the store has to hold before anything is
// said or forgotten. One host owns a cell at a time.
//
// A [Cell] is a reducer. [Cell.Update] takes an event and returns effects as
// plain values; it reads no clock and does no I/O. One goroutine owns it.
//
// Ownership is fenced twice: the store takes a [Commit] only from the owner, and
// every order carries the claim's token, which workers compare with the highest
// they have seen. So a claim is safe at any moment. What a deposed owner may
// still do is renew leases at a worker that its successor cannot reach;
// therefore leases never outlive the last confirmed commit by more than
// [Authority], and a successor waits that long for workers that stay silent.
//
// # Usage
//
//	c := cell.New(cell.Config{HoldMax: 6 * time.Second})
//	for _, effect := range c.Update(cell.Clock{Steady: now}, cell.Pump{}) {
//		switch e := effect.(type) {
//		case cell.Start:
//			// Send the order.
//		}
//	}
package cell

import (
	"log/slog"
	"time"

	"github.com/cowslipgap/cowslipgap/docket"
	"github.com/cowslipgap/cowslipgap/resource"
)

const (
	// Authority is for how long after the sending of its last confirmed commit
	// an owner may let leases run. It bridges store outages of a few seconds.
	Authority = 9 * time.Second
	// leaseMargin covers the reading of clocks and the delivery of orders.
	leaseMargin = 300 * time.Millisecond
	// tickGap is the least time between two rounds of housekeeping.
	tickGap = 50 * time.Millisecond
	// storeSilence is the age of the last confirmed commit beyond which nothing
	// new is accepted.
	storeSilence = 1500 * time.Millisecond
)

// Config is what a Cell is told at its start.
type Config struct {
	HoldMax     time.Duration // longest lease that a worker grants
	StopTimeout time.Duration // longest time that a stop takes
	StatusFor   time.Duration // for how long an ended job's state is kept
}

// Cell is the state of one cell at one host. Without a claim it only tells
// callers to ask the owner.
type Cell struct {
	Config

	now     Clock
	effects []any
	owner   bool
	token   uint64

	jobs       map[string]*job
	live       map[string]*job // those that have not ended
	ended      []*job          // the others, in order of their ends
	workers    map[string]*worker
	roll       []*worker // the same, in order of their IDs
	teams      map[string]*teamUse
	policy     map[string]Team
	hosts      []string
	lanes      map[string]int      // calls for advice in flight, by host
	longCalls  map[string]string   // the step of a long one, by host
	silent     map[string]*silence // hosts whose last one had no answer
	shortUse   float64             // lanes that short ones took, averaged
	shortAt    Instant             // when shortUse was worked out
	waiting    []*step             // ready steps with tasks that have no run
	unopened   []*job              // jobs with steps that are not ready yet
	learned    map[string]*lesson
	recovered  bool
	recoverBy  Instant
	held       map[string][]*task         // tasks that may run for an earlier owner, by worker
	hidden     map[string]resource.Vector // what teams may have running unseen
	listedOnce bool                       // the workers were listed since the claim

	book     ledger
	lastTick Instant
	load     loadEstimate
}

// teamUse is what a team has running, with what may begin or is being stopped.
type teamUse struct {
	used  resource.Vector
	spent float64 // jobs of its allowance in hand
	at    Instant
}

// New returns a Cell that owns nothing.
func New(cfg Config) *Cell {
	c := &Cell{Config: cfg}
	c.reset()
	c.policy = map[string]Team{}
	return c
}

// reset forgets everything that belongs to a claim.
func (c *Cell) reset() {
	c.owner, c.token = false, 0
	c.jobs, c.live, c.ended = map[string]*job{}, map[string]*job{}, nil
	c.workers, c.roll = map[string]*worker{}, nil
	c.teams = map[string]*teamUse{}
	c.lanes, c.longCalls, c.silent, c.shortUse = map[string]int{}, map[string]string{}, map[string]*silence{}, 0
	c.waiting, c.unopened = nil, nil
	if c.learned == nil {
		c.learned = map[string]*lesson{}
	}
	c.book = ledger{}
	c.load = loadEstimate{}
	c.recovered, c.listedOnce = false, false
	c.held, c.hidden = map[string][]*task{}, nil
}

// Owner reports whether this host owns the cell.
func (c *Cell) Owner() bool { return c.owner }

// Update applies one event and returns the effects in order. The slice is valid
// until the next call.
func (c *Cell) Update(now Clock, event any) []any {
	c.now = now
	clear(c.effects)
	c.effects = c.effects[:0]
	switch e := event.(type) {
	case Policy:
		c.policy = e.Teams
	case Members:
		c.hosts = e.Hosts
	case Claimed:
		c.restore(e)
	case Deposed:
		c.depose(e.Reason)
	default:
		if c.owner {
			c.updateOwned(event)
		} else {
			c.turnAway(event)
		}
	}
	return c.effects
}

// updateOwned applies an event that matters to the owner alone.
func (c *Cell) updateOwned(event any) {
	switch e := event.(type) {
	case Submit:
		c.submit(e)
	case Cancel:
		c.cancel(e)
	case Query:
		c.query(e)
	case CountQueued:
		c.countQueued(e)
	case Committed:
		c.committed(e)
	case Listed:
		c.listed(e)
	case Looked:
		c.looked(e)
	case Started:
		c.started(e)
	case StopDone:
		c.stopDone(e)
	case Advised:
		c.advised(e)
	case Pump:
		c.pump()
	case Flush:
		c.keepUp()
	}
}

// turnAway sends callers to the owner. Other events concern a claim that is over.
func (c *Cell) turnAway(event any) {
	reply := uint64(0)
	switch e := event.(type) {
	case Submit:
		reply = e.Reply
	case Cancel:
		reply = e.Reply
	case Query:
		reply = e.Reply
	case CountQueued:
		reply = e.Reply
	default:
		return
	}
	c.emit(Answer{Reply: reply, Verdict: NotOwner})
}

// pump does what depends on time, places what waits and writes what is due.
func (c *Cell) pump() {
	if c.now.Steady-c.lastTick >= tickGap {
		c.lastTick = c.now.Steady
		c.tick()
	}
	c.openSteps()
	c.place()
	c.keepUp()
}

// keepUp reads what ends at workers and writes what is due.
func (c *Cell) keepUp() {
	c.lookAround()
	c.flush()
}

// tick is the housekeeping that need not run on every pump.
func (c *Cell) tick() {
	c.tendWorkers()
	c.tendRuns()
	c.tendRecovery()
	c.refuseUnsent()
	c.estimateLoad()
	c.forgetEnded()
}

func (c *Cell) emit(effect any) { c.effects = append(c.effects, effect) }

func (c *Cell) note(text string, attrs ...slog.Attr) {
	c.emit(Note{Level: slog.LevelInfo, Text: text, Attrs: attrs})
}

// authority returns until when leases may run.
func (c *Cell) authority() Instant { return c.book.confirmed + Authority }

// leaseLength returns how long a lease granted now may run.
func (c *Cell) leaseLength() time.Duration {
	return min(c.HoldMax, c.authority()-c.now.Steady)
}

// query answers with the state that the store holds.
func (c *Cell) query(e Query) {
	j := c.jobs[e.ID]
	if j == nil || !j.stored {
		c.emit(Answer{Reply: e.Reply, Verdict: Unknown})
		return
	}
	c.emit(Answer{Reply: e.Reply, Verdict: Accepted, State: j.shown})
}

func (c *Cell) countQueued(e CountQueued) {
	count := 0
	for _, j := range c.live {
		if j.stored && j.progress.State == docket.Queued && j.Queue.Name == e.Queue {
			count++
		}
	}
	c.emit(Answer{Reply: e.Reply, Verdict: Accepted, Count: count})
}

// forgetEnded drops jobs whose state need not be told any more.
func (c *Cell) forgetEnded() {
	for len(c.ended) > 0 && c.now.Steady-c.ended[0].endedAt > c.StatusFor && !c.ended[0].dirty {
		id := c.ended[0].id
		c.book.drops = append(c.book.drops, Row{Table: Progress, Key: id})
		delete(c.jobs, id)
		c.ended[0], c.ended = nil, c.ended[1:]
	}
}

// Summary is the state of a cell in numbers.
type Summary struct {
	Owner     bool   `json:"owner"`
	Token     uint64 `json:"token"`
	Live      int    `json:"liveJobs"`
	Ended     int    `json:"endedJobs"`
	Waiting   int    `json:"waitingSteps"`
	Running   int    `json:"runs"`
	Workers   int    `json:"workers"`
	Usable    int    `json:"usableWorkers"`
	HeldTasks int    `json:"heldTasks"` // that may run for an earlier owner
}

// Summary returns the present summary.
func (c *Cell) Summary() Summary {
	sum := Summary{Owner: c.owner, Token: c.token, Live: len(c.live), Ended: len(c.ended), Waiting: len(c.waiting), Workers: len(c.workers)}
	for _, w := range c.workers {
		sum.Running += len(w.runs)
		if w.usable(c.now.Steady) {
			sum.Usable++
		}
	}
	for _, tasks := range c.held {
		sum.HeldTasks += len(tasks)
	}
	return sum
}
