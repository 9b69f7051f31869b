package cell

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipgap/cowslipgap/poison"
	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/workload"
)

// newWideFleet returns a fleet with a job of many short tasks that all fit at once, and a small
// job beside it.
func newWideFleet(t *testing.T, seed uint64, tasks int) *simFleet {
	f := newFleet(t, seed, 48)
	for _, w := range f.workers {
		w.info.ID += "-0123456789abcdef"
	}
	ids := f.workers
	f.workers = map[string]*simWorker{}
	for _, w := range ids {
		f.workers[w.info.ID] = w
	}
	f.listWorkers()
	f.submit(2*time.Second, jobWithoutAdvice("bb00000000000001", workload.Step{Count: tasks, Need: resource.Vector{MilliCPU: 250, MemoryMB: 16}, Estimate: 4 * time.Second}))
	small := quoteJob("bb00000000000002")
	small.Queue.Advice = nil
	f.submit(1500*time.Millisecond, small)
	return f
}

// A job whose progress took a longer row than the store accepts stopped all commits, under each
// owner.
func TestWideJobKeepsRowsBelowTheLimit(t *testing.T) {
	t.Parallel()
	f := newWideFleet(t, 1, 5000)
	f.runUntil(60 * time.Second)
	f.requireNoViolations()
	f.requireAllEnded()
	require.Len(t, f.store.progress, len(f.jobs), "rows of ended jobs but their last")
	require.Empty(t, f.store.specs)
}

// The same with owners that die while the rows of the job are written, with larger jobs than a
// commit holds, and with rows so small that each holds a few tasks.
func TestWideJobOutlivesItsOwners(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := newWideFleet(t, seed, 2000)
			f.store.rowBytes = []int{0, 656, 1300, 8 << 10}[seed%4]
			f.owner.MaxRowBytes = f.store.rowBytes / 4 * 3
			f.submitLightLoad(10 * time.Second)
			f.lateStartShare = 0.01
			for i := range 5 {
				f.at(2*time.Second+time.Duration(50+f.rng.IntN(300)+1500*i)*time.Millisecond, func() {
					if f.owner != nil {
						f.killOwner(300 * time.Millisecond)
					}
				})
			}
			f.runUntil(120 * time.Second)
			f.requireNoViolations()
			f.requireAllEnded()
			f.requireNothingCharged()
		})
	}
}

// Gangs and repeating jobs whose progress takes many rows, beside owners that die.
func TestGangsAndOccurrencesInManyRows(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := newWideFleet(t, seed, 300)
			f.store.rowBytes = []int{0, 656, 1300, 8 << 10}[seed%4]
			f.owner.MaxRowBytes = f.store.rowBytes / 4 * 3
			gang := jobWithoutAdvice("bb00000000000011", workload.Step{Count: 600, Gang: true, Checkpointing: true, Need: resource.Vector{MilliCPU: 500, MemoryMB: 16}, Estimate: 3 * time.Second})
			repeated := jobWithoutAdvice("bb00000000000012", workload.Step{Count: 3, Need: resource.Vector{MilliCPU: 100, MemoryMB: 16}, Estimate: 100 * time.Millisecond})
			repeated.Steps = append(repeated.Steps, workload.Step{Count: 1, Need: resource.Vector{MilliCPU: 100, MemoryMB: 16}, Estimate: 50 * time.Millisecond, DependsOn: []int{0}})
			repeated.Repeat, repeated.Interval, repeated.FirstAt = 400, 25*time.Millisecond, f.wall.Add(4*time.Second)
			f.submit(2500*time.Millisecond, gang)
			f.submit(3*time.Second, repeated)
			for i := range 4 {
				f.at(3*time.Second+time.Duration(f.rng.IntN(1500)+2500*i)*time.Millisecond, func() {
					if f.owner != nil {
						f.killOwner(300 * time.Millisecond)
					}
				})
			}
			f.runUntil(120 * time.Second)
			f.requireNoViolations()
			f.requireAllEnded()
			f.requireNothingCharged()
			for _, id := range []string{gang.ID, repeated.ID} {
				require.Equal(t, workload.Completed, f.jobs[id].state, id)
			}
		})
	}
}

// A job with many steps took a longer row than the store accepts.
func TestJobWithManyStepsIsStored(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 24)
	spec := jobWithoutAdvice("bb00000000000001", workload.Step{Count: 1, Need: resource.Vector{MilliCPU: 100, MemoryMB: 16}, Estimate: 10 * time.Millisecond, Label: "k1"})
	for len(spec.Steps) < 4000 {
		spec.Steps = append(spec.Steps, spec.Steps[0])
	}
	spec.Spec = strings.Repeat("x", 4000)
	long := jobWithoutAdvice("bb00000000000002", workload.Step{Count: 1, Need: resource.Vector{MilliCPU: 100, MemoryMB: 16}, Estimate: 10 * time.Millisecond})
	for len(long.Steps) < 600 {
		step := long.Steps[0]
		for n := range long.Steps {
			step.DependsOn = append(step.DependsOn, n)
		}
		long.Steps = append(long.Steps, step)
	}
	j, refused := f.submit(2*time.Second, spec), f.submit(2*time.Second, long)
	f.at(2*time.Second+100*time.Millisecond, func() {
		require.True(t, j.accepted)
		require.Greater(t, len(f.store.specs), 1)
		f.killOwner(500 * time.Millisecond)
	})
	f.runUntil(60 * time.Second)
	f.requireNoViolations()
	f.requireAllEnded()
	require.True(t, j.accepted && !j.refused)
	require.True(t, refused.refused, "its description takes more than a commit holds")
	require.Empty(t, f.store.specs)
}

// A job whose rows don't fit beside a long roster waits for the next commit, and is stored by it.
func TestJobThatDoesNotFitWaitsForTheNextCommit(t *testing.T) {
	c := New(Config{MaxLease: simMaxLease, StatusRetention: time.Minute, MaxRowBytes: 492})
	clock := Clock{Steady: time.Hour, Wall: time.Unix(1, 0)}
	c.Update(clock, Claimed{Token: 9, Sent: clock.Steady})
	var workers []WorkerInfo
	for i := range 900 {
		workers = append(workers, WorkerInfo{ID: fmt.Sprintf("i-%010x", i), Addr: fmt.Sprintf("10.3.%d.%d:8562", i/256, i%256), Service: "s", Capacity: resource.Vector{MilliCPU: 32000, MemoryMB: 64000}, StartedAt: 1})
	}
	c.Update(clock, Listed{Workers: workers})
	spec := jobWithoutAdvice("bb00000000000001", workload.Step{Count: 1, Need: resource.Vector{MilliCPU: 100}})
	spec.Spec = strings.Repeat("x", 3*4000)
	c.Update(clock, Submit{Reply: 1, Job: spec})
	clock.Steady += maxCommitInterval
	first := nextCommit(t, c, clock)
	require.Greater(t, len(first.Puts), 50, "rows of the roster")
	require.LessOrEqual(t, first.rows()+2, 100)
	accepted := func(effects []any) bool {
		return slices.ContainsFunc(effects, func(e any) bool {
			a, ok := e.(Answer)
			return ok && a.Reply == 1 && a.Verdict == Accepted
		})
	}
	require.False(t, accepted(c.Update(clock, Committed{Seq: first.Seq, Sent: clock.Steady})), "its rows are not stored")
	clock.Steady += maxCommitInterval
	second := nextCommit(t, c, clock)
	var rows StoredRows
	for _, row := range second.Puts {
		if row.Table == Jobs {
			rows.AddSpec(row.Key, row.Value)
		}
	}
	stored := rows.Cell()
	require.Empty(t, stored.Unreadable)
	jobs := stored.Jobs
	require.Len(t, jobs, 1)
	require.Equal(t, spec.Spec, jobs[0].Job.Spec)
	require.True(t, accepted(c.Update(clock, Committed{Seq: second.Seq, Sent: clock.Steady})))
}

// The rows of an ended job's specification that an owner had not deleted yet when it died would
// have kept each later owner from loading the cell.
func TestSpecificationThatIsHalfDeletedIsDeleted(t *testing.T) {
	spec := jobWithoutAdvice("bb00000000000001", workload.Step{Count: 1, Need: resource.Vector{MilliCPU: 100}})
	spec.Spec = strings.Repeat("x", 2000)
	c := New(Config{MaxRowBytes: 492, StatusRetention: time.Minute})
	encoded, err := spec.EncodeNew()
	require.NoError(t, err)
	all := c.jobRows(&job{id: spec.ID, encoded: encoded})
	require.Greater(t, len(all), 4)
	ended := workload.Progress{State: workload.Completed}
	final, err := ended.Encode()
	require.NoError(t, err)
	for name, left := range map[string][]Row{"first rows": all[:2], "last rows": all[2:], "middle": all[1:3], "all": all} {
		for _, forgotten := range []bool{false, true} {
			if forgotten && (name == "first rows" || name == "all") {
				continue // a specification without progress is a waiting job's, or a defect
			}
			t.Run(fmt.Sprint(name, forgotten), func(t *testing.T) {
				var rows StoredRows
				for _, row := range left {
					rows.AddSpec(row.Key, row.Value)
				}
				if !forgotten {
					rows.AddProgress(spec.ID, final)
				}
				stored := rows.Cell()
				require.Empty(t, stored.Unreadable)
				jobs := stored.Jobs
				c := New(Config{MaxRowBytes: 492, StatusRetention: time.Minute})
				clock := Clock{Steady: time.Hour, Wall: time.Unix(1, 0)}
				c.Update(clock, Claimed{Token: 9, Sent: clock.Steady, Jobs: jobs})
				require.Empty(t, c.live)
				clock.Steady += maxCommitInterval
				dropped := map[string]bool{}
				for _, row := range nextCommit(t, c, clock).Drops {
					dropped[row.Key] = row.Table == Jobs
				}
				for _, row := range left {
					require.True(t, dropped[row.Key], row.Key)
				}
			})
		}
	}
	var broken StoredRows
	broken.AddSpec(all[0].Key, all[0].Value)
	stored := broken.Cell()
	require.Len(t, stored.Unreadable, 1)
	clock := Clock{Steady: time.Hour, Wall: time.Unix(1, 0)}
	c = New(Config{MaxRowBytes: 492, StatusRetention: time.Minute})
	c.Update(clock, Claimed{Token: 9, Sent: clock.Steady, Jobs: stored.Jobs, Unreadable: stored.Unreadable})
	require.Equal(t, []any{Answer{Reply: 1, Verdict: Accepted}}, c.Update(clock, Query{Reply: 1, ID: spec.ID}), "a job that may be accepted work")
	for range 3 {
		clock.Steady += maxCommitInterval
		commit := nextCommit(t, c, clock)
		require.Empty(t, commit.Drops)
		c.Update(clock, Committed{Seq: commit.Seq, Sent: clock.Steady})
	}
}

// The row of a lasting task grew with each of its failures.
func TestFailuresOfLastingTasksAreNotCollected(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 8)
	j := f.submit(2*time.Second, jobWithoutAdvice("bb00000000000001", workload.Step{Count: 2, LongRunning: true, Need: resource.Vector{MilliCPU: 1000, MemoryMB: 16}, Estimate: 200 * time.Millisecond}))
	j.faulty = true
	f.runUntil(60 * time.Second)
	require.Greater(t, j.failedRuns, 100)
	progress := *f.store.progress["bb00000000000001"]
	data, err := progress.Encode()
	require.NoError(t, err)
	require.Less(t, len(data), 200)
}

// storedOutcome is what a successor must know of a task.
type storedOutcome struct {
	done       bool
	failedRuns string
	checkpoint string
	evictions  int
	placed     string
	crashes    string
}

func outcomesOf(j *job) map[string]storedOutcome {
	list := map[string]storedOutcome{}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				at, _ := t.placement()
				got := storedOutcome{done: t.done}
				if !t.done {
					got = storedOutcome{false, fmt.Sprint(t.failedRuns), t.checkpoint, t.evictions, at.Worker, fmt.Sprint(t.crashes.Workers)}
				}
				list[t.name] = got
			}
		}
	}
	return list
}

// TestPartsHoldTheWholeProgress changes tasks at random, stores some of the changed parts at a
// time in rows of changing limits, and loads the job in between.
func TestPartsHoldTheWholeProgress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := &workload.Job{ID: "bb00000000000001", Team: "blue", Queue: workload.Queue{Name: "q", Service: "s", MaxAttempts: 9}, Repeat: rapid.IntRange(0, 3).Draw(t, "repeat")}
		for range rapid.IntRange(1, 4).Draw(t, "steps") {
			spec.Steps = append(spec.Steps, workload.Step{Count: rapid.IntRange(1, 120).Draw(t, "count")})
		}
		c := New(Config{MaxRowBytes: rapid.SampledFrom([]int{300, 1000, 4000}).Draw(t, "limit")})
		j := newJob(spec, workload.Progress{Team: "blue"}, 0)
		j.restoreParts(workload.Progress{}, nil, c.partTasks())
		j.stored = true
		specRow, err := spec.Encode()
		require.NoError(t, err)
		rows, known := map[string][]byte{}, outcomesOf(j) // as stored
		for range rapid.IntRange(1, 12).Draw(t, "rounds") {
			for range rapid.IntRange(1, 60).Draw(t, "changes") {
				o := j.occurrences[rapid.IntRange(0, len(j.occurrences)-1).Draw(t, "occurrence")]
				s := o.steps[rapid.IntRange(0, len(o.steps)-1).Draw(t, "step")]
				task := s.tasks[rapid.IntRange(0, len(s.tasks)-1).Draw(t, "task")]
				switch rapid.IntRange(0, 5).Draw(t, "change") {
				case 0:
					c.taskDone(task)
				case 1:
					task.failedRuns.Add(uint64(rapid.IntRange(1, 9).Draw(t, "run")))
				case 2:
					task.checkpoint = fmt.Sprint("saved", rapid.IntRange(0, 99).Draw(t, "saved"))
				case 3:
					task.evictions = rapid.IntRange(1, 3).Draw(t, "evictions")
				case 4:
					task.heldFor = fmt.Sprintf("worker-%d", rapid.IntRange(0, 99).Draw(t, "worker"))
				default:
					task.crashes.Record = poison.Record{Workers: []string{"w1", "w2"}, Suspect: true}
				}
				c.markTaskDirty(task)
			}
			if j.progress.State.Final() {
				return // its tasks are of no use any more
			}
			for n := rapid.IntRange(0, len(c.commits.dirty)).Draw(t, "stored"); n > 0; n-- {
				p := c.commits.dirty[0]
				c.commits.dirty = c.commits.dirty[1:]
				first, end := p.first, p.end
				puts, taken, err := c.takePart(p, &pendingCommit{}, commitRoom{all: true})
				require.NoError(t, err)
				require.True(t, taken)
				for _, row := range puts {
					require.LessOrEqual(t, len(row.Value), c.MaxRowBytes)
					rows[row.Key] = row.Value
				}
				j.eachStep(first, end, func(s *step, from, to int) {
					now := outcomesOf(j)
					for _, task := range s.tasks[from:to] {
						known[task.name] = now[task.name]
					}
					for _, task := range s.tasks {
						if s.done && from == 0 {
							known[task.name] = storedOutcome{done: true}
						}
					}
				})
			}
			var loaded StoredRows
			loaded.AddSpec(spec.ID, specRow)
			for _, key := range slices.Sorted(maps.Keys(rows)) {
				loaded.AddProgress(key, rows[key])
			}
			stored := loaded.Cell()
			require.Empty(t, stored.Unreadable)
			jobs := stored.Jobs
			require.Len(t, jobs, 1)
			main := workload.Progress{}
			if jobs[0].Progress != nil {
				main = *jobs[0].Progress
			}
			restored := newJob(jobs[0].Job, main, 0)
			restored.restoreParts(main, jobs[0].More, c.partTasks())
			require.Equal(t, known, outcomesOf(restored))
			if len(c.commits.dirty) == 0 && rapid.Bool().Draw(t, "next owner") {
				c = New(Config{MaxRowBytes: c.MaxRowBytes * rapid.IntRange(1, 3).Draw(t, "grown")})
				j, restored.stored, restored.main.stored = restored, true, jobs[0].Progress != nil
			}
		}
	})
}
