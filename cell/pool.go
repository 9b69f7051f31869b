package cell

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/cowslipgap/cowslipgap/resource"
)

// This file keeps the cost of a placement round from growing with the product of waiting
// steps and workers. It answers the load pattern of a large fleet: thousands of steps
// wait for room on thousands of workers, and for each step only few workers matter.

// maxAdviceScan is how many workers with room a call to the advice service is chosen
// from, as many as one step may ask about at once.
const maxAdviceScan = maxParallelCalls * maxWorkersPerCall

// servicePool holds the usable workers of a service.
type servicePool struct {
	candidates []*candidate
	maxFree    resource.Vector   // maximum free room on any worker, per dimension
	tooLarge   []resource.Vector // needs that no worker has room for; room only shrinks during a round
	roomAt     int               // index of the last candidate that was found to have room
	// longRoom is the room for long starts that leave enough to urgent queues, in thousandths
	// of a processor; longRoomKnown is whether the round has computed it.
	longRoom      int64
	longRoomKnown bool
	// freeMilliCPU and totalMilliCPU are the processors of the candidates when the round
	// began, in thousandths.
	freeMilliCPU, totalMilliCPU int64
	// lowestPriority is the lowest priority of runs that save their progress, once
	// prioritiesKnown is set.
	lowestPriority  int
	prioritiesKnown bool
}

// add adds a candidate.
func (pool *servicePool) add(cand *candidate) {
	pool.candidates = append(pool.candidates, cand)
	pool.maxFree = pool.maxFree.Max(cand.free)
	pool.freeMilliCPU += cand.free.MilliCPU
	pool.totalMilliCPU += cand.w.Capacity.MilliCPU
}

// mostlyFree reports whether under half of the workers' processors are in use. Then a gang
// that waits does not lack room, but workers that may run it and are free together.
func (pool *servicePool) mostlyFree() bool { return 2*pool.freeMilliCPU > pool.totalMilliCPU }

// hasRoom reports whether a worker has room for the need, whatever else prevents its use.
func (pool *servicePool) hasRoom(need resource.Vector) bool {
	if !need.Fits(pool.maxFree) || slices.ContainsFunc(pool.tooLarge, func(v resource.Vector) bool { return v.Fits(need) }) {
		return false
	}
	for range pool.candidates {
		if need.Fits(pool.candidates[pool.roomAt].free) {
			return true
		}
		pool.roomAt = (pool.roomAt + 1) % len(pool.candidates)
	}
	pool.tooLarge = slices.DeleteFunc(pool.tooLarge, need.Fits)
	pool.tooLarge = append(pool.tooLarge, need)
	return false
}

// mayRunOn returns the candidates that may be allowed to run the step, in the order of the
// pool. If the step needs advice, these are the few that the service has named.
func (pool *servicePool) mayRunOn(s *step) []*candidate {
	if !s.advice.needed {
		return pool.candidates
	}
	list := make([]*candidate, 0, len(s.advice.eligible))
	for _, w := range s.advice.eligible {
		if w.candidate != nil && w.Service == s.queue.Service {
			list = append(list, w.candidate)
		}
	}
	return list
}

// addEligible records that the service has named a worker. The list stays sorted by ID.
func (a *adviceState) addEligible(w *worker) {
	at, known := slices.BinarySearchFunc(a.eligible, w.ID, func(other *worker, id string) int { return cmp.Compare(other.ID, id) })
	if known {
		a.eligible[at] = w
		return
	}
	a.eligible = slices.Insert(a.eligible, at, w)
}

// scanFrom calls each for the candidates of the pool until it returns false. On a large
// fleet, different steps begin at different workers, so that they do not all ask about
// the same ones.
func (pool *servicePool) scanFrom(s *step, each func(*candidate) bool) {
	start := 0
	if n := len(pool.candidates); n > maxAdviceScan {
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(s.name)) // never fails
		start = int(hash.Sum32()) % n
	}
	for i := range pool.candidates {
		if !each(pool.candidates[(start+i)%len(pool.candidates)]) {
			return
		}
	}
}
