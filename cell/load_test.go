package cell

import (
	"fmt"
	"math/bits"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/docket"
	"github.com/cowslipgap/cowslipgap/resource"
)

// outcomes counts the outcomes of a queue's jobs.
type tally struct {
	asked, prompt, late, refused int
	total                        time.Duration // total time from submission to completion
}

func (t tally) String() string {
	mean := time.Duration(0)
	if n := t.prompt + t.late; n > 0 {
		mean = (t.total / time.Duration(n)).Round(time.Millisecond)
	}
	return fmt.Sprintf("submitted %d, within the objective %d, late %d, refused %d, mean %v", t.asked, t.prompt, t.late, t.refused, mean)
}

func (t tally) share() float64 { return float64(t.prompt) / float64(t.asked) }

// outcomes counts the outcomes of all jobs by queue.
func (f *fleet) tallies() map[string]tally {
	out := map[string]tally{}
	for _, j := range f.jobs {
		t := out[j.spec.Queue.Name]
		t.asked++
		objective := time.Duration(j.spec.Queue.Slack*float64(longestChain(j.spec))) + j.spec.Queue.Target
		switch {
		case j.refused && !j.accepted:
			t.refused++
		case j.endedAt > 0 && j.state == docket.Completed:
			t.total += j.endedAt - j.handedIn
			if j.endedAt-j.handedIn <= objective {
				t.prompt++
			} else {
				t.late++
			}
		}
		out[j.spec.Queue.Name] = t
	}
	return out
}

// submitMix submits jobs of the three kinds at the given rates per second.
func (f *fleet) mix(prefix string, from, to Instant, lookups, quotes, refrets float64) {
	hand := func(kind string, rate float64, build func(string) *docket.Job) {
		if rate == 0 {
			return
		}
		gap := time.Duration(float64(time.Second) / rate)
		for at, i := from, 0; at < to; at, i = at+gap, i+1 {
			jitter := time.Duration(f.rng.Int64N(int64(gap)))
			f.submit(at+jitter, build(fmt.Sprintf("%s%s%012x", kind, prefix, i)))
		}
	}
	hand("aa", lookups, lookup)
	hand("bb", quotes, quote)
	hand("cc", refrets, refret)
}

// loadPattern is a difficult load and the share of jobs that must meet their objective
// under it.
type loadPattern struct {
	name    string
	replay  func(f *fleet)
	lookups float64 // minimum share within the objective
	quotes  float64
	refrets float64
}

// The load patterns run on a fleet of 48 workers with 32 cores each. The usual rates are
// those of the users on quiet days and need about two thirds of the fleet.
var loadPatterns = []loadPattern{
	{"usual", func(f *fleet) { f.mix("00", 2*time.Second, 22*time.Second, 40, 6, 1) }, 0.98, 0.98, 0.95},
	{"burst of lookups", func(f *fleet) {
		f.mix("00", 2*time.Second, 22*time.Second, 40, 6, 1)
		f.mix("01", 8*time.Second, 12*time.Second, 60, 0, 0)
	}, 0.95, 0.95, 0.8},
	{"burst of wide gangs", func(f *fleet) {
		f.mix("00", 2*time.Second, 22*time.Second, 40, 6, 1)
		f.mix("01", 8*time.Second, 12*time.Second, 0, 0, 1)
	}, 0.95, 0.9, 0.7},
	{"workers lost in a burst", func(f *fleet) {
		f.mix("00", 2*time.Second, 22*time.Second, 40, 6, 1)
		f.mix("01", 8*time.Second, 12*time.Second, 40, 0, 0)
		f.at(9*time.Second, func() {
			for i := range 4 {
				f.workers[fmt.Sprintf("w%03d", i*9)].dark = true
			}
		})
	}, 0.9, 0.85, 0.6},
	{"workers slow in a burst", func(f *fleet) {
		f.mix("00", 2*time.Second, 22*time.Second, 40, 6, 1)
		f.at(6*time.Second, func() {
			for i := range 6 {
				f.workers[fmt.Sprintf("w%03d", i*8)].speed /= 6
			}
		})
		f.at(14*time.Second, func() {
			for i := range 6 {
				f.workers[fmt.Sprintf("w%03d", i*8)].speed *= 6
			}
		})
	}, 0.85, 0.8, 0.5},
	{"jobs that always fail", func(f *fleet) {
		f.mix("00", 2*time.Second, 22*time.Second, 40, 6, 1)
		f.mix("01", 6*time.Second, 14*time.Second, 10, 2, 0)
		for id, j := range f.jobs {
			j.faulty = id[2:4] == "01"
		}
	}, 0.75, 0.7, 0.6},
	{"owner killed in a burst", func(f *fleet) {
		f.mix("00", 2*time.Second, 22*time.Second, 40, 6, 1)
		f.mix("01", 8*time.Second, 12*time.Second, 40, 0, 0)
		f.at(10*time.Second, func() { f.kill(700 * time.Millisecond) })
	}, 0.9, 0.9, 0.6},
}

// TestLateBacklogDoesNotDelayNewJobs simulates a store outage during which nothing
// starts. The lookups that waited through it are late; those submitted afterwards must
// not be.
func TestBacklogThatIsLateDoesNotDelayWhatIsNew(t *testing.T) {
	f := newFleet(t, 3, 48)
	f.mix("00", 2*time.Second, 9*time.Second, 150, 14, 2)
	f.at(9*time.Second, func() { f.storeDown = true })
	f.at(13*time.Second, func() { f.storeDown = false })
	f.mix("01", 13500*time.Millisecond, 20*time.Second, 40, 2, 0)
	f.run(90 * time.Second)
	f.requireSound()
	f.requireAllEnded()
	prompt, asked := 0, 0
	for id, j := range f.jobs {
		if id[:4] != "aa01" {
			continue
		}
		asked++
		if j.accepted && j.endedAt-j.handedIn <= 1210*time.Millisecond {
			prompt++
		}
	}
	require.GreaterOrEqual(t, float64(prompt), 0.9*float64(asked), "%d of %d", prompt, asked)
}

// TestUnsentJobsAreRefusedDuringAStoreOutage simulates a store outage during a burst.
func TestOutageRefusesWhatWasNeverSent(t *testing.T) {
	f := newFleet(t, 5, 48)
	f.mix("00", 2*time.Second, 10*time.Second, 120, 6, 0)
	f.at(5*time.Second, func() { f.storeDown = true })
	f.at(9*time.Second, func() { f.storeDown = false })
	undecided := 0
	f.at(8*time.Second, func() {
		for _, j := range f.jobs {
			// Only the jobs of the commit in flight may still wait for an answer.
			if j.handedIn > 0 && !j.accepted && !j.refused {
				undecided++
			}
		}
	})
	f.run(60 * time.Second)
	f.requireSound()
	f.requireAllEnded()
	require.LessOrEqual(t, undecided, maxRows)
	require.Positive(t, f.tallies()["lookup"].refused)
}

// newGangBurst returns a large fleet in a burst of quotes and wide gangs. The gangs that
// wait for room constantly renew their tickets in long calls to the advice service.
func endOfBurst(t *testing.T, workers, gangs int, length time.Duration) *fleet {
	f := newFleet(t, 2, workers)
	for i := range workers / 10 {
		f.hosts = append(f.hosts, fmt.Sprintf("h%02d", i))
	}
	f.eligible = 28
	f.claim()
	f.mix("00", 2*time.Second, 2*time.Second+length, 0, 0.56*float64(workers), 0)
	for _, j := range f.jobs {
		j.spec.Queue.Advice = &docket.Advice{Decision: 80 * time.Millisecond, PerWorker: 1100 * time.Microsecond, Validity: 1500 * time.Millisecond}
	}
	for i := range gangs {
		spec := refret(fmt.Sprintf("cc%014x", i))
		spec.Steps[0].Count = 10 + i
		spec.Queue.Slack = 60 // not refused for its expected wait
		f.submit(3*time.Second+time.Duration(i)*6*time.Second/time.Duration(gangs), spec)
	}
	return f
}

// TestSmallJobsDoNotWaitForLongAdviceCalls simulates quotes whose calls to the advice
// service became long, so that they shared the hosts of the gangs' calls, which were
// never free.
func TestSmallWorkDoesNotWaitForLongCalls(t *testing.T) {
	f := endOfBurst(t, 125, 30, 8*time.Second)
	f.run(100 * time.Second)
	f.requireSound()
	f.requireAllEnded()
	t.Logf("calls to the advice service %v, longest %v: %v", f.asks, f.longest, f.tallies())
	require.Less(t, f.longest["quote"], longCall)
	require.GreaterOrEqual(t, f.tallies()["quote"].share(), 0.85)
}

// TestShortAdviceCallsDoNotWaitBehindLongOnes simulates lookups whose calls were made
// from hosts that had a gang's call in flight.
func TestShortCallsDoNotStandBehindLongOnes(t *testing.T) {
	f := newFleet(t, 2, 48)
	f.mix("00", 2*time.Second, 22*time.Second, 40, 6, 4)
	f.run(60 * time.Second)
	f.requireSound()
	f.requireAllEnded()
	t.Logf("longest wait of a call for its host %v, %v", f.stood, f.tallies())
	require.Less(t, f.stood["lookup"], longCall)
	require.Less(t, f.stood["quote"], longCall)
}

// TestFailedAdviceCallsBackOffAndAreLoggedOnce simulates an owner that is cut off from
// all hosts that call the advice service, while many steps wait.
func TestHostWithoutAdviceIsAskedSeldomAndLoggedOnce(t *testing.T) {
	const cut = 3 * time.Second
	f := newFleet(t, 2, 48)
	f.mix("00", 2*time.Second, 12*time.Second, 80, 6, 4)
	f.at(6*time.Second, func() { f.mute = true })
	f.at(6*time.Second+cut, func() { f.mute = false })
	f.run(80 * time.Second)
	f.requireSound()
	f.requireAllEnded()
	t.Logf("%d failed calls, %v", f.unanswered, f.notes)
	require.Positive(t, f.unanswered)
	require.LessOrEqual(t, f.unanswered, len(f.hosts)*int(cut/adviceRetryDelay))
	for _, host := range f.hosts {
		require.LessOrEqual(t, f.notes["advice does not answer "+host], 1)
		require.Equal(t, f.notes["advice does not answer "+host], f.notes["advice answers again "+host])
	}
	require.Positive(t, f.notes["advice does not answer "+f.hosts[0]])
}

// gangReasons holds situations in which a gang waits, with the reason that the log must
// give.
var gangReasons = []struct {
	why    string
	replay func(f *fleet, gang func(at Instant) *docket.Job)
}{
	{"it waits for advice", func(_ *fleet, gang func(Instant) *docket.Job) { gang(2 * time.Second) }},
	{"no host is free for its call", func(f *fleet, gang func(Instant) *docket.Job) {
		for range 2 * len(f.hosts) {
			gang(2 * time.Second)
		}
	}},
	{"it waits for tickets", func(_ *fleet, gang func(Instant) *docket.Job) {
		gang(2 * time.Second).Queue.Advice.Validity = ticketMargin
	}},
	{"its acceptance is not stored", func(f *fleet, gang func(Instant) *docket.Job) {
		f.at(1900*time.Millisecond, func() { f.storeTakes = 20 * time.Second })
		gang(2 * time.Second).Queue.Advice.Validity = time.Minute
	}},
	{"the team is at its ceiling", func(f *fleet, gang func(Instant) *docket.Job) {
		f.teams["red"] = Team{Rate: 100, Ceiling: resource.Vector{MilliCPU: 80_000}}
		f.claim()
		gang(2 * time.Second).Queue.Advice = nil
		gang(2 * time.Second).Queue.Advice = nil
	}},
	{"workers are kept for it", func(f *fleet, gang func(Instant) *docket.Job) {
		for range 40 {
			spec := gang(2 * time.Second)
			spec.Queue.Advice = nil
			spec.Queue.Slack = 60
		}
	}},
	{"an earlier owner may run it", func(f *fleet, gang func(Instant) *docket.Job) {
		gang(2 * time.Second).Queue.Advice = nil
		f.at(4*time.Second, func() {
			for _, w := range f.workers {
				w.dark = len(w.runs) > 0
			}
			f.kill(time.Second)
		})
	}},
}

func TestLogSaysWhyAGangWaits(t *testing.T) {
	const length = 16 * time.Second
	for _, one := range gangReasons {
		t.Run(one.why, func(t *testing.T) {
			f := newFleet(t, 3, 48)
			gangs := 0
			one.replay(f, func(at Instant) *docket.Job {
				spec := refret(fmt.Sprintf("cc%014x", gangs))
				spec.Queue.Advice.Decision = 3500 * time.Millisecond
				gangs++
				f.submit(at, spec)
				return spec
			})
			f.run(length)
			t.Log(f.notes)
			require.Positive(t, f.notes["gang waits "+one.why])
			lines := 0
			for text, n := range f.notes {
				if strings.HasPrefix(text, "gang waits") {
					lines += n
				}
			}
			// The delays between the lines of a gang double.
			require.LessOrEqual(t, lines, 2*gangs*bits.Len(uint(length/firstWaitLogDelay)))
		})
	}
}

// longestWaitWithRoom returns the longest time that a gang waited although eligible
// workers had room for twice its members and less than half of the fleet was in use.
func (f *fleet) idleFor(from, to Instant) time.Duration {
	const step = 100 * time.Millisecond
	longest := time.Duration(0)
	spans := map[string]time.Duration{}
	for at := from; at < to; at += step {
		f.run(at)
		used, total := int64(0), int64(0)
		for _, w := range f.owner.workers {
			used += w.Capacity.Sub(w.free()).MilliCPU
			total += w.Capacity.MilliCPU
		}
		now := map[string]time.Duration{}
		for _, s := range f.owner.waiting {
			seats := 0
			for id, w := range f.owner.workers {
				if f.allows(s.name, id) {
					seats += s.room(w, w.free())
				}
			}
			if s.spec.Gang && 2*used < total && seats >= 2*len(s.tasks) {
				now[s.name] = spans[s.name] + step
				longest = max(longest, now[s.name])
			}
		}
		spans = now
	}
	return longest
}

// TestGangsWithRoomStartWithinOneAdviceCall simulates gangs whose tickets, when they
// arrived, were never for the workers that had room. A gang with enough room has to wait
// for one call to the advice service; users accept 3 s.
func TestRoomIsUsedWhileGangsWait(t *testing.T) {
	f := endOfBurst(t, 250, 60, 2*time.Second)
	idle := f.idleFor(9*time.Second, 40*time.Second)
	f.run(100 * time.Second)
	f.requireSound()
	f.requireAllEnded()
	t.Logf("longest wait with room %v, longest calls to the advice service %v, %v", idle, f.longest, f.tallies())
	require.Less(t, idle, f.longest["refret"])
}

// maxStartAfterLoad is how long after the end of the load every accepted job must be
// running or done. Users look 14 s after it for jobs that had nothing running for 3 s.
const afterLoad = 14*time.Second - 3*time.Second

// gangLoad is a load of gangs with four members each, beside smaller jobs.
type gangLoad struct {
	need     resource.Vector // of each member
	estimate time.Duration
	burst    int     // gangs within the 10 s before the first fault
	rate     float64 // gangs per second from the first fault on
	lookups  float64 // per second
	quotes   float64 // per second
}

// heavyGangs needs more room than the fleet has; lightGangs only needs more advice than
// the hosts can get.
var (
	heavyGangs = gangLoad{resource.Vector{MilliCPU: 11000, MemoryMB: 16736}, 3900 * time.Millisecond, 50, 3, 52, 8}
	lightGangs = gangLoad{resource.Vector{MilliCPU: 5000, MemoryMB: 7600}, 2500 * time.Millisecond, 60, 8, 40, 6}
)

// newGangLoadWithFaults returns a fleet under a load of gangs, with a burst of lookups,
// kills of the owner, a store outage and an isolated owner. It also returns when the
// load ends.
func lateGangs(t *testing.T, seed uint64, load gangLoad) (*fleet, Instant) {
	const trouble, end = 14 * time.Second, 34 * time.Second
	f := newFleet(t, seed, 48)
	f.eligible = 22
	f.claim()
	f.mix("00", 2*time.Second, end, load.lookups, load.quotes, 0)
	f.mix("01", 5*time.Second, 12*time.Second, 60, 0, 0)
	hand := func(kind string, from, to Instant, count int) {
		for i := range count {
			spec := refret(fmt.Sprintf("%s%014x", kind, i))
			spec.Steps[0].Count, spec.Steps[0].Need, spec.Steps[0].Estimate = 4, load.need, load.estimate
			f.submit(from+time.Duration(f.rng.Int64N(int64(to-from))), spec)
		}
	}
	hand("cc", trouble-10*time.Second, trouble, load.burst)
	hand("dd", trouble, end, int(load.rate*(end-trouble).Seconds()))
	f.at(trouble, func() { f.kill(700 * time.Millisecond) })
	f.at(18*time.Second, func() { f.storeDown = true })
	f.at(22*time.Second, func() { f.storeDown = false })
	f.at(27*time.Second, func() { f.cutOwner(time.Second, 3*time.Second) })
	f.at(31*time.Second, func() { f.kill(700 * time.Millisecond) })
	return f, end
}

// idleJobs returns the accepted jobs that are not done and have nothing running. A job
// counts as done when all its tasks are, even if this is not stored yet.
func (f *fleet) idleJobs() []string {
	running := map[string]bool{}
	for _, w := range f.workers {
		for _, r := range w.runs {
			running[r.task.Job] = true
		}
	}
	var idle []string
	for id, j := range f.jobs {
		if j.accepted && j.endedAt == 0 && !j.allEnded() && !running[id] {
			idle = append(idle, id)
		}
	}
	return idle
}

// requireStartedAfterLoad checks that all accepted jobs are running or done within
// maxStartAfterLoad of the end of the load.
func (f *fleet) requireStarted(end Instant) {
	f.t.Helper()
	f.run(end)
	late := len(f.idleJobs())
	f.run(end + afterLoad)
	idle := f.idleJobs()
	f.run(end + time.Minute)
	last := Instant(0)
	for _, j := range f.jobs {
		last = max(last, j.begunAt)
	}
	f.t.Logf("%d jobs wait at the end of the load and %d after another %v, the last starts %v after the end: %v", late, len(idle), afterLoad, last-end, f.tallies()["refret"])
	f.requireSound()
	f.requireAllEnded()
	require.Empty(f.t, idle)
}

// TestLateGangsStartAfterTheLoadEnds simulates late gangs that still waited for advice
// when the load had ended.
func TestLateGangsAllStartOnceTheLoadEnds(t *testing.T) {
	f, end := lateGangs(t, 1, heavyGangs)
	f.requireStarted(end)
}

// TestLightGangsStartAfterTheLoadEnds simulates more gangs than the hosts can get advice
// for, on a fleet with room.
func TestLightGangsAllStartOnceTheLoadEnds(t *testing.T) {
	f, end := lateGangs(t, 1, lightGangs)
	f.requireStarted(end)
}

// TestJobsThatWouldBeLateAreRefusedWhenTheStoreIsSlow simulates a store that is slow in a
// burst. Lookups are refused at once and leave the transactions to jobs that can be in
// time.
func TestSlowStoreTurnsAwayWhatWouldBeLate(t *testing.T) {
	f := newFleet(t, 4, 48)
	f.at(4*time.Second, func() { f.storeTakes = 500 * time.Millisecond })
	f.at(10*time.Second, func() { f.storeTakes = 0 })
	f.mix("00", 2*time.Second, 16*time.Second, 100, 4, 0)
	f.run(60 * time.Second)
	f.requireSound()
	f.requireAllEnded()
	got := f.tallies()
	t.Log(got)
	require.GreaterOrEqual(t, got["quote"].share(), 0.95)
	require.LessOrEqual(t, float64(got["lookup"].late), 0.1*float64(got["lookup"].asked))
}

func TestLoadPatterns(t *testing.T) {
	for _, p := range loadPatterns {
		t.Run(p.name, func(t *testing.T) {
			f := newFleet(t, 7, 48)
			p.replay(f)
			f.run(80 * time.Second)
			f.requireSound()
			f.requireAllEnded()
			got := f.tallies()
			for _, queue := range []string{"lookup", "quote", "refret"} {
				t.Logf("%-8s %v", queue, got[queue])
			}
			t.Logf("%d starts, %.0f core-seconds wasted", f.starts, f.wasted)
			require.GreaterOrEqual(t, got["lookup"].share(), p.lookups)
			require.GreaterOrEqual(t, got["quote"].share(), p.quotes)
			require.GreaterOrEqual(t, got["refret"].share(), p.refrets)
		})
	}
}

// TestCachedReleasesMatchTheRuns places the waiting steps on a large fleet in a burst,
// with all releases computed before, and compares the cached releases with the runs
// afterwards.
func TestReleasesAreOfWhatRuns(t *testing.T) {
	f := endOfBurst(t, 125, 30, 6*time.Second)
	begun := 0
	for at := 3 * time.Second; at < 9*time.Second; at += 33 * time.Millisecond {
		f.run(at)
		c := f.owner
		c.now = f.clock()
		p := c.newRound()
		for _, of := range p.pools {
			for _, sl := range of.candidates {
				begun -= len(c.releases(sl))
			}
			for _, s := range slices.Clone(c.waiting) {
				if !c.mayPlace(s) {
					continue
				}
				if s.spec.Gang {
					c.placeGang(p, of, s)
				} else {
					c.placeTasks(p, of, s)
				}
			}
			for _, sl := range of.candidates {
				known := slices.Clone(c.releases(sl))
				sl.releases = nil
				require.ElementsMatch(t, c.releases(sl), known)
				begun += len(known)
			}
		}
		p.clearStaleReservations()
		for _, effect := range c.effects {
			f.perform(c, effect)
		}
		c.effects = nil
	}
	require.Positive(t, begun)
	f.run(100 * time.Second)
	f.requireSound()
	f.requireAllEnded()
}

// TestPollsReturnNewResults counts the reports that list only results that were read
// before: a worker answers a poll at once while it has unacknowledged results. With a
// fast store there must be no such report; with a slow one, some are needed to renew
// leases.
func TestLooksTellSomethingNew(t *testing.T) {
	for _, takes := range []time.Duration{simTxn, 400 * time.Millisecond} {
		t.Run(takes.String(), func(t *testing.T) {
			f := newFleet(t, 6, 48)
			f.storeTakes = takes
			f.mix("00", 2*time.Second, 10*time.Second, 40, 6, 1)
			f.run(3 * time.Second)
			type last struct {
				n  uint64
				at Instant
			}
			seen := map[string]last{}
			reports, stale, hasty := 0, 0, 0
			f.timed = func(_ *Cell, event any, _ []any, _ time.Duration) {
				e, ok := event.(Looked)
				if !ok || len(e.Report.Ended) == 0 {
					return
				}
				reports++
				before, n := seen[e.Worker], e.Report.Ended[len(e.Report.Ended)-1].N
				if n == before.n {
					stale++
					if f.now-before.at < ackDelay {
						hasty++
					}
				}
				seen[e.Worker] = last{n, f.now}
			}
			f.run(10 * time.Second)
			t.Logf("%d reports with results, %d of them without new ones, %d of those within ackDelay", reports, stale, hasty)
			require.Positive(t, reports)
			require.Zero(t, hasty)
			if takes == simTxn {
				require.Zero(t, stale)
			}
		})
	}
}

// TestTicketsAreNotRequestedTwice simulates a store outage. Steps that have tickets for
// all their tasks wait for the store and must not request more tickets meanwhile.
func TestTicketsAreNotAskedForTwice(t *testing.T) {
	f := newFleet(t, 6, 48)
	f.eligible = 100
	f.mix("00", 2*time.Second, 5*time.Second, 40, 3, 0)
	f.run(4 * time.Second)
	f.storeDown = true
	asked := map[string]int{}
	f.timed = func(_ *Cell, _ any, effects []any, _ time.Duration) {
		for _, effect := range effects {
			if ask, ok := effect.(Ask); ok {
				asked[ask.Step]++
			}
		}
	}
	f.run(5300 * time.Millisecond) // the tickets are still valid
	require.NotEmpty(t, asked)
	for step, n := range asked {
		require.Equal(t, 1, n, step)
	}
	f.storeDown = false
	f.run(60 * time.Second)
	f.requireSound()
	f.requireAllEnded()
}
