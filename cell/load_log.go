package cell

import (
	"log/slog"
	"time"

	"github.com/cowslipgap/cowslipgap/resource"
)

// loadLogInterval is the time between two log lines about the use of the fleet.
const loadLogInterval = time.Second

// fleetUse is the use of the workers that may get new work.
type fleetUse struct {
	capacity resource.Vector
	used     resource.Vector // by runs, also those that are starting or stopping
	reserved int64           // processors reserved for gangs by the last placement round, in thousandths
	gangs    int             // waiting gangs
	late     int             // waiting steps that can no longer meet their objective
	usable   int             // workers that may get new work
	failing  int             // listed workers whose last call failed
	listed   int             // listed workers
}

// use returns the current use of the fleet.
func (c *Cell) use() fleetUse {
	u := fleetUse{reserved: c.reservedMilliCPU}
	for _, w := range c.sortedWorkers {
		if w.usable(c.now.Steady) {
			u.capacity, u.used = u.capacity.Add(w.Capacity), u.used.Add(w.used)
			u.usable++
		}
		if w.listed {
			u.listed++
			if w.failing {
				u.failing++
			}
		}
	}
	for _, s := range c.waiting {
		if s.spec.Gang {
			u.gangs++
		}
		if s.rank >= rankLate {
			u.late++
		}
	}
	return u
}

// logUse logs the use of the fleet at intervals while work waits.
func (c *Cell) logUse() {
	if c.now.Steady-c.useLoggedAt < loadLogInterval || len(c.waiting) == 0 {
		return
	}
	c.useLoggedAt = c.now.Steady
	u := c.use()
	c.logInfo("fleet use", slog.Int64("cores", u.capacity.MilliCPU/1000), slog.Int64("usedCores", u.used.MilliCPU/1000),
		slog.Int64("memoryMb", u.capacity.MemoryMB), slog.Int64("usedMemoryMb", u.used.MemoryMB), slog.Int64("reservedCores", u.reserved/1000),
		slog.Int("waiting", len(c.waiting)), slog.Int("gangs", u.gangs), slog.Int("late", u.late),
		slog.Int("usable", u.usable), slog.Int("failing", u.failing), slog.Int("listed", u.listed),
		slog.Int("endangered", c.crashes.ledger.Endangered()), slog.Int("suspects", c.suspects()), slog.Int("atRisk", len(c.crashes.onProbation)))
}
