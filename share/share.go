// Package share keeps what each team uses, against its share, and orders teams
// by who is furthest below it.
//
// A team's standing is its dominant use of the whole fleet, averaged over the
// recent past and divided by its weight (weighted dominant-resource fairness
// with decay). Use at other entry hosts is added as their reports come in, so
// that fairness holds for the fleet even where all of a team's work arrives in
// one availability zone.
//
// # Usage
//
//	var l share.Ledger
//	l.SetTotal(fleetRoom)
//	l.SetWeight("workshop", 3)
//	l.Add("workshop", need)     // a task started
//	l.Advance(now)              // time passes
//	if l.Standing("workshop") < l.Standing("school") { ... }
package share

import (
	"math"
	"time"

	"github.com/cowslipgap/cowslipgap/resource"
)

// memory is the time constant of the decaying average.
const memory = 10 * time.Second

// Ledger keeps the use of every team. The zero Ledger is ready.
type Ledger struct {
	total resource.Vector
	teams map[string]*account
	now   time.Time
}

type account struct {
	weight  float64
	local   resource.Vector // running here
	remote  resource.Vector // running at other entry hosts, by their reports
	average float64         // decayed dominant use
	updated time.Time
}

// SetTotal sets the room of the whole fleet.
func (l *Ledger) SetTotal(total resource.Vector) { l.total = total }

// Total returns the room of the whole fleet.
func (l *Ledger) Total() resource.Vector { return l.total }

// SetWeight sets a team's share. A weight of zero or less counts as one.
func (l *Ledger) SetWeight(team string, weight float64) { l.account(team).weight = weight }

// Add counts a task that started here.
func (l *Ledger) Add(team string, need resource.Vector) {
	a := l.account(team)
	l.settle(a)
	a.local = a.local.Add(need)
}

// Remove counts a task that ended here.
func (l *Ledger) Remove(team string, need resource.Vector) {
	a := l.account(team)
	l.settle(a)
	a.local = a.local.Sub(need)
}

// SetRemote replaces what the team uses at all other entry hosts.
func (l *Ledger) SetRemote(team string, used resource.Vector) {
	a := l.account(team)
	l.settle(a)
	a.remote = used
}

// Local returns what the team uses here.
func (l *Ledger) Local(team string) resource.Vector { return l.account(team).local }

// Advance moves the ledger's clock.
func (l *Ledger) Advance(now time.Time) { l.now = now }

// Standing returns how much of its share the team uses; the lowest goes first.
func (l *Ledger) Standing(team string) float64 {
	a := l.account(team)
	l.settle(a)
	weight := a.weight
	if weight <= 0 {
		weight = 1
	}
	return (a.average + a.use(l.total)) / weight
}

// Use returns the team's present dominant use of the fleet, from 0 to 1.
func (l *Ledger) Use(team string) float64 { return l.account(team).use(l.total) }

// Weight returns the team's share.
func (l *Ledger) Weight(team string) float64 { return max(l.account(team).weight, 0) }

func (a *account) use(total resource.Vector) float64 { return a.local.Add(a.remote).Dominant(total) }

// settle brings the decayed average up to the ledger's clock.
func (l *Ledger) settle(a *account) {
	elapsed := l.now.Sub(a.updated)
	if elapsed <= 0 {
		return
	}
	keep := math.Exp(-elapsed.Seconds() / memory.Seconds())
	a.average = a.average*keep + a.use(l.total)*(1-keep)
	a.updated = l.now
}

func (l *Ledger) account(team string) *account {
	if l.teams == nil {
		l.teams = map[string]*account{}
	}
	a := l.teams[team]
	if a == nil {
		a = &account{updated: l.now}
		l.teams[team] = a
	}
	return a
}

// Divide returns what each claimant of a total is due: in proportion to its
// weight, but no more than its cap, with what that leaves going to the others.
func Divide(total float64, weights, caps map[string]float64) map[string]float64 {
	due := map[string]float64{}
	open := map[string]bool{}
	for name := range weights {
		open[name] = true
	}
	for len(open) > 0 {
		sum := 0.0
		for name := range open {
			sum += weights[name]
		}
		capped := false
		for name := range open {
			limit, ok := caps[name]
			if ok && total*weights[name]/sum >= limit {
				due[name] = limit
				capped = true
			}
		}
		if !capped {
			for name := range open {
				due[name] = total * weights[name] / sum
			}
			return due
		}
		for name := range open {
			if amount, ok := due[name]; ok {
				total -= amount
				delete(open, name)
			}
		}
	}
	return due
}
