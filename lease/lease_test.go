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

// The model consists of three hosts of one zone, a table that takes conditional
// writes, and a network that may lose, delay or block any message. Time advances
// in ticks.
const (
	hosts         = 3
	tick          = time.Second
	maxHeartbeats = 3 // heartbeats of a host in one exhaustive run
	testLease     = 2 * tick
)

var testRules = Rules{Lease: testLease, Margin: tick, SoloLimit: 6 * tick}

// message is a heartbeat, a claim or a promise in transit.
type message struct {
	from, host int // sender, and the host that the message concerns
	claim      bool
	rev        int // revision of the heartbeat row that the write replaces or checks
	successor  string
	sent       int // tick in which it was sent
}

// model is the state of the hosts, the table and the network at one time.
type model struct {
	rules        Rules
	now          int
	holder       [hosts]Holder
	crashed      [hosts]bool
	heartbeatRev [hosts]int
	knownRev     [hosts]int // revision of its own row that each host knows
	row          [hosts]Row
	owner        [hosts]int // the host that owns the racks of each host
	pending      []message
	promises     []message // promises in transit
}

func newModel(rules Rules) *model {
	m := &model{rules: rules}
	for i := range hosts {
		m.owner[i] = i
		m.holder[i] = Holder{Self: hostName(i), Addr: hostName(i), Rules: rules}
	}
	for i := range hosts {
		m.sendHeartbeat(i)
		m.deliver(len(m.pending)-1, true)
	}
	return m
}

func hostName(i int) string { return string(rune('a' + i)) }

func (m *model) timeAt(n int) time.Time { return time.Unix(0, 0).Add(time.Duration(n) * tick) }

func (m *model) clone() *model {
	c := *m
	for i := range hosts {
		h := &c.holder[i]
		h.successors, h.promisedUntil, h.grantedUntil = maps.Clone(h.successors), maps.Clone(h.promisedUntil), maps.Clone(h.grantedUntil)
		h.claiming, h.observed = maps.Clone(h.claiming), maps.Clone(h.observed)
	}
	c.pending, c.promises = slices.Clone(m.pending), slices.Clone(m.promises)
	return &c
}

// key encodes a state; equal states have equal keys.
func (m *model) key() string {
	var b strings.Builder
	fmt.Fprint(&b, m.now, m.crashed, m.heartbeatRev, m.knownRev, m.owner, m.pending, m.promises)
	for i := range hosts {
		h := &m.holder[i]
		fmt.Fprint(&b, h.ackedSentAt.Unix(), h.fenced, h.successors, h.claiming)
		for j := range hosts {
			fmt.Fprint(&b, h.promisedUntil[hostName(j)].Unix(), h.grantedUntil[hostName(j)].Unix(), h.observed[hostName(j)].row.Heartbeat, h.observed[hostName(j)].firstSeen.Unix())
		}
	}
	return b.String()
}

// sendHeartbeat sends the heartbeat of host i. It names the next host that has not
// been taken over as its successor.
func (m *model) sendHeartbeat(i int) {
	successor := ""
	for d := 1; d < hosts && successor == ""; d++ {
		if j := (i + d) % hosts; m.owner[j] == j {
			successor = hostName(j)
		}
	}
	m.holder[i].SendHeartbeat(successor)
	m.pending = append(m.pending, message{from: i, host: i, rev: m.knownRev[i], successor: successor, sent: m.now})
}

// deliver applies a pending write. If replied is false, the reply is lost.
func (m *model) deliver(n int, replied bool) {
	p := m.pending[n]
	m.pending = slices.Delete(m.pending, n, n+1)
	if m.heartbeatRev[p.host] != p.rev || m.owner[p.host] != p.host || m.owner[p.from] != p.from {
		return
	}
	if p.claim {
		m.owner[p.host] = p.from
		return
	}
	m.heartbeatRev[p.host]++
	m.row[p.host] = Row{Session: hostName(p.host), Addr: hostName(p.host), Heartbeat: uint64(m.heartbeatRev[p.host]), Successor: p.successor, Lease: testLease}
	if replied && !m.crashed[p.from] {
		m.knownRev[p.host] = m.heartbeatRev[p.host]
		m.holder[p.host].AckHeartbeat(m.timeAt(p.sent), p.successor, testLease)
	}
}

// read makes host i read the table.
func (m *model) read(i int) {
	m.knownRev[i] = m.heartbeatRev[i]
	if m.owner[i] != i {
		m.holder[i].Fence()
	}
	for j := range hosts {
		if j != i {
			m.holder[i].Observe(m.timeAt(m.now), m.row[j])
		}
	}
}

// nextStates returns the states that can follow.
func (m *model) nextStates() []*model {
	var next []*model
	add := func(f func(*model)) {
		c := m.clone()
		f(c)
		next = append(next, c)
	}
	add(func(c *model) { c.now++ })
	for n := range m.pending {
		add(func(c *model) { c.deliver(n, true) })
		add(func(c *model) { c.deliver(n, false) })
		add(func(c *model) { c.pending = slices.Delete(c.pending, n, n+1) })
	}
	for n := range m.promises {
		add(func(c *model) {
			a := c.promises[n]
			c.promises = slices.Delete(c.promises, n, n+1)
			c.holder[a.host].AckPromise(hostName(a.from), c.timeAt(a.sent))
		})
	}
	for i := range hosts {
		if m.crashed[i] || m.holder[i].Fenced() {
			continue
		}
		next = append(next, m.nextStatesOf(i)...)
	}
	return next
}

// nextStatesOf returns the states that follow from an action of host i.
func (m *model) nextStatesOf(i int) []*model {
	var next []*model
	add := func(f func(*model)) {
		c := m.clone()
		f(c)
		next = append(next, c)
	}
	writePending := slices.ContainsFunc(m.pending, func(p message) bool { return p.from == i })
	if !writePending && m.heartbeatRev[i] < maxHeartbeats {
		add(func(c *model) { c.sendHeartbeat(i) })
	}
	add(func(c *model) { c.read(i) })
	for j := range hosts {
		if j == i || m.crashed[j] {
			continue
		}
		if len(m.promises) == 0 && m.holder[i].successors[hostName(j)] {
			add(func(c *model) { // j answers at once; the reply arrives at any later time
				if c.holder[j].Grant(c.timeAt(c.now), hostName(i)) {
					c.promises = append(c.promises, message{from: j, host: i, sent: c.now})
				}
			})
		}
	}
	for j := range hosts {
		if !writePending && !m.holder[i].claiming[hostName(j)] && m.holder[i].MayClaim(m.timeAt(m.now), hostName(j)) {
			add(func(c *model) {
				c.holder[i].Claim(hostName(j))
				c.pending = append(c.pending, message{from: i, host: j, claim: true, rev: int(c.holder[i].HeartbeatNumber(hostName(j)))})
			})
		}
	}
	if i == 0 {
		add(func(c *model) { c.crashed[i] = true })
	}
	return next
}

// hasTwoOwners reports whether a host still has authority over racks that another
// host has taken over.
func (m *model) hasTwoOwners() bool {
	for i := range hosts {
		if m.owner[i] != i && !m.crashed[i] && m.timeAt(m.now).Before(m.holder[i].AuthorityEnd()) {
			return true
		}
	}
	return false
}

// exploreStates visits every state up to maxTime ticks, but at most maxStates. It
// reports whether one of them has two owners.
func exploreStates(rules Rules, maxTime, maxStates int) (broken bool, states int) {
	first := newModel(rules)
	seen := map[string]bool{first.key(): true}
	queue := []*model{first}
	for len(queue) > 0 && len(seen) < maxStates {
		m := queue[0]
		queue = queue[1:]
		for _, next := range m.nextStates() {
			if next.hasTwoOwners() {
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

// randomWalks takes random walks that last longer than exploreStates can cover.
func randomWalks(rules Rules, seed uint64, walks, steps int) (broken bool, claims int) {
	rng := rand.New(rand.NewPCG(seed, 0))
	for range walks {
		m := newModel(rules)
		for range steps {
			next := m.nextStates()
			m = next[rng.IntN(len(next))]
			if m.hasTwoOwners() {
				return true, claims
			}
		}
		for i := range hosts {
			if m.owner[i] != i {
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

// TestRacksNeverHaveTwoOwners checks that no state has two owners and that the
// random walks include takeovers.
func TestRacksNeverHaveTwoOwners(t *testing.T) {
	broken, states := exploreStates(testRules, exhaustiveTime, exhaustiveStates)
	require.False(t, broken)
	require.Greater(t, states, 10_000)
	broken, claims := randomWalks(testRules, walkSeed, walks, walkSteps)
	require.False(t, broken)
	require.Greater(t, claims, 50, "the walks must include takeovers")
}

// TestBrokenRulesAreDetected breaks each part of the rules; the checks must
// detect it.
func TestBrokenRulesAreDetected(t *testing.T) {
	for rule, breakRule := range map[string]func(*Rules){
		"promises": func(r *Rules) { r.BreakPromises = true },
		"lapse":    func(r *Rules) { r.BreakLapse = true },
		"naming":   func(r *Rules) { r.BreakNaming = true },
	} {
		t.Run(rule, func(t *testing.T) {
			rules := testRules
			breakRule(&rules)
			broken, _ := exploreStates(rules, exhaustiveTime, exhaustiveStates)
			if !broken {
				broken, _ = randomWalks(rules, walkSeed, 10*walks, walkSteps)
			}
			require.True(t, broken)
		})
	}
}

// TestPromisesExtendAuthorityDuringOutage keeps a host in authority through a long
// table outage by its successor's promises, and ends the authority when they end.
func TestPromisesExtendAuthorityDuringOutage(t *testing.T) {
	m := newModel(Rules{Lease: testLease, Margin: tick, SoloLimit: 100 * tick})
	a, b := &m.holder[0], &m.holder[1]
	for range 50 {
		m.now++
		require.True(t, b.Grant(m.timeAt(m.now), "a"))
		a.AckPromise("b", m.timeAt(m.now))
		require.True(t, m.timeAt(m.now).Before(a.AuthorityEnd()))
	}
	m.now += 3
	require.False(t, m.timeAt(m.now).Before(a.AuthorityEnd()), "the authority must lapse without promises")
	a.AckPromise("b", m.timeAt(m.now))
	require.True(t, m.timeAt(m.now).Before(a.AuthorityEnd()), "the successor gives a promise again, so nobody has claimed the racks")
}
