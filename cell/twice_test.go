package cell

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/workload"
)

var (
	twiceSeeds = flag.Int("twiceSeeds", 30, "number of seeds of TestNoTaskRunsTwice")
	twiceFirst = flag.Uint64("twiceFirst", 1, "first seed of TestNoTaskRunsTwice")
	// twiceRestarts leaves only starts and stops that are held up, cuts, and restarts of workers.
	twiceRestarts = flag.Bool("twiceRestarts", false, "TestNoTaskRunsTwice draws few kinds of faults, for jobs without advice")
)

const (
	twiceLoad  = 14 * time.Second // jobs are handed in and faults begin until then
	twiceEnd   = 45 * time.Second
	twiceSpans = 14 // faults of a seed
)

// twiceJob draws a job of any kind.
func twiceJob(rng *rand.Rand, id string) *workload.Job {
	short := time.Duration(100+rng.IntN(1900)) * time.Millisecond
	var spec *workload.Job
	switch rng.IntN(5) {
	case 0:
		spec = lookupJob(id)
		spec.Steps[0].Estimate = short
	case 1:
		spec = quoteJob(id)
		spec.Steps[0].Estimate, spec.Steps[0].Count, spec.Steps[1].Estimate = short, 2+rng.IntN(8), short
	case 2:
		spec = gangJob(id)
		spec.Steps[0].Estimate, spec.Steps[0].Count = short, 2+rng.IntN(3)
		spec.Steps[0].Need = resource.Vector{MilliCPU: 4000, MemoryMB: 8000}
	case 3:
		spec = gangJob(id)
		spec.Steps[0].Estimate, spec.Steps[0].Count = short, 6+rng.IntN(6)
		spec.Steps[0].Need = resource.Vector{MilliCPU: 9000, MemoryMB: 17000}
	default:
		spec = lookupJob(id)
		spec.Steps[0].Estimate, spec.Steps[0].Speculative, spec.Steps[0].Checkpointing = 2*short, rng.IntN(2) == 0, rng.IntN(2) == 0
	}
	if rng.IntN(2) == 0 {
		spec.Queue.Advice = nil
	}
	return spec
}

// twiceFaults begin a fault at a worker, or for all, of which most end after the given time.
var twiceFaults = []func(f *simFleet, w *simWorker, span time.Duration, rng *rand.Rand){
	func(f *simFleet, w *simWorker, span time.Duration, rng *rand.Rand) {
		f.lateStartShare = twiceShare(rng)
		f.after(span, func() { f.lateStartShare = 0 })
	},
	func(f *simFleet, w *simWorker, span time.Duration, rng *rand.Rand) {
		f.stopDelay = time.Duration(500+rng.IntN(8000)) * time.Millisecond
		f.after(span, func() { f.stopDelay = 0 })
	},
	func(f *simFleet, w *simWorker, span time.Duration, rng *rand.Rand) {
		f.stopsLost = true
		f.after(span, func() { f.stopsLost = false })
	},
	func(f *simFleet, w *simWorker, span time.Duration, rng *rand.Rand) {
		if f.owner != nil {
			f.killOwner(time.Duration(200+rng.IntN(3000)) * time.Millisecond)
		}
	},
	func(f *simFleet, w *simWorker, span time.Duration, rng *rand.Rand) {
		if f.owner != nil && len(f.storeUnreachable) == 0 {
			f.isolateOwner(time.Duration(300+rng.IntN(2500))*time.Millisecond, 3*time.Second+span)
		}
	},
	func(f *simFleet, w *simWorker, span time.Duration, rng *rand.Rand) {
		f.commitAnswerDelay = func() time.Duration { return time.Duration(f.rng.IntN(1500)) * time.Millisecond }
		f.after(span, func() { f.commitAnswerDelay = nil })
	},
	func(f *simFleet, w *simWorker, span time.Duration, rng *rand.Rand) {
		f.storeLatency = time.Duration(20+rng.IntN(800)) * time.Millisecond
		f.after(span, func() { f.storeLatency = 0 })
	},
	func(f *simFleet, w *simWorker, span time.Duration, rng *rand.Rand) {
		w.cutOff = true
		f.after(span, func() { w.cutOff = false })
	},
	func(f *simFleet, w *simWorker, span time.Duration, rng *rand.Rand) {
		w.answersLost = true
		f.after(span, func() { w.answersLost = false })
	},
	func(f *simFleet, w *simWorker, span time.Duration, rng *rand.Rand) {
		f.crashes.sameID = rng.IntN(2) == 0
		f.crashWorker(w)
	},
	func(f *simFleet, w *simWorker, span time.Duration, rng *rand.Rand) {
		w.info.Draining = true
		f.after(span, func() {
			if !w.gone && !w.refuses {
				f.leave(w, time.Second, rng.IntN(2) == 0)
			}
		})
	},
	func(f *simFleet, w *simWorker, span time.Duration, rng *rand.Rand) {
		w.failing = true
		f.after(span, func() { w.failing = false })
	},
	func(f *simFleet, w *simWorker, span time.Duration, rng *rand.Rand) {
		f.latePollShare = twiceShare(rng)
		f.after(span, func() { f.latePollShare = 0 })
	},
	func(f *simFleet, w *simWorker, span time.Duration, rng *rand.Rand) {
		f.answerDelay = func() time.Duration { return time.Duration(f.rng.IntN(1+f.rng.IntN(2000))) * time.Millisecond }
		f.after(span, func() { f.answerDelay = nil })
	},
	func(f *simFleet, w *simWorker, span time.Duration, rng *rand.Rand) {
		f.cancelAny(rng)
	},
	func(f *simFleet, w *simWorker, span time.Duration, rng *rand.Rand) {
		if f.owner != nil {
			f.giveUp(time.Duration(50+rng.IntN(1500)) * time.Millisecond)
		}
	},
}

// twiceShare draws a share of calls.
func twiceShare(rng *rand.Rand) float64 { return 0.05 + 0.4*rng.Float64() }

// twiceFault begins a fault of any kind.
func (f *simFleet) twiceFault(rng *rand.Rand) {
	span := time.Duration(200+rng.IntN(7000)) * time.Millisecond
	var ids []string
	for id, w := range inOrder(f.workers) {
		if !w.gone && !w.refuses && !w.replaced {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return
	}
	w := f.workers[ids[rng.IntN(len(ids))]]
	if *twiceRestarts {
		kinds := []int{0, 0, 1, 2, 12, 8, 3, 9, 9, 9} // in twiceFaults
		twiceFaults[kinds[rng.IntN(len(kinds))]](f, w, span, rng)
		return
	}
	twiceFaults[rng.IntN(len(twiceFaults))](f, w, span, rng)
}

// newTwiceFleet returns a fleet with jobs and faults of all kinds.
func newTwiceFleet(t testing.TB, seed uint64) *simFleet {
	rng := rand.New(rand.NewPCG(seed, 45))
	f := newFleet(t, seed, 3+rng.IntN(9))
	f.eligiblePercent, f.hostsReclaim = 100, rng.IntN(2) == 0
	if rng.IntN(3) == 0 {
		f.maxResults = 1 + rng.IntN(4)
		f.owner.MaxResults = f.maxResults
	}
	for i := range 10 + rng.IntN(25) {
		at := time.Second + time.Duration(rng.Int64N(int64(twiceLoad)))
		j := f.submit(at, twiceJob(rng, fmt.Sprintf("ab%014x", i)))
		if rng.IntN(4) == 0 {
			f.at(at+time.Duration(500+rng.IntN(6000))*time.Millisecond, func() {
				if j.accepted {
					f.submitNow(j)
				}
			})
		}
	}
	for _, j := range f.jobs {
		if *twiceRestarts {
			j.spec.Queue.Advice = nil
		}
	}
	for range rng.IntN(twiceSpans) {
		f.at(2*time.Second+time.Duration(rng.Int64N(int64(twiceLoad))), func() { f.twiceFault(rng) })
	}
	return f
}

// TestNoTaskRunsTwice plays short days with faults of all kinds at once. A task never has two
// runs, nor a start after a run has ended as done and that end is acknowledged.
func TestNoTaskRunsTwice(t *testing.T) {
	t.Parallel()
	for i := range *twiceSeeds {
		seed := *twiceFirst + uint64(i)
		f := newTwiceFleet(t, seed)
		f.runUntil(twiceEnd)
		broken := slices.DeleteFunc(f.violations, func(v string) bool { return !strings.Contains(v, " TWICE: ") })
		require.Empty(t, broken, "seed %d", seed)
	}
}
