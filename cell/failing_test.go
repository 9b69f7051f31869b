package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
