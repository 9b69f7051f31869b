package cellhost

import (
	"context"
	"time"

	"github.com/cowslipgap/cowslipgap/cell"
	"github.com/cowslipgap/cowslipgap/evacuation"
	"github.com/cowslipgap/cowslipgap/pause"
	"github.com/cowslipgap/cowslipgap/ruleset"
)

// This file follows the operators' rules and requests.

const (
	// startDelay is the longest time from the cell's decision on a start until it reaches
	// the worker: the wait for a batch, the time after which it is not sent any more, and
	// the call itself.
	startDelay = relayInterval + 2*commandTimeout
	// maxFollowTime is the longest time that a call of FollowRules takes. One that takes
	// longer was interrupted by a suspension of this process, and its answer may be as old
	// as the call.
	maxFollowTime = 3500 * time.Millisecond
	// expiredBeforeHandOver is how long an owner that can commit but cannot read the
	// operators' requests keeps the cell. It is longer than a failed reading and its
	// repetition take.
	expiredBeforeHandOver = 2 * time.Second
)

// followRules puts each new version of the rules, and each change of the operators'
// requests, in force.
func (h *Host) followRules(ctx context.Context) {
	reachable := true
	for ctx.Err() == nil {
		sent := h.Now()
		rules, err := h.FollowRules(ctx)
		if err == nil || rules != nil {
			h.enforce(ctx, rules, sent)
		}
		if err != nil {
			if ctx.Err() == nil && reachable {
				h.Log.Warn("configuration cannot be read", "version", h.rulesVersion(), "error", err)
			}
			reachable = false
			pause.Sleep(ctx, rulesRetryDelay)
			continue
		}
		if !reachable {
			h.Log.Info("configuration can be read again", "version", h.rulesVersion())
		}
		reachable = true
		h.rulesConfirmedAt.Store(int64(h.Now()))
	}
}

// enforce puts rules in force that a call at the given time has read, unless they are
// nil, which confirms those in force, or older.
func (h *Host) enforce(ctx context.Context, rules *ruleset.Rules, sent cell.Instant) {
	readAt := h.Now()
	if readAt-sent > maxFollowTime {
		readAt = sent
	}
	h.requestsReadAt.Store(int64(readAt))
	current := h.Rules()
	switch {
	case rules == nil:
		h.post(ctx, cell.PolicyConfirmed{ReadAt: readAt})
		return
	case current == nil || rules.Version > current.Version:
		h.Log.Info("configuration in force", "version", rules.Version, "before", h.rulesVersion(), "queues", len(rules.Queues), "keys", len(rules.Keys))
	case rules.Evacuated.Equal(current.Evacuated):
		h.post(ctx, cell.PolicyConfirmed{ReadAt: readAt})
		return
	default: // only the requests have changed
		next := *current
		next.Evacuated = rules.Evacuated
		rules = &next
	}
	if current == nil || !rules.Evacuated.Equal(current.Evacuated) {
		h.Log.Info("requests in force", "evacuated", rules.Evacuated.Zones())
	}
	h.rules.Store(rules)
	policy := rules.Policy()
	policy.ReadAt = readAt
	h.post(ctx, policy)
}

// rulesVersion returns the version of the rules in force, or 0 if there are none.
func (h *Host) rulesVersion() int64 {
	if rules := h.Rules(); rules != nil {
		return rules.Version
	}
	return 0
}

// maxRequestsAge returns how old the last reading of the operators' requests may be when
// a start is decided on; 0 if their age does not matter.
func (h *Host) maxRequestsAge() time.Duration {
	return evacuation.MaxAge(h.EvacuationBound, startDelay)
}

// requestsExpired reports whether the operators' requests were read too long ago to
// start work.
func (h *Host) requestsExpired() bool {
	limit := h.maxRequestsAge()
	return limit > 0 && h.Now()-cell.Instant(h.requestsReadAt.Load()) > limit
}

// handOverExpired gives the cell up if this host has commits confirmed but has not been
// able to read the operators' requests for expiredBeforeHandOver: it may start nothing,
// and another host may.
func (k *ownershipKeeper) handOverExpired(ctx context.Context) {
	h := k.host
	if !h.requestsExpired() || h.ownership.commitsStalled(h.Now()) {
		k.expiredSince = 0
		return
	}
	if k.expiredSince == 0 {
		k.expiredSince = h.Now()
	}
	if h.Now()-k.expiredSince > expiredBeforeHandOver {
		k.expiredSince = 0
		h.Log.Warn("cell given up, operators' requests cannot be read")
		h.resign(ctx)
	}
}

// evacuatedZones returns the zones that operators request to send no work to.
func (h *Host) evacuatedZones() []string {
	if rules := h.Rules(); rules != nil {
		return rules.Evacuated.Zones()
	}
	return nil
}
