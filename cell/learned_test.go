package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/digest"
	"github.com/cowslipgap/cowslipgap/promise"
)

// logged returns the text and reason of the log lines about learned state.
func logged(effects []any) (text, reason string) {
	for _, effect := range effects {
		if r, ok := effect.(LogRecord); ok && (r.Text == "learned state restored" || r.Text == "learned state not used") {
			text = r.Text
			for _, a := range r.Attrs {
				if a.Key == "reason" {
					reason = a.Value.String()
				}
			}
		}
	}
	return text, reason
}

// TestTakeoverInABurst replays a burst with a heavy tail on an uneven fleet. The owner ends in
// it, between two rows. Its successor must know the speeds and run times at once. The share in
// time of the jobs of the next seconds is logged beside that of a successor that learns anew.
func TestTakeoverInABurst(t *testing.T) {
	t.Parallel()
	const killAt, delay = 17500 * time.Millisecond, 1300 * time.Millisecond
	const takeover = killAt + delay
	inTime := map[bool]map[time.Duration]int{true: {}, false: {}}
	for _, keeps := range []bool{true, false} {
		total := map[time.Duration]int{}
		for seed := range uint64(3) {
			f := newUnevenFleet(t, seed, unevenSpeeds)
			f.forgetsLearned = !keeps
			unevenLoads[1].simulate(f)
			f.misestimate(0.03)
			f.at(killAt, func() { f.killOwner(delay) })
			f.runUntil(killAt)
			state := &digest.State{}
			if keeps {
				stored, writtenAt, err := digest.Decode(f.store.learned)
				require.NoError(t, err)
				state = stored
				require.NotEmpty(t, state.Queues["lookup"].Runs)
				require.Less(t, f.clock().Wall.Sub(writtenAt), learnedInterval+maxCommitInterval)
			}
			f.runUntil(takeover + 100*time.Millisecond)
			require.Equal(t, keeps, f.owner.Summary().Uneven == 1)
			require.Equal(t, len(state.Speeds), f.owner.Summary().Restored)
			require.GreaterOrEqual(t, f.owner.Summary().Speeds, len(state.Speeds))
			require.Equal(t, keeps, f.owner.queueStats("lookup").runs.Known())
			f.runUntil(4 * time.Minute)
			f.requireNoViolations()
			f.requireAllEnded()
			for _, within := range []time.Duration{2 * time.Second, 5 * time.Second} {
				for _, j := range f.jobs {
					if j.submittedAt >= takeover && j.submittedAt < takeover+within {
						total[within]++
						if j.inTime() {
							inTime[keeps][within]++
						}
					}
				}
			}
		}
		t.Logf("learned state kept %v: in time %v of %v submitted within the time since the takeover", keeps, inTime[keeps], total)
	}
}

// learnedRowOf returns the row of an owner that knows a worker's speed and a caller.
func learnedRowOf(t *testing.T, at time.Time) []byte {
	s := digest.State{Speeds: map[uint32]float64{digest.WorkerKey("w1", 7): 2}, Queues: map[string]digest.Queue{"lookup": {Eligible: 0.25}}, Shares: map[string]float64{"blue": 0.5}}
	s.Callers = []promise.Caller{{Job: "a", Work: 1, Cores: 1, FirstSeen: -time.Second, ReturnAt: 10 * time.Second, LastUse: 90 * time.Second}}
	row, err := s.Encode(at)
	require.NoError(t, err)
	return row
}

func TestLearnedStateIsTrustedByItsAge(t *testing.T) {
	clock := Clock{Steady: time.Hour, Wall: time.Unix(1_700_000_000, 0)}
	valid := learnedRowOf(t, clock.Wall)
	newer := append([]byte(nil), valid...)
	newer[2] = 2 // the format version is the first value of the map
	for name, test := range map[string]struct {
		claim  Claimed
		reason string
		speeds int
		places int
	}{
		"fresh":            {claim: Claimed{Learned: valid}, speeds: 1, places: 1},
		"old":              {claim: Claimed{Learned: learnedRowOf(t, clock.Wall.Add(-61*time.Second))}, places: 1},
		"very old":         {claim: Claimed{Learned: learnedRowOf(t, clock.Wall.Add(-100*time.Second))}, reason: "too old"},
		"clock ahead":      {claim: Claimed{Learned: learnedRowOf(t, clock.Wall.Add(4*time.Second))}, speeds: 1, places: 1},
		"clock far ahead":  {claim: Claimed{Learned: learnedRowOf(t, clock.Wall.Add(time.Hour))}, reason: "of a later time"},
		"malformed":        {claim: Claimed{Learned: valid[:20]}, reason: "decode learned state: unexpected EOF"},
		"newer":            {claim: Claimed{Learned: newer}, reason: "digest: format version 2"},
		"none":             {claim: Claimed{Previous: true}, reason: "none stored"},
		"read failed":      {claim: Claimed{LearnedFailure: "no answer"}, reason: "no answer"},
		"first claim ever": {},
	} {
		t.Run(name, func(t *testing.T) {
			c := New(Config{MaxLease: simMaxLease})
			test.claim.Token, test.claim.Sent = 9, clock.Steady
			text, reason := logged(c.Update(clock, test.claim))
			require.Equal(t, test.reason, reason)
			require.Equal(t, len(test.claim.Learned) > 0 && reason == "", text == "learned state restored")
			c.Update(clock, Listed{Workers: []WorkerInfo{{ID: "w1", Service: "s", StartedAt: 7}, {ID: "w2", Service: "s", StartedAt: 7}}})
			require.Equal(t, test.speeds, c.Summary().Speeds)
			require.Equal(t, test.places, c.Summary().Promised)
			if test.speeds > 0 {
				require.InDelta(t, 2, c.workers["w1"].relativeSpeed(), 0.05)
				require.InDelta(t, 0.25, c.queueStats("lookup").eligibleShare, 1e-6)
				require.InDelta(t, 0.5, c.shares.WeightedUsage("blue"), 0.01)
			}
		})
	}
}

// TestRestartedWorkerHasNoRestoredSpeed restarts a worker between the owner's last row and
// the successor's first list.
func TestRestartedWorkerHasNoRestoredSpeed(t *testing.T) {
	clock := Clock{Steady: time.Hour, Wall: time.Unix(1_700_000_000, 0)}
	c := New(Config{MaxLease: simMaxLease})
	c.Update(clock, Claimed{Token: 9, Sent: clock.Steady, Learned: learnedRowOf(t, clock.Wall)})
	c.Update(clock, Listed{Workers: []WorkerInfo{{ID: "w1", Service: "s", StartedAt: 8}}})
	require.Zero(t, c.Summary().Speeds)
}

// TestLearnedStateIsWrittenWithOrdinaryCommits checks when an owner writes its state: with
// commits that it sends anyway, and not again while nothing has changed.
func TestLearnedStateIsWrittenWithOrdinaryCommits(t *testing.T) {
	start := Clock{Steady: time.Hour, Wall: time.Unix(1_700_000_000, 0)}
	c := New(Config{MaxLease: simMaxLease})
	c.Update(start, Claimed{Token: 9, Sent: start.Steady})
	c.Update(start, Listed{Workers: []WorkerInfo{{ID: "w1", Service: "s", StartedAt: 7}}})
	var written []time.Duration
	commits := 0
	for d := time.Duration(0); d < 32*time.Second; d += 10 * time.Millisecond {
		now := Clock{Steady: start.Steady + d, Wall: start.Wall.Add(d)}
		if d == 5*time.Second {
			c.workers["w1"].speed.Restore(2)
		}
		for _, effect := range append([]any(nil), c.Update(now, Flush{})...) {
			if e, ok := effect.(Commit); ok {
				commits++
				for _, r := range e.Puts {
					if r.Table == Learned {
						written = append(written, d.Round(time.Second))
					}
				}
				c.Update(now, Committed{Seq: e.Seq, Sent: now.Steady})
			}
		}
	}
	require.Equal(t, []time.Duration{6 * time.Second, 26 * time.Second}, written)
	require.LessOrEqual(t, commits, int(32*time.Second/maxCommitInterval)+1, "no commit is sent for it")
}

// TestOwnerEndsBeforeItsAnswer ends an owner whose row was stored but not confirmed.
func TestOwnerEndsBeforeItsAnswer(t *testing.T) {
	t.Parallel()
	f := newUnevenFleet(t, 1, unevenSpeeds)
	unevenLoads[0].simulate(f)
	f.runUntil(14 * time.Second)
	for before := len(f.store.learned); before == len(f.store.learned) && f.now < 20*time.Second; {
		f.runUntil(f.now + time.Millisecond)
	}
	f.killOwner(time.Second)
	f.runUntil(f.now + 1600*time.Millisecond)
	require.Greater(t, f.owner.Summary().Restored, 40)
	f.runUntil(4 * time.Minute)
	f.requireNoViolations()
	f.requireAllEnded()
}

// BenchmarkLearnedRow encodes the state of a cell, which an owner does every
// learnedInterval.
func BenchmarkLearnedRow(b *testing.B) {
	for _, workers := range []int{350, 3000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			c := New(Config{MaxLease: simMaxLease})
			now := Clock{Steady: time.Hour, Wall: time.Unix(1_700_000_000, 0)}
			c.Update(now, Claimed{Token: 9, Sent: now.Steady})
			infos := make([]WorkerInfo, workers)
			for i := range infos {
				infos[i] = WorkerInfo{ID: fmt.Sprintf("worker-%05d", i), Service: "s", StartedAt: 7}
			}
			c.Update(now, Listed{Workers: infos})
			for i, w := range c.sortedWorkers {
				w.speed.Restore(0.5 + float64(i%7)/4)
			}
			for q := range 60 {
				stats := c.queueStats(fmt.Sprintf("queue-%02d", q))
				for i := range 2000 {
					stats.runs.Add(0.2 + float64(i%97)/40)
					stats.peers.Add(0.5 + float64(i%89)/80)
				}
			}
			for i := range 2048 {
				c.promises.Refuse(promise.Caller{Job: fmt.Sprintf("%016x", i), Team: "blue", Work: 1, ReturnAt: now.Steady + time.Minute, LastUse: now.Steady + time.Minute}, now.Steady)
			}
			for b.Loop() {
				c.now.Steady += learnedInterval
				row, due := c.learnedRow()
				require.True(b, due)
				b.ReportMetric(float64(len(row.Value)), "bytes")
			}
			b.ReportMetric(100*b.Elapsed().Seconds()/float64(b.N)/learnedInterval.Seconds(), "%core")
		})
	}
}
