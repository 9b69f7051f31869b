package cell

import (
	"hash/fnv"
	"log/slog"
	"time"

	"github.com/cowslipgap/cowslipgap/workload"
)

const (
	// rateBurst bounds the jobs that a team may submit at once: as many as its rate
	// allows in this time.
	rateBurst = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the retry delay that is returned to refused
	// callers, without its jitter.
	minRetryDelay = time.Second
	maxRetryDelay = 15 * time.Second
	// typicalCallWorkers is how many workers a job's call to the advice service is
	// assumed to ask about. The duration of that call is taken off the job's slack.
	typicalCallWorkers = 48
	// slowCommit is the minimum commit duration that is added to a job's expected
	// wait. The slack of an objective covers shorter commits.
	slowCommit = 100 * time.Millisecond
	// commitsPerJob is how many commits a job waits for: its acceptance, its first
	// placement and its end.
	commitsPerJob = 3
	// maxTasks bounds the tasks of a job, and thereby the memory that it takes.
	maxTasks = 20_000
)

// submit accepts or refuses a job. When the fleet is overloaded, a job that would
// be late is refused at once, with a time after which to retry, instead of being
// accepted and finished late.
func (c *Cell) submit(e Submit) {
	if j := c.jobs[e.Job.ID]; j != nil {
		if j.stored {
			c.emit(Answer{Reply: e.Reply, Verdict: Accepted, State: j.reportedState})
			return
		}
		j.acceptReplies = append(j.acceptReplies, e.Reply)
		c.markDirty(j)
		return
	}
	c.recordArrival(e.Job, e.Zone)
	decision := c.decideAdmission(e.Job)
	var encoded []byte
	if decision.reason == "" {
		e.Job.ReceivedAt = c.now.Wall.Add(decision.firstSeen - c.now.Steady)
		var err error
		if encoded, err = e.Job.EncodeNew(); err != nil {
			decision.malformed, decision.reason = true, err.Error()
		}
	}
	c.recordPromise(e.Job, decision)
	c.logInfo("job "+decision.outcome(), slog.String("id", e.Job.ID), slog.String("queue", e.Job.Queue.Name),
		slog.String("team", e.Job.Team), slog.String("reason", decision.reason), slog.Duration("retryAfter", decision.retryAfter),
		slog.Duration("wait", decision.wait), slog.Duration("slack", decision.slack), slog.Float64("cores", decision.cores), slog.Bool("beyondRate", decision.beyondRate),
		slog.Duration("sinceFirst", c.now.Steady-decision.firstSeen), slog.Bool("late", decision.late),
		slog.Duration("commitAge", c.now.Steady-c.commits.confirmedAt))
	if decision.malformed {
		c.emit(Answer{Reply: e.Reply, Verdict: Malformed, Reason: decision.reason})
		return
	}
	if decision.reason != "" {
		c.emit(Answer{Reply: e.Reply, Verdict: Refused, RetryAfter: decision.retryAfter, Reason: decision.reason})
		return
	}
	j := newJob(e.Job, workload.Progress{Team: e.Job.Team}, 0)
	j.restoreParts(workload.Progress{}, nil, c.partTasks())
	j.encoded = encoded
	j.receivedAt, j.acceptedAt = decision.firstSeen, c.now.Steady
	j.beyondRate, j.acceptedLate = decision.beyondRate, decision.late
	if !decision.beyondRate {
		c.team(e.Job.Team).allowance--
	}
	j.acceptReplies = append(j.acceptReplies, e.Reply)
	c.addJob(j)
	c.addLoad(j)
	c.markDirty(j)
}

// refuseUnsent refuses jobs whose rows have not been sent when the store has not
// confirmed a commit for maxCommitAge. In an outage during a burst, jobs queued
// behind an unanswered commit would wait with no chance of being stored. Refusing them
// is safe, as none of them has run.
func (c *Cell) refuseUnsent() {
	commitAge := c.now.Steady - c.commits.confirmedAt
	if commitAge <= maxCommitAge {
		return
	}
	for _, p := range c.commits.rejections.held {
		p.heldUntil = 0
	}
	c.retryHeld()
	kept := c.commits.dirty[:0]
	for _, p := range c.commits.dirty {
		j := p.job
		if j.stored || j.storing || j.progress.State != workload.Queued || len(j.cancelReplies) > 0 {
			kept = append(kept, p)
			continue
		}
		wait := OutageDelay(j.spec, commitAge, j.receivedAt-c.now.Steady)
		c.promiseReturn(j.spec, j.receivedAt, c.rank(j.occurrences[0].steps[0]), wait)
		for _, reply := range j.acceptReplies {
			c.emit(Answer{Reply: reply, Verdict: Refused, RetryAfter: wait, Reason: reasonStoreOut})
		}
		c.logInfo("job refused", slog.String("id", j.id), slog.String("reason", reasonStoreOut), slog.Duration("commitAge", commitAge), slog.Duration("retryAfter", wait))
		c.forgetUnsent(j)
	}
	clear(c.commits.dirty[len(kept):])
	c.commits.dirty = kept
}

// forgetUnsent removes a job of which nothing is stored.
func (c *Cell) forgetUnsent(j *job) {
	if !j.beyondRate {
		c.team(j.team()).allowance++
	}
	delete(c.jobs, j.id)
	c.dropWorkingState(j)
}

// admissionDecision is the decision on a submitted job and the figures behind it.
type admissionDecision struct {
	reason     string // why it is refused; "" if it is accepted
	malformed  bool   // it can never be served
	retryAfter time.Duration
	wait       time.Duration // expected wait
	slack      time.Duration // wait that its objective allows
	firstSeen  Instant       // when it was first submitted
	rank       int
	late       bool    // it is accepted although it would miss its objective
	cores      float64 // capacity of the service
	beyondRate bool    // the team exceeds its rate
}

func (r admissionDecision) outcome() string {
	if r.reason == "" {
		return "admitted"
	}
	return "refused"
}

// decideAdmission decides whether to accept a submitted job.
func (c *Cell) decideAdmission(spec *workload.Job) admissionDecision {
	r := admissionDecision{cores: c.load.capacity[spec.Queue.Service], firstSeen: c.now.Steady, rank: spec.Queue.Priority}
	if caller, ok := c.promises.Lookup(spec.ID, c.now.Steady); ok && !outlastsRefusal(spec) {
		r.firstSeen = caller.FirstSeen
	}
	refuse := func(reason string, wait time.Duration) admissionDecision {
		r.reason, r.retryAfter = reason, retryDelay(spec.ID, wait)
		return r
	}
	if commitAge := c.now.Steady - c.commits.confirmedAt; commitAge > maxCommitAge {
		r.reason = reasonStoreOut
		r.retryAfter = OutageDelay(spec, commitAge, r.firstSeen-c.now.Steady)
		return r
	}
	if c.policyExpiredBy(maxCommitAge) {
		return refuse("the operators' requests cannot be read", minRetryDelay)
	}
	tasks := 0
	for i := range spec.Steps {
		tasks += spec.Steps[i].Count * spec.Occurrences()
	}
	if tasks > maxTasks {
		r.reason, r.malformed = "too many tasks", true
		return r
	}
	if c.tooLong(spec) {
		r.reason, r.malformed = "its description is too long", true
		return r
	}
	if memory := memoryOf(spec); !c.work.fits(memory, c.MaxWorkMemory) {
		c.work.refused++
		return refuse("the accepted jobs take too much memory", workRetryDelay)
	}
	if c.exceedsCeiling(spec) {
		return refuse("it needs more than its team's limit", maxRetryDelay)
	}
	if c.load.listed && r.cores == 0 {
		return refuse("the service has no workers", minRetryDelay)
	}
	path := c.queueStats(spec.Queue.Name).typicalDuration(criticalPath(spec))
	r.slack = time.Duration((spec.Queue.Slack-1)*float64(path)) + spec.Queue.Target
	if spec.Queue.Advice != nil {
		r.slack -= spec.Queue.Advice.Duration(typicalCallWorkers)
	}
	r.slack -= c.now.Steady - r.firstSeen
	r.beyondRate = !c.withinRate(spec.Team)
	if r.beyondRate {
		r.rank += rankBeyondRate
	}
	r.wait = c.waitAt(spec, r, r.rank, c.now.Steady+r.slack)
	if r.wait > r.slack {
		c.decideLate(spec, &r)
	}
	return r
}

// waitAt estimates how long the job would wait at the given rank, behind the accepted
// jobs and the callers that are expected back by the given time.
func (c *Cell) waitAt(spec *workload.Job, r admissionDecision, rank int, until Instant) time.Duration {
	wait := c.expectedWait(spec, rank, c.promisedAhead(spec, r.firstSeen, rank, until))
	if spec.Queue.Advice != nil && spec.Queue.Advice.Duration(1) >= longCall {
		wait = max(wait, c.adviceQueueTime(rank))
	}
	return max(wait, c.trialWait(spec, rank)) + c.storeDelay()
}

// storeDelay estimates how much longer than usual a job waits for a slow store: for
// its own commitsPerJob commits and for the commits of the jobs ahead of it.
func (c *Cell) storeDelay() time.Duration {
	took := c.commits.latency
	if c.commits.inFlight != nil {
		took = max(took, c.now.Steady-c.commits.lastSent)
	}
	if took < slowCommit {
		return 0
	}
	return took * time.Duration(commitsPerJob+len(c.commits.dirty)/maxRows)
}

// exceedsCeiling reports whether a task or a gang of the job needs more than its
// team's ceiling, so that it could never run.
func (c *Cell) exceedsCeiling(spec *workload.Job) bool {
	ceiling := c.policy[spec.Team].Ceiling
	over := func(limit, need int64) bool { return limit > 0 && need > limit }
	for i := range spec.Steps {
		st := &spec.Steps[i]
		n := int64(1)
		if st.Gang {
			n = int64(st.Count)
		}
		need := st.Need.Times(n)
		if over(ceiling.MilliCPU, need.MilliCPU) || over(ceiling.MemoryMB, need.MemoryMB) || over(ceiling.Accelerators, need.Accelerators) {
			return true
		}
	}
	return false
}

// retryDelay returns the delay after which a refused caller may retry, at least the
// given wait. Its jitter depends on the job ID, so that callers refused together do not
// retry together. Callers are told whole seconds, so the wait is rounded up before the
// jitter is added: rounding the sum cannot send a caller back too early.
func retryDelay(id string, wait time.Duration) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	jitter := time.Duration(h.Sum32()%1000) * time.Millisecond
	wait = min(max(wait, minRetryDelay), maxRetryDelay)
	return (wait + time.Second - 1).Truncate(time.Second) + jitter
}

// withinRate refills the team's allowance and reports whether it covers a job.
func (c *Cell) withinRate(name string) bool {
	rate := c.policy[name].Rate
	if rate <= 0 {
		return true
	}
	use := c.team(name)
	use.allowance = min(use.allowance+rate*(c.now.Steady-use.refilledAt).Seconds(), rate*rateBurst.Seconds())
	use.refilledAt = c.now.Steady
	return use.allowance >= 1
}

// cancel cancels a job. The caller is answered once the store holds the new state.
func (c *Cell) cancel(e Cancel) {
	j := c.jobs[e.ID]
	if j == nil {
		c.emit(Answer{Reply: e.Reply, Verdict: Unknown})
		return
	}
	if j.reportedState.Final() {
		c.emit(Answer{Reply: e.Reply, Verdict: Accepted, State: j.reportedState})
		return
	}
	c.setFinalState(j, workload.Cancelled)
	j.cancelReplies = append(j.cancelReplies, e.Reply)
	c.markDirty(j)
}
