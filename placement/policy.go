package placement

import "time"

// Policy configures a Core. A field that is zero takes the default given with it.
type Policy struct {
	MaxQueued             int           // tasks that may be queued for a team; 20000
	MaxAttempts           int           // starts refused by workers after which a task is refused; 8
	StartWindow           time.Duration // time within which a start or renewal must reach its worker; 1 s
	TaskLease             time.Duration // time for which a worker runs a task without a renewal; 6 s
	ClockMargin           time.Duration // largest difference between clocks; 500 ms
	ReserveAfter          time.Duration // wait for capacity after which workers are reserved; 1 s
	PreemptForUrgentAfter time.Duration // wait after which an urgent task preempts batch; 500 ms
	ReclaimShareAfter     time.Duration // wait after which a team below its share preempts batch of teams above theirs; 5 s
	LookupReserve         float64       // largest fraction of the slots kept free for lookups; 0.25

	// Baseline replaces the queue discipline in measurements: "" is the
	// discipline of this package, "fcfs" is first come first served with first
	// fit, "twoChoices" is first come first served on the one of two random
	// workers that has more free slots.
	Baseline string
	// Seed is the seed of the random choices of a baseline.
	Seed uint64
}

// Baselines to compare the queue discipline with.
const (
	BaselineFCFS       = "fcfs"
	BaselineTwoChoices = "twoChoices"
)

func (p *Policy) setDefaults() {
	setDefault(&p.MaxQueued, 20000)
	setDefault(&p.MaxAttempts, 8)
	setDefault(&p.StartWindow, time.Second)
	setDefault(&p.TaskLease, 6*time.Second)
	setDefault(&p.ClockMargin, 500*time.Millisecond)
	setDefault(&p.ReserveAfter, time.Second)
	setDefault(&p.PreemptForUrgentAfter, 500*time.Millisecond)
	setDefault(&p.ReclaimShareAfter, 5*time.Second)
	setDefault(&p.LookupReserve, 0.25)
}

// leaseTimeout returns how long after its last renewal was sent a task has
// certainly ended.
func (p *Policy) leaseTimeout() time.Duration { return p.StartWindow + p.TaskLease + p.ClockMargin }

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
