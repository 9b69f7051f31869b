package cell

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cowslipgap/cowslipgap/poison"
	"github.com/cowslipgap/cowslipgap/workload"
)

const (
	// failureSettling is how long a worker fails before it counts as one that may have
	// crashed, so that the others that fail at the same moment are known.
	failureSettling = 200 * time.Millisecond
	// massWindow is the time within which crashes count as simultaneous.
	massWindow = 150 * time.Millisecond
	// massCount and massShare are how many other workers, at least and as a share of all,
	// make a crash one of many.
	massCount = 3
	massShare = 1.0 / 12
	// massCleanCount is how many of them are enough if no run can have crashed them, and
	// massRackCount how many in the same rack.
	massCleanCount = 2
	massRackCount  = 2
	// massAllShare is the share of all workers that is enough even if each has one run of an
	// untried task on probation.
	massAllShare = 1.0 / 6
	// crashMemory is how long crashes are compared with later ones that are noticed.
	crashMemory = 10 * time.Second
	// endedYoung is the age up to which a run of an ended job may be the cause of a crash.
	endedYoung = time.Second
	// maxLoggedWorkers bounds the workers that a reason names.
	maxLoggedWorkers = 5
)

// This file tells crashes of workers from lapses, records them with the tasks that ran
// there, and fails the jobs of tasks that crash workers. Only a worker that is back with
// another start, or replaced by another at its address, has crashed, and only if it wasn't
// draining.

// crashState is what is known of crashes since the claim. The crashes of each task are in
// its record, which is stored with the job.
type crashState struct {
	ledger      poison.Ledger
	recorded    map[*crashRecord]*task // tasks, and first members of gangs, with crashes
	past        []pastCrash            // of the last crashMemory
	onProbation []*worker
	atRisk      map[poison.Class]float64 // workers on probation, by the class that limits them
	suspectRisk map[poison.Class]float64 // of these, with a suspect
	riskAt      Instant                  // when atRisk was last counted
	fleet       map[string]int           // listed workers, by service
	idle        map[string]int           // of these, usable ones without runs
	free        map[string]float64       // share of the processors of usable workers, by service
	accused     map[*job]bool            // jobs with a task that was named by a crash
	suspectsOf  map[string]int           // tasks that one crash made suspects, by its worker, until all are tried
	group       *worker                  // the last on which several of them are tried together
	lapsed      map[string]*lapse        // by address, of the last lapseMemory
}

// crashRecord is what is known of a task, or of a gang, whose worker crashed.
type crashRecord struct {
	poison.Record
	tried   bool // a run has gone on for longer than crashes take
	crowded bool // no worker became empty for it in time
}

// pastCrash is a crash of a worker that is gone.
type pastCrash struct {
	worker, rack string
	at           Instant
	exact        bool // one run on probation was on it
	expected     bool // that run's task had crashed a worker before
	clean        bool // no run can have caused it
}

// lostRun is a run that a crash may have ended.
type lostRun struct {
	t         *task
	run       *run   // nil: of an earlier owner
	number    uint64 // 0: not known
	age       time.Duration
	probation bool
	begun     bool // its worker has confirmed it
}

// crashRecord returns the record of the task's crashes, or of its gang's.
func (t *task) crashRecord() *crashRecord {
	if t.step.spec.Gang {
		return &t.step.crashes
	}
	return &t.crashes
}

// crashClass returns the class that the step's crashes count for.
func (s *step) crashClass() poison.Class {
	return poison.Class{Queue: s.queue.Name, Team: s.job.team()}
}

// noteContact records when a worker began to fail, after a call to it.
func (c *Cell) noteContact(worker string) {
	w := c.workers[worker]
	switch {
	case w == nil:
	case w.failing && (w.failingAt == 0 || w.answers):
		w.failingAt, w.failureNoted, w.answers = c.now.Steady, false, false
	case !w.failing && w.failingAt > 0 && w.reportedAt < w.failingAt:
		w.answers = true // maybe in its next life, which only a report tells
	case !w.failing && w.failingAt > 0:
		w.failingAt, w.answers = 0, false
		if w.failureNoted {
			c.crashes.ledger.Withdraw(w.ID)
		}
	}
}

// crashedAt returns when a worker that has crashed did, as seen from this host.
func (c *Cell) crashedAt(w *worker) Instant {
	if w.failingAt > 0 {
		return w.failingAt
	}
	return c.now.Steady
}

// lostRuns returns the runs that a crash of the worker ends. A start that was sent after
// the worker began to fail has not run.
func (c *Cell) lostRuns(w *worker) []lostRun {
	at := c.crashedAt(w)
	w.lostOthers = false
	var list []lostRun
	for _, r := range w.runsBeforeFailure() {
		if r.state == placing || r.sentAt > at || r.crashed {
			continue
		}
		if r.task.over() {
			w.lostOthers = w.lostOthers || at-r.sentAt < endedYoung
			continue
		}
		onProbation := w.probation != nil && w.probation.tries(r.task.crashRecord()) && !w.probation.shared
		list = append(list, lostRun{t: r.task, run: r, number: r.number, age: max(1, at-r.sentAt), probation: onProbation, begun: r.confirmedAt > 0})
	}
	slices.SortFunc(list, func(a, b lostRun) int { return cmp.Compare(a.t.name, b.t.name) })
	return list
}

// over reports whether the task, or its job, has ended.
func (t *task) over() bool { return t.done || t.step.job.progress.State.Final() }

// runsBeforeFailure returns the worker's runs and those that were dropped since its last
// report, because they had certainly ended.
func (w *worker) runsBeforeFailure() []*run {
	return slices.Concat(w.runsByAge, w.ended)
}

// noteRestart keeps the runs of a worker that has restarted until its report shows which
// of them it still has.
func (c *Cell) noteRestart(w *worker) {
	if w.lost == nil && !w.leaving() {
		w.lost = c.lostRuns(w)
	}
}

// recordRestart records the crash of a worker that has restarted, and of one that has
// restarted since an earlier owner placed tasks there.
func (c *Cell) recordRestart(w *worker, report Report) {
	c.settleLapse(WorkerInfo{ID: w.ID, Addr: w.Addr, StartedAt: report.StartedAt})
	if len(w.lost) == 0 && len(c.held[w.ID]) == 0 {
		return
	}
	lost := slices.DeleteFunc(w.lost, func(l lostRun) bool {
		if l.t.over() { // since the restart
			w.lostOthers = w.lostOthers || l.age < endedYoung
			return true
		}
		return slices.ContainsFunc(report.Running, func(e RunningTask) bool { return e.Task == l.t.name && e.Run == l.number }) ||
			slices.ContainsFunc(report.Ended, func(e RunResult) bool { return e.Task == l.t.name && e.Run == l.number })
	})
	w.lost = nil
	for _, held := range c.heldRuns(w) {
		ended := slices.ContainsFunc(report.Ended, func(e RunResult) bool { return e.Task == held.t.name })
		if w.StartedAt > 0 && w.StartedAt != held.t.heldSince && !ended {
			lost = append(lost, held)
		}
	}
	c.recordCrash(w, lost)
}

// recordReplaced records the crash of a worker at whose address another one answers.
func (c *Cell) recordReplaced(w *worker) {
	if !w.leaving() {
		c.recordCrash(w, append(c.lostRuns(w), c.heldRuns(w)...))
	}
}

// heldRuns returns the runs that an earlier owner placed on the worker in a known
// incarnation, and that have not been seen since. Their ages are not known.
func (c *Cell) heldRuns(w *worker) []lostRun {
	var list []lostRun
	for _, t := range c.held[w.ID] {
		if !w.leaving() && t.heldFor == w.ID && t.heldSince > 0 && !t.over() {
			list = append(list, lostRun{t: t})
		}
	}
	return list
}

// recordCrash records the crash of a worker and the runs that it ended.
func (c *Cell) recordCrash(w *worker, lost []lostRun) {
	at := c.crashedAt(w)
	if len(lost) == 0 {
		return
	}
	for _, l := range lost {
		if l.run != nil {
			l.run.crashed = true
		}
	}
	crash, tasks := c.crashOf(w, at, lost)
	youngest := time.Duration(0)
	for i, run := range crash.Runs {
		if i == 0 || run.Age < youngest {
			youngest = run.Age
		}
	}
	c.crashes.past = append(c.crashes.past, c.pastCrash(w, crash))
	findings := c.crashes.ledger.Judge(crash)
	c.logInfo("worker crashed", slog.String("worker", w.ID), slog.Int("runs", len(lost)), slog.Duration("youngest", youngest),
		slog.String("classes", classNames(crash.Runs)), slog.Bool("beside", crash.Mass),
		slog.Float64("chance", c.crashes.ledger.Chance(w.ID)))
	for i, finding := range findings {
		c.applyFinding(w, tasks[i], crash.Runs[i], finding)
	}
}

// crashOf returns the crash of a worker and the tasks of its runs.
func (c *Cell) crashOf(w *worker, at Instant, lost []lostRun) (poison.Crash, []*task) {
	runs, tasks := crashRuns(lost)
	return poison.Crash{Worker: w.ID, Address: w.Addr, At: at, Mass: c.massCrash(w, at), Others: w.lostOthers, Runs: runs}, tasks
}

// crashRuns returns one run for each task or gang, the youngest of its members, and their
// tasks.
func crashRuns(lost []lostRun) ([]poison.Run, []*task) {
	var runs []poison.Run
	var tasks []*task
	for _, l := range lost {
		record := &l.t.crashRecord().Record
		if i := slices.IndexFunc(runs, func(run poison.Run) bool { return run.Record == record }); i >= 0 {
			runs[i].Age = min(runs[i].Age, l.age)
			runs[i].Members = append(runs[i].Members, l.t.index)
			continue
		}
		run := poison.Run{Record: record, Class: l.t.step.crashClass(), Number: l.number, Age: l.age, Probation: l.probation, Begun: l.begun}
		if l.t.step.spec.Gang {
			run.Gang, run.Members = true, []int{l.t.index}
		}
		runs = append(runs, run)
		tasks = append(tasks, l.t)
	}
	return runs, tasks
}

// applyFinding applies what a crash says of a task.
func (c *Cell) applyFinding(w *worker, t *task, run poison.Run, finding poison.Finding) {
	record, j := t.crashRecord(), t.step.job
	if run.Age > c.crashes.ledger.Probation(run.Class, &poison.Record{}) {
		record.tried = true
	}
	c.noteRecord(t)
	if !record.Empty() {
		c.markTaskDirty(t)
	}
	if finding == poison.Unsuspected || j.progress.State.Final() {
		return
	}
	t.avoidWorker(w)
	c.logInfo("run suspected", slog.String("task", t.name), slog.Uint64("run", run.Number), slog.String("worker", w.ID),
		slog.Duration("age", run.Age), slog.Int("crashes", len(record.Workers)), slog.Int("proofs", record.Proofs))
	if finding == poison.Guilty {
		c.failByCrashes(t)
	}
}

// failByCrashes fails the job of a task that crashes the workers that start it.
func (c *Cell) failByCrashes(t *task) {
	j, record := t.step.job, t.crashRecord()
	workers := strings.Join(record.Workers[:min(len(record.Workers), maxLoggedWorkers)], ", ")
	j.progress.Reason = fmt.Sprintf("task %s crashed the workers that started it: %s", t.name, workers)
	c.logInfo("job failed by crashes", slog.String("id", j.id), slog.String("task", t.name), slog.String("workers", workers), slog.Int("proofs", record.Proofs))
	c.crashes.ledger.GivenUp(t.step.crashClass())
	c.setFinalState(j, workload.Failed)
	c.stopJob(j)
}

// recallSuspects takes the stored suspects of a job as evidence against its class.
func (c *Cell) recallSuspects(j *job) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if record := t.crashRecord(); !s.done && (!s.spec.Gang || t.index == 0) {
					c.crashes.ledger.Recall(s.crashClass(), &record.Record, c.now.Steady)
				}
			}
		}
	}
}

// noteRecord remembers a task with crashes.
func (c *Cell) noteRecord(t *task) {
	record := t.crashRecord()
	if record.Empty() || t.done {
		return
	}
	if c.crashes.recorded == nil {
		c.crashes.recorded = map[*crashRecord]*task{}
	}
	if c.crashes.recorded[record] == nil {
		c.crashes.recorded[record] = t
	}
}

// pastCrash returns what later crashes are compared with.
func (c *Cell) pastCrash(w *worker, crash poison.Crash) pastCrash {
	past := pastCrash{worker: w.ID, rack: w.Rack, at: crash.At, clean: !crash.Others}
	for _, run := range crash.Runs {
		past.exact = past.exact || run.Probation
		past.expected = past.expected || run.Probation && run.Suspect
		past.clean = past.clean && !run.Probation && !c.crashes.ledger.Young(run.Class, run.Age)
	}
	return past
}

// massCrash reports whether so many other workers failed at the same moment that it was
// not for what ran on this one.
func (c *Cell) massCrash(w *worker, at Instant) bool {
	all, others, clean, onRack := 0, 0, 0, 0
	count := func(other pastCrash) {
		if d := other.at - at; other.worker == w.ID || other.expected || d > massWindow || d < -massWindow {
			return
		}
		all++
		if other.exact {
			return
		}
		others++
		if other.clean {
			clean++
		}
		if other.rack == w.Rack && w.Rack != "" {
			onRack++
		}
	}
	for _, past := range c.pastCrashes() {
		count(past)
	}
	for _, o := range c.sortedWorkers {
		if o.failing && o.failingAt > 0 && len(o.runs)+len(o.ended) > 0 {
			if lost := c.lostRuns(o); len(lost) > 0 {
				runs, _ := crashRuns(lost)
				count(c.pastCrash(o, poison.Crash{At: o.failingAt, Others: o.lostOthers, Runs: runs}))
			}
		}
	}
	share := func(share float64) int { return max(massCount, int(share*float64(len(c.workers)))) }
	return clean >= massCleanCount || onRack >= massRackCount || others >= share(massShare) || all >= share(massAllShare)
}

// checkCrashes takes workers that have failed for a moment as evidence, and forgets what is
// past.
func (c *Cell) checkCrashes() {
	now, state := c.now.Steady, &c.crashes
	for _, w := range c.sortedWorkers {
		if w.failing && w.failingAt > 0 && !w.failureNoted && now-w.failingAt >= failureSettling {
			w.failureNoted = true
			if lost := c.lostRuns(w); len(lost) > 0 && !w.Draining {
				crash, _ := c.crashOf(w, w.failingAt, lost)
				state.ledger.Suspect(crash)
			}
		}
	}
	maps.DeleteFunc(state.lapsed, func(_ string, l *lapse) bool { return now-l.past.at > lapseMemory })
	state.past = slices.DeleteFunc(state.past, func(p pastCrash) bool { return now-p.at > crashMemory })
	state.ledger.Expire(now)
	for record, t := range state.recorded {
		if record.Empty() || t.done || t.step.done || t.step.job.spec == nil {
			delete(state.recorded, record)
		}
	}
}

// suspects returns the number of tasks, or gangs, whose next run is on probation.
func (c *Cell) suspects() int {
	n := 0
	for record := range c.crashes.recorded {
		if record.Suspect {
			n++
		}
	}
	return n
}

// classNames returns the classes of the runs on a worker for the log.
func classNames(runs []poison.Run) string {
	var names []string
	for _, run := range runs {
		names = append(names, run.Queue+"/"+run.Team)
	}
	slices.Sort(names)
	return strings.Join(slices.Compact(names), " ")
}
