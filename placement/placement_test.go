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
	tickLength = 100 * time.Millisecond
	modelLease = 6 * time.Second
)

// model carries effects out on workers of its own and checks what must hold.
type model struct {
	t        require.TestingT
	core     placement.Core
	now      time.Time
	workers  map[string]*modelWorker
	names    []string
	limits   map[string]int
	running  map[string]int // tasks, by team
	place    map[string]string
	starts   []placement.Start
	waiting  map[string]time.Time // when submitted, of tasks not started
	gangs    map[string]int       // tasks of a gang started in this step
	sizes    map[string]int
	finished map[string]string
	serial   int
}

type modelWorker struct {
	host storage.Host
	used resource.Vector
	runs map[string]placement.Start
	done []storage.Outcome
	seq  uint64
}

func newModel(t require.TestingT, racks, perRack int) *model {
	m := &model{
		t: t, now: time.Unix(1000, 0), workers: map[string]*modelWorker{}, limits: map[string]int{}, running: map[string]int{},
		place: map[string]string{}, waiting: map[string]time.Time{}, gangs: map[string]int{}, sizes: map[string]int{}, finished: map[string]string{},
	}
	var list []storage.Host
	for r := range racks {
		for i := range perRack {
			h := storage.Host{
				Name: fmt.Sprintf("w%d-%02d", r, i), Rack: fmt.Sprintf("r%d", r), State: storage.StateLive,
				Room: resource.Vector{Slots: 8, MilliCPU: 8000, MemoryMB: 8000, Accelerators: int64(i % 2)},
			}
			list = append(list, h)
			m.workers[h.Name] = &modelWorker{host: h, runs: map[string]placement.Start{}}
			m.names = append(m.names, h.Name)
		}
	}
	m.step(placement.Authority{Until: m.now.Add(1000 * time.Hour)})
	m.step(placement.Workers{List: list})
	m.tick()
	return m
}

// step feeds an event and carries the effects out.
func (m *model) step(ev placement.Event) {
	effects := append([]placement.Effect(nil), m.core.Update(m.now, ev)...)
	clear(m.gangs)
	for _, e := range effects {
		m.carryOut(e)
	}
	for job, n := range m.gangs {
		require.Equal(m.t, m.sizes[job], n, "gang %s started in part", job)
	}
}

func (m *model) carryOut(e placement.Effect) {
	switch e := e.(type) {
	case placement.Start:
		w := m.workers[e.Worker.Name]
		require.Empty(m.t, m.place[e.Task.ID], "task %s runs in two places", e.Task.ID)
		w.used = w.used.Add(e.Task.Need)
		require.True(m.t, w.used.Fits(w.host.Room), "worker %s has %+v of %+v in use", w.host.Name, w.used, w.host.Room)
		m.running[e.Task.Team]++
		if limit, ok := m.limits[e.Task.Team]; ok {
			require.LessOrEqual(m.t, m.running[e.Task.Team], limit, "team %s is over its limit", e.Task.Team)
		}
		w.runs[e.Task.ID] = e
		m.place[e.Task.ID] = w.host.Name
		m.starts = append(m.starts, e)
		delete(m.waiting, e.Task.ID)
		if e.Task.GangSize > 1 && e.Task.Attempt == 1 {
			m.gangs[e.Task.Job]++
		}
	case placement.Stop:
		for _, id := range e.Tasks {
			if _, ok := m.workers[e.Worker.Name].runs[id]; ok {
				m.endLater(e.Worker.Name, id, storage.EndStopped)
			}
		}
	case placement.Refuse:
		delete(m.waiting, e.Task.ID)
		m.finished[e.Task.ID] = e.Refusal.Code
	case placement.Finish:
		m.finished[e.Task.ID] = e.Outcome.End
	}
}

// endLater ends a task at its worker; the Core learns it from a report.
func (m *model) endLater(worker, id, end string) {
	w := m.workers[worker]
	s := w.runs[id]
	delete(w.runs, id)
	delete(m.place, id)
	w.used = w.used.Sub(s.Task.Need)
	m.running[s.Task.Team]--
	w.done = append(w.done, storage.Outcome{Task: id, Attempt: s.Task.Attempt, End: end})
	w.seq++
}

// tick lets time pass and answers the renewals of every worker.
func (m *model) tick() {
	m.now = m.now.Add(tickLength)
	m.step(placement.Tick{})
	for _, name := range m.names {
		w := m.workers[name]
		report := storage.Report{Ended: w.done, Next: w.seq}
		w.done = nil
		for _, s := range w.runs {
			report.Running = append(report.Running, storage.Start{Task: s.Task.ID, Attempt: s.Task.Attempt, Need: s.Task.Need})
		}
		m.step(placement.Reported{Worker: name, Sent: m.now, Report: report})
	}
}

func (m *model) submit(t task.Task, count int) {
	m.serial++
	var tasks []task.Task
	for i := range count {
		t.ID = fmt.Sprintf("t%d/%d", m.serial, i)
		t.Job = fmt.Sprintf("t%d", m.serial)
		t.Submitted = m.now
		if count > 1 {
			t.GangSize = count
		}
		m.waiting[t.ID] = m.now
		tasks = append(tasks, t)
	}
	m.sizes[t.Job] = count
	m.step(placement.Submit{Tasks: tasks})
}

// endOldest ends the n-th running task in order of start.
func (m *model) endNth(n int, end string) {
	for i := range m.starts {
		s := m.starts[(i+n)%len(m.starts)]
		if where := m.place[s.Task.ID]; where != "" && m.workers[where].runs[s.Task.ID].Task.Attempt == s.Task.Attempt {
			m.endLater(where, s.Task.ID, end)
			return
		}
	}
}

// play interprets bytes as events.
func (m *model) play(script []byte) {
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
			m.step(placement.Cancel{ID: fmt.Sprintf("t%d/0", x%(m.serial+1))})
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

// setLimit sets a team's limit; the model lowers its own bound only as tasks end.
func (m *model) setLimit(team string, limit int) {
	m.limits[team] = limit
	m.pushTeams()
	m.limits[team] = max(limit, m.running[team])
}

func (m *model) pushTeams() {
	policies := map[string]placement.TeamPolicy{}
	for name, n := range m.limits {
		policies[name] = placement.TeamPolicy{Weight: 1, Limit: n, Hard: n, Capped: true}
	}
	m.step(placement.Teams{Policies: policies})
}

// TestInvariants plays random events and checks room, limits, gangs and places.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, 2, 2)
		m.play(rapid.SliceOfN(rapid.Byte(), 0, 600).Draw(t, "script"))
	})
}

func FuzzCore(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 11, 0, 0, 5, 1, 1, 9, 1, 2})
	f.Fuzz(func(t *testing.T, script []byte) {
		newModel(t, 2, 2).play(script[:min(len(script), 3000)])
	})
}

// TestLargeWaitsBounded keeps a team's queues full of small requests and batch:
// a large request still starts within the bound.
func TestLargeWaitsBounded(t *testing.T) {
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
		id := fmt.Sprintf("t%d/0", m.serial)
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

// TestSharesAtSaturation runs three teams with shares 3, 2 and 1 on a full fleet.
func TestSharesAtSaturation(t *testing.T) {
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

// TestUrgentDisplacesBatch fills the fleet with batch that does not end.
func TestUrgentDisplacesBatch(t *testing.T) {
	const bound = 4500 * time.Millisecond
	m := newModel(t, 1, 2)
	for range 40 {
		m.submit(task.Task{Team: "a", Class: class.Batch, Need: resource.Vector{Slots: 1, MilliCPU: 1000}}, 1)
	}
	for range 20 {
		m.step(placement.Tick{})
		for id := range m.place {
			m.step(placement.Started{ID: id, Attempt: 1})
		}
		m.tick()
	}
	m.submit(task.Task{Team: "b", Class: class.Large, Urgent: true, Need: resource.Vector{Slots: 1, MilliCPU: 3000}}, 1)
	id := fmt.Sprintf("t%d/0", m.serial)
	for since := m.now; m.place[id] == ""; m.tick() {
		require.Less(t, m.now.Sub(since), bound)
	}
}

// TestNeverFitsIsRefused refuses what no worker can hold, with the reason, and
// goes on with the rest of the queue.
func TestNeverFitsIsRefused(t *testing.T) {
	m := newModel(t, 1, 2)
	m.submit(task.Task{Team: "a", Class: class.Batch, Need: resource.Vector{Slots: 9}}, 1)
	m.submit(task.Task{Team: "a", Class: class.Gang, Need: resource.Vector{Slots: 1}}, 17)
	require.Equal(t, refusal.NeverFits, m.finished["t1/0"])
	require.Equal(t, refusal.NeverFits, m.finished["t2/0"])
	m.submit(task.Task{Team: "a", Class: class.Batch, Need: resource.Vector{Slots: 1}}, 1)
	require.NotEmpty(t, m.place["t3/0"])
}

// TestFailingWorkerIsQuarantined lets one worker fail everything, and then a job
// fail everywhere.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	m := newModel(t, 2, 5)
	run := func(team string, fail func(worker string) bool) {
		m.submit(task.Task{Team: team, Class: class.Batch, Need: resource.Vector{Slots: 1}}, 1)
		id := fmt.Sprintf("t%d/0", m.serial)
		where := m.place[id]
		require.NotEmpty(t, where)
		end := storage.EndDone
		if fail(where) {
			end = storage.EndFailed
		}
		m.endLater(where, id, end)
		m.tick()
	}
	for i := range 12 {
		run([]string{"a", "b"}[i%2], func(worker string) bool { return worker == m.names[0] })
	}
	require.Equal(t, []string{m.names[0]}, m.core.Quarantined())
	for range 60 {
		run("c", func(string) bool { return true })
	}
	require.LessOrEqual(t, len(m.core.Quarantined()), 2, "a bad job must not take the fleet out")
}

// TestCancelWave cancels 100,000 waiting tasks; a lookup is placed in between.
func TestCancelWave(t *testing.T) {
	m := newModel(t, 1, 2)
	m.core.Policy.MaxQueued = 200_000
	const wave = 100_000
	need := resource.Vector{Slots: 1, MilliCPU: 1000}
	for i := range wave {
		m.core.Update(m.now, placement.Submit{Tasks: []task.Task{{ID: fmt.Sprint("q", i), Team: "a", Class: class.Batch, Need: need}}})
	}
	for i := range wave {
		m.core.Update(m.now, placement.Cancel{ID: fmt.Sprint("q", i)})
		if i == wave/2 {
			effects := m.core.Update(m.now, placement.Submit{Tasks: []task.Task{{ID: "look", Team: "b", Class: class.Lookup, Need: resource.Vector{Slots: 1}}}})
			require.Len(t, effects, 1)
			require.IsType(t, placement.Start{}, effects[0])
		}
	}
	require.Zero(t, m.core.Load().Waiting)
}

// TestSilentWorkerLosesItsTasksOnlyAfterTheLease stops a worker's reports.
func TestSilentWorkerLosesItsTasksOnlyAfterTheLease(t *testing.T) {
	m := newModel(t, 1, 1)
	m.submit(task.Task{Team: "a", Class: class.Batch, Need: resource.Vector{Slots: 1}}, 1)
	m.step(placement.Started{ID: "t1/0", Attempt: 1})
	since := m.now
	for i := 0; m.finished["t1/0"] == ""; i++ {
		m.now = m.now.Add(tickLength)
		if i%20 == 0 { // a renewal times out after two seconds
			m.step(placement.RenewFailed{Worker: m.names[0]})
		}
		m.step(placement.Tick{})
		require.Less(t, m.now.Sub(since), time.Minute)
	}
	require.Equal(t, placement.EndLost, m.finished["t1/0"])
	require.GreaterOrEqual(t, m.now.Sub(since), modelLease)
}

// TestListedEndOfAWaitingTask reports the end of an earlier start of a task that
// waits to run again: it ran, and does not start.
func TestListedEndOfAWaitingTask(t *testing.T) {
	m := newModel(t, 1, 1)
	m.submit(task.Task{Team: "a", Class: class.Batch, Need: resource.Vector{Slots: 7}}, 1)
	m.submit(task.Task{Team: "a", Class: class.Batch, Need: resource.Vector{Slots: 2}}, 1)
	require.Empty(t, m.place["t2/0"])
	w := m.workers[m.names[0]]
	w.done = []storage.Outcome{{Task: "t2/0", Attempt: 1, End: storage.EndDone}}
	w.seq++
	m.tick()
	require.Equal(t, storage.EndDone, m.finished["t2/0"])
	m.endLater(m.names[0], "t1/0", storage.EndDone)
	m.tick()
	require.Len(t, m.starts, 1)
	require.Zero(t, m.core.Load().Waiting)
}

// TestWaitingTeamsDoNotStarveTheNext lets eight teams wait for accelerators that a
// service keeps, while slots are free for a ninth that stands behind them.
func TestWaitingTeamsDoNotStarveTheNext(t *testing.T) {
	m := newModel(t, 1, 8)
	for range 4 { // every second worker has one
		m.submit(task.Task{Team: "service", Class: class.Service, Need: resource.Vector{Slots: 1, Accelerators: 1}}, 1)
	}
	for i := range 8 {
		m.submit(task.Task{Team: fmt.Sprint("a", i), Class: class.Batch, Need: resource.Vector{Slots: 1, Accelerators: 1}}, 1)
	}
	m.submit(task.Task{Team: "z", Class: class.Batch, Need: resource.Vector{Slots: 1}}, 1)
	for range 600 { // a minute
		m.tick()
	}
	require.NotEmpty(t, m.place[fmt.Sprintf("t%d/0", m.serial)], "slots are free")
}

// TestTaskWithoutRoomDoesNotHoldUpItsQueue lets a team's oldest task wait for an
// accelerator that a service keeps, while slots are free for the next.
func TestTaskWithoutRoomDoesNotHoldUpItsQueue(t *testing.T) {
	m := newModel(t, 1, 2)
	m.submit(task.Task{Team: "service", Class: class.Service, Need: resource.Vector{Slots: 1, Accelerators: 1}}, 1)
	m.submit(task.Task{Team: "a", Class: class.Batch, Need: resource.Vector{Slots: 1, Accelerators: 1}}, 1)
	m.submit(task.Task{Team: "a", Class: class.Batch, Need: resource.Vector{Slots: 1}}, 1)
	for range 600 { // a minute
		m.tick()
	}
	require.NotEmpty(t, m.place[fmt.Sprintf("t%d/0", m.serial)], "slots are free")
}
