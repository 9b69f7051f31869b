package cell

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/workload"
)

// TestQuantilesMatchTheRuns replays jobs whose estimates are off and of whose tasks a few
// take many times as long, and counts the runs beyond the quantile that was known before.
func TestQuantilesMatchTheRuns(t *testing.T) {
	t.Parallel()
	// The first runs to end are the short ones, so counting starts later.
	const countFrom, end = 40 * time.Second, 180 * time.Second
	f := newFleet(t, 11, 48)
	f.submitMix("00", 2*time.Second, end, 30, 8, 4)
	for _, id := range slices.Sorted(maps.Keys(f.jobs)) {
		j := f.jobs[id]
		j.spec.Queue.Slack = 60 // not refused for its expected wait
		if step := &j.spec.Steps[0]; step.Gang {
			step.Count, step.Need, step.Estimate = 3, resource.Vector{MilliCPU: 3000}, 3*time.Second
		}
		clear(j.actual)
		f.drawDurations(j)
	}
	f.misestimate(0.03)
	known, total, beyond := map[string]float64{}, map[string]float64{}, map[string]float64{}
	f.onUpdate = func(c *Cell, event any, _ []any, _ time.Duration) {
		e, ok := event.(PollResult)
		if !ok || f.now > end {
			return
		}
		for _, result := range e.Report.Ended {
			id, err := workload.ParseTaskID(result.Task)
			require.NoError(t, err)
			j := f.jobs[id.Job]
			queue, step := j.spec.Queue.Name, j.spec.Steps[id.Step]
			work := j.actual[result.Task]
			if step.Gang {
				work = 0
				for name, d := range j.actual {
					if other, _ := workload.ParseTaskID(name); other.Step == id.Step {
						work = max(work, d)
					}
				}
			}
			// Fleets of like speeds do not scale run times.
			if ratio := known[queue]; ratio > 0 && f.now > countFrom && result.Outcome == Done {
				total[queue]++
				if float64(work)/float64(step.Estimate)/f.workers[e.Worker].speed > ratio {
					beyond[queue]++
				}
			}
		}
		for _, queue := range []string{"lookup", "quote", "refret"} {
			if ratio, ok := c.queueStats(queue).runs.Quantile(cautiousQuantile); ok {
				known[queue] = ratio
			}
		}
	}
	for _, w := range f.workers {
		w.speed = 1
	}
	f.runUntil(300 * time.Second)
	f.requireNoViolations()
	for _, queue := range []string{"lookup", "quote", "refret"} {
		share := beyond[queue] / total[queue]
		t.Logf("%s: %.3f of %.0f runs beyond the 0.9 quantile", queue, share, total[queue])
		require.Greater(t, total[queue], 500.0)
		require.GreaterOrEqual(t, share, 0.07, queue)
		require.LessOrEqual(t, share, 0.13, queue)
	}
}

// TestHeavyTailDoesNotStretchTheSlack guards against slack that is computed from a mean that
// a few long runs raise.
func TestHeavyTailDoesNotStretchTheSlack(t *testing.T) {
	q := &queueStats{}
	for i := range 400 {
		ratio := 1.0
		if i%33 == 0 {
			ratio = 7
		}
		q.runs.Add(ratio)
	}
	require.Greater(t, q.expectedDuration(time.Second), 1150*time.Millisecond)
	require.InDelta(t, float64(time.Second), float64(q.typicalDuration(time.Second)), float64(20*time.Millisecond))
	require.Greater(t, q.remainingDuration(time.Second, 2*time.Second), 4*time.Second, "the run is one of the long ones")
}

// TestRenewedTicketsDoNotRaiseTheEligibleShare guards against a share of eligible workers that
// counts those that are asked about again, for tickets, because they are eligible.
func TestRenewedTicketsDoNotRaiseTheEligibleShare(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 48)
	f.fillWorkers(2*time.Second, "", 48, time.Minute)
	spec := gangJob("cc00000000000000")
	spec.Queue.Slack = 60
	f.submit(3*time.Second, spec)
	f.runUntil(3100 * time.Millisecond)
	answer := func(workers []string, eligible func(i int) bool) {
		tickets := map[string]string{}
		for i, id := range workers {
			tickets[id] = ""
			if eligible(i) {
				tickets[id] = "1"
			}
		}
		f.update(AdviceResult{Host: "a1", Step: spec.ID + ".0.0", Tickets: tickets, Validity: time.Second})
	}
	ids := f.owner.sortedWorkerIDs()
	answer(ids, func(i int) bool { return i < len(ids)/4 })
	for range maxAdviceSamples {
		answer(ids[:len(ids)/4], func(int) bool { return true })
	}
	require.InDelta(t, 0.25, f.owner.queueStats(spec.Queue.Name).eligibleShare, 0.01)
}
