// Package headroom tells what an entry host has left of its processor, link, memory and
// descriptors. It answers the load pattern of uneven hosts: equal shares of callers and
// of work for the owner fill the weak ones first.
//
// # Usage
//
//	u := headroom.Usage{Processor: 0.4, Link: 0.1}
//	left := u.Left()
package headroom

import "time"

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
