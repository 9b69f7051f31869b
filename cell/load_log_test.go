package cell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestUseOfTheFleetIsLoggedWhileWorkWaits fills a fleet and checks that its use is
// logged about once a second, and that the figures agree with the workers.
func TestUseOfTheFleetIsLoggedWhileWorkWaits(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 8)
	lines := 0
	f.onUpdate = func(c *Cell, _ any, effects []any, _ time.Duration) {
		for _, effect := range effects {
			if record, ok := effect.(LogRecord); ok && record.Text == "fleet use" {
				lines++
				u := c.use()
				require.False(t, u.capacity.Sub(u.used).Negative())
				require.Positive(t, u.used.MilliCPU)
				require.Equal(t, []int{8, 0, 8}, []int{u.usable, u.failing, u.listed})
			}
		}
	}
	f.submitMix("00", 2*time.Second, 6*time.Second, 60, 4, 0)
	f.runUntil(7 * time.Second)
	require.GreaterOrEqual(t, lines, 3)
	require.LessOrEqual(t, lines, 6)
}
