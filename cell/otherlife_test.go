package cell

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/workload"
)

// TestLateAnswerFromAFormerAddressEndsNoRuns answers a call that was sent to the former address
// of a worker while its next life, at another address, runs tasks.
func TestLateAnswerFromAFormerAddressEndsNoRuns(t *testing.T) {
	t.Parallel()
	for name, late := range map[string]func(sent, now Instant) any{
		"poll": func(sent, now Instant) any {
			return PollResult{Worker: "w000", Sent: sent, Received: now, Failure: OtherWorker}
		},
		"stop": func(_, now Instant) any {
			return StopDone{Worker: "w000", Task: "ff00000000000001.0.0.0", Run: 1, Received: now, Failure: OtherWorker}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 1, 4)
			f.eligiblePercent = 100
			w := f.workers["w000"]
			f.runUntil(4 * time.Second)
			sent := f.now
			f.restartWorker(w)
			w.info.Addr = "elsewhere"
			spec := quoteJob("aa00000000000001")
			spec.Queue.Advice = nil
			spec.Steps = []workload.Step{{Count: 40, Need: resource.Vector{MilliCPU: 2000, MemoryMB: 2000}, Estimate: 20 * time.Second}}
			f.submit(f.now+500*time.Millisecond, spec)
			for len(w.runs) == 0 && f.now < sent+maxPollTime {
				f.runUntil(f.now + 10*time.Millisecond)
			}
			require.NotEmpty(t, w.runs)
			require.Equal(t, "elsewhere", f.owner.workers["w000"].Addr)
			f.runUntil(f.now + 20*time.Millisecond)
			f.send(f.owner, late(sent, f.now))
			f.runUntil(f.now + 60*time.Second)
			f.requireNoViolations()
			require.Equal(t, 40, f.starts)
		})
	}
}

// idleWorker returns a cell, its clock and a worker after the worker, known with a clock of a
// minute, has been idle for a while since the last commit.
func idleWorker(idle time.Duration) (*Cell, *Clock, *worker) {
	c := New(Config{MaxLease: simMaxLease, StatusRetention: time.Minute})
	clock := Clock{Steady: time.Hour, Wall: time.Unix(1, 0)}
	info := WorkerInfo{ID: "w1", Addr: "a", Service: "s", Capacity: resource.Vector{MilliCPU: 32000}, StartedAt: 1, Clock: time.Minute}
	c.Update(clock, Claimed{Token: 9, Sent: clock.Steady})
	c.Update(clock, Listed{Workers: []WorkerInfo{info}})
	c.Update(clock, PollResult{Worker: "w1", Sent: clock.Steady, Received: clock.Steady, Report: Report{StartedAt: 1, Clock: time.Minute}})
	clock.Steady += idle
	c.Update(clock, PlacementRound{})
	return c, &clock, c.workers["w1"]
}

// TestLateReportOfAnEarlierLifeSetsNoClock reads a report that an earlier life of a worker sent,
// after the next one has reported: leases would end at a time on the wrong clock.
func TestLateReportOfAnEarlierLifeSetsNoClock(t *testing.T) {
	t.Parallel()
	c, clock, w := idleWorker(2 * time.Second)
	sent := clock.Steady
	clock.Steady += time.Second
	c.Update(*clock, PollResult{Worker: "w1", Sent: clock.Steady, Received: clock.Steady, Report: Report{StartedAt: 2, Clock: time.Second}})
	clock.Steady += time.Second
	c.Update(*clock, PollResult{Worker: "w1", Sent: sent, Received: clock.Steady, Report: Report{StartedAt: 1, Clock: time.Minute + 2*time.Second}})
	require.LessOrEqual(t, w.minClock(clock.Steady), 2*time.Second, "the worker's clock")
}

// TestLeaseThatReachesAnUnnoticedLifeIsReckonedWith starts a task on a worker that has started
// again while it was idle and is cut off before its next report.
func TestLeaseThatReachesAnUnnoticedLifeIsReckonedWith(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name              string
		maxLease, oldness time.Duration
	}{
		{"the last commit is old", simMaxLease, 6 * time.Second},
		{"workers grant long leases", longestLease, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c, clock, w := idleWorker(test.oldness)
			c.MaxLease = test.maxLease
			length := c.leaseLengthOn(w)
			require.Greater(t, length, minLease)
			until := c.grantLease(w, length)
			clockOfLife := time.Second
			lasts := min(until-clockOfLife, test.maxLease) // a worker shortens a lease to the longest it grants
			require.GreaterOrEqual(t, w.leasesEnd(), clock.Steady+lasts, "the worker's runs go on until then")
		})
	}
}

// TestLastingTaskOfAWorkerThatEndsSoonAfterItsStartRunsAgain lets idle workers start again, and
// the one that gets a task that lasts end once more. No lease was granted to its former life.
func TestLastingTaskOfAWorkerThatEndsSoonAfterItsStartRunsAgain(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 6)
	f.maxLease, f.eligiblePercent = longestLease, 100
	f.owner.MaxLease = longestLease
	f.runUntil(10 * time.Second)
	for _, w := range inOrder(f.workers) {
		f.restartWorker(w)
	}
	f.runUntil(11 * time.Second)
	spec := quoteJob("aa00000000000001")
	spec.Queue.Advice = nil
	spec.Steps = []workload.Step{{Count: 1, Need: resource.Vector{MilliCPU: 2000, MemoryMB: 2000}, Estimate: time.Minute, LongRunning: true}}
	f.submit(f.now, spec)
	f.runUntil(11500 * time.Millisecond)
	ended := 0
	for _, w := range inOrder(f.workers) {
		if len(w.runs) > 0 {
			f.leave(w, time.Hour, true)
			ended++
		}
	}
	require.Equal(t, 1, ended)
	idle := f.watchIdle()
	f.runUntil(30 * time.Second)
	f.requireNoViolations()
	require.LessOrEqual(t, idle.longest[spec.ID], lastingIdleLimit)
}

// playResults lets a worker list an end at each look until it is acknowledged. Reports travel
// for the given time, and are read later by the lag of the owner. It returns the polls that
// acknowledge, with the ages of the report before them.
func playResults(travel, lag time.Duration) (ages []time.Duration) {
	c, clock, _ := idleWorker(0)
	type answer struct {
		at    Instant
		event any
	}
	var queue []answer
	madeAt, start := Instant(0), clock.Steady
	handle := func(effects []any) {
		for _, effect := range slices.Clone(effects) {
			switch e := effect.(type) {
			case Commit:
				queue = append(queue, answer{clock.Steady + 5*time.Millisecond, Committed{Seq: e.Seq, Sent: clock.Steady}})
			case Poll:
				if e.Ack > 0 {
					ages = append(ages, clock.Steady-madeAt)
				}
				report := Report{StartedAt: 1, Clock: time.Minute + clock.Steady - start}
				report.Ended = []RunResult{{Seq: 1, Task: "aa00000000000001.0.0.0", Run: 1, Outcome: Done}}
				queue = append(queue, answer{clock.Steady + travel + lag, PollResult{Worker: "w1", Sent: clock.Steady, Received: clock.Steady + travel, Report: report}})
			}
		}
	}
	report := Report{StartedAt: 1, Clock: time.Minute, Ended: []RunResult{{Seq: 1, Task: "aa00000000000001.0.0.0", Run: 1, Outcome: Done}}}
	queue = append(queue, answer{clock.Steady + travel + lag, PollResult{Worker: "w1", Sent: clock.Steady, Received: clock.Steady + travel, Report: report}})
	madeAt = clock.Steady
	for range 2000 {
		clock.Steady += 5 * time.Millisecond
		due := queue
		queue = nil
		for _, a := range due {
			if a.at > clock.Steady {
				queue = append(queue, a)
				continue
			}
			if result, ok := a.event.(PollResult); ok {
				madeAt = max(madeAt, result.Sent)
			}
			handle(c.Update(*clock, a.event))
		}
		handle(c.Update(*clock, Flush{}))
	}
	return ages
}

// TestResultsAreAcknowledgedByAnOwnerThatIsBehind lets an owner read its events late.
func TestResultsAreAcknowledgedByAnOwnerThatIsBehind(t *testing.T) {
	t.Parallel()
	require.NotEmpty(t, playResults(2*time.Millisecond, 100*time.Millisecond))
	require.NotEmpty(t, playResults(2*time.Millisecond, 600*time.Millisecond), "no end was acknowledged in 10 s")
}
