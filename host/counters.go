package host

import (
	"sync/atomic"
	"time"
)

// counters count what a host has done since its start.
type counters struct {
	events    atomic.Int64
	control   atomic.Int64 // nanoseconds in the reducer
	starts    atomic.Int64
	renewals  atomic.Int64
	forwards  atomic.Int64
	reads     atomic.Int64
	peerSent  atomic.Int64
	peerRecvd atomic.Int64
}

func (c *counters) countPeerBytes(sent, received int) {
	c.peerSent.Add(int64(sent))
	c.peerRecvd.Add(int64(received))
}

// Counters is what a host has done since its start, for metrics and reports.
type Counters struct {
	Events            int64         `json:"events"`
	ControlTime       time.Duration `json:"controlNanos"` // in the reducer and its effects
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
		Events: h.counters.events.Load(), ControlTime: time.Duration(h.counters.control.Load()),
		Starts: h.counters.starts.Load(), Renewals: h.counters.renewals.Load(), Forwards: h.counters.forwards.Load(),
		TableReads: h.counters.reads.Load(), JournalWrites: h.journal.Writes(),
		PeerBytesSent: h.counters.peerSent.Load(), PeerBytesReceived: h.counters.peerRecvd.Load(),
	}
}
