package cell

import (
	"slices"
	"time"

	"github.com/cowslipgap/cowslipgap/promise"
	"github.com/cowslipgap/cowslipgap/scarcity"
	"github.com/cowslipgap/cowslipgap/workload"
)

// This file decides on jobs that would miss their objective, and when their callers may
// return. It answers the load of callers that compete for too little room. A late job
// waits behind all that can be in time, and is of some use up to worthlessFactor times
// what its objective allows, counted from its first submission.

const (
	// lateAcceptFactor is the multiple of the time that an objective allows within
	// which a late job must be expected to end to be accepted. It leaves a third of
	// the time up to worthlessFactor for errors of the estimate.
	lateAcceptFactor = 2
	// reasonUseless is the reason of a refusal that no later submission can change.
	reasonUseless  = "it can no longer be of use"
	reasonLate     = "it would be late"
	reasonStoreOut = "the store does not answer"
)

// promisedDemand is the demand of the callers who are expected back.
type promisedDemand struct{ fleet, team scarcity.Demand }

// promisedAhead returns the demand of the refused callers that come before a job and
// are expected back by the given time.
func (c *Cell) promisedAhead(spec *workload.Job, firstSeen Instant, rank int, until Instant) promisedDemand {
	caller := promise.Caller{Job: spec.ID, Rank: rank, FirstSeen: firstSeen}
	var p promisedDemand
	ahead := func(team string) scarcity.Demand {
		work, cores := c.promises.Ahead(caller, team, c.now.Steady, until)
		return scarcity.Demand{Now: processors(cores), Work: processors(1000 * work)}
	}
	p.fleet = ahead("")
	if c.policy[spec.Team].Ceiling.MilliCPU > 0 {
		p.team = ahead(spec.Team)
	}
	return p
}

// outlastsRefusal reports whether a job is of the same use however long its caller was kept
// away: it is due later, or it lasts.
func outlastsRefusal(spec *workload.Job) bool {
	return spec.Repeat > 0 || slices.ContainsFunc(spec.Steps, func(s workload.Step) bool { return s.LongRunning })
}

// allowedTime returns the time from its first submission in which a job should be
// complete.
func allowedTime(spec *workload.Job, path time.Duration) time.Duration {
	return time.Duration(spec.Queue.Slack*float64(path)) + spec.Queue.Target
}

// decideLate decides on a job that would miss its objective. It is accepted, behind all
// that can be in time, if it is expected to end well before it is worthless. Otherwise
// it is refused.
func (c *Cell) decideLate(spec *workload.Job, r *admissionDecision) {
	path := c.queueStats(spec.Queue.Name).expectedDuration(criticalPath(spec))
	allowed := allowedTime(spec, path)
	elapsed := c.now.Steady - r.firstSeen
	excess := r.wait - max(0, r.slack)
	if wait, ok := c.lateWait(spec, *r, r.firstSeen+worthlessFactor*allowed); ok {
		excess = elapsed + wait + path - lateAcceptFactor*allowed
		if excess <= 0 {
			r.late, r.wait = true, wait
			return
		}
	}
	if outlastsRefusal(spec) {
		r.reason, r.retryAfter = reasonLate, retryDelay(spec.ID, excess)
		return
	}
	lastReturn := worthlessFactor*allowed - path - elapsed
	if lastReturn < minRetryDelay {
		r.reason, r.retryAfter = reasonUseless, maxRetryDelay
		return
	}
	r.reason = reasonLate
	r.retryAfter = min(retryDelay(spec.ID, excess), lastReturn.Truncate(time.Second))
}

// lateWait estimates how long a late job would wait behind all that can be in time. It
// reports false if the job is late for another reason than a lack of room, as it would
// use up what others wait for: commits or calls to the advice service.
func (c *Cell) lateWait(spec *workload.Job, r admissionDecision, until Instant) (time.Duration, bool) {
	if r.beyondRate || c.storeDelay() > 0 {
		return 0, false
	}
	rank := rankLate + spec.Queue.Priority
	if advice := spec.Queue.Advice; advice != nil && advice.Duration(1) >= longCall {
		if c.adviceQueueTime(rank) > max(0, r.slack) || c.hostsScarce() && classOf(advice, typicalCallWorkers) == longClass {
			return 0, false
		}
	}
	return max(c.expectedWait(spec, rank, c.promisedAhead(spec, r.firstSeen, rank, until)), c.trialWait(spec, rank)), true
}

// recordPromise records the return of a refused caller, or that one has been accepted.
func (c *Cell) recordPromise(spec *workload.Job, r admissionDecision) {
	switch r.reason {
	case "":
		c.promises.Redeem(spec.ID, c.now.Steady)
		if !r.late && !r.beyondRate {
			c.recordIntake(teamRank{spec.Team, r.rank}, c.jobWork(spec))
		}
	case reasonLate, reasonStoreOut, reasonUseless:
		c.promises.Redeem(spec.ID, c.now.Steady)
		if r.reason == reasonLate && !r.beyondRate {
			r.rank += rankLate // newcomers that can be in time do not wait for late jobs
		}
		c.promiseReturn(spec, r.firstSeen, r.rank, r.retryAfter)
	}
}

// promiseReturn records that the caller of a refused job was told to return after the
// given delay, which is sent in whole seconds.
func (c *Cell) promiseReturn(spec *workload.Job, firstSeen Instant, rank int, delay time.Duration) {
	path := c.queueStats(spec.Queue.Name).expectedDuration(criticalPath(spec))
	caller := promise.Caller{
		Job: spec.ID, Team: spec.Team, Rank: rank, FirstSeen: firstSeen,
		ReturnAt: c.now.Steady + delay.Round(time.Second),
		LastUse:  firstSeen + worthlessFactor*allowedTime(spec, path) - path,
	}
	if caller.ReturnAt <= caller.LastUse {
		caller.Cores = maxStepCores(spec)
		caller.Work = c.jobWork(spec)
	}
	c.promises.Refuse(caller, c.now.Steady)
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

// jobWork returns the work of one occurrence of a job, in core-seconds.
func (c *Cell) jobWork(spec *workload.Job) float64 {
	stats := c.queueStats(spec.Queue.Name)
	work := 0.0
	for i := range spec.Steps {
		st := &spec.Steps[i]
		if !st.UsesIdleCPU && !st.LongRunning {
			work += float64(st.Count) * float64(st.Need.MilliCPU) / 1000 * stats.expectedDuration(st.Estimate).Seconds()
		}
	}
	return work
}

// OutageDelay returns after which time the caller of a job should return when the store
// has not answered, or there has been no owner, for the given time. The job was first
// submitted at the given time relative to now, which is not positive.
func OutageDelay(spec *workload.Job, age time.Duration, firstSeen time.Duration) time.Duration {
	path := criticalPath(spec)
	return promise.OutageDelay(spec.ID, age, firstSeen+worthlessFactor*allowedTime(spec, path)-path)
}
