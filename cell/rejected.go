package cell

import (
	"log/slog"
	"slices"
	"time"
)

const (
	// proofDelay is the wait before a part is tried again that the store has rejected alone, when
	// no other commit has been confirmed since: by then, one has been sent.
	proofDelay = 3 * maxCommitInterval / 2
	// heldDelay is the wait before a part that could not be stored is tried again, at first.
	heldDelay = time.Second
	// maxHeldDelay bounds that wait, which doubles with each try.
	maxHeldDelay = 30 * time.Second
)

// This file keeps a row that cannot be stored from holding up others. The store rejects a commit
// as a whole, so the parts of a rejected one are sent again in commits of half as many, until one
// is rejected alone, while others are confirmed. A job of which nothing is stored yet is then refused. What depends on other
// parts (starts, stops, answers and acknowledgements) waits until they are stored.

// rejections tracks what the store has rejected.
type rejections struct {
	mostParts   int     // parts that a commit may hold; 0: as many as fit, and other rows
	held        []*part // parts that could not be stored, until they are tried again
	rosterAfter Instant // the roster is not written before
}

// accepted lets the next commit be twice as large.
func (r *rejections) accepted() {
	if r.mostParts *= 2; r.mostParts > maxRows {
		r.mostParts = 0
	}
}

// handleCommitRejected queues the parts of a commit again that the store rejects.
func (c *Cell) handleCommitRejected(e CommitRejected) {
	commits := &c.commits
	p := commits.inFlight
	if p == nil || p.seq != e.Seq {
		return
	}
	commits.inFlight = nil
	c.emit(LogRecord{Level: slog.LevelError, Text: "commit rejected", Attrs: []slog.Attr{slog.Uint64("seq", p.seq), slog.Int("parts", len(p.parts)), slog.Bool("roster", p.roster), slog.String("reason", e.Reason)}})
	c.learned.row, c.learned.handledAt = nil, c.now.Steady+learnedRefresh
	commits.drops = append(commits.drops, p.drops...)
	for _, write := range slices.Backward(p.parts) {
		c.requeue(write)
	}
	switch {
	case p.roster && len(p.parts) == 0:
		c.rosterRejected(e.Reason)
	case p.roster:
		commits.rosterDirty, commits.rejections.rosterAfter = true, c.now.Steady+heldDelay
		commits.rejections.mostParts = max(1, len(p.parts)/2)
	case p.partsOnly && len(p.parts) == 1:
		alone := slices.Clone(commits.dirty[:1+len(p.parts[0].added)])
		commits.dirty = slices.Delete(commits.dirty, 0, len(alone))
		for _, part := range slices.Backward(alone) {
			if commits.confirmedAt > part.rejectedAt {
				c.cannotStore(part, e.Reason)
			} else {
				c.hold(part, proofDelay) // the store may reject everything at present
			}
		}
	default:
		commits.rejections.mostParts = max(1, len(p.parts)/2)
	}
}

// rosterRejected writes the roster again later. Until then, new workers get no work.
func (c *Cell) rosterRejected(reason string) {
	c.emit(LogRecord{Level: slog.LevelError, Text: "roster not stored", Attrs: []slog.Attr{slog.String("reason", reason)}})
	c.commits.rosterDirty, c.commits.rejections.rosterAfter = true, c.now.Steady+maxHeldDelay
}

// requeue puts a part that was not stored first in the queue, as it was when it was taken.
func (c *Cell) requeue(write partWrite) {
	commits, p := &c.commits, write.part
	j := p.job
	again := append([]*part{p}, write.added...)
	commits.dirty = slices.DeleteFunc(commits.dirty, func(q *part) bool { return slices.Contains(again, q) })
	commits.dirty = slices.Insert(commits.dirty, 0, again...)
	for _, q := range again {
		q.dirty, q.mark = true, write.mark
		if q.rejectedAt == 0 {
			q.rejectedAt = c.now.Steady
		}
	}
	p.evicted = slices.Concat(write.evicted, p.evicted)
	if p != &j.main {
		return
	}
	j.acceptReplies = slices.Concat(write.accepts, j.acceptReplies)
	j.cancelReplies = slices.Concat(write.cancels, j.cancelReplies)
	j.storing = j.storing && !write.specs
	if j.deleted && write.state.Final() {
		j.deleted = false
		commits.drops = slices.DeleteFunc(commits.drops, func(row Row) bool {
			id, _, err := parseRowKey(row.Key)
			return err == nil && id == j.id
		})
	}
}

// cannotStore handles a part that the store rejects alone, or that cannot be encoded. A job of
// which nothing is stored is refused. Another part is tried again later, as it may change.
func (c *Cell) cannotStore(p *part, reason string) {
	j := p.job
	c.emit(LogRecord{Level: slog.LevelError, Text: "cannot be stored", Attrs: []slog.Attr{slog.String("id", j.id), slog.Int("first", p.first), slog.Duration("retry", p.nextDelay()), slog.String("reason", reason)}})
	if p == &j.main && !j.stored && !j.storing && j.spec != nil {
		c.refuseUnstorable(j, reason)
		return
	}
	p.heldFor = p.nextDelay()
	c.hold(p, p.heldFor)
}

// hold keeps a part out of the commits for some time.
func (c *Cell) hold(p *part, wait time.Duration) {
	p.heldUntil = c.now.Steady + wait
	c.commits.rejections.held = append(c.commits.rejections.held, p)
}

func (p *part) nextDelay() time.Duration { return min(max(2*p.heldFor, heldDelay), maxHeldDelay) }

// retryHeld queues the parts again that are to be tried now, before all others: results that wait
// for them are older.
func (c *Cell) retryHeld() {
	r := &c.commits.rejections
	if len(r.held) == 0 {
		return
	}
	due := func(p *part) bool { return p.heldUntil <= c.now.Steady }
	for _, p := range r.held {
		if due(p) {
			c.commits.dirty = slices.Insert(c.commits.dirty, 0, p)
			r.mostParts = 1
		}
	}
	r.held = slices.DeleteFunc(r.held, due)
}

// refuseUnstorable refuses a job whose specification the store rejects. None of its tasks has
// started.
func (c *Cell) refuseUnstorable(j *job, reason string) {
	for _, reply := range j.acceptReplies {
		c.emit(Answer{Reply: reply, Verdict: Malformed, Reason: "it cannot be stored: " + reason})
	}
	for _, reply := range j.cancelReplies {
		c.emit(Answer{Reply: reply, Verdict: Unknown})
	}
	c.stopJob(j)
	ofJob := func(p *part) bool { return p.job == j }
	c.commits.dirty = slices.DeleteFunc(c.commits.dirty, ofJob)
	c.commits.rejections.held = slices.DeleteFunc(c.commits.rejections.held, ofJob)
	c.forgetUnsent(j)
}
