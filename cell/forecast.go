package cell

import (
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cowslipgap/cowslipgap/forecast"
	"github.com/cowslipgap/cowslipgap/workload"
)

// This file keeps room for the most urgent queues while their demand rises. It answers
// the load pattern of a wave that meets a fleet on which long tasks of other queues have
// taken all room in the trough before it.

const (
	// urgentPriority is the priority of the queues that room is kept for.
	urgentPriority = 0
	// forecastHorizon is how far ahead demand is predicted, about the time that a long task
	// of another queue takes.
	forecastHorizon = 2 * time.Second
	// minLongStart is the expected duration from which on a task counts as long. Shorter
	// ones end before the wave has come.
	minLongStart = forecastHorizon / 2
)

// forecastMoments are the times ahead for which room is compared with demand.
var forecastMoments = [...]time.Duration{forecastHorizon / 8, forecastHorizon / 4, forecastHorizon / 2, forecastHorizon}

// demandForecast is what the cell knows about the arrivals of the most urgent queues. It
// outlives a claim, like the statistics of the queues.
type demandForecast struct {
	arrivals forecast.Arrivals
	services map[string]*urgentDemand
}

// urgentDemand is the demand of the most urgent queues on one service.
type urgentDemand struct {
	tasks   map[string]int64 // thousandths of a processor that a task of the queue last took, by queue
	wave    bool             // demand has risen clearly, and has not begun to fall since
	keeping bool             // the wave needs more than runs will leave
}

// keepsRoom reports whether room is kept on any service.
func (d *demandForecast) keepsRoom() bool {
	for _, u := range d.services {
		if u.keeping {
			return true
		}
	}
	return false
}

// recordArrival records a submission to an urgent queue. Refused ones count: they are
// demand, too.
func (c *Cell) recordArrival(spec *workload.Job, zone string) {
	if spec.Queue.Priority != urgentPriority {
		return
	}
	work, task := 0.0, int64(0)
	for i := range spec.Steps {
		st := &spec.Steps[i]
		if !st.UsesIdleCPU && !st.LongRunning {
			task = max(task, st.Need.MilliCPU)
			work += c.queueStats(spec.Queue.Name).expectedDuration(st.Estimate).Seconds() * float64(st.Count) * float64(st.Need.MilliCPU) / 1000
		}
	}
	c.demand.arrivals.Add(forecast.Kind{Queue: spec.Queue.Name, Zone: zone}, c.now.Steady, work)
	if c.demand.services == nil {
		c.demand.services = map[string]*urgentDemand{}
	}
	u := c.demand.services[spec.Queue.Service]
	if u == nil {
		u = &urgentDemand{tasks: map[string]int64{}}
		c.demand.services[spec.Queue.Service] = u
	}
	u.tasks[spec.Queue.Name] = task
}

// yields reports whether the step may have to leave room to urgent queues: its tasks are
// long, and it does not become late by waiting for the wave.
func (c *Cell) yields(s *step) bool {
	return s.queue.Priority > urgentPriority && !s.spec.LongRunning && s.need().MilliCPU > 0 &&
		c.queueStats(s.queue.Name).expectedDuration(s.spec.Estimate) > minLongStart &&
		s.latestStart > c.now.Steady+forecastHorizon
}

// longStartsAllowed returns how many tasks of the step may start without taking room that
// urgent queues are expected to need before running tasks leave as much.
func (c *Cell) longStartsAllowed(pool *servicePool, service string, s *step) int {
	if !c.KeepUrgentRoom || !c.yields(s) {
		return math.MaxInt
	}
	if !pool.longRoomKnown {
		pool.longRoomKnown = true
		pool.longRoom = c.longRoom(pool, service)
	}
	return int(max(0, pool.longRoom) / s.need().MilliCPU)
}

// takeLongRoom records that tasks of the step have been placed.
func (c *Cell) takeLongRoom(pool *servicePool, s *step, placed int) {
	if pool.longRoomKnown && c.yields(s) {
		pool.longRoom -= int64(placed) * s.need().MilliCPU
	}
}

// longRoom returns the room for long starts of other queues, in thousandths of a
// processor. All of it is free unless the demand of urgent queues clearly rises. What a
// long task takes now is missing at each moment until it ends, so the moment at which
// least is left decides.
func (c *Cell) longRoom(pool *servicePool, service string) int64 {
	u := c.demand.services[service]
	if u == nil {
		return math.MaxInt64
	}
	rises, falls := false, true
	queues := slices.Sorted(maps.Keys(u.tasks))
	for _, queue := range queues {
		f := c.demand.arrivals.Expected(queue, c.now.Steady, forecastHorizon)
		rises, falls = rises || f.Rises, falls && f.Falls
	}
	u.wave = rises || u.wave && !falls
	if !u.wave {
		c.logRoomKept(u, service, 0, 0)
		return math.MaxInt64
	}
	rooms := c.urgentRoom(pool, u)
	least, needed, room := int64(math.MaxInt64), int64(0), int64(0)
	for i, after := range forecastMoments {
		expected := 0.0
		for _, queue := range queues {
			expected += c.demand.arrivals.Expected(queue, c.now.Steady, after).Cores
		}
		if left := rooms[i] - int64(1000*expected); left < least {
			least, needed, room = left, int64(1000*expected), rooms[i]
		}
	}
	c.logRoomKept(u, service, needed, room)
	return least
}

// urgentRoom returns the room that urgent queues have or could take at each of the
// forecastMoments, in thousandths of a processor: what is free, what their own tasks hold
// and what the runs that end by then leave. Of a worker's room, only what holds whole tasks
// counts.
func (c *Cell) urgentRoom(pool *servicePool, u *urgentDemand) [len(forecastMoments)]int64 {
	var rooms [len(forecastMoments)]int64
	smallest := int64(math.MaxInt64)
	for _, need := range u.tasks {
		smallest = min(smallest, max(1, need))
	}
	for _, cand := range pool.candidates {
		var on [len(forecastMoments)]int64
		for i := range on {
			on[i] = cand.free.MilliCPU
		}
		for _, r := range cand.w.runsByAge {
			left := time.Duration(0)
			if s := r.task.step; s.job.spec == nil || s.queue.Priority != urgentPriority {
				left = c.remainingTime(r)
			}
			for i, after := range forecastMoments {
				if left <= after {
					on[i] += r.task.step.need().MilliCPU
				}
			}
		}
		for i := range on {
			left := max(0, on[i]) // what is released first makes up for what is short
			rooms[i] += left - left%smallest
		}
	}
	return rooms
}

// logRoomKept logs when room begins or ceases to be kept.
func (c *Cell) logRoomKept(u *urgentDemand, service string, needed, room int64) {
	keeping := needed > room
	if keeping == u.keeping {
		return
	}
	u.keeping = keeping
	text := "room kept for urgent demand"
	if !keeping {
		text = "no room kept for urgent demand"
	}
	c.logInfo(text, slog.String("service", service), slog.Int64("neededCores", needed/1000), slog.Int64("expectedCores", room/1000))
}
