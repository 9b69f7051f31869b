package cell

import "log/slog"

// logGangEnd logs, once for each run of a gang, which member ended it.
func (c *Cell) logGangEnd(r *run, cause string) {
	s := r.task.step
	if !s.spec.Gang || r.number <= s.endedRun || s.job.Job == nil || s.job.progress.State.Final() {
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
