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

// acceptTimeout is how long a caller waits for a job to be accepted before it is
// told that the outcome is unknown.
const acceptTimeout = 10 * time.Second

// maxHops is how often a question about a job is passed on: to its zone, and
// there to the host that keeps it.
const maxHops = 2

// submit runs a caller's request and waits for its answer.
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
		return storage.Outcome{}, "", refusal.New(refusal.OutcomeLost, "it started and ended as %s", a.Outcome.End)
	}
	return *a.Outcome, a.Worker, nil
}

func asRefusal(err error) *refusal.Refusal {
	var r *refusal.Refusal
	if errors.As(err, &r) {
		return r
	}
	return refusal.New(refusal.OutcomeLost, "%v", err)
}

// submitJob accepts a job here, or at a sibling that can run it where this host
// cannot.
func (h *Host) submitJob(ctx context.Context, j job.Job, hash string) (string, *refusal.Refusal) {
	a, r := h.submitHere(ctx, order{j, hash}, false)
	return a, r
}

func (h *Host) submitHere(ctx context.Context, o order, final bool) (string, *refusal.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	a, r := h.ask(ctx, func(token uint64) any {
		return control.SubmitJob{Token: token, Job: o.Job, Hash: o.Hash, Final: final}
	})
	if r != nil {
		return "", r
	}
	if a.Holder == "" {
		return a.ID, a.Refusal
	}
	body, err := json.Marshal(o)
	if err != nil {
		return "", refusal.New(refusal.BadRequest, "encode job: %v", err)
	}
	var id string
	r = h.askPeer(ctx, a.Holder, peer.Question{Verb: verbSubmit, Body: body}, &id)
	return id, r
}

// ask sends an event that a JobAnswer answers.
func (h *Host) ask(ctx context.Context, build func(token uint64) any) (control.JobAnswer, *refusal.Refusal) {
	token := h.tokens.Add(1)
	value, err := h.await(ctx, token, build(token))
	if err != nil {
		return control.JobAnswer{}, asRefusal(err)
	}
	return value.(control.JobAnswer), nil
}

// inZone answers a status question or a cancellation for a job of this zone.
func (h *Host) inZone(ctx context.Context, q peer.Question) (*job.Status, *refusal.Refusal) {
	a, r := h.ask(ctx, func(token uint64) any {
		if q.Verb == verbCancel {
			return control.CancelJob{Token: token, Team: q.Team, ID: q.Job}
		}
		return control.Query{Token: token, Team: q.Team, ID: q.Job}
	})
	if r != nil {
		return nil, r
	}
	return h.follow(ctx, a, q)
}

// follow passes the question on to the host that keeps the job, if it is not
// this one. While jobs move, hosts may take each other for the keeper.
func (h *Host) follow(ctx context.Context, a control.JobAnswer, q peer.Question) (*job.Status, *refusal.Refusal) {
	if a.Holder == "" {
		return a.Status, a.Refusal
	}
	if q.Hops >= maxHops {
		return nil, refusal.New(refusal.NotReady, "the job moves between hosts").After(time.Second)
	}
	q.Hops++
	var st job.Status
	if r := h.askPeer(ctx, a.Holder, q, &st); r != nil {
		return nil, r
	}
	return &st, nil
}

func (h *Host) listLocal(ctx context.Context, team string) ([]job.Status, *refusal.Refusal) {
	a, r := h.ask(ctx, func(token uint64) any { return control.Query{Token: token, Team: team} })
	return a.List, r
}

// endedLocal returns the outcomes of tasks that a session forwarded here.
func (h *Host) endedLocal(ctx context.Context, session string) ([]storage.Outcome, *refusal.Refusal) {
	token := h.tokens.Add(1)
	value, err := h.await(ctx, token, control.QueryEnded{Token: token, Session: session})
	if err != nil {
		return nil, asRefusal(err)
	}
	return value.(control.EndedAnswer).Ended, nil
}

// endsLocal answers another host's question about ends at workers.
func (h *Host) endsLocal(ctx context.Context, body []byte) (any, *refusal.Refusal) {
	var q control.EndsQuestion
	if err := json.Unmarshal(body, &q); err != nil {
		return nil, refusal.New(refusal.BadRequest, "decode question: %v", err)
	}
	token := h.tokens.Add(1)
	value, err := h.await(ctx, token, control.QueryEnds{Token: token, Question: q})
	if err != nil {
		return nil, asRefusal(err)
	}
	return value, nil
}

func (h *Host) askPeer(ctx context.Context, addr string, q peer.Question, out any) *refusal.Refusal {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	reply, err := h.pool.Ask(ctx, addr, q)
	if errors.Is(err, peer.ErrUnreachable) {
		return refusal.New(refusal.NotReady, "the host that keeps the job is out of reach").After(time.Second)
	}
	if err != nil {
		return refusal.New(refusal.OutcomeLost, "the host that keeps the job did not answer: %v", err).After(time.Second)
	}
	if len(reply.Refusal) > 0 {
		var r refusal.Refusal
		if json.Unmarshal(reply.Refusal, &r) != nil {
			return refusal.New(refusal.OutcomeLost, "the host that keeps the job answered what cannot be read")
		}
		return &r
	}
	if err := json.Unmarshal(reply.Data, out); err != nil {
		return refusal.New(refusal.OutcomeLost, "decode reply: %v", err)
	}
	return nil
}

// queryJobs reads one job, or all of the team's jobs in every zone if id is
// empty.
func (h *Host) queryJobs(ctx context.Context, team, id string) ([]job.Status, *refusal.Refusal) {
	if id == "" {
		return h.listEverywhere(ctx, team)
	}
	st, r := h.anywhere(ctx, peer.Question{Verb: verbStatus, Team: team, Job: id})
	if r != nil {
		return nil, r
	}
	return []job.Status{*st}, nil
}

func (h *Host) cancelJob(ctx context.Context, team, id string) (*job.Status, *refusal.Refusal) {
	return h.anywhere(ctx, peer.Question{Verb: verbCancel, Team: team, Job: id})
}

// anywhere answers a status question or a cancellation for a job of any zone.
func (h *Host) anywhere(ctx context.Context, q peer.Question) (*job.Status, *refusal.Refusal) {
	addr, r := h.otherZone(ctx, q.Job)
	if r != nil {
		return nil, r
	}
	if addr == "" {
		return h.inZone(ctx, q)
	}
	return h.follow(ctx, control.JobAnswer{Holder: addr}, q)
}

// otherZone returns the peer address of the host that keeps a job of another
// availability zone, or "" if the job is of this one.
func (h *Host) otherZone(ctx context.Context, id string) (string, *refusal.Refusal) {
	zone, session, ok := control.SplitJobID(id)
	if !ok {
		return "", refusal.New(refusal.NotFound, "%q is not the id of a job", id)
	}
	if zone == h.Settings.Zone {
		return "", nil
	}
	for range 64 {
		row, err := h.platform.Get(ctx, control.SessionKey(zone, session))
		if errors.Is(err, storage.ErrMissing) {
			return "", refusal.New(refusal.NotFound, "there is no job %q", id)
		}
		var s control.SessionRow
		if err != nil || json.Unmarshal(row.Value, &s) != nil {
			return "", refusal.New(refusal.TableUnavailable, "the host that keeps the job cannot be looked up now").After(time.Second)
		}
		if s.Holder == "" {
			return s.PeerAddr, nil
		}
		session = s.Holder
	}
	return "", refusal.New(refusal.NotFound, "there is no job %q", id)
}

// listEverywhere asks every entry host for a team's jobs.
func (h *Host) listEverywhere(ctx context.Context, team string) ([]job.Status, *refusal.Refusal) {
	all, r := h.listLocal(ctx, team)
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
		if r := h.askPeer(ctx, other.PeerAddr, peer.Question{Verb: verbList, Team: team}, &list); r == nil {
			all = append(all, list...)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Accepted.After(all[j].Accepted) })
	return all, nil
}
