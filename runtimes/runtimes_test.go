package runtimes

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDistributionIsUnknownAtFirst(t *testing.T) {
	var d Distribution
	_, known := d.Mean()
	require.False(t, known)
	_, known = d.Quantile(0.9)
	require.False(t, known)
	_, known = d.Spread()
	require.False(t, known)
	_, known = d.Beyond(1)
	require.False(t, known)
	require.False(t, d.HeavyTail())
}

// TestHeavyTail adds runs of which 3 in 100 take 7 times as long.
func TestHeavyTail(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var d, even Distribution
	for i := range 5000 {
		ratio := 0.85 + 0.3*rng.Float64()
		even.Add(ratio)
		if i%33 == 0 {
			ratio *= 7
		}
		d.Add(ratio)
	}
	median, known := d.Quantile(0.5)
	require.True(t, known)
	require.InDelta(t, 1, median, 0.03)
	mean, _ := d.Mean()
	require.InDelta(t, 1.18, mean, 0.05)
	require.True(t, d.HeavyTail())
	require.False(t, even.HeavyTail())
	spread, _ := d.Spread()
	require.InDelta(t, 0.1, spread, 0.03)
	total, known := d.Beyond(1.5)
	require.True(t, known)
	require.InDelta(t, 7, total, 0.4, "a run beyond the usual duration is one of the long ones")
}

func TestOldRunsAreForgotten(t *testing.T) {
	var d Distribution
	for range 2000 {
		d.Add(3)
	}
	for range windows * runsPerWindow {
		d.Add(1)
	}
	highest, _ := d.Quantile(1)
	require.InDelta(t, 1, highest, 0.02)
}

func TestExtremeRatiosAreBounded(t *testing.T) {
	var d Distribution
	for _, ratio := range []float64{-1, 0, 1e9} {
		d.Add(ratio)
	}
	mean, known := d.Mean()
	require.True(t, known)
	require.InDelta(t, maxRatio/3.0, mean, 1)
}

// TestRestoredSampleIsLikeTheDistribution hands a heavy-tailed distribution on by a sample.
func TestRestoredSampleIsLikeTheDistribution(t *testing.T) {
	var d, restored Distribution
	restored.Restore(d.Sample())
	require.False(t, restored.Known())
	for i := range 1000 {
		ratio := 0.8 + float64(i%40)/100
		if i%25 == 0 {
			ratio *= 7
		}
		d.Add(ratio)
	}
	restored.Restore(d.Sample())
	require.True(t, restored.Known())
	require.True(t, restored.HeavyTail())
	mean, _ := d.Mean()
	restoredMean, _ := restored.Mean()
	require.InEpsilon(t, mean, restoredMean, 0.05)
	for _, q := range []float64{0.1, 0.5, 0.9} {
		want, _ := d.Quantile(q)
		got, _ := restored.Quantile(q)
		require.InEpsilon(t, want, got, 0.05)
	}
}
