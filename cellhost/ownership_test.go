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
	o.recordMember("old", member{hostInfo: hostInfo{Addr: "1", Cores: 0.8}, startedAt: 10 * time.Second})
	o.recordMember("young", member{hostInfo: hostInfo{Addr: "2", Cores: 0.8}, startedAt: 50 * time.Second})
	o.recordMember("weak", member{hostInfo: hostInfo{Addr: "3", Cores: 0.2}, startedAt: 60 * time.Second})
	o.recordMember("middle", member{hostInfo: hostInfo{Addr: "4", Cores: 0.8}, startedAt: 30 * time.Second})
	o.hosts.record("silent", hostInfo{Addr: "5"})
	o.hosts.record("self", hostInfo{Addr: "6"})
	require.Equal(t, []string{"young", "middle", "old", "weak", "silent"}, o.successors("self"))
}
