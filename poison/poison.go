// Package poison finds tasks that crash the workers that start them, and limits the
// workers that they take down meanwhile. It answers the load pattern of a poison task: a
// crash takes all runs of the worker with it, nobody knows which one was to blame, and all
// of them are started again on other workers.
//
// A [Ledger] judges crashes. The first makes suspects of the runs that were young. The next
// run of a suspect is on probation: the only one on its worker that is, until it ends or has
// gone on for longer than crashes take. A crash with one run on probation names its culprit.
// While a class of tasks crashes workers, its untried tasks are on probation too, on a
// limited number of workers, which grows with each run that survives and halves with each
// crash. Crashes of many workers at the same moment count, but prove nothing.
//
// What is known of a task, or of a gang as a whole, is in its [Record], which the caller
// stores. The package reads no clock and does no I/O; times are on the caller's clock.
//
// # Usage
//
//	var l poison.Ledger
//	findings := l.Judge(poison.Crash{Worker: id, At: at, Runs: runs})
//	if scope, endangered := l.Scope(class); endangered && atRisk[scope] >= l.Limit(scope, workers) {
//		// Untried tasks of the class wait.
//	}
//	l.Survived(class)
//	l.Expire(now)
package poison

import (
	"slices"
	"time"
)

const (
	// maxCrashes is how many crashes a task is blamed for at most: it may be started twice
	// more after three.
	maxCrashes = 5
	// aloneFrom is the number of crashes from which a task runs with nothing beside it, so
	// that no other task can add to them.
	aloneFrom = 3
	// minWorkers is how many workers must have crashed under a task that is given up.
	minWorkers = 2
	// strongEvidence is how many other tasks of a class must have been named by a crash for
	// one proof to be enough.
	strongEvidence = 2

	// firstDelay is assumed to pass from a start to the crash until one of the class has
	// been seen.
	firstDelay = 250 * time.Millisecond
	// maxDelay bounds the delay that is learned of a class.
	maxDelay = 2 * time.Second
	// delaySamples is how many crashes of a class its delay is taken from.
	delaySamples = 16
	// delayFactor and delayMargin widen a delay to the length of a probation.
	delayFactor = 1.5
	delayMargin = 50 * time.Millisecond
	// youngFactor widens the probation of a class to the age up to which a run counts as a
	// possible cause.
	youngFactor = 1.5
	// LongLife is the age of a run above which its task is rid of all earlier crashes.
	LongLife = 30 * time.Second

	// memory is how long a class stays endangered after its last crash.
	memory = 20 * time.Second
	// pairWindow is the time between two crashes without a culprit that endanger a class.
	pairWindow = 3 * time.Second
	// acquittal is how many runs of a class without a culprit must survive since its last
	// crash to end the danger before that.
	acquittal = 40
	// selfMemory is how long a crash without a possible cause makes those of the same
	// address no proof.
	selfMemory = 30 * time.Second

	// startShare, floorShare and MaxShare are the shares of the workers that an endangered
	// class may hold at risk: at first, at least and at most. Below half of them, a zone or
	// rack that loses its power always takes other workers with it.
	startShare = 1.0 / 6
	floorShare = 1.0 / 16
	MaxShare   = 1.0 / 3
	// minLimit is the least number of workers that may be at risk.
	minLimit = 2
)

// Class is a queue's tasks of one team, or of all teams if Team is empty.
type Class struct{ Queue, Team string }

// Record is what is known of a task, or of a gang, whose worker crashed.
type Record struct {
	Workers []string      `cbor:"1,keyasint"`           // worker of each crash
	Run     uint64        `cbor:"2,keyasint,omitempty"` // last run that ended in a crash; 0: unknown
	Proofs  int           `cbor:"3,keyasint,omitempty"` // crashes that named it
	Age     time.Duration `cbor:"4,keyasint,omitempty"` // longest age of a run that ended in a crash
	Suspect bool          `cbor:"5,keyasint,omitempty"` // its next run is on probation
}

// Empty reports whether no crash is recorded.
func (r *Record) Empty() bool { return len(r.Workers) == 0 }

// Alone reports whether the task may only run with nothing beside it.
func (r *Record) Alone() bool { return len(r.Workers) >= aloneFrom }

// Clear ends the suspicion after a run of the given age. The crashes count on unless the
// run has gone on for long.
func (r *Record) Clear(age time.Duration) {
	r.Suspect = false
	if age >= LongLife {
		*r = Record{}
	}
}

func (r *Record) distinctWorkers() int {
	return len(slices.Compact(slices.Sorted(slices.Values(r.Workers))))
}

// Run is a task's run, or the youngest of a gang's members, on a worker that crashed.
type Run struct {
	*Record
	Class
	Number    uint64        // 0: unknown
	Age       time.Duration // at the crash
	Probation bool
}

// Crash is the crash of a worker and what ran there.
type Crash struct {
	Worker, Address string
	At              time.Duration
	Runs            []Run
	Mass            bool // other workers crashed at the same moment
}

// Finding is what a crash says of a run's task.
type Finding int

// Findings, in order of gravity.
const (
	Counted   Finding = iota // it is counted, without a suspicion
	Suspected                // the next run is on probation
	Guilty                   // the task must not start again
)

// Ledger holds the classes that crash workers. The zero value holds none.
type Ledger struct {
	classes   map[Class]*danger
	selfCrash map[string]time.Duration // by address, when its worker last crashed without a possible cause
	delays    map[Class][]time.Duration
}

// danger is the state of a class that may crash workers.
type danger struct {
	evidence   []evidence
	endangered bool
	limit      float64 // workers at risk; 0: not used yet
	survived   int     // since the last crash
}

// evidence is a crash of a worker that a class may have caused.
type evidence struct {
	worker  string
	at      time.Duration
	exact   bool // it had one culprit
	settled bool // the worker did crash
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
	most := max(floor, MaxShare*float64(workers))
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

// Probation returns how long a run must go on to show that its task doesn't crash workers.
func (l *Ledger) Probation(c Class, r *Record) time.Duration {
	need := l.classProbation(c)
	if r.Suspect {
		need = max(need, time.Duration(delayFactor*float64(r.Age))+delayMargin)
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

// Suspect takes a worker that may have crashed as evidence until it is judged or withdrawn,
// so that the danger is known before the worker is back.
func (l *Ledger) Suspect(c Crash) {
	if c.Mass {
		return
	}
	b := l.blame(c)
	for _, class := range b.classes {
		l.add(class, evidence{worker: c.Worker, at: c.At, exact: b.culprit != nil})
	}
}

// Withdraw takes back that a worker may have crashed.
func (l *Ledger) Withdraw(worker string) {
	for class, d := range l.classes {
		d.evidence = slices.DeleteFunc(d.evidence, func(e evidence) bool { return e.worker == worker && !e.settled })
		if len(d.evidence) == 0 {
			delete(l.classes, class)
		}
	}
}

// Judge records a crash and returns the finding for each run.
func (l *Ledger) Judge(c Crash) []Finding {
	l.Withdraw(c.Worker)
	b := l.blame(c)
	if b.self && !c.Mass {
		if l.selfCrash == nil {
			l.selfCrash = map[string]time.Duration{}
		}
		l.selfCrash[c.Address] = c.At
	}
	for _, class := range b.classes {
		if b.culprit != nil {
			l.addDelay(class, b.culprit.Age)
		}
		l.add(class, evidence{worker: c.Worker, at: c.At, exact: b.culprit != nil, settled: true})
	}
	findings := make([]Finding, len(c.Runs))
	for i := range c.Runs {
		findings[i] = l.judgeRun(c, &c.Runs[i], b)
	}
	return findings
}

func (l *Ledger) judgeRun(c Crash, run *Run, b blame) Finding {
	r := run.Record
	if run.Number > 0 && run.Number == r.Run {
		return Counted // another worker crashed under the same run of the gang
	}
	r.Run = run.Number
	r.Workers = append(r.Workers, c.Worker)
	r.Age = max(r.Age, run.Age)
	culprit := b.culprit != nil && b.culprit.Record == r
	if culprit {
		r.Proofs++
	}
	switch {
	case culprit:
		r.Suspect = true
	case b.culprit != nil:
		r.Suspect = r.Suspect || r.Alone()
	default:
		r.Suspect = r.Suspect || len(r.Workers) > 1 || !c.Mass && l.Young(run.Class, run.Age)
	}
	if len(r.Workers) >= maxCrashes || culprit && r.distinctWorkers() >= minWorkers && l.proven(r, run.Class) {
		return Guilty
	}
	if r.Suspect {
		return Suspected
	}
	return Counted
}

// proven reports whether a task that was just named by a crash is given up. A class that
// crashes workers again and again makes a chance coincidence unlikely.
func (l *Ledger) proven(r *Record, c Class) bool {
	if r.Proofs >= 2 || len(r.Workers) >= aloneFrom {
		return true
	}
	n := 0
	for class, d := range l.classes {
		if class.Queue != c.Queue || class.Team == "" {
			continue
		}
		for _, e := range d.evidence {
			if e.exact && e.settled {
				n++
			}
		}
	}
	return n > strongEvidence // one of them is this crash
}

// blame is who may have caused a crash.
type blame struct {
	culprit *Run // nil: not certain
	classes []Class
	self    bool // no run can have caused it
}

// blame returns who may have caused a crash.
func (l *Ledger) blame(c Crash) blame {
	if c.Mass {
		return blame{}
	}
	if culprit := l.culprit(c); culprit != nil {
		return blame{culprit: culprit, classes: []Class{culprit.Class}}
	}
	var b blame
	known := false
	for _, run := range c.Runs {
		if l.Young(run.Class, run.Age) && !slices.Contains(b.classes, run.Class) {
			b.classes = append(b.classes, run.Class)
			known = known || l.hasCulprit(run.Class)
		}
	}
	if known {
		b.classes = slices.DeleteFunc(b.classes, func(class Class) bool { return !l.hasCulprit(class) })
	}
	b.self = len(b.classes) == 0 && !slices.ContainsFunc(c.Runs, func(run Run) bool { return run.Suspect })
	return b
}

// culprit returns the run that certainly caused a crash: the only one on probation, beside
// none that an earlier crash makes as likely.
func (l *Ledger) culprit(c Crash) *Run {
	if at, ok := l.selfCrash[c.Address]; ok && c.At-at < selfMemory {
		return nil
	}
	var culprit *Run
	for i := range c.Runs {
		run := &c.Runs[i]
		switch {
		case run.Probation && culprit != nil:
			return nil
		case run.Probation:
			culprit = run
		case run.Suspect || run.Alone():
			return nil
		}
	}
	return culprit
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
	near := func(other evidence) bool { return max(e.at-other.at, other.at-e.at) <= pairWindow }
	d.endangered = d.endangered || e.exact || slices.ContainsFunc(d.evidence, near)
	d.evidence = append(d.evidence, e)
	d.crashed()
	queue := Class{Queue: c.Queue}
	if shared := l.classes[queue]; shared != nil {
		shared.evidence = append(shared.evidence, e)
		shared.crashed()
	} else if l.endangeredTeams(c.Queue) > 1 {
		l.classes[queue] = &danger{evidence: []evidence{e}, endangered: true}
	}
}

func (d *danger) crashed() { d.limit, d.survived = d.limit/2, 0 }

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

func (l *Ledger) addDelay(c Class, delay time.Duration) {
	if l.delays == nil {
		l.delays = map[Class][]time.Duration{}
	}
	queue := Class{Queue: c.Queue}
	samples := append(l.delays[queue], min(delay, maxDelay))
	l.delays[queue] = samples[max(0, len(samples)-delaySamples):]
}

// Survived records that a run on probation has ended, or gone on for long enough.
func (l *Ledger) Survived(c Class) {
	for _, class := range []Class{c, {Queue: c.Queue}} {
		if d := l.classes[class]; d != nil {
			d.limit++
			d.survived++
		}
	}
}

// Expire forgets the classes that have not crashed a worker for long, or whose part in the
// crashes was chance.
func (l *Ledger) Expire(now time.Duration) {
	for class, d := range l.classes {
		old := func(e evidence) bool { return now-e.at > memory }
		d.evidence = slices.DeleteFunc(d.evidence, old)
		exact := slices.ContainsFunc(d.evidence, func(e evidence) bool { return e.exact })
		if len(d.evidence) == 0 || !exact && d.survived >= acquittal {
			delete(l.classes, class)
		}
	}
	for address, at := range l.selfCrash {
		if now-at > selfMemory {
			delete(l.selfCrash, address)
		}
	}
}
