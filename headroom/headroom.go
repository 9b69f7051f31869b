// Package headroom tells what an entry host has left of its processor, link, memory and
// descriptors. It answers the load pattern of uneven hosts: equal shares of callers and
// of work for the owner fill the weak ones first.
//
// # Usage
//
//	u := headroom.Usage{Processor: 0.4, Link: 0.1}
//	if u.CanHelp(now, false) {
//		// The host may be given work for others.
//	}
package headroom

import "time"

const (
	// scarce is the share of the scarcest limit below which a host gets no work for
	// others: it needs what is left for its own callers.
	scarce = 0.1
	// ample is the share that a host without such work must have left to get it again.
	ample = 0.3
	// maxAge is the age above which a usage says nothing. It is several heartbeats of a
	// weak host.
	maxAge = 8 * time.Second
)

// Usage is the use of a host's limits, each from 0 to 1, at a time.
type Usage struct {
	At          time.Duration // on the clock of the reader
	Processor   float64
	Link        float64
	Memory      float64
	Descriptors float64
}

// Left returns the share of the scarcest limit that is left.
func (u Usage) Left() float64 {
	return max(0, 1-max(u.Processor, u.Link, u.Memory, u.Descriptors))
}

// CanHelp reports whether the host may be given work for others at the given time. One that
// was passed over before must have more left, so that it does not change with each report.
// A host with an old usage is taken for idle.
func (u Usage) CanHelp(now time.Duration, passedOver bool) bool {
	if now-u.At > maxAge {
		return true
	}
	if passedOver {
		return u.Left() >= ample
	}
	return u.Left() >= scarce
}
