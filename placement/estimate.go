package placement

import (
	"math"
	"time"

	"github.com/cowslipgap/cowslipgap/class"
	"github.com/cowslipgap/cowslipgap/storage"
	"github.com/cowslipgap/cowslipgap/task"
)

const (
	runTimeWeight        = 0.05                   // of one run in the moving average
	defaultRunTime       = 100 * time.Millisecond // until a task of the team and class has ended
	lookupDemandWindow   = time.Second
	lookupDemandDecay    = 0.98 // factor per lookupDemandWindow
	lookupDemandHeadroom = 1.25 // factor on the peak
	maxRunTimes          = 4096 // pairs of a team and a class
)

// runTimeKey identifies the tasks that share a mean run time.
type runTimeKey struct {
	team  string
	class class.Class
}

// movingAverage is an exponentially weighted mean, in seconds.
type movingAverage struct{ mean float64 }

// recordRunTime adds the run time of a task that ended successfully.
func (c *Core) recordRunTime(e *taskEntry, outcome storage.Outcome) {
	if outcome.End != storage.EndDone {
		return
	}
	key := runTimeKey{e.task.Team, e.task.Class}
	ran := c.now.Sub(e.started).Seconds()
	a := c.runTimes[key]
	if a == nil {
		if len(c.runTimes) >= maxRunTimes {
			return
		}
		c.runTimes[key] = &movingAverage{mean: ran}
		return
	}
	a.mean += runTimeWeight * (ran - a.mean)
}

// runTime returns the recent mean run time of tasks of t's team and class.
func (c *Core) runTime(t task.Task) time.Duration {
	if a := c.runTimes[runTimeKey{t.Team, t.Class}]; a != nil {
		return time.Duration(a.mean * float64(time.Second))
	}
	return defaultRunTime
}

// estimate returns the approximate wait of t. It assumes that the queue items of
// the team ahead of t run as long as tasks like t have run, in the slots that the
// team gets when all teams with queued tasks in the tier use their full share.
func (c *Core) estimate(t task.Task) time.Duration {
	tm := c.team(t.Team)
	k := queueKindOf(t)
	ahead, weights := 0, 0.0
	for other := range kindCount {
		if tierOf(other) == tierOf(k) && (other <= k || tierOf(k) == tierShared) {
			ahead += tm.queues[other].live
		}
	}
	if ahead == 0 {
		return 0
	}
	for _, te := range c.tiers[tierOf(k)].entries {
		weights += max(c.ledger.Weight(te.team.name), 1e-3)
	}
	fraction := 1.0
	if weights > 0 {
		fraction = min(1, max(c.ledger.Weight(t.Team), 1e-3)/weights)
	}
	slots := float64(c.totalCapacity.Slots) * fraction
	if tm.capped {
		slots = min(slots, float64(tm.limit))
	}
	return time.Duration(float64(ahead) * float64(c.runTime(t)) / max(slots, 1))
}

// lookupDemand measures how many slots lookups need at once: the highest number
// that ran concurrently, decaying over about a minute.
type lookupDemand struct {
	running int
	peak    float64
	window  time.Time // start of the current lookupDemandWindow
}

// add counts a lookup that starts.
func (d *lookupDemand) add(now time.Time) {
	d.running++
	d.peak = max(d.peak, float64(d.running))
	if d.window.IsZero() {
		d.window = now
	}
}

// advance lowers the peak for every window that has passed.
func (d *lookupDemand) advance(now time.Time) {
	for now.Sub(d.window) >= lookupDemandWindow && d.peak > 0 {
		d.peak = max(float64(d.running), d.peak*lookupDemandDecay)
		d.window = d.window.Add(lookupDemandWindow)
		if d.peak < 0.5 {
			d.peak = 0
		}
	}
}

// slotsToReserve returns how many slots to keep free for further lookups.
func (d *lookupDemand) slotsToReserve() int64 {
	return max(0, int64(math.Ceil(d.peak*lookupDemandHeadroom))-int64(d.running))
}

// setTeams applies new shares and limits.
func (c *Core) setTeams(ev Teams) {
	for name, t := range c.teams {
		if _, ok := ev.Policies[name]; !ok {
			t.capped = false
			c.ledger.SetWeight(name, 0)
			c.reactivate(t)
		}
	}
	for name, p := range ev.Policies {
		t := c.team(name)
		t.limit, t.hardLimit, t.capped = p.Limit, p.HardLimit, p.Capped
		c.ledger.SetWeight(name, p.Weight)
		c.reactivate(t)
		c.updateWeightedUsage(t)
	}
	c.dirty = true
}

// setRemote applies the reports of the other entry hosts.
func (c *Core) setRemote(ev RemoteUse) {
	c.ledger.SetTotal(c.totalCapacity.Add(ev.Capacity))
	for name := range c.teams {
		c.ledger.SetRemote(name, ev.Used[name])
	}
	c.updateWeightedUsages()
}
