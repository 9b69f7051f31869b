package cellhost

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/cell"
)

// TestLongRoundsDoNotDelayFlushes checks that flushes, which write commits and poll
// workers, stay frequent when placement rounds take long.
func TestLongRoundsDoNotDelayFlushes(t *testing.T) {
	const roundDuration = 50 * time.Millisecond
	var schedule eventSchedule
	rounds, longest, last := 0, time.Duration(0), cell.Instant(0)
	for now := cell.Instant(0); now < time.Second; now += time.Millisecond {
		event := schedule.dueEvent(now)
		if event == nil {
			continue
		}
		longest = max(longest, now-last)
		start := now
		if _, isRound := event.(cell.PlacementRound); isRound {
			rounds++
			now += roundDuration
		}
		schedule.applied(event, start, now)
		last = now
	}
	require.LessOrEqual(t, rounds, int(time.Second/(roundIntervalFactor*roundDuration)))
	require.LessOrEqual(t, longest, 2*minEventInterval)
}

// TestRoundFollowsSoonAfterSuspension checks that a host that was suspended during a
// placement round runs the next one soon.
func TestRoundFollowsSoonAfterSuspension(t *testing.T) {
	var schedule eventSchedule
	ended := 3 * time.Second
	schedule.applied(cell.PlacementRound{}, 0, ended)
	require.LessOrEqual(t, schedule.nextRound-ended, time.Second)
}

// TestFullEventQueueDoesNotDelayFlushes checks that a full event queue does not delay
// flushes, which write commits and poll workers.
func TestFullEventQueueDoesNotDelayFlushes(t *testing.T) {
	const eventCost = 20 * time.Microsecond // cost of refusing a job, with its log line
	now := cell.Instant(0)
	h := &Host{Log: slog.New(slog.DiscardHandler), Now: func() cell.Instant {
		now += eventCost / 2 // the clock is read twice per event
		return now
	}}
	h.init()
	for range eventQueueSize {
		h.events <- cell.Query{ID: "aa00000000000001"}
	}
	start := now
	h.drainEvents(t.Context(), cell.New(cell.Config{}), nil, start+minEventInterval)
	require.LessOrEqual(t, now-start, 2*minEventInterval)
	require.Less(t, len(h.events), eventQueueSize)
}
