package cell

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/workload"
)

// submitLightLoad submits a light mix of jobs from 2 s on.
func (f *simFleet) submitLightLoad(to Instant) {
	for at, i := 2*time.Second, 0; at < to; at, i = at+100*time.Millisecond, i+1 {
		f.submit(at, lookupJob(fmt.Sprintf("aa%014x", i)))
		if i%5 == 0 {
			f.submit(at, quoteJob(fmt.Sprintf("bb%014x", i)))
		}
		if i%20 == 0 {
			f.submit(at, gangJob(fmt.Sprintf("cc%014x", i)))
		}
	}
}

func TestLightLoadMeetsItsObjectives(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 48)
	f.submitLightLoad(12 * time.Second)
	f.runUntil(60 * time.Second)
	f.requireNoViolations()
	f.requireAllEnded()
	for id, j := range f.jobs {
		require.True(t, j.accepted, "job %s", id)
		require.Equal(t, workload.Completed, j.state)
		require.LessOrEqual(t, j.endedAt-j.submittedAt, time.Duration(j.spec.Queue.Slack*float64(criticalPath(j.spec)))+j.spec.Queue.Target, id)
	}
}

func TestAdviceCallsStayWithinTheLimitOnALargeFleet(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 250)
	f.submitLightLoad(6 * time.Second)
	f.runUntil(60 * time.Second)
	f.requireNoViolations()
	f.requireAllEnded()
}

func TestNewOwnerCountsFailedRunsInAnyOrder(t *testing.T) {
	spec := lookupJob("dd00000000000001")
	spec.Steps[0].Count = 1
	for _, order := range [][]uint64{{1, 2, 3}, {3, 2, 1}, {2, 3, 1}} {
		c := New(Config{MaxLease: simMaxLease, StatusRetention: time.Minute})
		clock := Clock{Steady: time.Hour, Wall: time.Unix(1, 0)}
		refs := []WorkerRef{{ID: "w1"}, {ID: "w2"}, {ID: "w3"}}
		c.Update(clock, Claimed{Token: 9, Sent: clock.Steady, Previous: true, Workers: refs, Jobs: []StoredJob{{ID: spec.ID, Job: spec, Progress: &workload.Progress{}}}})
		for _, n := range order {
			c.Update(clock, PollResult{Worker: fmt.Sprintf("w%d", n), Received: clock.Steady, Report: Report{
				Ended: []RunResult{{Seq: 1, Task: spec.ID + ".0.0.0", Run: n, Outcome: Failed}},
			}})
		}
		require.Equal(t, workload.Failed, c.jobs[spec.ID].progress.State, "order %v", order)
	}
}

func TestResultsOfAnEarlierIncarnationAreNotAcknowledged(t *testing.T) {
	t.Parallel()
	spec := quoteJob("bb00000000000001")
	c := New(Config{MaxLease: simMaxLease, StatusRetention: time.Minute})
	at := func(ms int) Clock {
		return Clock{Steady: time.Hour + time.Duration(ms)*time.Millisecond, Wall: time.Unix(1, 0)}
	}
	c.Update(at(0), Claimed{Token: 9, Sent: at(0).Steady, Previous: true, Workers: []WorkerRef{{ID: "w1"}}, Jobs: []StoredJob{{ID: spec.ID, Job: spec}}})
	report := func(ms int, startedAt int64, results ...RunResult) {
		c.Update(at(ms), PollResult{Worker: "w1", Sent: at(ms).Steady, Received: at(ms).Steady, Report: Report{StartedAt: startedAt, Ended: results}})
	}
	report(0, 1, RunResult{Seq: 5, Task: spec.ID + ".0.0.0", Run: 1, Outcome: Done})
	var commit Commit
	for _, e := range c.Update(at(100), PlacementRound{}) {
		if e, ok := e.(Commit); ok {
			commit = e
		}
	}
	report(120, 2) // the worker has restarted since
	c.Update(at(130), Committed{Seq: commit.Seq, Sent: at(100).Steady})
	require.Zero(t, c.workers["w1"].lastStored)
}

// TestStartThatReachesANewIncarnationIsKept simulates a worker that restarts, before
// a start reaches it, without the owner noticing (found by the soak test, seed 8).
func TestStartThatReachesANewIncarnationIsKept(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 2)
	f.at(1900*time.Millisecond, func() {
		for _, w := range f.workers {
			f.restartWorker(w)
		}
	})
	spec := quoteJob("bb00000000000001")
	spec.Queue.Advice = nil
	f.submit(2*time.Second, spec)
	f.runUntil(30 * time.Second)
	f.requireNoViolations()
	f.requireAllEnded()
	require.Equal(t, 14, f.starts)
}

// TestNewOwnerAcceptsJobsBeforeItsFirstLoadEstimate submits a job between the first
// list of workers after a claim and the next load estimate. Such a job was refused
// because the service seemed to have no workers (incident inc-1d20).
func TestNewOwnerAcceptsJobsBeforeItsFirstLoadEstimate(t *testing.T) {
	t.Parallel()
	c := New(Config{MaxLease: simMaxLease, StatusRetention: time.Minute})
	clock := Clock{Steady: time.Hour, Wall: time.Unix(1, 0)}
	w := WorkerInfo{ID: "w1", Service: "s", Capacity: resource.Vector{MilliCPU: 32000, MemoryMB: 64000}, StartedAt: 1}
	c.Update(clock, Claimed{Token: 9, Sent: clock.Steady, Previous: true, Workers: []WorkerRef{{ID: "w1"}}})
	c.Update(clock, Listed{Workers: []WorkerInfo{w}})
	for _, effect := range c.Update(clock, Submit{Reply: 1, Job: lookupJob("aa00000000000001")}) {
		if answer, ok := effect.(Answer); ok {
			require.NotEqual(t, Refused, answer.Verdict, answer.Reason)
		}
	}
}

// TestLeasesEndWithinTheAuthorityOfTheClaim simulates a new owner that takes long to load
// the cell. Another host may claim the cell meanwhile; it waits for leases only until
// MaxLeaseAfterCommit after the time of the claim in the store.
func TestLeasesEndWithinTheAuthorityOfTheClaim(t *testing.T) {
	const claimed, loaded = time.Hour, time.Hour + 6*time.Second
	c := New(Config{MaxLease: simMaxLease, StatusRetention: time.Minute})
	at := func(steady Instant) Clock { return Clock{Steady: steady, Wall: time.Unix(1, 0)} }
	c.Update(at(loaded), Claimed{Token: 9, Sent: claimed, Previous: true, Workers: []WorkerRef{{ID: "w1"}}})
	clock := 100 * time.Second // the worker's clock
	c.Update(at(loaded), PollResult{Worker: "w1", Received: loaded, Report: Report{
		Clock: clock, Running: []RunningTask{{Task: "aa00000000000001.0.0.0", Run: 1}},
	}})
	grants := 0
	for now := loaded; now < loaded+8*time.Second; now += 100 * time.Millisecond {
		for _, effect := range c.Update(at(now), Flush{}) {
			poll, ok := effect.(Poll)
			if !ok {
				continue
			}
			if poll.LeaseUntil > 0 {
				grants++
			}
			require.LessOrEqual(t, poll.NotAfter, claimed+MaxLeaseAfterCommit)
			require.LessOrEqual(t, poll.LeaseUntil, clock+claimed+MaxLeaseAfterCommit-loaded)
			c.Update(at(now), PollResult{Worker: "w1", Sent: now, Received: now, Report: Report{Clock: clock + now - loaded}})
		}
	}
	require.NotZero(t, grants)
}

func TestCommitStaysWithinTheStoreLimit(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 48)
	// Far more jobs end at once than a transaction holds, and each also deletes a row.
	for i := range 300 {
		f.submit(2*time.Second, lookupJob(fmt.Sprintf("aa%014x", i)))
	}
	f.runUntil(30 * time.Second)
	f.requireNoViolations() // the simulated store checks the number of entries
	f.requireAllEnded()
}

func TestInvariantsHoldUnderFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFleet(t, seed, 24)
			f.teams["red"] = Team{Rate: 100, Ceiling: gangJob("").Steps[0].Need}
			ceiling := f.teams["red"]
			ceiling.Ceiling.MilliCPU, ceiling.Ceiling.MemoryMB = 300_000, 0
			f.teams["red"] = ceiling
			f.lateStartShare = 0.05
			f.submitLightLoad(14 * time.Second)
			f.at(time.Duration(3+seed%4)*time.Second, func() { f.killOwner(700 * time.Millisecond) })
			f.at(9*time.Second, func() { f.killOwner(1200 * time.Millisecond) })
			isolated := f.workers[fmt.Sprintf("w%03d", seed%24)]
			f.at(5*time.Second, func() { isolated.cutOff = true })
			f.at(11*time.Second, func() { isolated.cutOff = false })
			f.at(12*time.Second, func() { f.restartWorker(f.workers["w020"]) })
			f.at(10*time.Second, func() { f.storeDown = true })
			f.at(13*time.Second, func() { f.storeDown = false })
			f.runUntil(90 * time.Second)
			f.requireNoViolations()
			f.requireAllEnded()
		})
	}
}

func TestIsolatedOwnerCausesNoDoubleRun(t *testing.T) {
	t.Parallel()
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFleet(t, seed, 24)
			f.lateStartShare = 0.03
			f.submitLightLoad(16 * time.Second)
			f.at(time.Duration(4000+700*seed%3000)*time.Millisecond, func() {
				f.isolateOwner(1500*time.Millisecond, time.Duration(5+seed%16)*time.Second)
			})
			f.runUntil(90 * time.Second)
			f.requireNoViolations()
			f.requireAllEnded()
		})
	}
}

// TestChecksDetectRemovedSafeguards removes one of the safeguards against running a
// task twice, and expects the checks of the simulation to detect it.
func TestChecksDetectRemovedSafeguards(t *testing.T) {
	t.Parallel()
	violations := func(seed uint64, fault protocolFault) []string {
		f := newFleet(t, seed, 24)
		f.fault = fault
		f.lateStartShare = 0.03
		f.submitLightLoad(16 * time.Second)
		isolatedAt := time.Duration(4000+700*seed%3000) * time.Millisecond
		length := time.Duration(2000+300*(seed%10)) * time.Millisecond
		f.at(isolatedAt, func() { f.isolateOwner(1500*time.Millisecond, length) })
		f.at(isolatedAt+length+100*time.Millisecond, func() { f.killOwner(700 * time.Millisecond) })
		f.at(14*time.Second, func() { f.killOwner(700 * time.Millisecond) })
		f.runUntil(40 * time.Second)
		return f.violations
	}
	for fault, name := range map[protocolFault]string{unconditionalCommits: "unconditional commits", noFencing: "workers without fencing", earlyAcks: "results acknowledged early"} {
		t.Run(name, func(t *testing.T) {
			found := 0
			// With unconditionalCommits there is a single stale commit, which rarely
			// causes a violation: seed 10 finds it.
			for seed := uint64(0); seed < 40 && found < 1; seed++ {
				require.Empty(t, violations(seed, noFault))
				if broken := violations(seed, fault); len(broken) > 0 {
					t.Logf("seed %d: %d, first %s", seed, len(broken), broken[0])
					found++
				}
			}
			require.Positive(t, found)
		})
	}
}

// restartWorker restarts a worker under the same ID. Its runs are lost and its results
// are numbered from 1 again.
func (f *simFleet) restartWorker(w *simWorker) {
	lost := maps.Clone(w.runs)
	clear(w.runs) // before gangs end, so that no member on this worker is reported to have ended
	for _, r := range inOrder(lost) {
		f.usedByTeam[f.jobs[r.task.Job].spec.Team] -= r.need.MilliCPU
		if f.jobs[r.task.Job].spec.Steps[r.task.Step].Gang {
			f.abortGang(r)
		}
	}
	w.ended, w.endedAt, w.lastSeq, w.acked, w.token = nil, nil, 0, 0, 0
	clear(w.highestBarredRun)
	w.info.StartedAt++
}

func TestFinishedGangMemberIsNotStuck(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 48)
	j := f.submit(2*time.Second, gangJob("cc00000000000001"))
	for name := range j.actual {
		j.actual[name] = 2 * time.Second
	}
	j.actual["cc00000000000001.0.0.5"] = 9 * time.Second
	f.runUntil(30 * time.Second)
	f.requireNoViolations()
	f.requireAllEnded()
	require.Equal(t, 8, f.starts, "a run was stopped and started again")
}

func TestStuckRunIsStartedAgain(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 8)
	j := f.submit(2*time.Second, quoteJob("bb00000000000001"))
	f.at(2500*time.Millisecond, func() {
		for _, w := range inOrder(f.workers) {
			for _, r := range inOrder(w.runs) {
				r.work = time.Hour // the run makes no more progress
				return
			}
		}
	})
	f.runUntil(30 * time.Second)
	f.requireNoViolations()
	require.Equal(t, workload.Completed, j.state)
}

// TestSuspendedOwnerTakesNoRunForStuck suspends an owner for some seconds. The first
// answers that it reads afterwards are from before.
func TestSuspendedOwnerTakesNoRunForStuck(t *testing.T) {
	t.Parallel()
	spec := quoteJob("bb00000000000001")
	spec.Queue.Advice, spec.Steps[0].Count, spec.Steps[0].Estimate = nil, 1, 20*time.Second
	c := New(Config{MaxLease: simMaxLease, StatusRetention: time.Minute})
	clock := Clock{Steady: time.Hour, Wall: time.Unix(1, 0)}
	task := spec.ID + ".0.0.0"
	c.Update(clock, Claimed{Token: 9, Sent: clock.Steady, Previous: true, Workers: []WorkerRef{{ID: "w1"}},
		Jobs: []StoredJob{{ID: spec.ID, Job: spec, Progress: &workload.Progress{State: workload.Active, Steps: []workload.StepRecord{{Placed: map[int]workload.Placement{0: {Worker: "w1", Run: 1}}}}}}}})
	c.Update(clock, Listed{Workers: []WorkerInfo{{ID: "w1", Service: "s", Capacity: resource.Vector{MilliCPU: 32000, MemoryMB: 64000}, StartedAt: 1}}})
	report := func(workerClock time.Duration) []any {
		return c.Update(clock, PollResult{Worker: "w1", Sent: clock.Steady, Received: clock.Steady, Report: Report{
			StartedAt: 1, Clock: workerClock, Running: []RunningTask{{Task: task, Run: 1, Percent: 10}},
		}})
	}
	requireNoStop := func(effects []any) {
		t.Helper()
		for _, effect := range effects {
			require.NotEqual(t, "cell.Stop", fmt.Sprintf("%T", effect))
		}
	}
	report(time.Minute)
	clock.Steady += 6 * time.Second // suspended; the worker's next report was sent soon after the last one
	requireNoStop(report(time.Minute + 200*time.Millisecond))
	requireNoStop(c.Update(clock, PlacementRound{}))
	clock.Steady += 100 * time.Millisecond
	report(time.Minute + 6*time.Second) // now without progress by its own clock
	stopped := false
	for _, effect := range c.Update(clock, PlacementRound{}) {
		_, isStop := effect.(Stop)
		stopped = stopped || isStop
	}
	require.True(t, stopped)
}

// TestGangIsNotStarvedByItsTeam simulates a team at its ceiling whose small tasks would
// use each part of the ceiling as it becomes free.
func TestGangIsNotStarvedByItsTeam(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 48)
	f.teams["red"] = Team{Rate: 100, Ceiling: resource.Vector{MilliCPU: 100_000}}
	f.submitMix("00", 2*time.Second, 30*time.Second, 0, 6, 0)
	j := f.submit(8*time.Second, gangJob("cc00000000000001"))
	f.runUntil(90 * time.Second)
	f.requireNoViolations()
	f.requireAllEnded()
	require.Less(t, j.endedAt-j.submittedAt, 20*time.Second)
	big := gangJob("cc00000000000002")
	big.Steps[0].Count = 12
	refused := f.submit(91*time.Second, big)
	f.runUntil(95 * time.Second)
	require.True(t, refused.refused, "a gang above its team's ceiling was not refused")
}

// newFullFleet returns a fleet on which hundreds of steps wait for room.
func newFullFleet(t *testing.T) *simFleet {
	f := newFleet(t, 1, 48)
	for i := range 400 {
		f.submit(2*time.Second, quoteJob(fmt.Sprintf("bb%014x", i)))
	}
	f.runUntil(4 * time.Second)
	require.Greater(t, len(f.owner.waiting), 4*len(f.workers))
	return f
}

func TestPlacementRoundAllocatesNothingForStepsThatCannotFit(t *testing.T) {
	f := newFullFleet(t)
	waiting := len(f.owner.waiting)
	allocations := testing.AllocsPerRun(20, func() {
		f.owner.place()
		f.owner.effects = f.owner.effects[:0]
	})
	// Collecting the candidates costs a few allocations per worker; a waiting step
	// costs none.
	require.Less(t, allocations, float64(6*len(f.workers)), "allocations with %d waiting steps", waiting)
}

func BenchmarkPlacementRoundOnAFullFleet(b *testing.B) {
	f := newFullFleet(&testing.T{})
	for b.Loop() {
		f.owner.place()
		f.owner.effects = f.owner.effects[:0]
	}
}

// sortedWorkerIDs returns the IDs of sortedWorkers, in its order.
func (c *Cell) sortedWorkerIDs() []string {
	var ids []string
	for _, w := range c.sortedWorkers {
		if c.workers[w.ID] == w {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

func TestSortedWorkersStaySorted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(Config{})
		for _, n := range rapid.SliceOfN(rapid.IntRange(0, 9), 0, 40).Draw(t, "workers") {
			w := newWorker(WorkerInfo{ID: string(rune('a' + n))}, 0)
			if known := c.workers[w.ID]; known != nil && rapid.Bool().Draw(t, "strike") {
				c.removeWorker(known)
			} else {
				c.addWorker(w)
			}
			require.Len(t, c.sortedWorkers, len(c.workers))
			require.Equal(t, slices.Sorted(maps.Keys(c.workers)), c.sortedWorkerIDs())
		}
	})
}

func TestEndedJobsAreDeletedAfterStatusRetention(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 12)
	f.submitLightLoad(8 * time.Second)
	f.runUntil(60 * time.Second)
	f.requireAllEnded()
	require.Len(t, f.owner.ended, len(f.jobs))
	require.Len(t, f.store.progress, len(f.jobs))
	last := time.Duration(0)
	for _, j := range f.owner.ended {
		last = max(last, j.endedAt)
	}
	f.runUntil(last + f.owner.StatusRetention - time.Second)
	require.NotEmpty(t, f.owner.jobs)
	f.runUntil(last + f.owner.StatusRetention + time.Second)
	require.Empty(t, f.owner.jobs)
	require.Empty(t, f.store.progress)
	f.requireNoViolations()
}

// An acknowledgement that was meant for an earlier incarnation of an idle worker makes the next
// one forget its first results unread, so that their tasks run twice.
func TestAcknowledgementsDoNotReachALaterIncarnation(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 4)
	f.cursorStays = true
	for i := range 10 {
		f.submit(2*time.Second, lookupJob(fmt.Sprintf("aa%014x", i)))
	}
	f.at(9900*time.Millisecond, func() {
		for _, w := range inOrder(f.workers) {
			require.Empty(t, w.runs)
			f.restartWorker(w)
		}
	})
	for i := range 10 {
		f.submit(10*time.Second, lookupJob(fmt.Sprintf("bb%014x", i)))
	}
	f.runUntil(30 * time.Second)
	f.requireNoViolations()
	f.requireAllEnded()
	require.Equal(t, 40, f.starts)
}

// Workers crash and come back under their IDs, while stops of their runs are repeated: what the
// next incarnation answers first is no report.
func TestResultsOfARestartedWorkerAreReadBeforeTheyAreForgotten(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFleet(t, seed, 12)
			rng := rand.New(rand.NewPCG(seed, 6))
			f.cursorStays, f.crashes.sameID = true, true
			f.lateStartShare = 0.02
			f.submitLightLoad(20 * time.Second)
			for at := 2 * time.Second; at < 20*time.Second; at += time.Duration(300+rng.IntN(1200)) * time.Millisecond {
				w := f.workers[fmt.Sprintf("w%03d", rng.IntN(12))]
				f.at(at, func() { f.crashWorker(w) })
				if rng.IntN(4) == 0 {
					f.at(at-10*time.Millisecond, func() { f.cancelAny(rng) })
				}
			}
			f.runUntil(150 * time.Second)
			for _, v := range f.violations {
				require.NotContains(t, v, "TWICE")
			}
		})
	}
}
