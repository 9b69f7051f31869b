package placement

import (
	"math"
	"time"

	"github.com/cowslipgap/cowslipgap/class"
	"github.com/cowslipgap/cowslipgap/storage"
	"github.com/cowslipgap/cowslipgap/task"
)

const (
	learnWeight       = 0.05
	unlearnedRunTime  = 100 * time.Millisecond
	demandWindow      = time.Second
	demandDecay       = 0.98 // a window
	demandHeadroom    = 1.25
	maxLearnedEntries = 4096
)

// learnedKey is what run times are learned by.
type learnedKey struct {
	team  string
	class class.Class
}

// average is an exponentially weighted mean.
type average struct{ mean float64 }

// learn takes the run time of a task that ended well.
func (c *Core) learn(e *entry, outcome storage.Outcome) {
	if outcome.End != storage.EndDone {
		return
	}
	key := learnedKey{e.task.Team, e.task.Class}
	ran := c.now.Sub(e.started).Seconds()
	a := c.learned[key]
	if a == nil {
		if len(c.learned) >= maxLearnedEntries {
			return
		}
		c.learned[key] = &average{mean: ran}
		return
	}
	a.mean += learnWeight * (ran - a.mean)
}

// runTime returns how long tasks like t have run of late.
func (c *Core) runTime(t task.Task) time.Duration {
	if a := c.learned[learnedKey{t.Team, t.Class}]; a != nil {
		return time.Duration(a.mean * float64(time.Second))
	}
	return unlearnedRunTime
}

// estimate returns about how long t would wait, from what its team has waiting
// before it, the run times learned and the part of the slots that is the team's
// when all teams with work claim their share.
func (c *Core) estimate(t task.Task) time.Duration {
	own := c.team(t.Team)
	k := kindOf(t)
	ahead, weights := 0, 0.0
	for other := range kindCount {
		if tierOf(other) == tierOf(k) && (other <= k || tierOf(k) == tierShared) {
			ahead += own.queues[other].live
		}
	}
	if ahead == 0 {
		return 0
	}
	for _, slot := range c.tiers[tierOf(k)].slots {
		weights += max(c.ledger.Weight(slot.team.name), 1e-3)
	}
	part := 1.0
	if weights > 0 {
		part = min(1, max(c.ledger.Weight(t.Team), 1e-3)/weights)
	}
	slots := float64(c.total.Slots) * part
	if own.capped {
		slots = min(slots, float64(own.limit))
	}
	return time.Duration(float64(ahead) * float64(c.runTime(t)) / max(slots, 1))
}

// demand measures how many slots lookups need at once: the highest number that
// ran together, decaying over about a minute.
type demand struct {
	running int
	peak    float64
	window  time.Time
}

func (d *demand) add(now time.Time) {
	d.running++
	d.peak = max(d.peak, float64(d.running))
	if d.window.IsZero() {
		d.window = now
	}
}

func (d *demand) advance(now time.Time) {
	for now.Sub(d.window) >= demandWindow && d.peak > 0 {
		d.peak = max(float64(d.running), d.peak*demandDecay)
		d.window = d.window.Add(demandWindow)
		if d.peak < 0.5 {
			d.peak = 0
		}
	}
}

// spareNeeded returns how many slots to keep free for lookups yet to come.
func (d *demand) spareNeeded() int64 {
	return max(0, int64(math.Ceil(d.peak*demandHeadroom))-int64(d.running))
}

// setTeams takes new shares and limits.
func (c *Core) setTeams(ev Teams) {
	for name, t := range c.teams {
		if _, ok := ev.Policies[name]; !ok {
			t.capped = false
			c.ledger.SetWeight(name, 0)
			c.unpark(t)
		}
	}
	for name, p := range ev.Policies {
		t := c.team(name)
		t.limit, t.hard, t.capped = p.Limit, p.Hard, p.Capped
		c.ledger.SetWeight(name, p.Weight)
		c.unpark(t)
		c.rekey(t)
	}
	c.dirty = true
}

// setRemote takes the other entry hosts' reports.
func (c *Core) setRemote(ev Remote) {
	c.ledger.SetTotal(c.total.Add(ev.Room))
	for name := range c.teams {
		c.ledger.SetRemote(name, ev.Used[name])
	}
	c.rekeyAll()
}
