package cell

import (
	"hash/fnv"
	"log/slog"
	"time"

	"github.com/cowslipgap/cowslipgap/docket"
)

const (
	// packing is the share of all processors that placement keeps at work when
	// much waits; the rest is lost to the shapes of tasks.
	packing = 0.85
	// rateWindow is the burst, in time at its rate, that a team may send at once.
	rateWindow = 2 * time.Second
	// minRetry and maxRetry bound what callers are told to wait.
	minRetry = time.Second
	maxRetry = 15 * time.Second
	// adviceWorkers is how many workers the call for advice names for which a part
	// of the objective is kept.
	adviceWorkers = 48
	// slowCommit is the length of a commit from which on it counts in what a job has
	// to wait; shorter ones are within what an objective leaves.
	slowCommit = 100 * time.Millisecond
	// commitsOfJob is how many commits a job waits for: its acceptance, its first
	// placement and its end.
	commitsOfJob = 3
	// maxTasks bounds the tasks of a job, and with it the memory it takes.
	maxTasks = 20_000
)

// demand is accepted work that is not done.
type demand struct {
	work  float64 // core-seconds left
	cores float64 // that it would take now if it could
}

func (d *demand) add(other demand) {
	d.work += other.work
	d.cores += other.cores
}

// loadEstimate is the demand on the fleet. Running work is counted apart: it
// keeps its room whatever its rank.
type loadEstimate struct {
	running  map[string]demand // by team
	waiting  map[teamRank]demand
	capacity map[string]float64 // cores, by service
	listed   bool               // the workers had been listed when it was made
}

// teamRank is a team's work of one rank.
type teamRank struct {
	team string
	rank int
}

// submit accepts a job or refuses it. It answers a fleet that is offered more
// than it can do: what would come too late is refused at once, with the time at
// which there will be room, rather than accepted and done late.
func (c *Cell) submit(e Submit) {
	if j := c.jobs[e.Job.ID]; j != nil {
		if j.stored {
			c.emit(Answer{Reply: e.Reply, Verdict: Accepted, State: j.shown})
			return
		}
		j.acceptWaits = append(j.acceptWaits, e.Reply)
		c.touch(j)
		return
	}
	ruling := c.rule(e.Job)
	c.note("job "+ruling.outcome(), slog.String("id", e.Job.ID), slog.String("queue", e.Job.Queue.Name),
		slog.String("team", e.Job.Team), slog.String("reason", ruling.reason), slog.Duration("retryAfter", ruling.retryAfter),
		slog.Duration("wait", ruling.wait), slog.Duration("slack", ruling.slack), slog.Float64("cores", ruling.cores), slog.Bool("beyondRate", ruling.beyond),
		slog.Duration("commitAge", c.now.Steady-c.book.confirmed))
	if ruling.reason != "" {
		c.emit(Answer{Reply: e.Reply, Verdict: Refused, RetryAfter: ruling.retryAfter, Reason: ruling.reason})
		return
	}
	e.Job.ReceivedAt = c.now.Wall
	j := newJob(e.Job, docket.Progress{Team: e.Job.Team}, 0)
	j.received = c.now.Steady
	j.beyondRate = ruling.beyond
	if !ruling.beyond {
		c.team(e.Job.Team).spent--
	}
	j.acceptWaits = append(j.acceptWaits, e.Reply)
	c.adopt(j)
	c.addLoad(j)
	c.touch(j)
}

// refuseUnsent refuses jobs whose rows were never sent, once the store has not
// answered for too long. It answers an outage in a burst: what is behind a commit
// without an answer would wait for it in vain, and has certainly not run.
func (c *Cell) refuseUnsent() {
	silent := c.now.Steady - c.book.confirmed
	if silent <= storeSilence {
		return
	}
	kept := c.book.dirty[:0]
	for _, j := range c.book.dirty {
		if j.stored || j.storing || j.progress.State != docket.Queued || len(j.cancelWaits) > 0 {
			kept = append(kept, j)
			continue
		}
		wait := spread(j.id, minRetry)
		for _, reply := range j.acceptWaits {
			c.emit(Answer{Reply: reply, Verdict: Refused, RetryAfter: wait, Reason: "the store does not answer"})
		}
		c.note("job refused", slog.String("id", j.id), slog.String("reason", "the store does not answer"), slog.Duration("commitAge", silent), slog.Duration("retryAfter", wait))
		delete(c.jobs, j.id)
		c.retire(j)
	}
	clear(c.book.dirty[len(kept):])
	c.book.dirty = kept
}

// ruling is the decision on a job that is handed in, with what decided it.
type ruling struct {
	reason     string // why it is refused; "" if it is accepted
	retryAfter time.Duration
	wait       time.Duration // expected
	slack      time.Duration // that its objective leaves for waiting
	cores      float64       // of the service
	beyond     bool          // the team has sent more than it is owed
}

func (r ruling) outcome() string {
	if r.reason == "" {
		return "admitted"
	}
	return "refused"
}

// rule decides on a job that is handed in.
func (c *Cell) rule(spec *docket.Job) ruling {
	r := ruling{cores: c.load.capacity[spec.Queue.Service]}
	refuse := func(reason string, wait time.Duration) ruling {
		r.reason, r.retryAfter = reason, spread(spec.ID, wait)
		return r
	}
	if silent := c.now.Steady - c.book.confirmed; silent > storeSilence {
		return refuse("the store does not answer", minRetry)
	}
	tasks := 0
	for i := range spec.Steps {
		tasks += spec.Steps[i].Count * spec.Occurrences()
	}
	if tasks > maxTasks {
		return refuse("too many tasks", maxRetry)
	}
	if c.exceeds(spec) {
		return refuse("it needs more than its team's limit", maxRetry)
	}
	if c.load.listed && r.cores == 0 {
		return refuse("the service has no workers", minRetry)
	}
	chain := c.lesson(spec.Queue.Name).actual(longestChain(spec))
	r.slack = time.Duration((spec.Queue.Slack-1)*float64(chain)) + spec.Queue.Target
	if spec.Queue.Advice != nil {
		r.slack -= spec.Queue.Advice.Length(adviceWorkers)
	}
	r.beyond = !c.withinRate(spec.Team)
	rank := spec.Queue.Priority
	if r.beyond {
		rank += rankBeyond
	}
	r.wait = c.expectedWait(spec, rank, r.cores)
	if spec.Queue.Advice != nil && spec.Queue.Advice.Length(1) >= heavyCall {
		r.wait = max(r.wait, c.adviceLine(rank))
	}
	r.wait += c.storeDelay()
	if r.wait > r.slack {
		return refuse("it would be late", r.wait-r.slack)
	}
	return r
}

// storeDelay estimates how much longer than usual a job waits for the store: for
// the commits of its acceptance, its placement and its end, and for those that are
// due before. It answers a store that is slow in a burst.
func (c *Cell) storeDelay() time.Duration {
	took := c.book.took
	if c.book.inFlight != nil {
		took = max(took, c.now.Steady-c.book.lastSent)
	}
	if took < slowCommit {
		return 0
	}
	return took * time.Duration(commitsOfJob+len(c.book.dirty)/maxRows)
}

// exceeds reports whether a gang of the job, or one of its tasks, is larger than
// its team's ceiling, so that it could never run.
func (c *Cell) exceeds(spec *docket.Job) bool {
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

// expectedWait estimates for how long a job would wait behind what was accepted:
// not at all as long as everything ahead of it fits with it, and for all the
// work ahead when much more than the capacity is wanted at once.
func (c *Cell) expectedWait(spec *docket.Job, rank int, capacity float64) time.Duration {
	var fleet, team demand
	for name, d := range c.load.running {
		fleet.add(d)
		if name == spec.Team {
			team.add(d)
		}
	}
	for key, d := range c.load.waiting {
		if key.rank > rank {
			continue
		}
		fleet.add(d)
		if key.team == spec.Team {
			team.add(d)
		}
	}
	wait := fleet.drain(width(spec), capacity*packing)
	if ceiling := c.policy[spec.Team].Ceiling.MilliCPU; ceiling > 0 {
		wait = max(wait, team.drain(width(spec), float64(ceiling)/1000))
	}
	return wait
}

// drain returns how long it takes until a number of cores is free beside the
// demand.
func (d demand) drain(cores, capacity float64) time.Duration {
	wanted := d.cores + min(cores, capacity)
	if capacity <= 0 || wanted <= capacity {
		return 0
	}
	return time.Duration(d.work / capacity * (wanted - capacity) / wanted * float64(time.Second))
}

// width returns the most cores that a step of the job takes.
func width(spec *docket.Job) float64 {
	widest := 0.0
	for i := range spec.Steps {
		st := &spec.Steps[i]
		if !st.Fills {
			widest = max(widest, float64(st.Count)*float64(st.Need.MilliCPU)/1000)
		}
	}
	return widest
}

// spread returns a time to come back, different for each job so that callers who
// were refused together do not return together.
func spread(id string, wait time.Duration) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	jitter := time.Duration(h.Sum32()%1000) * time.Millisecond
	return min(max(wait, minRetry)+jitter, maxRetry)
}

// withinRate reports whether the team has an allowance left for a job.
func (c *Cell) withinRate(name string) bool {
	rate := c.policy[name].Rate
	if rate <= 0 {
		return true
	}
	use := c.team(name)
	use.spent = min(use.spent+rate*(c.now.Steady-use.at).Seconds(), rate*rateWindow.Seconds())
	use.at = c.now.Steady
	return use.spent >= 1
}

// cancel cancels a job; it is told once the store holds it.
func (c *Cell) cancel(e Cancel) {
	j := c.jobs[e.ID]
	if j == nil {
		c.emit(Answer{Reply: e.Reply, Verdict: Unknown})
		return
	}
	if j.shown.Final() {
		c.emit(Answer{Reply: e.Reply, Verdict: Accepted, State: j.shown})
		return
	}
	c.conclude(j, docket.Cancelled)
	j.cancelWaits = append(j.cancelWaits, e.Reply)
	c.touch(j)
}

// estimateLoad sums what is left of the accepted jobs.
func (c *Cell) estimateLoad() {
	c.load = loadEstimate{running: map[string]demand{}, waiting: map[teamRank]demand{}, capacity: map[string]float64{}, listed: c.listedOnce}
	for _, w := range c.roll {
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

// addLoad adds what is left of a job to the estimate.
func (c *Cell) addLoad(j *job) {
	if c.load.running == nil {
		return // the next estimate counts it
	}
	length := c.lesson(j.Queue.Name)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if !s.done && !s.spec.Fills {
				c.addStep(s, length.actual(s.spec.Estimate).Seconds())
			}
		}
	}
}

// addStep adds what is left of a step whose tasks take the given seconds.
func (c *Cell) addStep(s *step, seconds float64) {
	j := s.job
	cores := float64(s.spec.Need.MilliCPU) / 1000
	var running, waiting demand
	for _, t := range s.tasks {
		switch {
		case t.done:
		case len(t.runs) > 0 && t.runs[0].w.silent(c.now.Steady):
			// What it may be using is no part of the capacity either.
		case len(t.runs) > 0:
			running.add(demand{work: seconds * cores * (1 - t.runs[0].share()), cores: cores})
		case s.ready || j.received == c.now.Steady:
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

// share returns which part of its work a run has done.
func (r *run) share() float64 { return min(1, max(0, float64(r.percent)/100)) }
