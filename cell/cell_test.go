package cell

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipgap/cowslipgap/docket"
	"github.com/cowslipgap/cowslipgap/resource"
)

// submitLightLoad submits a light mix of jobs from 2 s on.
func (f *fleet) calm(to Instant) {
	for at, i := 2*time.Second, 0; at < to; at, i = at+100*time.Millisecond, i+1 {
		f.submit(at, lookup(fmt.Sprintf("aa%014x", i)))
		if i%5 == 0 {
			f.submit(at, quote(fmt.Sprintf("bb%014x", i)))
		}
		if i%20 == 0 {
			f.submit(at, refret(fmt.Sprintf("cc%014x", i)))
		}
	}
}

func TestCalmDayIsServedWithinItsObjectives(t *testing.T) {
	f := newFleet(t, 1, 48)
	f.calm(12 * time.Second)
	f.run(60 * time.Second)
	f.requireSound()
	f.requireAllEnded()
	for id, j := range f.jobs {
		require.True(t, j.accepted, "job %s", id)
		require.Equal(t, docket.Completed, j.state)
		require.LessOrEqual(t, j.endedAt-j.handedIn, time.Duration(j.spec.Queue.Slack*float64(longestChain(j.spec)))+j.spec.Queue.Target, id)
	}
}

func TestLargeFleetIsAskedAboutInParts(t *testing.T) {
	f := newFleet(t, 1, 250)
	f.calm(6 * time.Second)
	f.run(60 * time.Second)
	f.requireSound()
	f.requireAllEnded()
}

func TestNewOwnerCountsFailedRunsInAnyOrder(t *testing.T) {
	spec := lookup("dd00000000000001")
	spec.Steps[0].Count = 1
	for _, order := range [][]uint64{{1, 2, 3}, {3, 2, 1}, {2, 3, 1}} {
		c := New(Config{HoldMax: simHold, StatusFor: time.Minute})
		clock := Clock{Steady: time.Hour, Wall: time.Unix(1, 0)}
		refs := []WorkerRef{{ID: "w1"}, {ID: "w2"}, {ID: "w3"}}
		c.Update(clock, Claimed{Token: 9, Sent: clock.Steady, Previous: true, Workers: refs, Jobs: []Stored{{ID: spec.ID, Job: spec, Progress: &docket.Progress{}}}})
		for _, n := range order {
			c.Update(clock, Looked{Worker: fmt.Sprintf("w%d", n), Received: clock.Steady, Report: Report{
				Ended: []EndedTask{{N: 1, Task: spec.ID + ".0.0.0", Run: n, How: Faulted}},
			}})
		}
		require.Equal(t, docket.Failed, c.jobs[spec.ID].progress.State, "order %v", order)
	}
}

func TestEndsOfAnEarlierLifeAcknowledgeNothing(t *testing.T) {
	spec := quote("bb00000000000001")
	c := New(Config{HoldMax: simHold, StatusFor: time.Minute})
	at := func(ms int) Clock {
		return Clock{Steady: time.Hour + time.Duration(ms)*time.Millisecond, Wall: time.Unix(1, 0)}
	}
	c.Update(at(0), Claimed{Token: 9, Sent: at(0).Steady, Previous: true, Workers: []WorkerRef{{ID: "w1"}}, Jobs: []Stored{{ID: spec.ID, Job: spec}}})
	look := func(ms int, born int64, ends ...EndedTask) {
		c.Update(at(ms), Looked{Worker: "w1", Received: at(ms).Steady, Report: Report{Born: born, Ended: ends}})
	}
	look(0, 1, EndedTask{N: 5, Task: spec.ID + ".0.0.0", Run: 1, How: Done})
	var commit Commit
	for _, e := range c.Update(at(100), Pump{}) {
		if e, ok := e.(Commit); ok {
			commit = e
		}
	}
	look(120, 2) // the worker has restarted since
	c.Update(at(130), Committed{Seq: commit.Seq, Sent: at(100).Steady})
	require.Zero(t, c.workers["w1"].lastStored)
}

// TestStartThatReachesANewIncarnationIsKept simulates a worker that restarts, before
// a start reaches it, without the owner noticing (found by the soak test, seed 8).
func TestStartThatReachesANewLifeIsKept(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.at(1900*time.Millisecond, func() {
		for _, w := range f.workers {
			f.crash(w)
		}
	})
	spec := quote("bb00000000000001")
	spec.Queue.Advice = nil
	f.submit(2*time.Second, spec)
	f.run(30 * time.Second)
	f.requireSound()
	f.requireAllEnded()
	require.Equal(t, 14, f.starts)
}

// TestNewOwnerAcceptsJobsBeforeItsFirstLoadEstimate submits a job between the first
// list of workers after a claim and the next load estimate. It was refused because no
// workers were known (incident inc-1d20).
func TestNewOwnerDoesNotMissItsWorkers(t *testing.T) {
	c := New(Config{HoldMax: simHold, StatusFor: time.Minute})
	clock := Clock{Steady: time.Hour, Wall: time.Unix(1, 0)}
	w := WorkerInfo{ID: "w1", Service: "s", Capacity: resource.Vector{MilliCPU: 32000, MemoryMB: 64000}, Born: 1}
	c.Update(clock, Claimed{Token: 9, Sent: clock.Steady, Previous: true, Workers: []WorkerRef{{ID: "w1"}}})
	c.Update(clock, Listed{Workers: []WorkerInfo{w}})
	for _, effect := range c.Update(clock, Submit{Reply: 1, Job: lookup("aa00000000000001")}) {
		if answer, ok := effect.(Answer); ok {
			require.NotEqual(t, Refused, answer.Verdict, answer.Reason)
		}
	}
}

// TestLeasesEndWithTheAuthorityOfTheClaim simulates a new owner that takes long to load
// the cell. Another host may claim the cell meanwhile; it waits for leases only until
// Authority after the time of the claim in the store.
func TestLeasesEndWithTheAuthorityOfTheClaim(t *testing.T) {
	const claimed, loaded = time.Hour, time.Hour + 6*time.Second
	c := New(Config{HoldMax: simHold, StatusFor: time.Minute})
	at := func(steady Instant) Clock { return Clock{Steady: steady, Wall: time.Unix(1, 0)} }
	c.Update(at(loaded), Claimed{Token: 9, Sent: claimed, Previous: true, Workers: []WorkerRef{{ID: "w1"}}})
	clock := 100 * time.Second // the worker's clock
	c.Update(at(loaded), Looked{Worker: "w1", Received: loaded, Report: Report{
		Clock: clock, Running: []RunningTask{{Task: "aa00000000000001.0.0.0", Run: 1}},
	}})
	looks := 0
	for now := loaded; now < loaded+8*time.Second; now += 100 * time.Millisecond {
		for _, effect := range c.Update(at(now), Flush{}) {
			look, ok := effect.(Look)
			if !ok {
				continue
			}
			looks++
			require.LessOrEqual(t, look.NotAfter, claimed+Authority)
			require.LessOrEqual(t, look.LeaseUntil, clock+claimed+Authority-loaded)
			c.Update(at(now), Looked{Worker: "w1", Received: now, Failure: NoAnswer})
		}
	}
	require.NotZero(t, looks)
}

func TestCommitStaysWithinTheStoresLimit(t *testing.T) {
	f := newFleet(t, 1, 48)
	// Far more jobs end at once than a transaction holds, and each also deletes a row.
	for i := range 300 {
		f.submit(2*time.Second, lookup(fmt.Sprintf("aa%014x", i)))
	}
	f.run(30 * time.Second)
	f.requireSound() // the simulated store checks the number of entries
	f.requireAllEnded()
}

func TestFaultsBreakNoRule(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFleet(t, seed, 24)
			f.teams["red"] = Team{Rate: 100, Ceiling: refret("").Steps[0].Need}
			ceiling := f.teams["red"]
			ceiling.Ceiling.MilliCPU, ceiling.Ceiling.MemoryMB = 300_000, 0
			f.teams["red"] = ceiling
			f.lateShare = 0.05
			f.calm(14 * time.Second)
			f.at(time.Duration(3+seed%4)*time.Second, func() { f.kill(700 * time.Millisecond) })
			f.at(9*time.Second, func() { f.kill(1200 * time.Millisecond) })
			dark := f.workers[fmt.Sprintf("w%03d", seed%24)]
			f.at(5*time.Second, func() { dark.dark = true })
			f.at(11*time.Second, func() { dark.dark = false })
			f.at(12*time.Second, func() { f.crash(f.workers["w020"]) })
			f.at(10*time.Second, func() { f.storeDown = true })
			f.at(13*time.Second, func() { f.storeDown = false })
			f.run(90 * time.Second)
			f.requireSound()
			f.requireAllEnded()
		})
	}
}

func TestCutOffOwnerDoublesNothing(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFleet(t, seed, 24)
			f.lateShare = 0.03
			f.calm(16 * time.Second)
			f.at(time.Duration(4000+700*seed%3000)*time.Millisecond, func() {
				f.cutOwner(1500*time.Millisecond, time.Duration(5+seed%16)*time.Second)
			})
			f.run(90 * time.Second)
			f.requireSound()
			f.requireAllEnded()
		})
	}
}

// TestChecksDetectRemovedSafeguards removes one of the safeguards against running a
// task twice, and expects the checks of the simulation to detect it.
func TestBrokenVariantsAreFound(t *testing.T) {
	play := func(seed uint64, v variant) []string {
		f := newFleet(t, seed, 24)
		f.variant = v
		f.lateShare = 0.03
		f.calm(16 * time.Second)
		cut := time.Duration(4000+700*seed%3000) * time.Millisecond
		length := time.Duration(2000+300*(seed%10)) * time.Millisecond
		f.at(cut, func() { f.cutOwner(1500*time.Millisecond, length) })
		f.at(cut+length+100*time.Millisecond, func() { f.kill(700 * time.Millisecond) })
		f.at(14*time.Second, func() { f.kill(700 * time.Millisecond) })
		f.run(40 * time.Second)
		return f.violations
	}
	for v, name := range map[variant]string{unconditional: "unconditional commits", unfenced: "workers without a fence", earlyAck: "ends acknowledged early"} {
		t.Run(name, func(t *testing.T) {
			found := 0
			// With unconditionalCommits there is a single stale commit, which rarely
			// causes a violation: seed 10 finds it.
			for seed := uint64(0); seed < 40 && found < 1; seed++ {
				require.Empty(t, play(seed, sound))
				if broken := play(seed, v); len(broken) > 0 {
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
func (f *fleet) crash(w *simWorker) {
	for name, r := range w.runs {
		delete(w.runs, name)
		f.usedByTeam[f.jobs[r.task.Job].spec.Team] -= r.need.MilliCPU
		if f.jobs[r.task.Job].spec.Steps[r.task.Step].Gang {
			f.breakGang(r)
		}
	}
	w.ended, w.n, w.token = nil, 0, 0
	clear(w.barred)
	w.info.Born++
}

func TestGangMemberThatIsThroughIsNotStuck(t *testing.T) {
	f := newFleet(t, 1, 48)
	j := f.submit(2*time.Second, refret("cc00000000000001"))
	for name := range j.actual {
		j.actual[name] = 2 * time.Second
	}
	j.actual["cc00000000000001.0.0.5"] = 9 * time.Second
	f.run(30 * time.Second)
	f.requireSound()
	f.requireAllEnded()
	require.Equal(t, 8, f.starts, "a run was stopped and started again")
}

func TestRunThatStandsStillIsStartedElsewhere(t *testing.T) {
	f := newFleet(t, 1, 8)
	j := f.submit(2*time.Second, quote("bb00000000000001"))
	f.at(2500*time.Millisecond, func() {
		for _, w := range f.workers {
			for _, r := range w.runs {
				r.work = time.Hour // the run makes no more progress
				return
			}
		}
	})
	f.run(30 * time.Second)
	f.requireSound()
	require.Equal(t, docket.Completed, j.state)
}

// TestGangIsNotStarvedByItsTeam simulates a team at its ceiling whose small tasks would
// use each part of the ceiling as it becomes free.
func TestGangIsNotStarvedByItsTeam(t *testing.T) {
	f := newFleet(t, 1, 48)
	f.teams["red"] = Team{Rate: 100, Ceiling: resource.Vector{MilliCPU: 100_000}}
	f.mix("00", 2*time.Second, 30*time.Second, 0, 6, 0)
	j := f.submit(8*time.Second, refret("cc00000000000001"))
	f.run(90 * time.Second)
	f.requireSound()
	f.requireAllEnded()
	require.Less(t, j.endedAt-j.handedIn, 20*time.Second)
	big := refret("cc00000000000002")
	big.Steps[0].Count = 12
	refused := f.submit(91*time.Second, big)
	f.run(95 * time.Second)
	require.True(t, refused.refused, "a gang above its team's ceiling was not refused")
}

// newFullFleet returns a fleet on which hundreds of steps wait for room.
func fullFleet(t *testing.T) *fleet {
	f := newFleet(t, 1, 48)
	for i := range 400 {
		f.submit(2*time.Second, quote(fmt.Sprintf("bb%014x", i)))
	}
	f.run(4 * time.Second)
	require.Greater(t, len(f.owner.waiting), 4*len(f.workers))
	return f
}

func TestRoundOfPlacementDoesNothingForWhatCannotFit(t *testing.T) {
	f := fullFleet(t)
	waiting := len(f.owner.waiting)
	allocations := testing.AllocsPerRun(20, func() {
		f.owner.place()
		f.owner.effects = f.owner.effects[:0]
	})
	// Collecting the candidates costs a few allocations per worker; a waiting step
	// costs none.
	require.Less(t, allocations, float64(6*len(f.workers)), "allocations with %d waiting steps", waiting)
}

func BenchmarkRoundOnAFullFleet(b *testing.B) {
	f := fullFleet(&testing.T{})
	for b.Loop() {
		f.owner.place()
		f.owner.effects = f.owner.effects[:0]
	}
}

// sortedWorkerIDs returns the IDs of sortedWorkers, in its order.
func (c *Cell) rollIDs() []string {
	var ids []string
	for _, w := range c.sortedWorkers {
		if c.workers[w.ID] == w {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

func TestRollHoldsTheWorkersInOrder(t *testing.T) {
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
			require.Equal(t, slices.Sorted(maps.Keys(c.workers)), c.rollIDs())
		}
	})
}

func TestEndedJobsAreForgottenInTime(t *testing.T) {
	f := newFleet(t, 3, 12)
	f.calm(8 * time.Second)
	f.run(60 * time.Second)
	f.requireAllEnded()
	require.Len(t, f.owner.ended, len(f.jobs))
	require.Len(t, f.store.progress, len(f.jobs))
	last := time.Duration(0)
	for _, j := range f.owner.ended {
		last = max(last, j.endedAt)
	}
	f.run(last + f.owner.StatusFor - time.Second)
	require.NotEmpty(t, f.owner.jobs)
	f.run(last + f.owner.StatusFor + time.Second)
	require.Empty(t, f.owner.jobs)
	require.Empty(t, f.store.progress)
	f.requireSound()
}
