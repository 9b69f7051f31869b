package eviction

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipgap/cowslipgap/resource"
)

var bulk = resource.Vector{MilliCPU: 3500, MemoryMB: 7000}

// full returns a worker of 32 cores and 128 GB with bulk tasks that each lose the given
// core-seconds.
func full(id string, lost ...float64) Worker {
	w := Worker{ID: id, Free: resource.Vector{MilliCPU: 32_000, MemoryMB: 128_000}}
	for i, n := range lost {
		w.Victims = append(w.Victims, Victim{Task: id + string(rune('a'+i)), Need: bulk, Lost: n})
		w.Free = w.Free.Sub(bulk)
	}
	return w
}

func tasks(chosen map[string][]Victim) map[string]int {
	counts := map[string]int{}
	for id, list := range chosen {
		counts[id] = len(list)
	}
	return counts
}

func TestChoose(t *testing.T) {
	need := resource.Vector{MilliCPU: 9000, MemoryMB: 33_000}
	nine := []float64{1, 1, 1, 1, 1, 1, 1, 1, 1} // leaves half a core
	dear := []float64{5, 5, 5, 5, 5, 5, 5, 5, 5}
	late := full("c", nine...)
	for i := range late.Victims {
		late.Victims[i].Late = true
	}
	limited := full("a", nine...)
	limited.Limit = 1
	for _, c := range []struct {
		name    string
		workers []Worker
		tasks   int
		budget  float64
		want    map[string]int
	}{
		{"room without a stop", []Worker{full("a")}, 3, 100, map[string]int{}},
		{"three runs make room for one task", []Worker{full("a", nine...)}, 1, 100, map[string]int{"a": 3}},
		{"free room counts", []Worker{full("a"), full("b", nine...)}, 4, 100, map[string]int{"b": 3}},
		{"least lost work", []Worker{full("a", dear...), full("b", nine...)}, 1, 100, map[string]int{"b": 3}},
		{"few workers", []Worker{full("a", nine...), full("b", nine...)}, 3, 100, map[string]int{"a": 8}},
		{"a limit a worker", []Worker{limited, full("b", dear...)}, 2, 100, map[string]int{"a": 3, "b": 3}},
		{"no job becomes late if it can be helped", []Worker{late, full("a", dear...)}, 1, 100, map[string]int{"a": 3}},
		{"a job becomes late", []Worker{late}, 1, 100, map[string]int{"c": 3}},
		{"beyond the budget", []Worker{full("a", dear...)}, 1, 14, map[string]int{}},
		{"not all fit", []Worker{full("a", nine...)}, 4, 1000, map[string]int{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			plan := Plan{Budget: c.budget}
			require.Equal(t, c.want, tasks(plan.Choose(c.workers, need, c.tasks)))
		})
	}
}

// TestWorkerThatIsOverHasNoRoom asks for processors on a worker whose runs take more memory
// than it has: the stops must make up for that first.
func TestWorkerThatIsOverHasNoRoom(t *testing.T) {
	w := full("a", 1, 1, 1)
	w.Free.MemoryMB = -8000
	need := resource.Vector{MilliCPU: 9000}
	plan := Plan{Budget: 100}
	require.Equal(t, map[string]int{"a": 2}, tasks(plan.Choose([]Worker{w}, need, 1)))
	w.Free.MemoryMB = -22_000
	require.Empty(t, plan.Choose([]Worker{w}, need, 1))
}

// TestChosenVictimsMakeRoom checks on random fleets that the chosen victims free the room,
// none of them in vain, within the budget.
func TestChosenVictimsMakeRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var workers []Worker
		for i := range rapid.IntRange(1, 6).Draw(t, "workers") {
			w := Worker{ID: string(rune('a' + i)), Free: resource.Vector{MilliCPU: rapid.Int64Range(0, 12).Draw(t, "cores"), MemoryMB: rapid.Int64Range(0, 12).Draw(t, "memory")}}
			for range rapid.IntRange(0, 6).Draw(t, "victims") {
				w.Victims = append(w.Victims, Victim{
					Need: resource.Vector{MilliCPU: rapid.Int64Range(1, 6).Draw(t, "cores"), MemoryMB: rapid.Int64Range(1, 6).Draw(t, "memory")},
					Lost: float64(rapid.IntRange(0, 9).Draw(t, "lost")), Late: rapid.Bool().Draw(t, "late"),
				})
			}
			workers = append(workers, w)
		}
		need := resource.Vector{MilliCPU: rapid.Int64Range(1, 9).Draw(t, "needCores"), MemoryMB: rapid.Int64Range(1, 9).Draw(t, "needMemory")}
		wanted := rapid.IntRange(1, 8).Draw(t, "tasks")
		plan := Plan{Budget: 30}
		chosen := plan.Choose(workers, need, wanted)
		if len(chosen) == 0 {
			return
		}
		room, lost := 0, 0.0
		for _, w := range workers {
			free := w.Free
			for _, v := range chosen[w.ID] {
				free, lost = free.Add(v.Need), lost+v.Lost
			}
			fits := w.fit(need, free, 100)
			for _, v := range chosen[w.ID] {
				if w.fit(need, free.Sub(v.Need), 100) == fits {
					t.Fatalf("%v is stopped in vain", v)
				}
			}
			room += fits
		}
		if room < wanted || lost > plan.Budget {
			t.Fatalf("room for %d of %d, %v core-seconds lost", room, wanted, lost)
		}
	})
}

// TestChoiceDoesNotDependOnTheOrderOfRuns lists the same runs in two orders.
func TestChoiceDoesNotDependOnTheOrderOfRuns(t *testing.T) {
	need := resource.Vector{MilliCPU: 9000, MemoryMB: 33_000}
	one, other := full("a", 1, 1, 1, 1, 1, 1, 1, 1, 1), full("a", 1, 1, 1, 1, 1, 1, 1, 1, 1)
	slices.Reverse(other.Victims)
	plan := Plan{Budget: 100}
	require.ElementsMatch(t, plan.Choose([]Worker{one}, need, 1)["a"], plan.Choose([]Worker{other}, need, 1)["a"])
}
