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
	self        = "a1-self"
	peerSession = "a2-sibling"
)

// harness is a State of zone "a" with one peer in the zone.
type harness struct {
	t        *testing.T
	s        *control.State
	now      time.Time
	revision uint64
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, now: time.Unix(5000, 0)}
	h.s = control.New(control.Config{
		Session: self, Name: "a1", Zone: "a", PeerAddr: "127.0.0.1:1", Heartbeat: time.Second, WritesPerSecond: 200,
		Rules: lease.Rules{Lease: 5 * time.Second, Margin: 500 * time.Millisecond, SoloLimit: 10 * time.Minute},
	})
	heartbeats := effectsOf[control.WriteHeartbeat](h.update(control.Tick{}))
	require.Len(t, heartbeats, 1)
	h.update(control.HeartbeatDone{Sent: h.now, Revision: 1, Fence: 1})
	h.update(control.ZoneRows{Rows: []storage.Row{
		h.row(control.SessionKey("a", peerSession), control.SessionRow{Name: "a2", PeerAddr: "127.0.0.1:2", State: "live"}),
		h.row(control.HeartbeatKey("a", peerSession), control.HeartbeatRow{Name: "a2", PeerAddr: "127.0.0.1:2", Successor: self, LeaseMillis: 5000}),
	}})
	h.update(control.Tick{})
	return h
}

func (h *harness) row(key string, value any) storage.Row {
	data, err := json.Marshal(value)
	require.NoError(h.t, err)
	h.revision++
	return storage.Row{Key: key, Value: data, Revision: h.revision + 10}
}

func (h *harness) update(ev any) []any { return append([]any(nil), h.s.Update(h.now, ev)...) }

// greetFromPeer delivers a greeting of the peer that reports free slots.
func (h *harness) greetFromPeer() {
	const slots = 8
	capacity := resource.Vector{Slots: slots, MilliCPU: 100_000, MemoryMB: 100_000}
	h.update(control.Greeted{Incoming: true, Greeting: peer.Greeting{
		Session: peerSession, Zone: "a", FreeSlots: slots, Slots: slots, Capacity: capacity, Largest: capacity,
	}})
}

// effectsOf returns the effects of one type.
func effectsOf[E any](effects []any) []E {
	var found []E
	for _, e := range effects {
		if e, ok := e.(E); ok {
			found = append(found, e)
		}
	}
	return found
}

func smallTask(id string) task.Task {
	return task.Task{ID: id, Team: "t", Class: class.Small, Need: resource.Vector{Slots: 1}}
}

// TestCallerTaskIsForwardedAndForwardedTaskIsNotSentBack checks that a caller's
// task is forwarded to the peer, and a task that came from the peer is refused.
func TestCallerTaskIsForwardedAndForwardedTaskIsNotSentBack(t *testing.T) {
	h := newHarness(t)
	h.greetFromPeer()
	sent := effectsOf[control.Forward](h.update(control.Request{Task: smallTask("x")}))
	require.Len(t, sent, 1)
	require.Equal(t, peerSession, sent[0].Session)
	require.Equal(t, []string{self}, sent[0].Task.Path)

	back := smallTask("y")
	back.Path = []string{peerSession}
	effects := h.update(control.Forwarded{From: peerSession, Task: back})
	require.Empty(t, effectsOf[control.Forward](effects))
	answers := effectsOf[control.Answer](effects)
	require.Len(t, answers, 1)
	require.Equal(t, refusal.NoOwner, answers[0].Refusal.Code)
	require.Equal(t, refusal.NotRun, answers[0].Refusal.Ran)
}

// TestForwardWithLostAnswerIsResolvedAndNotResent loses the answer to a forwarded
// non-idempotent task. The host queries its outcome, never sends it again, and
// finally reports the outcome as unknown.
func TestForwardWithLostAnswerIsResolvedAndNotResent(t *testing.T) {
	h := newHarness(t)
	h.greetFromPeer()
	x := smallTask("x")
	x.NonIdempotent = true
	require.Len(t, effectsOf[control.Forward](h.update(control.Request{Task: x})), 1)
	h.update(control.ForwardDone{ID: "x", Session: peerSession})
	queries := 0
	var answers []control.Answer
	for range 400 {
		h.now = h.now.Add(100 * time.Millisecond)
		effects := h.update(control.Tick{})
		answers = append(answers, effectsOf[control.Answer](effects)...)
		for _, f := range effectsOf[control.Forward](effects) {
			require.True(t, f.OutcomeOnly, "the task must not be sent again")
			queries++
			h.update(control.ForwardDone{ID: "x", Session: peerSession, OutcomeOnly: true})
		}
	}
	require.Positive(t, queries)
	require.Len(t, answers, 1)
	require.Equal(t, refusal.Unknown, answers[0].Refusal.Ran)
}

// TestIdempotentRequestWithLostAnswerIsNotRerun loses the answer to a forwarded
// idempotent request. The outcome is only in that reply, so the task may have run,
// and the caller is told so.
func TestIdempotentRequestWithLostAnswerIsNotRerun(t *testing.T) {
	h := newHarness(t)
	h.greetFromPeer()
	for i := range 20 { // each request adds to the retry budget
		id := strconv.Itoa(i)
		h.update(control.Request{Task: smallTask(id)})
		h.update(control.ForwardDone{ID: id, Session: peerSession, Outcome: &storage.Outcome{Task: id, End: storage.EndDone}})
	}
	x := smallTask("x")
	x.Deadline = h.now.Add(time.Minute)
	require.Len(t, effectsOf[control.Forward](h.update(control.Request{Task: x})), 1)
	h.addOwnedWorker()
	h.update(control.ForwardDone{ID: "x", Session: peerSession})
	effects := h.advance(time.Minute)
	require.Empty(t, effectsOf[placement.Start](effects))
	answers := effectsOf[control.Answer](effects)
	require.Len(t, answers, 1)
	require.Equal(t, refusal.Unknown, answers[0].Refusal.Ran)
	require.Positive(t, answers[0].Refusal.RetryMillis, "the caller may send the request again")
}

// TestRequestThatPartlyRanIsNotRefusedAsNotRun stops the first run of a request
// before its end. The second run finds no room until the deadline.
func TestRequestThatPartlyRanIsNotRefusedAsNotRun(t *testing.T) {
	h := newHarness(t)
	h.addOwnedWorker()
	for i := range 20 { // each request adds to the retry budget
		id := strconv.Itoa(i)
		require.Len(t, effectsOf[placement.Start](h.update(control.Request{Task: smallTask(id)})), 1)
		h.update(placement.Ended{ID: id, Outcome: storage.Outcome{Task: id, Attempt: 1, End: storage.EndDone}})
	}
	x, wide := smallTask("x"), smallTask("wide")
	x.Deadline = h.now.Add(5 * time.Second)
	require.Len(t, effectsOf[placement.Start](h.update(control.Request{Task: x})), 1)
	wide.Need.Slots = 7
	h.update(control.Request{Task: wide})
	h.update(control.Request{Task: smallTask("before")})
	effects := h.update(placement.Ended{ID: "x", Outcome: storage.Outcome{Task: "x", Attempt: 1, End: storage.EndLeaseExpired}})
	effects = append(effects, h.advance(10*time.Second)...)
	answers := effectsOf[control.Answer](effects)
	require.Len(t, answers, 1)
	require.Equal(t, "x", answers[0].ID)
	require.NotNil(t, answers[0].Refusal)
	require.Equal(t, refusal.Unknown, answers[0].Refusal.Ran, "%v", answers[0].Refusal)
}

// TestConnectionsToUnreachablePeerAreClosedWhileItsGreetingsArrive loses messages
// in one direction: greetings of the peer arrive, but greetings to it and a task
// forwarded to it are lost.
func TestConnectionsToUnreachablePeerAreClosedWhileItsGreetingsArrive(t *testing.T) {
	h := newHarness(t)
	h.greetFromPeer()
	require.Len(t, effectsOf[control.Forward](h.update(control.Request{Task: smallTask("x")})), 1)
	h.update(control.Greeted{Addr: "127.0.0.1:2", Sent: h.now, Greeting: peer.Greeting{Session: peerSession, Zone: "a"}})
	h.now = h.now.Add(2 * time.Second)
	h.greetFromPeer()
	require.Empty(t, effectsOf[control.CloseConnections](h.update(control.GreetFailed{Session: peerSession})))
	h.now = h.now.Add(2 * time.Second)
	h.greetFromPeer()
	closed := effectsOf[control.CloseConnections](h.update(control.GreetFailed{Session: peerSession}))
	require.Len(t, closed, 1, "otherwise the lost call hangs forever")
	require.Equal(t, "127.0.0.1:2", closed[0].Addr)
	// Calls sent since then may be lost too, although this greeting arrived.
	require.Len(t, effectsOf[control.CloseConnections](h.update(control.Greeted{
		Addr: "127.0.0.1:2", Sent: h.now, Greeting: peer.Greeting{Session: peerSession, Zone: "a"},
	})), 1)
	// The query for the outcome of the task may be lost as well.
	h.update(control.ForwardDone{ID: "x", Session: peerSession})
	h.now = h.now.Add(4 * time.Second)
	require.Len(t, effectsOf[control.Forward](h.update(control.Tick{})), 1)
	require.Len(t, effectsOf[control.CloseConnections](h.update(control.GreetFailed{Session: peerSession})), 1)
}

// TestForwardedTaskStopsWhenItsSenderIsSilent stops the tasks of a host that sends
// no more greetings.
func TestForwardedTaskStopsWhenItsSenderIsSilent(t *testing.T) {
	h := newHarness(t)
	h.addOwnedWorker()
	y := smallTask("y")
	y.Path = []string{peerSession}
	require.Len(t, effectsOf[placement.Start](h.update(control.Forwarded{From: peerSession, Task: y})), 1)
	stopped := 0
	for range 50 {
		h.now = h.now.Add(100 * time.Millisecond)
		stopped += len(effectsOf[placement.Stop](h.update(control.Tick{})))
		for _, b := range effectsOf[control.WriteHeartbeat](h.update(control.Tick{})) {
			h.update(control.HeartbeatDone{Sent: h.now, Revision: 2, Successor: b.Row.Successor})
		}
	}
	require.Equal(t, 1, stopped)
}

// addOwnedWorker gives the State a rack with one worker.
func (h *harness) addOwnedWorker() {
	h.update(control.Workers{List: []storage.Worker{{Name: "w1", Zone: "a", Rack: "r0", State: "live", Capacity: resource.Vector{Slots: 8}}}})
	h.update(control.ZoneRows{Rows: []storage.Row{h.row(control.RackKey("a", "r0"), control.RackRow{Owner: self})}})
	h.update(placement.Reported{Worker: "w1", Sent: h.now})
}

// TestJobIsAcceptedOnlyAfterJournalWrite accepts a job only after it is journaled,
// and refuses it as not run if the table did not take the write.
func TestJobIsAcceptedOnlyAfterJournalWrite(t *testing.T) {
	h := newHarness(t)
	h.addOwnedWorker()
	submit := control.SubmitJob{Token: 7, Job: job.Job{Team: "t", Class: class.Batch, Need: resource.Vector{Slots: 1}, Tasks: 2}}
	effects := h.update(submit)
	require.Empty(t, effectsOf[control.JobAnswer](effects))
	require.Empty(t, effectsOf[placement.Start](effects))
	appends := effectsOf[control.Append](effects)
	require.Len(t, appends, 1)
	effects = h.update(control.Journaled{Result: segment.Result{Token: appends[0].Batch.Token}})
	require.NotEmpty(t, effectsOf[control.JobAnswer](effects)[0].ID)
	require.Len(t, effectsOf[placement.Start](effects), 2)

	appends = effectsOf[control.Append](h.update(submit))
	effects = h.update(control.Journaled{Result: segment.Result{Token: appends[0].Batch.Token, Err: segment.ErrDropped}})
	answer := effectsOf[control.JobAnswer](effects)[0]
	require.Equal(t, refusal.TableUnavailable, answer.Refusal.Code)
	require.Equal(t, refusal.NotRun, answer.Refusal.Ran)
	require.Empty(t, effectsOf[placement.Start](effects))
}

// TestSnapshotNamesUnappliedBatches takes a snapshot while the result of a journal write
// is on its way. The snapshot lacks the job and must name its batch.
func TestSnapshotNamesUnappliedBatches(t *testing.T) {
	h := newHarness(t)
	h.addOwnedWorker()
	submit := control.SubmitJob{Token: 7, Job: job.Job{Team: "t", Class: class.Batch, Need: resource.Vector{Slots: 1}, Tasks: 1}}
	batch := effectsOf[control.Append](h.update(submit))[0].Batch
	snapshot := effectsOf[control.Snapshot](h.update(control.TakeSnapshot{}))[0]
	require.Empty(t, snapshot.States)
	require.Equal(t, []uint64{batch.Token}, snapshot.Unapplied)
	h.update(control.Journaled{Result: segment.Result{Token: batch.Token}})
	snapshot = effectsOf[control.Snapshot](h.update(control.TakeSnapshot{}))[0]
	require.Len(t, snapshot.States, 1)
	require.Empty(t, snapshot.Unapplied)
}

// TestAdoptedJobWaitsForLeasesAndUsesReportedOutcomes takes over a job. A task that
// a worker reports as done does not run again; the other starts only after the old
// leases have lapsed.
func TestAdoptedJobWaitsForLeasesAndUsesReportedOutcomes(t *testing.T) {
	h := newHarness(t)
	h.addOwnedWorker()
	j := job.Job{ID: "a." + peerSession + ".1", Team: "t", Class: class.Batch, Need: resource.Vector{Slots: 1}, Tasks: 2, Accepted: h.now}
	claimed := control.SessionRow{Name: "a2", State: "claimed", Holder: self}
	require.Len(t, effectsOf[control.Adopt](h.update(control.ZoneRows{Rows: []storage.Row{h.row(control.SessionKey("a", peerSession), claimed)}})), 1)
	done := storage.Outcome{Task: job.TaskID(j.ID, 0), Attempt: 1, End: storage.EndDone}
	h.update(placement.Reported{Worker: "w1", Sent: h.now, Report: storage.Report{Ended: []storage.Outcome{done}, Next: 1}})
	h.update(control.Adopted{Session: peerSession, Entries: []job.Entry{{Accept: &j}}})
	adoptedAt := h.now
	var starts []placement.Start
	for range 200 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.update(placement.Reported{Worker: "w1", Sent: h.now, Report: storage.Report{Next: 1}})
		effects := h.update(control.Tick{})
		for _, b := range effectsOf[control.WriteHeartbeat](effects) {
			h.update(control.HeartbeatDone{Sent: h.now, Revision: 2, Successor: b.Row.Successor})
		}
		starts = effectsOf[placement.Start](effects)
		if len(starts) > 0 {
			break
		}
	}
	require.Len(t, starts, 1)
	require.Equal(t, job.TaskID(j.ID, 1), starts[0].Task.ID)
	require.Greater(t, h.now.Sub(adoptedAt), 6*time.Second)
}

// TestHostWithLapsedAuthorityStartsNoTask resumes a host after a pause in which its
// authority has lapsed.
func TestHostWithLapsedAuthorityStartsNoTask(t *testing.T) {
	h := newHarness(t)
	h.addOwnedWorker()
	h.now = h.now.Add(time.Hour) // paused
	effects := h.update(control.Request{Task: smallTask("x")})
	require.Empty(t, effectsOf[placement.Start](effects))
}

// TestJobTaskCancelledAtPeerIsForwardedAgain guards against ending tasks that
// nobody cancelled. When a host is killed, its forwarded tasks that still wait at
// other hosts are cancelled with its connections, and the host that adopts the job
// gets Cancelled as the answer.
func TestJobTaskCancelledAtPeerIsForwardedAgain(t *testing.T) {
	h := newHarness(t)
	h.greetFromPeer()
	effects := h.update(control.SubmitJob{Token: 7, Job: job.Job{Team: "t", Class: class.Batch, Need: resource.Vector{Slots: 1}, Tasks: 1}})
	sent := effectsOf[control.Forward](h.update(control.Journaled{Result: segment.Result{Token: effectsOf[control.Append](effects)[0].Batch.Token}}))
	require.Len(t, sent, 1)
	effects = h.update(control.ForwardDone{ID: sent[0].Task.ID, Session: peerSession, Refusal: refusal.New(refusal.Cancelled, "the caller went away")})
	require.Empty(t, effectsOf[control.Append](effects), "the end of the task must not be journaled")
	for range 50 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.greetFromPeer()
		if again := effectsOf[control.Forward](h.update(control.Tick{})); len(again) > 0 {
			require.Equal(t, sent[0].Task.ID, again[0].Task.ID)
			return
		}
	}
	require.Fail(t, "the task was not forwarded again")
}

// TestOutcomesReadAtWorkersAreReportedToPeers guards against rerunning tasks after
// two hosts of a zone fail at once. One had forwarded tasks of a job to the other,
// whose workers ran them. Only the new owner of the workers knew the outcomes, so
// the tasks ran again.
func TestOutcomesReadAtWorkersAreReportedToPeers(t *testing.T) {
	h := newHarness(t)
	h.addOwnedWorker()
	done := storage.Outcome{Task: job.TaskID("a."+peerSession+".1", 3), Attempt: 1, End: storage.EndDone}
	h.update(placement.Reported{Worker: "w1", Sent: h.now, Report: storage.Report{Ended: []storage.Outcome{done}, Next: 1}})
	sent := smallTask(done.Task)
	resolved := effectsOf[control.Answer](h.update(control.Forwarded{From: "b1-x", Task: sent, OutcomeOnly: true, SessionEnded: true}))
	require.Len(t, resolved, 1)
	require.Equal(t, &done, resolved[0].Outcome, "the sender of the task gets the outcome too")
	unknown := effectsOf[control.Answer](h.update(control.Forwarded{From: "b1-x", Task: smallTask("y"), OutcomeOnly: true, SessionEnded: true}))
	require.Equal(t, refusal.Unknown, unknown[0].Refusal.Ran)
	answers := effectsOf[control.ForwardedOutcomes](h.update(control.QueryForwarded{Token: 9, Session: peerSession}))
	require.Len(t, answers, 1)
	require.Equal(t, []storage.Outcome{done}, answers[0].Ended)
	require.Empty(t, effectsOf[control.ForwardedOutcomes](h.update(control.QueryForwarded{Token: 10, Session: "a3-other"}))[0].Ended)
}

// TestAdoptedJobWaitsForOutcomesAtWorkers guards against a rerun after both peers
// fail at once: one had accepted a job, the other ran a task of it. The host that
// adopted the job queried the outcomes once, before the workers of the other host
// had a new owner, and ran the task again after the leases had lapsed.
func TestAdoptedJobWaitsForOutcomesAtWorkers(t *testing.T) {
	h := newHarness(t)
	h.addOwnedWorker()
	h.addSecondRack("a3-third")
	j := h.adoptPeerJob(2)
	effects := h.advance(20 * time.Second)
	require.Empty(t, effectsOf[placement.Start](effects), "no owner has read the outcome at w9")

	h.addSecondRack("a3-again")
	answer := control.OutcomeReport{Session: "a3-again", Zone: "a", Owners: map[string]string{self: "", "a3-again": ""}}
	queries := effectsOf[control.QueryPeerOutcomes](effects)
	h.update(control.OutcomeReports{Query: queries[len(queries)-1].Query, Answers: []control.OutcomeReport{answer}})
	effects = h.advance(time.Second)
	require.Empty(t, effectsOf[placement.Start](effects), "w9 has not reported")

	answer.Read = true
	answer.Ended = []storage.Outcome{{Task: job.TaskID(j.ID, 0), Attempt: 1, End: storage.EndDone}}
	queries = effectsOf[control.QueryPeerOutcomes](effects)
	require.NotEmpty(t, queries)
	require.Equal(t, peerSession, queries[0].Query.Session)
	require.GreaterOrEqual(t, queries[0].Query.AgeMillis, int64(10_000), "the leases have lapsed 8 s after the claim")
	h.update(control.OutcomeReports{Query: queries[0].Query, Answers: []control.OutcomeReport{answer}})
	starts := effectsOf[placement.Start](h.advance(time.Second))
	require.Len(t, starts, 1)
	require.Equal(t, job.TaskID(j.ID, 1), starts[0].Task.ID)
}

// TestAdoptedJobRunsAfterOutcomeQueryTimeout runs a job although the workers that
// may have run it get no owner.
func TestAdoptedJobRunsAfterOutcomeQueryTimeout(t *testing.T) {
	h := newHarness(t)
	h.addOwnedWorker()
	h.addSecondRack("a3-third")
	h.adoptPeerJob(1)
	effects := h.advance(time.Minute)
	require.Len(t, effectsOf[placement.Start](effects), 1)
	require.Equal(t, []control.OutcomeUnconfirmed{{Session: peerSession}}, effectsOf[control.OutcomeUnconfirmed](effects))
}

// TestJobTaskWithUnknownOutcomeWaitsForItsWorkers guards against a rerun after a
// killed host answered, as its last message, that the outcome of a job's task is
// unknown. The sender ran the task again half a second later. It has to wait until
// the new owner of the workers has read which tasks ended there, and use that
// outcome.
func TestJobTaskWithUnknownOutcomeWaitsForItsWorkers(t *testing.T) {
	for _, ended := range []bool{true, false} {
		h := newHarness(t)
		h.greetFromPeer()
		effects := h.update(control.SubmitJob{Token: 7, Job: job.Job{Team: "t", Class: class.Batch, Need: resource.Vector{Slots: 1}, Tasks: 1}})
		sent := effectsOf[control.Forward](h.update(control.Journaled{Result: segment.Result{Token: effectsOf[control.Append](effects)[0].Batch.Token}}))
		require.Len(t, sent, 1)
		h.addOwnedWorker()
		h.addSecondRack(peerSession)
		h.update(control.ForwardDone{ID: sent[0].Task.ID, Session: peerSession, Refusal: refusal.New(refusal.OutcomeLost, "this entry host has shut down")})
		effects = h.advance(20 * time.Second)
		require.Empty(t, effectsOf[placement.Start](effects), "the task may have ended at w9, which has no new owner")
		for _, f := range effectsOf[control.Forward](effects) {
			require.True(t, f.OutcomeOnly, "the task must not be sent again")
		}

		h.addSecondRack("a2-again")
		queries := effectsOf[control.QueryPeerOutcomes](effects)
		require.NotEmpty(t, queries)
		require.Equal(t, []string{sent[0].Task.ID}, queries[0].Query.Tasks)
		answer := control.OutcomeReport{Session: "a2-again", Zone: "a", Read: true, Owners: map[string]string{self: "", "a2-again": ""}}
		if ended {
			answer.Ended = []storage.Outcome{{Task: sent[0].Task.ID, Attempt: 1, End: storage.EndDone}}
		}
		effects = h.update(control.OutcomeReports{Query: queries[len(queries)-1].Query, Answers: []control.OutcomeReport{answer}})
		effects = append(effects, h.advance(2*time.Second)...)
		starts := effectsOf[placement.Start](effects)
		if ended {
			require.Empty(t, starts)
			require.Equal(t, job.Done, effectsOf[control.Append](effects)[0].Batch.Entries[0].End.State)
			continue
		}
		require.Len(t, starts, 1, "the task ran nowhere")
	}
}

// TestOutcomesAreCompleteOnceAllWorkersReported checks that an answer counts as
// complete only if every worker has reported since the leases lapsed and none of
// the tasks is unfinished at this host.
func TestOutcomesAreCompleteOnceAllWorkersReported(t *testing.T) {
	h := newHarness(t)
	query := func(age time.Duration) control.OutcomeReport {
		q := control.OutcomeQuery{Session: peerSession, AgeMillis: age.Milliseconds()}
		answers := effectsOf[control.OutcomeReport](h.update(control.QueryOutcomes{Token: 1, Query: q}))
		require.Len(t, answers, 1)
		return answers[0]
	}
	require.False(t, query(time.Hour).Read, "the list of workers is not yet known")
	h.addOwnedWorker()
	h.now = h.now.Add(time.Second)
	require.False(t, query(500*time.Millisecond).Read)
	require.True(t, query(time.Second).Read)
	require.Equal(t, map[string]string{self: ""}, query(time.Second).Owners)

	forwarded := smallTask(job.TaskID("a."+peerSession+".1", 0))
	forwarded.Job, forwarded.Path = "a."+peerSession+".1", []string{peerSession}
	h.update(control.Forwarded{From: peerSession, Task: forwarded})
	require.False(t, query(time.Second).Read, "the task runs here")
}

// TestRefusedJobsDoNotStarveLaterJobs places jobs that ask for an unreachable zone
// before an adopted job, whose task must still be dispatched.
func TestRefusedJobsDoNotStarveLaterJobs(t *testing.T) {
	const refused, tasks = 24, 512
	h := newHarness(t)
	h.addOwnedWorker()
	need := resource.Vector{Slots: 1}
	for i := range refused {
		j := job.Job{Team: "t", Class: class.Batch, Need: need, Tasks: tasks, Zone: "b"}
		appends := effectsOf[control.Append](h.update(control.SubmitJob{Token: uint64(i), Job: j}))
		require.Len(t, appends, 1)
		h.update(control.Journaled{Result: segment.Result{Token: appends[0].Batch.Token}})
	}
	h.adoptPeerJob(1)
	require.Len(t, effectsOf[placement.Start](h.advance(15*time.Second)), 1, "the old leases have lapsed after 8 s")
}

// TestOutcomesAreKeptUntilSilentSenderIsTakenOver keeps the outcome of a task whose
// sender has ended for as long as the table may be down, because nobody can adopt
// the sender's jobs in that time.
func TestOutcomesAreKeptUntilSilentSenderIsTakenOver(t *testing.T) {
	h := newHarness(t)
	h.addOwnedWorker()
	forwarded := smallTask(job.TaskID("a."+peerSession+".1", 0))
	forwarded.Job, forwarded.Path = "a."+peerSession+".1", []string{peerSession}
	starts := effectsOf[placement.Start](h.update(control.Forwarded{From: peerSession, Task: forwarded}))
	require.Len(t, starts, 1)
	done := storage.Outcome{Task: forwarded.ID, Attempt: starts[0].Task.Attempt, End: storage.EndDone}
	h.update(placement.Reported{Worker: "w1", Sent: h.now, Report: storage.Report{Ended: []storage.Outcome{done}, Next: 1}})
	h.advance(5 * time.Minute)
	answers := effectsOf[control.ForwardedOutcomes](h.update(control.QueryForwarded{Token: 9, Session: peerSession}))
	require.Equal(t, []storage.Outcome{done}, answers[0].Ended)
	h.advance(10 * time.Minute)
	answers = effectsOf[control.ForwardedOutcomes](h.update(control.QueryForwarded{Token: 10, Session: peerSession}))
	require.Empty(t, answers[0].Ended)
}

// adoptPeerJob makes this host take over a batch job that the failed peer accepted.
func (h *harness) adoptPeerJob(tasks int) job.Job {
	claimed := control.SessionRow{Name: "a2", State: "claimed", Holder: self}
	h.update(control.ZoneRows{Rows: []storage.Row{h.row(control.SessionKey("a", peerSession), claimed)}})
	j := job.Job{ID: "a." + peerSession + ".1", Team: "t", Class: class.Batch, Need: resource.Vector{Slots: 1}, Tasks: tasks, Accepted: h.now}
	h.update(control.Adopted{Session: peerSession, Entries: []job.Entry{{Accept: &j}}})
	return j
}

// addSecondRack lists a second worker, w9, whose rack the given session owns.
func (h *harness) addSecondRack(owner string) {
	h.update(control.Workers{List: []storage.Worker{
		{Name: "w1", Zone: "a", Rack: "r0", State: "live", Capacity: resource.Vector{Slots: 8}},
		{Name: "w9", Zone: "a", Rack: "r9", State: "live", Capacity: resource.Vector{Slots: 8}},
	}})
	h.update(control.ZoneRows{Rows: []storage.Row{
		h.row(control.SessionKey("a", owner), control.SessionRow{Name: "other", PeerAddr: "127.0.0.1:3", State: "live"}),
		h.row(control.RackKey("a", "r9"), control.RackRow{Owner: owner}),
	}})
}

// advance lets time pass while the table accepts heartbeats, worker w1 reports and
// the peers are silent. It returns all effects.
func (h *harness) advance(duration time.Duration) []any {
	const step = 100 * time.Millisecond
	var all []any
	for range duration / step {
		h.now = h.now.Add(step)
		all = append(all, h.update(placement.Reported{Worker: "w1", Sent: h.now})...)
		effects := h.update(control.Tick{})
		all = append(all, effects...)
		for _, b := range effectsOf[control.WriteHeartbeat](effects) {
			h.update(control.HeartbeatDone{Sent: h.now, Revision: 2, Successor: b.Row.Successor})
		}
	}
	return all
}
