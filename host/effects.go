package host

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipgap/cowslipgap/allotment"
	"github.com/cowslipgap/cowslipgap/control"
	"github.com/cowslipgap/cowslipgap/pause"
	"github.com/cowslipgap/cowslipgap/peer"
	"github.com/cowslipgap/cowslipgap/placement"
	"github.com/cowslipgap/cowslipgap/refusal"
	"github.com/cowslipgap/cowslipgap/segment"
	"github.com/cowslipgap/cowslipgap/storage"
)

const (
	// renewWait is how long a worker may delay its reply to a renewal while it has
	// nothing to report.
	renewWait       = time.Second
	callTimeout     = 3 * time.Second
	writeRetryDelay = 200 * time.Millisecond
)

// perform carries out one effect. Effects that take time run on another
// goroutine, which posts the result as an event.
func (h *Host) perform(ctx context.Context, w *waiters, effect any) {
	switch e := effect.(type) {
	case placement.Start:
		h.counters.starts.Add(1)
		runCtx := w.withCancel(ctx, e.Task.ID)
		go h.startTask(runCtx, e)
	case placement.Stop:
		go h.stopTasks(ctx, e)
	case placement.Renew:
		go h.renewLeases(ctx, e)
	case control.Answer:
		if e.DeleteGuard != "" {
			go h.deleteGuard(ctx, e)
			return
		}
		w.deliverAnswer(e)
	case control.JobAnswer:
		w.deliverReply(e.Token, e)
	case control.ForwardedOutcomes:
		w.deliverReply(e.Token, e)
	case control.OutcomeReport:
		w.deliverReply(e.Token, e)
	case control.QueryPeerOutcomes:
		go h.queryOutcomes(ctx, e)
	case control.OutcomeUnconfirmed:
		h.Log.Warn("host: run again without all workers' reports", "session", e.Session, "task", e.Task)
	case control.GreetReply:
		w.deliverReply(e.Token, e.Greeting)
	case control.Forward:
		runCtx := w.withCancel(ctx, e.Task.ID)
		go h.forwardTask(runCtx, e)
	case control.CancelForwarded:
		if cancel := w.cancels[e.ID]; cancel != nil {
			cancel()
		}
	case control.Append:
		h.journal.Append(e.Batch)
	case control.Snapshot:
		h.journal.Snapshot(e.States, e.Unapplied)
	case control.Greet:
		go h.sendGreeting(ctx, e)
	case control.CloseConnections:
		go h.pool.CloseAddr(e.Addr)
	default:
		h.performTableEffect(ctx, effect)
	}
}

// performTableEffect carries out the effects that read or write the table.
func (h *Host) performTableEffect(ctx context.Context, effect any) {
	switch e := effect.(type) {
	case control.WriteHeartbeat:
		go h.writeHeartbeat(ctx, e)
	case control.Claim:
		go h.claim(ctx, e)
	case control.Adopt:
		go h.replayJournal(ctx, e)
	case control.WriteSessionRow:
		go h.writeSessionRow(ctx, e)
	case control.WriteAllotment:
		go h.writeAllotment(ctx, e)
	case control.WriteZone:
		go h.writeZone(ctx, e)
	}
}

// startTask sends a task to its worker. It compares the clock with NotAfter
// itself, because the process may have been suspended since the decision.
func (h *Host) startTask(ctx context.Context, e placement.Start) {
	t := e.Task
	if !time.Now().Before(e.NotAfter) {
		h.post(placement.Refused{ID: t.ID, Attempt: t.Attempt})
		return
	}
	start := storage.StartRequest{
		Task: t.ID, Attempt: t.Attempt, Team: t.Team, Class: string(t.Class), Owner: h.session, Need: t.Need,
		LeaseMillis: h.Settings.TaskLease.Milliseconds(), NotAfter: e.NotAfter.UnixMilli(),
		NonIdempotent: t.NonIdempotent, Payload: t.Payload, ResumeMillis: t.ResumeMillis,
	}
	if t.Job == "" {
		outcome, err := h.platform.Run(ctx, e.Worker.Addr, start)
		if err == nil {
			h.post(placement.Ended{ID: t.ID, Outcome: outcome})
			return
		}
		h.postStartFailure(t.ID, t.Attempt, err)
		return
	}
	// The end of ctx does not abort this call. If the caller has gone away, a
	// Stop ends the task.
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if err := h.platform.StartTask(callCtx, e.Worker.Addr, start); err != nil {
		h.postStartFailure(t.ID, t.Attempt, err)
		return
	}
	h.post(placement.Started{ID: t.ID, Attempt: t.Attempt})
}

// postStartFailure posts whether a start was refused by the worker, had no
// effect for another reason, or has an unknown outcome.
func (h *Host) postStartFailure(id string, attempt int, err error) {
	switch {
	case errors.Is(err, storage.ErrRefused):
		leaving := bytes.Contains([]byte(err.Error()), []byte("leaving"))
		h.post(placement.Refused{ID: id, Attempt: attempt, Leaving: leaving})
	case errors.Is(err, storage.ErrUnavailable):
		h.post(placement.Refused{ID: id, Attempt: attempt, Fault: true})
	default:
		h.post(placement.Unanswered{ID: id, Attempt: attempt})
	}
}

// stopTasks stops tasks on a worker.
func (h *Host) stopTasks(ctx context.Context, e placement.Stop) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stop := storage.StopRequest{Tasks: e.Tasks, Checkpoint: e.Checkpoint}
	if err := h.platform.StopTasks(ctx, e.Worker.Addr, stop); err != nil {
		h.Log.Warn("worker: stop failed", "worker", e.Worker.Name, "err", err.Error())
	}
}

// renewLeases renews the leases of tasks on a worker and posts its report.
func (h *Host) renewLeases(ctx context.Context, e placement.Renew) {
	ctx, cancel := context.WithTimeout(ctx, renewWait+callTimeout)
	defer cancel()
	sent := time.Now()
	report, err := h.platform.Renew(ctx, e.Worker.Addr, storage.Renewal{
		Owner: h.session, LeaseMillis: h.Settings.TaskLease.Milliseconds(), NotAfter: e.NotAfter.UnixMilli(),
		Tasks: e.Tasks, After: e.After, WaitMillis: renewWait.Milliseconds(),
	})
	h.counters.renewals.Add(1)
	if err != nil {
		h.post(placement.RenewFailed{Worker: e.Worker.Name})
		return
	}
	h.post(placement.Reported{Worker: e.Worker.Name, Sent: sent, Report: report})
}

// deleteGuard deletes the guard of a task that did not run, so that its request
// ID may be used again, and then delivers the answer.
func (h *Host) deleteGuard(ctx context.Context, a control.Answer) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := h.platform.Transact(callCtx, storage.Tx{Deletes: []string{a.DeleteGuard}}); err != nil {
		h.Log.Warn("table: guard of a request id not deleted", "key", a.DeleteGuard, "err", err.Error())
	}
	a.DeleteGuard = ""
	h.post(control.Deliver{Answer: a})
}

// forwardTask sends a task to another entry host and posts the result.
func (h *Host) forwardTask(ctx context.Context, e control.Forward) {
	result := control.ForwardDone{ID: e.Task.ID, Session: e.Session, OutcomeOnly: e.OutcomeOnly}
	data, err := json.Marshal(e.Task)
	if err == nil {
		h.counters.forwards.Add(1)
		var reply peer.RunReply
		reply, err = h.pool.Run(ctx, e.Addr, peer.RunRequest{Session: h.session, TargetSession: e.Session, Task: data, OutcomeOnly: e.OutcomeOnly})
		if err == nil {
			err = decodeReply(reply, &result)
		}
		result.Unsent = errors.Is(err, peer.ErrUnreachable)
	}
	if errors.Is(err, peer.ErrUnsendable) {
		result.Refusal = refusal.New(refusal.TooLarge, "the task cannot be sent to another host: %v", err)
	}
	h.post(result)
}

// decodeReply decodes the answer of another host into result.
func decodeReply(reply peer.RunReply, result *control.ForwardDone) error {
	if len(reply.Outcome) > 0 {
		result.Outcome = &storage.Outcome{}
		return json.Unmarshal(reply.Outcome, result.Outcome)
	}
	result.Refusal = &refusal.Refusal{}
	return json.Unmarshal(reply.Refusal, result.Refusal)
}

// commit makes a conditional write. It retries until the outcome is certain:
// nil, or an error that matches ErrConflict or ErrUnavailable. If ctx ends
// first, the error matches ErrUnknown. After a lost answer, a conflict may stem
// from its own write; commit recognizes that by the value of the row at key.
func (h *Host) commit(ctx context.Context, tx storage.Tx, key string, value []byte) (uint64, error) {
	uncertain := false
	for {
		revision, err := h.platform.Transact(ctx, tx)
		switch {
		case err == nil:
			return revision, nil
		case errors.Is(err, storage.ErrConflict):
			if !uncertain {
				return 0, err
			}
			row, getErr := h.platform.Get(ctx, key)
			if getErr == nil && bytes.Equal(row.Value, value) {
				return row.Revision, nil
			}
			if getErr == nil || errors.Is(getErr, storage.ErrMissing) {
				return 0, err
			}
		case errors.Is(err, storage.ErrUnavailable) && !uncertain:
			return 0, err
		default:
			uncertain = uncertain || errors.Is(err, storage.ErrUnknown)
		}
		pause.Sleep(ctx, writeRetryDelay)
		if ctx.Err() != nil {
			return 0, errors.Mark(ctx.Err(), storage.ErrUnknown)
		}
	}
}

// writeHeartbeat writes the heartbeat row and, with the first heartbeat, the
// session row.
func (h *Host) writeHeartbeat(ctx context.Context, e control.WriteHeartbeat) {
	result := control.HeartbeatDone{Sent: time.Now(), Successor: e.Row.Successor}
	zone := h.Settings.Zone
	key, sessionKey := control.HeartbeatKey(zone, h.session), control.SessionKey(zone, h.session)
	value, err := json.Marshal(e.Row)
	if err != nil {
		h.Log.Error("host: heartbeat cannot be encoded", "err", err.Error())
		return
	}
	tx := storage.Tx{
		Checks: []storage.Check{{Key: key, Revision: e.Revision}, {Key: sessionKey, Revision: e.Fence}},
		Puts:   []storage.Put{{Key: key, Value: value}},
	}
	if e.Fence == 0 {
		session, err := json.Marshal(e.Session)
		if err != nil {
			h.Log.Error("host: session cannot be encoded", "err", err.Error())
			return
		}
		tx.Puts = append(tx.Puts, storage.Put{Key: sessionKey, Value: session})
	}
	result.Revision, result.Err = h.commit(ctx, tx, key, value)
	if result.Err == nil && e.Fence == 0 {
		result.Fence = result.Revision
		h.fenceRevision.Store(result.Revision)
	}
	result.Fenced = errors.Is(result.Err, storage.ErrConflict)
	if result.Err != nil {
		h.Log.Warn("table: heartbeat failed", "err", result.Err.Error())
	}
	h.post(result)
}

// claim takes over a session with its racks, or racks without an owner.
func (h *Host) claim(ctx context.Context, e control.Claim) {
	zone := h.Settings.Zone
	rack, err := json.Marshal(control.RackRow{Owner: h.session})
	if err != nil {
		return
	}
	tx := storage.Tx{Checks: e.Checks}
	key, value := "", rack
	for _, r := range e.Racks {
		key = control.RackKey(zone, r)
		tx.Puts = append(tx.Puts, storage.Put{Key: key, Value: rack})
	}
	if e.Session != "" {
		key = control.SessionKey(zone, e.Session)
		if value, err = json.Marshal(e.Row); err != nil {
			return
		}
		tx.Puts = append(tx.Puts, storage.Put{Key: key, Value: value})
		tx.Deletes = append(tx.Deletes, control.HeartbeatKey(zone, e.Session))
	}
	revision, err := h.commit(ctx, tx, key, value)
	if err != nil {
		h.Log.Info("host: claim failed", "session", e.Session, "racks", e.Racks, "err", err.Error())
	} else {
		h.Log.Info("host: claimed", "session", e.Session, "racks", e.Racks)
	}
	h.post(control.ClaimDone{Claim: e, Revision: revision, Err: err})
}

// replayJournal reads the journal of a session that this host has taken over,
// asks other hosts for the outcomes of its forwarded tasks, and posts both.
func (h *Host) replayJournal(ctx context.Context, e control.Adopt) {
	states, entries, err := segment.Replay(ctx, &h.platform, e.Session)
	if err != nil {
		h.Log.Warn("journal: replay failed", "session", e.Session, "err", err.Error())
		pause.Sleep(ctx, writeRetryDelay)
	} else {
		h.Log.Info("journal: replayed", "session", e.Session, "jobs", len(states), "entries", len(entries))
	}
	result := control.Adopted{Session: e.Session, States: states, Entries: entries, Err: err}
	if err == nil {
		result.Ended = h.queryForwardedOutcomes(ctx, e)
	}
	h.post(result)
}

// queryForwardedOutcomes asks other hosts for the outcomes of tasks that a
// session forwarded to them. It is the only query for outcomes that hosts
// of an older version answer.
func (h *Host) queryForwardedOutcomes(ctx context.Context, e control.Adopt) []storage.Outcome {
	return slices.Concat(askPeers[[]storage.Outcome](ctx, h, e.Peers, peer.JobRequest{Operation: opForwardedOutcomes, Job: e.Session})...)
}

// queryOutcomes asks other hosts for task outcomes at their workers.
func (h *Host) queryOutcomes(ctx context.Context, e control.QueryPeerOutcomes) {
	body, err := json.Marshal(e.Query)
	if err != nil {
		h.Log.Error("peer: query cannot be encoded", "err", err.Error())
		return
	}
	h.post(control.OutcomeReports{Query: e.Query, Answers: askPeers[control.OutcomeReport](ctx, h, e.Peers, peer.JobRequest{Operation: opLocalOutcomes, Body: body})})
}

// askPeers sends a request to several hosts at once and returns their answers.
// It leaves out hosts that do not answer.
func askPeers[T any](ctx context.Context, h *Host, peers []string, req peer.JobRequest) []T {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var answers []T
	for _, addr := range peers {
		wg.Go(func() {
			var answer T
			if r := h.askPeer(ctx, addr, req, &answer); r != nil {
				h.Log.Warn("peer: querying task outcomes failed", "peer", addr, "err", r.Error())
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, answer)
		})
	}
	wg.Wait()
	return answers
}

// writeSessionRow replaces the row of a session on condition of its revision.
func (h *Host) writeSessionRow(ctx context.Context, e control.WriteSessionRow) {
	value, err := json.Marshal(e.Row)
	if err != nil {
		return
	}
	key := control.SessionKey(h.Settings.Zone, e.Session)
	tx := storage.Tx{Checks: []storage.Check{{Key: key, Revision: e.Revision}}, Puts: []storage.Put{{Key: key, Value: value}}}
	if _, err := h.commit(ctx, tx, key, value); err != nil {
		h.Log.Warn("table: session row not written", "session", e.Session, "err", err.Error())
	}
}

// writeAllotment writes the allotment row of a team on condition of its
// revision.
func (h *Host) writeAllotment(ctx context.Context, e control.WriteAllotment) {
	result := control.AllotmentDone{Team: e.Team, Row: e.Row}
	value, err := json.Marshal(e.Row)
	if err != nil {
		return
	}
	key := allotment.Key(e.Team)
	tx := storage.Tx{Checks: []storage.Check{{Key: key, Revision: e.Revision}}, Puts: []storage.Put{{Key: key, Value: value}}}
	result.Revision, result.Err = h.commit(ctx, tx, key, value)
	if errors.Is(result.Err, storage.ErrConflict) {
		// Another host wrote the row first: continue with its row at once.
		if row, err := h.platform.Get(ctx, key); err == nil {
			var r allotment.Row
			if json.Unmarshal(row.Value, &r) == nil {
				result.Row, result.Revision = r, row.Revision
			}
		}
	}
	h.post(result)
}

// writeZone writes the row of this zone on condition of its revision.
func (h *Host) writeZone(ctx context.Context, e control.WriteZone) {
	result := control.ZoneDone{Row: e.Row}
	value, err := json.Marshal(e.Row)
	if err != nil {
		return
	}
	key := control.ZoneRowPrefix + h.Settings.Zone
	tx := storage.Tx{Checks: []storage.Check{{Key: key, Revision: e.Revision}}, Puts: []storage.Put{{Key: key, Value: value}}}
	result.Revision, result.Err = h.commit(ctx, tx, key, value)
	h.post(result)
}

// sendGreeting exchanges greetings with another host.
func (h *Host) sendGreeting(ctx context.Context, e control.Greet) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	g, err := h.pool.Exchange(ctx, e.Addr, e.Greeting)
	if err != nil {
		h.post(control.GreetFailed{Session: e.Session})
		return
	}
	h.post(control.Greeted{Greeting: g, Addr: e.Addr, Sent: sent})
}
