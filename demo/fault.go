package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cowslipgap/cowslipgap/pause"
	"github.com/cowslipgap/cowslipgap/standin"
)

const (
	firstFault   = 4 * time.Second
	betweenFault = 6 * time.Second
	shortFault   = 2 * time.Second
	longFault    = 9 * time.Second
	goodputSpan  = 3 * time.Second
	// pairEvery is of how many faults one comes together with the next.
	pairEvery = 3
)

// Fault is a fault that was drawn, and the goodput around it.
type Fault struct {
	Kind  string                `json:"kind"`
	What  string                `json:"what"`
	Begin time.Duration         `json:"beginNanos"` // since the load began
	End   time.Duration         `json:"endNanos"`
	Zones map[string][3]float64 `json:"zones"` // answers a second before, during and after

	begin, end time.Time
}

// kind is a fault that can be drawn: it breaks something, waits, and heals it.
type kind struct {
	name string
	run  func(d *Demo, ctx context.Context, rng *rand.Rand, length time.Duration) (what string)
}

var kinds = []kind{
	{"host killed", func(d *Demo, ctx context.Context, rng *rand.Rand, _ time.Duration) string {
		return d.onPlace(rng, func(p *place) { p.restart(ctx, false) })
	}},
	{"host drained", func(d *Demo, ctx context.Context, rng *rand.Rand, _ time.Duration) string {
		return d.onPlace(rng, func(p *place) {
			d.checks.drains.begin(p.url())
			p.restart(ctx, true)
			d.checks.drains.end(p.url())
		})
	}},
	{"host cut off", func(d *Demo, ctx context.Context, rng *rand.Rand, length time.Duration) string {
		return d.onPlace(rng, func(p *place) {
			p.cut(true)
			pause.For(ctx, length)
			p.cut(false)
		})
	}},
	{"zone cut off", func(d *Demo, ctx context.Context, rng *rand.Rand, length time.Duration) string {
		zone := d.Deployment.Zones[rng.IntN(len(d.Deployment.Zones))]
		d.cutZone(zone, true)
		pause.For(ctx, length)
		d.cutZone(zone, false)
		return zone
	}},
	{"table refuses", tableFault(standin.TableFault{Outage: "refuse"})},
	{"table hangs", tableFault(standin.TableFault{Outage: "hang"})},
	{"table loses replies", tableFault(standin.TableFault{LoseReplies: 0.3})},
	{"table slow", tableFault(standin.TableFault{DelayMillis: 400})},
	{"worker down", workerFault("down")},
	{"worker leaving", workerFault("leaving")},
}

func tableFault(f standin.TableFault) func(*Demo, context.Context, *rand.Rand, time.Duration) string {
	return func(d *Demo, ctx context.Context, _ *rand.Rand, length time.Duration) string {
		d.standin.Break(f)
		pause.For(ctx, length)
		d.standin.Break(standin.TableFault{})
		return "the platform's table"
	}
}

func workerFault(mode string) func(*Demo, context.Context, *rand.Rand, time.Duration) string {
	return func(d *Demo, ctx context.Context, rng *rand.Rand, length time.Duration) string {
		names := d.standin.Workers()
		name := names[rng.IntN(len(names))]
		_ = d.standin.SetWorker(name, mode) // the name is one of its own
		pause.For(ctx, length)
		_ = d.standin.SetWorker(name, "")
		return name
	}
}

// onPlace breaks a random entry host that no other fault has.
func (d *Demo) onPlace(rng *rand.Rand, f func(*place)) string {
	p := d.places[rng.IntN(len(d.places))]
	if !p.take() {
		return p.settings.Name + ", already broken"
	}
	defer p.give()
	f(p)
	return p.settings.Name
}

func (d *Demo) cutZone(zone string, on bool) {
	for _, p := range d.places {
		if p.settings.Zone == zone {
			p.cut(on)
		}
	}
}

// drawFaults breaks things, one or two at a time, until the load is near its end.
func (d *Demo) drawFaults(ctx context.Context, began time.Time) {
	rng := rand.New(rand.NewPCG(d.Seed, 77))
	pause.For(ctx, firstFault)
	for {
		count := 1
		if rng.IntN(pairEvery) == 0 {
			count = 2
		}
		done := make(chan Fault, count)
		for range count {
			k := kinds[rng.IntN(len(kinds))]
			length := shortFault + time.Duration(rng.Int64N(int64(longFault-shortFault)))
			own := rand.New(rand.NewPCG(d.Seed, rng.Uint64()))
			if time.Since(began)+length+betweenFault > d.Length {
				done <- Fault{}
				continue
			}
			go func() {
				f := Fault{Kind: k.name, begin: time.Now()}
				f.What = k.run(d, ctx, own, length)
				f.end = time.Now()
				done <- f
			}()
		}
		for range count {
			f := <-done
			if f.Kind == "" {
				continue
			}
			f.Begin, f.End = f.begin.Sub(began).Round(time.Millisecond), f.end.Sub(began).Round(time.Millisecond)
			d.Log.Warn("demo: fault", "kind", f.Kind, "what", f.What, "begin", f.Begin, "end", f.End)
			d.faults = append(d.faults, f)
		}
		if !pause.For(ctx, betweenFault) {
			return
		}
	}
}

// goodput counts each zone's answers a second around every fault.
func (d *Demo) goodput() []Fault {
	requests := d.load.Result().Requests
	for i := range d.faults {
		f := &d.faults[i]
		f.Zones = map[string][3]float64{}
		spans := [3][2]time.Time{{f.begin.Add(-goodputSpan), f.begin}, {f.begin, f.end}, {f.end, f.end.Add(goodputSpan)}}
		for _, zone := range d.Deployment.Zones {
			var rates [3]float64
			for k, span := range spans {
				count := 0
				for _, r := range requests {
					if r.Zone == zone && r.Ran == "done" && r.Ended.After(span[0]) && !r.Ended.After(span[1]) {
						count++
					}
				}
				rates[k] = float64(count) / max(span[1].Sub(span[0]).Seconds(), 1e-3)
			}
			f.Zones[zone] = rates
		}
	}
	return d.faults
}

func (r Report) writeFaults(b *strings.Builder) {
	if len(r.Faults) == 0 {
		return
	}
	fmt.Fprintf(b, "\n%-22s %-20s %7s %7s  answers a second, by zone: before, during, after\n", "fault", "what", "from", "to")
	for _, f := range r.Faults {
		fmt.Fprintf(b, "%-22s %-20s %6.1fs %6.1fs ", f.Kind, f.What, f.Begin.Seconds(), f.End.Seconds())
		for zone, g := range f.Zones {
			fmt.Fprintf(b, " %s %.0f/%.0f/%.0f", zone, g[0], g[1], g[2])
		}
		b.WriteByte('\n')
	}
}
