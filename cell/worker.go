package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/cowslipgap/cowslipgap/resource"
)

const (
	// clockDrift is how much slower a worker's clock may run. Source: the
	// platform's contract.
	clockDrift = 0.02
	// lookGap is the least time between two looks at a worker, so that ends
	// that come close together are read at once.
	lookGap = 50 * time.Millisecond
	// ackGap is for how long after a report with ends that are not stored yet a worker
	// is not looked at: until they can be acknowledged it would list them again at
	// once. A commit takes a tenth of this.
	ackGap = 100 * time.Millisecond
	// lookRetry is the pause after a look without an answer.
	lookRetry = 200 * time.Millisecond
	// lookWait is for how long a look waits for an end. It renews leases, so it
	// must stay well below them.
	lookWait = 1500 * time.Millisecond
	// silentAfter is the age of the last answer beyond which a worker whose last
	// look failed gets no new work.
	silentAfter = 700 * time.Millisecond
	// unhealthyPause is for how long a worker that calls itself unhealthy gets
	// no new work.
	unhealthyPause = time.Second
	// stuckAfter is the time without progress after which a run counts as
	// stuck.
	stuckAfter = 2500 * time.Millisecond
)

// worker is what is believed of one worker.
type worker struct {
	WorkerInfo
	listed    bool // in the store's list
	onRoster  bool // a successor would know of it
	synced    bool // it has answered under the present token
	looking   bool
	lookedAt  Instant // when the last look was sent
	answered  Instant // when it last answered
	reported  Instant // when its last report came
	failing   bool    // the last look had no answer
	clockAt   Instant // when Clock was read
	seen      uint64  // highest end processed
	ackable   uint64  // highest end whose effect is durable
	acked     uint64  // highest end acknowledged
	ackSent   uint64  // by the look on its way
	life      int     // counts its restarts
	rebornAt  Instant // when the last of them became known
	runs      map[string]*run
	strays    map[string]uint64 // runs at work there that belong to no task, with their number
	used      resource.Vector
	leaseEnd  Instant // when all that runs there is certainly dead without renewal
	pausedTo  Instant
	keptUntil Instant // a gang needs it then, as the last round planned
	speed     float64 // against the estimates, averaged
	observed  int
}

// newWorker returns a worker of which nothing was heard yet.
func newWorker(info WorkerInfo, now Instant) *worker {
	return &worker{WorkerInfo: info, runs: map[string]*run{}, strays: map[string]uint64{}, answered: now}
}

// enlist makes a worker known.
func (c *Cell) enlist(w *worker) {
	at, known := c.onRoll(w.ID)
	if known {
		c.roll[at] = w
	} else {
		c.roll = slices.Insert(c.roll, at, w)
	}
	c.workers[w.ID] = w
}

// strike forgets a worker.
func (c *Cell) strike(w *worker) {
	if at, known := c.onRoll(w.ID); known {
		c.roll = slices.Delete(c.roll, at, at+1)
	}
	delete(c.workers, w.ID)
}

// onRoll returns where a worker is, or would be, in the order of IDs.
func (c *Cell) onRoll(id string) (int, bool) {
	return slices.BinarySearchFunc(c.roll, id, func(w *worker, id string) int { return cmp.Compare(w.ID, id) })
}

// clockLow returns a lower bound of the worker's clock at t.
func (w *worker) clockLow(t Instant) time.Duration {
	passed := max(0, t-w.clockAt)
	return w.Clock + time.Duration(float64(passed)*(1-clockDrift))
}

// setClock takes a reading of the worker's clock that was received at t.
func (w *worker) setClock(reading time.Duration, t Instant) {
	if reading > 0 {
		w.Clock, w.clockAt = reading, t
	}
}

// lease returns the end of a lease of the given length granted at t, on the
// worker's clock, and remembers when it has certainly run out.
func (w *worker) lease(t Instant, length time.Duration) time.Duration {
	until := w.clockLow(t) + length
	w.leaseEnd = max(w.leaseEnd, t+slowest(length))
	return until
}

// free returns the room that is left.
func (w *worker) free() resource.Vector { return w.Capacity.Sub(w.used) }

// usable reports whether the worker may get new work now.
func (w *worker) usable(now Instant) bool {
	return w.listed && w.onRoster && w.synced && !w.Draining && len(w.strays) == 0 &&
		now >= w.pausedTo && !w.silent(now)
}

func (w *worker) silent(now Instant) bool {
	return w.failing && now-w.answered > silentAfter
}

// busy reports whether the worker has to be looked at.
func (w *worker) busy() bool {
	return !w.synced || len(w.runs) > 0 || len(w.strays) > 0 || w.acked < w.ackable
}

func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// charge adds or, with a negative sign, takes back what a run uses.
func (w *worker) charge(r *run, sign int64) {
	w.used = w.used.Add(r.task.step.need().Times(sign))
}

// slowest returns the longest time, on this host's clock, that a lease of the
// given length may run on a worker whose clock is slow.
func slowest(length time.Duration) time.Duration {
	return time.Duration(float64(length)/(1-clockDrift)) + leaseMargin
}
