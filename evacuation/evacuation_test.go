package evacuation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestZonesAreAddedAndRemoved(t *testing.T) {
	var none Orders
	one := none.With("b", true)
	two := one.With("a", true)
	require.Equal(t, []string{"a", "b"}, two.Zones())
	require.True(t, one.Covers("b"))
	require.False(t, one.Covers("a"), "orders are immutable")
	require.False(t, none.Covers("b"))
	require.True(t, two.With("a", false).Equal(one))
	require.True(t, one.With("b", false).Equal(none))
	require.True(t, one.With("c", false).Equal(one), "a request that was not there is taken back")
}

// TestStartsKeepTheBound checks that a start which is decided on with the oldest reading
// that is allowed reaches its worker within the bound, and that readings come often enough
// for starts not to wait for them.
func TestStartsKeepTheBound(t *testing.T) {
	const delay, usual = 710 * time.Millisecond, 2 * time.Second
	require.Zero(t, MaxAge(0, delay))
	require.Equal(t, usual, ReadInterval(0, usual))
	for _, bound := range []time.Duration{1500 * time.Millisecond, 2 * time.Second, 5 * time.Second, 20 * time.Second} {
		require.LessOrEqual(t, MaxAge(bound, delay)+delay, bound, bound)
		require.Less(t, ReadInterval(bound, usual), MaxAge(bound, delay), bound)
	}
}
