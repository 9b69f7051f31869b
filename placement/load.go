package placement

import (
	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/task"
)

// Load is a summary of a Core for other entry hosts and for metrics.
type Load struct {
	Workers    int
	FreeSlots  int64
	TotalSlots int64
	Waiting    int
	Running    int
}

// Load returns the present summary.
func (c *Core) Load() Load {
	return Load{
		Workers: len(c.order), FreeSlots: max(0, c.free-c.reserve()), TotalSlots: c.total.Slots,
		Waiting: c.waiting, Running: len(c.entries) - c.waiting,
	}
}

// Room returns the room of all workers owned.
func (c *Core) Room() resource.Vector { return c.total }

// Largest returns the largest room of a worker, dimension by dimension.
func (c *Core) Largest() resource.Vector { return c.largest }

// Fits reports whether some worker owned could run the task if it were empty.
func (c *Core) Fits(t task.Task) bool {
	if !t.Need.Fits(c.largest) {
		return false
	}
	return c.checkFits([]task.Task{t}) == nil
}

// Capacity returns how many tasks of a size the workers owned, or those of one
// rack, hold at once when empty.
func (c *Core) Capacity(need resource.Vector, rack string) int {
	return c.capacity(need, rack, int(^uint(0)>>1))
}

// capacity counts up to enough.
func (c *Core) capacity(need resource.Vector, rack string, enough int) int {
	places := 0
	for _, n := range c.order {
		if rack != "" && n.host.Rack != rack {
			continue
		}
		if places += n.capacityFor(need); places >= enough {
			break
		}
	}
	return places
}

// Used returns what each team uses here; teams that use nothing are left out.
func (c *Core) Used() map[string]resource.Vector {
	used := map[string]resource.Vector{}
	for name, t := range c.teams {
		if t.running > 0 {
			used[name] = c.ledger.Local(name)
		}
	}
	return used
}

// ActiveTeams returns how many teams run tasks here.
func (c *Core) ActiveTeams() int {
	count := 0
	for _, t := range c.teams {
		if t.running > 0 {
			count++
		}
	}
	return count
}

// Demand is what a team runs and wants here.
type Demand struct {
	Running int
	Waiting int
	Gang    int // tasks of the next gang, if the team's limit here is below it
	LooksUp bool
}

// Demand returns what a team runs and wants here.
func (c *Core) Demand(name string) Demand {
	t := c.teams[name]
	if t == nil {
		return Demand{}
	}
	d := Demand{Running: t.running, Waiting: t.waiting, LooksUp: t.looksUp}
	if it := t.queues[kindGang].peek(); it != nil && t.capped && len(it.entries) > t.limit {
		d.Gang = len(it.entries)
	}
	return d
}

// TeamLoad is what operators see of a team at one entry host.
type TeamLoad struct {
	Running  int     `json:"running"`
	Waiting  int     `json:"waiting"`
	Limit    int     `json:"limit"` // part of the upper limit; -1 if there is none
	Standing float64 `json:"standing"`
}

// Teams returns the load of every team.
func (c *Core) Teams() map[string]TeamLoad {
	list := map[string]TeamLoad{}
	for name, t := range c.teams {
		l := TeamLoad{Running: t.running, Waiting: t.waiting, Limit: -1, Standing: c.ledger.Standing(name)}
		if t.capped {
			l.Limit = t.limit
		}
		list[name] = l
	}
	return list
}

// Quarantined returns the workers that are sent nothing because they fail what
// others do not.
func (c *Core) Quarantined() []string {
	var names []string
	for _, n := range c.order {
		if n.record.quarantined(c.now) {
			names = append(names, n.host.Name)
		}
	}
	return names
}
