package cell

import (
	"time"

	"github.com/cowslipgap/cowslipgap/poison"
	"github.com/cowslipgap/cowslipgap/workload"
)

const (
	// suspectShare is the share of the workers at risk of a class that tries its suspects
	// while others wait for their first trial: each that fails it needs another.
	suspectShare = 0.5
	// maxTrialBacklog is the time for the trials of suspects and late tasks beyond which a
	// class accepts no new jobs, as what is accepted must run.
	maxTrialBacklog = 5 * time.Second
)

// This file shares the trials of a class that crashes workers, and estimates the wait for them:
// few of its untried tasks run at once, however much room there is.

// trialKind is a kind of task that may crash its worker.
type trialKind int

const (
	newTask  trialKind = iota // can be in time
	lateTask                  // can't
	suspect                   // its worker has crashed
)

// trialKey identifies the tasks of a kind that a class's limit holds for.
type trialKey struct {
	scope poison.Class
	kind  trialKind
}

// trialKey returns the kind of trial that a task of the given rank needs.
func (c *Cell) trialKey(t *task, rank int) trialKey {
	key := trialKey{kind: newTask}
	key.scope, _ = c.crashes.ledger.Scope(t.step.crashClass())
	switch {
	case t.crashRecord().Suspect:
		key.kind = suspect
	case rank >= rankLate:
		key.kind = lateTask
	}
	return key
}

// countRisk adds a worker on probation.
func (c *Cell) countRisk(key trialKey, weight float64) {
	state := &c.crashes
	if state.atRisk == nil {
		state.atRisk, state.suspectRisk = map[poison.Class]float64{}, map[poison.Class]float64{}
	}
	state.atRisk[key.scope] += weight
	if key.kind == suspect {
		state.suspectRisk[key.scope] += weight
	}
}

// hasTrialShare reports whether suspects, or the other tasks of a class, have part of their
// share of the limit left. While none of the others wait, they may use all of it.
func (c *Cell) hasTrialShare(key trialKey, limit float64) bool {
	suspects, untried := c.crashes.suspectRisk[key.scope], c.load.untried
	if key.kind == suspect {
		return untried[trialKey{key.scope, newTask}]+untried[trialKey{key.scope, lateTask}] == 0 || suspects < suspectShare*limit
	}
	return untried[trialKey{key.scope, suspect}] == 0 || c.crashes.atRisk[key.scope]-suspects < (1-suspectShare)*limit
}

// addTrials adds the waiting tasks of a step whose runs would be on probation to the load.
func (c *Cell) addTrials(s *step, rank int) {
	if c.crashesQuiet() {
		return
	}
	for _, t := range s.tasks {
		if !t.done && len(t.runs) == 0 && c.trialOf(t).needed {
			c.load.untried[c.trialKey(t, rank)]++
			if s.spec.Gang {
				return // its members are tried together
			}
		}
	}
}

// trialWait estimates how long the tasks of a job would wait for their trial.
func (c *Cell) trialWait(spec *workload.Job, rank int) time.Duration {
	if c.crashesQuiet() {
		return 0
	}
	scope, endangered := c.crashes.ledger.Scope(poison.Class{Queue: spec.Queue.Name, Team: spec.Team})
	if !endangered {
		return 0
	}
	untried := c.load.untried
	ahead, behind := untried[trialKey{scope, newTask}], untried[trialKey{scope, lateTask}]+untried[trialKey{scope, suspect}]
	for i := range spec.Steps {
		switch st := &spec.Steps[i]; {
		case len(st.DependsOn) > 0:
		case st.Gang:
			ahead++
		default:
			ahead += st.Count
		}
	}
	trialTime := func(tasks int) time.Duration {
		return c.crashes.ledger.TrialTime(scope, tasks, c.crashes.fleet[spec.Queue.Service])
	}
	if rank >= rankLate {
		return trialTime(ahead + behind)
	}
	return trialTime(ahead) + max(0, trialTime(behind)-maxTrialBacklog)
}
