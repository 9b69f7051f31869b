package control_test

import (
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/class"
	"github.com/cowslipgap/cowslipgap/control"
	"github.com/cowslipgap/cowslipgap/job"
	"github.com/cowslipgap/cowslipgap/lease"
	"github.com/cowslipgap/cowslipgap/peer"
	"github.com/cowslipgap/cowslipgap/placement"
	"github.com/cowslipgap/cowslipgap/refusal"
	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/segment"
	"github.com/cowslipgap/cowslipgap/storage"
	"github.com/cowslipgap/cowslipgap/task"
)

const (
	self    = "a1-self"
	sibling = "a2-sibling"
)

// rig is a State of zone "a" with a sibling, and the rows it has written.
type rig struct {
	t        *testing.T
	s        *control.State
	now      time.Time
	revision uint64
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, now: time.Unix(5000, 0)}
	r.s = control.New(control.Config{
		Session: self, Name: "a1", Zone: "a", PeerAddr: "127.0.0.1:1", Heartbeat: time.Second, WritesPerSecond: 200,
		Rules: lease.Rules{Lease: 5 * time.Second, Margin: 500 * time.Millisecond, SoloLimit: 10 * time.Minute},
	})
	beat := take[control.Beat](r.update(control.Tick{}))
	require.Len(t, beat, 1)
	r.update(control.BeatDone{Sent: r.now, Revision: 1, Fence: 1})
	r.update(control.ZoneRows{Rows: []storage.Row{
		r.row(control.SessionKey("a", sibling), control.SessionRow{Name: "a2", PeerAddr: "127.0.0.1:2", State: "live"}),
		r.row(control.BeatKey("a", sibling), control.BeatRow{Name: "a2", PeerAddr: "127.0.0.1:2", Successor: self, LeaseMillis: 5000}),
	}})
	r.update(control.Tick{})
	return r
}

func (r *rig) row(key string, value any) storage.Row {
	data, err := json.Marshal(value)
	require.NoError(r.t, err)
	r.revision++
	return storage.Row{Key: key, Value: data, Revision: r.revision + 10}
}

func (r *rig) update(ev any) []any { return append([]any(nil), r.s.Update(r.now, ev)...) }

// greet lets the sibling report free slots.
func (r *rig) greet() {
	const slots = 8
	room := resource.Vector{Slots: slots, MilliCPU: 100_000, MemoryMB: 100_000}
	r.update(control.Greeted{Incoming: true, Greeting: peer.Greeting{
		Session: sibling, Zone: "a", FreeSlots: slots, Slots: slots, Room: room, Largest: room,
	}})
}

// take returns the effects of one type.
func take[E any](effects []any) []E {
	var found []E
	for _, e := range effects {
		if e, ok := e.(E); ok {
			found = append(found, e)
		}
	}
	return found
}

func small(id string) task.Task {
	return task.Task{ID: id, Team: "t", Class: class.Small, Need: resource.Vector{Slots: 1}}
}

// TestForwardsOnceAndNotBack forwards a caller's task to the sibling, and never
// one that came from it.
func TestForwardsOnceAndNotBack(t *testing.T) {
	r := newRig(t)
	r.greet()
	sent := take[control.Forward](r.update(control.Request{Task: small("x")}))
	require.Len(t, sent, 1)
	require.Equal(t, sibling, sent[0].Session)
	require.Equal(t, []string{self}, sent[0].Task.Path)

	back := small("y")
	back.Path = []string{sibling}
	effects := r.update(control.Forwarded{From: sibling, Task: back})
	require.Empty(t, take[control.Forward](effects))
	answers := take[control.Answer](effects)
	require.Len(t, answers, 1)
	require.Equal(t, refusal.NoOwner, answers[0].Refusal.Code)
	require.Equal(t, refusal.NotRun, answers[0].Refusal.Ran)
}

// TestLostForwardIsResolved loses the answer of a forwarded non-idempotent task:
// it is asked for, never sent again, and at last said to be unknown.
func TestLostForwardIsResolved(t *testing.T) {
	r := newRig(t)
	r.greet()
	x := small("x")
	x.NonIdempotent = true
	require.Len(t, take[control.Forward](r.update(control.Request{Task: x})), 1)
	r.update(control.ForwardDone{ID: "x", Session: sibling})
	asked := 0
	var answers []control.Answer
	for range 400 {
		r.now = r.now.Add(100 * time.Millisecond)
		effects := r.update(control.Tick{})
		answers = append(answers, take[control.Answer](effects)...)
		for _, f := range take[control.Forward](effects) {
			require.True(t, f.Resolve, "it must not be sent again")
			asked++
			r.update(control.ForwardDone{ID: "x", Session: sibling, Resolved: true})
		}
	}
	require.Positive(t, asked)
	require.Len(t, answers, 1)
	require.Equal(t, refusal.Unknown, answers[0].Refusal.Ran)
}

// TestLostRequestIsNotRunAgain loses the answer of a forwarded idempotent request.
// Its end comes with the reply alone, so it may have run, and its caller is told.
func TestLostRequestIsNotRunAgain(t *testing.T) {
	r := newRig(t)
	r.greet()
	for i := range 20 { // they earn retries
		id := strconv.Itoa(i)
		r.update(control.Request{Task: small(id)})
		r.update(control.ForwardDone{ID: id, Session: sibling, Outcome: &storage.Outcome{Task: id, End: storage.EndDone}})
	}
	x := small("x")
	x.Deadline = r.now.Add(time.Minute)
	require.Len(t, take[control.Forward](r.update(control.Request{Task: x})), 1)
	r.ownWorker()
	r.update(control.ForwardDone{ID: "x", Session: sibling})
	effects := r.pass(time.Minute)
	require.Empty(t, take[placement.Start](effects))
	answers := take[control.Answer](effects)
	require.Len(t, answers, 1)
	require.Equal(t, refusal.Unknown, answers[0].Refusal.Ran)
	require.Positive(t, answers[0].Refusal.RetryMillis, "its caller may send it again")
}

// TestRequestThatHadBegunIsNotRefusedAsNotRun ends a request's first run short of
// its end; the second finds no room until the deadline.
func TestRequestThatHadBegunIsNotRefusedAsNotRun(t *testing.T) {
	r := newRig(t)
	r.ownWorker()
	for i := range 20 { // they earn retries
		id := strconv.Itoa(i)
		require.Len(t, take[placement.Start](r.update(control.Request{Task: small(id)})), 1)
		r.update(placement.Ended{ID: id, Outcome: storage.Outcome{Task: id, Attempt: 1, End: storage.EndDone}})
	}
	x, wide := small("x"), small("wide")
	x.Deadline = r.now.Add(5 * time.Second)
	require.Len(t, take[placement.Start](r.update(control.Request{Task: x})), 1)
	wide.Need.Slots = 7
	r.update(control.Request{Task: wide})
	r.update(control.Request{Task: small("before")})
	effects := r.update(placement.Ended{ID: "x", Outcome: storage.Outcome{Task: "x", Attempt: 1, End: storage.EndLapsed}})
	effects = append(effects, r.pass(10*time.Second)...)
	answers := take[control.Answer](effects)
	require.Len(t, answers, 1)
	require.Equal(t, "x", answers[0].ID)
	require.NotNil(t, answers[0].Refusal)
	require.Equal(t, refusal.Unknown, answers[0].Refusal.Ran, "%v", answers[0].Refusal)
}

// TestHostReachedNoMoreIsCutThoughItIsHeard cuts one direction only: the sibling's
// greetings arrive, ours are lost, and so was a task that was forwarded to it.
func TestHostReachedNoMoreIsCutThoughItIsHeard(t *testing.T) {
	r := newRig(t)
	r.greet()
	require.Len(t, take[control.Forward](r.update(control.Request{Task: small("x")})), 1)
	r.update(control.Greeted{Addr: "127.0.0.1:2", Sent: r.now, Greeting: peer.Greeting{Session: sibling, Zone: "a"}})
	r.now = r.now.Add(2 * time.Second)
	r.greet()
	require.Empty(t, take[control.Cut](r.update(control.GreetFailed{Session: sibling})))
	r.now = r.now.Add(2 * time.Second)
	r.greet()
	cuts := take[control.Cut](r.update(control.GreetFailed{Session: sibling}))
	require.Len(t, cuts, 1, "else the call that was lost hangs for ever")
	require.Equal(t, "127.0.0.1:2", cuts[0].Addr)
	// Calls that were sent since then may be lost too, though this greeting is not.
	require.Len(t, take[control.Cut](r.update(control.Greeted{
		Addr: "127.0.0.1:2", Sent: r.now, Greeting: peer.Greeting{Session: sibling, Zone: "a"},
	})), 1)
	// The question what became of the task may be lost as well.
	r.update(control.ForwardDone{ID: "x", Session: sibling})
	r.now = r.now.Add(4 * time.Second)
	require.Len(t, take[control.Forward](r.update(control.Tick{})), 1)
	require.Len(t, take[control.Cut](r.update(control.GreetFailed{Session: sibling})), 1)
}

// TestForwardedWorkEndsWhenItsSenderIsSilent stops tasks of a host that greets
// no more.
func TestForwardedWorkEndsWhenItsSenderIsSilent(t *testing.T) {
	r := newRig(t)
	r.ownWorker()
	y := small("y")
	y.Path = []string{sibling}
	require.Len(t, take[placement.Start](r.update(control.Forwarded{From: sibling, Task: y})), 1)
	stopped := 0
	for range 50 {
		r.now = r.now.Add(100 * time.Millisecond)
		stopped += len(take[placement.Stop](r.update(control.Tick{})))
		for _, b := range take[control.Beat](r.update(control.Tick{})) {
			r.update(control.BeatDone{Sent: r.now, Revision: 2, Successor: b.Row.Successor})
		}
	}
	require.Equal(t, 1, stopped)
}

// ownWorker gives the State a rack with one worker.
func (r *rig) ownWorker() {
	r.update(control.Hosts{List: []storage.Host{{Name: "w1", Zone: "a", Rack: "r0", State: "live", Room: resource.Vector{Slots: 8}}}})
	r.update(control.ZoneRows{Rows: []storage.Row{r.row(control.RackKey("a", "r0"), control.RackRow{Owner: self})}})
	r.update(placement.Reported{Worker: "w1", Sent: r.now})
}

// TestJobIsAcknowledgedAfterTheJournal accepts a job only once it is written,
// and refuses it as not run where the table did not take it.
func TestJobIsAcknowledgedAfterTheJournal(t *testing.T) {
	r := newRig(t)
	r.ownWorker()
	submit := control.SubmitJob{Token: 7, Job: job.Job{Team: "t", Class: class.Batch, Need: resource.Vector{Slots: 1}, Tasks: 2}}
	effects := r.update(submit)
	require.Empty(t, take[control.JobAnswer](effects))
	require.Empty(t, take[placement.Start](effects))
	appends := take[control.Append](effects)
	require.Len(t, appends, 1)
	effects = r.update(control.Journaled{Result: segment.Result{Token: appends[0].Batch.Token}})
	require.NotEmpty(t, take[control.JobAnswer](effects)[0].ID)
	require.Len(t, take[placement.Start](effects), 2)

	appends = take[control.Append](r.update(submit))
	effects = r.update(control.Journaled{Result: segment.Result{Token: appends[0].Batch.Token, Err: segment.ErrDropped}})
	answer := take[control.JobAnswer](effects)[0]
	require.Equal(t, refusal.TableUnavailable, answer.Refusal.Code)
	require.Equal(t, refusal.NotRun, answer.Refusal.Ran)
	require.Empty(t, take[placement.Start](effects))
}

// TestAdoptedJobWaitsAndUsesStrays takes over a job: what a worker reports as
// done is not run again, and the rest not before the old leases have lapsed.
func TestAdoptedJobWaitsAndUsesStrays(t *testing.T) {
	r := newRig(t)
	r.ownWorker()
	j := job.Job{ID: "a." + sibling + ".1", Team: "t", Class: class.Batch, Need: resource.Vector{Slots: 1}, Tasks: 2, Accepted: r.now}
	claimed := control.SessionRow{Name: "a2", State: "claimed", Holder: self}
	require.Len(t, take[control.Adopt](r.update(control.ZoneRows{Rows: []storage.Row{r.row(control.SessionKey("a", sibling), claimed)}})), 1)
	done := storage.Outcome{Task: job.TaskID(j.ID, 0), Attempt: 1, End: storage.EndDone}
	r.update(placement.Reported{Worker: "w1", Sent: r.now, Report: storage.Report{Ended: []storage.Outcome{done}, Next: 1}})
	r.update(control.Adopted{Session: sibling, Entries: []job.Entry{{Accept: &j}}})
	began := r.now
	var starts []placement.Start
	for range 200 {
		r.now = r.now.Add(100 * time.Millisecond)
		r.update(placement.Reported{Worker: "w1", Sent: r.now, Report: storage.Report{Next: 1}})
		effects := r.update(control.Tick{})
		for _, b := range take[control.Beat](effects) {
			r.update(control.BeatDone{Sent: r.now, Revision: 2, Successor: b.Row.Successor})
		}
		starts = take[placement.Start](effects)
		if len(starts) > 0 {
			break
		}
	}
	require.Len(t, starts, 1)
	require.Equal(t, job.TaskID(j.ID, 1), starts[0].Task.ID)
	require.Greater(t, r.now.Sub(began), 6*time.Second)
}

// TestPausedHostStartsNothing wakes a host whose authority has lapsed meanwhile.
func TestPausedHostStartsNothing(t *testing.T) {
	r := newRig(t)
	r.ownWorker()
	r.now = r.now.Add(time.Hour) // paused
	effects := r.update(control.Request{Task: small("x")})
	require.Empty(t, take[placement.Start](effects))
}

// TestWithdrawnTaskOfAJobIsRunAgain replays a host that was killed: where its
// forwarded tasks waited, they were cancelled with its connections. The host that
// adopted the job was told so, and ended tasks that nobody had cancelled.
func TestWithdrawnTaskOfAJobIsRunAgain(t *testing.T) {
	r := newRig(t)
	r.greet()
	effects := r.update(control.SubmitJob{Token: 7, Job: job.Job{Team: "t", Class: class.Batch, Need: resource.Vector{Slots: 1}, Tasks: 1}})
	sent := take[control.Forward](r.update(control.Journaled{Result: segment.Result{Token: take[control.Append](effects)[0].Batch.Token}}))
	require.Len(t, sent, 1)
	effects = r.update(control.ForwardDone{ID: sent[0].Task.ID, Session: sibling, Refusal: refusal.New(refusal.Cancelled, "the caller went away")})
	require.Empty(t, take[control.Append](effects), "no end may be written")
	for range 50 {
		r.now = r.now.Add(100 * time.Millisecond)
		r.greet()
		if again := take[control.Forward](r.update(control.Tick{})); len(again) > 0 {
			require.Equal(t, sent[0].Task.ID, again[0].Task.ID)
			return
		}
	}
	require.Fail(t, "the task is not run")
}

// TestEndsAtWorkersAreToldToTheAdopter replays the loss of two hosts of a zone at
// once: one had forwarded a job's tasks to the other, whose workers ran them. Their
// ends were known to the workers' new owner only, and the tasks were run again.
func TestEndsAtWorkersAreToldToTheAdopter(t *testing.T) {
	r := newRig(t)
	r.ownWorker()
	done := storage.Outcome{Task: job.TaskID("a."+sibling+".1", 3), Attempt: 1, End: storage.EndDone}
	r.update(placement.Reported{Worker: "w1", Sent: r.now, Report: storage.Report{Ended: []storage.Outcome{done}, Next: 1}})
	sent := small(done.Task)
	resolved := take[control.Answer](r.update(control.Forwarded{From: "b1-x", Task: sent, Resolve: true, Gone: true}))
	require.Len(t, resolved, 1)
	require.Equal(t, &done, resolved[0].Outcome, "the sender of a task is told too")
	unknown := take[control.Answer](r.update(control.Forwarded{From: "b1-x", Task: small("y"), Resolve: true, Gone: true}))
	require.Equal(t, refusal.Unknown, unknown[0].Refusal.Ran)
	answers := take[control.EndedAnswer](r.update(control.QueryEnded{Token: 9, Session: sibling}))
	require.Len(t, answers, 1)
	require.Equal(t, []storage.Outcome{done}, answers[0].Ended)
	require.Empty(t, take[control.EndedAnswer](r.update(control.QueryEnded{Token: 10, Session: "a3-other"}))[0].Ended)
}

// TestAdoptedJobWaitsForTheEndsAtWorkers replays the loss of both siblings at
// once: one had accepted a job, the other ran a task of it. The host that adopted
// the job asked once for what had ended, before the runner's workers had a new
// owner, and ran the task again once the leases had lapsed.
func TestAdoptedJobWaitsForTheEndsAtWorkers(t *testing.T) {
	r := newRig(t)
	r.ownWorker()
	r.secondRack("a3-third")
	j := r.adoptJob(2)
	effects := r.pass(20 * time.Second)
	require.Empty(t, take[placement.Start](effects), "nobody has read the end at w9")

	r.secondRack("a3-again")
	answer := control.EndsAnswer{Session: "a3-again", Zone: "a", Owners: map[string]string{self: "", "a3-again": ""}}
	asked := take[control.AskEnds](effects)
	r.update(control.EndsTold{Question: asked[len(asked)-1].Question, Answers: []control.EndsAnswer{answer}})
	effects = r.pass(time.Second)
	require.Empty(t, take[placement.Start](effects), "w9 has not reported")

	answer.Read = true
	answer.Ended = []storage.Outcome{{Task: job.TaskID(j.ID, 0), Attempt: 1, End: storage.EndDone}}
	asked = take[control.AskEnds](effects)
	require.NotEmpty(t, asked)
	require.Equal(t, sibling, asked[0].Question.Session)
	require.GreaterOrEqual(t, asked[0].Question.AgeMillis, int64(10_000), "the leases have lapsed 8 s after the claim")
	r.update(control.EndsTold{Question: asked[0].Question, Answers: []control.EndsAnswer{answer}})
	starts := take[placement.Start](r.pass(time.Second))
	require.Len(t, starts, 1)
	require.Equal(t, job.TaskID(j.ID, 1), starts[0].Task.ID)
}

// TestAdoptedJobDoesNotWaitForEver runs a job though nobody comes to own the
// workers that may have run it.
func TestAdoptedJobDoesNotWaitForEver(t *testing.T) {
	r := newRig(t)
	r.ownWorker()
	r.secondRack("a3-third")
	r.adoptJob(1)
	effects := r.pass(time.Minute)
	require.Len(t, take[placement.Start](effects), 1)
	require.Equal(t, []control.Unsettled{{Session: sibling}}, take[control.Unsettled](effects))
}

// TestLostAnswerIsNotAnAnswer replays a killed host that told the sender of a
// job's task, as its last word, that the outcome is not known. The sender ran the
// task again half a second later. Now it waits until the workers' new owner has
// read what ended there, and takes the end from it.
func TestLostAnswerIsNotAnAnswer(t *testing.T) {
	for _, ended := range []bool{true, false} {
		r := newRig(t)
		r.greet()
		effects := r.update(control.SubmitJob{Token: 7, Job: job.Job{Team: "t", Class: class.Batch, Need: resource.Vector{Slots: 1}, Tasks: 1}})
		sent := take[control.Forward](r.update(control.Journaled{Result: segment.Result{Token: take[control.Append](effects)[0].Batch.Token}}))
		require.Len(t, sent, 1)
		r.ownWorker()
		r.secondRack(sibling)
		r.update(control.ForwardDone{ID: sent[0].Task.ID, Session: sibling, Refusal: refusal.New(refusal.OutcomeLost, "this entry host has ended")})
		effects = r.pass(20 * time.Second)
		require.Empty(t, take[placement.Start](effects), "it may have ended at w9, which has no new owner")
		for _, f := range take[control.Forward](effects) {
			require.True(t, f.Resolve, "it must not be sent again")
		}

		r.secondRack("a2-again")
		asked := take[control.AskEnds](effects)
		require.NotEmpty(t, asked)
		require.Equal(t, []string{sent[0].Task.ID}, asked[0].Question.Tasks)
		answer := control.EndsAnswer{Session: "a2-again", Zone: "a", Read: true, Owners: map[string]string{self: "", "a2-again": ""}}
		if ended {
			answer.Ended = []storage.Outcome{{Task: sent[0].Task.ID, Attempt: 1, End: storage.EndDone}}
		}
		effects = r.update(control.EndsTold{Question: asked[len(asked)-1].Question, Answers: []control.EndsAnswer{answer}})
		effects = append(effects, r.pass(2*time.Second)...)
		starts := take[placement.Start](effects)
		if ended {
			require.Empty(t, starts)
			require.Equal(t, job.Done, take[control.Append](effects)[0].Batch.Entries[0].End.State)
			continue
		}
		require.Len(t, starts, 1, "it ran nowhere")
	}
}

// TestEndsAreToldOnceWorkersWereRead says that ends are complete only when every
// worker has reported since the leases lapsed, and none of the tasks is in hand.
func TestEndsAreToldOnceWorkersWereRead(t *testing.T) {
	r := newRig(t)
	ask := func(age time.Duration) control.EndsAnswer {
		q := control.EndsQuestion{Session: sibling, AgeMillis: age.Milliseconds()}
		answers := take[control.EndsAnswer](r.update(control.QueryEnds{Token: 1, Question: q}))
		require.Len(t, answers, 1)
		return answers[0]
	}
	require.False(t, ask(time.Hour).Read, "the list of workers is not known")
	r.ownWorker()
	r.now = r.now.Add(time.Second)
	require.False(t, ask(500*time.Millisecond).Read)
	require.True(t, ask(time.Second).Read)
	require.Equal(t, map[string]string{self: ""}, ask(time.Second).Owners)

	theirs := small(job.TaskID("a."+sibling+".1", 0))
	theirs.Job, theirs.Path = "a."+sibling+".1", []string{sibling}
	r.update(control.Forwarded{From: sibling, Task: theirs})
	require.False(t, ask(time.Second).Read, "it runs here")
}

// TestRefusedJobsDoNotStarveTheNext keeps jobs that ask for a zone out of reach in
// front of one that was adopted: its task is handed on.
func TestRefusedJobsDoNotStarveTheNext(t *testing.T) {
	const refused, tasks = 24, 512
	r := newRig(t)
	r.ownWorker()
	need := resource.Vector{Slots: 1}
	for i := range refused {
		j := job.Job{Team: "t", Class: class.Batch, Need: need, Tasks: tasks, Zone: "b"}
		appends := take[control.Append](r.update(control.SubmitJob{Token: uint64(i), Job: j}))
		require.Len(t, appends, 1)
		r.update(control.Journaled{Result: segment.Result{Token: appends[0].Batch.Token}})
	}
	r.adoptJob(1)
	require.Len(t, take[placement.Start](r.pass(15*time.Second)), 1, "its leases have lapsed after 8 s")
}

// TestEndsAreKeptForAHostThatIsTakenOverLate keeps the end of a task whose sender
// is gone for as long as the table may be down and nobody can adopt its jobs.
func TestEndsAreKeptForAHostThatIsTakenOverLate(t *testing.T) {
	r := newRig(t)
	r.ownWorker()
	theirs := small(job.TaskID("a."+sibling+".1", 0))
	theirs.Job, theirs.Path = "a."+sibling+".1", []string{sibling}
	starts := take[placement.Start](r.update(control.Forwarded{From: sibling, Task: theirs}))
	require.Len(t, starts, 1)
	done := storage.Outcome{Task: theirs.ID, Attempt: starts[0].Task.Attempt, End: storage.EndDone}
	r.update(placement.Reported{Worker: "w1", Sent: r.now, Report: storage.Report{Ended: []storage.Outcome{done}, Next: 1}})
	r.pass(5 * time.Minute)
	answers := take[control.EndedAnswer](r.update(control.QueryEnded{Token: 9, Session: sibling}))
	require.Equal(t, []storage.Outcome{done}, answers[0].Ended)
	r.pass(10 * time.Minute)
	answers = take[control.EndedAnswer](r.update(control.QueryEnded{Token: 10, Session: sibling}))
	require.Empty(t, answers[0].Ended)
}

// adoptJob has this host take over a batch job that its dead sibling accepted.
func (r *rig) adoptJob(tasks int) job.Job {
	claimed := control.SessionRow{Name: "a2", State: "claimed", Holder: self}
	r.update(control.ZoneRows{Rows: []storage.Row{r.row(control.SessionKey("a", sibling), claimed)}})
	j := job.Job{ID: "a." + sibling + ".1", Team: "t", Class: class.Batch, Need: resource.Vector{Slots: 1}, Tasks: tasks, Accepted: r.now}
	r.update(control.Adopted{Session: sibling, Entries: []job.Entry{{Accept: &j}}})
	return j
}

// secondRack lists another worker, w9, whose rack a session of the zone owns.
func (r *rig) secondRack(owner string) {
	r.update(control.Hosts{List: []storage.Host{
		{Name: "w1", Zone: "a", Rack: "r0", State: "live", Room: resource.Vector{Slots: 8}},
		{Name: "w9", Zone: "a", Rack: "r9", State: "live", Room: resource.Vector{Slots: 8}},
	}})
	r.update(control.ZoneRows{Rows: []storage.Row{
		r.row(control.SessionKey("a", owner), control.SessionRow{Name: "other", PeerAddr: "127.0.0.1:3", State: "live"}),
		r.row(control.RackKey("a", "r9"), control.RackRow{Owner: owner}),
	}})
}

// pass lets time pass while the table takes heartbeats, workers report and the
// siblings are silent. It returns all effects.
func (r *rig) pass(length time.Duration) []any {
	const step = 100 * time.Millisecond
	var all []any
	for range length / step {
		r.now = r.now.Add(step)
		all = append(all, r.update(placement.Reported{Worker: "w1", Sent: r.now})...)
		effects := r.update(control.Tick{})
		all = append(all, effects...)
		for _, b := range take[control.Beat](effects) {
			r.update(control.BeatDone{Sent: r.now, Revision: 2, Successor: b.Row.Successor})
		}
	}
	return all
}
