package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the workers, as the settings files of the small sites give them.
const (
	holdMax     = 6 * time.Second
	stopTimeout = 900 * time.Millisecond
	listedEnds  = 500 // ends in one answer
	heartbeat   = 1500 * time.Millisecond
)

// worker is a stand-in of a worker.
type worker struct {
	w       *world
	id      string
	addr    string
	index   int
	cpu     int64
	memMB   int64
	mu      sync.Mutex
	cut     chan struct{} // closed when a cut ends; nil while there is none
	born    int64
	clock   time.Time
	token   uint64
	lastEnd uint64
	seq     int
	lost    bool // for good
	running map[string]*run
	ends    []end
	closed  map[string]uint64
	lease   time.Time
	changed chan struct{}
}

type run struct {
	task    string
	number  uint64
	started time.Time
	length  time.Duration
}

type end struct {
	n      uint64
	task   string
	number uint64
	how    string
	done   *doneEnd // of an end `done`
}

func newWorker(w *world, index int) *worker {
	k := &worker{w: w, index: index, id: fmt.Sprintf("i-%08x", 0x7f3a91c0+index*0x1111), cpu: 32000, memMB: 64000}
	k.reset()
	return k
}

func (k *worker) reset() {
	k.born, k.clock = time.Now().UnixMilli(), time.Now()
	k.token, k.lastEnd, k.ends, k.lease = 0, 0, nil, time.Time{}
	k.running, k.closed = map[string]*run{}, map[string]uint64{}
	k.changed = make(chan struct{})
}

// beat writes the worker's entry.
func (k *worker) beat() {
	k.mu.Lock()
	if k.lost {
		k.mu.Unlock()
		return
	}
	k.seq++
	entry := map[string]any{
		"service": "svc", "address": k.addr, "zone": "zone-" + string(rune('a'+k.index%3)), "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "capacity": map[string]int64{"cpu": k.cpu, "mem_mb": k.memMB, "gpu": 0},
		"labels": []string{"a", "r" + strconv.Itoa(k.index/6)}, "clock_ms": time.Since(k.clock).Milliseconds(), "seq": k.seq, "born": k.born,
	}
	k.mu.Unlock()
	k.w.store.putOwn("servers", k.id, entry)
}

// setCut cuts the worker off from all machines of the system, or ends the cut.
func (k *worker) setCut(on bool) {
	k.mu.Lock()
	if on {
		k.cut = make(chan struct{})
	} else {
		close(k.cut)
		k.cut = nil
	}
	k.mu.Unlock()
	k.w.record("worker %s cut off=%v", k.id, on)
}

// restart crashes the worker and starts it again under its id.
func (k *worker) restart() {
	k.mu.Lock()
	runs := len(k.running)
	for task := range k.running {
		k.w.runEnded(k, task)
	}
	k.reset()
	k.mu.Unlock()
	k.w.record("worker %s crashes with %d runs and starts again under its id", k.id, runs)
	k.beat()
}

type order struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Token      uint64 `json:"fencing_token"`
	Ack        uint64 `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

func (k *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	cut := k.cut
	k.mu.Unlock()
	if cut != nil { // what a partition holds up is lost: the caller gives the call up
		<-r.Context().Done()
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		answer(rw, http.StatusBadRequest, map[string]any{"clock_ms": k.now()})
		return
	}
	if r.Header.Get("X-Expected-Instance") != k.id {
		answer(rw, http.StatusMisdirectedRequest, map[string]any{"clock_ms": k.now()})
		return
	}
	switch r.URL.Path {
	case "/-/run-start":
		k.reply(rw, k.start(o))
	case "/-/run-stop":
		k.reply(rw, k.stop(o))
	case "/-/hold":
		k.hold(rw, r, o)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (k *worker) now() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Since(k.clock).Milliseconds()
}

func (k *worker) reply(rw http.ResponseWriter, reason string) {
	body := map[string]any{"clock_ms": k.now()}
	status := http.StatusOK
	if reason != "" {
		status, body["reason"] = http.StatusConflict, reason
	}
	answer(rw, status, body)
}

func (k *worker) fenced(token uint64) bool {
	if token < k.token {
		return true
	}
	k.token = token
	return false
}

func (k *worker) extend(deadlineMS int64) {
	until := k.clock.Add(time.Duration(deadlineMS) * time.Millisecond)
	if limit := time.Now().Add(holdMax); until.After(limit) {
		until = limit
	}
	if !until.After(k.lease) {
		return
	}
	k.lease = until
	born := k.born
	time.AfterFunc(time.Until(until)+time.Millisecond, func() { k.lapse(born) })
}

func (k *worker) lapse(born int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.born != born || time.Now().Before(k.lease) {
		return
	}
	for _, e := range k.ends {
		if e.done != nil {
			k.w.lapsed(e.done)
		}
	}
	if len(k.running) > 0 {
		k.w.record("worker %s: its lease lapses with %d runs", k.id, len(k.running))
	}
	for _, r := range k.running {
		k.finish(r, "lapsed")
	}
}

func (k *worker) start(o order) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.fenced(o.Token):
		return "fence"
	case time.Now().After(k.clock.Add(time.Duration(o.DeadlineMS) * time.Millisecond)):
		return "late"
	case k.running[o.Task] != nil && k.running[o.Task].number == o.Run:
		return ""
	case o.Run <= k.closed[o.Task]:
		k.extend(o.DeadlineMS)
		return "old"
	}
	ms, err := strconv.Atoi(strings.TrimPrefix(o.Spec, "ms="))
	if err != nil {
		k.w.record("worker %s: %s has the spec %q", k.id, o.Task, o.Spec)
	}
	r := &run{task: o.Task, number: o.Run, started: time.Now(), length: time.Duration(ms) * time.Millisecond}
	k.running[o.Task] = r
	k.extend(o.DeadlineMS)
	k.w.runStarted(k, o.Task, o.Run)
	time.AfterFunc(r.length, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.finish(r, "done")
	})
	return ""
}

// finish ends a run, if it goes on. The caller holds the lock.
func (k *worker) finish(r *run, how string) {
	if k.running[r.task] != r {
		return
	}
	delete(k.running, r.task)
	k.closed[r.task] = max(k.closed[r.task], r.number)
	k.lastEnd++
	e := end{n: k.lastEnd, task: r.task, number: r.number, how: how}
	if how == "done" {
		e.done = k.w.runDone(k, r)
	}
	k.w.runEnded(k, r.task)
	k.ends = append(k.ends, e)
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *worker) stop(o order) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.fenced(o.Token) {
		return "fence"
	}
	k.closed[o.Task] = max(k.closed[o.Task], o.Run)
	if r := k.running[o.Task]; r != nil && r.number == o.Run {
		time.AfterFunc(stopTimeout/3, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.finish(r, "stopped")
		})
	}
	return ""
}

func (k *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	k.mu.Lock()
	if k.fenced(o.Token) {
		k.mu.Unlock()
		k.reply(rw, "fence")
		return
	}
	if o.DeadlineMS > 0 {
		k.extend(o.DeadlineMS)
	}
	kept := k.ends[:0:0]
	for _, e := range k.ends {
		if e.n > o.Ack {
			kept = append(kept, e)
		} else if e.done != nil {
			k.w.noted(e.done)
		}
	}
	k.ends = kept
	changed, idle := k.changed, len(k.ends) == 0
	k.mu.Unlock()
	if idle && o.WaitMS > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	k.mu.Lock()
	runs, ends := [][]any{}, [][]any{}
	for _, r := range k.running {
		runs = append(runs, []any{r.task, r.number, "", min(100, int(100*time.Since(r.started)/r.length))})
	}
	for _, e := range k.ends[:min(len(k.ends), listedEnds)] {
		ends = append(ends, []any{e.n, e.task, e.number, e.how, ""})
	}
	body := map[string]any{"clock_ms": time.Since(k.clock).Milliseconds(), "born": k.born, "capacity": map[string]int64{"cpu": k.cpu, "mem_mb": k.memMB, "gpu": 0}, "running": runs, "finished": ends}
	cut := k.cut
	k.mu.Unlock()
	if cut != nil {
		<-r.Context().Done()
		return
	}
	answer(rw, http.StatusOK, body)
}

func (k *worker) count() (running, ends int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.running), len(k.ends)
}
