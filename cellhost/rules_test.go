package cellhost

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/cell"
	"github.com/cowslipgap/cowslipgap/evacuation"
	"github.com/cowslipgap/cowslipgap/ruleset"
)

// newFollower returns a host that follows the rules from a channel. A nil entry confirms
// those in force.
func newFollower(t *testing.T, bound time.Duration) (*Host, chan<- *ruleset.Rules) {
	answers := make(chan *ruleset.Rules)
	h := &Host{Session: "me", Name: "me", Log: slog.New(slog.DiscardHandler), EvacuationBound: bound}
	h.FollowRules = func(ctx context.Context) (*ruleset.Rules, error) {
		select {
		case rules := <-answers:
			return rules, nil
		case <-time.After(3 * time.Second):
			return nil, errors.New("no answer")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	h.init()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go h.followRules(ctx)
	return h, answers
}

// TestRequestsApplyWithoutANewVersion changes the operators' requests while the version
// of the configuration stays the same, or an older one is read.
func TestRequestsApplyWithoutANewVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, answers := newFollower(t, 5*time.Second)
		teams := map[string]cell.Team{"t": {Rate: 1}}
		answers <- &ruleset.Rules{Version: 7, Teams: teams}
		require.Empty(t, (<-h.events).(cell.Policy).Evacuated.Zones())
		answers <- &ruleset.Rules{Version: 7, Teams: teams, Evacuated: evacuation.New("a")}
		policy := (<-h.events).(cell.Policy)
		require.True(t, policy.Evacuated.Covers("a"))
		require.Equal(t, teams, policy.Teams)
		answers <- nil
		require.IsType(t, cell.PolicyConfirmed{}, <-h.events)
		answers <- &ruleset.Rules{Version: 6}
		policy = (<-h.events).(cell.Policy)
		require.Empty(t, policy.Evacuated.Zones(), "taken back")
		require.Equal(t, teams, policy.Teams, "an older version is not put in force")
		synctest.Wait()
		require.EqualValues(t, 7, h.Rules().Version)
	})
}

// TestHostWithOldRequestsTakesNoCell lets the reading of the requests hang: the host must
// not claim a cell, and an owner gives it up if the store accepts its commits.
func TestHostWithOldRequestsTakesNoCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, answers := newFollower(t, 5*time.Second)
		answers <- &ruleset.Rules{Version: 7}
		<-h.events
		vacant := HeadRow{Head: Head{Vacant: true}, Version: 3}
		require.True(t, h.mayClaim(vacant, time.Hour))
		f := &fakeStore{latency: 4 * time.Millisecond}
		h.Write = f.write
		f.head = HeadRow{Head: Head{Session: "me", Token: 5}, Version: 7}
		h.ownership.owner, h.ownership.isOwner = f.head, true
		go h.writeCommits(t.Context())
		k := ownershipKeeper{host: h}
		owned := func(d time.Duration) bool {
			for end := h.Now() + d; h.Now() < end; {
				h.ownership.confirmedAt = h.Now()
				k.handOverExpired(t.Context())
				time.Sleep(100 * time.Millisecond)
			}
			return h.ownership.owns()
		}
		require.True(t, owned(h.maxRequestsAge()+expiredBeforeHandOver/2))
		require.False(t, h.mayClaim(vacant, time.Hour))
		require.False(t, owned(expiredBeforeHandOver))
		f.mu.Lock()
		require.True(t, f.head.Vacant)
		f.mu.Unlock()
		time.Sleep(reclaimDelay)
		answers <- nil
		for range 3 {
			if _, ok := (<-h.events).(cell.PolicyConfirmed); ok {
				break
			}
		}
		require.True(t, h.mayClaim(vacant, time.Hour))
	})
}

// TestAnswerFromBeforeASuspensionIsOld suspends the process while an answer waits for it.
func TestAnswerFromBeforeASuspensionIsOld(t *testing.T) {
	h := &Host{Log: slog.New(slog.DiscardHandler), EvacuationBound: 5 * time.Second}
	now := time.Hour
	h.Now = func() cell.Instant { return now }
	h.init()
	h.enforce(t.Context(), &ruleset.Rules{Version: 1}, now)
	require.False(t, h.requestsExpired())
	sent := now
	now += 20 * time.Second
	h.enforce(t.Context(), nil, sent)
	require.True(t, h.requestsExpired())
}

// TestRelayedStartOfAnOldViewIsWithheld gives a relay a batch with a start that relies on
// requests read too long ago.
func TestRelayedStartOfAnOldViewIsWithheld(t *testing.T) {
	owner, _, relays := newRelayedOwner(t)
	command := testCommand(owner, "w1")
	command.NotAfter = owner.Now() - time.Millisecond
	owner.dispatch(t.Context(), "w1", cell.Start{Command: command, Task: "5c0e7a21d94b36f8.0.0.1", Run: 4097, Spec: "spec"})
	require.Equal(t, cell.Withheld, nextEvent(t, owner).(cell.Started).Failure)
	require.Zero(t, relays["r1"].count()+relays["r2"].count())
}
