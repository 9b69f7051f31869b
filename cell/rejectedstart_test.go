package cell

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A start that its worker rejects as malformed was sent again, to the same worker, 50 times a
// second. Other workers take it.
func TestRejectedStartGoesToAnotherWorker(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 24)
	f.submitLightLoad(10 * time.Second)
	odd := f.workers["w002"]
	odd.invalid = func(Start) bool { return true }
	f.runUntil(40 * time.Second)
	f.requireNoViolations()
	f.requireOthersCompleted("none")
	require.Positive(t, odd.rejectedStarts)
	require.Less(t, odd.rejectedStarts, 2*len(f.jobs))
}

// The same with a job whose starts each worker rejects: it stays accepted, its starts become rare,
// and once they are taken it runs.
func TestStartThatEachWorkerRejectsBecomesRare(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 24)
	f.submitLightLoad(10 * time.Second)
	for i, spec := range []string{"ee00000000000000", "ee00000000000001"} {
		job := quoteJob(spec)
		if i == 1 {
			job = gangJob(spec)
		}
		f.submit(3*time.Second, job)
	}
	tasks := 0
	for _, id := range []string{"ee00000000000000", "ee00000000000001"} {
		tasks += f.jobs[id].tasks()
	}
	rejected := func() (n int) {
		for _, w := range f.workers {
			n += w.rejectedStarts
		}
		return n
	}
	for _, w := range f.workers {
		w.invalid = func(e Start) bool { return strings.HasPrefix(e.Task, "ee") && f.now < 30*time.Second }
	}
	f.runUntil(15 * time.Second)
	before := rejected()
	f.runUntil(25 * time.Second)
	require.Positive(t, before)
	require.LessOrEqual(t, rejected()-before, 12*tasks, "each task is tried about once a second")
	f.runUntil(60 * time.Second)
	f.requireNoViolations()
	f.requireOthersCompleted("none")
}
