package forecast

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// feed adds work at the given rate, in cores.
func feed(a *Arrivals, k Kind, from, to time.Duration, rate func(t float64) float64) {
	const gap = 50 * time.Millisecond
	for now := from; now < to; now += gap {
		a.Add(k, now, rate(now.Seconds())*gap.Seconds())
	}
}

func TestSteadyDemandDoesNotRise(t *testing.T) {
	var a Arrivals
	require.Zero(t, a.Expected("lookup", time.Second, time.Second).Cores)
	feed(&a, Kind{"lookup", "a"}, 0, 10*time.Second, func(float64) float64 { return 300 })
	feed(&a, Kind{"quote", "a"}, 0, 10*time.Second, func(t float64) float64 { return 100 * t })
	f := a.Expected("lookup", 10*time.Second, 2*time.Second)
	require.InDelta(t, 300, f.Cores, 10)
	require.False(t, f.Rises)
}

// TestWavesOfSeveralZonesAreAdded gives each zone a wave with a phase of its own.
func TestWavesOfSeveralZonesAreAdded(t *testing.T) {
	const period, ahead = 11.0, 2 * time.Second
	rate := func(phase float64) func(float64) float64 {
		return func(t float64) float64 { return 100 * (1 + 0.55*math.Sin(2*math.Pi*(t/period+phase))) }
	}
	phases := map[string]float64{"a": 0, "b": 0.1, "c": 0.2, "d": 0.05}
	var a Arrivals
	rose, fell := 0, 0
	for now := time.Second; now < 44*time.Second; now += time.Second {
		total, later := 0.0, 0.0
		for zone, phase := range phases {
			feed(&a, Kind{"lookup", zone}, now-time.Second, now, rate(phase))
			total += rate(phase)(now.Seconds())
			later += rate(phase)((now + ahead).Seconds())
		}
		if now < 11*time.Second {
			continue
		}
		f := a.Expected("lookup", now, ahead)
		if f.Rises {
			rose++
			require.Greater(t, later, 0.9*total, "rising at %v, %v expected, %v now, %v then", now, f.Cores, total, later)
		}
		if later < 0.8*total {
			fell++
			require.False(t, f.Rises, "falling at %v", now)
		}
	}
	require.Greater(t, rose, 5)
	require.Greater(t, fell, 5)
}

// TestTrendCountsFromTheMiddleOfTheLastStep covers the age of what is known of the demand.
func TestTrendCountsFromTheMiddleOfTheLastStep(t *testing.T) {
	var a Arrivals
	rate := func(t float64) float64 { return 100 * t }
	for now := 500 * time.Millisecond; now < 12*time.Second; now += 450 * time.Millisecond {
		feed(&a, Kind{"lookup", "a"}, now-450*time.Millisecond, now, rate)
		if now > 8*time.Second {
			require.InDelta(t, rate((now + time.Second).Seconds()), a.Expected("lookup", now, time.Second).Cores, 15, "at %v", now)
		}
	}
}

func TestKindsThatEndAreForgotten(t *testing.T) {
	var a Arrivals
	feed(&a, Kind{"lookup", "a"}, 0, 10*time.Second, func(t float64) float64 { return 10 * t * t })
	require.True(t, a.Expected("lookup", 10*time.Second, 2*time.Second).Rises)
	require.Zero(t, a.Expected("lookup", time.Hour, 2*time.Second).Cores)
	require.Empty(t, a.kinds)
	feed(&a, Kind{"lookup", "a"}, time.Hour, time.Hour+10*time.Second, func(float64) float64 { return 100 })
	feed(&a, Kind{"lookup", "a"}, 2*time.Hour, 2*time.Hour+10*time.Second, func(float64) float64 { return 100 })
	require.InDelta(t, 100, a.Expected("lookup", 2*time.Hour+10*time.Second, time.Second).Cores, 5, "counted anew")
}
