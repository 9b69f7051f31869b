package station

import (
	"expvar"
	"sync/atomic"
	"time"

	"github.com/cowslipgap/cowslipgap/cell"
	"github.com/cowslipgap/cowslipgap/meter"
)

// summaryEvery is the time between two summaries of the cell for the metrics.
const summaryEvery = time.Second

// Counts are what a station counts and times since its start.
type Counts struct {
	Accepted, Refused, Unanswered, Claims, Deposals, Commits, Resent, Starts, Looks, Advice atomic.Int64

	Submit   meter.Latency // from a caller's job to its answer
	Commit   meter.Latency // of a transaction
	Takeover meter.Latency // from the claim to its first use
	Waited   meter.Latency // from a job's acceptance to its first start

	summarized cell.Instant // owned by the cell's goroutine
}

// summarize keeps a summary of the cell for other goroutines.
func (s *Station) summarize(state *cell.Cell, now cell.Instant) {
	if now-s.Counts.summarized < summaryEvery && s.summary.Load() != nil {
		return
	}
	s.Counts.summarized = now
	sum := state.Summary()
	s.summary.Store(&sum)
}

// Metrics returns the station's metrics: counters, latencies in microseconds and
// a summary of the cell.
func (s *Station) Metrics() expvar.Var {
	return expvar.Func(func() any {
		c := &s.Counts
		return map[string]any{
			"accepted": c.Accepted.Load(), "refused": c.Refused.Load(), "unanswered": c.Unanswered.Load(),
			"claims": c.Claims.Load(), "deposals": c.Deposals.Load(), "commits": c.Commits.Load(), "commitsResent": c.Resent.Load(),
			"starts": c.Starts.Load(), "looks": c.Looks.Load(), "adviceCalls": c.Advice.Load(),
			"submitLatency": c.Submit.Summary(), "commitLatency": c.Commit.Summary(),
			"takeoverLatency": c.Takeover.Summary(), "firstStartWait": c.Waited.Summary(),
			"ready": s.Ready(), "rulesAgeMillis": s.RulesAge().Milliseconds(), "cell": s.summary.Load(),
		}
	})
}
