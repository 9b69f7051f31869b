package station

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/cell"
)

// Commits and looks must not become rare when rounds of placement take long.
func TestLongRoundsDoNotDelayCommits(t *testing.T) {
	const round = 50 * time.Millisecond
	var due pace
	rounds, longest, last := 0, time.Duration(0), cell.Instant(0)
	for now := cell.Instant(0); now < time.Second; now += time.Millisecond {
		event := due.event(now)
		if event == nil {
			continue
		}
		longest = max(longest, now-last)
		began := now
		if _, isRound := event.(cell.Pump); isRound {
			rounds++
			now += round
		}
		due.done(event, began, now)
		last = now
	}
	require.LessOrEqual(t, rounds, int(time.Second/(pumpShare*round)))
	require.LessOrEqual(t, longest, 2*pumpGap)
}

// A host that was suspended in a round must place again soon.
func TestSuspendedRoundIsNotPaidFor(t *testing.T) {
	var due pace
	ended := 3 * time.Second
	due.done(cell.Pump{}, 0, ended)
	require.LessOrEqual(t, due.round-ended, time.Second)
}

// A queue that is full must not hold up commits and looks either.
func TestLongQueueDoesNotDelayCommits(t *testing.T) {
	const event = 20 * time.Microsecond // a job that is refused, with its log line
	now := cell.Instant(0)
	s := &Station{Log: slog.New(slog.DiscardHandler), Now: func() cell.Instant {
		now += event / 2 // it is read for each event and after it
		return now
	}}
	s.init()
	for range eventQueue {
		s.events <- cell.Query{ID: "aa00000000000001"}
	}
	began := now
	s.drainEvents(t.Context(), cell.New(cell.Config{}), nil, began+pumpGap)
	require.LessOrEqual(t, now-began, 2*pumpGap)
	require.Less(t, len(s.events), eventQueue)
}
