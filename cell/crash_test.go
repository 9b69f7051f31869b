package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simListedAfterCrash is how long a worker that has crashed stays on the list.
const simListedAfterCrash = 1200 * time.Millisecond

// crash ends a worker and all its runs. It refuses connections for the given time and
// comes back later, under the same ID or under another one at the same address.
func (f *simFleet) crash(w *simWorker, down time.Duration, newID bool) {
	f.restartWorker(w)
	w.refuses = true
	w.pendingPoll = nil
	f.after(simListedAfterCrash, func() { w.gone = w.gone || w.refuses })
	f.after(down, func() {
		w.refuses = false
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
