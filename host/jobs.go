package host

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipgap/cowslipgap/control"
	"github.com/cowslipgap/cowslipgap/job"
	"github.com/cowslipgap/cowslipgap/peer"
	"github.com/cowslipgap/cowslipgap/refusal"
	"github.com/cowslipgap/cowslipgap/storage"
	"github.com/cowslipgap/cowslipgap/task"
)

// acceptTimeout bounds the wait for a job to be accepted. After it, the caller
// is told that the outcome is unknown.
const acceptTimeout = 10 * time.Second

// maxHops is how often a request about a job is forwarded: once to the zone of
// the job, and once there to the host that holds it.
const maxHops = 2

// submit runs a caller's task and returns its outcome and the name of the worker
// that ran it.
func (h *Host) submit(ctx context.Context, t task.Task, requestID, hash string) (storage.Outcome, string, *refusal.Refusal) {
	a, err := h.runTask(ctx, t.ID, control.Request{Task: t, RequestID: requestID, Hash: hash})
	switch {
	case err != nil:
		return storage.Outcome{}, "", asRefusal(err)
	case a.Refusal != nil:
		return storage.Outcome{}, "", a.Refusal
	case a.Outcome.End == storage.EndFailed:
		return storage.Outcome{}, "", refusal.New(refusal.TaskFailed, "%s", a.Outcome.Message)
	case a.Outcome.End != storage.EndDone:
		return storage.Outcome{}, "", refusal.New(refusal.OutcomeLost, "the task started and ended as %s", a.Outcome.End)
	}
	return *a.Outcome, a.Worker, nil
}

// asRefusal returns the refusal in err. Any other error means that the outcome
// is unknown.
func asRefusal(err error) *refusal.Refusal {
	var r *refusal.Refusal
	if errors.As(err, &r) {
		return r
	}
	return refusal.New(refusal.OutcomeLost, "%v", err)
}

// submitJob accepts a job on this host or, if this host cannot run it, on
// another host that can.
func (h *Host) submitJob(ctx context.Context, j job.Job, hash string) (string, *refusal.Refusal) {
	id, r := h.submitOrForward(ctx, jobSubmission{j, hash}, false)
	return id, r
}

// submitOrForward submits a job to the control state of this host. If the control
// state names another host to run the job, it forwards the job to that host. With
// noForward, the control state names no other host.
func (h *Host) submitOrForward(ctx context.Context, submission jobSubmission, noForward bool) (string, *refusal.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	a, r := h.requestJobAnswer(ctx, func(token uint64) any {
		return control.SubmitJob{Token: token, Job: submission.Job, Hash: submission.Hash, NoForward: noForward}
	})
	if r != nil {
		return "", r
	}
	if a.Holder == "" {
		return a.ID, a.Refusal
	}
	body, err := json.Marshal(submission)
	if err != nil {
		return "", refusal.New(refusal.BadRequest, "encode job: %v", err)
	}
	var id string
	r = h.askPeer(ctx, a.Holder, peer.JobRequest{Operation: opSubmit, Body: body}, &id)
	return id, r
}

// requestJobAnswer sends an event to the control state and waits for its JobAnswer.
// The function build returns the event for a given token.
func (h *Host) requestJobAnswer(ctx context.Context, build func(token uint64) any) (control.JobAnswer, *refusal.Refusal) {
	token := h.lastToken.Add(1)
	value, err := h.await(ctx, token, build(token))
	if err != nil {
		return control.JobAnswer{}, asRefusal(err)
	}
	return value.(control.JobAnswer), nil
}

// handleInOwnZone answers a status request or carries out a cancellation for a
// job of this host's zone.
func (h *Host) handleInOwnZone(ctx context.Context, req peer.JobRequest) (*job.Status, *refusal.Refusal) {
	a, r := h.requestJobAnswer(ctx, func(token uint64) any {
		if req.Operation == opCancel {
			return control.CancelJob{Token: token, Team: req.Team, ID: req.Job}
		}
		return control.Query{Token: token, Team: req.Team, ID: req.Job}
	})
	if r != nil {
		return nil, r
	}
	return h.forwardToHolder(ctx, a, req)
}

// forwardToHolder returns the answer or, if another host holds the job,
// forwards the request to that host. During a takeover, hosts may each name
// the other as the holder; maxHops then ends the forwarding.
func (h *Host) forwardToHolder(ctx context.Context, a control.JobAnswer, req peer.JobRequest) (*job.Status, *refusal.Refusal) {
	if a.Holder == "" {
		return a.Status, a.Refusal
	}
	if req.Hops >= maxHops {
		return nil, refusal.New(refusal.NotReady, "the job is being taken over by another host").WithRetryAfter(time.Second)
	}
	req.Hops++
	var st job.Status
	if r := h.askPeer(ctx, a.Holder, req, &st); r != nil {
		return nil, r
	}
	return &st, nil
}

// listLocalJobs returns a team's jobs that this host holds.
func (h *Host) listLocalJobs(ctx context.Context, team string) ([]job.Status, *refusal.Refusal) {
	a, r := h.requestJobAnswer(ctx, func(token uint64) any { return control.Query{Token: token, Team: team} })
	return a.List, r
}

// forwardedOutcomes returns the outcomes of the tasks that a session forwarded
// to this host.
func (h *Host) forwardedOutcomes(ctx context.Context, session string) ([]storage.Outcome, *refusal.Refusal) {
	token := h.lastToken.Add(1)
	value, err := h.await(ctx, token, control.QueryForwarded{Token: token, Session: session})
	if err != nil {
		return nil, asRefusal(err)
	}
	return value.(control.ForwardedOutcomes).Ended, nil
}

// localOutcomes answers another host's query for the outcomes of tasks that ran
// on the workers of this host.
func (h *Host) localOutcomes(ctx context.Context, body []byte) (any, *refusal.Refusal) {
	var q control.OutcomeQuery
	if err := json.Unmarshal(body, &q); err != nil {
		return nil, refusal.New(refusal.BadRequest, "decode query: %v", err)
	}
	token := h.lastToken.Add(1)
	value, err := h.await(ctx, token, control.QueryOutcomes{Token: token, Query: q})
	if err != nil {
		return nil, asRefusal(err)
	}
	return value, nil
}

// askPeer sends a request to the host at addr and decodes the reply into out.
func (h *Host) askPeer(ctx context.Context, addr string, req peer.JobRequest, out any) *refusal.Refusal {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	reply, err := h.pool.Ask(ctx, addr, req)
	if errors.Is(err, peer.ErrUnreachable) {
		return refusal.New(refusal.NotReady, "the host that holds the job is unreachable").WithRetryAfter(time.Second)
	}
	if errors.Is(err, peer.ErrUnsendable) {
		return refusal.New(refusal.TooLarge, "the request cannot be sent to another host: %v", err)
	}
	if err != nil {
		return refusal.New(refusal.OutcomeLost, "the host that holds the job did not answer: %v", err).WithRetryAfter(time.Second)
	}
	if len(reply.Refusal) > 0 {
		var r refusal.Refusal
		if json.Unmarshal(reply.Refusal, &r) != nil {
			return refusal.New(refusal.OutcomeLost, "the reply of the host that holds the job cannot be decoded")
		}
		return &r
	}
	if err := json.Unmarshal(reply.Data, out); err != nil {
		return refusal.New(refusal.OutcomeLost, "decode reply: %v", err)
	}
	return nil
}

// queryJobs returns the status of one job or, if id is empty, of all jobs of
// the team in every zone.
func (h *Host) queryJobs(ctx context.Context, team, id string) ([]job.Status, *refusal.Refusal) {
	if id == "" {
		return h.listJobsOfAllHosts(ctx, team)
	}
	st, r := h.handleInAnyZone(ctx, peer.JobRequest{Operation: opStatus, Team: team, Job: id})
	if r != nil {
		return nil, r
	}
	return []job.Status{*st}, nil
}

// cancelJob cancels a job of any zone and returns its status.
func (h *Host) cancelJob(ctx context.Context, team, id string) (*job.Status, *refusal.Refusal) {
	return h.handleInAnyZone(ctx, peer.JobRequest{Operation: opCancel, Team: team, Job: id})
}

// handleInAnyZone answers a status request or carries out a cancellation for a
// job of any zone.
func (h *Host) handleInAnyZone(ctx context.Context, req peer.JobRequest) (*job.Status, *refusal.Refusal) {
	addr, r := h.holderInOtherZone(ctx, req.Job)
	if r != nil {
		return nil, r
	}
	if addr == "" {
		return h.handleInOwnZone(ctx, req)
	}
	return h.forwardToHolder(ctx, control.JobAnswer{Holder: addr}, req)
}

// holderInOtherZone returns the peer address of the host that holds a job of
// another availability zone, or "" if the job is of this zone.
func (h *Host) holderInOtherZone(ctx context.Context, id string) (string, *refusal.Refusal) {
	zone, session, ok := control.SplitJobID(id)
	if !ok {
		return "", refusal.New(refusal.NotFound, "%q is not a job id", id)
	}
	if zone == h.Settings.Zone {
		return "", nil
	}
	// Follow up to 64 takeovers to the session that holds the job now.
	for range 64 {
		row, err := h.platform.Get(ctx, control.SessionKey(zone, session))
		if errors.Is(err, storage.ErrMissing) {
			return "", refusal.New(refusal.NotFound, "job %q does not exist", id)
		}
		var s control.SessionRow
		if err != nil || json.Unmarshal(row.Value, &s) != nil {
			return "", refusal.New(refusal.TableUnavailable, "the host that holds the job cannot be looked up now").WithRetryAfter(time.Second)
		}
		if s.Holder == "" {
			return s.PeerAddr, nil
		}
		session = s.Holder
	}
	return "", refusal.New(refusal.NotFound, "job %q does not exist", id)
}

// listJobsOfAllHosts returns a team's jobs from every entry host, newest first.
// It leaves out the jobs of hosts that do not answer.
func (h *Host) listJobsOfAllHosts(ctx context.Context, team string) ([]job.Status, *refusal.Refusal) {
	all, r := h.listLocalJobs(ctx, team)
	if r != nil {
		return nil, r
	}
	hosts, r := h.readHosts(ctx)
	if r != nil {
		return nil, r
	}
	for _, other := range hosts {
		if other.Session == h.session {
			continue
		}
		var list []job.Status
		if r := h.askPeer(ctx, other.PeerAddr, peer.JobRequest{Operation: opList, Team: team}, &list); r == nil {
			all = append(all, list...)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Accepted.After(all[j].Accepted) })
	return all, nil
}
