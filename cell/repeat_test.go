package cell

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// maxReplays is how often each load is replayed.
const maxReplays = 3

// replayLoads are loads of simulated fleets that together reach the parts of the cell that
// decide.
var replayLoads = []struct {
	name    string
	seconds int
	build   func(t *testing.T) *simFleet
}{
	{"gangs, advice and a killed owner", 24, func(t *testing.T) *simFleet {
		f := newFleet(t, 3, 48)
		f.submitMix("00", 2*time.Second, 16*time.Second, 20, 4, 1.2)
		f.at(7*time.Second, func() { f.adviceDownHost = "a1" })
		f.at(9*time.Second, func() { f.killOwner(700 * time.Millisecond) })
		return f
	}},
	{"isolated owner", 24, func(t *testing.T) *simFleet {
		f := newFleet(t, 4, 48)
		f.submitMix("00", 2*time.Second, 16*time.Second, 20, 4, 1)
		f.at(7*time.Second, func() { f.isolateOwner(2*time.Second, 8*time.Second) })
		return f
	}},
	{"tasks that crash workers", 24, func(t *testing.T) *simFleet {
		f := newFleet(t, 2, 48)
		f.submitMix("00", 2*time.Second, 16*time.Second, 20, 4, 1)
		f.markGuilty("bb00000000000003.0.0.1")
		f.markGuilty("cc00000000000002")
		f.at(11*time.Second, func() { f.crashWorkers(func(info WorkerInfo) bool { return info.Rack == "r2" }) })
		return f
	}},
	{"workers that crash and return", 18, func(t *testing.T) *simFleet {
		f, _ := newCrashLoad(t, 1, crashLoad{burst: true, crashes: true, deaths: true, slowStore: true})
		return f
	}},
	{"uneven workers and run times, learned state", 24, func(t *testing.T) *simFleet {
		f := newUnevenFleet(t, 1, unevenSpeeds)
		unevenLoads[1].simulate(f)
		f.misestimate(0.03)
		f.at(17500*time.Millisecond, func() { f.killOwner(1300 * time.Millisecond) })
		return f
	}},
	{"copies of slow runs", 24, func(t *testing.T) *simFleet {
		f, _ := newSlowRunFleet(t, true)
		return f
	}},
	{"moves of slow runs", 24, func(t *testing.T) *simFleet {
		f, _ := newMoveFleet(t, true)
		return f
	}},
	{"preemption", 30, func(t *testing.T) *simFleet { return fullOfBulk(t, 3, 4*time.Second) }},
	{"evacuations", 24, func(t *testing.T) *simFleet {
		f := newZonedFleet(t, 2, 48)
		f.submitMix("00", 2*time.Second, 16*time.Second, 20, 4, 1)
		f.at(6*time.Second, func() { f.evacuate("a") })
		f.at(8*time.Second, func() { f.killOwner(700 * time.Millisecond) })
		f.at(11*time.Second, func() { f.evacuate("b") })
		return f
	}},
	{"promises to refused callers of unequal teams", 24, func(t *testing.T) *simFleet {
		f := newFleet(t, 6, 16)
		skewedTeams(f)
		f.retries = 3
		f.submitMix("00", 2*time.Second, 16*time.Second, 60, 8, 1)
		f.submitMix("01", 6*time.Second, 9*time.Second, 60, 2, 0)
		f.at(11*time.Second, func() { f.killOwner(700 * time.Millisecond) })
		return f
	}},
	{"store outage", 24, func(t *testing.T) *simFleet {
		f := newFleet(t, 5, 48)
		f.submitMix("00", 2*time.Second, 12*time.Second, 60, 6, 1)
		f.at(5*time.Second, func() { f.storeDown = true })
		f.at(14*time.Second, func() { f.storeDown = false })
		return f
	}},
}

// replay is what a cell was told and did, one entry an update.
type replay struct {
	at     []Instant
	hashes []uint64
}

// appendUpdate appends an event and its effects as text.
func appendUpdate(b []byte, event any, effects []any) []byte {
	switch e := event.(type) {
	case Submit:
		b = fmt.Appendf(b, "Submit %d %s\n", e.Reply, e.Job.ID)
	case Claimed:
		b = fmt.Appendf(b, "Claimed %d\n", e.Token)
		for _, stored := range e.Jobs {
			b = fmt.Appendf(b, "  %s %v\n", stored.ID, stored.Progress)
		}
		b = fmt.Appendf(b, "  %v %x\n", e.Workers, e.Learned)
	case PollResult:
		b = fmt.Appendf(b, "PollResult %s %v %v %+v %+v\n", e.Worker, e.Sent, e.Failure, e.Report.Running, e.Report.Ended)
	default:
		b = fmt.Appendf(b, "%T %+v\n", event, event)
	}
	for _, effect := range effects {
		b = fmt.Appendf(b, "  %T %+v\n", effect, effect)
	}
	return b
}

// record plays a load and returns its updates, and the text of the one with the given index.
func record(t *testing.T, build func(t *testing.T) *simFleet, end Instant, wanted int) (replay, string) {
	var got replay
	var update []byte
	text := "no such update"
	f := build(t)
	f.onUpdate = func(_ *Cell, event any, effects []any, _ time.Duration) {
		update = appendUpdate(update[:0], event, effects)
		if len(got.hashes) == wanted {
			text = fmt.Sprintf("at %v: %s", f.now, update)
		}
		sum := fnv.New64a()
		_, _ = sum.Write(update) // never fails
		got.at, got.hashes = append(got.at, f.now), append(got.hashes, sum.Sum64())
	}
	f.runUntil(end)
	return got, text
}

// TestReplaysAreTheSame plays each load several times. The same events must lead to the same
// effects in the same order.
func TestReplaysAreTheSame(t *testing.T) {
	t.Parallel()
	for _, load := range replayLoads {
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			end := time.Duration(load.seconds) * time.Second
			first, _ := record(t, load.build, end, -1)
			require.NotEmpty(t, first.hashes)
			for range maxReplays - 1 {
				next, _ := record(t, load.build, end, -1)
				if slices.Equal(first.hashes, next.hashes) {
					continue
				}
				n := 0
				for n < min(len(first.hashes), len(next.hashes)) && first.hashes[n] == next.hashes[n] {
					n++
				}
				_, one := record(t, load.build, end, n)
				other := one
				for range 20 { // the order differs from play to play
					if _, other = record(t, load.build, end, n); other != one {
						break
					}
				}
				t.Fatalf("update %d of %d differs, at %v:\n%s\n%s", n, len(first.hashes), first.at[min(n, len(first.at)-1)], one, other)
			}
		})
	}
}
