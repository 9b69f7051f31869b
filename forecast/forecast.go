// Package forecast predicts the arrivals of each kind of job from each zone, with their
// trend. It answers the load pattern of demand that rises and falls within seconds, with
// a phase of its own in each zone: room for the urgent kind is kept before the wave is
// there.
//
// Rates are smoothed with their trend by Holt's method, in steps of Step. A rate is in
// core-seconds of work a second, which is also the number of cores that the work keeps
// busy.
//
// # Usage
//
//	var a forecast.Arrivals
//	a.Add(forecast.Kind{Queue: "lookup", Zone: "a"}, now, work)
//	if f := a.Expected("lookup", now, 2*time.Second); f.Rises { /* keep room */ }
package forecast

import (
	"slices"
	"time"
)

const (
	// Step is the time over which arrivals are counted before they are smoothed.
	Step = 500 * time.Millisecond
	// levelWeight and trendWeight are the weights of a new step.
	levelWeight = 0.5
	trendWeight = 0.5
	// minSteps is how many steps a kind must have been seen for before its trend counts.
	minSteps = 8
	// risingShare is the growth of a rate within the time asked for, as a share of the
	// rate, from which on it counts as rising. Smaller growth is what the room that runs
	// leave within that time can take.
	risingShare = 0.25
	// maxIdleSteps is after how many steps without arrivals a kind is forgotten.
	maxIdleSteps = 60
)

// Kind identifies the jobs of one queue that arrive in one zone.
type Kind struct {
	Queue string
	Zone  string
}

// Forecast is what the work of a queue is expected to be.
type Forecast struct {
	Cores float64 // that it keeps busy
	Rises bool    // it clearly exceeds the work now
	Falls bool    // it is less than the work now
}

// Arrivals holds the smoothed rate of work and its trend by kind. The zero value is empty.
type Arrivals struct {
	kinds []*series // in the order of their first arrivals
}

// series is the rate of one kind.
type series struct {
	kind     Kind
	stepFrom time.Duration // start of the current step
	work     float64       // core-seconds in the current step
	level    float64       // smoothed rate, in cores
	trend    float64       // its change a step
	steps    int           // steps smoothed
	idle     int           // steps without arrivals
}

// Add records the arrival of a job with the given core-seconds of work.
func (a *Arrivals) Add(k Kind, now time.Duration, work float64) {
	at := slices.IndexFunc(a.kinds, func(s *series) bool { return s.kind == k })
	if at < 0 {
		at = len(a.kinds)
		a.kinds = append(a.kinds, &series{kind: k, stepFrom: now})
	}
	s := a.kinds[at]
	if s.advance(now); s.idle > maxIdleSteps {
		*s = series{kind: k, stepFrom: now}
	}
	s.work += work
}

// advance smooths the steps that have passed.
func (s *series) advance(now time.Duration) {
	for ; now-s.stepFrom >= Step && s.idle <= maxIdleSteps; s.stepFrom += Step {
		rate := s.work / Step.Seconds()
		s.idle++
		if s.work > 0 {
			s.idle = 0
		}
		s.work = 0
		s.steps++
		if s.steps == 1 {
			s.level = rate
			continue
		}
		before := s.level
		s.level = levelWeight*rate + (1-levelWeight)*(s.level+s.trend)
		s.trend = trendWeight*(s.level-before) + (1-trendWeight)*s.trend
	}
}

// at returns the expected rate at a time. The level is the rate at the middle of the last
// whole step.
func (s *series) at(t time.Duration) float64 {
	if s.steps < minSteps {
		return s.level
	}
	return max(0, s.level+s.trend*float64(t-s.stepFrom+Step/2)/float64(Step))
}

// Expected predicts the work of a queue after the given time, over all zones.
func (a *Arrivals) Expected(queue string, now, after time.Duration) Forecast {
	current, cores := 0.0, 0.0
	a.kinds = slices.DeleteFunc(a.kinds, func(s *series) bool {
		if s.kind.Queue != queue {
			return false
		}
		if s.advance(now); s.idle > maxIdleSteps {
			return true
		}
		current += s.at(now)
		cores += s.at(now + after)
		return false
	})
	return Forecast{Cores: cores, Rises: cores > current*(1+risingShare), Falls: cores < current}
}
