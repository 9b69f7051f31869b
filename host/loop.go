package host

import (
	"context"
	"time"

	"github.com/cowslipgap/cowslipgap/control"
)

// envelope is an event for the control goroutine, with the channel on which the
// sender waits for an answer, if any.
type envelope struct {
	event      any
	answer     chan<- control.Answer // receives the answer for the task with this ID
	id         string
	reply      chan<- any // receives the JobAnswer, ForwardedOutcomes, OutcomeReport or Greeting for token
	token      uint64
	unregister chan<- control.Answer // stops waiting for id; if another channel waits for id, the event is dropped
}

// waiters holds the channels on which other goroutines wait for answers. Only
// the control goroutine uses it.
type waiters struct {
	answers map[string]chan<- control.Answer // by task ID
	replies map[uint64]chan<- any            // by token
	cancels map[string]context.CancelFunc    // of the calls that run tasks, by task ID
}

// post sends an event to the control goroutine, and drops it if that goroutine
// has ended.
func (h *Host) post(ev any) { h.send(envelope{event: ev}) }

// send sends an envelope to the control goroutine. It returns false if that
// goroutine has ended.
func (h *Host) send(e envelope) bool {
	select {
	case h.events <- e:
		return true
	case <-h.loopDone:
		return false
	}
}

// loop runs the control goroutine, the only one that accesses the State.
func (h *Host) loop(ctx context.Context) {
	defer close(h.loopDone)
	state := control.New(h.config())
	w := &waiters{
		answers: map[string]chan<- control.Answer{},
		replies: map[uint64]chan<- any{},
		cancels: map[string]context.CancelFunc{},
	}
	for {
		select {
		case e := <-h.events:
			h.handle(ctx, state, w, e)
		case <-ctx.Done():
			w.cancelAll()
			return
		}
	}
}

func (w *waiters) cancelAll() {
	for _, cancel := range w.cancels {
		cancel()
	}
}

// handle applies one event to the State and carries out the effects.
func (h *Host) handle(ctx context.Context, state *control.State, w *waiters, e envelope) {
	if e.unregister != nil && w.answers[e.id] != e.unregister {
		return // another call waits for the same task now
	}
	w.register(e)
	now := time.Now()
	for _, effect := range state.Update(now, e.event) {
		h.perform(ctx, w, effect)
	}
	h.counters.events.Add(1)
	h.counters.controlNanos.Add(int64(time.Since(now)))
	if _, ok := e.event.(control.Tick); ok {
		h.publish(state)
	}
}

// register adds or removes the waiter that an envelope names.
func (w *waiters) register(e envelope) {
	if e.answer != nil {
		w.answers[e.id] = e.answer
	}
	if e.reply != nil {
		w.replies[e.token] = e.reply
	}
	if e.unregister != nil {
		delete(w.answers, e.id)
	}
}

// publish stores the values that other goroutines read, closes fenced if the
// host has lost its session, and asks for a snapshot if one is due.
func (h *Host) publish(state *control.State) {
	sum := state.Summary()
	h.summary.Store(&sum)
	h.ready.Store(state.Ready())
	h.busyCount.Store(int64(state.Busy()))
	h.journalIntervalNanos.Store(int64(state.JournalInterval()))
	if state.Fenced() {
		h.fencedOnce.Do(func() {
			h.Log.Warn("host: taken over by a sibling")
			close(h.fenced)
		})
	}
	if h.journal.SnapshotDue() {
		h.tryPost(control.TakeSnapshot{})
	}
}

// tryPost sends an event from the control goroutine itself, which must not
// block. It drops the event if the queue is full.
func (h *Host) tryPost(ev any) {
	select {
	case h.events <- envelope{event: ev}:
	default: // publish tries again at the next tick
	}
}

// tick posts a Tick at every tickInterval.
func (h *Host) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			h.post(control.Tick{})
		case <-ctx.Done():
			return
		}
	}
}

// deliverAnswer cancels the call that runs the task and sends the answer to its
// waiter, if any.
func (w *waiters) deliverAnswer(a control.Answer) {
	if cancel := w.cancels[a.ID]; cancel != nil {
		cancel()
		delete(w.cancels, a.ID)
	}
	if ch := w.answers[a.ID]; ch != nil {
		delete(w.answers, a.ID)
		ch <- a // does not block: the channel buffers one answer
	}
}

// deliverReply sends a value to the waiter for the token, if any.
func (w *waiters) deliverReply(token uint64, value any) {
	if ch := w.replies[token]; ch != nil {
		delete(w.replies, token)
		ch <- value // does not block: the channel buffers one reply
	}
}

// withCancel returns a context for a call that runs a task. The context ends when
// the task is answered, when the control state cancels the forwarded task, or when
// a new call runs the task.
func (w *waiters) withCancel(ctx context.Context, id string) context.Context {
	if previous := w.cancels[id]; previous != nil {
		previous()
	}
	ctx, cancel := context.WithCancel(ctx)
	w.cancels[id] = cancel
	return ctx
}
