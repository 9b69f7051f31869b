package host

import (
	"context"
	"time"

	"github.com/cowslipgap/cowslipgap/control"
)

// envelope is an event on its way to the control goroutine, with whoever waits
// for an answer under an ID or a token.
type envelope struct {
	event   any
	answer  chan<- control.Answer
	id      string
	reply   chan<- any // of a JobAnswer or a GreetReply
	token   uint64
	abandon chan<- control.Answer // the event counts only if this still waits under the ID
}

// waiters is who waits for what. The control goroutine owns it.
type waiters struct {
	answers map[string]chan<- control.Answer
	replies map[uint64]chan<- any
	cancels map[string]context.CancelFunc // of calls that run a task, by its ID
}

// post sends an event to the control goroutine. It gives up once that has ended.
func (h *Host) post(ev any) { h.send(envelope{event: ev}) }

func (h *Host) send(e envelope) bool {
	select {
	case h.events <- e:
		return true
	case <-h.done:
		return false
	}
}

// loop is the control goroutine: the only one that touches the State.
func (h *Host) loop(ctx context.Context) {
	defer close(h.done)
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

func (h *Host) handle(ctx context.Context, state *control.State, w *waiters, e envelope) {
	if e.abandon != nil && w.answers[e.id] != e.abandon {
		return // somebody else has asked for the same task meanwhile
	}
	w.note(e)
	now := time.Now()
	for _, effect := range state.Update(now, e.event) {
		h.perform(ctx, w, effect)
	}
	h.counters.events.Add(1)
	h.counters.control.Add(int64(time.Since(now)))
	if _, ok := e.event.(control.Tick); ok {
		h.publish(state)
	}
}

// note remembers, or forgets, who waits.
func (w *waiters) note(e envelope) {
	if e.answer != nil {
		w.answers[e.id] = e.answer
	}
	if e.reply != nil {
		w.replies[e.token] = e.reply
	}
	if e.abandon != nil {
		delete(w.answers, e.id)
	}
}

// publish copies what other goroutines read.
func (h *Host) publish(state *control.State) {
	sum := state.Summary()
	h.summary.Store(&sum)
	h.ready.Store(state.Ready())
	h.busy.Store(int64(state.Busy()))
	h.interval.Store(int64(state.JournalInterval()))
	if state.Fenced() {
		h.fencedMu.Do(func() {
			h.Log.Warn("host: taken over by a sibling")
			close(h.fenced)
		})
	}
	if h.journal.SnapshotDue() {
		h.offer(control.TakeSnapshot{})
	}
}

// offer sends an event from the control goroutine itself, without waiting.
func (h *Host) offer(ev any) {
	select {
	case h.events <- envelope{event: ev}:
	default: // the next tick asks again
	}
}

func (h *Host) tick(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
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

// answer delivers a task's answer to whoever waits.
func (w *waiters) answer(a control.Answer) {
	if cancel := w.cancels[a.ID]; cancel != nil {
		cancel()
		delete(w.cancels, a.ID)
	}
	if ch := w.answers[a.ID]; ch != nil {
		delete(w.answers, a.ID)
		ch <- a // the channel has room for the one answer
	}
}

func (w *waiters) reply(token uint64, value any) {
	if ch := w.replies[token]; ch != nil {
		delete(w.replies, token)
		ch <- value // the channel has room for the one reply
	}
}

// track remembers how to end a call that runs a task.
func (w *waiters) track(ctx context.Context, id string) context.Context {
	if old := w.cancels[id]; old != nil {
		old()
	}
	ctx, cancel := context.WithCancel(ctx)
	w.cancels[id] = cancel
	return ctx
}
