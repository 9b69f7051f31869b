package cell

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWorkersThatAreBackTogetherAfterTheirLeasesFailNoJob guards against innocent jobs that are
// failed because a rack, a zone or all workers are down for longer than their leases repeatedly.
func TestWorkersThatAreBackTogetherAfterTheirLeasesFailNoJob(t *testing.T) {
	t.Parallel()
	const outages, gap = 3, 16 * time.Second
	for _, area := range []struct {
		name     string
		affected func(info WorkerInfo) bool
	}{
		{"rack", func(info WorkerInfo) bool { return info.Rack == "r0" }},
		{"two racks", func(info WorkerInfo) bool { return info.Rack < "r2" }},
		{"all", func(WorkerInfo) bool { return true }},
	} {
		t.Run(area.name, func(t *testing.T) {
			t.Parallel()
			forEachRestart(t, func(t *testing.T, sameID bool) {
				f := newFleet(t, 1, 32)
				f.crashes.sameID, f.crashes.downTime = sameID, simMaxLease+3*time.Second
				crashes, beside := 0, 0
				f.onUpdate = func(_ *Cell, _ any, effects []any, _ time.Duration) {
					for _, effect := range effects {
						if e, ok := effect.(LogRecord); ok && e.Text == "worker crashed" {
							crashes++
							if slices.ContainsFunc(e.Attrs, func(a slog.Attr) bool { return a.Key == "beside" && a.Value.Bool() }) {
								beside++
							}
						}
					}
				}
				for i := range 8 { // they need the room of all workers
					spec := innocentJob(fmt.Sprintf("bb%014x", i), 32, 40*time.Second)
					spec.Steps[0].MaxPerWorker = 1
					f.submit(2*time.Second, spec)
				}
				for i := range outages {
					f.at(4*time.Second+time.Duration(i)*gap, func() { f.crashWorkers(area.affected) })
				}
				f.runUntil(250 * time.Second)
				f.requireNoneFailed()
				require.NotZero(t, crashes)
				require.Equal(t, crashes, beside, "crashes that are taken for those of many")
			})
		})
	}
}

// TestLapsedWorkersThatCrashByChanceFailNoJob does so for single workers that crash in turn.
func TestLapsedWorkersThatCrashByChanceFailNoJob(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed+1), func(t *testing.T) {
			t.Parallel()
			f := newChanceFleet(t, seed+1, 1500*time.Millisecond, 80*time.Second)
			f.crashes.downTime = simMaxLease + 3*time.Second
			f.runUntil(160 * time.Second)
			f.requireNoneFailed()
		})
	}
}
