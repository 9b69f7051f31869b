// Package cell schedules jobs on a group of workers, the cell. It decides which
// jobs are accepted, where and when each task starts, and what must be stored
// before a caller is answered, a command is sent or a run result is acknowledged.
// One host owns a cell at a time.
//
// A [Cell] is a reducer: [Cell.Update] takes an event and returns effects as plain
// values. It reads no clock, does no I/O, and must be used by one goroutine only.
//
// Ownership is fenced twice: the store accepts a [Commit] only from the owner, and
// every command carries the fencing token of the owner's claim, which workers
// compare with the highest token they have seen. So a host may claim the cell at
// any moment. A deposed owner can still renew leases on a worker that its
// successor cannot reach. Leases therefore never outlive the last confirmed commit
// by more than [MaxLeaseAfterCommit], and a successor waits that long for workers that do
// not answer.
//
// # Usage
//
//	c := cell.New(cell.Config{MaxLease: 6 * time.Second})
//	for _, effect := range c.Update(cell.Clock{Steady: now}, cell.PlacementRound{}) {
//		switch e := effect.(type) {
//		case cell.Start:
//			// Send the command.
//		}
//	}
package cell

import (
	"log/slog"
	"time"

	"github.com/cowslipgap/cowslipgap/evacuation"
	"github.com/cowslipgap/cowslipgap/fairshare"
	"github.com/cowslipgap/cowslipgap/promise"
	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/workload"
)

const (
	// MaxLeaseAfterCommit is how long leases may run after the owner sent its last
	// confirmed commit, and so the longest lease. It bridges store outages of a few seconds.
	// A long-running task whose worker and owner are lost at once must run again within 9 s.
	MaxLeaseAfterCommit = 7500 * time.Millisecond
	// leaseMargin allows for the delay of clock readings and command delivery.
	leaseMargin = 300 * time.Millisecond
	// housekeepingInterval is the minimum time between two housekeeping passes.
	housekeepingInterval = 50 * time.Millisecond
	// maxCommitAge is the age of the last confirmed commit above which new jobs are
	// refused.
	maxCommitAge = 1500 * time.Millisecond
)

// Config holds the settings of a Cell.
type Config struct {
	MaxLease        time.Duration // maximum lease that a worker grants
	StopTimeout     time.Duration // maximum time that stopping a run takes
	GangTimeout     time.Duration // how long a worker lets a member wait for the others of its gang; 0: no member is placed anew
	StatusRetention time.Duration // how long the state of an ended job is kept
	KeepUrgentRoom  bool          // long starts leave room to the most urgent queues while their demand rises
	MaxRowBytes     int           // maximum size of a row's value in the store; 0: defaultMaxRowBytes
	MaxResults      int           // results that a worker's report holds at most; 0: any number
	MaxPolicyAge    time.Duration // age of the last reading of the policy above which nothing starts; 0: any age
	MaxWorkMemory   int64         // bytes that accepted jobs may take; 0: no limit. WorkLimit events change it
	// EncodeProgress encodes the progress of a job for its row; nil: its Encode.
	EncodeProgress func(*workload.Progress) ([]byte, error)
	MaxCapacityAge time.Duration // age of what a worker last said of its capacity above which nothing starts there; 0: any age
}

// Cell is the state of one cell on one host. While the host does not own the cell,
// it redirects all callers to the owner.
type Cell struct {
	Config

	now     Clock
	effects []any
	owner   bool
	token   uint64

	jobs             map[string]*job
	live             map[string]*job // jobs that have not ended
	ended            []*job          // ended jobs, in the order in which they ended
	workers          map[string]*worker
	sortedWorkers    []*worker       // all workers, sorted by ID
	replaced         map[string]life // workers at whose address another one answers, until they leave the list
	teams            map[string]*teamUse
	policy           map[string]Team
	evacuated        evacuation.Orders
	policyReadAt     Instant                 // when the policy was last read, or confirmed as current
	startsWithheld   bool                    // the policy is too old to start anything
	hosts            []string                // hosts that can call the advice service
	callsInFlight    map[string]int          // calls to the advice service in flight, by host
	longCalls        map[string]string       // step of the long call in flight, by host
	backoffs         map[string]*hostBackoff // hosts whose last call failed
	allHostsBusy     [callClasses]bool       // in this placement round, by class of the call
	deniedAt         [callClasses]Instant    // when a call last found no host, by class
	shortCallLoad    float64                 // average number of hosts busy with short calls
	shortCallLoadAt  Instant                 // when shortCallLoad was computed
	mediumCalls      map[string]bool         // hosts whose long call is a medium one
	waiting          []*step                 // ready steps with tasks to start
	pendingJobs      []*job                  // jobs that may have steps to become ready
	statsByQueue     map[string]*queueStats
	uneven           map[string]float64 // usual speed of the services with workers of uneven speeds
	hastening        hastening
	speedsCheckedAt  Instant // when the speeds were last compared
	recovered        bool
	recoverBy        Instant                    // when recovery ends at the latest
	held             map[string][]*task         // tasks that may still have a run of an earlier owner, by worker
	heldUse          map[string]resource.Vector // resources that held tasks may use, by team
	rosterUnreadable bool                       // earlier owners may have used workers that are not known
	listedOnce       bool                       // the workers were listed since the claim

	work             workRoom
	commits          commitState
	learned          learnedState
	lastHousekeeping Instant
	useLoggedAt      Instant
	reservedMilliCPU int64 // processors that the last placement round reserved for gangs, in thousandths
	load             loadEstimate
	demand           demandForecast
	eviction         evictionState
	promises         promise.Book     // refused callers
	shares           fairshare.Ledger // use of the fleet by jobs within their team's rate
	intakes          intakeList
	crashes          crashState
	aboveShare       map[string]bool // teams above their share in the last round; empty if the fleet was not crowded
}

// teamUse is the resource use of a team and the state of its rate limit.
type teamUse struct {
	used       resource.Vector // by all its runs, also those that are starting or stopping
	allowance  float64         // jobs that it may still submit within its rate
	refilledAt Instant         // when allowance was last refilled
}

// New returns the Cell of a host that does not own the cell.
func New(cfg Config) *Cell {
	c := &Cell{Config: cfg}
	c.reset()
	c.policy = map[string]Team{}
	return c
}

// reset clears all state that belongs to a claim.
func (c *Cell) reset() {
	c.owner, c.token = false, 0
	c.jobs, c.live, c.ended = map[string]*job{}, map[string]*job{}, nil
	c.workers, c.sortedWorkers = map[string]*worker{}, nil
	c.replaced = map[string]life{}
	c.teams = map[string]*teamUse{}
	c.callsInFlight, c.longCalls, c.mediumCalls = map[string]int{}, map[string]string{}, map[string]bool{}
	c.backoffs, c.shortCallLoad = map[string]*hostBackoff{}, 0
	c.waiting, c.pendingJobs = nil, nil
	if c.statsByQueue == nil {
		c.statsByQueue = map[string]*queueStats{}
	}
	c.uneven, c.speedsCheckedAt, c.hastening = map[string]float64{}, 0, hastening{}
	c.commits, c.learned = commitState{}, learnedState{}
	c.load = loadEstimate{}
	c.eviction.restart(c.now.Steady)
	c.promises, c.shares = promise.Book{}, fairshare.Ledger{}
	c.crashes = crashState{}
	c.aboveShare, c.intakes = map[string]bool{}, intakeList{}
	c.recovered, c.listedOnce, c.rosterUnreadable = false, false, false
	c.held, c.heldUse = map[string][]*task{}, nil
	c.work = workRoom{refused: c.work.refused}
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
		c.setPolicy(e)
	case PolicyConfirmed:
		c.policyReadAt = max(c.policyReadAt, e.ReadAt)
	case AdviceHosts:
		c.hosts = e.Hosts
	case WorkLimit:
		c.MaxWorkMemory = e.Memory
	case Claimed:
		c.restore(e)
	case Deposed:
		c.depose(e.Reason)
	default:
		if c.owner {
			c.updateOwned(event)
		} else {
			c.redirectToOwner(event)
		}
	}
	return c.effects
}

// claimOf returns the token of the claim that an event belongs to; 0: the current one.
func claimOf(event any) uint64 {
	switch e := event.(type) {
	case PollResult:
		return e.Token
	case Started:
		return e.Token
	case StopDone:
		return e.Token
	case Committed:
		return e.Token
	case CommitRejected:
		return e.Token
	}
	return 0
}

// updateOwned applies an event that only the owner handles, unless it belongs to an earlier
// claim of this host: another one may have owned the cell since.
func (c *Cell) updateOwned(event any) {
	if token := claimOf(event); token > 0 && token != c.token {
		return
	}
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
		c.handleCommitted(e)
	case CommitRejected:
		c.handleCommitRejected(e)
	case Listed:
		c.handleListed(e)
	case PollResult:
		c.handlePollResult(e)
		c.noteContact(e.Worker)
	case Started:
		c.handleStarted(e)
		c.noteContact(e.Worker)
	case StopDone:
		c.handleStopDone(e)
		c.noteContact(e.Worker)
	case AdviceResult:
		c.handleAdviceResult(e)
	case PlacementRound:
		c.runPlacementRound()
	case Flush:
		c.pollAndCommit()
	}
}

// redirectToOwner answers callers with NotOwner. It ignores all other events: they
// belong to a claim that has ended.
func (c *Cell) redirectToOwner(event any) {
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

// runPlacementRound runs the housekeeping that is due and a placement round, polls
// workers and commits.
func (c *Cell) runPlacementRound() {
	if c.now.Steady-c.lastHousekeeping >= housekeepingInterval {
		c.lastHousekeeping = c.now.Steady
		c.housekeeping()
	}
	c.queueReadySteps()
	c.checkProbations()
	c.place()
	c.hastenSlowRuns()
	c.pollAndCommit()
}

// pollAndCommit polls the workers that are due and starts a commit if one is due.
func (c *Cell) pollAndCommit() {
	c.pollWorkers()
	c.flush()
}

// housekeeping does the periodic work that need not run in every placement round.
func (c *Cell) housekeeping() {
	c.expireWorkers()
	c.checkCrashes()
	c.checkRuns()
	c.settleLostMembers()
	c.checkMissingMembers()
	c.checkPolicyAge()
	c.checkRecovery()
	c.refuseUnsent()
	c.checkSpeeds()
	c.estimateLoad()
	c.promises.Expire(c.now.Steady)
	c.forgetEnded()
	c.logUse()
}

func (c *Cell) emit(effect any) { c.effects = append(c.effects, effect) }

func (c *Cell) logInfo(text string, attrs ...slog.Attr) {
	c.emit(LogRecord{Level: slog.LevelInfo, Text: text, Attrs: attrs})
}

// logLoss logs that runs on the worker are given up, with what is known of it.
func (c *Cell) logLoss(text string, w *worker, attrs ...slog.Attr) {
	attrs = append(attrs, slog.String("worker", w.ID), slog.Duration("silent", c.now.Steady-w.answeredAt),
		slog.Bool("draining", w.Draining), slog.Bool("listed", w.listed))
	if w.leasesEnd() > 0 {
		attrs = append(attrs, slog.Duration("leaseLeft", w.leasesEnd()-c.now.Steady))
	}
	c.logInfo(text, attrs...)
}

// leaseLimit returns the latest time at which leases may end.
func (c *Cell) leaseLimit() Instant { return c.commits.confirmedAt + MaxLeaseAfterCommit }

// leaseLength returns the maximum duration of a lease granted now.
func (c *Cell) leaseLength() time.Duration {
	return min(c.MaxLease, c.leaseLimit()-c.now.Steady)
}

// leaseLengthOn returns the maximum duration of a lease granted to the worker now.
func (c *Cell) leaseLengthOn(w *worker) time.Duration {
	if w.endsSoon {
		return min(drainLease, c.leaseLength())
	}
	return c.leaseLength()
}

// query answers with the stored state of a job.
func (c *Cell) query(e Query) {
	j := c.jobs[e.ID]
	if j == nil || !j.stored {
		c.emit(Answer{Reply: e.Reply, Verdict: Unknown})
		return
	}
	answer := Answer{Reply: e.Reply, Verdict: Accepted, State: j.reportedState}
	if answer.State == workload.Failed {
		answer.Reason = j.progress.Reason
	}
	c.emit(answer)
}

func (c *Cell) countQueued(e CountQueued) {
	count := 0
	for _, j := range c.live {
		if j.stored && j.progress.State == workload.Queued && j.spec.Queue.Name == e.Queue {
			count++
		}
	}
	c.emit(Answer{Reply: e.Reply, Verdict: Accepted, Count: count})
}

// forgetEnded deletes jobs that ended more than StatusRetention ago.
func (c *Cell) forgetEnded() {
	for len(c.ended) > 0 && c.now.Steady-c.ended[0].endedAt > c.StatusRetention && !c.ended[0].main.dirty {
		id := c.ended[0].id
		c.commits.drops = append(c.commits.drops, Row{Table: Progress, Key: id})
		delete(c.jobs, id)
		c.ended[0], c.ended = nil, c.ended[1:]
	}
}

// Summary holds the main counts of a cell.
type Summary struct {
	Owner      bool   `json:"owner"`
	Token      uint64 `json:"token"`
	Live       int    `json:"liveJobs"`
	Ended      int    `json:"endedJobs"`
	Waiting    int    `json:"waitingSteps"`
	Running    int    `json:"runs"`
	Workers    int    `json:"workers"`
	Usable     int    `json:"usableWorkers"`
	HeldTasks  int    `json:"heldTasks"`          // tasks that may still have a run of an earlier owner
	Evacuated  int    `json:"evacuatedWorkers"`   // listed workers in zones that are being evacuated
	Cold       int    `json:"coldWorkers"`        // usable workers that are still slow after their start
	Over       int    `json:"overfullWorkers"`    // listed workers with less room than their runs take
	OldEntries int    `json:"unknownCapacities"`  // listed workers that said too long ago what their capacity is
	Withheld   bool   `json:"startsWithheld"`     // the operators' requests were read too long ago to start anything
	KeepsRoom  bool   `json:"roomKept"`           // long starts are withheld because urgent demand rises
	Uneven     int    `json:"unevenServices"`     // services with workers of uneven speeds
	Speeds     int    `json:"knownSpeeds"`        // workers with a known speed
	Evicted    int    `json:"evictedRuns"`        // runs stopped to make room, since the process started
	LostWork   int    `json:"evictedCoreSeconds"` // work thrown away for it, in core-seconds
	Promised   int    `json:"promisedCallers"`    // refused callers that may come back
	AboveShare int    `json:"teamsAboveShare"`    // teams whose waiting steps give way to others'
	Copies     int    `json:"copies"`             // copies of slow runs since the claim
	Moves      int    `json:"moves"`              // moves of slow runs to faster workers since the claim
	Restored   int    `json:"restoredSpeeds"`     // speeds of workers taken over from the owner before
	Learned    int    `json:"learnedBytes"`       // size of the last row of learned state
	Suspects   int    `json:"suspects"`           // tasks under which a worker crashed, whose next run is on probation
	Endangered int    `json:"endangeredClasses"`  // queues of a team whose tasks crash workers
	AtRisk     int    `json:"workersAtRisk"`      // workers with a run on probation
	WorkBytes  int64  `json:"workBytes"`          // memory that accepted jobs take
	WorkLimit  int64  `json:"workLimitBytes"`     // and may take; 0: no limit
	NoRoom     int    `json:"refusedForMemory"`   // jobs refused for want of it, since the process started
}

// Summary returns the current counts.
func (c *Cell) Summary() Summary {
	summary := Summary{Owner: c.owner, Token: c.token, Live: len(c.live), Ended: len(c.ended), Waiting: len(c.waiting), Workers: len(c.workers), Withheld: c.startsWithheld, Uneven: len(c.uneven), KeepsRoom: len(c.waiting) > 0 && c.demand.keepsRoom(), Evicted: c.eviction.runs, LostWork: int(c.eviction.lost), Promised: c.promises.Len(), AboveShare: len(c.aboveShare), Copies: c.hastening.copies, Moves: c.hastening.moves, Restored: c.learned.restored, Learned: len(c.learned.row), Suspects: c.suspects(), Endangered: c.crashes.ledger.Endangered(), AtRisk: len(c.crashes.onProbation), WorkBytes: c.work.held, WorkLimit: c.MaxWorkMemory, NoRoom: c.work.refused}
	for _, w := range c.workers {
		summary.Running += len(w.runs)
		if w.usable(c.now.Steady) {
			summary.Usable++
			if w.cold(c.now.Steady) {
				summary.Cold++
			}
		}
		if w.listed && w.evacuated {
			summary.Evacuated++
		}
		if w.listed && w.free().Negative() {
			summary.Over++
		}
		if w.listed && c.now.Steady >= w.capacityKnownUntil(c.now.Steady) {
			summary.OldEntries++
		}
		if _, known := w.speed.Value(); known {
			summary.Speeds++
		}
	}
	for _, tasks := range c.held {
		summary.HeldTasks += len(tasks)
	}
	return summary
}
