package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/resource"
)

// simListedAfterCrash is how long a worker that has crashed stays on the list.
const simListedAfterCrash = 1200 * time.Millisecond

// crash ends a worker and all its runs. It refuses connections for the given time and
// comes back later, under the same ID or under another one at the same address.
func (f *simFleet) crash(w *simWorker, down time.Duration, newID bool) {
	f.restartWorker(w)
	w.info.StartedAt-- // its entry stays as it was until it is back
	w.crashes++
	w.refuses = true
	w.pendingPoll = nil
	f.after(simListedAfterCrash, func() { w.gone = w.gone || w.refuses })
	f.after(down, func() {
		w.refuses = false
		w.info.StartedAt++
		if !newID {
			w.gone = false
			return
		}
		w.gone, w.replaced = true, true
		next := *w
		next.info.ID += "x"
		next.gone, next.replaced = false, false
		next.runs, next.highestBarredRun = map[string]*simRun{}, map[string]uint64{}
		f.workers[next.info.ID] = &next
	})
}

// startsAfterRefusal counts the starts sent to workers that refused a connection and have
// answered no call sent since.
func (f *simFleet) startsAfterRefusal() *int {
	count, refusedAt := 0, map[string]Instant{}
	f.onUpdate = func(_ *Cell, event any, effects []any, _ time.Duration) {
		switch e := event.(type) {
		case Started:
			if e.Failure == NotSent {
				refusedAt[e.Worker] = f.now
			}
		case PollResult:
			if e.Failure == NotSent {
				refusedAt[e.Worker] = f.now
			} else if e.Failure == None && e.Sent > refusedAt[e.Worker] {
				delete(refusedAt, e.Worker)
			}
		}
		for _, effect := range effects {
			if e, ok := effect.(Start); ok && refusedAt[e.Worker] > 0 {
				count++
			}
		}
	}
	return &count
}

// TestWorkerThatRefusesConnectionsGetsNothingNew lets workers crash in turn. Each drew
// starts until it had been silent for a while, as the emptiest worker of all (incident
// 2026-12-04-huella-grown-lost).
func TestWorkerThatRefusesConnectionsGetsNothingNew(t *testing.T) {
	t.Parallel()
	for _, newID := range []bool{false, true} {
		t.Run(fmt.Sprintf("new ID %v", newID), func(t *testing.T) {
			f := newFleet(t, 1, 24)
			f.eligiblePercent = 100
			count := f.startsAfterRefusal()
			f.submitMix("00", 2*time.Second, 16*time.Second, 60, 6, 0)
			for i := range 24 {
				f.at(4*time.Second+time.Duration(i)*500*time.Millisecond, func() { f.crash(f.workers[fmt.Sprintf("w%03d", i)], 3*time.Second, newID) })
			}
			f.runUntil(20 * time.Second)
			require.Zero(t, *count, "starts sent to workers known to refuse connections")
			require.Equal(t, 24, f.usableWorkers())
			f.runUntil(60 * time.Second)
			f.requireNoViolations()
			f.requireAllEnded()
		})
	}
}

// TestSoundWorkerIsUsedAgainSoonAfterOneRefusal refuses one connection for a moment, while
// a poll is held open.
func TestSoundWorkerIsUsedAgainSoonAfterOneRefusal(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 1)
	w := f.workers["w000"]
	long := lookupJob("aa00000000000001")
	long.Queue.Advice, long.Steps[0].Count, long.Steps[0].Estimate = nil, 1, 10*time.Second
	f.submit(2*time.Second, long)
	short := lookupJob("aa00000000000002")
	short.Queue.Advice, short.Steps[0].Count = nil, 1
	j := f.submit(5200*time.Millisecond, short)
	f.at(5200*time.Millisecond, func() { w.refuses = true })
	f.at(5250*time.Millisecond, func() { w.refuses = false })
	f.runUntil(5700 * time.Millisecond)
	require.NotZero(t, j.startedAt)
	f.runUntil(20 * time.Second)
	f.requireNoViolations()
	f.requireAllEnded()
	require.Equal(t, 2, f.starts)
}

// TestWithheldStartTellsNothingOfItsWorker withholds the first starts of a step at their
// sender. They run elsewhere or later, and their workers stay in use.
func TestWithheldStartTellsNothingOfItsWorker(t *testing.T) {
	t.Parallel()
	c := New(Config{MaxLease: simMaxLease, StatusRetention: time.Minute})
	clock := Clock{Steady: time.Hour, Wall: time.Unix(1, 0)}
	spec := lookupJob("aa00000000000001")
	spec.Queue.Advice, spec.Steps[0].Count = nil, 1
	step := func(event any) (starts []Start) {
		queue := []any{event}
		for len(queue) > 0 {
			next := queue[0]
			queue = queue[1:]
			for _, effect := range c.Update(clock, next) {
				switch e := effect.(type) {
				case Commit:
					queue = append(queue, Committed{Seq: e.Seq, Sent: clock.Steady})
				case Poll:
					queue = append(queue, PollResult{Worker: e.Worker, Sent: clock.Steady, Received: clock.Steady, Report: Report{StartedAt: 1, Clock: time.Minute}})
				case Start:
					starts = append(starts, e)
				}
			}
		}
		return starts
	}
	step(Claimed{Token: 9, Sent: clock.Steady, Jobs: []StoredJob{{ID: spec.ID, Job: spec}}})
	step(Listed{Workers: []WorkerInfo{{ID: "w1", Service: "s", Capacity: resource.Vector{MilliCPU: 32000, MemoryMB: 64000}, StartedAt: 1}}})
	var starts []Start
	for len(starts) == 0 && clock.Steady < time.Hour+time.Second {
		clock.Steady += 5 * time.Millisecond
		starts = step(PlacementRound{})
	}
	require.Len(t, starts, 1)
	step(Started{Worker: "w1", Task: starts[0].Task, Run: starts[0].Run, Received: clock.Steady, Failure: Withheld})
	require.True(t, c.workers["w1"].usable(clock.Steady))
	require.False(t, c.workers["w1"].failing)
	var again []Start
	for len(again) == 0 && clock.Steady < time.Hour+2*time.Second {
		clock.Steady += 5 * time.Millisecond
		again = step(PlacementRound{})
	}
	require.Len(t, again, 1)
	require.Equal(t, starts[0].Task, again[0].Task)
	require.Greater(t, again[0].Run, starts[0].Run)
}

// TestInvariantsHoldWhileWorkersCrash lets workers crash in turn and refuse starts, beside
// late starts, owners that die or are cut off from the store, and a worker that is cut off.
func TestInvariantsHoldWhileWorkersCrash(t *testing.T) {
	t.Parallel()
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFleet(t, seed, 24)
			f.teams["red"] = Team{Rate: 100, Ceiling: resource.Vector{MilliCPU: 300_000}}
			f.eligiblePercent, f.lateStartShare = 100, 0.03
			f.connectTime = time.Duration(seed%2) * 350 * time.Millisecond
			f.claim()
			f.submitLightLoad(16 * time.Second)
			f.startFailure = func(Start) Failure {
				if f.now < 18*time.Second && f.rng.IntN(50) == 0 {
					return []Failure{NotSent, NoRoom, Unhealthy, BadTicket, Withheld, Superseded}[f.rng.IntN(6)]
				}
				return None
			}
			for i := range 40 {
				f.at(4*time.Second+time.Duration(i)*300*time.Millisecond, func() {
					id := fmt.Sprintf("w%03d", i*7%24)
					for f.workers[id].replaced {
						id += "x"
					}
					if w := f.workers[id]; !w.refuses && !w.gone {
						f.crash(w, 3*time.Second, seed%3 == 0)
					}
				})
			}
			if seed%4 < 2 {
				f.at(time.Duration(6000+170*seed)*time.Millisecond, func() { f.killOwner(700 * time.Millisecond) })
			} else {
				f.at(time.Duration(6000+170*seed)*time.Millisecond, func() { f.isolateOwner(1500*time.Millisecond, 6*time.Second) })
			}
			f.at(15*time.Second, func() { f.killOwner(700 * time.Millisecond) })
			f.runUntil(120 * time.Second)
			f.requireNoViolations()
			f.requireAllEnded()
		})
	}
}
