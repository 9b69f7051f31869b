// Package digest is the stored form of what an owner has learned: it lets a successor
// begin with the speeds, run times, arrival rates, shares and promises of the owner
// before it. It answers the load pattern of a takeover in a burst.
//
// # Usage
//
//	data, err := state.Encode()
//	state, err := digest.Decode(data)
package digest

import "time"

// State is what an owner has learned, as of WrittenAt. Each part is optional.
type State struct {
	WrittenAt time.Time            `cbor:"1,keyasint"`
	Speeds    map[string]float64   `cbor:"2,keyasint,omitempty"` // relative speed by worker
	Ratios    map[string][]float64 `cbor:"3,keyasint,omitempty"` // quantiles of run time to estimate by queue
	Shares    map[string]float64   `cbor:"4,keyasint,omitempty"` // decayed dominant use by team
}
