package cellhost

import (
	"cmp"
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipgap/cowslipgap/cell"
	"github.com/cowslipgap/cowslipgap/pause"
	"github.com/cowslipgap/cowslipgap/peer"
	"github.com/cowslipgap/cowslipgap/workload"
)

const (
	// ownerWait is how long a call that certainly had no effect waits for the cell
	// to have an owner. A takeover takes about a second.
	ownerWait = 1500 * time.Millisecond
	// ownerRetryDelay is the time between two attempts to reach the owner.
	ownerRetryDelay = 40 * time.Millisecond
	// ownerTimeout bounds one attempt, so that a dead connection is detected while
	// the client still waits.
	ownerTimeout = 1200 * time.Millisecond
	// answerMargin is how long before the client's deadline a call is answered with
	// what is known by then. If a tenth of the time that the client waits is shorter,
	// that is used instead.
	answerMargin = 200 * time.Millisecond
	// retryAfter is the wait suggested to a client that does not submit a job if the
	// cell has no owner.
	retryAfter = time.Second
	// maxReadyAge is the age of the last sign of a working owner at which this host
	// starts to report that it is not ready for client calls.
	maxReadyAge = 2 * time.Second
)

// Outcome is the answer to a client call.
type Outcome struct {
	Verdict    cell.Verdict   `cbor:"1,keyasint"`
	State      workload.State `cbor:"2,keyasint,omitempty"`
	Count      int            `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration  `cbor:"4,keyasint,omitempty"`
	Reason     string         `cbor:"5,keyasint,omitempty"`
	// Unanswered reports that it is unknown whether the call took effect.
	Unanswered bool `cbor:"6,keyasint,omitempty"`
	// Unavailable reports that the call was refused because no owner could be
	// reached.
	Unavailable bool `cbor:"7,keyasint,omitempty"`
}

// Submit submits a job and returns once it is stored or refused.
func (h *Host) Submit(ctx context.Context, job *workload.Job) Outcome {
	start := h.Now()
	out := h.resolve(ctx, request{Kind: kindSubmit, Job: job, Zone: h.Zone})
	h.Counts.Submit.Observe(h.Now() - start)
	switch {
	case out.Unanswered:
		h.Counts.Unanswered.Add(1)
	case out.Verdict == cell.Accepted:
		h.Counts.Accepted.Add(1)
	default:
		h.Counts.Refused.Add(1)
	}
	return out
}

// Cancel cancels a job and returns once the cancellation is stored.
func (h *Host) Cancel(ctx context.Context, id string) Outcome {
	return h.resolve(ctx, request{Kind: kindCancel, ID: id})
}

// Query returns the state of a job. If the owner does not answer, the state is
// read from the store.
func (h *Host) Query(ctx context.Context, id string) Outcome {
	out := h.resolve(ctx, request{Kind: kindQuery, ID: id})
	if !out.Unanswered && out.Verdict != cell.Refused {
		return out
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	progress, found, err := h.LookUp(callCtx, id)
	switch {
	case err != nil:
		h.Log.Info("state unknown", "id", id, "owner", out.Reason, "error", err)
		return out
	case !found:
		return Outcome{Verdict: cell.Unknown}
	default:
		out := Outcome{Verdict: cell.Accepted, State: progress.State}
		if out.State == workload.Failed {
			out.Reason = progress.Reason
		}
		return out
	}
}

// CountQueued returns the number of jobs of a queue that have not started a task.
func (h *Host) CountQueued(ctx context.Context, queue string) Outcome {
	return h.resolve(ctx, request{Kind: kindCountQueued, ID: queue})
}

// Ready reports whether this host can serve client calls.
func (h *Host) Ready() bool {
	if h.Rules() == nil || h.leaving.Load() {
		return false
	}
	now := h.Now()
	h.ownership.mu.Lock()
	defer h.ownership.mu.Unlock()
	if h.ownership.isOwner {
		return now-h.ownership.confirmedAt < maxReadyAge
	}
	return h.ownership.ownerSeenAt > 0 && now-h.ownership.ownerSeenAt < maxReadyAge
}

// RulesAge returns the time since the store last confirmed that the rules in force
// are the newest.
func (h *Host) RulesAge() time.Duration { return h.Now() - cell.Instant(h.rulesConfirmedAt.Load()) }

// Leave makes Ready report false and hands the cell over to another host. Calls on
// open connections are still served.
func (h *Host) Leave(ctx context.Context) {
	h.leaving.Store(true)
	if h.ownership.owns() {
		h.resign(ctx)
	}
}

// resolve sends a request to the owner, on this or another host, and retries until
// it is answered. While the request certainly had no effect, resolve may refuse it.
// Once it may have taken effect, only an owner's answer can tell the result.
func (h *Host) resolve(ctx context.Context, r request) Outcome {
	start := h.Now()
	mayHaveEffect, failure := false, ""
	margin := answerMargin
	if deadline, ok := ctx.Deadline(); ok {
		margin = min(margin, time.Until(deadline)/10)
	}
	for {
		timeout := ownerTimeout
		if deadline, ok := ctx.Deadline(); ok {
			timeout = min(timeout, time.Until(deadline)-margin)
		}
		if timeout <= 0 || ctx.Err() != nil {
			return h.unresolved(r, mayHaveEffect, failure)
		}
		out, result := h.attempt(ctx, r, timeout)
		switch result {
		case answered:
			if mayHaveEffect && r.Kind == kindSubmit && (out.Verdict == cell.Refused || out.Verdict == cell.Malformed) {
				return h.unresolved(r, true, "") // an earlier attempt may still take effect
			}
			return out
		case effectUnknown:
			mayHaveEffect = true
		}
		maxWait := ownerWait
		if r.Kind == kindQuery || r.Kind == kindCountQueued {
			mayHaveEffect, maxWait = false, ownerWait/3 // a read has no effect and can be repeated
		}
		if !mayHaveEffect && h.Now()-start > maxWait {
			return h.unresolved(r, false, failure)
		}
		failure = cmp.Or(out.Reason, failure)
		pause.Sleep(ctx, ownerRetryDelay)
	}
}

// unresolved returns the Outcome of a request that no owner has answered; failure says why the
// last attempt failed, if that is known. Callers whose jobs are refused return spread in time,
// the later the longer no owner has answered.
func (h *Host) unresolved(r request, mayHaveEffect bool, failure string) Outcome {
	reason := func(text string) string { return strings.TrimSuffix(text+": "+failure, ": ") }
	if mayHaveEffect {
		return Outcome{Unanswered: true, Reason: reason("the owner's answer was lost")}
	}
	wait := retryAfter
	if r.Job != nil {
		wait = cell.OutageDelay(r.Job, h.ownerlessFor(), 0)
	}
	return Outcome{Verdict: cell.Refused, Unavailable: true, RetryAfter: wait, Reason: reason("the cell has no owner in reach")}
}

// ownerlessFor returns the time since this host last saw a working owner, itself or
// another, or since its start.
func (h *Host) ownerlessFor() time.Duration {
	now := h.Now()
	h.ownership.mu.Lock()
	defer h.ownership.mu.Unlock()
	return now - max(h.ownership.confirmedAt, h.ownership.ownerSeenAt)
}

// attemptResult is the result of one attempt to reach the owner.
type attemptResult int

const (
	answered      attemptResult = iota
	noEffect                    // the request certainly had no effect
	effectUnknown               // the request may have taken effect
)

// attempt sends a request to the owner once.
func (h *Host) attempt(ctx context.Context, r request, timeout time.Duration) (Outcome, attemptResult) {
	owner, isOwner := h.ownership.currentOwner()
	if isOwner {
		return h.attemptLocally(ctx, r, timeout)
	}
	if owner.Addr == "" || owner.Session == h.Session {
		return Outcome{}, noEffect
	}
	if r.Forwarded {
		return Outcome{Verdict: cell.NotOwner}, answered
	}
	r.Forwarded, r.Timeout = true, timeout
	out, err := h.callPeer(ctx, owner.Addr, r, timeout)
	switch {
	case errors.Is(err, peer.ErrUnsendable):
		return Outcome{Verdict: cell.Malformed, Reason: err.Error()}, answered
	case errors.Is(err, peer.ErrUnreachable):
		h.doubtOwner()
		return Outcome{Reason: err.Error()}, noEffect
	case err != nil:
		h.doubtOwner()
		return Outcome{Reason: err.Error()}, effectUnknown
	case out.Outcome.Verdict == cell.NotOwner && !out.Outcome.Unanswered:
		h.doubtOwner()
		return Outcome{}, noEffect
	case out.Outcome.Unanswered:
		return Outcome{}, effectUnknown
	}
	return out.Outcome, answered
}

// attemptLocally sends a request to the cell of this host.
func (h *Host) attemptLocally(ctx context.Context, r request, timeout time.Duration) (Outcome, attemptResult) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	call := pendingCall{id: h.nextID.Add(1), answer: make(chan cell.Answer, 1)}
	switch r.Kind {
	case kindSubmit:
		size := int64(r.Job.MaxSize())
		if h.JobBytes > 0 {
			size = min(size, h.JobBytes)
		}
		if !h.waitingJobs.TryAcquire(size) {
			h.Counts.TurnedAway.Add(1)
			return Outcome{Verdict: cell.Refused, Unavailable: true, RetryAfter: cell.OutageDelay(r.Job, 0, 0), Reason: "too many jobs wait for an answer"}, answered
		}
		defer h.waitingJobs.Release(size)
		call.event = cell.Submit{Reply: call.id, Job: r.Job, Zone: r.Zone}
	case kindCancel:
		call.event = cell.Cancel{Reply: call.id, ID: r.ID}
	case kindQuery:
		call.event = cell.Query{Reply: call.id, ID: r.ID}
	case kindCountQueued:
		call.event = cell.CountQueued{Reply: call.id, Queue: r.ID}
	}
	select {
	case h.events <- call:
	case <-ctx.Done():
		return Outcome{}, noEffect
	}
	select {
	case a := <-call.answer:
		out := Outcome{Verdict: a.Verdict, State: a.State, Count: a.Count, RetryAfter: a.RetryAfter, Reason: a.Reason}
		out.Unanswered = a.Verdict == cell.Lost
		switch {
		case a.Verdict == cell.Unknown && !h.ownership.certainlyOwns(h.Now()):
			return Outcome{}, noEffect // another owner may have accepted the job
		case r.Forwarded:
			return out, answered
		case out.Unanswered:
			return out, effectUnknown
		case a.Verdict == cell.NotOwner:
			return out, noEffect
		}
		return out, answered
	case <-ctx.Done():
		if r.Forwarded {
			return Outcome{Unanswered: true}, answered
		}
		return Outcome{}, effectUnknown
	}
}
