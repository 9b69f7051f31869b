package cellhost

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCellIsOfferedByCoresAndStartTime covers a rolling replacement of the hosts. If the
// cell is offered in no order, it often goes to the host that is replaced next.
func TestCellIsOfferedByCoresAndStartTime(t *testing.T) {
	var o ownership
	o.recordMember("old", member{addr: "1", cores: 0.8, startedAt: 10 * time.Second})
	o.recordMember("young", member{addr: "2", cores: 0.8, startedAt: 50 * time.Second})
	o.recordMember("weak", member{addr: "3", cores: 0.2, startedAt: 60 * time.Second})
	o.recordMember("middle", member{addr: "4", cores: 0.8, startedAt: 30 * time.Second})
	o.recordAddr("silent", "5")
	o.recordAddr("self", "6")
	require.Equal(t, []string{"young", "middle", "old", "weak", "silent"}, o.successors("self"))
}
