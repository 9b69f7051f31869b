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
	// longCall is the expected duration from which on a call to the advice service
	// counts as long. Some hosts make long calls only, so that short calls do not
	// wait behind them.
	heavyCall = 100 * time.Millisecond
	// shortCallWindow is the time over which the load of short calls is averaged. It
	// is about the duration of a long call, after which a host is free for short
	// calls again.
	shortWindow = time.Second
	// maxCallsPerHost is how many calls one host may have in flight. The service
	// handles one at a time; a second one hides the network round trip.
	laneDepth = 2
	// ticketMargin is how long before its expiry a ticket is no longer used.
	ticketMargin = 150 * time.Millisecond
	// adviceSurplus is the ratio of the room that a call asks about to the room that
	// is needed, because some of the room may be taken when the answer arrives.
	adviceSurplus = 2.0
	// maxWorkersPerCall is the maximum number of workers that the service accepts in
	// one call.
	maxNamed = 100
	// initialEligibleShare is the assumed share of eligible workers before there
	// are any answers.
	firstEligible = 0.4
	// adviceRetryDelay is the pause after a failed call, for its step and for its
	// host. For the host it doubles with each further failure, up to
	// maxAdviceRetryDelay.
	adviceRetry    = 100 * time.Millisecond
	maxAdviceRetry = time.Second
)

// hostBackoff is the retry state of a host whose last call to the advice service
// failed.
type silence struct {
	since  Instant
	until  Instant // no calls before this time
	failed int     // failed calls
}

// ticket permits tasks of a step to start on a worker.
type ticket struct {
	text  string
	until Instant
	born  int64 // WorkerInfo.Born of the incarnation that it is valid for
}

// eligibility is the service's answer for a worker. It holds for one incarnation
// of the worker; the answer for the next may differ.
type verdict struct {
	good bool
	born int64 // WorkerInfo.Born of the incarnation that it is valid for
}

// adviceState holds the answers of the advice service for a step.
type adviceState struct {
	needed   bool                // the queue requires advice
	asking   bool                // a call is in flight
	askedAt  Instant             // when the last call was sent
	eligible map[*worker]verdict // workers that the service has answered for
	tickets  map[*worker]ticket
}

// mayRun reports whether w is known to be allowed to run the step.
func (a *adviceState) knows(w *worker) bool {
	good, _ := a.verdict(w)
	return !a.needed || good
}

// lookup returns whether w may run the step, and whether that is known.
func (a *adviceState) verdict(w *worker) (good, known bool) {
	v, known := a.eligible[w]
	known = known && v.born == w.Born
	return known && v.good, known
}

// eligibleOn reports whether w has the step's label and is known to be allowed to
// run the step.
func (s *step) suits(w *worker) bool { return s.advice.knows(w) && w.hasLabel(s.spec.Label) }

// answered reports whether the service has answered for this step, or need not.
func (a *adviceState) knowsAny() bool { return !a.needed || len(a.eligible) > 0 }

// hasTicket reports whether there is a valid ticket for w, or none is needed.
func (a *adviceState) valid(w *worker, now Instant) bool {
	if !a.needed {
		return true
	}
	t, ok := a.tickets[w]
	return ok && now < t.until && t.born == w.Born
}

// startAllowed reports whether tasks of the step may start on w now.
func (a *adviceState) allows(w *worker, now Instant) bool {
	return a.knows(w) && a.valid(w, now)
}

func (a *adviceState) ticket(w *worker) string { return a.tickets[w].text }

// adviceCandidate is a worker that a call to the advice service may ask about.
type option struct {
	w      *worker
	expect float64 // expected number of tasks that can start there
}

// requestAdvice asks about workers that have room for tasks of the step now.
func (c *Cell) ask(of *pool, s *step, tasks int) {
	advice := s.job.Queue.Advice
	if s.advice.asking || c.lane(advice, 1) == "" {
		return
	}
	heavy := advice.Length(1) >= heavyCall
	options := c.options(of, s, false)
	// If there is no room for a gang, workers are reserved for it, whether they have
	// room now or not.
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

// adviceCandidates returns the workers to ask about, those with the most expected
// tasks first. With includeFull, they include workers without room now.
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

// requestMoreAdvice asks about workers that the gang's earlier calls did not cover:
// those with room now or, if withRoom is false, all.
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

// renewTickets asks for new tickets for the workers that a gang is to run on.
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

// callAdvice calls the advice service from the host that chooseHost returns, if any.
func (c *Cell) call(s *step, names []string) {
	host := c.lane(s.job.Queue.Advice, len(names))
	if host == "" {
		return
	}
	c.occupy(host, s, s.job.Queue.Advice.Length(len(names)))
	s.advice.asking, s.advice.askedAt = true, c.now.Steady
	c.emit(Ask{Host: host, Step: s.name, Workers: names})
}

// chooseHost returns the host to call from, or "" if all are busy. A third of the
// hosts that are not backing off make long calls only. The others make long calls
// as long as enough hosts remain for short calls, so that no short call waits
// behind a long one.
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
	left := -1 // excludes the host to be chosen
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

// adviceQueueTime estimates how long it takes to make the first long call for all
// waiting steps up to a rank that have no answer yet.
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

// longCallHosts returns how many long calls can be in flight beside the short ones.
func (c *Cell) longLanes() float64 {
	hosts := float64(len(c.hosts))
	own := max(1, math.Floor(hosts/3))
	return own + max(0, hosts-own-max(1, c.shortLanes()))
}

// shortCallHosts returns how many hosts short calls have recently kept busy.
func (c *Cell) shortLanes() float64 {
	return c.shortUse * math.Exp(-float64(c.now.Steady-c.shortAt)/float64(shortWindow))
}

// recordCall records a call that a host makes.
func (c *Cell) occupy(host string, s *step, length time.Duration) {
	c.lanes[host]++
	if length >= heavyCall {
		c.longCalls[host] = s.name
		return
	}
	c.shortUse = c.shortLanes() + float64(length)/float64(shortWindow)
	c.shortAt = c.now.Steady
}

// leastBusy returns the host with the fewest calls in flight, none of them long, or
// "" if every host has at least limit calls or a long one in flight.
func (c *Cell) shortest(hosts []string, depth int) string {
	best := ""
	for _, host := range hosts {
		if c.lanes[host] < depth && c.longCalls[host] == "" && (best == "" || c.lanes[host] < c.lanes[best]) {
			best = host
		}
	}
	return best
}

// backingOff reports whether a host makes no calls for now because its last one
// failed.
func (c *Cell) paused(host string) bool {
	silent := c.silent[host]
	return silent != nil && c.now.Steady < silent.until
}

// recordCallFailure records that a call from a host failed.
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

// recordCallSuccess records that a call from a host, sent at the given time, was
// answered.
func (c *Cell) answered(host string, asked Instant) {
	if silent := c.silent[host]; silent != nil && asked > silent.since {
		delete(c.silent, host)
		c.note("advice answers again", slog.String("host", host), slog.Int("failed", silent.failed), slog.Duration("after", c.now.Steady-silent.since))
	}
}

// handleAdvised handles the outcome of a call to the advice service.
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
			continue // the answer may be for the previous incarnation
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

// totalExpected returns the expected number of tasks that can start on the
// candidates.
func sum(options []option) float64 {
	total := 0.0
	for _, o := range options {
		total += o.expect
	}
	return total
}
