package scarcity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/resource"
)

// fleet returns workers of 32 cores and 128 GB on which runs leave the given room. The
// runs end after the given time.
func fleet(workers int, free resource.Vector, ends time.Duration) *Fleet {
	size := resource.Vector{MilliCPU: 32_000, MemoryMB: 128_000}
	tables := map[resource.Vector]*Holes{}
	holes := func(free resource.Vector) *Holes {
		if tables[free] != nil {
			return tables[free]
		}
		list := make([]Hole, workers)
		for i := range list {
			list[i] = Hole{Free: free, Labels: []string{"r0"}}
		}
		tables[free] = NewHoles(list)
		return tables[free]
	}
	return &Fleet{Capacity: size.Times(int64(workers)), Empty: holes(size), Holes: func(after time.Duration) *Holes {
		if after >= ends {
			return holes(size)
		}
		return holes(free)
	}}
}

func TestWait(t *testing.T) {
	const ends = 4 * time.Second
	free := resource.Vector{MilliCPU: 20_000, MemoryMB: 40_000}
	running := Demand{Now: resource.Vector{MilliCPU: 120_000, MemoryMB: 880_000}, Work: resource.Vector{MilliCPU: 120_000 * 4000, MemoryMB: 880_000 * 4000}}
	gangs := Demand{Now: resource.Vector{MilliCPU: 900_000}, Work: resource.Vector{MilliCPU: 900_000 * 6000}}
	task := func(cores, gigabytes int64) Request {
		return Request{Need: resource.Vector{MilliCPU: cores * 1000, MemoryMB: gigabytes * 1000}, Tasks: 3}
	}
	change := func(r Request, do func(*Request)) Request { do(&r); return r }
	for _, c := range []struct {
		name     string
		r        Request
		ahead    Ahead
		min, max time.Duration
	}{
		{"33 GB fit", task(5, 33), Ahead{Running: running}, 0, 0},
		{"65 GB fit nowhere before the runs end", task(5, 65), Ahead{Running: running}, ends * 2 / 3, ends},
		{"10 tasks fit, one a worker", change(task(5, 14), func(r *Request) { r.Tasks = 20 }), Ahead{Running: running}, 0, 0},
		{"a limit a worker", change(task(5, 14), func(r *Request) { r.Tasks, r.MaxPerWorker = 15, 1 }), Ahead{Running: running}, 0, 0},
		{"half of the workers may run it", change(task(5, 33), func(r *Request) { r.Tasks, r.Eligible = 8, 0.5 }), Ahead{Running: running}, ends * 2 / 3, ends},
		{"gangs ahead cannot use the room", task(5, 33), Ahead{Running: running, Gangs: gangs}, 0, 0},
		{"tasks ahead use the room", task(5, 33), Ahead{Running: running, Tasks: gangs}, 2 * time.Second, 30 * time.Second},
		{"a task that lasts may wait for room", change(task(5, 65), func(r *Request) { r.Deferred = true }), Ahead{Running: running}, 0, 0},
		{"no worker is that large", task(33, 1), Ahead{}, Never, Never},
		{"no worker has the label", change(task(1, 1), func(r *Request) { r.Label = "r1" }), Ahead{}, Never, Never},
		{"the gang is wider than the fleet", change(task(20, 1), func(r *Request) { r.Tasks, r.Gang = 11, true }), Ahead{}, Never, Never},
		{"other steps run in waves", change(task(20, 1), func(r *Request) { r.Tasks = 11 }), Ahead{}, 0, 0},
		{"accelerators", Request{Need: resource.Vector{Accelerators: 1}, Tasks: 1}, Ahead{}, Never, Never},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := fleet(10, free, ends)
			if c.ahead.Running.Now.MilliCPU == 0 {
				f = fleet(10, resource.Vector{MilliCPU: 32_000, MemoryMB: 128_000}, 0)
			}
			wait := f.Wait(c.r, c.ahead)
			require.GreaterOrEqual(t, wait, c.min)
			require.LessOrEqual(t, wait, c.max)
			for range lookupsBeforeSort { // the same from sorted holes
				require.Equal(t, wait, f.Wait(c.r, c.ahead))
			}
		})
	}
	require.Zero(t, (&Fleet{}).Wait(task(1, 1), Ahead{}))
}

// TestReservedWorkersHoldShortTasks asks for a worker that a gang needs in 2 s.
func TestReservedWorkersHoldShortTasks(t *testing.T) {
	size := resource.Vector{MilliCPU: 32_000, MemoryMB: 128_000}
	holes := NewHoles([]Hole{{Free: size, Reserved: 2 * time.Second, Rank: 1}})
	f := &Fleet{Capacity: size, Empty: holes, Holes: func(time.Duration) *Holes { return holes }}
	r := Request{Need: resource.Vector{MilliCPU: 5000}, Tasks: 1, Rank: 2, Time: time.Second}
	require.True(t, f.holds(r, 0))
	r.Time = 3 * time.Second
	require.False(t, f.holds(r, 0))
	r.Rank = 0 // the gang comes later
	require.True(t, f.holds(r, 0))
}

// TestQuotaWaitsInTheDimensionThatBinds exceeds a ceiling of memory, and one of cores.
func TestQuotaWaitsInTheDimensionThatBinds(t *testing.T) {
	d := Demand{Now: resource.Vector{MilliCPU: 1000, MemoryMB: 9000}, Work: resource.Vector{MilliCPU: 1_000_000, MemoryMB: 9_000_000}}
	need := resource.Vector{MilliCPU: 1000, MemoryMB: 3000}
	require.Positive(t, d.Wait(need, resource.Vector{MemoryMB: 10_000}))
	require.Positive(t, d.Wait(need, resource.Vector{MilliCPU: 1500}))
	require.Zero(t, d.Wait(need, resource.Vector{MilliCPU: 2000, MemoryMB: 12_000}))
	require.Zero(t, d.Wait(need, resource.Vector{}))
}

// BenchmarkWait asks for much room on 3,000 workers whose tables are sorted.
func BenchmarkWait(b *testing.B) {
	f := fleet(3000, resource.Vector{MilliCPU: 5000, MemoryMB: 30_000}, 4*time.Second)
	r := Request{Need: resource.Vector{MilliCPU: 9000, MemoryMB: 33_000}, Tasks: 20, Gang: true}
	for b.Loop() {
		f.Wait(r, Ahead{})
	}
}
