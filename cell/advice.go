package cell

import (
	"cmp"
	"log/slog"
	"math"
	"slices"
	"time"

	"github.com/cowslipgap/cowslipgap/docket"
)

const (
	// heavyCall is the expected time of a call for advice from which on it has
	// lanes of its own, so that short calls do not wait behind it.
	heavyCall = 100 * time.Millisecond
	// shortWindow is the time over which the lanes that short calls take are averaged:
	// about as long as a long call, after which a host is theirs again.
	shortWindow = time.Second
	// laneDepth is how many calls may be on their way from one host: the service
	// takes one at a time, a second hides the way there and back.
	laneDepth = 2
	// ticketMargin is the time before the end of a ticket's validity at which it
	// is no longer used.
	ticketMargin = 150 * time.Millisecond
	// adviceSurplus is how many times the room that is needed is asked about,
	// since answers cover only what was free when they were asked for.
	adviceSurplus = 2.0
	// maxNamed is the most workers that the service takes in one call.
	maxNamed = 100
	// firstEligible is the share of workers taken to be eligible before anything
	// is learned.
	firstEligible = 0.4
	// adviceRetry is the pause after a call for advice without an answer, for its step
	// and, doubled with each more up to maxAdviceRetry, for its host.
	adviceRetry    = 100 * time.Millisecond
	maxAdviceRetry = time.Second
)

// silence is what is known of a host whose last call for advice had no answer.
type silence struct {
	since  Instant
	until  Instant // no call before
	failed int
}

// ticket lets tasks of a step start on a worker.
type ticket struct {
	text  string
	until Instant
	born  int64 // the life of the worker that it was made for
}

// verdict is the service's answer on a worker. It does not change as long as the
// worker lives; the next life may be of another kind.
type verdict struct {
	good bool
	born int64 // the life that it is of
}

// adviceState is what the advice service said of a step.
type adviceState struct {
	needed   bool
	asking   bool
	askedAt  Instant
	eligible map[*worker]verdict // of the workers asked about
	tickets  map[*worker]ticket
}

// knows reports whether w is known to be allowed to run the step.
func (a *adviceState) knows(w *worker) bool {
	good, _ := a.verdict(w)
	return !a.needed || good
}

// verdict returns whether w may run the step, and whether that is known.
func (a *adviceState) verdict(w *worker) (good, known bool) {
	v, known := a.eligible[w]
	known = known && v.born == w.Born
	return known && v.good, known
}

// suits reports whether w has the step's label and is known to be allowed to run it.
func (s *step) suits(w *worker) bool { return s.advice.knows(w) && w.hasLabel(s.spec.Label) }

// knowsAny reports whether the service has answered for this step.
func (a *adviceState) knowsAny() bool { return !a.needed || len(a.eligible) > 0 }

// valid reports whether a start on w may carry a ticket, or needs none.
func (a *adviceState) valid(w *worker, now Instant) bool {
	if !a.needed {
		return true
	}
	t, ok := a.tickets[w]
	return ok && now < t.until && t.born == w.Born
}

// allows reports whether the step may be started on w now.
func (a *adviceState) allows(w *worker, now Instant) bool {
	return a.knows(w) && a.valid(w, now)
}

func (a *adviceState) ticket(w *worker) string { return a.tickets[w].text }

// option is a worker that a call for advice may name.
type option struct {
	w      *worker
	expect float64 // tasks that may find a place there
}

// ask asks about workers that have room for tasks of the step now.
func (c *Cell) ask(of *pool, s *step, tasks int) {
	advice := s.job.Queue.Advice
	if s.advice.asking || c.lane(advice, 1) == "" {
		return
	}
	heavy := advice.Length(1) >= heavyCall
	options := c.options(of, s, false)
	// A gang without room will be planned for, on any worker that may run it.
	everyone := s.spec.Gang && heavy && sum(options) < adviceSurplus*float64(tasks)
	if everyone {
		options = c.options(of, s, true)
	}
	var names []string
	expected := 0.0
	for _, o := range options {
		enough := expected >= adviceSurplus*float64(tasks)
		cheap := !heavy && advice.PerWorker*time.Duration(len(names)) < advice.Decision/2
		long := !heavy && advice.Length(len(names)+1) >= heavyCall
		if enough && !cheap && !everyone || long || len(names) == maxNamed {
			break
		}
		names = append(names, o.w.ID)
		expected += o.expect
	}
	if len(names) > 0 {
		c.call(s, names)
	}
}

// options returns the workers worth naming, the most promising first. For
// everyone, those without room now are among them.
func (c *Cell) options(of *pool, s *step, everyone bool) []option {
	lesson := c.lesson(s.job.Queue.Name)
	length := lesson.actual(s.spec.Estimate)
	var options []option
	for _, sl := range of.slots {
		if !sl.w.hasLabel(s.spec.Label) {
			continue
		}
		if !s.spec.Gang && (s.advice.valid(sl.w, c.now.Steady) || s.keptOut(sl, c.now.Steady, length)) {
			continue
		}
		good, known := s.advice.verdict(sl.w)
		if known && !good {
			continue
		}
		n := s.room(sl.w, sl.free)
		if n == 0 && everyone {
			n = min(1, s.room(sl.w, sl.w.Capacity))
		}
		if n == 0 {
			continue
		}
		expect := float64(n)
		if !known {
			expect *= lesson.eligible
		}
		options = append(options, option{sl.w, expect})
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(b.expect, a.expect) })
	return options
}

// askMore asks about workers that a gang's earlier calls did not name: those
// with room now or, if room is false, all.
func (c *Cell) askMore(of *pool, s *step, room bool) {
	if s.advice.asking {
		return
	}
	var named []seat
	for _, sl := range of.slots {
		if _, known := s.advice.verdict(sl.w); known || !sl.w.hasLabel(s.spec.Label) {
			continue
		}
		n := s.room(sl.w, sl.free)
		if !room {
			n = s.room(sl.w, sl.w.Capacity)
		}
		if n > 0 {
			named = append(named, seat{sl, n})
		}
	}
	if len(named) == 0 {
		return
	}
	slices.SortStableFunc(named, func(a, b seat) int { return cmp.Compare(b.n, a.n) })
	c.renew(s, named)
}

// renew asks again for tickets on the workers that a gang is to run on.
func (c *Cell) renew(s *step, seats []seat) {
	if s.advice.asking {
		return
	}
	var names []string
	for _, seat := range seats {
		names = append(names, seat.w.ID)
	}
	c.call(s, names[:min(len(names), maxNamed)])
}

// call sends a call for advice from the host with the shortest lane.
func (c *Cell) call(s *step, names []string) {
	host := c.lane(s.job.Queue.Advice, len(names))
	if host == "" {
		return
	}
	c.occupy(host, s, s.job.Queue.Advice.Length(len(names)))
	s.advice.asking, s.advice.askedAt = true, c.now.Steady
	c.emit(Ask{Host: host, Step: s.name, Workers: names})
}

// lane returns the host from which to call, or "" if all are taken. A third of the
// hosts that answer make long calls only. The others make them while enough are left
// for short calls, none of which waits behind a long one.
func (c *Cell) lane(advice *docket.Advice, workers int) string {
	hosts := c.hosts
	if len(c.silent) > 0 {
		hosts = slices.DeleteFunc(slices.Clone(hosts), c.paused)
	}
	if len(hosts) < 2 {
		return c.shortest(hosts, laneDepth)
	}
	split := max(1, len(hosts)/3)
	own, others := hosts[:split], hosts[split:]
	if advice.Length(workers) < heavyCall {
		return c.shortest(others, laneDepth)
	}
	if host := c.shortest(own, 1); host != "" {
		return host
	}
	left := -1 // without the one to be chosen
	for _, host := range others {
		if c.longCalls[host] == "" {
			left++
		}
	}
	if float64(left) < max(1, c.shortLanes()) {
		return ""
	}
	return c.shortest(others, 1)
}

// adviceLine returns how long it takes until the waiting steps up to a rank that know of
// no worker yet have had their first long call.
func (c *Cell) adviceLine(rank int) time.Duration {
	total := time.Duration(0)
	for _, s := range c.waiting {
		if s.job.Job == nil || s.advice.asking || s.advice.knowsAny() || c.rank(s) > rank {
			continue
		}
		if advice := s.job.Queue.Advice; advice.Length(1) >= heavyCall {
			names := adviceSurplus * float64(len(s.tasks)) / c.lesson(s.job.Queue.Name).eligible
			total += advice.Length(int(min(adviceWorkers, names)))
		}
	}
	return time.Duration(float64(total) / c.longLanes())
}

// longLanes returns how many long calls may be made at a time beside the short ones.
func (c *Cell) longLanes() float64 {
	hosts := float64(len(c.hosts))
	own := max(1, math.Floor(hosts/3))
	return own + max(0, hosts-own-max(1, c.shortLanes()))
}

// shortLanes returns how many lanes short calls have taken of late.
func (c *Cell) shortLanes() float64 {
	return c.shortUse * math.Exp(-float64(c.now.Steady-c.shortAt)/float64(shortWindow))
}

// occupy notes a call that is made from a host.
func (c *Cell) occupy(host string, s *step, length time.Duration) {
	c.lanes[host]++
	if length >= heavyCall {
		c.longCalls[host] = s.name
		return
	}
	c.shortUse = c.shortLanes() + float64(length)/float64(shortWindow)
	c.shortAt = c.now.Steady
}

// shortest returns the host with the fewest calls on their way, none of them long, or
// "" if all have depth of them.
func (c *Cell) shortest(hosts []string, depth int) string {
	best := ""
	for _, host := range hosts {
		if c.lanes[host] < depth && c.longCalls[host] == "" && (best == "" || c.lanes[host] < c.lanes[best]) {
			best = host
		}
	}
	return best
}

// paused reports whether a host makes no call for now, as its last one had no answer.
func (c *Cell) paused(host string) bool {
	silent := c.silent[host]
	return silent != nil && c.now.Steady < silent.until
}

// unanswered notes that a call from a host had no answer.
func (c *Cell) unanswered(host string, failure Failure) {
	silent := c.silent[host]
	if silent == nil {
		silent = &silence{since: c.now.Steady}
		c.silent[host] = silent
		c.note("advice does not answer", slog.String("host", host), slog.Int("failure", int(failure)))
	}
	silent.until = c.now.Steady + min(maxAdviceRetry, adviceRetry<<min(silent.failed, 4))
	silent.failed++
}

// answered notes that a call made from a host at a time had an answer.
func (c *Cell) answered(host string, asked Instant) {
	if silent := c.silent[host]; silent != nil && asked > silent.since {
		delete(c.silent, host)
		c.note("advice answers again", slog.String("host", host), slog.Int("failed", silent.failed), slog.Duration("after", c.now.Steady-silent.since))
	}
}

// advised takes the service's answer.
func (c *Cell) advised(e Advised) {
	c.lanes[e.Host] = max(0, c.lanes[e.Host]-1)
	if c.longCalls[e.Host] == e.Step {
		delete(c.longCalls, e.Host)
	}
	if e.Failure != None {
		c.unanswered(e.Host, e.Failure)
	}
	t := c.task(e.Step + ".0")
	if t == nil {
		return
	}
	s := t.step
	s.advice.asking = false
	if e.Failure != None {
		s.notBefore = c.now.Steady + adviceRetry
		return
	}
	c.answered(e.Host, s.advice.askedAt)
	if s.advice.eligible == nil {
		s.advice.eligible = map[*worker]verdict{}
		s.advice.tickets = map[*worker]ticket{}
	}
	good := 0
	for id, text := range e.Tickets {
		w := c.workers[id]
		if text != "" {
			good++
		}
		if w == nil || w.rebornAt > s.advice.askedAt {
			continue // the answer may be on the life before
		}
		s.advice.eligible[w] = verdict{good: text != "", born: w.Born}
		if text != "" {
			s.advice.tickets[w] = ticket{text: text, until: c.now.Steady + e.Validity - ticketMargin, born: w.Born}
		}
	}
	c.note("advice", slog.String("step", e.Step), slog.String("host", e.Host), slog.Int("asked", len(e.Tickets)), slog.Int("eligible", good),
		slog.Duration("took", c.now.Steady-s.advice.askedAt))
	c.learnEligible(s.job.Queue.Name, good, len(e.Tickets))
}

// sum returns how many tasks may find a place on the options.
func sum(options []option) float64 {
	total := 0.0
	for _, o := range options {
		total += o.expect
	}
	return total
}
