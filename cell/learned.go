package cell

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"github.com/cowslipgap/cowslipgap/digest"
	"github.com/cowslipgap/cowslipgap/promise"
)

// This file hands on what the owner has learned. It answers the load of a takeover in a
// burst: without it, the successor takes all workers for alike and all estimates for right,
// and knows none of the callers who were told to come back.

const (
	// LearnedKey is the key of the row of learned state.
	LearnedKey = "state"
	// learnedInterval is the minimum time between two rows of learned state.
	learnedInterval = 2 * time.Second
	// learnedRefresh is the time after which an unchanged state is written again, so that
	// its age shows that it still holds.
	learnedRefresh = 20 * time.Second
	// maxLearnedAge is the age up to which learned state is trusted. Later, the load and
	// the fleet may be others, and only callers are remembered while their jobs can be of
	// use.
	maxLearnedAge = time.Minute
	// maxClockAhead is how far the clock of the host that wrote the state may be ahead.
	maxClockAhead = 5 * time.Second
)

// learnedState tracks the row of learned state, and holds what of an earlier owner's is not
// in use yet.
type learnedState struct {
	handledAt Instant            // when the state was last encoded
	writtenAt Instant            // when it was last queued for a commit
	row       []byte             // as last queued for a commit
	speeds    map[uint32]float64 // of workers whose incarnation is not known yet
	until     Instant            // when these lapse
	restored  int                // speeds taken over
}

// learnedRow returns the row of learned state if it is due in the next commit.
func (c *Cell) learnedRow() (Row, bool) {
	l := &c.learned
	if c.now.Steady-l.handledAt < learnedInterval {
		return Row{}, false
	}
	l.handledAt = c.now.Steady
	state := c.learnedState()
	if state.Empty() {
		return Row{}, false
	}
	value, err := state.Encode(c.now.Wall)
	if err != nil {
		c.emit(LogRecord{Level: slog.LevelError, Text: "learned state not stored", Attrs: []slog.Attr{slog.Any("error", err)}})
		return Row{}, false // nothing depends on it
	}
	row := Row{Table: Learned, Key: LearnedKey, Value: value}
	if c.now.Steady-l.writtenAt < learnedRefresh && digest.Same(row.Value, l.row) {
		return Row{}, false
	}
	l.writtenAt, l.row = c.now.Steady, row.Value
	return row, true
}

// learnedState returns what a successor can use of the owner's memory. Run times are handed
// on only with a heavy tail, which a successor takes long to see.
func (c *Cell) learnedState() *digest.State {
	state := &digest.State{Speeds: map[uint32]float64{}, Queues: map[string]digest.Queue{}, Callers: c.promises.Snapshot(c.now.Steady), Limit: c.maxRowBytes()}
	for _, w := range c.sortedWorkers {
		if factor, known := w.speed.Value(); known && w.listed && w.StartedAt > 0 {
			state.Speeds[digest.WorkerKey(w.ID, w.StartedAt)] = factor
		}
	}
	for name, stats := range c.statsByQueue {
		q := digest.Queue{}
		if stats.runs.HeavyTail() {
			q.Runs, q.Peers = stats.runs.Sample(), stats.peers.Sample()
		}
		if stats.adviceSamples > 0 {
			q.Eligible = stats.eligibleShare
		}
		if len(q.Runs) > 0 || q.Eligible > 0 {
			state.Queues[name] = q
		}
	}
	c.shares.Advance(c.shareClock())
	state.Shares = c.shares.Averages()
	return state
}

// restoreLearned takes over what the last owner had learned. Its age is taken from the clocks
// of two hosts, as that of jobs is.
func (c *Cell) restoreLearned(e Claimed) {
	c.learned.handledAt, c.learned.writtenAt = c.now.Steady, c.now.Steady
	if len(e.Learned) == 0 {
		if e.Previous || e.LearnedFailure != "" {
			c.logLearnedUnused(cmp.Or(e.LearnedFailure, "none stored"), 0)
		}
		return
	}
	state, writtenAt, err := digest.Decode(e.Learned)
	age := c.now.Wall.Sub(writtenAt)
	switch {
	case err != nil:
		c.logLearnedUnused(err.Error(), age)
		return
	case age < -maxClockAhead:
		c.logLearnedUnused("of a later time", age)
		return
	case age > maxLearnedAge:
		useless := func(caller promise.Caller) bool { return caller.LastUse <= age }
		state = &digest.State{Callers: slices.DeleteFunc(state.Callers, useless)}
		if state.Empty() {
			c.logLearnedUnused("too old", age)
			return
		}
	}
	age = max(0, age)
	c.learned.speeds, c.learned.until = state.Speeds, c.now.Steady+maxLearnedAge-age
	for name, q := range state.Queues {
		stats := c.queueStats(name)
		stats.runs.Restore(q.Runs)
		stats.peers.Restore(q.Peers)
		if q.Eligible > 0 {
			stats.eligibleShare = max(q.Eligible, minEligibleShare)
			stats.adviceSamples = max(stats.adviceSamples, maxAdviceSamples/2) // the next answers count twice as much as usual
		}
	}
	c.shares.Advance(c.shareClock())
	for team, average := range state.Shares {
		c.shares.RestoreAverage(team, average, age)
	}
	c.promises.Restore(state.Callers, c.now.Steady, age)
	c.logInfo("learned state restored", slog.Duration("age", age), slog.Int("speeds", len(state.Speeds)), slog.Int("queues", len(state.Queues)), slog.Int("teams", len(state.Shares)), slog.Int("callers", len(state.Callers)))
}

// restoreSpeed takes over the speed of a worker that has not restarted since it was
// learned.
func (c *Cell) restoreSpeed(w *worker) {
	l := &c.learned
	if len(l.speeds) == 0 || w.StartedAt == 0 {
		return
	}
	if c.now.Steady > l.until {
		l.speeds = nil
		return
	}
	key := digest.WorkerKey(w.ID, w.StartedAt)
	factor, known := l.speeds[key]
	if !known {
		return
	}
	delete(l.speeds, key)
	if _, known := w.speed.Value(); !known {
		w.speed.Restore(factor)
		l.restored++
	}
}

func (c *Cell) logLearnedUnused(reason string, age time.Duration) {
	c.logInfo("learned state not used", slog.String("reason", reason), slog.Duration("age", age))
}
