package placement

import "time"

// Policy tunes a Core. Zero fields mean the defaults below.
type Policy struct {
	MaxQueued     int           // tasks that may wait for a team; 20000
	MaxAttempts   int           // starts of a task that workers refuse; 8
	StartWindow   time.Duration // by when a start must reach its worker; 1 s
	TaskLease     time.Duration // for which a worker runs a task unrenewed; 6 s
	ClockMargin   time.Duration // by which clocks may differ; 500 ms
	HoldAfter     time.Duration // wait for room after which a worker is held; 1 s
	UrgentAfter   time.Duration // wait after which urgent work displaces batch; 500 ms
	ReturnAfter   time.Duration // wait after which a lent share is taken back; 5 s
	LookupReserve float64       // most of the slots kept free for lookups; 0.25

	// Baseline replaces the queue discipline in measurements: "" is the
	// product's, "fcfs" is first come first served with first fit, "twoChoices"
	// is first come first served on the emptier of two random workers.
	Baseline string
	// Seed feeds the random choices of a baseline.
	Seed uint64
}

// Baselines to measure against.
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
	setDefault(&p.HoldAfter, time.Second)
	setDefault(&p.UrgentAfter, 500*time.Millisecond)
	setDefault(&p.ReturnAfter, 5*time.Second)
	setDefault(&p.LookupReserve, 0.25)
}

// lapse is how long after its last renewal was sent a task has ended for certain.
func (p *Policy) lapse() time.Duration { return p.StartWindow + p.TaskLease + p.ClockMargin }

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
