package standin

import (
	"sync"
	"time"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/storage"
)

// Ledger records which tasks actually ran on the workers. The zero Ledger is
// ready to use.
type Ledger struct {
	mu      sync.Mutex
	tasks   map[string]*taskHistory
	tags    map[string]*taskHistory
	teams   map[string]*teamHistory
	counts  Counts
	samples []Sample
}

// Counts holds the counters of a Ledger.
type Counts struct {
	Starts        int `json:"starts"`
	Done          int `json:"done"`
	RanTwice      int `json:"doubled"`   // tasks that ran twice at the same time or were completed twice, and non-idempotent ones that were started again
	OverLimit     int `json:"overLimit"` // starts that exceeded the limit of the team
	OverCapacity  int `json:"overRoom"`  // starts that exceeded the capacity of the worker
	ToLeaving     int `json:"toLeaving"` // starts sent to a leaving worker, which refuses all of them
	ToLeavingLate int `json:"tooLate"`   // of ToLeaving, those sent later than leavingGrace
}

// Sample is the usage of each team at one time, for comparison with the shares.
type Sample struct {
	At   time.Time
	Used map[string]resource.Vector
}

type taskHistory struct {
	running int
	starts  int
	done    int
}

type teamHistory struct {
	running int
	limit   int // maximum number of running tasks; no limit if zero
	used    resource.Vector
}

// leavingGrace is how long starts may still be sent to a worker after it began
// to leave.
const leavingGrace = 5 * time.Second

// recordStartWhileLeaving counts a start that was sent to a leaving worker.
// sinceLeaving is the time since the worker began to leave.
func (l *Ledger) recordStartWhileLeaving(sinceLeaving time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.ToLeaving++
	if sinceLeaving > leavingGrace {
		l.counts.ToLeavingLate++
	}
}

// SetLimit sets the limit of a team's running tasks that OverLimit is counted
// against. Zero means no limit.
func (l *Ledger) SetLimit(team string, limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.teamEntry(team).limit = limit
}

// Count returns the current counts.
func (l *Ledger) Count() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// CountByTag returns how often tasks with the tag were started and completed.
func (l *Ledger) CountByTag(tag string) (started, done int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h := l.tags[tag]; h != nil {
		return h.starts, h.done
	}
	return 0, 0
}

// TakeSample records a sample of the current usage of each team and returns it.
func (l *Ledger) TakeSample() Sample {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Sample{At: time.Now(), Used: map[string]resource.Vector{}}
	for name, t := range l.teams {
		s.Used[name] = t.used
	}
	l.samples = append(l.samples, s)
	return s
}

// Samples returns all recorded samples.
func (l *Ledger) Samples() []Sample {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Sample(nil), l.samples...)
}

func (l *Ledger) teamEntry(name string) *teamHistory {
	if l.teams == nil {
		l.teams = map[string]*teamHistory{}
	}
	t := l.teams[name]
	if t == nil {
		t = &teamHistory{}
		l.teams[name] = t
	}
	return t
}

func (l *Ledger) recordStart(start storage.StartRequest, tag string, overCapacity bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tasks == nil {
		l.tasks = map[string]*taskHistory{}
		l.tags = map[string]*taskHistory{}
	}
	h := getOrCreate(l.tasks, start.Task)
	h.starts++
	if tag != "" {
		getOrCreate(l.tags, tag).starts++
	}
	h.running++
	l.counts.Starts++
	if h.running > 1 || start.NonIdempotent && h.starts > 1 {
		l.counts.RanTwice++
	}
	if overCapacity {
		l.counts.OverCapacity++
	}
	t := l.teamEntry(start.Team)
	t.running++
	t.used = t.used.Add(start.Need)
	if t.limit > 0 && t.running > t.limit {
		l.counts.OverLimit++
	}
}

func getOrCreate(m map[string]*taskHistory, name string) *taskHistory {
	h := m[name]
	if h == nil {
		h = &taskHistory{}
		m[name] = h
	}
	return h
}

func (l *Ledger) recordEnd(start storage.StartRequest, tag string, done bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.tasks[start.Task]
	h.running--
	if done {
		h.done++
		l.counts.Done++
		if tag != "" {
			l.tags[tag].done++
		}
		if h.done > 1 {
			l.counts.RanTwice++
		}
	}
	t := l.teamEntry(start.Team)
	t.running--
	t.used = t.used.Sub(start.Need)
}
