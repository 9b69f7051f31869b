package poison

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// rateMemory is the time over which the starts of a class are averaged.
	rateMemory = 10 * time.Second
	// minRateTime is the least time over which they are.
	minRateTime = time.Second
	// crashWindow is the time from which the rate of crashes by chance is taken.
	crashWindow = 30 * time.Second
	// minCrashSpan is the least time over which they are counted against a task.
	minCrashSpan = 10 * time.Second

	// calibration is the exponent of the bet against chance: under it, a crash whose youngest
	// run is young with probability p multiplies the odds by calibration*p^(calibration-1),
	// by 1 on average.
	calibration = 0.3
	// minChance bounds what one crash may say.
	minChance = 0.01
	// accusation is the odds from which a class counts as one that crashes workers. Chance
	// brings about fewer than one accusation of a class in as many crashes.
	accusation = 20
	// certainty is the odds from which callers are refused for the wait for trials.
	certainty = 1000

	// maxTotalChance is how likely chance may be to bring about all crashes of a task, at whatever
	// ages, for it to be given up for their number.
	maxTotalChance = 1e-6
	// maxProofChance is how likely a crash by chance may be up to the age of a run, for its
	// crash to be a proof; maxDangerChance the same for a proof that endangers its class.
	maxProofChance  = 0.01
	maxDangerChance = 0.001
)

// This file tells crashes that a class brings about from those that workers suffer by
// chance. A crash by chance finds a worker at any moment, so that the age of the youngest
// run there follows from how often runs start; tasks that crash their workers do so at
// their own age.

// rate is the decayed number of starts on a worker.
type rate struct {
	value     float64
	first, at time.Duration
}

func (r *rate) add(n float64, now time.Duration) {
	r.value, r.at = r.decayed(now)+n, now
}

// decayed returns the value at a time, or now if the last start was later.
func (r *rate) decayed(at time.Duration) float64 {
	return r.value * math.Exp(-max(0, at-r.at).Seconds()/rateMemory.Seconds())
}

// perSecond returns the starts a second on a worker.
func (r *rate) perSecond(at time.Duration) float64 {
	seen := max(minRateTime, at-r.first).Seconds()
	return r.decayed(at) / (rateMemory.Seconds() * (1 - math.Exp(-seen/rateMemory.Seconds())))
}

// observation is a crash that was not one of many at the same moment.
type observation struct {
	worker  string
	at      time.Duration
	settled bool
	chance  float64 // that a crash by chance finds runs as young as there
}

// Started records the start of a run of the class on one of the given number of workers.
func (l *Ledger) Started(c Class, workers int, now time.Duration) {
	if l.starts == nil {
		l.starts = map[Class]*rate{}
	}
	l.workers = max(1, workers)
	for _, class := range []Class{c, {Queue: c.Queue}, {}} {
		r := l.starts[class]
		if r == nil {
			r = &rate{first: now, at: now}
			l.starts[class] = r
		}
		r.add(1/float64(l.workers), now)
	}
}

// chance returns how likely a crash by chance finds a run of the class of at most the given
// age on its worker. An empty class stands for all.
func (l *Ledger) chance(c Class, age, now time.Duration) float64 {
	r := l.starts[c]
	if r == nil {
		return minChance
	}
	return max(minChance, 1-math.Exp(-r.perSecond(now)*age.Seconds()))
}

// observe records a crash, instead of an earlier record of it.
func (l *Ledger) observe(c Crash, settled bool) {
	if c.Mass {
		return
	}
	l.unobserve(c.Worker)
	o := observation{worker: c.Worker, at: c.At, settled: settled, chance: 1}
	age := youngest(c.Runs)
	known := l.starts[Class{}] != nil && len(c.Runs) > 0 && age <= rateMemory
	if known || slices.ContainsFunc(c.Runs, func(run Run) bool { return l.Young(run.Class, run.Age) }) {
		o.chance = l.chance(Class{}, age, c.At)
	}
	l.addObservation(o)
}

// addObservation adds a crash, once.
func (l *Ledger) addObservation(o observation) {
	if slices.ContainsFunc(l.observed, func(other observation) bool { return other.worker == o.worker && other.at == o.at }) {
		return
	}
	i, _ := slices.BinarySearchFunc(l.observed, o.at, func(other observation, at time.Duration) int { return cmp.Compare(other.at, at) })
	l.observed = slices.Insert(l.observed, i, o)
}

// Chance returns how likely a crash by chance finds runs as young as the last one of the worker
// did, 0 if that crash was one of many.
func (l *Ledger) Chance(worker string) float64 {
	for _, o := range slices.Backward(l.observed) {
		if o.worker == worker {
			return o.chance
		}
	}
	return 0
}

// unobserve takes back that a worker may have crashed.
func (l *Ledger) unobserve(worker string) {
	l.observed = slices.DeleteFunc(l.observed, func(o observation) bool { return o.worker == worker && !o.settled })
}

// chanceRate estimates how often a worker crashes by chance, a second, with one crash more
// than there were. Half of such crashes find nothing younger than is usual; crashes that tasks
// bring about are rarely among them. It is 0 if the size of the fleet is not known.
func (l *Ledger) chanceRate(span time.Duration) float64 {
	if l.workers == 0 {
		return 0
	}
	old := 0
	for _, o := range l.observed {
		if o.chance > 0.5 {
			old++
		}
	}
	return float64(1+min(2*old, len(l.observed))) / (span.Seconds() * float64(l.workers))
}

// explained reports whether a crash by chance is likelier than the limit before a run reaches
// the given age.
func (l *Ledger) explained(age time.Duration, limit float64) bool {
	return l.chanceRate(crashWindow)*age.Seconds() > limit
}

// tooMany reports whether so many workers have crashed under a task, in the time that its runs
// took, that it was hardly chance.
func (l *Ledger) tooMany(r *Record) bool {
	n := len(slices.Compact(slices.Sorted(slices.Values(r.All))))
	if n < maxCrashes || len(l.observed) == 0 {
		return false
	}
	span := max(minCrashSpan, l.observed[len(l.observed)-1].at-l.observed[0].at)
	mean, tail := l.chanceRate(span)*r.Time.Seconds(), 0.0
	term := math.Exp(-mean)
	for k := 1; k < n+20; k++ {
		if term *= mean / float64(k); k >= n {
			tail += term
		}
	}
	return tail <= maxTotalChance
}

// odds returns how much better the crashes fit a class that brings them about than chance.
// Crashes long ago that fit chance leave those that follow no better.
func (l *Ledger) odds(c Class) float64 {
	odds := 1.0
	for _, o := range l.observed {
		odds = max(1, odds) * calibration * math.Pow(l.chanceOf(c, o), calibration-1)
	}
	return odds
}

// chanceOf returns how likely a crash by chance finds a run of the class as young as at the
// given one, 1 if the class is not to blame for it.
func (l *Ledger) chanceOf(c Class, o observation) float64 {
	chance := 1.0
	for class, d := range l.classes {
		if class.Queue != c.Queue || class.Team == "" || c.Team != "" && class != c {
			continue
		}
		for _, e := range d.evidence {
			if e.worker != o.worker || e.at != o.at {
				continue
			}
			if c.Team == "" {
				chance = min(chance, e.queueChance)
			} else {
				chance = min(chance, e.chance)
			}
		}
	}
	return chance
}
