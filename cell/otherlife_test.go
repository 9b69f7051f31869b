package cell

import (
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
