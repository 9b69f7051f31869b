package cell

import (
	"log/slog"
	"math"
	"time"

	"github.com/cowslipgap/cowslipgap/resource"
)

// This file follows the capacities of workers, which shrink and grow while they run. What
// runs goes on. A worker with less room than its runs take gets nothing until they fit.

// capacityReading is when a worker said what its capacity is.
type capacityReading struct {
	at     Instant       // when that was first read
	clock  time.Duration // on the worker's clock, when it was said; 0 if unknown
	maxAge time.Duration // as Config.MaxCapacityAge
}

// readEntry records a reading of a worker's entry, which it writes at each heartbeat. One
// that is read again is as old as it was.
func (c *Cell) readEntry(w *worker, info WorkerInfo) {
	if info.Clock == 0 || info.Clock != w.capacity.clock {
		w.capacity.at = c.now.Steady
	}
	w.capacity.clock, w.capacity.maxAge = info.Clock, c.MaxCapacityAge
}

// capacityKnownUntil returns the time from which on the worker may have shrunk so long ago
// that what it said before no longer counts.
func (w *worker) capacityKnownUntil(now Instant) Instant {
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
		c.abortGang(r.task.step, r.number)
	}
}
