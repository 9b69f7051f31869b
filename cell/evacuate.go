package cell

import (
	"cmp"
	"log/slog"
	"slices"
	"time"
)

// This file keeps new work from workers whose availability zone is being evacuated, and
// from all workers while the operators' requests cannot be read. What runs goes on.

// penaltyCold applies to workers that are slow after their start. It exceeds what the rest
// of the score of two workers can differ by, so that a cold worker gets a task only if no
// warm one has room.
const penaltyCold = 3

// setPolicy puts a policy in force. Placements in zones that are evacuated from now on
// are withdrawn unless they have been sent.
func (c *Cell) setPolicy(p Policy) {
	c.policy = p.Teams
	before := c.evacuated
	c.evacuated = p.Evacuated
	c.policyReadAt = max(c.policyReadAt, p.ReadAt)
	if !c.owner || before.Equal(c.evacuated) {
		return
	}
	for _, w := range c.sortedWorkers {
		w.evacuated = c.evacuated.Covers(w.Zone)
		if w.evacuated {
			c.withdrawPlacements(w)
		}
	}
	for _, zone := range c.evacuated.Zones() {
		if !before.Covers(zone) {
			c.logEvacuation("zone evacuated", zone)
		}
	}
	for _, zone := range before.Zones() {
		if !c.evacuated.Covers(zone) {
			c.logEvacuation("evacuation ended", zone)
		}
	}
}

// logEvacuation logs a change in a zone, with its workers and what runs there.
func (c *Cell) logEvacuation(text, zone string) {
	workers, runs := 0, 0
	for _, w := range c.sortedWorkers {
		if w.Zone == zone {
			workers++
			runs += len(w.runs)
		}
	}
	c.logInfo(text, slog.String("zone", zone), slog.Int("workers", workers), slog.Int("runs", runs))
}

// withdrawPlacements drops the runs of a worker that have not been sent. Members of gangs
// are placed anew, or their gangs dropped.
func (c *Cell) withdrawPlacements(w *worker) {
	for _, r := range w.placements() {
		c.dropRun(r)
		c.replaceMember(r, "placement withdrawn")
	}
}

// placements returns the runs of a worker that have not been sent, those with the least
// urgent rank first.
func (w *worker) placements() []*run {
	var placed []*run
	for _, r := range w.runsByAge {
		if r.state == placing {
			placed = append(placed, r)
		}
	}
	slices.SortFunc(placed, func(a, b *run) int {
		return cmp.Or(cmp.Compare(b.task.step.rank, a.task.step.rank), cmp.Compare(a.task.name, b.task.name))
	})
	return placed
}

// policyExpired reports whether the policy was read so long ago that the operators may
// have changed it in a way that binds this host by now.
func (c *Cell) policyExpired() bool { return c.policyExpiredBy(0) }

// policyExpiredBy reports whether the policy has been too old for longer than the given
// time.
func (c *Cell) policyExpiredBy(d time.Duration) bool {
	return c.MaxPolicyAge > 0 && c.now.Steady-c.policyReadAt > c.MaxPolicyAge+d
}

// checkPolicyAge logs when starts are withheld because the policy is too old, and when
// that ends.
func (c *Cell) checkPolicyAge() {
	expired := c.policyExpired()
	if expired == c.startsWithheld {
		return
	}
	c.startsWithheld = expired
	text := "starts withheld, operators' requests cannot be read"
	if !expired {
		text = "starts resumed, operators' requests are read again"
	}
	c.logInfo(text, slog.Duration("age", c.now.Steady-c.policyReadAt))
}

// startLimit returns the latest time at which a start that is decided on now may be sent.
func (c *Cell) startLimit() Instant {
	if c.MaxPolicyAge == 0 {
		return c.leaseLimit()
	}
	return min(c.leaseLimit(), c.policyReadAt+c.MaxPolicyAge)
}

// cold reports whether the worker is still slow after its start, by its own clock.
func (w *worker) cold(now Instant) bool { return w.ColdUntil > 0 && w.minClock(now) < w.ColdUntil }
