package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRunsOnSilentWorkersDoNotCauseRefusals simulates a zone with a third of the workers
// that is cut off. The runs there counted as load on the other workers, so that lookups
// were refused although there was room for them.
func TestRunsOnSilentWorkersDoNotCauseRefusals(t *testing.T) {
	f := newFleet(t, 1, 48)
	f.submitMix("00", 2*time.Second, 16*time.Second, 40, 6, 1)
	f.at(8*time.Second, func() {
		for i := range 16 {
			f.workers[fmt.Sprintf("w%03d", i*3)].cutOff = true
		}
	})
	free, samples := 0.0, 0
	for at := 9 * time.Second; at < 13*time.Second; at += 100 * time.Millisecond {
		f.at(at, func() {
			room, all := int64(0), int64(0)
			for _, w := range f.owner.workers {
				if w.usable(f.now) {
					room += w.free().MilliCPU
					all += w.Capacity.MilliCPU
				}
			}
			free += float64(room) / float64(all)
			samples++
		})
	}
	f.runUntil(13 * time.Second)
	submitted, refused := 0, 0
	for id, j := range f.jobs {
		if id[:2] == "aa" && j.submittedAt > 9*time.Second && j.submittedAt < 12900*time.Millisecond {
			submitted++
			if j.refused {
				refused++
			}
		}
	}
	require.Greater(t, free/float64(samples), 0.25, "free share of the processors of reachable workers")
	require.Zero(t, refused, "lookups refused, of %d", submitted)
}
