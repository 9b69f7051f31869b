package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/workload"
)

// TestGuiltyTaskAmongManySuspectsIsGivenUp guards against a task that is lost among several
// hundred suspects of the same crash, and against innocent ones that wait behind each other.
func TestGuiltyTaskAmongManySuspectsIsGivenUp(t *testing.T) {
	t.Parallel()
	const guilty = "bb00000000000005"
	for _, delay := range []time.Duration{simCrashDelay, 150 * time.Millisecond} {
		for _, workers := range []int{3, 24} {
			t.Run(fmt.Sprintf("%v, %d workers", delay, workers), func(t *testing.T) {
				forEachRestart(t, func(t *testing.T, sameID bool) {
					f := newFleet(t, 1, workers)
					f.crashes.sameID = sameID
					for i := range 4 * workers {
						f.submit(2*time.Second, jobWithoutAdvice(fmt.Sprintf("bb%014x", i), workload.Step{Count: 100, Need: resource.Vector{MilliCPU: 20, MemoryMB: 16}, Estimate: 2 * time.Second}))
					}
					f.markGuilty(guilty + ".0.0.40")
					f.crashes.guilty[guilty+".0.0.40"] = delay
					for f.now < 40*time.Second && f.jobs[guilty].endedAt == 0 {
						f.runUntil(f.now + 100*time.Millisecond)
					}
					given := f.now
					f.runUntil(40 * time.Second)
					last := Instant(0)
					for _, j := range f.jobs {
						last = max(last, j.endedAt)
					}
					t.Logf("given up at %v, last job ended at %v", given, last)
					f.requireGuiltyFailed()
					require.Less(t, f.mostGuiltyStarts(), simCrashLimit+simExtraStarts)
				})
			})
		}
	}
}

// TestSuspectsOfOneCrashAreTriedTogether guards against several hundred suspects that are tried
// one by one, although no more than a few can be guilty.
func TestSuspectsOfOneCrashAreTriedTogether(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 3)
	for i := range 4 {
		f.submit(2*time.Second, jobWithoutAdvice(fmt.Sprintf("bb%014x", i), workload.Step{Count: 100, Need: resource.Vector{MilliCPU: 20, MemoryMB: 16}, Estimate: 2 * time.Second}))
	}
	crashed := false
	for f.now < 14*time.Second {
		f.runUntil(f.now + 10*time.Millisecond)
		if w := f.busyWorkers(1); !crashed && len(w) > 0 && len(w[0].runs) >= 100 {
			crashed = true
			f.crashWorker(w[0]) // by itself
		}
	}
	require.True(t, crashed)
	f.requireNoneFailed()
}
