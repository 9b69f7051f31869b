package station

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCellGoesToStrongAndYoungHosts replays hosts that are replaced one after the
// other: the cell was offered in no order, often to the host that left next.
func TestCellGoesToStrongAndYoungHosts(t *testing.T) {
	var l leadership
	l.meet("old", member{addr: "1", cores: 0.8, began: 10 * time.Second})
	l.meet("young", member{addr: "2", cores: 0.8, began: 50 * time.Second})
	l.meet("weak", member{addr: "3", cores: 0.2, began: 60 * time.Second})
	l.meet("middle", member{addr: "4", cores: 0.8, began: 30 * time.Second})
	l.learn("silent", "5")
	l.learn("self", "6")
	require.Equal(t, []string{"young", "middle", "old", "weak", "silent"}, l.successors("self"))
}
