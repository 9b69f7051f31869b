package cell

import (
	"hash/fnv"
	"log/slog"
	"time"

	"github.com/cowslipgap/cowslipgap/workload"
)

const (
	// packingEfficiency is the share of all processors that placement can use when
	// much work waits; the rest is lost to fragmentation.
	packingEfficiency = 0.85
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

// demand is accepted work that is not done.
type demand struct {
	work  float64 // core-seconds left
	cores float64 // cores that it could use now
}

func (d *demand) add(other demand) {
	d.work += other.work
	d.cores += other.cores
}

// loadEstimate is the demand on the fleet. Running work is counted separately, as
// it keeps its room whatever its rank.
type loadEstimate struct {
	running  map[string]demand // by team
	waiting  map[teamRank]demand
	capacity map[string]float64 // cores, by service
	listed   bool               // the workers had been listed when it was computed
}

// teamRank identifies the waiting work of a team at one rank.
type teamRank struct {
	team string
	rank int
}

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
	decision := c.decideAdmission(e.Job)
	c.recordPromise(e.Job, decision)
	c.logInfo("job "+decision.outcome(), slog.String("id", e.Job.ID), slog.String("queue", e.Job.Queue.Name),
		slog.String("team", e.Job.Team), slog.String("reason", decision.reason), slog.Duration("retryAfter", decision.retryAfter),
		slog.Duration("wait", decision.wait), slog.Duration("slack", decision.slack), slog.Float64("cores", decision.cores), slog.Bool("beyondRate", decision.beyondRate),
		slog.Duration("sinceFirst", c.now.Steady-decision.firstSeen), slog.Bool("late", decision.late),
		slog.Duration("commitAge", c.now.Steady-c.commits.confirmedAt))
	if decision.reason != "" {
		c.emit(Answer{Reply: e.Reply, Verdict: Refused, RetryAfter: decision.retryAfter, Reason: decision.reason})
		return
	}
	e.Job.ReceivedAt = c.now.Wall.Add(decision.firstSeen - c.now.Steady)
	j := newJob(e.Job, workload.Progress{Team: e.Job.Team}, 0)
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
	kept := c.commits.dirty[:0]
	for _, j := range c.commits.dirty {
		if j.stored || j.storing || j.progress.State != workload.Queued || len(j.cancelReplies) > 0 {
			kept = append(kept, j)
			continue
		}
		wait := OutageDelay(j.Job, commitAge, j.receivedAt-c.now.Steady)
		c.promiseReturn(j.Job, j.receivedAt, c.rank(j.occurrences[0].steps[0]), wait)
		for _, reply := range j.acceptReplies {
			c.emit(Answer{Reply: reply, Verdict: Refused, RetryAfter: wait, Reason: reasonStoreOut})
		}
		c.logInfo("job refused", slog.String("id", j.id), slog.String("reason", reasonStoreOut), slog.Duration("commitAge", commitAge), slog.Duration("retryAfter", wait))
		if !j.beyondRate {
			c.team(j.Team).allowance++
		}
		delete(c.jobs, j.id)
		c.dropWorkingState(j)
	}
	clear(c.commits.dirty[len(kept):])
	c.commits.dirty = kept
}

// admissionDecision is the decision on a submitted job and the figures behind it.
type admissionDecision struct {
	reason     string // why it is refused; "" if it is accepted
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
	if caller, ok := c.promises.Lookup(spec.ID, c.now.Steady); ok {
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
	tasks := 0
	for i := range spec.Steps {
		tasks += spec.Steps[i].Count * spec.Occurrences()
	}
	if tasks > maxTasks {
		return refuse("too many tasks", maxRetryDelay)
	}
	if c.exceedsCeiling(spec) {
		return refuse("it needs more than its team's limit", maxRetryDelay)
	}
	if c.load.listed && r.cores == 0 {
		return refuse("the service has no workers", minRetryDelay)
	}
	path := c.queueStats(spec.Queue.Name).expectedDuration(criticalPath(spec))
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
	wait := c.expectedWait(spec, rank, r.cores, c.promisedAhead(spec, r.firstSeen, rank, until))
	if spec.Queue.Advice != nil && spec.Queue.Advice.Duration(1) >= longCall {
		wait = max(wait, c.adviceQueueTime(rank))
	}
	return wait + c.storeDelay()
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

// expectedWait estimates how long a job would wait behind the accepted jobs and those
// of the callers that come before it. The
// estimate is zero if the job and everything ahead of it fit at once, and
// approaches the time for all the work ahead as demand outgrows capacity.
func (c *Cell) expectedWait(spec *workload.Job, rank int, capacity float64, promised promisedDemand) time.Duration {
	fleet, team := promised.fleet, promised.team
	for name, d := range c.load.running {
		fleet.add(d)
		if name == spec.Team {
			team.add(d)
		}
	}
	for key, d := range c.load.waiting {
		if key.rank > rank || key.rank == rank && c.yields(key.team, spec.Team) {
			continue
		}
		fleet.add(d)
		if key.team == spec.Team {
			team.add(d)
		}
	}
	wait := fleet.timeToFree(maxStepCores(spec), capacity*packingEfficiency)
	wait = max(wait, c.shareWait(teamRank{spec.Team, rank}, team, maxStepCores(spec), capacity*packingEfficiency))
	if ceiling := c.policy[spec.Team].Ceiling.MilliCPU; ceiling > 0 {
		wait = max(wait, team.timeToFree(maxStepCores(spec), float64(ceiling)/1000))
	}
	return wait
}

// timeToFree estimates how long it takes until the demand leaves the given number of
// cores free.
func (d demand) timeToFree(cores, capacity float64) time.Duration {
	wanted := d.cores + min(cores, capacity)
	if capacity <= 0 || wanted <= capacity {
		return 0
	}
	return time.Duration(d.work / capacity * (wanted - capacity) / wanted * float64(time.Second))
}

// maxStepCores returns the number of cores of the job's widest step.
func maxStepCores(spec *workload.Job) float64 {
	widest := 0.0
	for i := range spec.Steps {
		st := &spec.Steps[i]
		if !st.UsesIdleCPU {
			widest = max(widest, float64(st.Count)*float64(st.Need.MilliCPU)/1000)
		}
	}
	return widest
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

// estimateLoad computes the remaining work of all accepted jobs.
func (c *Cell) estimateLoad() {
	c.load = loadEstimate{running: map[string]demand{}, waiting: map[teamRank]demand{}, capacity: map[string]float64{}, listed: c.listedOnce}
	for _, w := range c.sortedWorkers {
		if w.listed && !w.Draining && !w.silent(c.now.Steady) {
			c.load.capacity[w.Service] += float64(w.Capacity.MilliCPU) / 1000
		}
	}
	for _, j := range c.live {
		if !j.progress.State.Final() {
			c.addLoad(j)
		}
	}
}

// addLoad adds the remaining work of a job to the estimate.
func (c *Cell) addLoad(j *job) {
	if c.load.running == nil {
		return // the next estimate includes it
	}
	stats := c.queueStats(j.Queue.Name)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if !s.done && !s.spec.UsesIdleCPU {
				c.addStep(s, stats.expectedDuration(s.spec.Estimate).Seconds())
			}
		}
	}
}

// addStep adds the remaining work of a step whose tasks take the given seconds.
func (c *Cell) addStep(s *step, seconds float64) {
	j := s.job
	cores := float64(s.spec.Need.MilliCPU) / 1000
	var running, waiting demand
	for _, t := range s.tasks {
		switch {
		case t.done:
		case len(t.runs) > 0 && t.runs[0].w.silent(c.now.Steady):
			// The capacity of silent workers is not counted either.
		case len(t.runs) > 0:
			running.add(demand{work: seconds * cores * (1 - t.runs[0].doneShare()), cores: cores})
		case s.ready || j.acceptedAt == c.now.Steady:
			waiting.add(demand{work: seconds * cores, cores: cores})
		default:
			waiting.work += seconds * cores
		}
	}
	use := c.load.running[j.Team]
	use.add(running)
	c.load.running[j.Team] = use
	key := teamRank{j.Team, c.rank(s)}
	queued := c.load.waiting[key]
	queued.add(waiting)
	c.load.waiting[key] = queued
}

// doneShare returns the share of its work that a run has done.
func (r *run) doneShare() float64 { return min(1, max(0, float64(r.percent)/100)) }
