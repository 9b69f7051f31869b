package lease

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The model: three hosts of one zone, a table that takes conditional writes,
// and a network that may lose, delay or cut everything. Time goes in ticks.
const (
	hosts     = 3
	tick      = time.Second
	maxBeats  = 3 // heartbeats of a host in one exhaustive run
	testLease = 2 * tick
)

var testRules = Rules{Lease: testLease, Margin: tick, SoloLimit: 6 * tick}

// write is a heartbeat or a claim on its way to the table.
type write struct {
	from, of  int
	claim     bool
	rev       int // of the heartbeat row that it replaces or relies on
	successor string
	sent      int
}

// world is one state of the model.
type world struct {
	rules   Rules
	now     int
	holder  [hosts]Holder
	crashed [hosts]bool
	beatRev [hosts]int
	ownRev  [hosts]int // revision that the host knows of its own row
	row     [hosts]Row
	owner   [hosts]int // who owns the racks of each host
	pending []write
	asked   []write // promises on their way back
}

func newWorld(rules Rules) *world {
	w := &world{rules: rules}
	for i := range hosts {
		w.owner[i] = i
		w.holder[i] = Holder{Self: name(i), Addr: name(i), Rules: rules}
	}
	for i := range hosts {
		w.beat(i)
		w.deliver(len(w.pending)-1, true)
	}
	return w
}

func name(i int) string { return string(rune('a' + i)) }

func (w *world) time(n int) time.Time { return time.Unix(0, 0).Add(time.Duration(n) * tick) }

func (w *world) clone() *world {
	c := *w
	for i := range hosts {
		h := &c.holder[i]
		h.named, h.promised, h.granted = maps.Clone(h.named), maps.Clone(h.promised), maps.Clone(h.granted)
		h.claiming, h.seen = maps.Clone(h.claiming), maps.Clone(h.seen)
	}
	c.pending, c.asked = slices.Clone(w.pending), slices.Clone(w.asked)
	return &c
}

// key describes a state; equal states have equal keys.
func (w *world) key() string {
	var b strings.Builder
	fmt.Fprint(&b, w.now, w.crashed, w.beatRev, w.ownRev, w.owner, w.pending, w.asked)
	for i := range hosts {
		h := &w.holder[i]
		fmt.Fprint(&b, h.acked.Unix(), h.fenced, h.named, h.claiming)
		for j := range hosts {
			fmt.Fprint(&b, h.promised[name(j)].Unix(), h.granted[name(j)].Unix(), h.seen[name(j)].row.Beat, h.seen[name(j)].since.Unix())
		}
	}
	return b.String()
}

// beat sends host i's heartbeat. The successor is the next host not yet fenced.
func (w *world) beat(i int) {
	successor := ""
	for d := 1; d < hosts && successor == ""; d++ {
		if j := (i + d) % hosts; w.owner[j] == j {
			successor = name(j)
		}
	}
	w.holder[i].SendHeartbeat(successor)
	w.pending = append(w.pending, write{from: i, of: i, rev: w.ownRev[i], successor: successor, sent: w.now})
}

// deliver applies a pending write; its reply may be lost.
func (w *world) deliver(n int, replied bool) {
	p := w.pending[n]
	w.pending = slices.Delete(w.pending, n, n+1)
	if w.beatRev[p.of] != p.rev || w.owner[p.of] != p.of || w.owner[p.from] != p.from {
		return
	}
	if p.claim {
		w.owner[p.of] = p.from
		return
	}
	w.beatRev[p.of]++
	w.row[p.of] = Row{Session: name(p.of), Addr: name(p.of), Beat: uint64(w.beatRev[p.of]), Successor: p.successor, Lease: testLease}
	if replied && !w.crashed[p.from] {
		w.ownRev[p.of] = w.beatRev[p.of]
		w.holder[p.of].AckHeartbeat(w.time(p.sent), p.successor, testLease)
	}
}

// read lets host i read the table.
func (w *world) read(i int) {
	w.ownRev[i] = w.beatRev[i]
	if w.owner[i] != i {
		w.holder[i].Fence()
	}
	for j := range hosts {
		if j != i {
			w.holder[i].See(w.time(w.now), w.row[j])
		}
	}
}

// moves returns the states that can follow.
func (w *world) moves() []*world {
	var next []*world
	add := func(f func(*world)) {
		c := w.clone()
		f(c)
		next = append(next, c)
	}
	add(func(c *world) { c.now++ })
	for n := range w.pending {
		add(func(c *world) { c.deliver(n, true) })
		add(func(c *world) { c.deliver(n, false) })
		add(func(c *world) { c.pending = slices.Delete(c.pending, n, n+1) })
	}
	for n := range w.asked {
		add(func(c *world) {
			a := c.asked[n]
			c.asked = slices.Delete(c.asked, n, n+1)
			c.holder[a.of].AckPromise(name(a.from), c.time(a.sent))
		})
	}
	for i := range hosts {
		if w.crashed[i] || w.holder[i].Fenced() {
			continue
		}
		next = append(next, w.movesOf(i)...)
	}
	return next
}

func (w *world) movesOf(i int) []*world {
	var next []*world
	add := func(f func(*world)) {
		c := w.clone()
		f(c)
		next = append(next, c)
	}
	busy := slices.ContainsFunc(w.pending, func(p write) bool { return p.from == i })
	if !busy && w.beatRev[i] < maxBeats {
		add(func(c *world) { c.beat(i) })
	}
	add(func(c *world) { c.read(i) })
	for j := range hosts {
		if j == i || w.crashed[j] {
			continue
		}
		if len(w.asked) == 0 && w.holder[i].named[name(j)] {
			add(func(c *world) { // j answers at once; the reply comes when it comes
				if c.holder[j].Grant(c.time(c.now), name(i)) {
					c.asked = append(c.asked, write{from: j, of: i, sent: c.now})
				}
			})
		}
	}
	for j := range hosts {
		if !busy && !w.holder[i].claiming[name(j)] && w.holder[i].MayClaim(w.time(w.now), name(j)) {
			add(func(c *world) {
				c.holder[i].Claim(name(j))
				c.pending = append(c.pending, write{from: i, of: j, claim: true, rev: int(c.holder[i].Beat(name(j)))})
			})
		}
	}
	if i == 0 {
		add(func(c *world) { c.crashed[i] = true })
	}
	return next
}

// twoOwners reports whether a host acts whose racks another has taken over.
func (w *world) twoOwners() bool {
	for i := range hosts {
		if w.owner[i] != i && !w.crashed[i] && w.time(w.now).Before(w.holder[i].Until()) {
			return true
		}
	}
	return false
}

// explore visits every state within maxTime ticks, up to a number of states, and
// reports whether one has two owners.
func explore(rules Rules, maxTime, maxStates int) (broken bool, states int) {
	first := newWorld(rules)
	seen := map[string]bool{first.key(): true}
	queue := []*world{first}
	for len(queue) > 0 && len(seen) < maxStates {
		w := queue[0]
		queue = queue[1:]
		for _, next := range w.moves() {
			if next.twoOwners() {
				return true, len(seen)
			}
			if key := next.key(); next.now <= maxTime && !seen[key] {
				seen[key] = true
				queue = append(queue, next)
			}
		}
	}
	return false, len(seen)
}

// wander takes random walks through a longer time than explore can.
func wander(rules Rules, seed uint64, walks, steps int) (broken bool, claims int) {
	rng := rand.New(rand.NewPCG(seed, 0))
	for range walks {
		w := newWorld(rules)
		for range steps {
			next := w.moves()
			w = next[rng.IntN(len(next))]
			if w.twoOwners() {
				return true, claims
			}
		}
		for i := range hosts {
			if w.owner[i] != i {
				claims++
			}
		}
	}
	return false, claims
}

const (
	exhaustiveTime   = 6
	exhaustiveStates = 60_000
	walkSeed         = 7
	walks            = 3000
	walkSteps        = 60
)

// TestOneOwner finds no two owners, and sees takeovers happen.
func TestOneOwner(t *testing.T) {
	broken, states := explore(testRules, exhaustiveTime, exhaustiveStates)
	require.False(t, broken)
	require.Greater(t, states, 10_000)
	broken, claims := wander(testRules, walkSeed, walks, walkSteps)
	require.False(t, broken)
	require.Greater(t, claims, 50, "the walks take racks over")
}

// TestBrokenRulesAreFound breaks each part of the rule; the checks must see it.
func TestBrokenRulesAreFound(t *testing.T) {
	for what, change := range map[string]func(*Rules){
		"promises": func(r *Rules) { r.BreakPromises = true },
		"lapse":    func(r *Rules) { r.BreakLapse = true },
		"naming":   func(r *Rules) { r.BreakNaming = true },
	} {
		t.Run(what, func(t *testing.T) {
			rules := testRules
			change(&rules)
			broken, _ := explore(rules, exhaustiveTime, exhaustiveStates)
			if !broken {
				broken, _ = wander(rules, walkSeed, 10*walks, walkSteps)
			}
			require.True(t, broken)
		})
	}
}

// TestCarryOn keeps a host in authority through a long table outage by its
// successor's promises, and ends it when they end.
func TestCarryOn(t *testing.T) {
	w := newWorld(Rules{Lease: testLease, Margin: tick, SoloLimit: 100 * tick})
	a, b := &w.holder[0], &w.holder[1]
	for range 50 {
		w.now++
		require.True(t, b.Grant(w.time(w.now), "a"))
		a.AckPromise("b", w.time(w.now))
		require.True(t, w.time(w.now).Before(a.Until()))
	}
	w.now += 3
	require.False(t, w.time(w.now).Before(a.Until()), "without promises the authority lapses")
	a.AckPromise("b", w.time(w.now))
	require.True(t, w.time(w.now).Before(a.Until()), "the successor promises again, so nobody has claimed")
}
