// Package eviction decides which running tasks give up their room to waiting ones of a
// higher priority. It answers the load pattern of urgent gangs that arrive on a fleet
// full of long, less urgent tasks.
//
// # Usage
//
//	plan := eviction.Plan{Budget: 500}
//	victims := plan.Choose(workers, need, 20)
package eviction

import (
	"cmp"
	"math"
	"slices"

	"github.com/cowslipgap/cowslipgap/resource"
)

// packingTolerance is the factor of lost work up to which one worker with more room is
// preferred to two with less.
const packingTolerance = 1.2

// Victim is a running task that could be stopped.
type Victim struct {
	Task string
	Need resource.Vector // room that its end frees
	Lost float64         // core-seconds of work that a stop throws away
	Late bool            // a stop makes its job late
}

// Worker is a worker that may run the waiting tasks.
type Worker struct {
	ID      string
	Free    resource.Vector // room that is free without a stop
	Limit   int             // tasks that may start there; 0: no limit
	Victims []Victim
}

// Plan chooses victims. The zero value chooses only those that lose nothing.
type Plan struct {
	Budget float64 // core-seconds that may be thrown away
}

// option is a number of tasks that one worker gains by the stop of some victims.
type option struct {
	worker  int
	tasks   int // gained
	lost    float64
	victims []int
}

// Choose returns the victims by worker whose stop gives room for the tasks, beside the room
// that is free. It prefers little lost work, then few workers, and makes a victim's job
// late only if there is no other way. It returns nil if the room cannot be had within the
// budget, or is there without a stop.
func (p *Plan) Choose(workers []Worker, need resource.Vector, tasks int) map[string][]Victim {
	for i := range workers {
		tasks -= workers[i].fit(need, workers[i].Free, tasks)
	}
	if tasks <= 0 {
		return nil
	}
	for _, late := range []bool{false, true} {
		if chosen := p.choose(workers, need, tasks, late); chosen != nil {
			return chosen
		}
	}
	return nil
}

// choose does what Choose does with the victims whose jobs become late, or without them.
func (p *Plan) choose(workers []Worker, need resource.Vector, tasks int, late bool) map[string][]Victim {
	var options []option
	for i := range workers {
		if o := workers[i].best(need, tasks, late); o.tasks > 0 {
			o.worker = i
			options = append(options, o)
		}
	}
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.lost/float64(a.tasks), b.lost/float64(b.tasks)), cmp.Compare(b.tasks, a.tasks))
	})
	chosen, lost := map[string][]Victim{}, 0.0
	for _, o := range options {
		if tasks <= 0 {
			break
		}
		w := &workers[o.worker]
		if o.tasks > tasks {
			o = w.option(need, tasks, late)
		}
		tasks -= o.tasks
		lost += o.lost
		for _, v := range o.victims {
			chosen[w.ID] = append(chosen[w.ID], w.Victims[v])
		}
	}
	if tasks > 0 || lost > p.Budget {
		return nil
	}
	return chosen
}

// best returns the option with the least lost work for each task that it gains, or one for
// more tasks within packingTolerance of it.
func (w *Worker) best(need resource.Vector, most int, late bool) option {
	var best option
	for n := 1; n <= most; n++ {
		o := w.option(need, n, late)
		if o.tasks < n {
			break
		}
		if best.tasks == 0 || o.lost*float64(best.tasks) <= packingTolerance*best.lost*float64(o.tasks) {
			best = o
		}
	}
	return best
}

// option returns victims for as many tasks as wanted, or none. Of the victims that lose
// least, it keeps those without whom there would not be room.
func (w *Worker) option(need resource.Vector, wanted int, late bool) option {
	var order []int
	for i := range w.Victims {
		if late || !w.Victims[i].Late {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(w.Victims[a].Lost, w.Victims[b].Lost), cmp.Compare(w.Victims[a].Task, w.Victims[b].Task))
	})
	free := w.Free
	goal := w.fit(need, free, math.MaxInt32) + wanted
	taken := 0
	for ; taken < len(order) && w.fit(need, free, goal) < goal; taken++ {
		free = free.Add(w.Victims[order[taken]].Need)
	}
	if w.fit(need, free, goal) < goal {
		return option{}
	}
	o := option{tasks: wanted}
	for _, i := range slices.Backward(order[:taken]) {
		v := &w.Victims[i]
		if without := free.Sub(v.Need); w.fit(need, without, goal) >= goal {
			free = without
			continue
		}
		o.victims = append(o.victims, i)
		o.lost += v.Lost
	}
	return o
}

// fit returns how many tasks fit into the room, up to most: none if it is negative in any
// dimension, on a worker that has less than its tasks take.
func (w *Worker) fit(need, free resource.Vector, most int) int {
	if !need.Fits(free) {
		return 0
	}
	n := int64(most)
	if w.Limit > 0 {
		n = min(n, int64(w.Limit))
	}
	divide := func(have, need int64) {
		if need > 0 {
			n = min(n, have/need)
		}
	}
	divide(free.MilliCPU, need.MilliCPU)
	divide(free.MemoryMB, need.MemoryMB)
	divide(free.Accelerators, need.Accelerators)
	return int(n)
}
