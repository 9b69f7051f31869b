package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/speed"
)

const (
	// clockDrift is the maximum fraction by which a worker's clock may run slower than
	// this host's, as guaranteed by the platform's contract.
	clockDrift = 0.02
	// pollInterval is the minimum time between two polls of a worker, so that results
	// that arrive close together are read by one poll.
	pollInterval = 50 * time.Millisecond
	// ackDelay is how long a worker is not polled after a report with results that
	// cannot be acknowledged yet, because it would report them again at once. A commit
	// takes a tenth of this.
	ackDelay = 100 * time.Millisecond
	// ackWindow is how long after a report results are acknowledged. A worker that starts
	// again is away for seconds.
	ackWindow = 500 * time.Millisecond
	// maxPollTime is how long a poll may take, unless this host or a relay is suspended.
	maxPollTime = pollWait + 600*time.Millisecond
	// pollRetryDelay is the pause after an unanswered poll.
	pollRetryDelay = 200 * time.Millisecond
	// pollWait is how long a poll waits for a new result at most. Polls renew leases, so
	// it waits no longer than a pollsPerLease-th of its lease, and minPollWait at least, or if the worker drains.
	pollWait      = 1500 * time.Millisecond
	minPollWait   = 200 * time.Millisecond
	pollsPerLease = 4
	// drainLease is the maximum lease on a worker that drains, so that what runs there when
	// it exits can soon run elsewhere. It outlives one unanswered poll through a relay.
	drainLease = 1500 * time.Millisecond
	// silentAfter is the age of the last answer above which a failing worker
	// counts as silent and gets no new work.
	silentAfter = 700 * time.Millisecond
	// unhealthyPause is how long a worker that reports itself unhealthy gets no new
	// work.
	unhealthyPause = time.Second
	// stuckAfter is the time without progress after which a run counts as stuck.
	stuckAfter = 2500 * time.Millisecond
)

// worker is the cell's view of one worker.
type worker struct {
	WorkerInfo
	listed         bool              // in the store's list
	evacuated      bool              // its availability zone is being evacuated
	wasLeaving     bool              // it was leaving under the owner before; false once it has answered
	endsSoon       bool              // it drains or, until it is listed, was leaving under the owner before
	onRoster       bool              // on the stored roster with its address, so that a successor would find it
	inherited      bool              // it was on the roster of the owner before
	synced         bool              // answered a poll since the claim or its last known restart
	pollInFlight   bool              // a poll is in flight
	polledAt       Instant           // when the last poll was sent
	answeredAt     Instant           // when it last answered
	reportedAt     Instant           // when its last report arrived
	reportClock    time.Duration     // the worker's clock in its last report
	failingAt      Instant           // when failing was set; 0 once a report shows that it lives
	answers        bool              // it has answered since, but not with a report
	failureNoted   bool              // the ledger of crashes knows that it fails
	lost           []lostRun         // runs before a restart that no report has settled yet
	lostOthers     bool              // beside these, young runs of ended jobs
	probation      *probation        // of the run on it that may crash it; nil: none
	riskZone       bool              // runs on probation prefer it
	failing        bool              // the last poll failed or a start since got no answer
	refusedAt      Instant           // when no connection could be made; 0: it has answered a call sent since
	unansweredAt   Instant           // when a start last got no answer
	clockAt        Instant           // when Clock was read
	lastProcessed  uint64            // sequence number of the last result processed
	lastStored     uint64            // sequence number of the last result whose effect is stored
	lastAcked      uint64            // sequence number of the last result acknowledged
	unstored       bool              // in commitState.unstored
	ackable        uint64            // sequence number of the result that the next commit may store
	markedAt       uint64            // commitState.marked when ackable was processed
	ackableUntil   Instant           // until when its results may be acknowledged, by its last report
	incarnation    int               // number of known restarts
	restartSeenAt  Instant           // when the last restart became known
	lifeSince      Instant           // when its address and start became known
	listedStart    int64             // start that its entry last named; 0: none
	runs           map[string]*run   // by task
	runsByAge      []*run            // the same, the oldest first
	ended          []*run            // dropped, because they have certainly ended, since its last report
	resultsLeft    bool              // its last report was full, so more runs may have ended
	removed        bool              // from the cell
	strays         map[string]uint64 // run numbers of the stray runs, by task
	used           resource.Vector
	capacity       capacityReading
	leaseEnd       Instant // when all its leases have certainly expired unless renewed
	unsureGrantAt  Instant // when a lease was last granted that an unnoticed life may have got; 0: none was since its last report
	unsureLeaseEnd Instant // when such leases have certainly expired
	pausedUntil    Instant // no new work before this time
	reservedFrom   Instant // when a gang needs it, according to the last placement round
	reservedRank   int     // rank of that gang
	speed          speed.Estimate
	factor         float64    // speed relative to the usual one of an uneven service; 0 if speeds are alike
	speedBand      int        // workers of one band have like speeds; higher is faster
	candidate      *candidate // in the last placement round; nil if it was not usable
}

// newWorker returns a worker that has not answered yet.
func newWorker(info WorkerInfo, now Instant) *worker {
	return &worker{WorkerInfo: info, runs: map[string]*run{}, strays: map[string]uint64{}, answeredAt: now, lifeSince: now, riskZone: inRiskZone(info.Addr)}
}

// addWorker adds a worker, or replaces the one with the same ID.
func (c *Cell) addWorker(w *worker) {
	at, known := c.workerIndex(w.ID)
	if known {
		c.sortedWorkers[at].candidate = nil
		c.sortedWorkers[at] = w
	} else {
		c.sortedWorkers = slices.Insert(c.sortedWorkers, at, w)
	}
	c.workers[w.ID] = w
}

// removeWorker removes a worker.
func (c *Cell) removeWorker(w *worker) {
	if at, known := c.workerIndex(w.ID); known {
		c.sortedWorkers = slices.Delete(c.sortedWorkers, at, at+1)
	}
	delete(c.workers, w.ID)
	w.candidate, w.removed = nil, true
}

// workerIndex returns the index in sortedWorkers at which a worker is or would be,
// and whether it is there.
func (c *Cell) workerIndex(id string) (int, bool) {
	return slices.BinarySearchFunc(c.sortedWorkers, id, func(w *worker, id string) int { return cmp.Compare(w.ID, id) })
}

// minClock returns a lower bound of the worker's clock at t.
func (w *worker) minClock(t Instant) time.Duration {
	passed := max(0, t-w.clockAt)
	return w.Clock + time.Duration(float64(passed)*(1-clockDrift))
}

// setClock stores a reading of the worker's clock that was received at t.
func (w *worker) setClock(reading time.Duration, t Instant) {
	if reading > 0 {
		w.Clock, w.clockAt = reading, t
	}
}

// grantLease returns the end, on the worker's clock, of a lease of the given length
// granted at t, and records when it has certainly expired.
func (w *worker) grantLease(t Instant, length time.Duration) time.Duration {
	until := w.minClock(t) + length
	w.leaseEnd = max(w.leaseEnd, t+maxLeaseTime(length))
	return until
}

// grantLease returns the end, on the worker's clock, of a lease of the given length. If the
// worker may have started again unnoticed, its clock may have started anew, and the lease may
// last for as long as it grants.
func (c *Cell) grantLease(w *worker, length time.Duration) time.Duration {
	now := c.now.Steady
	if inContact := now <= w.ackableUntil || w.pollInFlight && !w.failing && w.polledAt < now; !inContact {
		w.unsureGrantAt, w.unsureLeaseEnd = now, max(w.unsureLeaseEnd, now+maxLeaseTime(c.MaxLease))
	}
	return w.grantLease(now, length)
}

// leasesEnd returns when all leases on the worker have certainly expired.
func (w *worker) leasesEnd() Instant { return max(w.leaseEnd, w.unsureLeaseEnd) }

// free returns the worker's unused capacity.
func (w *worker) free() resource.Vector { return w.Capacity.Sub(w.used) }

// leaving reports whether the end of the worker is no crash.
func (w *worker) leaving() bool { return w.Draining || w.evacuated || w.wasLeaving }

// usable reports whether the worker may get new work now. Workers with stray runs, or with
// ends that are not listed yet, may not, as the resource use of those is unknown.
func (w *worker) usable(now Instant) bool {
	return w.listed && w.onRoster && w.synced && !w.Draining && !w.evacuated && len(w.strays) == 0 && !w.resultsLeft &&
		now >= w.pausedUntil && !w.silent(now) && now < w.capacityKnownUntil(now)
}

// silent reports whether the worker is taken for dead: it does not answer for a while, or
// refuses connections.
func (w *worker) silent(now Instant) bool {
	return w.refusedAt > 0 || w.failing && now-w.answeredAt > silentAfter
}

// needsPoll reports whether the worker must be polled.
func (w *worker) needsPoll() bool {
	return !w.synced || w.failing || len(w.runs) > 0 || len(w.strays) > 0 || w.lastAcked < w.lastStored
}

// addRun adds a run, which replaces an earlier one of its task.
func (w *worker) addRun(r *run) {
	w.removeRun(w.runs[r.task.name])
	w.runs[r.task.name] = r
	w.runsByAge = append(w.runsByAge, r)
}

// removeRun removes a run, if it is there. It leaves the elements of runsByAge as they are
// for loops that drop runs.
func (w *worker) removeRun(r *run) {
	if r == nil || w.runs[r.task.name] != r {
		return
	}
	delete(w.runs, r.task.name)
	rest := make([]*run, 0, len(w.runsByAge))
	for _, other := range w.runsByAge {
		if other != r {
			rest = append(rest, other)
		}
	}
	w.runsByAge = rest
}

// eachRun ranges over the worker's runs, the oldest first. It leaves out those that are
// dropped meanwhile, and those that are added.
func (w *worker) eachRun(yield func(*run) bool) {
	for _, r := range w.runsByAge {
		if w.runs[r.task.name] == r && !yield(r) {
			return
		}
	}
}

func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// charge adds a run's resources to the worker's use or, with a negative sign,
// subtracts them.
func (w *worker) charge(r *run, sign int64) {
	w.used = w.used.Add(r.task.step.need().Times(sign))
}

// maxLeaseTime returns how long, on this host's clock, a lease of the given length
// may last on a worker whose clock is slow.
func maxLeaseTime(length time.Duration) time.Duration {
	return time.Duration(float64(length)/(1-clockDrift)) + leaseMargin
}
