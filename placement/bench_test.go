package placement_test

import (
	"fmt"
	"runtime"
	"sort"
	"testing"
	"time"

	"github.com/cowslipgap/cowslipgap/class"
	"github.com/cowslipgap/cowslipgap/placement"
	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/storage"
	"github.com/cowslipgap/cowslipgap/task"
)

// benchFleet is a Core with many workers that are full of running tasks, and a
// long queue. Its tasks end in the order in which they started.
type benchFleet struct {
	core     placement.Core
	now      time.Time
	running  []placement.Start
	lastTask int
}

// newBenchFleet returns a benchFleet with the given numbers of workers, running
// tasks and queued tasks.
func newBenchFleet(workers, running, queued int) *benchFleet {
	f := &benchFleet{now: time.Unix(1000, 0)}
	f.core.Policy.MaxQueued = 10 * queued
	var list []storage.Worker
	for i := range workers {
		list = append(list, storage.Worker{
			Name: fmt.Sprintf("w%05d", i), Rack: fmt.Sprintf("r%04d", i/20), State: storage.StateLive,
			Capacity: resource.Vector{Slots: int64(max(1, running/workers)), MilliCPU: 64_000, MemoryMB: 131_072, Accelerators: 2},
		})
	}
	f.update(placement.Authority{Until: f.now.Add(time.Hour)})
	f.update(placement.Workers{List: list})
	for _, h := range list {
		f.update(placement.Reported{Worker: h.Name, Sent: f.now})
	}
	policies := map[string]placement.TeamPolicy{}
	for i := range benchTeams {
		policies[fmt.Sprint("team", i)] = placement.TeamPolicy{Weight: float64(1 + i%5)}
	}
	f.update(placement.Teams{Policies: policies})
	for range running + queued {
		f.submit()
	}
	return f
}

// benchTeams is the number of teams that submit tasks.
const benchTeams = 300

func (f *benchFleet) update(ev placement.Event) {
	for _, e := range f.core.Update(f.now, ev) {
		if s, ok := e.(placement.Start); ok {
			f.running = append(f.running, s)
		}
	}
}

func (f *benchFleet) submit() {
	f.lastTask++
	classes := []class.Class{class.Small, class.Large, class.Batch, class.Batch, class.Service}
	t := task.Task{
		ID: fmt.Sprint("t", f.lastTask), Job: "j", Team: fmt.Sprint("team", f.lastTask%benchTeams), Class: classes[f.lastTask%len(classes)],
		Need: resource.Vector{Slots: 1, MilliCPU: int64(1+f.lastTask%4) * 1000, MemoryMB: 2048},
	}
	f.update(placement.Submit{Tasks: []task.Task{t}})
}

// replaceOldest ends the task that has run longest and submits another. With all
// workers full, this causes one placement decision.
func (f *benchFleet) replaceOldest() {
	s := f.running[0]
	f.running = f.running[1:]
	f.update(placement.Ended{ID: s.Task.ID, Outcome: storage.Outcome{Task: s.Task.ID, Attempt: s.Task.Attempt, End: storage.EndDone}})
	f.submit()
}

// BenchmarkDecision measures a placement decision on full workers with a long
// queue.
func BenchmarkDecision(b *testing.B) {
	const running, queued = 69_000, 100_000
	for _, workers := range []int{48, 1000, 10_000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			f := newBenchFleet(workers, running, queued)
			times := make([]time.Duration, 0, b.N)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				began := time.Now()
				f.replaceOldest()
				times = append(times, time.Since(began))
			}
			b.StopTimer()
			sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-µs")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
		})
	}
}

// BenchmarkTick measures the tick that every host runs ten times a second.
func BenchmarkTick(b *testing.B) {
	for _, workers := range []int{48, 1000, 10_000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			f := newBenchFleet(workers, 7*workers, 1000)
			for b.Loop() {
				f.now = f.now.Add(100 * time.Millisecond)
				f.update(placement.Tick{})
			}
		})
	}
}

// BenchmarkMemory reports the heap size of a Core by its numbers of workers and of
// running and queued tasks.
func BenchmarkMemory(b *testing.B) {
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for _, c := range []struct{ workers, running, queued int }{{1000, 0, 0}, {10_000, 0, 0}, {1000, 7000, 0}, {1000, 7000, 100_000}} {
		b.Run(fmt.Sprintf("workers=%d/running=%d/queued=%d", c.workers, c.running, c.queued), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				f := newBenchFleet(c.workers, c.running, c.queued)
				b.ReportMetric(heap()-before, "heap-bytes")
				runtime.KeepAlive(f)
			}
		})
	}
}
