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
	firstFaultDelay = 4 * time.Second
	faultInterval   = 6 * time.Second
	minFaultLength  = 2 * time.Second
	maxFaultLength  = 9 * time.Second
	goodputWindow   = 3 * time.Second
	// pairOneIn is n if on average one round in n injects two faults at once.
	pairOneIn = 3
)

// Fault is a fault that was injected, and the goodput around it.
type Fault struct {
	Kind   string                `json:"kind"`
	Target string                `json:"what"`       // what the fault affected
	Begin  time.Duration         `json:"beginNanos"` // since the start of the load
	End    time.Duration         `json:"endNanos"`
	Zones  map[string][3]float64 `json:"zones"` // responses per second before, during and after the fault

	begin, end time.Time
}

// faultKind is a kind of fault that can be injected. run causes the fault,
// waits, ends the fault and returns what it affected.
type faultKind struct {
	name string
	run  func(d *Demo, ctx context.Context, rng *rand.Rand, length time.Duration) (what string)
}

var faultKinds = []faultKind{
	{"host killed", func(d *Demo, ctx context.Context, rng *rand.Rand, _ time.Duration) string {
		return d.withRandomNode(rng, func(n *node) { n.restart(ctx, false) })
	}},
	{"host drained", func(d *Demo, ctx context.Context, rng *rand.Rand, _ time.Duration) string {
		return d.withRandomNode(rng, func(n *node) {
			d.checks.drains.begin(n.url())
			n.restart(ctx, true)
			d.checks.drains.end(n.url())
		})
	}},
	{"host cut off", func(d *Demo, ctx context.Context, rng *rand.Rand, length time.Duration) string {
		return d.withRandomNode(rng, func(n *node) {
			n.setIsolated(true)
			pause.Sleep(ctx, length)
			n.setIsolated(false)
		})
	}},
	{"zone cut off", func(d *Demo, ctx context.Context, rng *rand.Rand, length time.Duration) string {
		zone := d.Deployment.Zones[rng.IntN(len(d.Deployment.Zones))]
		d.setZoneIsolated(zone, true)
		pause.Sleep(ctx, length)
		d.setZoneIsolated(zone, false)
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
		d.standin.SetTableFault(f)
		pause.Sleep(ctx, length)
		d.standin.SetTableFault(standin.TableFault{})
		return "the platform's table"
	}
}

func workerFault(mode string) func(*Demo, context.Context, *rand.Rand, time.Duration) string {
	return func(d *Demo, ctx context.Context, rng *rand.Rand, length time.Duration) string {
		names := d.standin.Workers()
		name := names[rng.IntN(len(names))]
		_ = d.standin.SetWorkerMode(name, mode) // the name exists: it comes from Workers
		pause.Sleep(ctx, length)
		_ = d.standin.SetWorkerMode(name, "")
		return name
	}
}

// withRandomNode reserves a random node and calls f with it. If another fault
// has reserved that node, f is not called.
func (d *Demo) withRandomNode(rng *rand.Rand, f func(*node)) string {
	n := d.nodes[rng.IntN(len(d.nodes))]
	if !n.reserve() {
		return n.settings.Name + ", already broken"
	}
	defer n.release()
	f(n)
	return n.settings.Name
}

func (d *Demo) setZoneIsolated(zone string, isolated bool) {
	for _, n := range d.nodes {
		if n.settings.Zone == zone {
			n.setIsolated(isolated)
		}
	}
}

// injectFaults injects one or two faults at a time until ctx is done. It leaves
// out faults that would end less than faultInterval before the end of the load.
func (d *Demo) injectFaults(ctx context.Context, began time.Time) {
	rng := rand.New(rand.NewPCG(d.Seed, 77))
	pause.Sleep(ctx, firstFaultDelay)
	for {
		count := 1
		if rng.IntN(pairOneIn) == 0 {
			count = 2
		}
		done := make(chan Fault, count)
		for range count {
			k := faultKinds[rng.IntN(len(faultKinds))]
			length := minFaultLength + time.Duration(rng.Int64N(int64(maxFaultLength-minFaultLength)))
			faultRNG := rand.New(rand.NewPCG(d.Seed, rng.Uint64()))
			if time.Since(began)+length+faultInterval > d.Length {
				done <- Fault{}
				continue
			}
			go func() {
				f := Fault{Kind: k.name, begin: time.Now()}
				f.Target = k.run(d, ctx, faultRNG, length)
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
			d.Log.Warn("demo: fault", "kind", f.Kind, "what", f.Target, "begin", f.Begin, "end", f.End)
			d.faults = append(d.faults, f)
		}
		if !pause.Sleep(ctx, faultInterval) {
			return
		}
	}
}

// measureGoodput computes the successful responses per second of each zone
// before, during and after every fault.
func (d *Demo) measureGoodput() []Fault {
	requests := d.load.Result().Requests
	for i := range d.faults {
		f := &d.faults[i]
		f.Zones = map[string][3]float64{}
		windows := [3][2]time.Time{{f.begin.Add(-goodputWindow), f.begin}, {f.begin, f.end}, {f.end, f.end.Add(goodputWindow)}}
		for _, zone := range d.Deployment.Zones {
			var rates [3]float64
			for k, window := range windows {
				count := 0
				for _, r := range requests {
					if r.Zone == zone && r.Ran == "done" && r.EndedAt.After(window[0]) && !r.EndedAt.After(window[1]) {
						count++
					}
				}
				rates[k] = float64(count) / max(window[1].Sub(window[0]).Seconds(), 1e-3)
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
	fmt.Fprintf(b, "\n%-22s %-20s %7s %7s  responses per second by zone: before, during, after\n", "fault", "what", "from", "to")
	for _, f := range r.Faults {
		fmt.Fprintf(b, "%-22s %-20s %6.1fs %6.1fs ", f.Kind, f.Target, f.Begin.Seconds(), f.End.Seconds())
		for zone, g := range f.Zones {
			fmt.Fprintf(b, " %s %.0f/%.0f/%.0f", zone, g[0], g[1], g[2])
		}
		b.WriteByte('\n')
	}
}
