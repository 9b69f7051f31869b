package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipgap/cowslipgap/class"
	"github.com/cowslipgap/cowslipgap/placement"
	"github.com/cowslipgap/cowslipgap/refusal"
	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/storage"
	"github.com/cowslipgap/cowslipgap/task"
)

const (
	tickInterval = 100 * time.Millisecond
	minLease     = 6 * time.Second
)

// model is a Core with simulated workers. It carries out the effects on them and
// checks the invariants of placement.
type model struct {
	t           require.TestingT
	core        placement.Core
	now         time.Time
	workers     map[string]*modelWorker
	workerNames []string             // in the order of their creation
	limits      map[string]int       // by team
	running     map[string]int       // number of running tasks by team
	location    map[string]string    // name of the worker by running task
	starts      []placement.Start    // in order, including those of ended tasks
	waiting     map[string]time.Time // when tasks not yet started were submitted
	gangStarts  map[string]int       // number of tasks started in this step by gang
	jobSizes    map[string]int       // number of tasks by job
	finished    map[string]string    // end or refusal code by task
	lastJob     int                  // number of the last job
}

type modelWorker struct {
	info        storage.Worker
	used        resource.Vector
	running     map[string]placement.Start // by task
	unreported  []storage.Outcome          // outcomes for the next report
	lastOutcome uint64                     // number of the last outcome
}

func newModel(t require.TestingT, racks, perRack int) *model {
	m := &model{
		t: t, now: time.Unix(1000, 0), workers: map[string]*modelWorker{}, limits: map[string]int{}, running: map[string]int{},
		location: map[string]string{}, waiting: map[string]time.Time{}, gangStarts: map[string]int{}, jobSizes: map[string]int{}, finished: map[string]string{},
	}
	var list []storage.Worker
	for r := range racks {
		for i := range perRack {
			h := storage.Worker{
				Name: fmt.Sprintf("w%d-%02d", r, i), Rack: fmt.Sprintf("r%d", r), State: storage.StateLive,
				Capacity: resource.Vector{Slots: 8, MilliCPU: 8000, MemoryMB: 8000, Accelerators: int64(i % 2)},
			}
			list = append(list, h)
			m.workers[h.Name] = &modelWorker{info: h, running: map[string]placement.Start{}}
			m.workerNames = append(m.workerNames, h.Name)
		}
	}
	m.step(placement.Authority{Until: m.now.Add(1000 * time.Hour)})
	m.step(placement.Workers{List: list})
	m.tick()
	return m
}

// step applies an event and carries out the effects.
func (m *model) step(ev placement.Event) {
	effects := append([]placement.Effect(nil), m.core.Update(m.now, ev)...)
	clear(m.gangStarts)
	for _, e := range effects {
		m.carryOut(e)
	}
	for job, n := range m.gangStarts {
		require.Equal(m.t, m.jobSizes[job], n, "gang %s started only some of its tasks", job)
	}
}

func (m *model) carryOut(e placement.Effect) {
	switch e := e.(type) {
	case placement.Start:
		w := m.workers[e.Worker.Name]
		require.Empty(m.t, m.location[e.Task.ID], "task %s runs on two workers", e.Task.ID)
		w.used = w.used.Add(e.Task.Need)
		require.True(m.t, w.used.Fits(w.info.Capacity), "worker %s has %+v in use of a capacity of %+v", w.info.Name, w.used, w.info.Capacity)
		m.running[e.Task.Team]++
		if limit, ok := m.limits[e.Task.Team]; ok {
			require.LessOrEqual(m.t, m.running[e.Task.Team], limit, "team %s is over its limit", e.Task.Team)
		}
		w.running[e.Task.ID] = e
		m.location[e.Task.ID] = w.info.Name
		m.starts = append(m.starts, e)
		delete(m.waiting, e.Task.ID)
		if e.Task.GangSize > 1 && e.Task.Attempt == 1 {
			m.gangStarts[e.Task.Job]++
		}
	case placement.Stop:
		for _, id := range e.Tasks {
			if _, ok := m.workers[e.Worker.Name].running[id]; ok {
				m.endTask(e.Worker.Name, id, storage.EndStopped)
			}
		}
	case placement.Refuse:
		delete(m.waiting, e.Task.ID)
		m.finished[e.Task.ID] = e.Refusal.Code
	case placement.Finish:
		m.finished[e.Task.ID] = e.Outcome.End
	}
}

// endTask ends a task on its worker. The Core receives the outcome with the next
// report.
func (m *model) endTask(worker, id, end string) {
	w := m.workers[worker]
	s := w.running[id]
	delete(w.running, id)
	delete(m.location, id)
	w.used = w.used.Sub(s.Task.Need)
	m.running[s.Task.Team]--
	w.unreported = append(w.unreported, storage.Outcome{Task: id, Attempt: s.Task.Attempt, End: end})
	w.lastOutcome++
}

// tick advances the time by tickInterval and delivers a report of every worker.
func (m *model) tick() {
	m.now = m.now.Add(tickInterval)
	m.step(placement.Tick{})
	for _, name := range m.workerNames {
		w := m.workers[name]
		report := storage.Report{Ended: w.unreported, Next: w.lastOutcome}
		w.unreported = nil
		for _, s := range w.running {
			report.Running = append(report.Running, storage.StartRequest{Task: s.Task.ID, Attempt: s.Task.Attempt, Need: s.Task.Need})
		}
		m.step(placement.Reported{Worker: name, Sent: m.now, Report: report})
	}
}

// submit submits a new job with count copies of a task.
func (m *model) submit(t task.Task, count int) {
	m.lastJob++
	var tasks []task.Task
	for i := range count {
		t.ID = fmt.Sprintf("t%d/%d", m.lastJob, i)
		t.Job = fmt.Sprintf("t%d", m.lastJob)
		t.Submitted = m.now
		if count > 1 {
			t.GangSize = count
		}
		m.waiting[t.ID] = m.now
		tasks = append(tasks, t)
	}
	m.jobSizes[t.Job] = count
	m.step(placement.Submit{Tasks: tasks})
}

// endNth ends the first task that is still running, searching the starts in order
// from index n modulo their number and continuing at index 0 after the last.
func (m *model) endNth(n int, end string) {
	for i := range m.starts {
		s := m.starts[(i+n)%len(m.starts)]
		if worker := m.location[s.Task.ID]; worker != "" && m.workers[worker].running[s.Task.ID].Task.Attempt == s.Task.Attempt {
			m.endTask(worker, s.Task.ID, end)
			return
		}
	}
}

// runScript applies a script in which every three bytes encode an event.
func (m *model) runScript(script []byte) {
	teams := []string{"a", "b", "c"}
	for len(script) >= 3 {
		op, x, y := script[0], int(script[1]), int(script[2])
		script = script[3:]
		team := teams[x%len(teams)]
		need := resource.Vector{Slots: 1, MilliCPU: int64(y%5) * 1000, MemoryMB: int64(x%4) * 1000}
		switch op % 12 {
		case 0, 1, 2:
			m.submit(task.Task{Team: team, Class: class.All[y%len(class.All)], Need: need, Urgent: y%16 == 0}, 1)
		case 3:
			m.submit(task.Task{Team: team, Class: class.Gang, Need: need}, 2+y%6)
		case 4:
			m.submit(task.Task{Team: team, Class: class.Large, Need: need, Deadline: m.now.Add(time.Duration(y) * 10 * time.Millisecond)}, 1)
		case 5, 6:
			m.endNth(x, storage.EndDone)
		case 7:
			m.endNth(x, storage.EndFailed)
		case 8:
			m.step(placement.Cancel{ID: fmt.Sprintf("t%d/0", x%(m.lastJob+1))})
		case 9:
			m.setLimit(team, y%12)
		case 10:
			need.Accelerators = 1
			m.submit(task.Task{Team: team, Class: class.Batch, Need: need}, 1)
		case 11:
			m.tick()
		}
	}
}

// setLimit sets a team's limit. If more tasks are running, the model allows that
// many, because the Core stops the excess tasks only later.
func (m *model) setLimit(team string, limit int) {
	m.limits[team] = limit
	m.sendTeams()
	m.limits[team] = max(limit, m.running[team])
}

func (m *model) sendTeams() {
	policies := map[string]placement.TeamPolicy{}
	for name, n := range m.limits {
		policies[name] = placement.TeamPolicy{Weight: 1, Limit: n, HardLimit: n, Capped: true}
	}
	m.step(placement.Teams{Policies: policies})
}

// TestRandomEventsKeepInvariants checks that after random events no worker exceeds
// its capacity, no team exceeds its limit, gangs start as a whole and no task
// runs on two workers.
func TestRandomEventsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, 2, 2)
		m.runScript(rapid.SliceOfN(rapid.Byte(), 0, 600).Draw(t, "script"))
	})
}

// FuzzCore checks the same invariants with fuzzed scripts.
func FuzzCore(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 11, 0, 0, 5, 1, 1, 9, 1, 2})
	f.Fuzz(func(t *testing.T, script []byte) {
		newModel(t, 2, 2).runScript(script[:min(len(script), 3000)])
	})
}

// TestLargeRequestStartsInTimeAmongSmallAndBatch guards against a large request
// that never starts because small requests and batch tasks keep taking the
// capacity that becomes free. It must start within 5 s.
func TestLargeRequestStartsInTimeAmongSmallAndBatch(t *testing.T) {
	const bound = 5 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, 2, 2)
		need := resource.Vector{Slots: 1, MilliCPU: 1000}
		for range 200 {
			m.submit(task.Task{Team: "a", Class: class.Small, Need: need}, 1)
			m.submit(task.Task{Team: "b", Class: class.Batch, Need: need}, 1)
		}
		large := resource.Vector{Slots: 1, MilliCPU: 6000}
		m.submit(task.Task{Team: "a", Class: class.Large, Need: large}, 1)
		id := fmt.Sprintf("t%d/0", m.lastJob)
		since := m.now
		for m.waiting[id] != (time.Time{}) {
			require.Less(t, m.now.Sub(since), bound)
			for range rapid.IntRange(4, 12).Draw(t, "ends") {
				m.endNth(rapid.IntRange(0, 1000).Draw(t, "which"), storage.EndDone)
			}
			m.submit(task.Task{Team: "a", Class: class.Small, Need: need}, 1)
			m.tick()
		}
	})
}

// TestTeamsGetTheirSharesOfFullWorkers keeps all workers full with the tasks of
// three teams with shares 3, 2 and 1. Each team's part must be within 5% of its
// share.
func TestTeamsGetTheirSharesOfFullWorkers(t *testing.T) {
	m := newModel(t, 4, 4)
	weights := map[string]float64{"a": 3, "b": 2, "c": 1}
	policies := map[string]placement.TeamPolicy{}
	for team, w := range weights {
		policies[team] = placement.TeamPolicy{Weight: w}
	}
	m.step(placement.Teams{Policies: policies})
	need := resource.Vector{Slots: 1, MilliCPU: 1000}
	used := map[string]float64{}
	total := 0.0
	const warmUp, length, endsPerTick = 100, 700, 16
	for i := range length {
		for team := range weights {
			for range 8 {
				m.submit(task.Task{Team: team, Class: class.Batch, Need: need}, 1)
			}
		}
		for k := range endsPerTick {
			m.endNth(i*31+k*7, storage.EndDone)
		}
		m.tick()
		if i < warmUp {
			continue
		}
		for team := range weights {
			used[team] += float64(m.running[team])
			total += float64(m.running[team])
		}
	}
	for team, w := range weights {
		require.InEpsilon(t, w/6, used[team]/total, 0.05, "share of %s", team)
	}
}

// TestUrgentTaskPreemptsBatch fills the workers with batch tasks that do not end.
// An urgent task must start within 4.5 s.
func TestUrgentTaskPreemptsBatch(t *testing.T) {
	const bound = 4500 * time.Millisecond
	m := newModel(t, 1, 2)
	for range 40 {
		m.submit(task.Task{Team: "a", Class: class.Batch, Need: resource.Vector{Slots: 1, MilliCPU: 1000}}, 1)
	}
	for range 20 {
		m.step(placement.Tick{})
		for id := range m.location {
			m.step(placement.Started{ID: id, Attempt: 1})
		}
		m.tick()
	}
	m.submit(task.Task{Team: "b", Class: class.Large, Urgent: true, Need: resource.Vector{Slots: 1, MilliCPU: 3000}}, 1)
	id := fmt.Sprintf("t%d/0", m.lastJob)
	for since := m.now; m.location[id] == ""; m.tick() {
		require.Less(t, m.now.Sub(since), bound)
	}
}

// TestTasksThatCanNeverFitAreRefused submits a task and a gang that are too large
// for the workers. They must be refused as never fitting, and must not block the
// tasks behind them.
func TestTasksThatCanNeverFitAreRefused(t *testing.T) {
	m := newModel(t, 1, 2)
	m.submit(task.Task{Team: "a", Class: class.Batch, Need: resource.Vector{Slots: 9}}, 1)
	m.submit(task.Task{Team: "a", Class: class.Gang, Need: resource.Vector{Slots: 1}}, 17)
	require.Equal(t, refusal.NeverFits, m.finished["t1/0"])
	require.Equal(t, refusal.NeverFits, m.finished["t2/0"])
	m.submit(task.Task{Team: "a", Class: class.Batch, Need: resource.Vector{Slots: 1}}, 1)
	require.NotEmpty(t, m.location["t3/0"])
}

// TestFailingWorkerIsQuarantined checks that a worker on which every task fails is
// quarantined. A team whose tasks fail on every worker must not cause more than
// two of ten workers to be quarantined.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	m := newModel(t, 2, 5)
	run := func(team string, fail func(worker string) bool) {
		m.submit(task.Task{Team: team, Class: class.Batch, Need: resource.Vector{Slots: 1}}, 1)
		id := fmt.Sprintf("t%d/0", m.lastJob)
		worker := m.location[id]
		require.NotEmpty(t, worker)
		end := storage.EndDone
		if fail(worker) {
			end = storage.EndFailed
		}
		m.endTask(worker, id, end)
		m.tick()
	}
	for i := range 12 {
		run([]string{"a", "b"}[i%2], func(worker string) bool { return worker == m.workerNames[0] })
	}
	require.Equal(t, []string{m.workerNames[0]}, m.core.Quarantined())
	for range 60 {
		run("c", func(string) bool { return true })
	}
	require.LessOrEqual(t, len(m.core.Quarantined()), 2, "failing tasks must not quarantine most workers")
}

// TestLookupStartsAtOnceDuringMassCancellation cancels 100,000 queued tasks. A
// lookup submitted in between must start at once, and no task may stay queued.
func TestLookupStartsAtOnceDuringMassCancellation(t *testing.T) {
	m := newModel(t, 1, 2)
	m.core.Policy.MaxQueued = 200_000
	const taskCount = 100_000
	need := resource.Vector{Slots: 1, MilliCPU: 1000}
	for i := range taskCount {
		m.core.Update(m.now, placement.Submit{Tasks: []task.Task{{ID: fmt.Sprint("q", i), Team: "a", Class: class.Batch, Need: need}}})
	}
	for i := range taskCount {
		m.core.Update(m.now, placement.Cancel{ID: fmt.Sprint("q", i)})
		if i == taskCount/2 {
			effects := m.core.Update(m.now, placement.Submit{Tasks: []task.Task{{ID: "look", Team: "b", Class: class.Lookup, Need: resource.Vector{Slots: 1}}}})
			require.Len(t, effects, 1)
			require.IsType(t, placement.Start{}, effects[0])
		}
	}
	require.Zero(t, m.core.Load().Waiting)
}

// TestTasksOfSilentWorkerAreLostOnlyAfterLeaseExpiry guards against ending the
// tasks of a worker that stops reporting before its leases have expired, while
// it may still run them.
func TestTasksOfSilentWorkerAreLostOnlyAfterLeaseExpiry(t *testing.T) {
	m := newModel(t, 1, 1)
	m.submit(task.Task{Team: "a", Class: class.Batch, Need: resource.Vector{Slots: 1}}, 1)
	m.step(placement.Started{ID: "t1/0", Attempt: 1})
	since := m.now
	for i := 0; m.finished["t1/0"] == ""; i++ {
		m.now = m.now.Add(tickInterval)
		if i%20 == 0 { // a renewal times out every 2 s
			m.step(placement.RenewFailed{Worker: m.workerNames[0]})
		}
		m.step(placement.Tick{})
		require.Less(t, m.now.Sub(since), time.Minute)
	}
	require.Equal(t, placement.EndLost, m.finished["t1/0"])
	require.GreaterOrEqual(t, m.now.Sub(since), minLease)
}

// TestReportedEndFinishesQueuedTask reports the end of an earlier start of a
// queued task. The task must finish with that outcome and not start again.
func TestReportedEndFinishesQueuedTask(t *testing.T) {
	m := newModel(t, 1, 1)
	m.submit(task.Task{Team: "a", Class: class.Batch, Need: resource.Vector{Slots: 7}}, 1)
	m.submit(task.Task{Team: "a", Class: class.Batch, Need: resource.Vector{Slots: 2}}, 1)
	require.Empty(t, m.location["t2/0"])
	w := m.workers[m.workerNames[0]]
	w.unreported = []storage.Outcome{{Task: "t2/0", Attempt: 1, End: storage.EndDone}}
	w.lastOutcome++
	m.tick()
	require.Equal(t, storage.EndDone, m.finished["t2/0"])
	m.endTask(m.workerNames[0], "t1/0", storage.EndDone)
	m.tick()
	require.Len(t, m.starts, 1)
	require.Zero(t, m.core.Load().Waiting)
}

// TestBlockedTeamsDoNotStarveTheNextTeam lets eight teams wait for accelerators
// that a service keeps using. A ninth team, ordered behind them, must start a task
// in the slots that are free.
func TestBlockedTeamsDoNotStarveTheNextTeam(t *testing.T) {
	m := newModel(t, 1, 8)
	for range 4 { // every second worker has an accelerator
		m.submit(task.Task{Team: "service", Class: class.Service, Need: resource.Vector{Slots: 1, Accelerators: 1}}, 1)
	}
	for i := range 8 {
		m.submit(task.Task{Team: fmt.Sprint("a", i), Class: class.Batch, Need: resource.Vector{Slots: 1, Accelerators: 1}}, 1)
	}
	m.submit(task.Task{Team: "z", Class: class.Batch, Need: resource.Vector{Slots: 1}}, 1)
	for range 600 { // a minute
		m.tick()
	}
	require.NotEmpty(t, m.location[fmt.Sprintf("t%d/0", m.lastJob)], "the task has not started although slots are free")
}

// TestTaskWithoutRoomDoesNotHoldUpItsQueue lets a team's oldest task wait for an
// accelerator that a service keeps using. The team's next task must start in the
// slots that are free.
func TestTaskWithoutRoomDoesNotHoldUpItsQueue(t *testing.T) {
	m := newModel(t, 1, 2)
	m.submit(task.Task{Team: "service", Class: class.Service, Need: resource.Vector{Slots: 1, Accelerators: 1}}, 1)
	m.submit(task.Task{Team: "a", Class: class.Batch, Need: resource.Vector{Slots: 1, Accelerators: 1}}, 1)
	m.submit(task.Task{Team: "a", Class: class.Batch, Need: resource.Vector{Slots: 1}}, 1)
	for range 600 { // a minute
		m.tick()
	}
	require.NotEmpty(t, m.location[fmt.Sprintf("t%d/0", m.lastJob)], "the task has not started although slots are free")
}
