package cell

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// gangWaitSample is the time between two samples of what broken gangs wait for.
const gangWaitSample = 20 * time.Millisecond

// brokenGangs holds how long gangs whose work was broken waited until all members were there
// again, as seen on the workers, by what they waited for.
type brokenGangs struct {
	open   map[string]*gangWaitTimes // by step
	begun  map[string]bool
	closed []*gangWaitTimes
}

type gangWaitTimes struct {
	total   time.Duration
	byPhase map[string]time.Duration
}

// watchBrokenGangs samples the waits of broken gangs.
func (f *simFleet) watchBrokenGangs() *brokenGangs {
	waits := &brokenGangs{open: map[string]*gangWaitTimes{}, begun: map[string]bool{}}
	f.every(gangWaitSample, func() { waits.sample(f) })
	return waits
}

func (g *brokenGangs) sample(f *simFleet) {
	present := map[string]int{}
	for _, w := range f.workers {
		for _, r := range w.runs {
			if !w.gone && !r.waiting {
				present[r.task.StepName()]++
			}
		}
	}
	for id, j := range f.jobs {
		if !j.accepted || j.begunAt == 0 {
			continue
		}
		for n := range j.spec.Steps {
			if !j.spec.Steps[n].Gang {
				continue
			}
			step := fmt.Sprintf("%s.0.%d", id, n)
			wait := g.open[step]
			switch {
			case j.endedAt > 0 || f.stepDone(j, n):
				delete(g.open, step)
				delete(g.begun, step)
			case present[step] == j.spec.Steps[n].Count:
				g.begun[step] = true
				if wait != nil {
					g.closed = append(g.closed, wait)
					delete(g.open, step)
				}
			case g.begun[step]:
				if wait == nil {
					wait = &gangWaitTimes{byPhase: map[string]time.Duration{}}
					g.open[step] = wait
				}
				wait.total += gangWaitSample
				wait.byPhase[f.gangPhase(j, n)] += gangWaitSample
			}
		}
	}
}

// gangPhase returns what a broken gang waits for.
func (f *simFleet) gangPhase(j *simJob, n int) string {
	if f.owner == nil || f.owner.jobs[j.spec.ID] == nil {
		return "owner"
	}
	s := f.owner.jobs[j.spec.ID].occurrences[0].steps[n]
	if s.hasHeldTask() {
		return "held"
	}
	if s.tasksWithRuns > 0 {
		phase := "start"
		for _, t := range s.tasks {
			for _, r := range t.runs {
				sim := f.workers[r.w.ID]
				switch {
				case sim.refuses || sim.gone || sim.replaced:
					return "lost worker"
				case r.state == stopping || r.state == running || r.stopSentAt > 0:
					phase = "ends"
				}
			}
		}
		return phase
	}
	switch {
	case s.roomExpectedAt > f.now:
		return "room"
	case s.advice.asking():
		return "advice"
	default:
		return "other"
	}
}

// quantile returns the given quantile of the durations.
func quantile(durations []time.Duration, q float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[int(q*float64(len(durations)-1))]
}

// String returns the median and the 0.9 quantile of the waits, and those of each phase.
func (g *brokenGangs) String() string {
	var totals []time.Duration
	phases := map[string][]time.Duration{}
	for _, w := range g.closed {
		totals = append(totals, w.total)
		for _, phase := range []string{"owner", "held", "lost worker", "ends", "advice", "room", "other", "start"} {
			phases[phase] = append(phases[phase], w.byPhase[phase])
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%d gangs broken and back, %d still wait; median %v, 0.9 quantile %v", len(g.closed), len(g.open), quantile(totals, 0.5), quantile(totals, 0.9))
	for _, phase := range slices.Sorted(maps.Keys(phases)) {
		sum := time.Duration(0)
		for _, d := range phases[phase] {
			sum += d
		}
		fmt.Fprintf(&b, "; %s %v, %v, mean %v", phase, quantile(phases[phase], 0.5), quantile(phases[phase], 0.9), (sum / time.Duration(max(1, len(totals)))).Round(time.Millisecond))
	}
	return b.String()
}

// TestBrokenGangsOfTheCrashLoad logs how long gangs that a crash breaks wait until they work
// again, by what they wait for.
func TestBrokenGangsOfTheCrashLoad(t *testing.T) {
	t.Parallel()
	for name, load := range map[string]crashLoad{"crashes": {crashes: true}, "crashes and deaths": {crashes: true, deaths: true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, end := newCrashLoad(t, 1, load)
			waits := f.watchBrokenGangs()
			f.runUntil(end + startAfterTraffic)
			t.Log(t.Name(), waits)
			require.Empty(t, f.violations)
		})
	}
}
