// Package scarcity estimates when a fleet has room for a job, by the resource that is
// scarcest for it and by the room that single workers have left. It answers the load
// pattern of tasks that need much memory beside tasks that need many cores: the fleet as
// a whole has room, and no worker has.
//
// # Usage
//
//	f := scarcity.Fleet{Capacity: total, Holes: func(after time.Duration) *scarcity.Holes {
//		return scarcity.NewHoles(freeAfter(after))
//	}}
//	wait := f.Wait(scarcity.Request{Need: need, Tasks: 20}, ahead)
package scarcity

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cowslipgap/cowslipgap/resource"
)

const (
	// Packing is the share of each resource that placement can use when much work waits;
	// the rest is lost to fragmentation.
	Packing = 0.85
	// eligibleDeviations is by how many standard deviations the number of eligible workers
	// may exceed the average before a request counts as impossible.
	eligibleDeviations = 4
	// lookupsBeforeSort is how many lookups pass over all holes before they are sorted.
	lookupsBeforeSort = 32
	// Never is the wait for room that no fleet of these workers ever has.
	Never = 24 * time.Hour
)

// horizons are the times for which room is looked up.
var horizons = func() []time.Duration {
	list := []time.Duration{0}
	for h := 50 * time.Millisecond; h < 30*time.Second; h += h / 2 {
		list = append(list, h)
	}
	return list
}()

// Demand is accepted work that is not done.
type Demand struct {
	Now  resource.Vector // what it uses, or could use at once
	Work resource.Vector // what is left of it, in resources x milliseconds
}

// Add returns the sum of two demands.
func (d Demand) Add(o Demand) Demand {
	return Demand{Now: d.Now.Add(o.Now), Work: d.Work.Add(o.Work)}
}

// Wait estimates how long it takes until the demand leaves room for need, by the
// resource that binds. It is 0 if all fits at once, and approaches the time for all the
// work as the demand outgrows the capacity. A capacity of 0 is no limit.
func (d Demand) Wait(need, capacity resource.Vector) time.Duration {
	return max(
		timeToFree(d.Now.MilliCPU, d.Work.MilliCPU, need.MilliCPU, capacity.MilliCPU),
		timeToFree(d.Now.MemoryMB, d.Work.MemoryMB, need.MemoryMB, capacity.MemoryMB),
		timeToFree(d.Now.Accelerators, d.Work.Accelerators, need.Accelerators, capacity.Accelerators),
	)
}

func timeToFree(now, work, need, capacity int64) time.Duration {
	wanted := now + min(need, capacity)
	if need <= 0 || capacity <= 0 || wanted <= capacity {
		return 0
	}
	return time.Duration(float64(work) / float64(capacity) * float64(wanted-capacity) / float64(wanted) * float64(time.Millisecond))
}

// Request is a number of equal tasks that are to start together.
type Request struct {
	Need         resource.Vector // of a task
	Tasks        int
	MaxPerWorker int           // 0: no limit
	Label        string        // required label of the worker
	Eligible     float64       // share of the workers that may run the tasks; 0: all may
	Gang         bool          // the tasks run all at once or not at all
	Deferred     bool          // it is due later or lasts, so the room of now does not matter
	Rank         int           // reservations of a higher rank don't bind it
	Time         time.Duration // run time of a task, with the margin that reservations ask for
}

// Ahead is the demand that a request waits behind.
type Ahead struct {
	Running Demand
	Tasks   Demand // waits for any room
	Gangs   Demand // waits for room on several workers at once, which is reserved for it
}

// Total returns what all tasks of the request need.
func (r *Request) Total() resource.Vector { return r.Need.Times(int64(r.Tasks)) }

// share returns the share of the workers that may run the tasks.
func (r *Request) share() float64 {
	if r.Eligible <= 0 {
		return 1
	}
	return r.Eligible
}

// Fleet is the room of the workers of a service. The zero value knows no workers.
type Fleet struct {
	Capacity resource.Vector // of all workers
	Empty    *Holes          // the workers without their runs
	// Holes returns the room that the workers are expected to have after the given
	// time if nothing else starts. Wait calls it for a few fixed times only, so the
	// results can be cached.
	Holes func(after time.Duration) *Holes
}

// Wait estimates how long a request waits behind the demand ahead of it. It is 0 if single
// workers have room now that nothing ahead can use, and Never if they would not have it
// even if they were empty.
func (f *Fleet) Wait(r Request, ahead Ahead) time.Duration {
	if f.Empty == nil || r.Tasks == 0 || r.Need == (resource.Vector{}) {
		return 0
	}
	most := f.Empty.most(r)
	if most == 0 || r.Gang && most < r.Tasks {
		return Never
	}
	r.Tasks = most // the others follow in later waves
	total := r.Total()
	if !r.Deferred && ahead.Running.Now.Add(ahead.Tasks.Now).Add(total).Fits(f.Capacity) && f.holds(r, 0) {
		return 0
	}
	r.Time = 0 // reservations are taken up or renewed meanwhile
	usable := f.Capacity
	usable.MilliCPU = int64(Packing * float64(usable.MilliCPU))
	usable.MemoryMB = int64(Packing * float64(usable.MemoryMB))
	fluid := ahead.Running.Add(ahead.Tasks).Add(ahead.Gangs).Wait(total, usable)
	if r.Deferred {
		return fluid
	}
	wanted := ahead.Tasks.Now.Add(ahead.Gangs.Now).Add(total)
	released, found := firstHorizon(func(h time.Duration) bool { return wanted.Fits(f.Holes(h).total) })
	if found {
		fluid = min(fluid, released)
	}
	onWorkers, _ := firstHorizon(func(h time.Duration) bool { return f.holds(r, h) })
	return max(fluid, onWorkers)
}

// holds reports whether single workers have room for the request after the given time.
func (f *Fleet) holds(r Request, after time.Duration) bool {
	wanted := int(math.Ceil(float64(r.Tasks) / r.share()))
	return f.Holes(after).room(r, wanted) >= wanted
}

// firstHorizon returns the last horizon before the first one that is enough, and whether
// one is. The ends of runs are estimates, so the wait is the least that agrees with them.
func firstHorizon(enough func(after time.Duration) bool) (time.Duration, bool) {
	n := sort.Search(len(horizons), func(i int) bool { return enough(horizons[i]) })
	return horizons[max(0, n-1)], n < len(horizons)
}

// Hole is the free room of one worker.
type Hole struct {
	Free   resource.Vector
	Labels []string
	// Reserved is when a gang needs the worker, from now on; 0 if none does.
	Reserved time.Duration
	Rank     int // of that gang
}

// blocks reports whether the worker's reservation keeps tasks of the request off.
func (h *Hole) blocks(r *Request) bool {
	return h.Reserved > 0 && h.Rank <= r.Rank && r.Time > h.Reserved
}

// Holes is the free room of all workers. It is sorted when it is looked up often.
type Holes struct {
	list    []Hole
	total   resource.Vector // usable
	lookups int
	// byCPU and byMemory are indexes into list, the largest hole first; nil until sorted.
	byCPU, byMemory []int32
}

// NewHoles returns the holes of a fleet. It keeps the slice.
func NewHoles(holes []Hole) *Holes {
	h := &Holes{list: holes}
	for i := range holes {
		h.total = h.total.Add(holes[i].Free.Usable())
	}
	return h
}

// sort sorts the holes by each resource. It takes about as long as lookupsBeforeSort
// passes over them.
func (h *Holes) sort() {
	h.byCPU = make([]int32, len(h.list))
	for i := range h.byCPU {
		h.byCPU[i] = int32(i)
	}
	h.byMemory = slices.Clone(h.byCPU)
	slices.SortFunc(h.byCPU, func(a, b int32) int { return cmp.Compare(h.list[b].Free.MilliCPU, h.list[a].Free.MilliCPU) })
	slices.SortFunc(h.byMemory, func(a, b int32) int { return cmp.Compare(h.list[b].Free.MemoryMB, h.list[a].Free.MemoryMB) })
}

// room counts the tasks of the request that fit, up to enough. Once the holes are sorted,
// it looks only at the workers that have enough of the scarcer resource.
func (h *Holes) room(r Request, enough int) int {
	if h.lookups++; h.lookups == lookupsBeforeSort {
		h.sort()
	}
	count := 0
	if h.byCPU == nil {
		for i := 0; i < len(h.list) && count < enough; i++ {
			count += h.list[i].fit(&r, enough)
		}
		return count
	}
	order := h.byCPU[:sort.Search(len(h.byCPU), func(i int) bool { return h.list[h.byCPU[i]].Free.MilliCPU < r.Need.MilliCPU })]
	if n := sort.Search(len(h.byMemory), func(i int) bool { return h.list[h.byMemory[i]].Free.MemoryMB < r.Need.MemoryMB }); n < len(order) {
		order = h.byMemory[:n]
	}
	for i := 0; i < len(order) && count < enough; i++ {
		count += h.list[order[i]].fit(&r, enough)
	}
	return count
}

// most returns how many tasks of the request fit at best, up to all, given that the
// eligible workers are a random part of the fleet.
func (h *Holes) most(r Request) int {
	share := r.share()
	if workers := float64(len(h.list)); workers > 0 {
		share = min(1, share+eligibleDeviations*math.Sqrt(share*(1-share)/workers))
	}
	room := h.room(r, int(math.Ceil(float64(r.Tasks)/share)))
	return min(r.Tasks, int(math.Ceil(float64(room)*share)))
}

// fit returns how many tasks of the request may start on the worker, up to enough.
func (h *Hole) fit(r *Request, enough int) int {
	if !r.Need.Fits(h.Free) || h.blocks(r) || r.Label != "" && !slices.Contains(h.Labels, r.Label) {
		return 0
	}
	n := int64(enough)
	divide := func(have, need int64) {
		if need > 0 {
			n = min(n, have/need)
		}
	}
	divide(h.Free.MilliCPU, r.Need.MilliCPU)
	divide(h.Free.MemoryMB, r.Need.MemoryMB)
	divide(h.Free.Accelerators, r.Need.Accelerators)
	if r.MaxPerWorker > 0 {
		n = min(n, int64(r.MaxPerWorker))
	}
	return int(n)
}
