package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/resource"
)

// TestRetryDelaysAreTrueAndSpread checks that callers, who are told the nearest whole
// second, do not come back before the wait is over, nor all at the same time.
func TestRetryDelaysAreTrueAndSpread(t *testing.T) {
	for _, wait := range []time.Duration{0, 1300 * time.Millisecond, 2 * time.Second, 2010 * time.Millisecond, 14900 * time.Millisecond, time.Minute} {
		told := map[time.Duration]bool{}
		for i := range 100 {
			delay := retryDelay(fmt.Sprint("job-", i), wait).Round(time.Second)
			require.GreaterOrEqual(t, delay, min(wait, maxRetryDelay))
			require.LessOrEqual(t, delay, max(wait, minRetryDelay)+2*time.Second)
			told[delay] = true
		}
		require.Len(t, told, 2, "wait %v", wait)
	}
}

// TestRefusedUnsentJobReturnsItsAllowance refuses jobs that a store outage kept from being
// stored. The team did not get to use its rate.
func TestRefusedUnsentJobReturnsItsAllowance(t *testing.T) {
	c := New(Config{MaxLease: simMaxLease, StatusRetention: time.Minute})
	clock := Clock{Steady: time.Hour, Wall: time.Unix(1, 0)}
	w := WorkerInfo{ID: "w1", Service: "s", Capacity: resource.Vector{MilliCPU: 32000, MemoryMB: 64000}, StartedAt: 1}
	c.Update(clock, Policy{Teams: map[string]Team{"blue": {Rate: 10}}})
	c.Update(clock, Claimed{Token: 9, Sent: clock.Steady})
	c.Update(clock, Listed{Workers: []WorkerInfo{w}})
	c.Update(clock, PlacementRound{}) // the first commit, which is never confirmed
	c.Update(clock, Submit{Reply: 1, Job: lookupJob("aa00000000000001")})
	used := c.teams["blue"].allowance
	clock.Steady += maxCommitAge + time.Millisecond
	refused := false
	for _, effect := range c.Update(clock, PlacementRound{}) {
		if answer, ok := effect.(Answer); ok {
			refused = answer.Verdict == Refused
		}
	}
	require.True(t, refused)
	require.InDelta(t, used+1, c.teams["blue"].allowance, 1e-9)
}
