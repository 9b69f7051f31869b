package headroom_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/headroom"
)

// TestHostNearAnyLimitGetsNoWorkForOthers also covers reports that are missing or old.
func TestHostNearAnyLimitGetsNoWorkForOthers(t *testing.T) {
	for _, u := range []headroom.Usage{{Processor: 0.95}, {Link: 0.95}, {Memory: 0.95}, {Descriptors: 0.95}} {
		require.False(t, u.CanHelp(time.Second, false), "%+v", u)
		require.True(t, u.CanHelp(time.Minute, true), "an old report")
	}
	half := headroom.Usage{Processor: 0.8}
	require.True(t, half.CanHelp(time.Second, false))
	require.False(t, half.CanHelp(time.Second, true), "it must have more left to come back")
	require.True(t, headroom.Usage{}.CanHelp(0, true))
}
