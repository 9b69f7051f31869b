package speed

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

const spread = 0.15

// sample returns the sample of a run on a worker of the given speed.
func sample(rng *rand.Rand, factor, tail float64) float64 {
	ratio := factor * math.Exp(spread*rng.NormFloat64())
	if rng.Float64() < tail {
		ratio /= 7
	}
	return ratio
}

func TestSpeedIsUnknownAtFirst(t *testing.T) {
	var e Estimate
	factor, known := e.Value()
	require.False(t, known)
	require.Equal(t, 1.0, factor)
	e.Add(0, spread, 1, false)
	e.Add(2, spread, 0, false)
	_, known = e.Value()
	require.False(t, known)
}

// TestSpeedIsKnownAfterAFewRuns adds the runs of a few seconds, with a heavy tail.
func TestSpeedIsKnownAfterAFewRuns(t *testing.T) {
	for _, factor := range []float64{0.6, 1, 1.6} {
		for seed := range uint64(50) {
			rng := rand.New(rand.NewPCG(seed, 2))
			var e Estimate
			for range 10 {
				e.Add(sample(rng, factor, 0.03), spread, 1, false)
			}
			got, known := e.Value()
			require.True(t, known)
			require.InDelta(t, 0, math.Log(got/factor), 0.3, "seed %d", seed)
		}
	}
}

// TestWorkerThatChangesIsFollowed adds runs of a slow worker that turns fast, and back.
func TestWorkerThatChangesIsFollowed(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	var e Estimate
	for _, factor := range []float64{0.6, 1.6, 0.3} {
		for range 40 {
			e.Add(sample(rng, factor, 0), spread, 1, false)
		}
		got, _ := e.Value()
		require.InDelta(t, 0, math.Log(got/factor), 0.15)
	}
}

// TestSingleLongRunChangesNothing adds the samples of one run that takes 7 times as long.
func TestSingleLongRunChangesNothing(t *testing.T) {
	var e Estimate
	for range 20 {
		e.Add(1, spread, 1, false)
	}
	for i := range 4 {
		e.Add(1.0/7, spread, 0.25, i > 0)
	}
	got, _ := e.Value()
	require.Greater(t, got, 0.85)
}

// TestSingleOutlierCountsLittle adds a run that takes 7 times as long.
func TestSingleOutlierCountsLittle(t *testing.T) {
	var e Estimate
	for range 20 {
		e.Add(1, spread, 1, false)
	}
	e.Add(1.0/7, spread, 1, false)
	got, _ := e.Value()
	require.Greater(t, got, 0.94)
}

func TestRestoredSpeedIsKnownAndCorrectedSoon(t *testing.T) {
	var e Estimate
	e.Restore(2)
	factor, known := e.Value()
	require.True(t, known)
	require.InDelta(t, 2, factor, 1e-9)
	for range 4 {
		e.Add(1, 0.2, 1, false)
	}
	factor, known = e.Value()
	require.True(t, known)
	require.InDelta(t, 1.1, factor, 0.2)
}
