package cell

import (
	"time"

	"github.com/cowslipgap/cowslipgap/workload"
)

// The working state of a job takes these bytes of memory, beside its specification.
const (
	jobMemory        = 1500
	occurrenceMemory = 100
	stepMemory       = 850
	taskMemory       = 420
)

const (
	// largeWork is the size above which accepted jobs may take only largeWorkShare of the
	// memory for accepted jobs, so that there is room for small ones.
	largeWork      = 256 << 10
	largeWorkShare = 0.75
	// workRetryDelay is the time after which a caller may return whose job found no room.
	workRetryDelay = 5 * time.Second
)

// workRoom is the memory that accepted jobs take.
type workRoom struct {
	held    int64
	large   int64 // of the jobs above largeWork
	refused int   // jobs refused for want of room, since the process started
}

// add records that a job of n bytes was accepted or, if n is negative, that one has ended.
func (r *workRoom) add(n int64) {
	r.held += n
	if max(n, -n) > largeWork {
		r.large += n
	}
}

// fits reports whether there is room for a job of n bytes beside the accepted ones. Limit 0 is
// no limit.
func (r *workRoom) fits(n, limit int64) bool {
	return limit <= 0 || r.held+n <= limit && (n <= largeWork || r.large+n <= int64(largeWorkShare*float64(limit)))
}

// memoryOf returns the memory that a job takes from its acceptance to its end.
func memoryOf(spec *workload.Job) int64 {
	tasks := 0
	for i := range spec.Steps {
		tasks += spec.Steps[i].Count
	}
	each := occurrenceMemory + stepMemory*len(spec.Steps) + taskMemory*tasks
	return int64(jobMemory + spec.MaxSize() + each*spec.Occurrences())
}
