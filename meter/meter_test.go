package meter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/meter"
)

// TestLatencyReportsPercentiles also checks durations outside the range of the histogram.
func TestLatencyReportsPercentiles(t *testing.T) {
	var l meter.Latency
	require.JSONEq(t, `{"count":0,"p50Micros":0,"p95Micros":0,"p99Micros":0,"maxMicros":0}`, l.String())
	for i := range 100 {
		l.Observe(time.Duration(i+1) * time.Millisecond)
	}
	l.Observe(-time.Second)
	l.Observe(time.Hour)
	s := l.Summary()
	require.EqualValues(t, 102, s.Count)
	require.InEpsilon(t, 50_000, s.P50, 0.03)
	require.InEpsilon(t, 97_000, s.P95, 0.03)
	require.InEpsilon(t, (10 * time.Minute).Microseconds(), s.Max, 0.02)
}
