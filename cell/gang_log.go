package cell

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"
)

// gangWait is what a gang has waited for since its last run was broken.
type gangWait struct {
	since   Instant // 0: it does not wait for another run
	notedAt Instant
	why     string // what it has waited for since then
	times   map[string]time.Duration
}

// note records what the gang waits for from now on.
func (gw *gangWait) note(now Instant, why string) {
	if gw.since == 0 {
		return
	}
	if now > gw.notedAt {
		gw.times[gw.why] += now - gw.notedAt
	}
	gw.notedAt, gw.why = now, why
}

// String returns the times waited, longest first.
func (gw *gangWait) String() string {
	var list []string
	for why := range gw.times {
		list = append(list, why)
	}
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(gw.times[b], gw.times[a]), cmp.Compare(a, b))
	})
	for i, why := range list {
		list[i] = fmt.Sprintf("%s %v", why, gw.times[why].Round(time.Millisecond))
	}
	return strings.Join(list, ", ")
}

// noteBroken records that the run of a gang is broken.
func (c *Cell) noteBroken(s *step) {
	if s.spec.Gang && !s.done && s.broken.since == 0 {
		s.broken = gangWait{since: c.now.Steady, notedAt: c.now.Steady, why: "its members end", times: map[string]time.Duration{}}
	}
}

// noteGangWait records what a gang waits for after its run was broken.
func (c *Cell) noteGangWait(s *step, why string) {
	s.broken.note(c.now.Steady, why)
}

// noteMemberWait records which of its members' runs a gang waits for.
func (c *Cell) noteMemberWait(s *step) {
	if s.broken.since == 0 {
		return
	}
	why := "its members end"
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if r.w.failing {
				why = "a member's worker does not answer"
			}
		}
	}
	c.noteGangWait(s, why)
}

// logBackAgain logs what a broken gang has waited for, when it is placed again.
func (c *Cell) logBackAgain(s *step) {
	if s.broken.since == 0 {
		return
	}
	s.broken.note(c.now.Steady, "")
	c.logInfo("broken gang placed again", slog.String("step", s.name), slog.Int("members", len(s.tasks)),
		slog.Duration("after", c.now.Steady-s.broken.since), slog.String("waits", s.broken.String()))
	s.broken = gangWait{}
}

// logGangEnd logs, once for each run of a gang, which member ended it.
func (c *Cell) logGangEnd(r *run, cause string) {
	s := r.task.step
	if !s.spec.Gang || r.number <= s.endedRun || s.job.spec == nil || s.job.progress.State.Final() {
		return
	}
	s.endedRun = r.number
	members := 0
	for _, t := range s.tasks {
		for _, other := range t.runs {
			if other.number == r.number {
				members++
			}
		}
	}
	c.logInfo("gang ended", slog.String("step", s.name), slog.Uint64("run", r.number), slog.Int("members", members),
		slog.String("task", r.task.name), slog.String("worker", r.w.ID), slog.String("cause", cause))
}

// cause returns the logged text of an outcome.
func (o RunOutcome) cause() string {
	switch o {
	case Failed:
		return "failed"
	case Stopped:
		return "stopped"
	case LeaseExpired:
		return "lapsed"
	case GangTimedOut:
		return "alone"
	case GangAborted:
		return "broken"
	default:
		return "done"
	}
}
