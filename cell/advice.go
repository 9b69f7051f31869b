package cell

import (
	"cmp"
	"log/slog"
	"math"
	"slices"
	"time"

	"github.com/cowslipgap/cowslipgap/workload"
)

const (
	// longCall is the minimum expected duration of a long call to the advice service.
	// Some hosts make long calls only, so that short calls do not wait behind them.
	longCall = 100 * time.Millisecond
	// shortCallWindow is the time over which the load of short calls is averaged. It
	// is about the duration of a long call, after which a host is free for short
	// calls again.
	shortCallWindow = time.Second
	// maxCallsPerHost is how many calls one host may have in flight. The service
	// handles one at a time; a second one hides the network round trip.
	maxCallsPerHost = 2
	// ticketMargin is how long before its expiry a ticket is no longer used.
	ticketMargin = 150 * time.Millisecond
	// adviceSurplus is the ratio of the room that a call asks about to the room that
	// is needed, because some of the room may be taken when the answer arrives.
	adviceSurplus = 2.0
	// mediumCall is the duration up to which a call counts as medium. Steps of many tasks
	// make such calls often, so long calls leave hosts for them.
	mediumCall = 500 * time.Millisecond
	// mediumShare is the share of the hosts that medium calls get while both they and
	// longer ones wait for a host.
	mediumShare = 0.25
	// deniedWindow is how long a call that found no host counts as waiting.
	deniedWindow = 200 * time.Millisecond
	// scarceWindow is how long hosts count as scarce after a call found none.
	scarceWindow = 2 * time.Second
	// scarceSurplus replaces adviceSurplus while hosts are scarce, so that fewer steps need
	// another call.
	scarceSurplus = 3.0
	// maxWorkersPerCall is the maximum number of workers that the service accepts in
	// one call.
	maxWorkersPerCall = 100
	// maxParallelCalls is how many calls for one step may be in flight. Workers that one
	// long call would name are divided among several hosts, because a call takes longer
	// the more workers it names, and a ticket lives about as long as such a call.
	maxParallelCalls = 4
	// initialEligibleShare is the assumed share of eligible workers before there
	// are any answers.
	initialEligibleShare = 0.4
	// adviceRetryDelay is the pause after a failed call, for its step and for its
	// host. For the host it doubles with each further failure, up to
	// maxAdviceRetryDelay.
	adviceRetryDelay    = 100 * time.Millisecond
	maxAdviceRetryDelay = time.Second
)

// hostBackoff is the retry state of a host whose last call to the advice service
// failed.
type hostBackoff struct {
	since    Instant
	retryAt  Instant // no calls before this time
	failures int     // failed calls
}

// ticket permits tasks of a step to start on a worker.
type ticket struct {
	text       string
	validUntil Instant
	startedAt  int64 // WorkerInfo.StartedAt of the incarnation that it is valid for
}

// eligibility is the service's answer for a worker. It holds for one incarnation
// of the worker; the answer for the next may differ.
type eligibility struct {
	eligible  bool
	startedAt int64 // WorkerInfo.StartedAt of the incarnation that it is valid for
}

// adviceState holds the answers of the advice service for a step.
type adviceState struct {
	needed        bool                    // the queue requires advice
	callsInFlight int                     // calls in flight
	askedAt       Instant                 // when the last call was sent
	answers       map[*worker]eligibility // workers that the service has answered for
	tickets       map[*worker]ticket
	asked         map[string]bool // IDs of the workers that the calls in flight name
	eligible      []*worker       // workers that an answer has allowed, sorted by ID
}

// asking reports whether a call is in flight.
func (a *adviceState) asking() bool { return a.callsInFlight > 0 }

// mayRun reports whether w is known to be allowed to run the step.
func (a *adviceState) mayRun(w *worker) bool {
	eligible, _ := a.lookup(w)
	return !a.needed || eligible
}

// lookup returns whether w may run the step, and whether that is known.
func (a *adviceState) lookup(w *worker) (eligible, known bool) {
	v, known := a.answers[w]
	known = known && v.startedAt == w.StartedAt
	return known && v.eligible, known
}

// knows reports whether the service has answered for w.
func (a *adviceState) knows(w *worker) bool {
	_, known := a.lookup(w)
	return known
}

// eligibleOn reports whether w has the step's label and is known to be allowed to
// run the step.
func (s *step) eligibleOn(w *worker) bool { return s.advice.mayRun(w) && w.hasLabel(s.spec.Label) }

// answered reports whether the service has answered for this step, or the step needs
// no advice.
func (a *adviceState) answered() bool { return !a.needed || len(a.answers) > 0 }

// hasTicket reports whether there is a valid ticket for w, or none is needed.
func (a *adviceState) hasTicket(w *worker, now Instant) bool {
	if !a.needed {
		return true
	}
	t, ok := a.tickets[w]
	return ok && now < t.validUntil && t.startedAt == w.StartedAt
}

// recordAsked records a call about the workers.
func (a *adviceState) recordAsked(ids []string) {
	if a.asked == nil {
		a.asked = map[string]bool{}
	}
	for _, id := range ids {
		a.asked[id] = true
	}
	a.callsInFlight++
}

// expectsTicket reports whether there is a valid ticket for w, or a call for one is in
// flight.
func (a *adviceState) expectsTicket(w *worker, now Instant) bool {
	return a.hasTicket(w, now) || a.asked[w.ID]
}

// startAllowed reports whether tasks of the step may start on w now.
func (a *adviceState) startAllowed(w *worker, now Instant) bool {
	return a.mayRun(w) && a.hasTicket(w, now)
}

func (a *adviceState) ticketFor(w *worker) string { return a.tickets[w].text }

// adviceCandidate is a worker that a call to the advice service may ask about.
type adviceCandidate struct {
	w             *worker
	expectedTasks float64 // expected number of tasks that can start there
}

// requestAdvice asks about workers that have room for tasks of the step now.
func (c *Cell) requestAdvice(pool *servicePool, s *step, tasks int) {
	advice := s.queue.Advice
	if s.advice.asking() || c.chooseHost(advice, 1) == "" {
		return
	}
	alwaysLong := advice.Duration(1) >= longCall
	scarce := alwaysLong && c.hostsScarce()
	wanted := adviceSurplus * float64(tasks)
	if scarce {
		wanted = scarceSurplus * float64(tasks)
	}
	candidates, full := c.callCandidates(pool, s, wanted, scarce)
	limit := maxWorkersPerCall
	if s.spec.Gang {
		limit = c.parallelCalls() * callSize(advice)
	}
	var ids []string
	expected := 0.0
	for _, cand := range candidates {
		cheap := !alwaysLong && advice.PerWorker*time.Duration(len(ids)) < advice.FixedLatency/2 || scarce && !s.spec.Gang && len(ids) < callSize(advice)
		tooLong := !alwaysLong && advice.Duration(len(ids)+1) >= longCall
		if expected >= wanted && !full && !cheap || tooLong || len(ids) == limit {
			break
		}
		ids = append(ids, cand.w.ID)
		expected += cand.expectedTasks
	}
	if len(ids) > 0 {
		c.callAdvice(s, ids)
	}
}

// callCandidates returns the workers that a call may name. It reports whether the call is
// to name as many as it can, because workers will be reserved for a gang, whether they have
// room now or not.
func (c *Cell) callCandidates(pool *servicePool, s *step, wanted float64, scarce bool) (candidates []adviceCandidate, full bool) {
	candidates = c.adviceCandidates(pool, s, false)
	switch {
	case scarce:
		return append(candidates, c.fullCandidates(pool, s)...), false
	case s.spec.Gang && s.queue.Advice.Duration(1) >= longCall && totalExpected(candidates) < wanted:
		return c.adviceCandidates(pool, s, true), true
	default:
		return candidates, false
	}
}

// hostsScarce reports whether more calls than the hosts can make have been asked for
// lately. Then a call names as many workers as double its time, so that it spares others.
func (c *Cell) hostsScarce() bool {
	return c.deniedWithin(mediumClass, scarceWindow) || c.deniedWithin(longClass, scarceWindow)
}

// parallelCalls returns how many calls one gang may make side by side. While hosts are
// scarce, a gang that asks about many workers at once would keep others from asking at all.
func (c *Cell) parallelCalls() int {
	if c.hostsScarce() {
		return 1
	}
	return maxParallelCalls
}

// fullCandidates returns workers without room for a task of the step, those first that
// are expected to have most of it while the tickets last. Of a gang, they include the others,
// for which workers are reserved.
func (c *Cell) fullCandidates(pool *servicePool, s *step) []adviceCandidate {
	stats := c.queueStats(s.queue.Name)
	horizon := c.now.Steady + s.queue.Advice.Duration(1) + s.queue.Advice.Validity
	var candidates []adviceCandidate
	pool.scanFrom(s, func(cand *candidate) bool {
		if s.room(cand.w, cand.free) > 0 || s.room(cand.w, cand.w.Capacity) == 0 || !cand.w.hasLabel(s.spec.Label) || s.advice.hasTicket(cand.w, c.now.Steady) {
			return true
		}
		eligible, known := s.advice.lookup(cand.w)
		if known && !eligible {
			return true
		}
		free := cand.free
		for _, rel := range c.releases(cand) {
			if rel.at <= horizon {
				free = free.Add(rel.need)
			}
		}
		expected := float64(s.room(cand.w, free))
		if expected == 0 && !s.spec.Gang {
			return true
		}
		if !known {
			expected *= stats.eligibleShare
		}
		candidates = append(candidates, adviceCandidate{cand.w, expected})
		return len(candidates) < maxAdviceScan
	})
	slices.SortStableFunc(candidates, func(a, b adviceCandidate) int { return cmp.Compare(b.expectedTasks, a.expectedTasks) })
	return candidates
}

// adviceCandidates returns the workers to ask about, those with the most expected
// tasks first; on an uneven fleet, those of suitable speeds come before them. With
// includeFull, they include workers without room now.
func (c *Cell) adviceCandidates(pool *servicePool, s *step, includeFull bool) []adviceCandidate {
	stats := c.queueStats(s.queue.Name)
	duration := stats.expectedDuration(s.spec.Estimate)
	order := c.adviceOrder(s)
	var candidates []adviceCandidate
	pool.scanFrom(s, func(cand *candidate) bool {
		if !cand.w.hasLabel(s.spec.Label) {
			return true
		}
		if !s.spec.Gang && (s.advice.hasTicket(cand.w, c.now.Steady) || s.blockedByReservation(cand, c.now.Steady, cand.w.duration(duration))) {
			return true
		}
		n := s.room(cand.w, cand.free)
		if n == 0 && includeFull {
			n = min(1, s.room(cand.w, cand.w.Capacity))
		}
		if n == 0 {
			return true
		}
		eligible, known := s.advice.lookup(cand.w)
		if known && !eligible {
			return true
		}
		expected := float64(n)
		if !known {
			expected *= stats.eligibleShare
		}
		candidates = append(candidates, adviceCandidate{cand.w, expected})
		return len(candidates) < maxAdviceScan
	})
	slices.SortStableFunc(candidates, func(a, b adviceCandidate) int {
		return cmp.Or(order(a.w)-order(b.w), cmp.Compare(b.expectedTasks, a.expectedTasks))
	})
	return candidates
}

// requestMoreAdvice asks about workers that the gang's earlier calls did not cover: those
// with room now or, if withRoom is false, all. While hosts are scarce, it asks about one
// call's worth, and only if that may hold the members that the known workers don't.
func (c *Cell) requestMoreAdvice(pool *servicePool, s *step, withRoom bool) {
	if s.advice.asking() {
		return
	}
	missing := float64(len(s.tasks))
	if !withRoom {
		missing *= adviceSurplus // other gangs take part of the room that a worker has when it is empty
	}
	var unasked []assignment
	pool.scanFrom(s, func(cand *candidate) bool {
		n := s.room(cand.w, cand.free)
		if !withRoom {
			n = s.room(cand.w, cand.w.Capacity)
		}
		if n == 0 || !cand.w.hasLabel(s.spec.Label) {
			return true
		}
		switch eligible, known := s.advice.lookup(cand.w); {
		case eligible:
			missing -= float64(n)
		case !known:
			unasked = append(unasked, assignment{cand, n})
		}
		return len(unasked) < maxAdviceScan
	})
	slices.SortStableFunc(unasked, func(a, b assignment) int { return cmp.Compare(b.n, a.n) })
	if c.hostsScarce() {
		unasked = unasked[:min(len(unasked), callSize(s.queue.Advice))]
		share := c.queueStats(s.queue.Name).eligibleShare
		if missing <= 0 || withRoom && share*float64(memberCount(unasked)) < missing {
			return
		}
	}
	if len(unasked) > 0 {
		c.renewTickets(s, unasked)
	}
}

// renewTickets asks for new tickets for the workers that a gang is to run on.
func (c *Cell) renewTickets(s *step, assignments []assignment) {
	if s.advice.asking() {
		return
	}
	var ids []string
	for _, assigned := range assignments {
		ids = append(ids, assigned.w.ID)
	}
	c.callAdvice(s, ids)
}

// callSize returns how many workers one call should name. A long call names so many that
// it takes at most twice its shortest time.
func callSize(advice *workload.Advice) int {
	if advice.Duration(1) < longCall || advice.PerWorker <= 0 {
		return maxWorkersPerCall
	}
	return int(min(maxWorkersPerCall, max(1, advice.FixedLatency/advice.PerWorker)))
}

// callAdvice calls the advice service about the workers, those that matter most first.
// It divides them among as many hosts as chooseHost returns, up to maxParallelCalls.
func (c *Cell) callAdvice(s *step, ids []string) {
	advice := s.queue.Advice
	size := callSize(advice)
	ids = ids[:min(len(ids), maxParallelCalls*size)]
	calls := (len(ids) + size - 1) / size
	for ; calls > 0; calls-- {
		n := (len(ids) + calls - 1) / calls // equal calls end at the same time
		host := c.chooseHost(advice, n)
		if host == "" {
			return
		}
		c.recordCall(host, s, n)
		s.advice.recordAsked(ids[:n])
		s.advice.askedAt = c.now.Steady
		c.emit(RequestAdvice{Host: host, Step: s.name, Workers: ids[:n:n]})
		ids = ids[n:]
	}
}

// callClass orders calls to the advice service by their duration. The longer classes
// depend on the queue, so that a gang's short call for tickets is of the class of its others.
type callClass int

const (
	shortClass callClass = iota
	mediumClass
	longClass
	callClasses // number of classes
)

// classOf returns the class of a call about the given number of workers.
func classOf(advice *workload.Advice, workers int) callClass {
	switch {
	case advice.Duration(workers) < longCall:
		return shortClass
	case advice.Duration(typicalCallWorkers) <= mediumCall:
		return mediumClass
	default:
		return longClass
	}
}

// chooseHost returns the host to call from, or "" if all are busy. Once they are, they
// stay so until the end of the placement round.
func (c *Cell) chooseHost(advice *workload.Advice, workers int) string {
	class := classOf(advice, workers)
	if c.allHostsBusy[class] {
		return ""
	}
	host := c.findHost(class)
	c.allHostsBusy[class] = host == ""
	if host == "" {
		c.deniedAt[class] = c.now.Steady
	}
	return host
}

// findHost returns the host to make a call of the class from, or "" if all are busy. A
// third of the hosts that are not backing off make no short calls. The others make longer
// calls as long as enough hosts remain for short calls, so that no short call waits
// behind a long one. Medium and long calls divide the hosts while both wait for one:
// gangs would else keep all other steps from asking, or these all gangs.
func (c *Cell) findHost(class callClass) string {
	hosts := c.hosts
	if len(c.backoffs) > 0 {
		hosts = slices.DeleteFunc(slices.Clone(hosts), c.backingOff)
	}
	if len(hosts) < 2 {
		return c.leastBusy(hosts, maxCallsPerHost)
	}
	split := max(1, len(hosts)/3)
	longOnly, others := hosts[:split], hosts[split:]
	if class == shortClass {
		return c.leastBusy(others, maxCallsPerHost)
	}
	quota := mediumShare * float64(len(hosts))
	if class == mediumClass && float64(len(c.mediumCalls)) >= quota && c.deniedWithin(longClass, deniedWindow) {
		return ""
	}
	if host := c.leastBusy(longOnly, 1); host != "" {
		return host
	}
	available := -1 // excludes the host to be chosen
	for _, host := range others {
		if c.longCalls[host] == "" {
			available++
		}
	}
	reserve := max(1, c.shortCallHosts())
	if class == longClass && c.deniedWithin(mediumClass, deniedWindow) {
		reserve += max(0, quota-float64(len(c.mediumCalls)))
	}
	if float64(available) < reserve {
		return ""
	}
	return c.leastBusy(others, 1)
}

// deniedWithin reports whether a call of the class found no host within the given time.
func (c *Cell) deniedWithin(class callClass, window time.Duration) bool {
	at := c.deniedAt[class]
	return at > 0 && c.now.Steady-at < window
}

// adviceQueueTime estimates how long it takes to make the first long call for all
// waiting steps up to a rank that have no answer yet.
func (c *Cell) adviceQueueTime(rank int) time.Duration {
	total := time.Duration(0)
	for _, s := range c.waiting {
		if s.job.spec == nil || s.advice.asking() || s.advice.answered() || c.rank(s) > rank {
			continue
		}
		if advice := s.queue.Advice; advice.Duration(1) >= longCall {
			workers := adviceSurplus * float64(len(s.tasks)) / c.queueStats(s.queue.Name).eligibleShare
			total += advice.Duration(int(min(typicalCallWorkers, workers)))
		}
	}
	return time.Duration(float64(total) / c.longCallHosts())
}

// longCallHosts returns how many long calls can be in flight beside the short ones.
func (c *Cell) longCallHosts() float64 {
	hosts := float64(len(c.hosts))
	longOnly := max(1, math.Floor(hosts/3))
	return longOnly + max(0, hosts-longOnly-max(1, c.shortCallHosts()))
}

// shortCallHosts returns how many hosts short calls have recently kept busy.
func (c *Cell) shortCallHosts() float64 {
	return c.shortCallLoad * math.Exp(-float64(c.now.Steady-c.shortCallLoadAt)/float64(shortCallWindow))
}

// recordCall records a call about the given number of workers that a host makes.
func (c *Cell) recordCall(host string, s *step, workers int) {
	advice := s.queue.Advice
	c.callsInFlight[host]++
	switch classOf(advice, workers) {
	case mediumClass:
		c.mediumCalls[host] = true
		c.longCalls[host] = s.name
	case longClass:
		c.longCalls[host] = s.name
	default:
		c.shortCallLoad = c.shortCallHosts() + float64(advice.Duration(workers))/float64(shortCallWindow)
		c.shortCallLoadAt = c.now.Steady
	}
}

// leastBusy returns the host with the fewest calls in flight, none of them long, or
// "" if every host has at least limit calls or a long one in flight.
func (c *Cell) leastBusy(hosts []string, limit int) string {
	best := ""
	for _, host := range hosts {
		if c.callsInFlight[host] < limit && c.longCalls[host] == "" && (best == "" || c.callsInFlight[host] < c.callsInFlight[best]) {
			best = host
		}
	}
	return best
}

// backingOff reports whether a host makes no calls for now because its last one
// failed.
func (c *Cell) backingOff(host string) bool {
	backoff := c.backoffs[host]
	return backoff != nil && c.now.Steady < backoff.retryAt
}

// recordCallFailure records that a call from a host failed.
func (c *Cell) recordCallFailure(host string, failure Failure) {
	backoff := c.backoffs[host]
	if backoff == nil {
		backoff = &hostBackoff{since: c.now.Steady}
		c.backoffs[host] = backoff
		c.logInfo("advice does not answer", slog.String("host", host), slog.Int("failure", int(failure)))
	}
	backoff.retryAt = c.now.Steady + min(maxAdviceRetryDelay, adviceRetryDelay<<min(backoff.failures, 4))
	backoff.failures++
}

// recordCallSuccess records that a call from a host, sent at the given time, was
// answered.
func (c *Cell) recordCallSuccess(host string, sent Instant) {
	if backoff := c.backoffs[host]; backoff != nil && sent > backoff.since {
		delete(c.backoffs, host)
		c.logInfo("advice answers again", slog.String("host", host), slog.Int("failed", backoff.failures), slog.Duration("after", c.now.Steady-backoff.since))
	}
}

// handleAdviceResult handles the outcome of a call to the advice service.
func (c *Cell) handleAdviceResult(e AdviceResult) {
	c.callsInFlight[e.Host] = max(0, c.callsInFlight[e.Host]-1)
	if c.longCalls[e.Host] == e.Step {
		delete(c.longCalls, e.Host)
		delete(c.mediumCalls, e.Host)
	}
	if e.Failure != None {
		c.recordCallFailure(e.Host, e.Failure)
	}
	t := c.task(e.Step + ".0")
	if t == nil {
		return
	}
	s := t.step
	s.advice.callsInFlight = max(0, s.advice.callsInFlight-1)
	if !s.advice.asking() {
		clear(s.advice.asked)
	}
	if e.Failure != None {
		s.notBefore = c.now.Steady + adviceRetryDelay
		return
	}
	c.recordCallSuccess(e.Host, s.advice.askedAt)
	if s.advice.answers == nil {
		s.advice.answers = map[*worker]eligibility{}
		s.advice.tickets = map[*worker]ticket{}
	}
	eligible, asked, allowed := 0, 0, 0
	for id, text := range e.Tickets {
		w := c.workers[id]
		if text != "" {
			eligible++
		}
		if w == nil || !s.advice.knows(w) {
			asked++
			if text != "" {
				allowed++
			}
		}
		if w == nil || w.restartSeenAt > s.advice.askedAt {
			continue // the answer may be for the previous incarnation
		}
		s.advice.answers[w] = eligibility{eligible: text != "", startedAt: w.StartedAt}
		if text != "" {
			s.advice.addEligible(w)
			s.advice.tickets[w] = ticket{text: text, validUntil: c.now.Steady + e.Validity - ticketMargin, startedAt: w.StartedAt}
		}
	}
	c.logInfo("advice", slog.String("step", e.Step), slog.String("host", e.Host), slog.Int("asked", len(e.Tickets)), slog.Int("eligible", eligible),
		slog.Duration("took", c.now.Steady-s.advice.askedAt))
	c.recordEligible(s.queue.Name, allowed, asked)
}

// totalExpected returns the expected number of tasks that can start on the
// candidates.
func totalExpected(candidates []adviceCandidate) float64 {
	total := 0.0
	for _, cand := range candidates {
		total += cand.expectedTasks
	}
	return total
}
