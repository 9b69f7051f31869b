// Package fairshare tracks the resource usage of each team relative to its share.
// The team with the lowest weighted usage is furthest below its share.
//
// A team's weighted usage is the sum of its current dominant usage of all entry
// hosts' resources and the decayed average of that usage, divided by its weight
// (weighted dominant-resource fairness with decay). The usage at other entry hosts
// is added as their reports arrive, so that fairness holds for all hosts together
// even if all of a team's work arrives in one availability zone.
//
// # Usage
//
//	var l fairshare.Ledger
//	l.SetTotal(totalCapacity)
//	l.SetWeight("workshop", 3)
//	l.Add("workshop", need)     // a task started
//	l.Advance(now)              // time passes
//	if l.WeightedUsage("workshop") < l.WeightedUsage("school") { ... }
package fairshare

import (
	"math"
	"time"

	"github.com/cowslipgap/cowslipgap/resource"
)

// usageTimeConstant is the time constant of the decaying average.
const usageTimeConstant = 10 * time.Second

// minAverage is the average from which on a team counts as having used anything lately.
const minAverage = 1e-4

// Ledger holds the usage of every team. The zero value is ready to use.
type Ledger struct {
	total resource.Vector
	teams map[string]*usage
	now   time.Time
}

// usage is the usage and weight of one team.
type usage struct {
	weight  float64
	local   resource.Vector // usage of tasks running here
	remote  resource.Vector // usage of tasks running at other entry hosts, as they report it
	average float64         // decayed average of the dominant usage
	updated time.Time
}

// SetTotal sets the total resources of all entry hosts.
func (l *Ledger) SetTotal(total resource.Vector) { l.total = total }

// Total returns the total resources of all entry hosts.
func (l *Ledger) Total() resource.Vector { return l.total }

// SetWeight sets a team's weight. A weight of zero or less counts as one in
// WeightedUsage.
func (l *Ledger) SetWeight(team string, weight float64) { l.ensureTeam(team).weight = weight }

// Add adds the resources of a task that started here.
func (l *Ledger) Add(team string, need resource.Vector) {
	u := l.ensureTeam(team)
	l.updateAverage(u)
	u.local = u.local.Add(need)
}

// Remove subtracts the resources of a task that ended here.
func (l *Ledger) Remove(team string, need resource.Vector) {
	u := l.ensureTeam(team)
	l.updateAverage(u)
	u.local = u.local.Sub(need)
}

// SetRemote replaces the team's usage at all other entry hosts.
func (l *Ledger) SetRemote(team string, used resource.Vector) {
	u := l.ensureTeam(team)
	l.updateAverage(u)
	u.remote = used
}

// Local returns the team's usage here.
func (l *Ledger) Local(team string) resource.Vector { return l.ensureTeam(team).local }

// Averages returns the decayed average of the dominant usage of each team that has used
// anything lately.
func (l *Ledger) Averages() map[string]float64 {
	averages := map[string]float64{}
	for team, u := range l.teams {
		l.updateAverage(u)
		if u.average >= minAverage {
			averages[team] = u.average
		}
	}
	return averages
}

// RestoreAverage sets a team's decayed average as it was the given time ago.
func (l *Ledger) RestoreAverage(team string, average float64, ago time.Duration) {
	u := l.ensureTeam(team)
	u.average = average * math.Exp(-ago.Seconds()/usageTimeConstant.Seconds())
	u.updated = l.now
}

// Advance sets the ledger's clock.
func (l *Ledger) Advance(now time.Time) { l.now = now }

// WeightedUsage returns the sum of the team's averaged and current dominant usage,
// divided by its weight. The team with the lowest value is furthest below its share.
func (l *Ledger) WeightedUsage(team string) float64 {
	u := l.ensureTeam(team)
	l.updateAverage(u)
	weight := u.weight
	if weight <= 0 {
		weight = 1
	}
	return (u.average + u.share(l.total)) / weight
}

// DominantUsage returns the team's current dominant usage of the total, from 0 to 1.
func (l *Ledger) DominantUsage(team string) float64 { return l.ensureTeam(team).share(l.total) }

// Weight returns the team's weight, or 0 if it is negative.
func (l *Ledger) Weight(team string) float64 { return max(l.ensureTeam(team).weight, 0) }

// share returns the team's current dominant usage as a share of all resources.
func (u *usage) share(all resource.Vector) float64 { return u.local.Add(u.remote).DominantShare(all) }

// updateAverage brings the decayed average up to the ledger's clock.
func (l *Ledger) updateAverage(u *usage) {
	elapsed := l.now.Sub(u.updated)
	if elapsed <= 0 {
		return
	}
	decay := math.Exp(-elapsed.Seconds() / usageTimeConstant.Seconds())
	u.average = u.average*decay + u.share(l.total)*(1-decay)
	u.updated = l.now
}

func (l *Ledger) ensureTeam(team string) *usage {
	if l.teams == nil {
		l.teams = map[string]*usage{}
	}
	u := l.teams[team]
	if u == nil {
		u = &usage{updated: l.now}
		l.teams[team] = u
	}
	return u
}

// Divide divides a total among claimants in proportion to their weights. A
// claimant gets no more than its cap; the excess is divided among the others.
func Divide(total float64, weights, caps map[string]float64) map[string]float64 {
	shares := map[string]float64{}
	remaining := map[string]bool{}
	for name := range weights {
		remaining[name] = true
	}
	for len(remaining) > 0 {
		sum := 0.0
		for name := range remaining {
			sum += weights[name]
		}
		capped := false
		for name := range remaining {
			limit, ok := caps[name]
			if ok && total*weights[name]/sum >= limit {
				shares[name] = limit
				capped = true
			}
		}
		if !capped {
			for name := range remaining {
				shares[name] = total * weights[name] / sum
			}
			return shares
		}
		for name := range remaining {
			if amount, ok := shares[name]; ok {
				total -= amount
				delete(remaining, name)
			}
		}
	}
	return shares
}
