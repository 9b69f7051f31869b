package cell

import (
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// speedCheckInterval is how often the speeds are compared.
	speedCheckInterval = 500 * time.Millisecond
	// minKnownSpeeds and minKnownShare are how many workers of a service must have a
	// known speed for the check, as a number and as a share of them.
	minKnownSpeeds = 8
	minKnownShare  = 0.5
	// The speeds of a service count as uneven from unevenFactor between slowQuantile and
	// fastQuantile on, until the factor is below evenFactor. A few slow workers, which a
	// fault may have slowed down for a while, are no uneven fleet.
	slowQuantile, fastQuantile = 0.2, 0.8
	unevenFactor, evenFactor   = 2.0, 1.7
	// likeSpeed is the factor of speeds within one band.
	likeSpeed = 1.5
	// minSpeedShare is the minimum share of a run that a speed sample covers, because
	// progress is reported in whole percents and at intervals.
	minSpeedShare = 0.25
	// minPeers is how many tasks a step must have for them to be compared with each other,
	// and minEndedPeers the share of them that must have ended.
	minPeers      = 4
	minEndedPeers = 0.75
	// earlyQuantile and cautiousQuantile bound the run times for which a start on a
	// worker has to be in time.
	earlyQuantile = 0.1
	// speedMargin allows for errors of the estimated speed.
	speedMargin = 1.15
	// ampleSlack is the multiple of the needed speed from which on a slow worker is preferred.
	// The delays of storing, starting and reporting count for short tasks.
	ampleSlack = 2
	// lateOrder is added to the order of workers that are too slow, more than any band.
	lateOrder = 100
	// endDelay is the usual time from the end of a run to the stored end of its job.
	endDelay = 100 * time.Millisecond
)

// This file answers an uneven fleet, on which the fastest workers take a fraction of the
// time of the slowest. Work is expected to take longer on slow workers, work with little
// time goes to workers that are fast enough, and work with slack leaves those free. Gangs
// run on workers of like speed, as they wait for their slowest member. On a fleet of like
// speeds, all workers count as speed 1.

// addSpeedSample takes a sample of the speed of a run's worker from the progress since the
// last sample. Tasks of a gang give none: they wait for each other.
func (c *Cell) addSpeedSample(r *run, percent int, at Instant) {
	s := r.task.step
	from := max(r.sampledAt, r.confirmedAt)
	share := float64(percent-r.sampledPercent) / 100
	if share <= 0 || at <= from || s.spec.Gang || s.spec.LongRunning || s.spec.UsesIdleCPU || s.job.spec == nil || r.w.cold(c.now.Steady) {
		return
	}
	stats := c.queueStats(s.queue.Name)
	expected := float64(stats.quantileDuration(s.spec.Estimate, 0.5))
	spread, known := stats.runs.Spread()
	if peers, peersKnown := stats.peers.Spread(); peersKnown && s.peerWork > 0 {
		expected, spread = s.peerWork, peers
	}
	if known {
		r.w.speed.Add(share*expected/float64(at-from), spread, share, r.sampledAt > 0)
		r.sampledPercent, r.sampledAt = percent, at
	}
}

// peerRun is a run that has ended, to be compared with others of its step.
type peerRun struct {
	*run
	incarnation int
	endedAt     Instant
}

// addPeer takes a sample of a run that has ended, compared with the tasks of its step: their
// work differs less than the estimates of jobs are off. The first to end are the short ones,
// so runs are compared once most have ended.
func (c *Cell) addPeer(r *run) {
	s := r.task.step
	s.peers = append(s.peers, peerRun{r, r.w.incarnation, c.now.Steady})
	if s.peerWork == 0 && float64(len(s.peers)) < minEndedPeers*float64(len(s.tasks)) {
		return
	}
	if s.peerWork == 0 {
		work := make([]float64, len(s.peers))
		for i, p := range s.peers {
			work[i] = p.work()
		}
		slices.Sort(work)
		s.peerWork = work[len(work)/2]
	}
	for _, p := range s.peers {
		c.queueStats(s.queue.Name).peers.Add(p.work() / s.peerWork)
		if p.incarnation == p.w.incarnation {
			c.addSpeedSample(p.run, 100, p.endedAt)
		}
	}
	s.peers = s.peers[:0]
}

// work returns the run's work, in nanoseconds at speed 1.
func (p peerRun) work() float64 { return float64(p.endedAt-p.confirmedAt) * p.w.relativeSpeed() }

// recordProgressSpeed takes a speed sample of a run that has progressed by enough. A run that
// resumed from a checkpoint, or was adopted, is not at its beginning when it is first reported.
func (c *Cell) recordProgressSpeed(r *run, percent int, at Instant) {
	if (r.number != 1 || r.adopted) && r.sampledAt == 0 {
		r.sampledPercent, r.sampledAt = percent, at
		return
	}
	if float64(percent-r.sampledPercent)/100 >= minSpeedShare {
		c.addSpeedSample(r, percent, at)
	}
}

// relativeSpeed returns the worker's speed relative to the usual one, 1 if it is unknown.
func (w *worker) relativeSpeed() float64 {
	factor, _ := w.speed.Value()
	return factor
}

// workSpeed returns the speed by which run times on the worker are divided, relative to the
// usual speed of its service: 1 on a fleet of like speeds.
func (w *worker) workSpeed() float64 {
	if w.factor == 0 {
		return 1
	}
	return w.factor
}

// duration returns how long work that takes d on a worker of speed 1 takes on w.
func (w *worker) duration(d time.Duration) time.Duration {
	return time.Duration(float64(d) / w.workSpeed())
}

// placementSpeed returns the speed that orders workers for a task. Small differences, which
// run times leave out, count here too.
func (w *worker) placementSpeed() float64 {
	if w.factor > 0 {
		return w.factor
	}
	return w.relativeSpeed()
}

// speed returns the speed at which a run works; a gang works at that of its slowest
// member.
func (r *run) speed() float64 {
	slowest := r.w.workSpeed()
	if r.task.step.spec.Gang {
		for _, t := range r.task.step.tasks {
			for _, member := range t.runs {
				slowest = min(slowest, member.w.workSpeed())
			}
		}
	}
	return slowest
}

// checkSpeeds determines which services have workers of uneven speeds, and their usual
// speed.
func (c *Cell) checkSpeeds() {
	if c.now.Steady-c.speedsCheckedAt < speedCheckInterval {
		return
	}
	c.speedsCheckedAt = c.now.Steady
	known, total := map[string][]float64{}, map[string]int{}
	for _, w := range c.sortedWorkers {
		if !w.listed {
			continue
		}
		total[w.Service]++
		if factor, ok := w.speed.Value(); ok {
			known[w.Service] = append(known[w.Service], factor)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(known)) {
		speeds := known[service]
		if len(speeds) < minKnownSpeeds || float64(len(speeds)) < minKnownShare*float64(total[service]) {
			continue
		}
		slices.Sort(speeds)
		slow := speeds[int(slowQuantile*float64(len(speeds)))]
		fast := speeds[int(fastQuantile*float64(len(speeds)))]
		limit, wasUneven := unevenFactor, c.uneven[service] > 0
		if wasUneven {
			limit = evenFactor
		}
		uneven := fast >= limit*slow
		if uneven {
			c.uneven[service] = speeds[len(speeds)/2]
		} else {
			delete(c.uneven, service)
		}
		if uneven != wasUneven {
			c.logInfo("speeds of workers", slog.String("service", service), slog.Bool("uneven", uneven), slog.Float64("slow", slow), slog.Float64("fast", fast), slog.Int("known", len(speeds)))
		}
	}
	for _, w := range c.sortedWorkers {
		w.setFactor(c.uneven[w.Service])
	}
}

// setFactor sets the worker's speed relative to the usual one of its service, which is 0 on
// a fleet of like speeds.
func (w *worker) setFactor(usual float64) {
	w.factor, w.speedBand = 0, 0
	if usual == 0 {
		return
	}
	w.factor = 1
	if factor, known := w.speed.Value(); known {
		w.factor = factor / usual
	}
	w.speedBand = int(math.Round(math.Log(w.factor) / math.Log(likeSpeed)))
}

// neededSpeed returns the speed that a worker needs for a task of the step, started now, to
// end in time, whether its work is short or long. Both the objective and the rest of the
// job grow with the work. The result is 0 if the step is late anyway, and infinite if a
// part of its tasks will be late on any worker or all workers are alike.
func (c *Cell) neededSpeed(s *step) float64 {
	stats := c.queueStats(s.queue.Name)
	if c.uneven[s.queue.Service] == 0 {
		return math.Inf(1)
	}
	if c.now.Steady > s.latestStart+stats.typicalDuration(s.spec.Estimate) {
		return 0
	}
	needed := 0.0
	for _, share := range []float64{earlyQuantile, cautiousQuantile} {
		work := stats.quantileDuration(s.spec.Estimate, share)
		left := c.endBy(s, work) - c.now.Steady
		if left <= 0 {
			return math.Inf(1)
		}
		needed = max(needed, speedMargin*float64(work)/float64(left))
	}
	return needed
}

// endBy returns when a task of the step must end for its job to be in time, if it takes the
// given time on a worker of speed 1 and the other tasks differ from their estimates likewise.
func (c *Cell) endBy(s *step, work time.Duration) Instant {
	endBy := s.latestStart + s.spec.Estimate // if the work is as estimated
	rest := time.Duration(0)
	if s.occ.due.IsZero() {
		rest = max(0, s.job.objective-endBy)
	}
	growth := s.queue.Slack*float64(s.job.path) - float64(rest)
	return endBy - endDelay + time.Duration((float64(work)/float64(max(1, s.spec.Estimate))-1)*growth)
}

// speedScore orders workers for a task that needs the given speed: first the slowest of
// those with ample slack, then the fastest of the others.
func speedScore(speed, needed float64) float64 {
	if speed >= ampleSlack*needed {
		return speedWeight * speed
	}
	return penaltyLate - speedWeight*speed
}

// adviceOrder returns the order in which to ask about workers for a step: on an uneven
// fleet, those of the highest bands first for a gang, and for others first the slowest with
// ample slack.
func (c *Cell) adviceOrder(s *step) func(w *worker) int {
	if c.uneven[s.queue.Service] == 0 {
		return func(*worker) int { return 0 }
	}
	needed := c.neededSpeed(s)
	return func(w *worker) int {
		band := w.speedBand
		if s.spec.Gang || w.workSpeed() < ampleSlack*needed {
			return lateOrder - band
		}
		return band
	}
}

// chooseBand returns the assignments of a gang whose slowest member is as fast as possible,
// those of the slowest needed band first: the gang does not end sooner on faster ones.
// Workers with tickets are enough if the gang ends in time on them, or sooner than with
// faster workers after a call for their tickets.
func (c *Cell) chooseBand(s *step, assignments []assignment) []assignment {
	ticketed := slices.DeleteFunc(slices.Clone(assignments), func(a assignment) bool { return !s.advice.hasTicket(a.w, c.now.Steady) })
	all, allBand := fastestBand(assignments, len(s.tasks))
	now, nowBand := fastestBand(ticketed, len(s.tasks))
	if now == nil && s.advice.asking() {
		expected := slices.DeleteFunc(slices.Clone(assignments), func(a assignment) bool { return !s.advice.expectsTicket(a.w, c.now.Steady) })
		now, nowBand = fastestBand(expected, len(s.tasks))
	}
	if now == nil || all == nil || nowBand >= allBand {
		if now != nil {
			return now
		}
		return all
	}
	speed, faster := slowestSpeed(now), slowestSpeed(all)
	duration := c.queueStats(s.queue.Name).expectedDuration(s.spec.Estimate)
	call := s.queue.Advice.Duration(len(all)) + ticketLeadTime
	if speed >= c.neededSpeed(s) || float64(duration)/speed <= float64(call)+float64(duration)/faster {
		return now
	}
	return all
}

// fastestBand returns the assignments in the highest bands that together hold the gang,
// those of the lowest of these bands first, and that band. It returns nil if there is not
// enough room.
func fastestBand(assignments []assignment, members int) ([]assignment, int) {
	bands := map[int]int{}
	highest, lowest := math.MinInt, math.MaxInt
	for _, a := range assignments {
		band := a.w.speedBand
		bands[band] += a.n
		highest, lowest = max(highest, band), min(lowest, band)
	}
	room := 0
	for band := highest; band >= lowest; band-- {
		if room += bands[band]; room < members {
			continue
		}
		chosen := slices.DeleteFunc(slices.Clone(assignments), func(a assignment) bool { return a.w.speedBand < band })
		slices.SortStableFunc(chosen, func(a, b assignment) int { return a.w.speedBand - b.w.speedBand })
		return chosen, band
	}
	return nil, lowest
}

// slowestSpeed returns the speed of the slowest of the workers.
func slowestSpeed(assignments []assignment) float64 {
	slowest := math.Inf(1)
	for _, a := range assignments {
		slowest = min(slowest, a.w.workSpeed())
	}
	return slowest
}

// soonestOpenings returns those of the sorted openings with which a gang ends first: its
// members take the first ones, and a slow worker among them delays all.
func (c *Cell) soonestOpenings(pool *servicePool, s *step, openings []opening) []opening {
	if c.uneven[s.queue.Service] == 0 || len(openings) < len(s.tasks) || c.startsAnywhere(pool, s) {
		return openings
	}
	var best []opening
	bestEnd := Instant(math.MaxInt64)
	seen := map[int]bool{}
	for _, o := range openings {
		band := o.cand.w.speedBand
		if seen[band] {
			continue
		}
		seen[band] = true
		chosen := slices.DeleteFunc(slices.Clone(openings), func(o opening) bool { return o.cand.w.speedBand < band })
		if len(chosen) < len(s.tasks) {
			continue
		}
		if end := c.gangEnd(s, chosen); end < bestEnd {
			best, bestEnd = chosen, end
		}
	}
	return best
}

// gangEnd returns when a gang is expected to end that takes the first of the openings.
func (c *Cell) gangEnd(s *step, openings []opening) Instant {
	slowest := math.Inf(1)
	for _, o := range openings[:len(s.tasks)] {
		slowest = min(slowest, o.cand.w.workSpeed())
	}
	duration := c.queueStats(s.queue.Name).expectedDuration(s.spec.Estimate)
	return openings[len(s.tasks)-1].at + time.Duration(float64(duration)/slowest)
}

// startsAnywhere reports whether a gang has waited for as long as users accept beside free
// room, so that it starts on the first workers that have room, however slow.
func (c *Cell) startsAnywhere(pool *servicePool, s *step) bool {
	return pool.mostlyFree() && c.now.Steady > s.readyAt+acceptedWait
}

// waitsForFaster reports whether a gang that would be late on the workers that have room
// should wait for faster ones, on which it ends in time.
func (c *Cell) waitsForFaster(p *round, pool *servicePool, s *step, assignments []assignment) bool {
	if c.uneven[s.queue.Service] == 0 || p.reservationsFull() || c.now.Steady > s.latestStart || c.startsAnywhere(pool, s) {
		return false
	}
	slowest := slowestSpeed(assignments)
	if slowest >= c.neededSpeed(s) {
		return false
	}
	openings := c.soonestOpenings(pool, s, c.gangOpenings(pool, s))
	if len(openings) < len(s.tasks) {
		return false
	}
	duration := c.queueStats(s.queue.Name).expectedDuration(s.spec.Estimate)
	inTime := s.latestStart + s.spec.Estimate + time.Duration(float64(duration-s.spec.Estimate)*s.queue.Slack)
	end := c.gangEnd(s, openings)
	return end < inTime && end < c.now.Steady+time.Duration(float64(duration)/slowest)
}
