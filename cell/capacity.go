package cell

import (
	"log/slog"

	"github.com/cowslipgap/cowslipgap/resource"
)

// This file follows the capacities of workers, which shrink and grow while they run. What
// runs goes on. A worker with less room than its runs take gets nothing until they fit.

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
