package poison

import (
	"maps"
	"slices"
	"time"
)

// This file limits the workers that classes of tasks may take down.

const (
	// firstDelay is assumed to pass from a start to the crash until one of the class has
	// been seen.
	firstDelay = 150 * time.Millisecond
	// maxDelay bounds the delay that is learned of a class.
	maxDelay = 2 * time.Second
	// delaySamples is how many crashes of a class its delay is taken from.
	delaySamples = 16
	// delayFactor and delayMargin widen a delay to the length of a probation.
	delayFactor = 2
	delayMargin = 30 * time.Millisecond
	// youngFactor widens the probation of a class to the age up to which a run counts as a
	// possible cause.
	youngFactor = 1.5
	// nearFactor and nearMargin widen the age of the youngest run of a crash to the age up to
	// which others make their classes endangered, too.
	nearFactor = 3
	nearMargin = 20 * time.Millisecond

	// memory is how long a class stays endangered after its last crash.
	memory = 20 * time.Second
	// acquittal is how many runs of a class without a culprit must survive since its last
	// crash to end the danger before that.
	acquittal = 40

	// startShare and floorShare are the shares of the workers that an endangered class may
	// hold at risk at first and at least; unsafeShare and safeShare what it may at most, if
	// many or few of its tasks crash their worker. Below half of the workers, a zone or rack
	// that loses its power always takes others with it.
	startShare  = 1.0 / 6
	floorShare  = 1.0 / 8
	unsafeShare = 0.2
	safeShare   = 0.4
	// crashFactor is applied to the limit at each crash under an untried task.
	crashFactor = 0.5
	// fullWeight is the share of untried tasks that crash their worker from which a run on
	// probation counts as much as a worker that is down; minWeight is the least that it counts.
	fullWeight = 0.1
	minWeight  = 0.25
	// priorShare is what this share is taken for at first, and priorTasks for how many tasks
	// this counts.
	priorShare = 0.05
	priorTasks = 10
	// maxTasks is the number of tasks that the share is taken from.
	maxTasks = 200
	// firstTrial is the time of a worker that the trial of a task is assumed to take, and
	// firstDown that for which a crash takes it away. Together they count as the cost of
	// priorTasks tasks.
	firstTrial = 200 * time.Millisecond
	firstDown  = 3 * time.Second
	// maxTrials is the number of tasks that the cost of a trial is taken from.
	maxTrials = 100

	// minLimit is the least number of workers that may be at risk.
	minLimit = 2
)

// danger is the state of a class that may crash workers.
type danger struct {
	evidence   []evidence
	endangered bool
	odds       float64 // that it crashes workers, against chance, at its last crash
	limit      float64 // workers at risk; 0: not used yet
	survived   int     // since the last crash
	passed     float64 // decayed number of tasks that survived
	failed     float64 // decayed number of tasks that crashed a worker for the first time
	spent      float64 // decayed time of workers at risk, in seconds
	settled    float64 // decayed number of tasks that survived or were given up
}

// evidence is a crash of a worker that a class may have caused.
type evidence struct {
	worker  string
	at      time.Duration
	exact   bool          // it had one culprit
	age     time.Duration // of the culprit's run
	settled bool          // the worker did crash
	begun   bool          // the culprit's run was known to go on
	again   bool          // a task was to blame that had crashed a worker before
	// chance and queueChance are how likely a crash by chance finds a run of the class, or of
	// its queue, as young.
	chance, queueChance float64
}

// Quiet reports whether no class has crashed a worker lately.
func (l *Ledger) Quiet() bool { return len(l.classes) == 0 }

// Endangered returns the number of classes whose untried tasks are limited.
func (l *Ledger) Endangered() int {
	n := 0
	for c, d := range l.classes {
		if d.endangered && c.Team != "" {
			n++
		}
	}
	return n
}

// Scope returns the class whose limit holds for untried tasks of c, and whether there is
// one: c itself, or its queue if two teams' tasks crash workers.
func (l *Ledger) Scope(c Class) (Class, bool) {
	queue := Class{Queue: c.Queue}
	if l.classes[queue] != nil {
		return queue, true
	}
	d := l.classes[c]
	return c, d != nil && d.endangered
}

// Limit returns how many of the given number of workers a class may hold at risk.
func (l *Ledger) Limit(c Class, workers int) int {
	floor := max(minLimit, floorShare*float64(workers))
	safety := (1 - l.Weight(c)) / (1 - minWeight)
	most := max(floor, (unsafeShare+(safeShare-unsafeShare)*safety)*float64(workers))
	d := l.classes[c]
	if d == nil {
		return int(most)
	}
	if d.limit == 0 {
		d.limit = startShare * float64(workers)
	}
	d.limit = min(most, max(floor, d.limit))
	return int(d.limit)
}

// Weight returns what a worker with a run on probation counts for, beside one that is down.
func (l *Ledger) Weight(c Class) float64 {
	d := l.classes[c]
	if d == nil {
		return 1
	}
	return min(1, max(minWeight, d.guiltyShare()/fullWeight))
}

// guiltyShare estimates the share of the class's untried tasks that crash their worker.
func (d *danger) guiltyShare() float64 {
	return (d.failed + priorShare*priorTasks) / (d.failed + d.passed + priorTasks)
}

// Spend records that a class held workers at risk: their number times the time.
func (l *Ledger) Spend(c Class, workers float64, d time.Duration) {
	if s := l.classes[c]; s != nil {
		s.spent += workers * d.Seconds()
	}
}

// TrialTime returns how long it takes to find out about a number of untried tasks of a class
// on a fleet of the given size, crashes included. It is 0 until a crash has named a task of the
// class, or chance is out of the question: workers that are cut off, or crash by themselves, cost it
// little.
func (l *Ledger) TrialTime(c Class, tasks, workers int) time.Duration {
	d := l.classes[c]
	named := func(e evidence) bool { return e.exact && (e.settled || e.begun) }
	if d == nil || tasks == 0 || d.odds < certainty && !slices.ContainsFunc(d.evidence, named) {
		return 0
	}
	assumed := firstTrial.Seconds() + minWorkers*d.guiltyShare()*firstDown.Seconds()
	cost := (d.spent + priorTasks*assumed) / (d.settled + priorTasks)
	return time.Duration(float64(tasks) * cost / float64(max(1, l.Limit(c, workers))) * float64(time.Second))
}

// settle records that a task of the class has survived or is given up.
func (d *danger) settle() {
	d.settled++
	if d.settled > maxTrials {
		d.settled, d.spent = d.settled/2, d.spent/2
	}
}

// Probation returns how long a run must go on to show that its task doesn't crash workers.
func (l *Ledger) Probation(c Class, r *Record) time.Duration {
	if r.Alone() {
		return LongLife
	}
	need := l.classProbation(c)
	if r.Suspect {
		need = max(need, time.Duration(delayFactor*float64(r.maxAge()))+delayMargin)
	}
	return min(need, LongLife)
}

func (l *Ledger) classProbation(c Class) time.Duration {
	delay := firstDelay
	if samples := l.delays[Class{Queue: c.Queue}]; len(samples) > 0 {
		delay = slices.Max(samples)
	}
	return time.Duration(delayFactor*float64(delay)) + delayMargin
}

// Young reports whether a run of the given age may be the cause of a crash.
func (l *Ledger) Young(c Class, age time.Duration) bool {
	return age <= time.Duration(youngFactor*float64(l.classProbation(c)))
}

// hasCulprit reports whether a crash has named a task of the class.
func (l *Ledger) hasCulprit(c Class) bool {
	d := l.classes[c]
	return d != nil && slices.ContainsFunc(d.evidence, func(e evidence) bool { return e.exact })
}

// add records evidence against a class.
func (l *Ledger) add(c Class, e evidence) {
	if l.classes == nil {
		l.classes = map[Class]*danger{}
	}
	d := l.classes[c]
	if d == nil {
		d = &danger{}
		l.classes[c] = d
	}
	d.crashed(e)
	d.odds = l.odds(c)
	d.endangered = d.endangered || e.exact || d.odds >= accusation
	queue := Class{Queue: c.Queue}
	if shared := l.classes[queue]; shared != nil {
		shared.crashed(e)
		shared.odds = l.odds(queue)
	} else if l.endangeredTeams(c.Queue) > 1 || l.accusedTeams(c.Queue) > 1 && l.odds(queue) >= accusation {
		d.endangered = true
		l.classes[queue] = &danger{evidence: []evidence{e}, endangered: true, odds: l.odds(queue)}
	}
}

// crashed adds evidence. What settles earlier evidence lowers the limit no further.
func (d *danger) crashed(e evidence) {
	d.survived = 0
	for i, other := range d.evidence {
		if other.worker == e.worker && !other.settled {
			d.evidence[i] = e
			return
		}
	}
	if !e.again {
		d.limit *= crashFactor
		d.failed++
		d.decay()
	}
	d.evidence = append(d.evidence, e)
}

// decay forgets the oldest tasks.
func (d *danger) decay() {
	if d.failed+d.passed > maxTasks {
		d.failed, d.passed = d.failed/2, d.passed/2
	}
}

// endangeredTeams returns the number of teams whose tasks of the queue crash workers.
func (l *Ledger) endangeredTeams(queue string) int {
	n := 0
	for class, d := range l.classes {
		if class.Queue == queue && class.Team != "" && d.endangered {
			n++
		}
	}
	return n
}

// accusedTeams returns the number of teams with evidence against their tasks of the queue.
func (l *Ledger) accusedTeams(queue string) int {
	n := 0
	for class := range l.classes {
		if class.Queue == queue && class.Team != "" {
			n++
		}
	}
	return n
}

// learnDelay takes the delay of a class from a crash with a culprit, once.
func (l *Ledger) learnDelay(class Class, b blame, c Crash) {
	if b.culprit == nil {
		return
	}
	if d := l.classes[class]; d != nil && slices.ContainsFunc(d.evidence, func(e evidence) bool { return e.worker == c.Worker && e.at == c.At }) {
		return
	}
	l.addDelay(class, b.culprit.Age)
}

func (l *Ledger) addDelay(class Class, delay time.Duration) {
	if l.delays == nil {
		l.delays = map[Class][]time.Duration{}
	}
	queue := Class{Queue: class.Queue}
	l.delays[queue] = append(l.delays[queue], min(delay, maxDelay))
	if extra := len(l.delays[queue]) - delaySamples; extra > 0 {
		l.delays[queue] = l.delays[queue][extra:]
	}
}

// GivenUp records that a task of the class is not started again.
func (l *Ledger) GivenUp(c Class) {
	for _, class := range []Class{c, {Queue: c.Queue}} {
		if d := l.classes[class]; d != nil {
			d.settle()
		}
	}
}

// Survived records that a run on probation has ended, or gone on for long enough.
func (l *Ledger) Survived(c Class) {
	for _, class := range []Class{c, {Queue: c.Queue}} {
		if d := l.classes[class]; d != nil {
			d.settle()
			d.limit++
			d.survived++
			d.passed++
			d.decay()
		}
	}
}

// Expire forgets the classes that have not crashed a worker for long, or whose part in the
// crashes was chance.
func (l *Ledger) Expire(now time.Duration) {
	l.observed = slices.DeleteFunc(l.observed, func(o observation) bool { return now-o.at > crashWindow })
	for _, d := range l.classes {
		d.evidence = slices.DeleteFunc(d.evidence, func(e evidence) bool { return now-e.at > memory })
	}
	var cleared []Class // the odds of a queue depend on all of its classes
	for class, d := range l.classes {
		exact := slices.ContainsFunc(d.evidence, func(e evidence) bool { return e.exact })
		if len(d.evidence) == 0 || !exact && (d.survived >= acquittal || d.endangered && l.odds(class) < 1) {
			cleared = append(cleared, class)
		}
	}
	for _, class := range cleared {
		delete(l.classes, class)
	}
	maps.DeleteFunc(l.starts, func(_ Class, r *rate) bool { return now-r.at > rateMemory })
	for address, at := range l.selfCrash {
		if now-at > selfMemory {
			delete(l.selfCrash, address)
		}
	}
}
