package cell

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/cowslipgap/cowslipgap/poison"
)

const (
	// penaltyShared applies to workers with other runs, for a task whose run may crash its
	// worker; each of them adds penaltyBeside.
	penaltyShared = 6
	penaltyBeside = 0.1
	// penaltyGang applies to workers with a member of a gang, whose work would end everywhere.
	penaltyGang = 4
	// penaltyZone applies to workers outside the risk zone for tasks on probation, and to
	// those inside for others.
	penaltyZone = 2
	// riskZoneParts is the number of parts of the fleet of which one is the risk zone.
	riskZoneParts = 3
	// maxIdleRisk is the share of the workers that may be at risk while more than
	// minIdleShare of them are idle.
	maxIdleRisk  = 1.0 / 2
	minIdleShare = 1.0 / 4
	// minFreeShare is the share of the processors of usable workers that must be free for as
	// many workers to be at risk as the risk zone has.
	minFreeShare = 1.0 / 2
	// unbrokenMargin is how much longer than its probation a run must have gone on if only
	// a poll that is still unanswered shows that the worker lives.
	unbrokenMargin = 20 * time.Millisecond
)

// This file tries the tasks that may crash their workers where they can harm least: on a
// limited number of workers, one on each, with nothing else placed there meanwhile.

// probation is a run, or the members of a gang, on a worker that it may crash.
type probation struct {
	task     *task
	record   *crashRecord
	beside   []*task      // suspects of the same crash that are tried with the task
	scope    poison.Class // class whose limit it counts for
	need     time.Duration
	since    Instant
	shared   bool // a task that waited for too long was placed beside it, so that a crash proves nothing
	emptying bool // the task waits until nothing else runs on the worker
	kind     trialKind
}

// trial is how a task has to be placed for the sake of crashes. The zero value is a task of
// a fleet without crashes.
type trial struct {
	active bool // tasks of some class crash workers
	needed bool // its run is on probation
	alone  bool // nothing else may run on its worker
}

// inRiskZone reports whether a worker at the address belongs to the part of the fleet on
// which tasks are tried, so that few others are lost with it.
func inRiskZone(address string) bool {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(address)) // never fails
	return hash.Sum32()%riskZoneParts == 0
}

// crashesQuiet reports whether no task has crashed a worker of late.
func (c *Cell) crashesQuiet() bool {
	state := &c.crashes
	return len(state.recorded) == 0 && len(state.onProbation) == 0 && state.ledger.Quiet()
}

// trialOf returns how the task has to be placed.
func (c *Cell) trialOf(t *task) trial {
	if c.crashesQuiet() {
		return trial{}
	}
	record := t.crashRecord()
	_, endangered := c.crashes.ledger.Scope(t.step.crashClass())
	return trial{
		active: c.crashes.ledger.Endangered() > 0,
		needed: record.Suspect || record.Alone() || endangered && !record.tried,
		alone:  record.Alone() && !t.step.spec.Gang && !record.crowded,
	}
}

// penalty orders workers for a task; a lower one is better.
func (t trial) penalty(w *worker) float64 {
	penalty := 0.0
	switch {
	case t.needed && !w.riskZone, t.active && !t.needed && w.riskZone:
		penalty = penaltyZone
	}
	if t.needed && len(w.runs) > 0 {
		penalty += penaltyShared + penaltyBeside*float64(len(w.runs))
		for _, r := range w.runsByAge {
			if r.task.step.spec.Gang {
				return penalty + penaltyGang
			}
		}
	}
	return penalty
}

// mayCrash reports whether another run of the task may crash its worker, or this one may have
// done so.
func (c *Cell) mayCrash(r *run) bool {
	class := r.task.step.crashClass()
	if r.w.failing && c.crashes.ledger.Young(class, c.crashedAt(r.w)-r.sentAt) {
		return true
	}
	if c.crashesQuiet() {
		return false
	}
	_, endangered := c.crashes.ledger.Scope(class)
	return endangered || !r.task.crashRecord().Empty()
}

// mayTry reports whether the task may be placed beside those that are on probation, or has
// waited for that as long as it may.
func (c *Cell) mayTry(t *task) bool {
	if c.withinLimits(t) {
		return true
	}
	c.withhold(t)
	return c.overdue(t)
}

// withinLimits reports whether the limits on the workers at risk leave room for the task. The
// other tasks of a job that will likely be failed wait until that is known.
func (c *Cell) withinLimits(t *task) bool {
	if c.crashesQuiet() {
		return true
	}
	state := &c.crashes
	if state.accused[t.step.job] && !t.crashRecord().Suspect {
		return false
	}
	if !c.trialOf(t).needed {
		return true
	}
	scope, _ := state.ledger.Scope(t.step.crashClass())
	limit := c.trialLimit(scope, t.step.queue.Service)
	return state.atRisk[scope] < limit && c.hasTrialShare(c.trialKey(t, t.step.rank), limit)
}

// trialLimit returns how many workers of a service may be at risk for a class.
func (c *Cell) trialLimit(scope poison.Class, service string) float64 {
	state := &c.crashes
	workers := state.fleet[service]
	limit := float64(state.ledger.Limit(scope, workers))
	if float64(state.idle[service]) > minIdleShare*float64(workers) {
		return max(limit, maxIdleRisk*float64(workers))
	}
	if state.free[service] > minFreeShare {
		return max(limit, float64(workers)/riskZoneParts)
	}
	return limit
}

// startProbation puts a worker on probation for a run that was just placed there.
func (c *Cell) startProbation(t *task, w *worker) {
	if c.crashesQuiet() {
		return
	}
	needed := c.trialOf(t).needed
	switch p := w.probation; {
	case p == nil || p.emptying:
		if needed {
			c.putOnProbation(t, w, false)
			c.crashes.group = w
		}
	case p.record == t.crashRecord(): // another member of the gang
	case needed && w == c.crashes.group && p.since == c.now.Steady:
		p.beside = append(p.beside, t)
		p.need = max(p.need, c.crashes.ledger.Probation(t.step.crashClass(), &t.crashRecord().Record))
	default:
		p.shared = true
	}
}

func (c *Cell) putOnProbation(t *task, w *worker, emptying bool) {
	state, class, record, key := &c.crashes, t.step.crashClass(), t.crashRecord(), c.trialKey(t, t.step.rank)
	if w.probation == nil {
		state.onProbation = append(state.onProbation, w)
		c.countRisk(key, state.ledger.Weight(key.scope))
		state.idle[w.Service]--
	}
	w.probation = &probation{
		task: t, record: record, scope: key.scope, need: state.ledger.Probation(class, &record.Record), since: c.now.Steady,
		emptying: emptying, kind: key.kind,
	}
}

// emptyCandidate returns a worker without runs for a task that must run alone. If there is
// none, it keeps the one with the fewest runs until they have ended.
func (c *Cell) emptyCandidate(t *task, candidates []*candidate) *candidate {
	for _, w := range c.crashes.onProbation {
		if p := w.probation; p != nil && p.emptying && p.record == t.crashRecord() {
			if len(w.runs) > 0 || w.candidate == nil || !t.step.mayUse(w, c.now.Steady) {
				return nil
			}
			return w.candidate
		}
	}
	var best *candidate
	for _, cand := range candidates {
		if cand.w.probation != nil || t.step.room(cand.w, cand.free) == 0 {
			continue
		}
		if best == nil || len(cand.w.runs) < len(best.w.runs) {
			best = cand
		}
	}
	if best != nil && len(best.w.runs) > 0 {
		c.putOnProbation(t, best.w, true)
		return nil
	}
	return best
}

// checkProbations ends the probations that are over, and counts the workers at risk.
func (c *Cell) checkProbations() {
	if c.crashesQuiet() {
		c.crashes.riskAt = c.now.Steady
		return
	}
	state := &c.crashes
	state.fleet, state.idle, state.accused = map[string]int{}, map[string]int{}, map[*job]bool{}
	suspectsOf := map[string]int{}
	capacity, used := map[string]int64{}, map[string]int64{}
	for _, w := range c.sortedWorkers {
		if !w.listed {
			continue
		}
		state.fleet[w.Service]++
		if !w.usable(c.now.Steady) {
			continue
		}
		if len(w.runs) == 0 && w.probation == nil {
			state.idle[w.Service]++
		}
		capacity[w.Service] += w.Capacity.MilliCPU
		used[w.Service] += w.used.MilliCPU
	}
	state.free = map[string]float64{}
	for service, n := range capacity {
		if n > 0 {
			state.free[service] = 1 - float64(used[service])/float64(n)
		}
	}
	for record, t := range state.recorded {
		if record.Suspect && record.Proofs > 0 {
			state.accused[t.step.job] = true
		}
		if t.mayShareTrial() {
			suspectsOf[record.LastWorker()]++
		}
	}
	for worker, n := range suspectsOf {
		suspectsOf[worker] = max(n, state.suspectsOf[worker])
	}
	state.suspectsOf = suspectsOf
	for scope, n := range state.atRisk {
		state.ledger.Spend(scope, n, c.now.Steady-state.riskAt)
	}
	state.riskAt = c.now.Steady
	clear(state.atRisk)
	clear(state.suspectRisk)
	state.onProbation = slices.DeleteFunc(state.onProbation, func(w *worker) bool {
		if c.workers[w.ID] != w || w.probation == nil || c.probationOver(w) {
			w.probation = nil
			return true
		}
		weight := 1.0
		if !w.failing {
			weight = state.ledger.Weight(w.probation.scope)
		}
		c.countRisk(trialKey{w.probation.scope, w.probation.kind}, weight)
		return false
	})
}

// probationOver reports whether the run on probation has ended or gone on for long enough.
// A worker that has failed stays at risk until it is known whether it crashed.
func (c *Cell) probationOver(w *worker) bool {
	p := w.probation
	if w.failing || len(w.lost) > 0 {
		return len(w.runs) == 0
	}
	for _, t := range p.group() {
		if t.over() || w.runs[t.name] == nil {
			p.remove(t)
		}
	}
	if p.task.step.job.spec == nil || p.task.step.done {
		return true
	}
	if p.emptying {
		p.record.crowded = c.overdue(p.task) // what runs there may last
		return p.record.crowded || p.task.done || !p.record.Alone()
	}
	if !slices.ContainsFunc(p.task.unit(), func(t *task) bool { return w.runs[t.name] != nil }) {
		return true
	}
	age := poison.LongLife
	for _, t := range slices.Concat(p.task.unit(), p.beside) {
		for _, r := range t.runs {
			age = min(age, c.seenFor(r))
		}
	}
	if age < p.need {
		return false
	}
	c.survived(p.task, age)
	for _, t := range p.beside {
		c.survived(t, age)
	}
	return true
}

// unit returns the tasks that share the task's record.
func (t *task) unit() []*task {
	if t.step.spec.Gang {
		return t.step.tasks
	}
	return t.step.tasks[t.index : t.index+1]
}

// seenFor returns how long a run is known to have gone on.
func (c *Cell) seenFor(r *run) time.Duration {
	if r.state != running {
		return 0
	}
	seen := r.w.answeredAt - r.confirmedAt
	if r.w.pollInFlight {
		seen = max(seen, c.now.Steady-r.confirmedAt-unbrokenMargin)
	}
	return max(0, seen)
}

// survived clears a task whose run did not crash its worker within the given time.
func (c *Cell) survived(t *task, age time.Duration) {
	record := t.crashRecord()
	record.tried = true
	c.crashes.ledger.Survived(t.step.crashClass())
	if !record.Empty() {
		if !t.step.spec.Gang {
			record.Outlived(age)
		}
		record.Clear(age)
		c.markTaskDirty(t)
	}
}

// noteBegun records when a gang with crashes has begun: it works once all members are there.
func (c *Cell) noteBegun(r *run) {
	s := r.task.step
	if !s.spec.Gang || s.crashes.Empty() {
		return
	}
	for _, t := range s.tasks {
		if !slices.ContainsFunc(t.runs, func(other *run) bool { return other.number == r.number && other.state == running }) {
			return
		}
	}
	s.begunRun, s.begunAt = r.number, r.confirmedAt
}

// noteOutlived takes back the crashes of a task that a run of it, which has ended, disproves.
func (c *Cell) noteOutlived(r *run) {
	s, record := r.task.step, r.task.crashRecord()
	switch {
	case record.Empty() || r.confirmedAt == 0:
	case !s.spec.Gang:
		record.Outlived(r.aliveAt - r.confirmedAt)
	case r.number == s.begunRun:
		record.MemberOutlived(r.task.index, r.aliveAt-max(s.begunAt, r.confirmedAt))
	}
}

// runEnded clears the task of a run that has ended by itself.
func (c *Cell) runEnded(r *run, outcome RunOutcome) {
	if c.crashesQuiet() || outcome != Done && outcome != Failed || r.task.step.job.spec == nil {
		return
	}
	if p := r.w.probation; p != nil && p.tries(r.task.crashRecord()) {
		if p.last() {
			r.w.probation = nil
		} else {
			p.remove(r.task)
		}
		c.survived(r.task, 0)
	}
}

// mayUse reports whether a task of the step may start on an empty worker.
func (s *step) mayUse(w *worker, now Instant) bool {
	return s.need().Fits(w.Capacity) && s.advice.startAllowed(w, now) && w.hasLabel(s.spec.Label)
}

// onProbationForOther reports whether the worker is on probation for another task than those
// of the gang.
func (w *worker) onProbationForOther(s *step) bool {
	return w.probation != nil && w.probation.record != &s.crashes
}
