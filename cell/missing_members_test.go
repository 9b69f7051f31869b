package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/workload"
)

// wideGang returns a gang of 33 members on as many workers.
func wideGang(id string) *workload.Job {
	spec := gangJob(id)
	spec.Steps[0].Count, spec.Steps[0].MaxPerWorker = 33, 1
	spec.Steps[0].Need = resource.Vector{MilliCPU: 11000, MemoryMB: 17000}
	return spec
}

// TestWideGangStartsWhileWorkersCrashInTurn lets workers crash in turn for 3 s each, so that up
// to 40 of 100 refuse connections, or do not answer them, at any time. The turn of a worker that
// runs a member is left out, because its crash ends the gang for good reason. The gang was
// stopped by each start that was not sent (incident 2026-12-04-huella-grown-lost).
func TestWideGangStartsWhileWorkersCrashInTurn(t *testing.T) {
	t.Parallel()
	for _, crashes := range []struct {
		workers            int
		every, connectTime time.Duration
		newID              bool
	}{
		{60, 200 * time.Millisecond, 0, false},
		{60, 200 * time.Millisecond, 350 * time.Millisecond, true},
		{100, 75 * time.Millisecond, 0, false},
		{100, 75 * time.Millisecond, 350 * time.Millisecond, false},
		{100, 75 * time.Millisecond, 350 * time.Millisecond, true},
		{100, 100 * time.Millisecond, 350 * time.Millisecond, false},
		{100, 100 * time.Millisecond, 350 * time.Millisecond, true},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d, every %v, connect %v, new ID %v, seed %d", crashes.workers, crashes.every, crashes.connectTime, crashes.newID, seed), func(t *testing.T) {
				f := newFleet(t, seed, crashes.workers)
				f.eligiblePercent, f.connectTime = 100, crashes.connectTime
				next := 0
				crashOne := func() {
					id := fmt.Sprintf("w%03d", next*7%crashes.workers)
					next++
					for f.workers[id].replaced {
						id += "x"
					}
					if w := f.workers[id]; !w.refuses && len(w.runs) == 0 {
						f.crash(w, 3*time.Second, crashes.newID)
					}
				}
				f.after(time.Duration(seed)*30*time.Millisecond, func() { f.every(crashes.every, crashOne) })
				var gangs []*simJob
				for i := range 4 {
					gangs = append(gangs, f.submit(time.Duration(5+12*i)*time.Second, wideGang(fmt.Sprintf("cc%014x", i))))
				}
				f.runUntil(70 * time.Second)
				require.Empty(t, f.violations)
				for _, j := range gangs {
					require.True(t, j.accepted)
					require.NotZero(t, j.begunAt, "the gang did not begin")
					require.Less(t, j.begunAt-j.submittedAt, maxWait, "the gang's wait with room for it")
					require.Equal(t, workload.Completed, j.state)
					require.Less(t, j.endedAt-j.submittedAt, j.allowed)
				}
				require.Zero(t, f.aloneEnds)
			})
		}
	}
}

// TestMemberIsPlacedAnewUnderTheSameRun refuses the start of one member once, for each reason
// that says that nothing was done.
func TestMemberIsPlacedAnewUnderTheSameRun(t *testing.T) {
	t.Parallel()
	for _, failure := range []Failure{NotSent, Unhealthy, NoRoom, BadTicket, Withheld, Superseded, Expired} {
		t.Run(fmt.Sprint(failure), func(t *testing.T) {
			f := newFleet(t, 1, 60)
			f.eligiblePercent = 100
			spec := wideGang("cc00000000000001")
			j := f.submit(2*time.Second, spec)
			stops, lastRun, refused := 0, uint64(0), false
			f.onUpdate = func(_ *Cell, _ any, effects []any, _ time.Duration) {
				for _, effect := range effects {
					switch e := effect.(type) {
					case Stop:
						stops++
					case Start:
						lastRun = max(lastRun, e.Run)
					}
				}
			}
			f.startFailure = func(e Start) Failure {
				if e.Task != spec.ID+".0.0.7" || refused {
					return None
				}
				refused = true
				return failure
			}
			f.runUntil(30 * time.Second)
			f.requireNoViolations()
			f.requireAllEnded()
			require.Zero(t, f.aloneEnds)
			require.Equal(t, workload.Completed, j.state)
			if failure == Superseded || failure == Expired {
				require.Equal(t, uint64(2), lastRun, "the run number cannot be used again")
				return
			}
			require.Equal(t, uint64(1), lastRun)
			require.Zero(t, stops)
			require.Equal(t, 33, f.starts)
		})
	}
}

// TestMemberWithoutAnotherWorkerEndsTheGangInTime refuses each start of one member while no
// other worker may take it. The members that wait are stopped before they end by themselves.
func TestMemberWithoutAnotherWorkerEndsTheGangInTime(t *testing.T) {
	t.Parallel()
	for _, advised := range []bool{false, true} {
		t.Run(fmt.Sprintf("advised %v", advised), func(t *testing.T) {
			f := newFleet(t, 1, 33)
			f.eligiblePercent = 100
			spec := wideGang("cc00000000000001")
			spec.Queue.Slack = 60
			if !advised {
				spec.Queue.Advice = nil
			}
			j := f.submit(2*time.Second, spec)
			f.startFailure = func(e Start) Failure {
				if e.Worker == "w004" && f.now < 8*time.Second {
					return Unhealthy
				}
				return None
			}
			records := f.logged("gang ended")
			f.runUntil(40 * time.Second)
			f.requireNoViolations()
			require.NotEmpty(t, *records)
			require.Zero(t, f.aloneEnds, "members waited until they ended by themselves")
			require.Equal(t, workload.Completed, j.state)
		})
	}
}

// TestMemberWaitsForATicket refuses the start of one member while no other worker has a
// ticket: all 33 that were asked about are in use.
func TestMemberWaitsForATicket(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 60)
	f.eligiblePercent = 100
	spec := wideGang("cc00000000000001")
	j := f.submit(2*time.Second, spec)
	refused := false
	f.startFailure = func(e Start) Failure {
		if e.Task != spec.ID+".0.0.7" || refused {
			return None
		}
		refused = true
		s := f.owner.jobs[spec.ID].occurrences[0].steps[0]
		for w := range s.advice.tickets {
			if w.runs[spec.ID+".0.0.7"] == nil && len(w.runs) == 0 {
				delete(s.advice.tickets, w)
			}
		}
		return Unhealthy
	}
	f.runUntil(30 * time.Second)
	f.requireNoViolations()
	require.Equal(t, 33, f.starts)
	require.Zero(t, f.aloneEnds)
	require.Equal(t, workload.Completed, j.state)
	require.Greater(t, j.begunAt-j.startedAt, 400*time.Millisecond, "it did not wait for a ticket")
}

// TestMemberOfAnEndedRunIsNotStarted ends a member while the placement of another, which is
// placed anew, is being stored. It would wait in vain until it ended by itself.
func TestMemberOfAnEndedRunIsNotStarted(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 60)
	f.eligiblePercent = 100
	spec := wideGang("cc00000000000001")
	spec.Queue.Slack = 60
	j := f.submit(2*time.Second, spec)
	refused := false
	f.startFailure = func(e Start) Failure {
		if e.Task != spec.ID+".0.0.7" || refused {
			return None
		}
		refused = true
		return NotSent
	}
	firstRun := 0
	f.onUpdate = func(_ *Cell, _ any, effects []any, _ time.Duration) {
		for _, effect := range effects {
			switch e := effect.(type) {
			case Start:
				if e.Run == 1 {
					firstRun++
				}
			case LogRecord:
				if e.Text != "gang members placed anew" {
					continue
				}
				for _, w := range f.workers {
					if r := w.runs[spec.ID+".0.0.3"]; r != nil {
						f.endRun(w, spec.ID+".0.0.3", r, Failed)
					}
				}
			}
		}
	}
	f.runUntil(40 * time.Second)
	f.requireNoViolations()
	require.Equal(t, 33, firstRun, "the members but one, and that one once")
	require.Zero(t, f.aloneEnds)
	require.Equal(t, workload.Completed, j.state)
}

// TestMemberPlacedAnewKeepsToTheLimits refuses starts of gangs whose team is near its ceiling
// while other work of the team takes what is released, and kills the owner meanwhile. The
// simulation checks ceilings, capacities, members per worker and double runs.
func TestMemberPlacedAnewKeepsToTheLimits(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFleet(t, seed, 48)
			f.eligiblePercent = 100
			f.teams["red"] = Team{Rate: 100, Ceiling: resource.Vector{MilliCPU: 400_000}}
			f.claim()
			f.submitMix("00", 2*time.Second, 20*time.Second, 20, 8, 0)
			for i := range 4 {
				spec := wideGang(fmt.Sprintf("cc%014x", i))
				spec.Queue.Slack, spec.Steps[0].Estimate = 60, 2*time.Second
				f.submit(time.Duration(4+4*i)*time.Second, spec)
			}
			f.startFailure = func(e Start) Failure {
				if f.now < 24*time.Second && e.Task[:2] == "cc" && f.rng.IntN(40) == 0 {
					return []Failure{NotSent, NoRoom, Unhealthy, BadTicket, Withheld}[f.rng.IntN(5)]
				}
				return None
			}
			anew := f.logged("gang members placed anew")
			f.at(10*time.Second, func() {
				seen := len(*anew)
				var kill func()
				kill = func() { // as soon as a member has been placed anew and its placement is not stored
					if len(*anew) > seen || f.now > 16*time.Second {
						f.killOwner(700 * time.Millisecond)
						return
					}
					f.after(time.Millisecond, kill)
				}
				kill()
			})
			f.runUntil(120 * time.Second)
			f.requireNoViolations()
			f.requireAllEnded()
			require.NotEmpty(t, *anew)
		})
	}
}

// TestSuccessorStopsAGangWithAMissingMember kills the owner while a gang waits for a member
// that is to be placed anew. The others waited until they ended by themselves.
func TestSuccessorStopsAGangWithAMissingMember(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 60)
	f.eligiblePercent = 100
	spec := wideGang("cc00000000000001")
	j := f.submit(2*time.Second, spec)
	refused := false
	f.startFailure = func(e Start) Failure {
		if e.Task != spec.ID+".0.0.7" || refused {
			return None
		}
		refused = true
		clear(f.owner.jobs[spec.ID].occurrences[0].steps[0].advice.tickets)
		f.after(100*time.Millisecond, func() { f.killOwner(700 * time.Millisecond) })
		return Unhealthy
	}
	f.runUntil(30 * time.Second)
	f.requireNoViolations()
	require.True(t, refused)
	require.Zero(t, f.aloneEnds)
	require.Equal(t, workload.Completed, j.state)
}

// TestMemberWhoseStartIsLostEndsTheGangSoon loses the start of one member on its way. The
// others waited for it until they ended by themselves.
func TestMemberWhoseStartIsLostEndsTheGangSoon(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 60)
	f.eligiblePercent = 100
	spec := wideGang("cc00000000000001")
	j := f.submit(2*time.Second, spec)
	lost := false
	f.startFailure = func(e Start) Failure {
		if e.Task != spec.ID+".0.0.7" || lost {
			return None
		}
		lost = true
		return NoAnswer
	}
	f.runUntil(30 * time.Second)
	f.requireNoViolations()
	require.Zero(t, f.aloneEnds)
	require.Equal(t, workload.Completed, j.state)
	require.Less(t, j.begunAt-j.submittedAt, maxWait)
}

// TestMemberWhosePlacementIsNotStoredEndsTheGangInTime refuses the start of one member once, and
// keeps the store silent from then on.
func TestMemberWhosePlacementIsNotStoredEndsTheGangInTime(t *testing.T) {
	t.Parallel()
	for _, silent := range []time.Duration{1500 * time.Millisecond, 2900 * time.Millisecond, 5 * time.Second} {
		t.Run(silent.String(), func(t *testing.T) {
			f := newFleet(t, 1, 60)
			f.eligiblePercent = 100
			spec := wideGang("cc00000000000001")
			j := f.submit(2*time.Second, spec)
			refused := false
			f.startFailure = func(e Start) Failure {
				if e.Task != spec.ID+".0.0.7" || refused {
					return None
				}
				refused = true
				f.storeDown = true
				f.after(silent, func() { f.storeDown = false })
				return Unhealthy
			}
			f.runUntil(40 * time.Second)
			require.Empty(t, f.violations)
			require.Zero(t, f.aloneEnds)
			require.Equal(t, workload.Completed, j.state)
		})
	}
}
