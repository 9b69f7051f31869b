package fairshare

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/resource"
)

func TestRestoredAveragesDecay(t *testing.T) {
	var l, restored Ledger
	start := time.Unix(1000, 0)
	l.Advance(start)
	l.SetTotal(resource.Vector{MilliCPU: 1000})
	l.Add("blue", resource.Vector{MilliCPU: 500})
	l.Add("red", resource.Vector{})
	l.Advance(start.Add(time.Hour))
	averages := l.Averages()
	require.Len(t, averages, 1)
	require.InDelta(t, 0.5, averages["blue"], 1e-6)
	restored.Advance(start.Add(5 * time.Hour))
	restored.RestoreAverage("blue", averages["blue"], usageTimeConstant)
	require.InDelta(t, 0.5/math.E, restored.WeightedUsage("blue"), 1e-6)
}
