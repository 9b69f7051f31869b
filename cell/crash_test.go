package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/poison"
	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/workload"
)

const crashedJob = "dd00000000000001"

// crashCell drives a cell with one job of one task directly.
type crashCell struct {
	*Cell
	t       *testing.T
	clock   Clock
	stored  map[string]*workload.Progress
	starts  []Start
	workers []WorkerInfo
}

// newCrashCell returns a cell that has claimed the given jobs and has the given workers,
// which have started at 1.
func newCrashCell(t *testing.T, jobs []StoredJob, workers ...string) *crashCell {
	c := &crashCell{Cell: New(Config{MaxLease: simMaxLease, StatusRetention: time.Minute}), t: t,
		clock: Clock{Steady: time.Hour, Wall: time.Unix(1_700_000_000, 0)}, stored: map[string]*workload.Progress{}}
	var refs []WorkerRef
	for _, id := range workers {
		c.workers = append(c.workers, WorkerInfo{ID: id, Addr: id, Service: "s", Capacity: resource.Vector{MilliCPU: 32000, MemoryMB: 64000}, StartedAt: 1})
		refs = append(refs, WorkerRef{ID: id, Addr: id, Service: "s"})
	}
	c.send(Policy{Teams: map[string]Team{"blue": {Rate: 10}}})
	c.send(Claimed{Token: 9, Sent: c.clock.Steady, Previous: len(jobs) > 0, Jobs: jobs, Workers: refs})
	c.send(Listed{Workers: c.workers})
	return c
}

func crashedSpec() *workload.Job {
	spec := lookupJob(crashedJob)
	spec.Queue.Advice, spec.Steps[0].Count = nil, 1
	return spec
}

// send applies an event, confirms commits at once and keeps the starts.
func (c *crashCell) send(event any) {
	for _, effect := range append([]any(nil), c.Update(c.clock, event)...) {
		switch e := effect.(type) {
		case Commit:
			for _, row := range e.Puts {
				if row.Table == Progress {
					p, err := workload.DecodeProgress(row.Value)
					require.NoError(c.t, err)
					c.stored[row.Key] = p
				}
			}
			c.send(Committed{Seq: e.Seq, Sent: c.clock.Steady})
		case Start:
			c.starts = append(c.starts, e)
		}
	}
}

// round lets time pass and runs a placement round.
func (c *crashCell) round() {
	c.clock.Steady += 300 * time.Millisecond
	c.send(PlacementRound{})
}

// report answers a poll of a worker that started at the given time.
func (c *crashCell) report(w string, startedAt int64, running ...RunningTask) {
	c.clock.Steady += time.Millisecond
	c.send(PollResult{Worker: w, Sent: c.clock.Steady, Received: c.clock.Steady, Report: Report{StartedAt: startedAt, Clock: c.clock.Steady, Running: running}})
}

// relist lists a worker in the life that started at the given time.
func (c *crashCell) relist(w string, startedAt int64) {
	for i := range c.workers {
		if c.workers[i].ID == w {
			c.workers[i].StartedAt = startedAt
		}
	}
	c.send(Listed{Workers: c.workers})
}

// start submits the job and starts its task.
func (c *crashCell) start() Start {
	for _, w := range c.workers {
		c.report(w.ID, 1)
	}
	c.send(Submit{Reply: 1, Job: crashedSpec()})
	for range 3 {
		c.round()
	}
	require.Len(c.t, c.starts, 1)
	s := c.starts[0]
	c.send(Started{Worker: s.Worker, Task: s.Task, Run: s.Run, Received: c.clock.Steady, Clock: c.clock.Steady})
	return s
}

// crashes returns the stored crashes of the task.
func (c *crashCell) crashes() []string {
	c.round()
	p := c.stored[crashedJob]
	if p == nil || len(p.Steps) == 0 {
		return nil
	}
	r := p.Steps[0].Crashes[0]
	return r.Workers
}

func TestCrashIsStoredWithTheNextPlacement(t *testing.T) {
	c := newCrashCell(t, nil, "w1", "w2")
	first := c.start()
	c.send(PollResult{Worker: first.Worker, Sent: c.clock.Steady, Received: c.clock.Steady, Failure: NoAnswer})
	c.report(first.Worker, 2)
	require.Equal(t, []string{first.Worker}, c.crashes())
	require.Len(t, c.starts, 2)
	require.NotEqual(t, first.Worker, c.starts[1].Worker)
	record := c.stored[crashedJob].Steps[0]
	require.True(t, record.Crashes[0].Suspect)
	require.EqualValues(t, 1, record.Placed[0].StartedAt)
}

func TestWorkerReplacedAtItsAddressHasCrashed(t *testing.T) {
	for _, draining := range []bool{false, true} {
		c := newCrashCell(t, nil, "w1", "w2")
		first := c.start()
		for i := range c.workers {
			c.workers[i].Draining = draining && c.workers[i].ID == first.Worker
		}
		c.send(Listed{Workers: c.workers})
		c.send(PollResult{Worker: first.Worker, Sent: c.clock.Steady, Received: c.clock.Steady, Failure: OtherWorker})
		if draining {
			require.Empty(t, c.crashes())
		} else {
			require.Equal(t, []string{first.Worker}, c.crashes())
		}
	}
}

// A start that reached the new incarnation was counted as a crash.
func TestRunOfTheNewIncarnationIsNoCrash(t *testing.T) {
	c := newCrashCell(t, nil, "w1")
	s := c.start()
	c.report(s.Worker, 2, RunningTask{Task: s.Task, Run: s.Run})
	require.Empty(t, c.crashes())
}

// A new owner started a task from nothing whose worker had crashed before it knew.
func TestNewOwnerCountsCrashesUnderEarlierPlacements(t *testing.T) {
	for startedAt, crashed := range map[int64]bool{1: false, 2: true} {
		progress := &workload.Progress{State: workload.Active, Steps: []workload.StepRecord{{
			Placed:  map[int]workload.Placement{0: {Worker: "w1", Run: 7, StartedAt: 1}},
			Crashes: map[int]poison.Record{0: {Workers: []string{"w0"}, Suspect: true}},
		}}}
		c := newCrashCell(t, []StoredJob{{ID: crashedJob, Job: crashedSpec(), Progress: progress}}, "w1", "w2")
		require.Equal(t, 1, c.Summary().Suspects)
		c.report("w2", 1)
		c.report("w1", startedAt)
		want := []string{"w0"}
		if crashed {
			want = []string{"w0", "w1"}
		}
		require.Equal(t, want, c.crashes())
	}
}

func TestPlacementsOfEarlierVersionsCountNoCrash(t *testing.T) {
	progress := &workload.Progress{State: workload.Active, Steps: []workload.StepRecord{{Placed: map[int]workload.Placement{0: {Worker: "w1", Run: 7}}}}}
	c := newCrashCell(t, []StoredJob{{ID: crashedJob, Job: crashedSpec(), Progress: progress}}, "w1", "w2")
	c.report("w2", 1)
	c.report("w1", 2)
	require.Empty(t, c.crashes())
}

// An owner panicked when a restarted worker answered after a job that had run there was cancelled,
// and the next owner in the same way.
func TestJobCancelledBetweenARestartAndTheReportOfIt(t *testing.T) {
	for _, stored := range []bool{true, false} {
		c := newCrashCell(t, nil, "w1")
		s := c.start()
		c.send(PollResult{Worker: s.Worker, Sent: c.clock.Steady, Received: c.clock.Steady, Failure: NoAnswer})
		c.relist(s.Worker, 2)
		c.send(Cancel{Reply: 2, ID: crashedJob})
		if stored {
			c.round()
			require.Equal(t, workload.Cancelled, c.stored[crashedJob].State)
		}
		require.NotPanics(t, func() { c.report(s.Worker, 2) })
		c.round()
		require.Equal(t, workload.Cancelled, c.stored[crashedJob].State)
		require.Empty(t, c.stored[crashedJob].Steps)
		require.Zero(t, c.Summary().Suspects)
		require.Len(t, c.ended, 1)
		c.send(StopDone{Worker: s.Worker, Task: s.Task, Run: s.Run, Received: c.clock.Steady})
		c.report(s.Worker, 2)
		require.Zero(t, c.Cell.workers[s.Worker].used, "room of the lost run")
	}
}

// The reports of a worker whose clock was set back before it started again were ignored for good,
// and with them the end of the run that it had lost.
func TestWorkerThatStartsAgainAfterItsClockWasSetBack(t *testing.T) {
	c := newCrashCell(t, nil, "w1", "w2")
	for _, w := range c.workers {
		c.relist(w.ID, 1000)
		c.report(w.ID, 1000)
	}
	c.send(Submit{Reply: 1, Job: crashedSpec()})
	for range 3 {
		c.round()
	}
	require.Len(t, c.starts, 1)
	s := c.starts[0]
	c.send(Started{Worker: s.Worker, Task: s.Task, Run: s.Run, Received: c.clock.Steady, Clock: c.clock.Steady})
	c.send(PollResult{Worker: s.Worker, Sent: c.clock.Steady, Received: c.clock.Steady, Failure: NoAnswer})
	c.relist(s.Worker, 500)
	for range 100 {
		c.report(s.Worker, 500)
		c.round()
	}
	require.Len(t, c.starts, 2)
}

// Other work was placed beside a task that may crash its worker.
func TestNothingIsPlacedBesideARunOnProbation(t *testing.T) {
	c := newCrashCell(t, nil, "w1", "w2")
	first := c.start()
	c.report(first.Worker, 2)
	c.relist(first.Worker, 2)
	c.round()
	require.Len(t, c.starts, 2)
	tried := c.starts[1].Worker
	require.NotNil(t, c.Cell.workers[tried].probation)
	other := lookupJob("aa00000000000001")
	other.Queue.Advice = nil
	c.send(Submit{Reply: 2, Job: other})
	for range 3 {
		c.round()
	}
	require.Len(t, c.starts, 2+other.Steps[0].Count)
	for _, s := range c.starts[2:] {
		require.NotEqual(t, tried, s.Worker)
	}
}

// A job was failed only when its caller had given up, and without a reason.
func TestProofFailsTheJobAtOnce(t *testing.T) {
	progress := &workload.Progress{State: workload.Active, Steps: []workload.StepRecord{{
		Crashes: map[int]poison.Record{0: {Workers: []string{"w0"}, Proofs: 1, Suspect: true}},
	}}}
	c := newCrashCell(t, []StoredJob{{ID: crashedJob, Job: crashedSpec(), Progress: progress}}, "w1", "w2")
	c.report("w1", 1)
	c.report("w2", 1)
	for range 2 {
		c.round()
	}
	require.Len(t, c.starts, 1)
	c.report(c.starts[0].Worker, 2)
	c.round()
	require.Equal(t, workload.Failed, c.stored[crashedJob].State)
	require.Contains(t, c.stored[crashedJob].Reason, c.starts[0].Worker)
	answers := c.Update(c.clock, Query{Reply: 3, ID: crashedJob})
	require.Equal(t, Answer{Reply: 3, State: workload.Failed, Reason: c.stored[crashedJob].Reason}, answers[0])
	c.round()
	require.Zero(t, c.Summary().Suspects)
}

// A worker whose stop was answered after a poll that wasn't still counted as failing since that
// poll, so that the crash under the next start was taken for a start that was not carried out.
func TestCrashAfterAnAnsweredStopCounts(t *testing.T) {
	c := newCrashCell(t, nil, "w1")
	c.report("w1", 1)
	c.send(PollResult{Worker: "w1", Sent: c.clock.Steady, Received: c.clock.Steady, Failure: NoAnswer})
	c.send(StopDone{Worker: "w1", Task: "aa00000000000001.0.0.0", Run: 1, Received: c.clock.Steady})
	c.send(Submit{Reply: 1, Job: crashedSpec()})
	c.round()
	c.round()
	require.Len(t, c.starts, 1)
	s := c.starts[0]
	c.send(Started{Worker: s.Worker, Task: s.Task, Run: s.Run, Received: c.clock.Steady, Failure: NoAnswer})
	c.report(s.Worker, 2)
	require.Equal(t, []string{s.Worker}, c.crashes())
}

// A stop that the next life of a worker answered made its crash one of the moment of its return:
// its tasks seemed to have run until then, and were taken for innocent.
func TestCrashIsDatedByTheFailureBeforeAnAnsweredStop(t *testing.T) {
	c := newCrashCell(t, nil, "w1")
	s := c.start()
	c.report("w1", 1, RunningTask{Task: s.Task, Run: s.Run})
	c.round()
	c.send(PollResult{Worker: "w1", Sent: c.clock.Steady, Received: c.clock.Steady, Failure: NoAnswer})
	failed := c.clock.Steady
	age := c.crashedAt(c.Cell.workers["w1"])
	require.Equal(t, failed, age)
	c.clock.Steady += 3 * time.Second
	c.send(StopDone{Worker: "w1", Task: "aa00000000000001.0.0.0", Run: 1, Received: c.clock.Steady})
	require.Equal(t, failed, c.crashedAt(c.Cell.workers["w1"]))
	c.report("w1", 2)
	require.Len(t, c.crashes(), 1)
	require.Less(t, c.stored[crashedJob].Steps[0].Crashes[0].Ages[0], 3*time.Second)
	require.Zero(t, c.Cell.workers["w1"].failingAt)
}

// Jobs were failed for crashes of tasks beside theirs that crash their workers late.
func TestTasksThatCrashWorkersLateFailNoOther(t *testing.T) {
	t.Parallel()
	const jobs = 6
	for seed := range uint64(3) {
		f := newFleet(t, seed+1, 24)
		f.submitLightLoad(12 * time.Second)
		for i := range jobs {
			id := fmt.Sprintf("dd%014x", i)
			f.submit(time.Duration(3+i)*time.Second, innocentJob(id, 3, 3*time.Second))
			f.markGuilty(id + ".0.0.1")
			f.crashes.guilty[id+".0.0.1"] = 600 * time.Millisecond
		}
		f.runUntil(90 * time.Second)
		f.requireGuiltyFailed()
	}
}

// Gangs reserved workers with a run on probation, on which they cannot start, and kept others from
// the room there.
func TestNoGangReservesAWorkerOnProbation(t *testing.T) {
	c, s, candidates := unevenCell(gangJob("cc00000000000000"), 1, 1)
	s.advice.needed = false
	pool := &servicePool{candidates: candidates}
	require.Same(t, candidates[0], c.gangOpenings(pool, s)[0].cand)
	candidates[0].w.probation = &probation{}
	for _, o := range c.gangOpenings(pool, s) {
		require.Same(t, candidates[1], o.cand)
	}
}

// A new owner started all tasks of a class that crashes workers at once, and took most of the
// fleet down before it knew.
func TestNewOwnerLimitsAClassThatCrashesWorkers(t *testing.T) {
	const workers, waiting = 24, 60
	for name, records := range map[string][]poison.Record{
		"named":    {{Workers: []string{"x0"}, Proofs: 1, ProofAge: 10 * time.Millisecond, Suspect: true}},
		"suspects": {{Workers: []string{"x0"}, Suspect: true}, {Workers: []string{"x1"}, Suspect: true}},
	} {
		t.Run(name, func(t *testing.T) {
			var jobs []StoredJob
			for i := range waiting {
				spec := crashedSpec()
				spec.ID = fmt.Sprintf("dd%014x", i)
				progress := &workload.Progress{State: workload.Queued}
				if i < len(records) {
					progress.Steps = []workload.StepRecord{{Crashes: map[int]poison.Record{0: records[i]}}}
				}
				jobs = append(jobs, StoredJob{ID: spec.ID, Job: spec, Progress: progress})
			}
			var ids []string
			for i := range workers {
				ids = append(ids, fmt.Sprintf("w%02d", i))
			}
			c := newCrashCell(t, jobs, ids...)
			for _, id := range ids {
				c.report(id, 1)
			}
			c.round()
			require.NotEmpty(t, c.starts)
			require.LessOrEqual(t, len(c.starts), workers/2, "at most half of the workers may be at risk")
		})
	}
}

// Crashes counted on that a longer run of the task had disproved.
func TestLongerRunTakesBackCrashes(t *testing.T) {
	for _, stopped := range []bool{false, true} {
		progress := &workload.Progress{State: workload.Active, Steps: []workload.StepRecord{{
			Crashes: map[int]poison.Record{0: {Workers: []string{"w0"}, Ages: []time.Duration{100 * time.Millisecond}, Suspect: true}},
		}}}
		c := newCrashCell(t, []StoredJob{{ID: crashedJob, Job: crashedSpec(), Progress: progress}}, "w1", "w2")
		c.report("w1", 1)
		c.report("w2", 1)
		for range 2 {
			c.round()
		}
		require.Len(t, c.starts, 1)
		s := c.starts[0]
		c.send(Started{Worker: s.Worker, Task: s.Task, Run: s.Run, Received: c.clock.Steady, Clock: c.clock.Steady})
		c.clock.Steady += 2 * time.Second
		if stopped {
			c.round()
			c.stopRun(c.Cell.workers[s.Worker].runs[s.Task])
			c.send(PollResult{Worker: s.Worker, Sent: c.clock.Steady, Received: c.clock.Steady, Report: Report{StartedAt: 1, Clock: c.clock.Steady, Ended: []RunResult{{Seq: 1, Task: s.Task, Run: s.Run, Outcome: Stopped}}}})
			require.Empty(t, c.crashes())
			continue
		}
		c.report(s.Worker, 1, RunningTask{Task: s.Task, Run: s.Run})
		c.report(s.Worker, 2)
		require.Equal(t, []string{s.Worker}, c.crashes())
	}
}

// A task was a suspect after a crash late in the run in which it had survived its trial.
func TestSurvivedTrialTakesBackCrashes(t *testing.T) {
	progress := &workload.Progress{State: workload.Active, Steps: []workload.StepRecord{{
		Crashes: map[int]poison.Record{0: {Workers: []string{"w0"}, Ages: []time.Duration{100 * time.Millisecond}, Suspect: true}},
	}}}
	c := newCrashCell(t, []StoredJob{{ID: crashedJob, Job: crashedSpec(), Progress: progress}}, "w1", "w2")
	c.report("w1", 1)
	c.report("w2", 1)
	for range 2 {
		c.round()
	}
	require.Len(t, c.starts, 1)
	s := c.starts[0]
	c.send(Started{Worker: s.Worker, Task: s.Task, Run: s.Run, Received: c.clock.Steady, Clock: c.clock.Steady})
	c.clock.Steady += 2 * time.Second
	c.report(s.Worker, 1, RunningTask{Task: s.Task, Run: s.Run})
	c.round()
	require.Empty(t, c.crashes())
	c.report(s.Worker, 2)
	require.Equal(t, []string{s.Worker}, c.crashes())
	require.False(t, c.stored[crashedJob].Steps[0].Crashes[0].Suspect)
}

// One run was counted for two crashes of its worker, if it was still known when the worker
// started a second time.
func TestRunCountsForOneCrash(t *testing.T) {
	c := newCrashCell(t, nil, "w1", "w2")
	first := c.start()
	before := c.clock.Steady - time.Millisecond // the report is older than what is known of the run
	c.send(PollResult{Worker: first.Worker, Sent: before, Received: c.clock.Steady, Report: Report{StartedAt: 2, Clock: c.clock.Steady}})
	c.report(first.Worker, 3)
	require.Equal(t, []string{first.Worker}, c.crashes())
}
