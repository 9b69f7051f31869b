package host

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/cowslipgap/cowslipgap/control"
	"github.com/cowslipgap/cowslipgap/job"
	"github.com/cowslipgap/cowslipgap/peer"
	"github.com/cowslipgap/cowslipgap/refusal"
	"github.com/cowslipgap/cowslipgap/task"
)

// Verbs of questions between entry hosts.
const (
	verbStatus = "status"
	verbList   = "list"
	verbCancel = "cancel"
	verbSubmit = "submit"
	verbEnded  = "ended"
	verbEnds   = "ends"
)

// service is what this host does for other entry hosts.
func (h *Host) service() peer.Service {
	return peer.Service{Exchange: h.exchange, Run: h.runForPeer, Ask: h.answerPeer}
}

func (h *Host) exchange(ctx context.Context, g *peer.Greeting) (*peer.Greeting, error) {
	token := h.tokens.Add(1)
	value, err := h.await(ctx, token, control.Greeted{Greeting: *g, Incoming: true, Token: token})
	if err != nil {
		return nil, err
	}
	reply := value.(peer.Greeting)
	return &reply, nil
}

// await sends an event that is answered under a token.
func (h *Host) await(ctx context.Context, token uint64, ev any) (any, error) {
	reply := make(chan any, 1)
	if !h.send(envelope{event: ev, reply: reply, token: token}) {
		return nil, refusal.New(refusal.Leaving, "this entry host has ended")
	}
	select {
	case value := <-reply:
		return value, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-h.done:
		return nil, refusal.New(refusal.Leaving, "this entry host has ended")
	}
}

// runForPeer runs a task that another entry host forwarded.
func (h *Host) runForPeer(ctx context.Context, o *peer.Order) (*peer.Answer, error) {
	var t task.Task
	if err := json.Unmarshal(o.Task, &t); err != nil {
		return nil, errors.Wrap(err, "decode forwarded task")
	}
	if o.To != h.session {
		// The sender means a process that has ended.
		if !o.Resolve {
			return refusalAnswer(refusal.New(refusal.NoOwner, "session %s is not here", o.To))
		}
	}
	a, err := h.runTask(ctx, t.ID, control.Forwarded{From: o.Session, Task: t, Resolve: o.Resolve, Gone: o.To != h.session})
	if err != nil {
		return nil, err
	}
	if o.To != h.session && a.Outcome == nil {
		return nil, errors.Newf("session %s is not here", o.To) // what it did is not known
	}
	if a.Refusal != nil {
		return refusalAnswer(a.Refusal)
	}
	data, err := json.Marshal(a.Outcome)
	if err != nil {
		return nil, errors.Wrap(err, "encode outcome")
	}
	return &peer.Answer{Outcome: data, Worker: a.Worker}, nil
}

func refusalAnswer(r *refusal.Refusal) (*peer.Answer, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode refusal")
	}
	return &peer.Answer{Refusal: data}, nil
}

// runTask sends an event that is answered under a task's ID. If the caller goes
// away, the task is withdrawn.
func (h *Host) runTask(ctx context.Context, id string, ev any) (control.Answer, error) {
	answer := make(chan control.Answer, 1)
	if !h.send(envelope{event: ev, answer: answer, id: id}) {
		return control.Answer{}, refusal.New(refusal.Leaving, "this entry host has ended")
	}
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		h.send(envelope{event: control.Withdraw{ID: id}, id: id, abandon: answer})
		return control.Answer{}, ctx.Err()
	case <-h.done:
		r := refusal.New(refusal.OutcomeLost, "this entry host has ended")
		return control.Answer{ID: id, Refusal: r}, nil
	}
}

// answerPeer answers a question about jobs from another entry host.
func (h *Host) answerPeer(ctx context.Context, q *peer.Question) (*peer.Reply, error) {
	var value any
	var r *refusal.Refusal
	switch q.Verb {
	case verbStatus, verbCancel:
		value, r = h.inZone(ctx, *q)
	case verbList:
		value, r = h.listLocal(ctx, q.Team)
	case verbSubmit:
		value, r = h.submitForPeer(ctx, q.Body)
	case verbEnded:
		value, r = h.endedLocal(ctx, q.Job)
	case verbEnds:
		value, r = h.endsLocal(ctx, q.Body)
	default:
		r = refusal.New(refusal.BadRequest, "verb %q does not exist", q.Verb)
	}
	if r != nil {
		data, err := json.Marshal(r)
		return &peer.Reply{Refusal: data}, errors.Wrap(err, "encode refusal")
	}
	data, err := json.Marshal(value)
	return &peer.Reply{Data: data}, errors.Wrap(err, "encode reply")
}

// order is a job that is submitted through another entry host.
type order struct {
	Job  job.Job `json:"job"`
	Hash string  `json:"hash"`
}

func (h *Host) submitForPeer(ctx context.Context, body []byte) (any, *refusal.Refusal) {
	var o order
	if err := json.Unmarshal(body, &o); err != nil {
		return nil, refusal.New(refusal.BadRequest, "decode job: %v", err)
	}
	return h.submitHere(ctx, o, true)
}
