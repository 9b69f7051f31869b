package cell

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/workload"
)

func jobOf(id string, steps, tasks, occurrences int) *workload.Job {
	spec := &workload.Job{ID: id, Repeat: occurrences, Interval: time.Hour, FirstAt: time.Unix(4e9, 0), Queue: workload.Queue{Service: "svc", MaxAttempts: 3}}
	for range steps {
		spec.Steps = append(spec.Steps, workload.Step{Count: tasks})
	}
	return spec
}

// TestMemoryOfAJobIsNotUnderestimated measures the working state of jobs of several shapes.
func TestMemoryOfAJobIsNotUnderestimated(t *testing.T) {
	inUse := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	for _, shape := range [][3]int{{1, 1, 0}, {1, 19_000, 0}, {11_000, 1, 0}, {2, 1, 8760}, {3, 40, 20}} {
		const n = 30
		jobs := make([]*job, n)
		before := inUse()
		for i := range jobs {
			jobs[i] = newJob(jobOf(fmt.Sprintf("%016x", i), shape[0], shape[1], shape[2]), workload.Progress{}, 0)
		}
		used := (inUse() - before) / n
		estimate := memoryOf(jobs[0].spec)
		t.Logf("%d steps of %d tasks, %d times: %d bytes, estimated %d", shape[0], shape[1], shape[2], used, estimate)
		require.LessOrEqual(t, used, estimate)
		runtime.KeepAlive(jobs)
	}
}

// TestAcceptedJobsKeepToTheirMemory submits jobs until there is no room, ends one and
// submits again.
func TestAcceptedJobsKeepToTheirMemory(t *testing.T) {
	large, small := jobOf("5c0e7a21d94b3600", 1, 1000, 0), jobOf("5c0e7a21d94b36ff", 1, 2, 0)
	c := New(Config{MaxWorkMemory: 4*memoryOf(large) + 100})
	now := Clock{Steady: time.Second, Wall: time.Unix(1.7e9, 0)}
	c.Update(now, Claimed{Token: 1, Sent: now.Steady})
	submit := func(spec *workload.Job) Verdict {
		for _, effect := range c.Update(now, Submit{Reply: 1, Job: spec}) {
			if answer, ok := effect.(Answer); ok {
				require.Equal(t, "the accepted jobs take too much memory", answer.Reason)
				require.Positive(t, answer.RetryAfter)
				return answer.Verdict
			}
		}
		return Accepted // answered once it is stored
	}
	for i := range 3 {
		require.Equal(t, Accepted, submit(jobOf(fmt.Sprintf("5c0e7a21d94b360%d", i), 1, 1000, 0)))
	}
	require.Equal(t, Refused, submit(jobOf("5c0e7a21d94b3604", 1, 1000, 0)), "a quarter is left to small jobs")
	require.Equal(t, Accepted, submit(small))
	require.Equal(t, 1, c.Summary().NoRoom)
	require.Equal(t, 3*memoryOf(large)+memoryOf(small), c.Summary().WorkBytes)
	c.dropWorkingState(c.jobs["5c0e7a21d94b3600"])
	require.Equal(t, Accepted, submit(jobOf("5c0e7a21d94b3605", 1, 1000, 0)))
	c.Update(now, WorkLimit{Memory: 1})
	require.Equal(t, Refused, submit(jobOf("5c0e7a21d94b36fe", 1, 2, 0)))
	c.Update(now, Deposed{})
	require.Zero(t, c.Summary().WorkBytes)
}
