// Package relay decides through which entry hosts the owner of a cell sends its
// commands to the workers.
//
// It answers the load pattern of a large fleet: every task takes a start, a poll and
// their answers, and one host has neither the processor time nor the bandwidth to
// exchange these with a thousand workers. Relays do it for a share of the workers
// each, and the owner exchanges batches with the relays. There are only as many relays
// as the workers need, because a batch that is shared by few commands saves little.
//
// # Usage
//
//	plan := relay.New([]relay.Host{{Name: "a1", Zone: "a", Capacity: 80}}, map[string]int{"a": 40})
//	hosts := plan.Route("worker-1", "a") // in order of preference
package relay

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

const (
	// headroom is the ratio of the capacity of the relays to the number of workers.
	headroom = 2
	// minPerZone is the minimum number of relays of a zone, if it has as many hosts, so
	// that the loss of one leaves another in the same zone.
	minPerZone = 2
)

// Host is an entry host that can serve as a relay.
type Host struct {
	Name     string
	Zone     string
	Capacity int // number of workers that it can serve
}

// Plan assigns relays to workers. The zero value assigns none.
type Plan struct {
	byZone map[string][]Host // relays by zone
	all    []Host            // relays of all zones
}

// New returns a plan with enough relays in each zone for the workers there.
func New(hosts []Host, workers map[string]int) Plan {
	hosts = slices.Clone(hosts)
	slices.SortFunc(hosts, func(a, b Host) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Name, b.Name))
	})
	p := Plan{byZone: map[string][]Host{}}
	capacity := map[string]int{}
	for _, h := range hosts {
		relays := p.byZone[h.Zone]
		if h.Capacity <= 0 || len(relays) >= minPerZone && capacity[h.Zone] >= headroom*workers[h.Zone] {
			continue
		}
		p.byZone[h.Zone] = append(relays, h)
		capacity[h.Zone] += h.Capacity
		p.all = append(p.all, h)
	}
	return p
}

// Relays returns the number of relays in the plan.
func (p *Plan) Relays() int { return len(p.all) }

// Route returns the names of up to two relays for a worker, the preferred one first.
// They are in the worker's zone if it has relays. Most routes stay the same when a
// relay is added or removed.
func (p *Plan) Route(worker, zone string) []string {
	relays := p.byZone[zone]
	if len(relays) == 0 {
		relays = p.all
	}
	first, second := "", ""
	firstScore, secondScore := math.Inf(1), math.Inf(1)
	for _, h := range relays {
		switch score := h.score(worker); {
		case score < firstScore:
			second, secondScore = first, firstScore
			first, firstScore = h.Name, score
		case score < secondScore:
			second, secondScore = h.Name, score
		}
	}
	var names []string
	for _, name := range []string{first, second} {
		if name != "" {
			names = append(names, name)
		}
	}
	return names
}

// score returns the weighted rendezvous score of a host for a worker. The lowest score
// wins, with a probability in proportion to the host's capacity.
func (h *Host) score(worker string) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(h.Name)) // never fails
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(worker))
	// FNV-1a mixes the last bytes poorly into the high bits.
	x := hash.Sum64()
	x ^= x >> 32
	x *= 0x9e3779b97f4a7c15
	uniform := (float64(x>>11) + 0.5) / (1 << 53)
	return -math.Log(uniform) / float64(h.Capacity)
}
