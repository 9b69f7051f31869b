package cellhost

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/cell"
)

// TestWeakHostInABurstIsPassedOver replays a burst on a host of 0.144 cores beside one of
// 0.8: equal shares of the callers take all of the weak one and a fifth of the strong one.
func TestWeakHostInABurstIsPassedOver(t *testing.T) {
	now := time.Hour
	h := &Host{Name: "owner", Log: slog.New(slog.DiscardHandler), Now: func() cell.Instant { return now }}
	k := ownershipKeeper{host: h}
	hosts := map[string]limits{
		"weak":   {cores: 0.144, linkMbps: 10, memoryMB: 144, descriptors: 3075},
		"strong": {cores: 0.8, linkMbps: 200, memoryMB: 536, descriptors: 8192},
	}
	var relays []string
	second := func(processor time.Duration) []string {
		now += time.Second
		for name, l := range hosts {
			from := consumption{at: now - time.Second}
			to := consumption{at: now, processor: processor, linkBytes: 60_000, memoryBytes: 20 << 20, descriptors: 100}
			h.ownership.recordMember(name, member{
				hostInfo:      hostInfo{Addr: name, Cores: l.cores, LinkMbps: l.linkMbps, MemoryMB: l.memoryMB},
				lastHeartbeat: now, usage: l.report(from, to).decode(now),
			})
		}
		relays = nil
		for _, r := range h.ownership.relayCandidates("owner", now) {
			relays = append(relays, r.Name)
		}
		return k.hostsForAdvice(h.ownership.pruneMembers(now))
	}
	require.Equal(t, []string{"owner", "strong", "weak"}, second(30*time.Millisecond), "usual load")
	require.Equal(t, []string{"owner", "strong"}, second(140*time.Millisecond), "burst")
	require.Equal(t, []string{"strong"}, relays)
	require.Equal(t, []string{"weak"}, h.ownership.passedOver())
	require.Equal(t, []string{"owner", "strong"}, second(110*time.Millisecond), "not yet enough left")
	require.Equal(t, []string{"owner", "strong", "weak"}, second(30*time.Millisecond), "after the burst")
	require.Len(t, relays, 2)
	require.Equal(t, maxExtraSteps, h.ownership.hosts.extraSteps(hostInfo{Cores: 0.144, LinkMbps: 10, MemoryMB: 144}), "claims go by strength")

	busy := usageReport{95, 0, 0, 0}
	h.usageNow.Store(&busy)
	require.Equal(t, []string{"strong", "weak"}, second(30*time.Millisecond), "a busy owner leaves the calls to others")
	require.Equal(t, []string{"owner", "strong", "weak"}, second(790*time.Millisecond), "nothing is gained if all are busy")
}

// TestUsageOfThisProcessIsMeasured reads the real figures.
func TestUsageOfThisProcessIsMeasured(t *testing.T) {
	h := &Host{Log: slog.New(slog.DiscardHandler)}
	h.init()
	before, err := h.consumption()
	require.NoError(t, err)
	for start := time.Now(); time.Since(start) < 20*time.Millisecond; {
		h.Counts.Traffic.Add("test", 10, 1000)
	}
	after, err := h.consumption()
	require.NoError(t, err)
	require.Greater(t, after.processor, before.processor)
	require.GreaterOrEqual(t, after.linkBytes, before.linkBytes+1000)
	require.Positive(t, after.memoryBytes)
	require.GreaterOrEqual(t, after.descriptors, 3)
	require.Nil(t, h.usage())
}
