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

// Operations of a peer.JobRequest.
const (
	opStatus            = "status"
	opList              = "list"
	opCancel            = "cancel"
	opSubmit            = "submit"
	opForwardedOutcomes = "ended" // outcomes of the tasks that a session forwarded to the receiver
	opLocalOutcomes     = "ends"  // outcomes of tasks that ran on the receiver's workers
)

// service returns the handlers for calls from other entry hosts.
func (h *Host) service() peer.Service {
	return peer.Service{Exchange: h.exchange, Run: h.runForPeer, Ask: h.answerPeer}
}

// exchange answers the periodic greeting of another entry host with the greeting of
// this host.
func (h *Host) exchange(ctx context.Context, g *peer.Greeting) (*peer.Greeting, error) {
	token := h.lastToken.Add(1)
	value, err := h.await(ctx, token, control.Greeted{Greeting: *g, Incoming: true, Token: token})
	if err != nil {
		return nil, err
	}
	reply := value.(peer.Greeting)
	return &reply, nil
}

// await sends an event to the control state and waits for the reply with the event's
// token.
func (h *Host) await(ctx context.Context, token uint64, ev any) (any, error) {
	reply := make(chan any, 1)
	if !h.send(envelope{event: ev, reply: reply, token: token}) {
		return nil, refusal.New(refusal.Leaving, "this entry host has shut down")
	}
	select {
	case value := <-reply:
		return value, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-h.loopDone:
		return nil, refusal.New(refusal.Leaving, "this entry host has shut down")
	}
}

// runForPeer runs a task that another entry host forwarded.
func (h *Host) runForPeer(ctx context.Context, req *peer.RunRequest) (*peer.RunReply, error) {
	var t task.Task
	if err := json.Unmarshal(req.Task, &t); err != nil {
		return nil, errors.Wrap(err, "decode forwarded task")
	}
	if req.TargetSession != h.session {
		// The task is addressed to another session, whose process has ended.
		if !req.OutcomeOnly {
			return refusalReply(refusal.New(refusal.NoOwner, "session %s does not run at this address", req.TargetSession))
		}
	}
	a, err := h.runTask(ctx, t.ID, control.Forwarded{From: req.Session, Task: t, OutcomeOnly: req.OutcomeOnly, SessionEnded: req.TargetSession != h.session})
	if err != nil {
		return nil, err
	}
	if req.TargetSession != h.session && a.Outcome == nil {
		return nil, errors.Newf("session %s does not run at this address", req.TargetSession) // whether the task ran is unknown
	}
	if a.Refusal != nil {
		return refusalReply(a.Refusal)
	}
	data, err := json.Marshal(a.Outcome)
	if err != nil {
		return nil, errors.Wrap(err, "encode outcome")
	}
	return &peer.RunReply{Outcome: data, Worker: a.Worker}, nil
}

func refusalReply(r *refusal.Refusal) (*peer.RunReply, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode refusal")
	}
	return &peer.RunReply{Refusal: data}, nil
}

// runTask sends an event and waits for the answer to the task with the given ID. If
// ctx ends first, it cancels the request.
func (h *Host) runTask(ctx context.Context, id string, ev any) (control.Answer, error) {
	answer := make(chan control.Answer, 1)
	if !h.send(envelope{event: ev, answer: answer, id: id}) {
		return control.Answer{}, refusal.New(refusal.Leaving, "this entry host has shut down")
	}
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		h.send(envelope{event: control.CancelRequest{ID: id}, id: id, unregister: answer})
		return control.Answer{}, ctx.Err()
	case <-h.loopDone:
		r := refusal.New(refusal.OutcomeLost, "this entry host has shut down")
		return control.Answer{ID: id, Refusal: r}, nil
	}
}

// answerPeer answers a JobRequest from another entry host.
func (h *Host) answerPeer(ctx context.Context, req *peer.JobRequest) (*peer.JobReply, error) {
	var value any
	var r *refusal.Refusal
	switch req.Operation {
	case opStatus, opCancel:
		value, r = h.handleInOwnZone(ctx, *req)
	case opList:
		value, r = h.listLocalJobs(ctx, req.Team)
	case opSubmit:
		value, r = h.submitForPeer(ctx, req.Body)
	case opForwardedOutcomes:
		value, r = h.forwardedOutcomes(ctx, req.Job)
	case opLocalOutcomes:
		value, r = h.localOutcomes(ctx, req.Body)
	default:
		r = refusal.New(refusal.BadRequest, "operation %q does not exist", req.Operation)
	}
	if r != nil {
		data, err := json.Marshal(r)
		return &peer.JobReply{Refusal: data}, errors.Wrap(err, "encode refusal")
	}
	data, err := json.Marshal(value)
	return &peer.JobReply{Data: data}, errors.Wrap(err, "encode reply")
}

// jobSubmission is a job that one entry host submits to another.
type jobSubmission struct {
	Job  job.Job `json:"job"`
	Hash string  `json:"hash"` // of the request body
}

// submitForPeer accepts a job that another entry host sent.
func (h *Host) submitForPeer(ctx context.Context, body []byte) (any, *refusal.Refusal) {
	var submission jobSubmission
	if err := json.Unmarshal(body, &submission); err != nil {
		return nil, refusal.New(refusal.BadRequest, "decode job: %v", err)
	}
	return h.submitOrForward(ctx, submission, true)
}
