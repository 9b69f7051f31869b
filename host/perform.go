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
	// renewWait is how long a worker holds a renewal while it has nothing to tell.
	renewWait   = time.Second
	callTimeout = 3 * time.Second
	writePause  = 200 * time.Millisecond
)

// perform carries out one effect. What takes time runs on another goroutine and
// comes back as an event.
func (h *Host) perform(ctx context.Context, w *waiters, effect any) {
	switch e := effect.(type) {
	case placement.Start:
		h.counters.starts.Add(1)
		runCtx := w.track(ctx, e.Task.ID)
		go h.start(runCtx, e)
	case placement.Stop:
		go h.stop(ctx, e)
	case placement.Renew:
		go h.renew(ctx, e)
	case control.Answer:
		if e.Unguard != "" {
			go h.unguard(ctx, e)
			return
		}
		w.answer(e)
	case control.JobAnswer:
		w.reply(e.Token, e)
	case control.EndedAnswer:
		w.reply(e.Token, e)
	case control.EndsAnswer:
		w.reply(e.Token, e)
	case control.AskEnds:
		go h.askEnds(ctx, e)
	case control.Unsettled:
		h.Log.Warn("host: run again without all workers' reports", "session", e.Session, "task", e.Task)
	case control.GreetReply:
		w.reply(e.Token, e.Greeting)
	case control.Forward:
		runCtx := w.track(ctx, e.Task.ID)
		go h.forward(runCtx, e)
	case control.Withdrawn:
		if cancel := w.cancels[e.ID]; cancel != nil {
			cancel()
		}
	case control.Append:
		h.journal.Append(e.Batch)
	case control.Snapshot:
		h.journal.Snapshot(e.States)
	case control.Greet:
		go h.greet(ctx, e)
	case control.Cut:
		go h.pool.Cut(e.Addr)
	default:
		h.performOnTable(ctx, effect)
	}
}

// performOnTable carries out the effects that read or write the table.
func (h *Host) performOnTable(ctx context.Context, effect any) {
	switch e := effect.(type) {
	case control.Beat:
		go h.beat(ctx, e)
	case control.Claim:
		go h.claim(ctx, e)
	case control.Adopt:
		go h.adopt(ctx, e)
	case control.MarkAbsorbed:
		go h.markAbsorbed(ctx, e)
	case control.WriteAllotment:
		go h.writeAllotment(ctx, e)
	case control.WriteZone:
		go h.writeZone(ctx, e)
	}
}

// start sends a task to its worker. The clock is read here, after whatever
// pause there was since the decision.
func (h *Host) start(ctx context.Context, e placement.Start) {
	t := e.Task
	if !time.Now().Before(e.NotAfter) {
		h.post(placement.Refused{ID: t.ID, Attempt: t.Attempt})
		return
	}
	order := storage.Start{
		Task: t.ID, Attempt: t.Attempt, Team: t.Team, Class: string(t.Class), Owner: h.session, Need: t.Need,
		LeaseMillis: h.Settings.TaskLease.Milliseconds(), NotAfter: e.NotAfter.UnixMilli(),
		NonIdempotent: t.NonIdempotent, Payload: t.Payload, ResumeMillis: t.ResumeMillis,
	}
	if t.Job == "" {
		outcome, err := h.platform.Run(ctx, e.Worker.Addr, order)
		if err == nil {
			h.post(placement.Ended{ID: t.ID, Outcome: outcome})
			return
		}
		h.startFailed(t.ID, t.Attempt, err)
		return
	}
	// The worker gets the start or not; a caller that leaves ends it by Stop.
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if err := h.platform.StartTask(callCtx, e.Worker.Addr, order); err != nil {
		h.startFailed(t.ID, t.Attempt, err)
		return
	}
	h.post(placement.Started{ID: t.ID, Attempt: t.Attempt})
}

func (h *Host) startFailed(id string, attempt int, err error) {
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

func (h *Host) stop(ctx context.Context, e placement.Stop) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	order := storage.StopOrder{Tasks: e.Tasks, Checkpoint: e.Checkpoint}
	if err := h.platform.StopTasks(ctx, e.Worker.Addr, order); err != nil {
		h.Log.Warn("worker: stop failed", "worker", e.Worker.Name, "err", err.Error())
	}
}

func (h *Host) renew(ctx context.Context, e placement.Renew) {
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

// unguard frees the request id of work that did not run, and then answers.
func (h *Host) unguard(ctx context.Context, a control.Answer) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := h.platform.Transact(callCtx, storage.Tx{Deletes: []string{a.Unguard}}); err != nil {
		h.Log.Warn("table: a request id stays used", "key", a.Unguard, "err", err.Error())
	}
	a.Unguard = ""
	h.post(control.Deliver{Answer: a})
}

func (h *Host) forward(ctx context.Context, e control.Forward) {
	done := control.ForwardDone{ID: e.Task.ID, Session: e.Session, Resolved: e.Resolve}
	data, err := json.Marshal(e.Task)
	if err == nil {
		h.counters.forwards.Add(1)
		var a peer.Answer
		a, err = h.pool.Run(ctx, e.Addr, peer.Order{Session: h.session, To: e.Session, Task: data, Resolve: e.Resolve})
		if err == nil {
			err = decodeAnswer(a, &done)
		}
		done.Unsent = errors.Is(err, peer.ErrUnreachable)
	}
	h.post(done)
}

// decodeAnswer fills in what another host answered.
func decodeAnswer(a peer.Answer, done *control.ForwardDone) error {
	if len(a.Outcome) > 0 {
		done.Outcome = &storage.Outcome{}
		return json.Unmarshal(a.Outcome, done.Outcome)
	}
	done.Refusal = &refusal.Refusal{}
	return json.Unmarshal(a.Refusal, done.Refusal)
}

// commit makes a conditional write and does not return before its outcome is
// certain: nil, or an error that matches ErrConflict or ErrUnavailable. It
// tells its own write from another's by the value of the row at key.
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
		pause.For(ctx, writePause)
		if ctx.Err() != nil {
			return 0, errors.Mark(ctx.Err(), storage.ErrUnknown)
		}
	}
}

func (h *Host) beat(ctx context.Context, e control.Beat) {
	done := control.BeatDone{Sent: time.Now(), Successor: e.Row.Successor}
	zone := h.Settings.Zone
	key, sessionKey := control.BeatKey(zone, h.session), control.SessionKey(zone, h.session)
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
	done.Revision, done.Err = h.commit(ctx, tx, key, value)
	if done.Err == nil && e.Fence == 0 {
		done.Fence = done.Revision
		h.fence.Store(done.Revision)
	}
	done.Fenced = errors.Is(done.Err, storage.ErrConflict)
	if done.Err != nil {
		h.Log.Warn("table: heartbeat failed", "err", done.Err.Error())
	}
	h.post(done)
}

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
		tx.Deletes = append(tx.Deletes, control.BeatKey(zone, e.Session))
	}
	revision, err := h.commit(ctx, tx, key, value)
	if err != nil {
		h.Log.Info("host: claim failed", "session", e.Session, "racks", e.Racks, "err", err.Error())
	} else {
		h.Log.Info("host: claimed", "session", e.Session, "racks", e.Racks)
	}
	h.post(control.ClaimDone{Claim: e, Revision: revision, Err: err})
}

func (h *Host) adopt(ctx context.Context, e control.Adopt) {
	states, entries, err := segment.Replay(ctx, &h.platform, e.Session)
	if err != nil {
		h.Log.Warn("journal: replay failed", "session", e.Session, "err", err.Error())
		pause.For(ctx, writePause)
	} else {
		h.Log.Info("journal: replayed", "session", e.Session, "jobs", len(states), "entries", len(entries))
	}
	done := control.Adopted{Session: e.Session, States: states, Entries: entries, Err: err}
	if err == nil {
		done.Ended = h.askEnded(ctx, e)
	}
	h.post(done)
}

// askEnded asks other hosts which tasks of a session have ended there. Hosts of
// an older version answer no other question about ends.
func (h *Host) askEnded(ctx context.Context, e control.Adopt) []storage.Outcome {
	return slices.Concat(askAll[[]storage.Outcome](ctx, h, e.Peers, peer.Question{Verb: verbEnded, Job: e.Session})...)
}

// askEnds asks other hosts what has ended at their workers.
func (h *Host) askEnds(ctx context.Context, e control.AskEnds) {
	body, err := json.Marshal(e.Question)
	if err != nil {
		h.Log.Error("peer: question cannot be encoded", "err", err.Error())
		return
	}
	h.post(control.EndsTold{Question: e.Question, Answers: askAll[control.EndsAnswer](ctx, h, e.Peers, peer.Question{Verb: verbEnds, Body: body})})
}

// askAll puts a question to several hosts at once. Those that do not answer are
// passed over.
func askAll[T any](ctx context.Context, h *Host, peers []string, q peer.Question) []T {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var all []T
	for _, addr := range peers {
		wg.Go(func() {
			var answer T
			if r := h.askPeer(ctx, addr, q, &answer); r != nil {
				h.Log.Warn("peer: ended tasks not known", "peer", addr, "err", r.Error())
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, answer)
		})
	}
	wg.Wait()
	return all
}

func (h *Host) markAbsorbed(ctx context.Context, e control.MarkAbsorbed) {
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

func (h *Host) writeAllotment(ctx context.Context, e control.WriteAllotment) {
	done := control.AllotmentDone{Team: e.Team, Row: e.Row}
	value, err := json.Marshal(e.Row)
	if err != nil {
		return
	}
	key := allotment.Key(e.Team)
	tx := storage.Tx{Checks: []storage.Check{{Key: key, Revision: e.Revision}}, Puts: []storage.Put{{Key: key, Value: value}}}
	done.Revision, done.Err = h.commit(ctx, tx, key, value)
	if errors.Is(done.Err, storage.ErrConflict) {
		// Another host was first: go on from its row at once.
		if row, err := h.platform.Get(ctx, key); err == nil {
			var r allotment.Row
			if json.Unmarshal(row.Value, &r) == nil {
				done.Row, done.Revision = r, row.Revision
			}
		}
	}
	h.post(done)
}

func (h *Host) writeZone(ctx context.Context, e control.WriteZone) {
	done := control.ZoneDone{Row: e.Row}
	value, err := json.Marshal(e.Row)
	if err != nil {
		return
	}
	key := control.ZoneRowPrefix + h.Settings.Zone
	tx := storage.Tx{Checks: []storage.Check{{Key: key, Revision: e.Revision}}, Puts: []storage.Put{{Key: key, Value: value}}}
	done.Revision, done.Err = h.commit(ctx, tx, key, value)
	h.post(done)
}

func (h *Host) greet(ctx context.Context, e control.Greet) {
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
