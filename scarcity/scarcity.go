// Package scarcity estimates when a fleet has room for a job, by the resource that is
// scarcest for it and by the room that single workers have left. It answers the load
// pattern of tasks that need much memory beside tasks that need many cores: the fleet as
// a whole has room, and no worker has.
//
// # Usage
//
//	f := scarcity.Fleet{Capacity: total, Holes: free}
//	wait := f.Wait(scarcity.Demand{Need: need, Tasks: 20, Time: 6 * time.Second}, ahead)
package scarcity

import (
	"time"

	"github.com/cowslipgap/cowslipgap/resource"
)

// Demand is a number of equal tasks that are to run.
type Demand struct {
	Need  resource.Vector
	Tasks int
	Time  time.Duration // run time of a task
}

// Fleet is the room of the workers of a service.
type Fleet struct {
	Capacity resource.Vector   // of all workers
	Holes    []resource.Vector // free room by worker
}

// Wait estimates how long the tasks wait until the work ahead of them has left room for
// them, 0 if they fit beside it.
func (f *Fleet) Wait(d Demand, ahead []Demand) time.Duration {
	var area resource.Vector // resources x milliseconds
	for _, a := range append(ahead, d) {
		area = area.Add(a.Need.Times(int64(a.Tasks) * a.Time.Milliseconds()))
	}
	return time.Duration(area.DominantShare(f.Capacity) * float64(time.Millisecond))
}
