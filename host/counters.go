package host

import (
	"sync/atomic"
	"time"
)

// counters counts the operations of a host since its start.
type counters struct {
	events            atomic.Int64
	controlNanos      atomic.Int64 // time that the control goroutine spent on events and effects
	starts            atomic.Int64
	renewals          atomic.Int64
	forwards          atomic.Int64
	tableReads        atomic.Int64
	peerBytesSent     atomic.Int64
	peerBytesReceived atomic.Int64
}

func (c *counters) countPeerBytes(sent, received int) {
	c.peerBytesSent.Add(int64(sent))
	c.peerBytesReceived.Add(int64(received))
}

// Counters holds the operation counts of a host since its start, for metrics
// and reports.
type Counters struct {
	Events            int64         `json:"events"`
	ControlTime       time.Duration `json:"controlNanos"` // time that the control goroutine spent on events and effects
	Starts            int64         `json:"starts"`
	Renewals          int64         `json:"renewals"`
	Forwards          int64         `json:"forwards"`
	TableReads        int64         `json:"tableReads"`
	JournalWrites     uint64        `json:"journalWrites"`
	PeerBytesSent     int64         `json:"peerBytesSent"` // on connections this host opened
	PeerBytesReceived int64         `json:"peerBytesReceived"`
}

// Counters returns the counts so far.
func (h *Host) Counters() Counters {
	return Counters{
		Events: h.counters.events.Load(), ControlTime: time.Duration(h.counters.controlNanos.Load()),
		Starts: h.counters.starts.Load(), Renewals: h.counters.renewals.Load(), Forwards: h.counters.forwards.Load(),
		TableReads: h.counters.tableReads.Load(), JournalWrites: h.journal.Writes(),
		PeerBytesSent: h.counters.peerBytesSent.Load(), PeerBytesReceived: h.counters.peerBytesReceived.Load(),
	}
}
