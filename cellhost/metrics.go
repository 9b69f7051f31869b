package cellhost

import (
	"expvar"
	"sync/atomic"
	"time"

	"github.com/cowslipgap/cowslipgap/cell"
	"github.com/cowslipgap/cowslipgap/meter"
)

// summaryInterval is the time between two summaries of the cell for the metrics.
const summaryInterval = time.Second

// Counters holds the counters and latencies of a Host since its start.
type Counters struct {
	Accepted, Refused, Unanswered, TurnedAway, Claims, OwnershipLosses, Commits, Resent, Starts, WorkerPolls, Advice atomic.Int64

	Submit   meter.Latency // from the submission of a job to the answer
	Commit   meter.Latency // from the first write of a commit to its confirmation
	Takeover meter.Latency // from a successful claim to acting as the owner
	Waited   meter.Latency // from a job's acceptance to its first start
	// FirstStart is from a successful claim that found accepted jobs to the first start.
	FirstStart meter.Latency

	Traffic meter.Traffic // bytes exchanged, by purpose

	summarizedAt cell.Instant // time of the last summary; used only by the cell's goroutine
}

// summarize stores a summary of the cell for other goroutines, at most once per
// summaryInterval.
func (h *Host) summarize(state *cell.Cell, now cell.Instant) {
	if now-h.Counts.summarizedAt < summaryInterval && h.summary.Load() != nil {
		return
	}
	h.Counts.summarizedAt = now
	sum := state.Summary()
	h.summary.Store(&sum)
}

// Metrics returns the host's metrics: counters, latencies in microseconds and
// a summary of the cell.
func (h *Host) Metrics() expvar.Var {
	return expvar.Func(func() any {
		c := &h.Counts
		return map[string]any{
			"accepted": c.Accepted.Load(), "refused": c.Refused.Load(), "unanswered": c.Unanswered.Load(), "turnedAway": c.TurnedAway.Load(),
			"claims": c.Claims.Load(), "deposals": c.OwnershipLosses.Load(), "commits": c.Commits.Load(), "commitsResent": c.Resent.Load(),
			"starts": c.Starts.Load(), "looks": c.WorkerPolls.Load(), "adviceCalls": c.Advice.Load(),
			"submitLatency": c.Submit.Summary(), "commitLatency": c.Commit.Summary(),
			"takeoverLatency": c.Takeover.Summary(), "firstStartWait": c.Waited.Summary(), "firstStartAfterClaim": c.FirstStart.Summary(), "traffic": c.Traffic.Summary(),
			"usagePercent": h.usage().metrics(), "passedOver": h.ownership.passedOver(),
			"ready": h.Ready(), "rulesAgeMillis": h.RulesAge().Milliseconds(), "cell": h.summary.Load(),
			"evacuatedZones": h.evacuatedZones(),
		}
	})
}
