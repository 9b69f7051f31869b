package cell

import (
	"math"
	"time"

	"github.com/cowslipgap/cowslipgap/fairshare"
	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/scarcity"
	"github.com/cowslipgap/cowslipgap/workload"
)

// This file orders the waiting steps of teams that compete for a fleet that cannot hold
// all of them. It answers the load of one team that asks for several times its usual, or
// of a few large teams beside many small ones: where not all can be in time, teams above
// their share are late. Priority goes first, then come the urgent steps of teams below
// their share, then all others by their latest start. A step is urgent when it could not
// wait for another run of a team above its share.

// shareClaim is a team's use of the fleet while the waiting steps are ordered.
type shareClaim struct {
	used     float64 // dominant share of what runs, of what ran lately, and of the steps so far
	entitled float64
}

// shareClock returns the ledger's time.
func (c *Cell) shareClock() time.Time { return time.Unix(0, int64(c.now.Steady)) }

// chargeShare adds the resources of one task to its team's use or, with a negative sign,
// subtracts them. Jobs beyond the rate have a rank of their own and do not count, so that
// a flood does not hold up the jobs of its team that are within the rate.
func (c *Cell) chargeShare(s *step, sign int64) {
	if s.job.beyondRate {
		return
	}
	c.shares.Advance(c.shareClock())
	c.shares.Add(s.job.team(), s.spec.Need.Times(sign))
}

// orderByShare moves, within each rank, the urgent steps of teams below their share before
// the others, if the fleet cannot hold all steps. The steps are sorted by rank and latest
// start.
func (c *Cell) orderByShare(steps []*step) {
	clear(c.aboveShare)
	if !c.crowded(steps) {
		return
	}
	c.shares.Advance(c.shareClock())
	claims := shareClaims(&c.shares, steps, func(team string) float64 { return c.policy[team].Rate })
	longest := time.Duration(0)
	for _, s := range steps {
		if claim := claims[s.job.team()]; claim.used >= claim.entitled {
			c.aboveShare[s.job.team()] = true
			longest = max(longest, c.queueStats(s.queue.Name).expectedDuration(s.spec.Estimate))
		}
	}
	partitionByShare(steps, claims, c.shares.Total(), c.now.Steady+longest)
}

// teamYields reports whether the waiting steps of one team give way to those of another that
// have the same rank.
func (c *Cell) teamYields(team, to string) bool { return c.aboveShare[team] && !c.aboveShare[to] }

// crowded reports whether the workers of a service have too little room for the steps.
func (c *Cell) crowded(steps []*step) bool {
	if len(steps) < 2 {
		return false
	}
	free, total := map[string]resource.Vector{}, resource.Vector{}
	for _, w := range c.sortedWorkers {
		if w.usable(c.now.Steady) {
			free[w.Service] = free[w.Service].Add(w.free().Usable())
			total = total.Add(w.Capacity)
		}
	}
	c.shares.SetTotal(total)
	wanted := map[string]resource.Vector{}
	for _, s := range steps {
		service := s.queue.Service
		wanted[service] = wanted[service].Add(s.need().Times(int64(s.unstartedTasks())))
	}
	for service, need := range wanted {
		if !need.Fits(free[service]) {
			return true
		}
	}
	return false
}

// shareClaims returns the claims of the teams that have waiting steps. The entitlement of
// a team is its part of the sum of their weights, twice, as the use is the sum of the
// current one and its average.
func shareClaims(ledger *fairshare.Ledger, steps []*step, weight func(team string) float64) map[string]*shareClaim {
	claims := map[string]*shareClaim{}
	sum := 0.0
	for _, s := range steps {
		team := s.job.team()
		if claims[team] != nil {
			continue
		}
		w := weight(team)
		if w <= 0 {
			w = 1
		}
		ledger.SetWeight(team, w)
		sum += w
		claims[team] = &shareClaim{used: ledger.WeightedUsage(team) * w, entitled: 2 * w}
	}
	for _, claim := range claims {
		claim.entitled /= sum
	}
	return claims
}

// partitionByShare moves, within each rank, the steps that must start by the given time
// and find their team below its entitlement before the others. It keeps the order of
// each team's steps, which are sorted by their latest start.
func partitionByShare(steps []*step, claims map[string]*shareClaim, total resource.Vector, urgentBy Instant) {
	var others []*step
	kept := 0
	for i, s := range steps {
		claim := claims[s.job.team()]
		if claim.used >= claim.entitled || s.latestStart > urgentBy {
			others = append(others, s)
		} else {
			steps[kept] = s
			kept++
		}
		if !s.job.beyondRate {
			claim.used += s.need().Times(int64(s.unstartedTasks())).DominantShare(total)
		}
		if i+1 == len(steps) || steps[i+1].rank != s.rank {
			kept += copy(steps[kept:], others)
			others = others[:0]
		}
	}
}

// teamRank identifies the jobs of a team at one rank.
type teamRank struct {
	team string
	rank int
}

// intakeTimeConstant is the time constant of the average of the accepted work.
const intakeTimeConstant = 10 * time.Second

// intake is the decayed average of the work that is accepted to be done in time, in
// cores.
type intake struct {
	teamRank
	cores float64
	asOf  Instant
}

func (i intake) at(now Instant) float64 {
	return i.cores * math.Exp(-(now-i.asOf).Seconds()/intakeTimeConstant.Seconds())
}

// intakeList holds the intakes of all teams and ranks, in the order of their first jobs. The
// zero value is empty.
type intakeList struct {
	list  []intake
	index map[teamRank]int
}

// add adds work that is accepted now to an intake.
func (l *intakeList) add(key teamRank, now Instant, cores float64) {
	i, known := l.index[key]
	if !known {
		if l.index == nil {
			l.index = map[teamRank]int{}
		}
		i = len(l.list)
		l.index[key] = i
		l.list = append(l.list, intake{teamRank: key})
	}
	l.list[i].cores, l.list[i].asOf = l.list[i].at(now)+cores, now
}

// recordIntake adds the work of an accepted job to the intake of its team and rank.
func (c *Cell) recordIntake(key teamRank, work float64) {
	c.intakes.add(key, c.now.Steady, work/intakeTimeConstant.Seconds())
}

// shareWait estimates how long a job of a team above its share waits behind the given
// demand of its team, on the capacity that the jobs to come of the others leave.
func (c *Cell) shareWait(spec *workload.Job, rank int, own scarcity.Demand) time.Duration {
	if !c.aboveShare[spec.Team] {
		return 0
	}
	capacity := scarcity.Packing * c.load.capacity[spec.Queue.Service]
	left := capacity
	for _, taken := range c.intakes.list {
		if taken.team != spec.Team && taken.rank <= rank {
			left -= taken.at(c.now.Steady)
		}
	}
	left = max(left, capacity/float64(len(c.teams)))
	return own.Wait(processors(maxStepCores(spec)), processors(left))
}

// processors returns a number of cores as an amount of resources.
func processors(cores float64) resource.Vector { return resource.Vector{MilliCPU: int64(1000 * cores)} }
