package placement

import (
	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/task"
)

// Load summarizes a Core for other entry hosts and for metrics.
type Load struct {
	Workers    int
	FreeSlots  int64
	TotalSlots int64
	Waiting    int
	Running    int
}

// Load returns the current summary. FreeSlots leaves out the slots that are kept
// free for lookups.
func (c *Core) Load() Load {
	return Load{
		Workers: len(c.workers), FreeSlots: max(0, c.freeSlots-c.lookupReserve()), TotalSlots: c.totalCapacity.Slots,
		Waiting: c.waiting, Running: len(c.entries) - c.waiting,
	}
}

// TotalCapacity returns the total capacity of all owned workers.
func (c *Core) TotalCapacity() resource.Vector { return c.totalCapacity }

// LargestCapacity returns the largest capacity of an owned worker in each dimension.
func (c *Core) LargestCapacity() resource.Vector { return c.largestCapacity }

// Fits reports whether an owned worker could run the task if it were empty.
func (c *Core) Fits(t task.Task) bool {
	if !t.Need.Fits(c.largestCapacity) {
		return false
	}
	return c.checkCapacity([]task.Task{t}) == nil
}

// MaxTasks returns how many tasks with the given need could run at once on the
// owned workers if they were empty. If rack is not empty, only the workers of
// that rack count.
func (c *Core) MaxTasks(need resource.Vector, rack string) int {
	return c.maxTasks(need, rack, int(^uint(0)>>1))
}

// maxTasks implements MaxTasks. It stops counting when it reaches enough.
func (c *Core) maxTasks(need resource.Vector, rack string, enough int) int {
	count := 0
	for _, w := range c.workers {
		if rack != "" && w.info.Rack != rack {
			continue
		}
		if count += w.maxTasks(need); count >= enough {
			break
		}
	}
	return count
}

// Used returns the resources that each team uses here. Teams without started
// tasks are left out.
func (c *Core) Used() map[string]resource.Vector {
	used := map[string]resource.Vector{}
	for name, t := range c.teams {
		if t.running > 0 {
			used[name] = c.ledger.Local(name)
		}
	}
	return used
}

// ActiveTeams returns the number of teams that run tasks here.
func (c *Core) ActiveTeams() int {
	count := 0
	for _, t := range c.teams {
		if t.running > 0 {
			count++
		}
	}
	return count
}

// Demand describes a team's started and queued tasks here.
type Demand struct {
	Running      int
	Waiting      int
	NextGangSize int  // size of the next gang if it is above the team's limit here, otherwise 0
	SendsLookups bool // the team has run a lookup here
}

// Demand returns the demand of a team here.
func (c *Core) Demand(name string) Demand {
	t := c.teams[name]
	if t == nil {
		return Demand{}
	}
	d := Demand{Running: t.running, Waiting: t.waiting, SendsLookups: t.sendsLookups}
	if it := t.queues[kindGang].peek(); it != nil && t.capped && len(it.entries) > t.limit {
		d.NextGangSize = len(it.entries)
	}
	return d
}

// TeamLoad is the load of a team at one entry host, for operators.
type TeamLoad struct {
	Running  int     `json:"running"`
	Waiting  int     `json:"waiting"`
	Limit    int     `json:"limit"` // this host's part of the team's limit; -1 if there is none
	Standing float64 `json:"standing"`
}

// Teams returns the load of every team.
func (c *Core) Teams() map[string]TeamLoad {
	list := map[string]TeamLoad{}
	for name, t := range c.teams {
		l := TeamLoad{Running: t.running, Waiting: t.waiting, Limit: -1, Standing: c.ledger.WeightedUsage(name)}
		if t.capped {
			l.Limit = t.limit
		}
		list[name] = l
	}
	return list
}

// Quarantined returns the names of the workers that get no tasks because tasks
// fail on them but not on other workers.
func (c *Core) Quarantined() []string {
	var names []string
	for _, w := range c.workers {
		if w.failures.quarantined(c.now) {
			names = append(names, w.info.Name)
		}
	}
	return names
}
