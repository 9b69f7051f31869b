package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRunsOnSilentWorkersDoNotCauseRefusals simulates a network partition that cuts off
// a third of the workers. It guards against counting the runs on those workers as load
// on the others, which refuses lookups although there is free capacity for them.
func TestRunsOnSilentWorkersDoNotCauseRefusals(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 48)
	f.submitMix("00", 2*time.Second, 16*time.Second, 40, 6, 1)
	f.at(8*time.Second, func() {
		for i := range 16 {
			f.workers[fmt.Sprintf("w%03d", i*3)].cutOff = true
		}
	})
	freeShares, samples := 0.0, 0
	for at := 9 * time.Second; at < 13*time.Second; at += 100 * time.Millisecond {
		f.at(at, func() {
			free, total := int64(0), int64(0)
			for _, w := range f.owner.workers {
				if w.usable(f.now) {
					free += w.free().MilliCPU
					total += w.Capacity.MilliCPU
				}
			}
			freeShares += float64(free) / float64(total)
			samples++
		})
	}
	f.runUntil(13 * time.Second)
	submitted, refused := 0, 0
	for id, j := range f.jobs {
		// submitMix gives lookups IDs that start with "aa".
		if id[:2] == "aa" && j.submittedAt > 9*time.Second && j.submittedAt < 12900*time.Millisecond {
			submitted++
			if j.refused {
				refused++
			}
		}
	}
	require.Greater(t, freeShares/float64(samples), 0.25, "free share of the processors of reachable workers")
	require.Zero(t, refused, "lookups refused, of %d", submitted)
}
