package cell

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cowslipgap/cowslipgap/workload"
)

const (
	simCrashDelay = 10 * time.Millisecond   // from the start of a guilty task to the crash of its worker
	simDownTime   = 3 * time.Second         // a crashed worker is back after this
	simDownSpread = 500 * time.Millisecond  // or up to this later
	simEntryTime  = 1200 * time.Millisecond // its entry expires
	// simCrashLimit and simExtraStarts are the limits of BUDGET: the last start of
	// simExtraStarts after simCrashLimit workers have crashed under a guilty task.
	simCrashLimit  = 3
	simExtraStarts = 3
	// simCrashesToFail is how many workers must have crashed under a task for its job to be
	// shown as failed.
	simCrashesToFail = 2
)

// simCrashes holds the tasks that crash their workers, and what has come of it.
type simCrashes struct {
	guilty      map[string]time.Duration   // time from the start to the crash, by task or job
	sameID      bool                       // crashed workers are back under their IDs
	downTime    time.Duration              // a crashed worker is back after this, if longer than simDownTime
	crashedWith map[string]map[string]bool // incarnations of workers that crashed under a task
	starts      map[string]int             // of guilty tasks
	lateStarts  map[string]int             // of these, after simCrashLimit crashes
	byTasks     int                        // crashes that guilty tasks brought about
	backAt      Instant                    // when the last crashed worker was back
	onCrash     func()                     // called after a guilty task has crashed a worker, if set
	answerLost  func(e Commit) bool        // reports whether the owner gets no answer to a stored commit, if set
	hitAt       map[string]Instant         // when a worker last crashed under a job
	innocent    []string                   // jobs that were failed although none of their tasks is guilty
}

// markGuilty makes a task, or all tasks of a job, crash the workers that start them.
func (f *simFleet) markGuilty(taskOrJob string) {
	if f.crashes.guilty == nil {
		f.crashes.guilty, f.crashes.starts, f.crashes.lateStarts = map[string]time.Duration{}, map[string]int{}, map[string]int{}
	}
	f.crashes.guilty[taskOrJob] = simCrashDelay
}

// crashDelay returns the time from the start of a task to the crash that it brings about.
func (f *simFleet) crashDelay(id workload.TaskID) (time.Duration, bool) {
	if d, guilty := f.crashes.guilty[id.String()]; guilty {
		return d, true
	}
	d, guilty := f.crashes.guilty[id.Job]
	return d, guilty
}

// hasGuiltyTask reports whether a task of the job crashes its workers.
func (f *simFleet) hasGuiltyTask(j *simJob) bool {
	for name := range j.actual {
		if id, err := workload.ParseTaskID(name); err == nil {
			if _, guilty := f.crashDelay(id); guilty {
				return true
			}
		}
	}
	return false
}

// startGuilty checks the start of a task against BUDGET and, if the task is guilty,
// crashes its worker.
func (f *simFleet) startGuilty(w *simWorker, name string, r *simRun) {
	delay, guilty := f.crashDelay(r.task)
	if !guilty {
		return
	}
	f.crashes.starts[name]++
	if len(f.crashes.crashedWith[name]) >= simCrashLimit {
		if f.crashes.lateStarts[name]++; f.crashes.lateStarts[name] >= simExtraStarts {
			f.violate("BUDGET", "task %s is started %d times more after %d workers crashed under it", name, f.crashes.lateStarts[name], simCrashLimit)
		}
	}
	f.after(delay, func() {
		if w.runs[name] == r && !w.gone {
			f.crashes.byTasks++
			f.crashWorker(w)
			if f.crashes.onCrash != nil {
				f.crashes.onCrash()
			}
		}
	})
}

// crashWorker ends all runs of a worker. Its connections break and are refused until
// another incarnation answers at its address, under its ID or another one.
func (f *simFleet) crashWorker(w *simWorker) {
	if w.gone || w.refuses {
		return
	}
	if f.crashes.crashedWith == nil {
		f.crashes.crashedWith, f.crashes.hitAt = map[string]map[string]bool{}, map[string]Instant{}
	}
	for name, r := range inOrder(w.runs) {
		if f.crashes.crashedWith[name] == nil {
			f.crashes.crashedWith[name] = map[string]bool{}
		}
		f.crashes.crashedWith[name][w.info.ID+" "+w.ticket()] = true
		f.crashes.hitAt[r.task.Job] = f.now
		f.wastedCoreSeconds += (f.now - r.startedAt).Seconds() * float64(r.need.MilliCPU) / 1000
	}
	f.after(simEntryTime, func() { w.gone = w.gone || w.refuses })
	f.replaceWorker(w, max(simDownTime, f.crashes.downTime)+time.Duration(f.rng.Int64N(int64(simDownSpread))), f.crashes.sameID)
}

// leave ends a worker that has drained, and all its runs. It is replaced after the given
// time.
func (f *simFleet) leave(w *simWorker, after time.Duration, sameID bool) {
	f.replaceWorker(w, after, sameID)
	w.gone = true
}

// replaceWorker ends a worker with all its runs. After the given time, another incarnation
// answers at its address.
func (f *simFleet) replaceWorker(w *simWorker, after time.Duration, sameID bool) {
	startedAt := w.info.StartedAt
	f.restartWorker(w)
	w.info.StartedAt = startedAt // its entry stays as it was
	w.refuses, w.lease, w.pendingPoll = true, 0, nil
	if fail := w.failPoll; fail != nil {
		w.failPoll = nil
		fail()
	}
	f.after(after, func() {
		info := w.info
		info.StartedAt, info.Draining = f.now.Milliseconds(), false
		f.crashes.backAt = f.now
		if sameID {
			w.refuses, w.gone, w.info = false, false, info
			return
		}
		w.refuses, w.replaced, w.gone = false, true, true
		info.ID = fmt.Sprintf("%s-%d", info.Addr, info.StartedAt)
		f.workers[info.ID] = &simWorker{info: info, speed: w.speed, runs: map[string]*simRun{}, highestBarredRun: map[string]uint64{}}
	})
}

// crashWorkers crashes the workers for which the function holds, all at the same moment.
func (f *simFleet) crashWorkers(affected func(info WorkerInfo) bool) {
	for _, id := range slices.Sorted(maps.Keys(f.workers)) {
		if w := f.workers[id]; affected(w.info) {
			f.crashWorker(w)
		}
	}
}

// checkFailed checks that a job that is shown as failed may be failed.
func (f *simFleet) checkFailed(j *simJob) {
	if j.failedRuns >= j.spec.Queue.MaxAttempts {
		return
	}
	if !f.hasGuiltyTask(j) {
		f.crashes.innocent = append(f.crashes.innocent, j.spec.ID)
	}
	for name := range j.actual {
		if len(f.crashes.crashedWith[name]) >= simCrashesToFail {
			return
		}
	}
	f.violate("LOST", "job %s is failed without cause", j.spec.ID)
}
