// Package evacuation holds the operators' requests to send no more work to the workers
// of an availability zone. It answers the load pattern of a zone that is emptied before
// planned work on it: what runs there goes on, what waits is placed in other zones.
//
// # Usage
//
//	orders := evacuation.New("zone-a")
//	if orders.Covers(w.Zone) { /* start nothing there */ }
package evacuation

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
