package cellhost

import (
	"time"

	"github.com/cowslipgap/cowslipgap/cell"
)

const (
	// minEventInterval is the shortest time between two placement rounds, and between
	// two flushes.
	minEventInterval = 5 * time.Millisecond
	// roundIntervalFactor bounds the share of time spent in placement rounds. The time
	// between the starts of two rounds is at least this many times the duration of
	// the first, so that clients are still answered when many steps wait.
	roundIntervalFactor = 4
	// maxRoundDelay bounds the time between the end of a round and the next one, and
	// overrides roundIntervalFactor. A round also appears long if the host was
	// suspended during it, and work that only rounds do, such as resending stops,
	// must not wait for seconds.
	maxRoundDelay = 500 * time.Millisecond
	// idleRoundInterval is the time between placement rounds when no event arrives.
	idleRoundInterval = 20 * time.Millisecond
)

// eventSchedule holds the times at which the cell's next placement round and its next
// flush are due. The duration of a round grows with the number of waiting steps,
// that of a flush does not, so flushes continue between rounds that are far apart.
type eventSchedule struct {
	nextRound cell.Instant
	nextFlush cell.Instant
}

// dueEvent returns the event that is due, or nil.
func (s *eventSchedule) dueEvent(now cell.Instant) any {
	switch {
	case now >= s.nextRound:
		return cell.PlacementRound{}
	case now >= s.nextFlush:
		return cell.Flush{}
	default:
		return nil
	}
}

// nextDue returns the time at which the next event is due.
func (s *eventSchedule) nextDue() cell.Instant { return min(s.nextRound, s.nextFlush) }

// applied records that an event was applied between the given times. A round includes
// a flush.
func (s *eventSchedule) applied(event any, started, ended cell.Instant) {
	if _, isRound := event.(cell.PlacementRound); isRound {
		s.nextRound = started + max(minEventInterval, min(roundIntervalFactor*(ended-started), ended-started+maxRoundDelay))
	}
	s.nextFlush = ended + minEventInterval
}
