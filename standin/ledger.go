package standin

import (
	"sync"
	"time"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/storage"
)

// Ledger records what truly ran at the workers. The zero Ledger is ready.
type Ledger struct {
	mu      sync.Mutex
	tasks   map[string]*history
	tags    map[string]*history
	teams   map[string]*teamHistory
	counts  Counts
	samples []Sample
}

// Counts is what a Ledger has counted so far.
type Counts struct {
	Starts    int `json:"starts"`
	Done      int `json:"done"`
	Doubled   int `json:"doubled"`   // tasks in two places at once, or non-idempotent ones started again
	OverLimit int `json:"overLimit"` // starts that put a team over its upper limit
	OverRoom  int `json:"overRoom"`  // starts that gave a worker more than it has room for
	ToLeaving int `json:"toLeaving"` // starts sent to a leaving worker, all of them refused
	TooLate   int `json:"tooLate"`   // of those, sent later than leavingGrace
}

// Sample is what each team used at a moment, for measuring nearness to share.
type Sample struct {
	At   time.Time
	Used map[string]resource.Vector
}

type history struct {
	running int
	starts  int
	done    int
}

type teamHistory struct {
	running int
	limit   int // none if zero
	used    resource.Vector
}

// leavingGrace is how long a leaving worker may still be sent work.
const leavingGrace = 5 * time.Second

// offer counts a start that was sent to a worker some time after it began to
// leave.
func (l *Ledger) offer(after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.ToLeaving++
	if after > leavingGrace {
		l.counts.TooLate++
	}
}

// SetLimit tells the ledger a team's upper limit of running tasks.
func (l *Ledger) SetLimit(team string, limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.team(team).limit = limit
}

// Count returns the counts so far.
func (l *Ledger) Count() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Tagged returns how often work with the tag was started and ran to its end.
func (l *Ledger) Tagged(tag string) (started, done int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h := l.tags[tag]; h != nil {
		return h.starts, h.done
	}
	return 0, 0
}

// Take records a sample of what each team uses now and returns it.
func (l *Ledger) Take() Sample {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Sample{At: time.Now(), Used: map[string]resource.Vector{}}
	for name, t := range l.teams {
		s.Used[name] = t.used
	}
	l.samples = append(l.samples, s)
	return s
}

// Samples returns every sample taken.
func (l *Ledger) Samples() []Sample {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Sample(nil), l.samples...)
}

func (l *Ledger) team(name string) *teamHistory {
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

func (l *Ledger) begin(start storage.Start, tag string, overRoom bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tasks == nil {
		l.tasks = map[string]*history{}
		l.tags = map[string]*history{}
	}
	h := lookUp(l.tasks, start.Task)
	h.starts++
	if tag != "" {
		lookUp(l.tags, tag).starts++
	}
	h.running++
	l.counts.Starts++
	if h.running > 1 || start.NonIdempotent && h.starts > 1 {
		l.counts.Doubled++
	}
	if overRoom {
		l.counts.OverRoom++
	}
	t := l.team(start.Team)
	t.running++
	t.used = t.used.Add(start.Need)
	if t.limit > 0 && t.running > t.limit {
		l.counts.OverLimit++
	}
}

func lookUp(m map[string]*history, name string) *history {
	h := m[name]
	if h == nil {
		h = &history{}
		m[name] = h
	}
	return h
}

func (l *Ledger) end(start storage.Start, tag string, done bool) {
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
			l.counts.Doubled++
		}
	}
	t := l.team(start.Team)
	t.running--
	t.used = t.used.Sub(start.Need)
}
