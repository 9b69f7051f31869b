package cellhost

import (
	"fmt"
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

// TestHeartbeatsOfManyHostsAreLimited covers an owner that hundreds of hosts send
// heartbeats to.
func TestHeartbeatsOfManyHostsAreLimited(t *testing.T) {
	perSecond := 0.0
	for i := range 300 {
		h := &Host{Name: fmt.Sprint("h", i), Cores: 0.2, LinkMbps: 20}
		if i < 20 {
			h.Cores, h.LinkMbps = 0.8, 200
		}
		for n := range 300 {
			info := hostInfo{Cores: 0.2, LinkMbps: 20}
			if n < 20 {
				info = hostInfo{Cores: 0.8, LinkMbps: 200}
			}
			h.ownership.hosts.record(fmt.Sprint("h", n), info)
		}
		interval := h.heartbeatInterval()
		if i < 20 {
			require.Equal(t, heartbeatInterval, interval, "strong hosts notice the end of the owner soon")
		}
		m := member{interval: interval}
		require.Greater(t, m.timeout(), 3*interval)
		perSecond += 1 / interval.Seconds()
	}
	require.Less(t, perSecond, weakHeartbeats+20/heartbeatInterval.Seconds())
}

// TestAnnouncementOfAnEarlierOwnerIsIgnored delivers two announcements in the wrong order.
func TestAnnouncementOfAnEarlierOwnerIsIgnored(t *testing.T) {
	var o ownership
	o.handleAnnounce(&HeadRow{Head: Head{Session: "later", Token: 9}})
	o.handleAnnounce(&HeadRow{Head: Head{Session: "earlier", Token: 8}})
	owner, _ := o.currentOwner()
	require.Equal(t, "later", owner.Session)
	o.handleAnnounce(nil)
	o.isOwner = true
	o.handleAnnounce(&HeadRow{Head: Head{Session: "other", Token: 10}})
	owner, _ = o.currentOwner()
	require.Equal(t, "later", owner.Session)
}
