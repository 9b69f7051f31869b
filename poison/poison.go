// Package poison finds tasks that crash the workers that start them, and limits the
// workers that they take down meanwhile. It answers the load pattern of a poison task: a
// crash takes all runs of the worker with it, nobody knows which one was to blame, and all
// of them are started again on other workers.
//
// A [Ledger] judges crashes. The first makes suspects of the runs that were young. The next
// run of a suspect is on probation: the only one on its worker that is, until it ends or has
// gone on for longer than crashes take. A crash with one run on probation names its culprit.
// While a class of tasks crashes workers, its untried tasks are on probation too, on a
// limited number of workers, which grows with each run that survives and shrinks with
// each crash. Crashes of many workers at the same moment count, but prove nothing.
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
	"cmp"
	"slices"
	"time"
)

const (
	// maxCrashes is how many crashes at ages alike a task is blamed for at most. It may be
	// started twice more after three; one of its crashes may have been taken for another's.
	maxCrashes = 4
	// maxInconclusiveCrashes is the same for a gang whose crashes may be chance at that age, and
	// for runs that may not have begun.
	maxInconclusiveCrashes = 5
	// minGangCrashes is how many crashes name a gang if there were no others.
	minGangCrashes = 3
	// aloneFrom is the number of crashes from which a task runs with nothing beside it, so
	// that no other task can add to them.
	aloneFrom = 3
	// minWorkers is how many workers must have crashed under a task that is given up.
	minWorkers = 2
	// strongEvidence is how many other tasks of a class must have been named by a crash for
	// one proof to be enough.
	strongEvidence = 2

	// alikeMargin and alikeShare are how much the ages of two runs of a task may differ at the
	// crashes that it brought about.
	alikeMargin = 300 * time.Millisecond
	alikeShare  = 0.25
	// LongLife is the age of a run above which its task is rid of all earlier crashes.
	LongLife = 30 * time.Second
	// selfMemory is how long a crash without a possible cause makes those of the same
	// address no proof.
	selfMemory = 30 * time.Second
)

// Class is a queue's tasks of one team, or of all teams if Team is empty.
type Class struct{ Queue, Team string }

// Record is what is known of a task, or of a gang, whose worker crashed.
type Record struct {
	Workers  []string        `cbor:"1,keyasint"`           // worker of each crash
	Run      uint64          `cbor:"2,keyasint,omitempty"` // last of a gang's runs that ended in a crash
	Proofs   int             `cbor:"3,keyasint,omitempty"` // crashes that named it, at ages alike
	Ages     []time.Duration `cbor:"4,keyasint,omitempty"` // age of its run at each crash
	Suspect  bool            `cbor:"5,keyasint,omitempty"` // its next run is on probation
	ProofAge time.Duration   `cbor:"6,keyasint,omitempty"` // age of its run at the last crash that named it
	// Members holds the indexes of the gang's tasks on the worker of each crash that may have
	// caused it. An empty entry, or one that is missing, stands for any.
	Members [][]int `cbor:"7,keyasint,omitempty"`
	// All holds the worker of each crash of a run whose age is known, also of those that a later
	// run disproved, but not of crashes of many. Time is how long these runs went on.
	All  []string      `cbor:"8,keyasint,omitempty"`
	Time time.Duration `cbor:"9,keyasint,omitempty"`
}

// Empty reports whether no crash is recorded.
func (r *Record) Empty() bool { return len(r.Workers) == 0 }

// Alone reports whether the task may only run with nothing beside it.
func (r *Record) Alone() bool { return len(r.Workers) >= aloneFrom }

// LastWorker returns the worker of the last crash, empty if there is none.
func (r *Record) LastWorker() string {
	if r.Empty() {
		return ""
	}
	return r.Workers[len(r.Workers)-1]
}

// Repeated reports whether the last crash came after a time like that of an earlier one.
func (r *Record) Repeated() bool {
	if len(r.Ages) == 0 {
		return len(r.Workers) > 1
	}
	crashes, _ := r.alike(r.lastAge(), -1)
	return crashes > 1
}

// Clear ends the suspicion after a run of the given age. The crashes count on unless the
// run has gone on for long.
func (r *Record) Clear(age time.Duration) {
	r.Suspect = false
	if age >= LongLife {
		*r = Record{}
	}
}

// Outlived takes back the crashes that a run which went on for the given time disproves. A
// task that crashes its workers does so each time, after a similar time.
func (r *Record) Outlived(age time.Duration) {
	r.drop(func(i int) bool { return r.outlived(i, age) })
}

// MemberOutlived does the same for the run of one member of a gang. A crash that other
// members may have caused counts on.
func (r *Record) MemberOutlived(member int, age time.Duration) {
	r.drop(func(i int) bool {
		members := r.members(i)
		if !r.outlived(i, age) || !slices.Contains(members, member) {
			return false
		}
		r.Members[i] = slices.DeleteFunc(slices.Clone(members), func(m int) bool { return m == member })
		return len(r.Members[i]) == 0
	})
}

// outlived reports whether a run of the given age shows that the task did not bring about
// a crash. The ages of some crashes are not known.
func (r *Record) outlived(crash int, age time.Duration) bool {
	if crash >= len(r.Ages) {
		return false
	}
	at := r.Ages[crash]
	return at > 0 && age > at && !alike(at, age)
}

// drop removes the crashes for which the function holds.
func (r *Record) drop(disproved func(crash int) bool) {
	var kept Record
	for i, w := range r.Workers {
		if disproved(i) {
			if i == len(r.Workers)-1 {
				r.Run = 0 // a later crash under the same run counts
			}
			continue
		}
		kept.Workers = append(kept.Workers, w)
		if i < len(r.Ages) {
			kept.Ages = append(kept.Ages, r.Ages[i])
		}
		if i < len(r.Members) {
			kept.Members = append(kept.Members, r.Members[i])
		}
	}
	if len(kept.Workers) == len(r.Workers) {
		return
	}
	r.Workers, r.Ages, r.Members = kept.Workers, kept.Ages, kept.Members
	if r.Empty() {
		r.Suspect = false
	}
	if !slices.ContainsFunc(r.Ages, func(age time.Duration) bool { return alike(age, r.ProofAge) }) {
		r.Proofs, r.ProofAge = 0, 0
	}
}

// members returns the gang's tasks that may have caused a crash; none if they are not known.
func (r *Record) members(crash int) []int {
	if crash >= len(r.Members) {
		return nil
	}
	return r.Members[crash]
}

// addCrash records a crash under a run.
func (r *Record) addCrash(worker string, run *Run) {
	if run.Gang {
		r.Run = run.Number
		for len(r.Members) < len(r.Workers) {
			r.Members = append(r.Members, nil) // rows of earlier versions have none
		}
		r.Members = append(r.Members, run.Members)
	}
	r.Workers, r.Ages = append(r.Workers, worker), append(r.Ages, run.Age)
}

// addMembers adds members of a gang on another worker that crashed under the same run.
func (r *Record) addMembers(members []int) {
	last := len(r.Members) - 1
	if last < 0 || len(r.Members[last]) == 0 || len(members) == 0 {
		return
	}
	r.Members[last] = slices.Concat(r.Members[last], members)
}

// alike returns the crashes at ages like that of the run, and of how many workers. Those of
// a gang have a member in common.
func (run *Run) alike() (crashes, workers int) {
	if len(run.Members) == 0 {
		return run.Record.alike(run.Age, -1)
	}
	for _, member := range run.Members {
		c, w := run.Record.alike(run.Age, member)
		if c > crashes || c == crashes && w > workers {
			crashes, workers = c, w
		}
	}
	return crashes, workers
}

// alike returns the crashes at ages like the given one that the member may have caused, and
// of how many workers. What crashes its workers does so after a similar time. A run of which no
// age is known may not have begun, so that its worker is not among them.
func (r *Record) alike(age time.Duration, member int) (crashes, workers int) {
	var seen []string
	for i, w := range r.Workers {
		known := i >= len(r.Ages) || r.Ages[i] > 0
		if i < len(r.Ages) && known && age > 0 && !alike(r.Ages[i], age) {
			continue
		}
		if members := r.members(i); member >= 0 && len(members) > 0 && !slices.Contains(members, member) {
			continue
		}
		crashes++
		if known && !slices.Contains(seen, w) {
			seen = append(seen, w)
		}
	}
	return crashes, len(seen)
}

// lastAge returns the age of the run at the last crash, 0 if it is not known.
func (r *Record) lastAge() time.Duration {
	if len(r.Ages) == 0 {
		return 0
	}
	return r.Ages[len(r.Ages)-1]
}

// maxAge returns the longest age of a run that ended in a crash.
func (r *Record) maxAge() time.Duration {
	if len(r.Ages) == 0 {
		return 0
	}
	return slices.Max(r.Ages)
}

// alike reports whether two ages may be of runs that crashed their workers for the same reason.
func alike(a, b time.Duration) bool {
	return max(a-b, b-a) <= max(alikeMargin, time.Duration(alikeShare*float64(max(a, b))))
}

// prove records a crash that named the task.
func (r *Record) prove(age time.Duration) {
	if r.ProofAge > 0 && !alike(r.ProofAge, age) {
		r.Proofs = 0
	}
	r.Proofs++
	r.ProofAge = age
}

// Run is a task's run, or the youngest of a gang's members, on a worker that crashed.
type Run struct {
	*Record
	Class
	Number    uint64        // 0: unknown
	Age       time.Duration // at the crash; 0: unknown, it may not have begun
	Probation bool
	Begun     bool  // its worker has said that it runs
	Gang      bool  // its run may end with several workers, which counts once
	Members   []int // indexes of the gang's tasks on the worker
}

// Crash is the crash of a worker and what ran there.
type Crash struct {
	Worker, Address string
	At              time.Duration
	Runs            []Run
	Mass            bool // other workers crashed at the same moment
	Others          bool // young runs of ended jobs were there, too
}

// Finding is what a crash says of a run's task.
type Finding int

// Findings, in order of gravity.
const (
	Unsuspected Finding = iota // at most counted
	Suspected                  // the next run is on probation
	Guilty                     // the task must not start again
)

// Ledger holds the classes that crash workers. The zero value holds none.
type Ledger struct {
	classes   map[Class]*danger
	selfCrash map[string]time.Duration // by address, when its worker last crashed without a possible cause
	delays    map[Class][]time.Duration
	starts    map[Class]*rate
	observed  []observation // of the last crashWindow, by time
	workers   int           // of the fleet, at the last start
}

// Suspect takes a worker that may have crashed as evidence until it is judged or withdrawn,
// so that the danger is known before the worker is back.
func (l *Ledger) Suspect(c Crash) {
	if c.Mass {
		return
	}
	l.observe(c, false)
	l.accuse(c, l.blame(c), false)
}

// accuse records what a crash means for the classes that are to blame.
func (l *Ledger) accuse(c Crash, b blame, settled bool) {
	for _, class := range b.classes {
		e := l.evidence(class, c, b, settled)
		if e.exact {
			l.learnDelay(class, b, c)
		}
		l.add(class, e)
	}
}

// Withdraw takes back that a worker may have crashed.
func (l *Ledger) Withdraw(worker string) {
	l.unobserve(worker)
	for class, d := range l.classes {
		d.evidence = slices.DeleteFunc(d.evidence, func(e evidence) bool { return e.worker == worker && !e.settled })
		if len(d.evidence) == 0 {
			delete(l.classes, class)
		}
	}
}

// Recall takes the record of a suspect as evidence against its class, for an owner that has
// not seen its crashes.
func (l *Ledger) Recall(c Class, r *Record, now time.Duration) {
	if !r.Suspect || r.Empty() {
		return
	}
	e := evidence{worker: r.LastWorker(), at: now, settled: true, chance: 1, queueChance: 1}
	if age := r.lastAge(); l.Young(c, age) {
		e.chance, e.queueChance = l.chance(c, age, now), l.chance(Class{Queue: c.Queue}, age, now)
	}
	l.addObservation(observation{worker: e.worker, at: now, settled: true, chance: e.chance})
	if r.Proofs > 0 {
		e.exact, e.age = true, r.ProofAge
		l.addDelay(c, r.ProofAge)
	}
	l.add(c, e)
}

// Judge records a crash and returns the finding for each run.
func (l *Ledger) Judge(c Crash) []Finding {
	l.observe(c, true)
	b := l.blame(c)
	if b.self && !c.Mass {
		if l.selfCrash == nil {
			l.selfCrash = map[string]time.Duration{}
		}
		l.selfCrash[c.Address] = c.At
	}
	l.accuse(c, b, true)
	l.Withdraw(c.Worker)
	findings := make([]Finding, len(c.Runs))
	for i := range c.Runs {
		findings[i] = l.judgeRun(c, &c.Runs[i], b)
	}
	return findings
}

func (l *Ledger) judgeRun(c Crash, run *Run, b blame) Finding {
	r := run.Record
	if run.Gang && run.Number > 0 && run.Number == r.Run {
		r.addMembers(run.Members)
		return Unsuspected
	}
	culprit := b.culprit != nil && b.culprit.Record == r
	if c.Mass && !culprit && !l.Young(run.Class, run.Age) {
		return Unsuspected // it would be the cause by chance only
	}
	r.addCrash(c.Worker, run)
	if run.Age > 0 && !run.Gang && !c.Mass {
		r.All, r.Time = append(r.All, c.Worker), r.Time+run.Age
	}
	if culprit {
		r.prove(run.Age)
	}
	r.Suspect = r.Suspect || culprit || l.conclusive(run.Age) && (len(r.Workers) > 1 || b.culprit == nil && !c.Mass && l.Young(run.Class, run.Age))
	if l.guilty(run, culprit) {
		return Guilty
	}
	if r.Suspect {
		return Suspected
	}
	return Unsuspected
}

// guilty reports whether the task of a run whose crash was just recorded is given up.
func (l *Ledger) guilty(run *Run, culprit bool) bool {
	crashes, workers := run.alike()
	limit := maxCrashes
	if run.Gang && !l.conclusive(run.Age) {
		limit = maxInconclusiveCrashes
	}
	switch {
	case !run.Gang && l.tooMany(run.Record):
		return true
	case crashes >= limit && workers >= minWorkers, crashes >= maxInconclusiveCrashes:
		return true
	case !culprit || workers < minWorkers:
		return false
	case run.Gang:
		// Its many workers are often hit by chance, but then rarely under the same member.
		return crashes >= minGangCrashes && crashes == len(run.Workers)
	default:
		return l.proven(run.Record, run.Class)
	}
}

// conclusive reports whether a crash of a run of the given age says something of its task.
// While workers crash by chance, those with long runs are among them.
func (l *Ledger) conclusive(age time.Duration) bool { return !l.explained(age, maxProofChance) }

// proven reports whether a task that was just named by a crash is given up. A class that
// crashes workers again and again makes a chance coincidence unlikely.
func (l *Ledger) proven(r *Record, c Class) bool {
	if r.Proofs >= 2 {
		return true
	}
	if !l.conclusive(r.ProofAge) {
		return false
	}
	n := 0
	for class, d := range l.classes {
		if class.Queue != c.Queue || class.Team == "" {
			continue
		}
		for _, e := range d.evidence {
			if e.exact && e.settled && alike(e.age, r.ProofAge) {
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

// evidence returns what a crash means for a class that is to blame.
func (l *Ledger) evidence(class Class, c Crash, b blame, settled bool) evidence {
	e := evidence{worker: c.Worker, at: c.At, settled: settled, chance: 1, queueChance: 1}
	for _, run := range c.Runs {
		if run.Class == class {
			e.chance = min(e.chance, l.chance(class, run.Age, c.At))
			e.queueChance = min(e.queueChance, l.chance(Class{Queue: class.Queue}, run.Age, c.At))
		}
	}
	if b.culprit != nil {
		e.exact = !l.explained(b.culprit.Age, maxDangerChance)
		e.age, e.again, e.begun = b.culprit.Age, !b.culprit.Empty(), b.culprit.Begun
	}
	return e
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
	var known []Class
	near := nearMargin + nearFactor*youngest(c.Runs)
	for _, run := range c.Runs {
		if !l.Young(run.Class, run.Age) {
			continue
		}
		if l.hasCulprit(run.Class) {
			known = append(known, run.Class)
		}
		if run.Age <= near && !slices.Contains(b.classes, run.Class) {
			b.classes = append(b.classes, run.Class)
		}
	}
	if len(known) > 0 {
		b.classes = slices.Compact(known)
	}
	b.self = !c.Others && len(b.classes) == 0 && !slices.ContainsFunc(c.Runs, func(run Run) bool { return run.Suspect })
	return b
}

// youngest returns the age of the youngest run, 0 if there is none.
func youngest(runs []Run) time.Duration {
	if len(runs) == 0 {
		return 0
	}
	return slices.MinFunc(runs, func(a, b Run) int { return cmp.Compare(a.Age, b.Age) }).Age
}

// culprit returns the run that certainly caused a crash: the only one on probation, beside
// none that an earlier crash makes as likely.
func (l *Ledger) culprit(c Crash) *Run {
	if at, ok := l.selfCrash[c.Address]; c.Others || ok && c.At-at < selfMemory {
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
		case !run.Empty():
			return nil
		}
	}
	if culprit != nil && !l.conclusive(culprit.Age) {
		return nil
	}
	return culprit
}
