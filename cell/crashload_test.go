package cell

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/workload"
)

const (
	crashLoadEnd = 36 * time.Second // of its traffic
	// startAfterTraffic is when users ask, after the end of the traffic, whether all that was
	// accepted runs.
	startAfterTraffic = 14 * time.Second
	crashedFor        = 3300 * time.Millisecond // until a crashed worker is back under another ID
	calmBefore        = 4 * time.Second         // without crashes before they ask
	crashInterval     = 118 * time.Millisecond  // some 8 % of 350 workers are down at a time
)

// crashLoad is a load of wide gangs beside batches and checks, with troubles.
type crashLoad struct {
	crashes   bool // workers crash in turn
	burst     bool // gangs come at three times their rate in the last seconds of the traffic
	deaths    bool // owners die in a row in the last ten seconds
	slowStore bool // the store is slow meanwhile
}

// crashJob returns a job of one of the three kinds: wide gangs, batches and checks.
func (f *simFleet) crashJob(kind, id string) *workload.Job {
	j := &workload.Job{ID: id, Team: fmt.Sprintf("t%d", f.rng.IntN(20)), Spec: kind + id}
	j.Queue = workload.Queue{Name: kind, Service: "s"}
	advice := func(fixed, each time.Duration) *workload.Advice {
		return &workload.Advice{FixedLatency: fixed, PerWorker: each, Validity: 1500 * time.Millisecond}
	}
	st, width, steps := workload.Step{}, 0.0, 1
	switch kind {
	case "check":
		j.Queue.Priority, j.Queue.Slack, j.Queue.Target, j.Queue.Advice, j.Queue.MaxAttempts = 0, 1.5, 250*time.Millisecond, advice(7200*time.Microsecond, 100*time.Microsecond), 4
		width = f.drawn(3.2, 0.8, 19)
		st.Need = resource.Vector{MilliCPU: int64(f.drawn(5000, 0.45, 15000)), MemoryMB: int64(f.drawn(14000, 0.6, 43000))}
		st.Estimate = time.Duration(f.drawn(540, 0.5, 5800)) * time.Millisecond
		st.Gang = f.rng.Float64() < 0.3
	case "batch":
		j.Queue.Priority, j.Queue.Slack, j.Queue.Target, j.Queue.Advice, j.Queue.MaxAttempts = 2, 4, 3*time.Second, advice(80*time.Millisecond, 1100*time.Microsecond), 2
		width, steps = f.drawn(25, 0.8, 150), 1+f.rng.IntN(2)
		st.Need = resource.Vector{MilliCPU: int64(f.drawn(3500, 0.45, 10000)), MemoryMB: int64(f.drawn(10000, 0.6, 30000))}
		st.Estimate = time.Duration(f.drawn(1900, 0.5, 20000)) * time.Millisecond
		st.Checkpointing = f.rng.Float64() < 0.8
	case "thesis":
		j.Queue.Priority, j.Queue.Slack, j.Queue.Target, j.Queue.Advice, j.Queue.MaxAttempts = 1, 2.2, time.Second, advice(540*time.Millisecond, 7700*time.Microsecond), 3
		width = f.drawn(20, 0.8, 60)
		if f.rng.Float64() < 0.2 {
			steps = 2
		}
		st.Need = resource.Vector{MilliCPU: int64(f.drawn(9000, 0.4, 15000)), MemoryMB: int64(f.drawn(18000, 0.5, 37000))}
		st.Estimate = time.Duration(f.drawn(5300, 0.5, 20000)) * time.Millisecond
		st.Gang, st.Checkpointing = true, f.rng.Float64() < 0.5
	}
	st.Count = max(1, int(width))
	for n := range steps {
		if n > 0 {
			st.DependsOn = []int{n - 1}
		}
		j.Steps = append(j.Steps, st)
	}
	return j
}

func (f *simFleet) submitCrashJobs(kind string, from Instant, rate float64) {
	for at := from; at < crashLoadEnd; at += time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second)) {
		f.submit(at, f.crashJob(kind, fmt.Sprintf("%016x", len(f.jobs))))
	}
}

// newCrashLoad returns a fleet of 350 workers with a load, and the end of its traffic.
func newCrashLoad(t testing.TB, seed uint64, load crashLoad) (*simFleet, Instant) {
	f := newFleet(t, seed, 350)
	f.hosts = nil
	for i := range 29 {
		f.hosts = append(f.hosts, fmt.Sprintf("h%02d", i))
	}
	speeds := []float64{0.6, 1, 1.6}
	for i, id := range slices.Sorted(maps.Keys(f.workers)) {
		w := f.workers[id]
		w.info.Capacity = resource.Vector{MilliCPU: 32000, MemoryMB: 131072}
		w.speed = speeds[i%3]
	}
	f.teams, f.estimatesOff = map[string]Team{}, 1.9
	f.eligibleByQueue = map[string]uint32{"check": 70, "batch": 45, "thesis": 25}
	f.retries = 4
	f.claim()
	const start, end = 2 * time.Second, crashLoadEnd
	f.submitCrashJobs("check", start, 110)
	f.submitCrashJobs("batch", start, 9.86)
	f.submitCrashJobs("thesis", start, 3.05)
	if load.burst {
		f.submitCrashJobs("thesis", end-5*time.Second, 6)
	}
	if load.crashes {
		for at := 5 * time.Second; at < end+startAfterTraffic-calmBefore; at += crashInterval {
			f.at(at, func() {
				ids := slices.DeleteFunc(slices.Sorted(maps.Keys(f.workers)), func(id string) bool { return f.workers[id].gone || f.workers[id].refuses })
				f.crash(f.workers[ids[f.rng.IntN(len(ids))]], crashedFor, true)
			})
		}
	}
	if load.deaths {
		for _, before := range []time.Duration{9 * time.Second, 6 * time.Second, 3 * time.Second} {
			f.at(end-before, func() { f.killOwner(800 * time.Millisecond) })
		}
	}
	if load.slowStore {
		f.at(end-8*time.Second, func() { f.storeLatency = 240 * time.Millisecond })
		f.at(end-3*time.Second, func() { f.storeLatency = 0 })
	}
	return f, end
}

// unusedRoom returns the accepted jobs that have nothing running although a step is ready
// and workers that may run it have room for it twice over, while under half of the fleet
// is in use.
func (f *simFleet) unusedRoom() []string {
	used, capacity := int64(0), int64(0)
	running := map[string]bool{}
	for _, w := range f.workers {
		if w.gone {
			continue
		}
		capacity += w.info.Capacity.MilliCPU
		for _, r := range w.runs {
			used += r.need.MilliCPU
			running[r.task.Job] = true
		}
	}
	if 2*used >= capacity || f.owner == nil {
		return nil
	}
	var idle []string
	for _, id := range slices.Sorted(maps.Keys(f.jobs)) {
		j := f.jobs[id]
		if !j.accepted || j.endedAt > 0 || running[id] || j.allDone() {
			continue
		}
		for n := range j.spec.Steps {
			if f.stepDone(j, n) {
				continue
			}
			if f.simRoom(j, n) >= 2*j.spec.Steps[n].Count {
				idle = append(idle, id)
			}
			break // the later steps depend on it
		}
	}
	return idle
}

func (f *simFleet) stepDone(j *simJob, n int) bool {
	for i := range j.spec.Steps[n].Count {
		if !j.done[workload.TaskID{Job: j.spec.ID, Step: n, Index: i}.String()] {
			return false
		}
	}
	return true
}

// simRoom returns how many tasks of a step the workers that may run it have room for.
func (f *simFleet) simRoom(j *simJob, n int) int {
	count, st := 0, &j.spec.Steps[n]
	for id, w := range f.workers {
		if w.gone || !f.allows(fmt.Sprintf("%s.0.%d", j.spec.ID, n), id) {
			continue
		}
		free := w.info.Capacity
		for _, r := range w.runs {
			free = free.Sub(r.need)
		}
		for ; st.Need.Fits(free); count++ {
			free = free.Sub(st.Need)
		}
	}
	return count
}

// requireNoUnusedRoom plays the load and checks that, once it is asked for, no accepted
// job stands beside room for it.
func (f *simFleet) requireNoUnusedRoom(end Instant) {
	f.t.Helper()
	lost := f.idleBesideRoom(end)
	require.Empty(f.t, f.violations)
	require.Empty(f.t, lost)
}

// idleBesideRoom plays the load and returns the accepted jobs that stand beside room for them all
// the while once they are asked for.
func (f *simFleet) idleBesideRoom(end Instant) []string {
	f.t.Helper()
	f.runUntil(end + startAfterTraffic)
	counts := map[string]int{}
	samples := 0
	for ; f.now <= end+startAfterTraffic+maxWait; f.runUntil(f.now + 100*time.Millisecond) {
		samples++
		for _, id := range f.unusedRoom() {
			counts[id]++
		}
	}
	var lost []string
	for _, id := range slices.Sorted(maps.Keys(counts)) {
		if counts[id] == samples && !f.hasGuiltyTask(f.jobs[id]) { // a job with a guilty task is not missed
			lost = append(lost, id)
		}
	}
	u := f.owner.use()
	f.t.Logf("lost %d; at the end %d steps wait, %d gangs, %d of %d cores used, %d reserved", len(lost), len(f.owner.waiting), u.gangs, u.used.MilliCPU/1000, u.capacity.MilliCPU/1000, u.reserved/1000)
	f.t.Logf("%v", f.outcomesByQueue())
	return lost
}

// TestAcceptedJobsUseTheRoomAfterTheTraffic simulates gangs that wait at the end of the
// traffic, while workers crash in turn and owners die.
func TestAcceptedJobsUseTheRoomAfterTheTraffic(t *testing.T) {
	t.Parallel()
	for name, load := range map[string]crashLoad{
		"all":        {crashes: true, burst: true, deaths: true, slowStore: true},
		"crashes":    {crashes: true},
		"burst":      {burst: true},
		"deaths":     {deaths: true},
		"slow store": {slowStore: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, end := newCrashLoad(t, 1, load)
			f.requireNoUnusedRoom(end)
		})
	}
}

// TestAcceptedJobsRunBesideTasksThatCrashWorkers guards against jobs of a class that crashes
// workers that are accepted, wait for their trial and don't run once the fleet has room.
func TestAcceptedJobsRunBesideTasksThatCrashWorkers(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed+1), func(t *testing.T) {
			t.Parallel()
			const end = 34 * time.Second
			f := newNoticeFleetUntil(t, seed+1, end)
			f.retries = 4
			seen := map[string]bool{}
			f.onUpdate = func(_ *Cell, event any, _ []any, _ time.Duration) {
				e, ok := event.(Submit)
				if !ok || seen[e.Job.ID] || e.Job.Queue.Name != "notice-check" || f.now < 4*time.Second || f.now >= 22*time.Second {
					return
				}
				seen[e.Job.ID] = true
				if f.rng.IntN(10) < 3 {
					f.markGuilty(e.Job.ID + ".0.0.0")
				}
			}
			f.at(9*time.Second, func() { f.killOwner(800 * time.Millisecond) })
			f.at(13*time.Second, func() { f.storeLatency = 200 * time.Millisecond })
			f.at(17*time.Second, func() { f.storeLatency = 0; f.killOwner(800 * time.Millisecond) })
			f.requireNoUnusedRoom(end)
			require.Empty(t, f.crashes.innocent)
			waiting := 0
			for _, j := range f.jobs {
				if j.accepted && j.startedAt == 0 && j.endedAt == 0 {
					waiting++
				}
			}
			require.Zero(t, waiting, "accepted and not started")
		})
	}
}
