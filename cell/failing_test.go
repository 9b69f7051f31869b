package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/resource"
)

// usedAgainWithin is how soon after the end of a fault workers get new work again.
const usedAgainWithin = 2 * time.Second

// usableWorkers returns how many workers the owner would give new work to.
func (f *simFleet) usableWorkers() int {
	n := 0
	for _, w := range f.owner.workers {
		if w.usable(f.now) {
			n++
		}
	}
	return n
}

// TestWorkersAreUsedAgainAfterACut cuts workers off until their leases have run out. They
// were never polled again (incident 2026-12-04-huella-grown-lost).
func TestWorkersAreUsedAgainAfterACut(t *testing.T) {
	t.Parallel()
	for _, cut := range []time.Duration{9 * time.Second, 40 * time.Second} {
		t.Run(cut.String(), func(t *testing.T) {
			f := newFleet(t, 1, 24)
			f.submitMix("00", 2*time.Second, cut+8*time.Second, 20, 4, 0)
			polls, counting := 0, false
			f.onUpdate = func(_ *Cell, _ any, effects []any, _ time.Duration) {
				for _, effect := range effects {
					if e, ok := effect.(Poll); ok && counting && f.workers[e.Worker].cutOff {
						polls++
					}
				}
			}
			f.at(4*time.Second, func() {
				for i := range 12 {
					f.workers[fmt.Sprintf("w%03d", i)].cutOff = true
				}
			})
			f.runUntil(4*time.Second + cut)
			for i := range 12 {
				require.Empty(t, f.owner.workers[fmt.Sprintf("w%03d", i)].runs)
			}
			counting = true
			f.runUntil(f.now + time.Second)
			require.LessOrEqual(t, polls, 12, "polls of workers that have not answered for %v", cut)
			for _, w := range f.workers {
				w.cutOff = false
			}
			f.runUntil(f.now + usedAgainWithin)
			require.Equal(t, 24, f.usableWorkers())
			f.runUntil(f.now + 60*time.Second)
			f.requireNoViolations()
			f.requireAllEnded()
		})
	}
}

// TestWorkerWithOneUnansweredStartIsUsedAgain cuts a worker off while its only start is on
// its way. The worker was never polled again once the start had been given up.
func TestWorkerWithOneUnansweredStartIsUsedAgain(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 1)
	w := f.workers["w000"]
	spec := lookupJob("aa00000000000001")
	spec.Queue.Advice, spec.Queue.Slack, spec.Steps[0].Count = nil, 600, 1
	j := f.submit(2*time.Second, spec)
	f.onUpdate = func(_ *Cell, _ any, effects []any, _ time.Duration) {
		for _, effect := range effects {
			if _, ok := effect.(Start); ok && f.now < 3*time.Second {
				w.cutOff = true
			}
		}
	}
	f.runUntil(20 * time.Second)
	require.Zero(t, j.startedAt)
	require.Zero(t, f.usableWorkers())
	w.cutOff = false
	f.runUntil(20*time.Second + usedAgainWithin)
	require.Equal(t, 1, f.usableWorkers())
	f.runUntil(25 * time.Second)
	f.requireNoViolations()
	f.requireAllEnded()
}

// TestDeadWorkerThatLeftTheListIsRemoved removes a worker from the list while its owner
// cannot reach it.
func TestDeadWorkerThatLeftTheListIsRemoved(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 24)
	f.submitLightLoad(8 * time.Second)
	f.at(4*time.Second, func() { f.workers["w003"].gone = true })
	f.runUntil(20 * time.Second)
	require.Len(t, f.owner.workers, 23)
	f.runUntil(90 * time.Second)
	f.requireNoViolations()
	f.requireAllEnded()
}

// TestReplacedWorkerIsForgotten lets another worker answer at the address of one that stays on
// the list. That one was added and lost again, and the roster stored, at every listing.
func TestReplacedWorkerIsForgotten(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 4)
	lost := f.logged("worker lost")
	rosters := 0
	count := f.onUpdate
	f.onUpdate = func(c *Cell, event any, effects []any, took time.Duration) {
		count(c, event, effects, took)
		for _, effect := range effects {
			if commit, ok := effect.(Commit); ok && f.now > 5*time.Second {
				for _, row := range commit.Puts {
					if row.Table == Roster {
						rosters++
					}
				}
			}
		}
	}
	w := f.workers["w001"]
	f.at(4*time.Second, func() { w.replaced = true })
	f.submitLightLoad(8 * time.Second)
	f.runUntil(14 * time.Second)
	require.LessOrEqual(t, len(*lost), 2, "once by a start, once by a poll of what is listed")
	require.Zero(t, rosters, "rosters stored")
	require.Nil(t, f.owner.workers["w001"])

	// It starts again under its ID.
	w.replaced = false
	w.runs, w.lastSeq, w.ended, w.token = map[string]*simRun{}, 0, nil, 0
	w.info.StartedAt++
	f.runUntil(14*time.Second + usedAgainWithin)
	require.Equal(t, 4, f.usableWorkers())
}

// TestLateAnswerFromAFormerAddressReplacesNoWorker answers a poll that was sent to the former
// address of a worker after the worker has been listed at another one.
func TestLateAnswerFromAFormerAddressReplacesNoWorker(t *testing.T) {
	t.Parallel()
	c := New(Config{MaxLease: simMaxLease, StatusRetention: time.Minute})
	clock := Clock{Steady: time.Hour, Wall: time.Unix(1, 0)}
	info := WorkerInfo{ID: "w1", Addr: "a", Service: "s", Capacity: resource.Vector{MilliCPU: 32000}, StartedAt: 1}
	c.Update(clock, Claimed{Token: 9, Sent: clock.Steady})
	c.Update(clock, Listed{Workers: []WorkerInfo{info}})
	sent := clock.Steady + 10*time.Millisecond
	clock.Steady += 20 * time.Millisecond
	info.Addr, info.StartedAt = "b", 2
	c.Update(clock, Listed{Workers: []WorkerInfo{info}})
	c.Update(clock, PollResult{Worker: "w1", Sent: sent, Received: clock.Steady, Failure: OtherWorker})
	c.Update(clock, Listed{Workers: []WorkerInfo{info}})
	require.NotNil(t, c.workers["w1"])
}

// A lease that ends at a time on the clock of an earlier life may last for as long as a worker
// grants on that of the next, whose clock starts anew.
func TestLeaseOfAnEarlierLifeMayLastLongerInTheNext(t *testing.T) {
	t.Parallel()
	c := New(Config{MaxLease: simMaxLease, StatusRetention: time.Minute})
	clock := Clock{Steady: time.Hour, Wall: time.Unix(1, 0)}
	info := WorkerInfo{ID: "w1", Addr: "a", Service: "s", Capacity: resource.Vector{MilliCPU: 32000}, StartedAt: 1, Clock: time.Minute}
	c.Update(clock, Claimed{Token: 9, Sent: clock.Steady})
	c.Update(clock, Listed{Workers: []WorkerInfo{info}})
	report := func(startedAt int64, reading time.Duration) {
		c.Update(clock, PollResult{Worker: "w1", Sent: clock.Steady, Received: clock.Steady, Report: Report{StartedAt: startedAt, Clock: reading}})
	}
	report(1, time.Minute)
	w := c.workers["w1"]
	clock.Steady += 7 * time.Second // the last commit is that old
	c.Update(clock, PlacementRound{})
	c.grantLease(w, c.leaseLength())
	require.Less(t, c.leaseLength(), simMaxLease)
	clock.Steady += 100 * time.Millisecond
	report(2, time.Second)
	require.GreaterOrEqual(t, w.leaseEnd, clock.Steady+maxLeaseTime(simMaxLease))
}
