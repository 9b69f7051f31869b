package cell

import (
	"log/slog"
	"math"
	"time"

	"github.com/cowslipgap/cowslipgap/resource"
)

// This file follows the capacities of workers, which shrink and grow while they run. What
// runs goes on. A worker with less room than its runs take gets nothing until they fit.

// maxClockLead is how far the clock in an entry may be ahead of the worker's clock as the owner
// knows it, which it may have read late.
const maxClockLead = 5 * time.Second

// capacityReading is what a worker last said of its capacity, in its entry or in a report.
type capacityReading struct {
	capacity  resource.Vector
	at        Instant       // when it was first read
	clock     time.Duration // on the worker's clock, when it was said; 0 if unknown
	startedAt int64         // WorkerInfo.StartedAt of the incarnation that said it; 0 if unknown
	maxAge    time.Duration // as Config.MaxCapacityAge
}

// readCapacity puts in force what a worker says of its capacity, unless it has said something
// else since. An entry that is read again is as old as it was.
func (c *Cell) readCapacity(w *worker, capacity resource.Vector, startedAt int64, clock time.Duration) {
	last, before := &w.capacity, w.capacity.capacity
	if w.synced && last.clock > w.minClock(c.now.Steady)+maxClockLead {
		last.clock = 0 // not its own: what it says itself would count as older
	}
	sameLife := startedAt > 0 && startedAt == last.startedAt && clock > 0
	ofOtherLife := startedAt > 0 && startedAt != w.StartedAt && last.startedAt == w.StartedAt
	older := ofOtherLife || sameLife && clock < last.clock
	if !older {
		at := c.now.Steady
		if sameLife && clock == last.clock {
			at = last.at
		}
		*last = capacityReading{capacity: capacity, at: at, clock: clock, startedAt: startedAt, maxAge: c.MaxCapacityAge}
	}
	w.Capacity = last.capacity
	if w.Capacity != before {
		c.capacityChanged(w, before)
	}
}

// capacityKnownUntil returns the time from which on the worker may have shrunk so long ago
// that what it said before no longer counts. What an earlier life said never does.
func (w *worker) capacityKnownUntil(now Instant) Instant {
	if w.capacity.startedAt > 0 && w.capacity.startedAt != w.StartedAt {
		return 0
	}
	if w.capacity.maxAge == 0 {
		return math.MaxInt64
	}
	said := w.capacity.at
	if w.synced && w.capacity.clock > 0 {
		said = min(said, now-(w.minClock(now)-w.capacity.clock))
	}
	return said + w.capacity.maxAge
}

// capacityChanged withdraws the placements that no longer fit a worker, unless they have
// been sent.
func (c *Cell) capacityChanged(w *worker, before resource.Vector) {
	if w.listed {
		c.logInfo("capacity changed", slog.String("worker", w.ID), slog.Int64("cores", w.Capacity.MilliCPU/1000), slog.Int64("coresBefore", before.MilliCPU/1000),
			slog.Int64("memoryMb", w.Capacity.MemoryMB), slog.Int64("memoryMbBefore", before.MemoryMB), slog.Int("runs", len(w.runs)))
	}
	for _, r := range w.placements() {
		if !w.free().Negative() {
			return
		}
		if w.runs[r.task.name] != r {
			continue // its gang is withdrawn
		}
		c.logInfo("placement withdrawn", slog.String("task", r.task.name), slog.Uint64("run", r.number), slog.String("worker", w.ID))
		c.dropRun(r)
		c.replaceMember(r, "worker shrank")
	}
}
