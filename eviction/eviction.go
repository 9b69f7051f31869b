// Package eviction decides which running tasks give up their room to waiting ones of a
// higher priority. It answers the load pattern of urgent gangs that arrive on a fleet
// full of long, less urgent tasks.
//
// # Usage
//
//	plan := eviction.Plan{Budget: 500}
//	victims := plan.Choose(candidates, need)
package eviction

import "github.com/cowslipgap/cowslipgap/resource"

// Victim is a running task that could be stopped.
type Victim struct {
	Task     string
	Worker   string
	Need     resource.Vector // room that its end frees
	Priority int             // of its queue; lower is more urgent
	Lost     float64         // core-seconds of work since its last checkpoint
	Left     float64         // core-seconds until it ends by itself
}

// Plan chooses victims. The zero value chooses none.
type Plan struct {
	Budget float64 // core-seconds that may still be thrown away
}
