// Package evacuation holds the operators' requests to send no more work to the workers
// of an availability zone, and decides how old a host's view of them may be. It answers
// the load pattern of a zone that is emptied before planned work on it: what runs there
// goes on, what waits is placed in other zones.
//
// An operator's request binds all hosts a fixed time after it is stored. A host that
// cannot read the requests any more does not know whether it is bound, so it starts work
// only while its last reading is recent enough for the request that it may have missed.
//
// # Usage
//
//	orders := evacuation.New("zone-a")
//	if orders.Covers(w.Zone) || now-readAt > evacuation.MaxAge(bound, delay) {
//		// start nothing there
//	}
package evacuation

import (
	"maps"
	"slices"
	"time"
)

// readShare is the share of the bound that may pass between two readings of the requests,
// which leaves time for a reading that fails and is repeated.
const readShare = 0.4

// Orders is the set of the zones that are being evacuated. The zero value holds none. It
// is immutable.
type Orders struct {
	zones map[string]bool
}

// New returns the orders to evacuate the zones.
func New(zones ...string) Orders {
	o := Orders{zones: map[string]bool{}}
	for _, zone := range zones {
		o.zones[zone] = true
	}
	return o
}

// Covers reports whether the zone is being evacuated.
func (o Orders) Covers(zone string) bool { return o.zones[zone] }

// Zones returns the zones that are being evacuated, in order.
func (o Orders) Zones() []string { return slices.Sorted(maps.Keys(o.zones)) }

// Equal reports whether both hold the same zones.
func (o Orders) Equal(other Orders) bool { return maps.Equal(o.zones, other.zones) }

// With returns the orders with the zone added or, if evacuated is false, removed.
func (o Orders) With(zone string, evacuated bool) Orders {
	next := New(o.Zones()...)
	if evacuated {
		next.zones[zone] = true
	} else {
		delete(next.zones, zone)
	}
	return next
}

// MaxAge returns how old the last reading of the requests may be when a start is decided
// on, so that no start reaches a worker later than the bound after a request that the
// reading missed. A start reaches its worker within the delay. 0 means that the age does
// not matter, because there is no bound.
func MaxAge(bound, delay time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return max(bound-delay, bound/2)
}

// ReadInterval returns the longest time between two readings of the requests, given the
// usual one.
func ReadInterval(bound, usual time.Duration) time.Duration {
	if bound <= 0 {
		return usual
	}
	return min(usual, time.Duration(readShare*float64(bound)))
}
