package cell

import (
	"slices"
	"time"
)

// maxSuspectWait is the time for the trials of the suspects of one crash beyond which
// several are tried on a worker at once.
const maxSuspectWait = 3 * time.Second

// This file tries the suspects of a crash under many tasks in groups, as few of them can be
// guilty. A crash under a group names none, but its tasks have then crashed twice after like
// times and are tried one by one.

// mayShareTrial reports whether the task is a suspect that no earlier crash makes likelier than
// the others of its last one.
func (t *task) mayShareTrial() bool {
	record := t.crashRecord()
	return record.Suspect && record.Proofs == 0 && !record.Alone() && !record.Repeated() && !t.step.spec.Gang
}

// groupSize returns how many suspects of the task's last crash are tried on a worker at once.
func (c *Cell) groupSize(t *task) int {
	state, class, record := &c.crashes, t.step.crashClass(), t.crashRecord()
	scope, _ := state.ledger.Scope(class)
	service := t.step.queue.Service
	workers := min(float64(state.fleet[service]), c.trialLimit(scope, service)/state.ledger.Weight(scope))
	wait := float64(state.suspectsOf[record.LastWorker()]) * state.ledger.Probation(class, &record.Record).Seconds() / max(1, workers)
	return 1 + int(wait/maxSuspectWait.Seconds())
}

// groupCandidate returns the worker on which other suspects of the task's crash were placed in
// this round, if it may be tried with them.
func (c *Cell) groupCandidate(t *task, candidates []*candidate) *candidate {
	w := c.crashes.group
	if w == nil || w.probation == nil || w.probation.since != c.now.Steady || !t.mayShareTrial() {
		return nil
	}
	p, record, s := w.probation, t.crashRecord(), t.step
	if !p.task.mayShareTrial() || p.record.LastWorker() != record.LastWorker() || p.kind != suspect || 1+len(p.beside) >= c.groupSize(t) {
		return nil
	}
	if scope, _ := c.crashes.ledger.Scope(s.crashClass()); scope != p.scope {
		return nil
	}
	if !slices.Contains(candidates, w.candidate) || s.room(w, w.candidate.free) == 0 {
		return nil
	}
	return w.candidate
}

// group returns the tasks that are tried together, none if it is one task or a gang.
func (p *probation) group() []*task {
	if len(p.beside) == 0 {
		return nil
	}
	return append([]*task{p.task}, p.beside...)
}

// tries reports whether the task of the record is on probation.
func (p *probation) tries(record *crashRecord) bool {
	return p.record == record || slices.ContainsFunc(p.beside, func(t *task) bool { return t.crashRecord() == record })
}

// last reports whether no other task is tried with that of the probation.
func (p *probation) last() bool { return len(p.beside) == 0 }

// remove takes a task out of a group of several.
func (p *probation) remove(t *task) {
	if p.last() {
		return
	}
	if t == p.task {
		p.task, p.beside = p.beside[0], p.beside[1:]
		p.record = p.task.crashRecord()
		return
	}
	p.beside = slices.DeleteFunc(p.beside, func(other *task) bool { return other == t })
}
