package station

import (
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
