package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	gangTimeout = 3 * time.Second
	saveEvery   = time.Second
	restoreTime = 250 * time.Millisecond
	heartbeat   = 1500 * time.Millisecond
)

// worker is one worker of the service. The lock of the world guards its state.
type worker struct {
	w      *world
	index  int
	name   string // its ID
	addr   string
	zone   string
	labels []string
	cpu    int64

	down     bool // its process has crashed
	cut      bool // nothing from the entry hosts reaches it
	lateProb float64
	failProb float64 // share of the tasks that end as failed, soon after their start
	server   *http.Server
	born     int64
	clock0   time.Time
	life     int
	token    uint64
	nextEnd  uint64
	runs     map[string]*run
	ended    []*end
	closed   map[string]uint64
	lease    time.Time
	ping     chan struct{}
	seq      int
	draining bool
	missed   int
}

type run struct {
	t       *taskState
	number  uint64
	worker  *worker
	life    int
	began   time.Time // when it began to work
	arrived time.Time
	base    time.Duration // work that its checkpoint holds
	restore bool
	working bool
	over    bool
	gang    *gangRun
	fails   bool
}

type end struct {
	n      uint64
	task   string
	run    uint64
	how    string
	saved  string
	lapsed bool // the lease lapsed after it
	done   *doneEnd
}

// doneEnd is an end as done that is not taken note of yet.
type doneEnd struct {
	noted, startedAfter bool
	detail              string
}

func (k *worker) reset() {
	k.life++
	k.born = time.Now().UnixMilli()
	k.clock0 = time.Now()
	k.token, k.nextEnd, k.ended = 0, 0, nil
	k.runs, k.closed = map[string]*run{}, map[string]uint64{}
	k.lease = time.Time{}
	k.ping = make(chan struct{})
	k.seq = 0
}

func (k *worker) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	k.addr = l.Addr().String()
	k.server = &http.Server{Handler: k, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		return ctx
	}}
	go func(s *http.Server) { _ = s.Serve(l) }(k.server)
	return nil
}

// crash ends the worker's process. It is back after the given time, unless that is 0.
func (k *worker) crash(down time.Duration) {
	k.w.mu.Lock()
	if k.down {
		k.w.mu.Unlock()
		return
	}
	how := "for " + down.String()
	if down == 0 {
		how = "for good"
	}
	k.w.logf("worker %s crashes %s with %d runs", k.name, how, len(k.runs))
	for _, r := range k.runs {
		r.over = true
		if r.gang != nil {
			r.gang.breakUp(r, "crash")
		}
	}
	k.reset()
	k.down = true
	server := k.server
	k.w.mu.Unlock()
	_ = server.Close()
	if down == 0 {
		return
	}
	go func() {
		time.Sleep(down)
		for k.listen(k.addr) != nil {
			time.Sleep(10 * time.Millisecond)
		}
		k.w.mu.Lock()
		k.reset()
		k.down, k.missed = false, 0
		k.w.logf("worker %s is back", k.name)
		k.w.mu.Unlock()
		k.beat()
	}()
}

// beat writes the worker's entry, or removes it after three missed heartbeats.
func (k *worker) beat() {
	k.w.mu.Lock()
	if k.down {
		k.missed++
		gone := k.missed == 3
		k.w.mu.Unlock()
		if gone {
			k.w.store.remove("servers", k.name)
		}
		return
	}
	k.missed = 0
	k.seq++
	state := "ready"
	if k.draining {
		state = "draining"
	}
	e := map[string]any{
		"service": "svc", "address": k.addr, "zone": k.zone, "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0,
		"capacity": map[string]any{"cpu": k.cpu, "mem_mb": 65536, "gpu": 0}, "labels": k.labels,
		"clock_ms": time.Since(k.clock0).Milliseconds(), "seq": k.seq, "born": k.born,
	}
	k.w.mu.Unlock()
	v, _ := json.Marshal(e)
	k.w.store.put("servers", k.name, v)
}

type order struct {
	Task       string `json:"task"`
	Run        uint64 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Token      uint64 `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	Ack        uint64 `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

// ServeHTTP serves the orders of entry hosts.
func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k.w.mu.Lock()
	cut, life, late := k.cut, k.life, rand.Float64() < k.lateProb
	if k.w.latePick != nil && !late {
		late = k.w.latePick(k, r.URL.Path, &o)
	}
	k.w.mu.Unlock()
	held := false
	if r.URL.Path == "/-/run-start" && !cut {
		k.w.mu.Lock()
		held = k.w.holdStart != nil && k.w.holdStart(k, &o)
		k.w.mu.Unlock()
	}
	if cut || held {
		<-r.Context().Done()
		return
	}
	if r.Header.Get("X-Expected-Instance") != k.name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if late {
		d := 2*time.Second + rand.N(10*time.Second)
		k.w.logf("order %s %s.%d to %s is late by %v", r.URL.Path, o.Task, o.Run, k.name, d.Round(time.Millisecond))
		time.AfterFunc(d, func() {
			k.w.mu.Lock()
			defer k.w.mu.Unlock()
			if k.life != life || k.down {
				return
			}
			switch r.URL.Path {
			case "/-/run-start":
				k.start(&o, true)
			case "/-/run-stop":
				k.stop(&o)
			case "/-/hold":
				k.hold(&o)
			}
		})
		<-r.Context().Done()
		return
	}
	k.w.mu.Lock()
	defer k.w.mu.Unlock()
	reason := ""
	switch r.URL.Path {
	case "/-/run-start":
		reason = k.start(&o, false)
	case "/-/run-stop":
		reason = k.stop(&o)
	case "/-/hold":
		if reason = k.hold(&o); reason != "" {
			break
		}
		if len(k.ended) == 0 && o.WaitMS > 0 {
			ping := k.ping
			k.w.mu.Unlock()
			select {
			case <-ping:
			case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
			case <-r.Context().Done():
			}
			k.w.mu.Lock()
			if k.life != life {
				panic(http.ErrAbortHandler)
			}
		}
		if k.cut {
			k.w.mu.Unlock()
			<-r.Context().Done()
			k.w.mu.Lock()
			panic(http.ErrAbortHandler)
		}
		writeJSON(w, http.StatusOK, k.report())
		return
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body := map[string]any{"clock_ms": time.Since(k.clock0).Milliseconds()}
	status := http.StatusOK
	if reason != "" {
		status, body["reason"] = http.StatusConflict, reason
	}
	writeJSON(w, status, body)
}

func (k *worker) fenced(o *order) bool {
	if o.Token < k.token {
		return true
	}
	k.token = o.Token
	return false
}

func (k *worker) renew(deadlineMS int64) {
	if deadlineMS <= 0 {
		return
	}
	d := k.clock0.Add(time.Duration(deadlineMS) * time.Millisecond)
	if limit := time.Now().Add(k.w.holdMax); d.After(limit) {
		d = limit
	}
	if d.After(k.lease) {
		k.lease = d
		life := k.life
		time.AfterFunc(time.Until(d)+time.Millisecond, func() { k.lapse(life) })
	}
}

func (k *worker) lapse(life int) {
	k.w.mu.Lock()
	defer k.w.mu.Unlock()
	if k.life != life || k.down || time.Now().Before(k.lease) {
		return
	}
	for _, e := range k.ended {
		e.lapsed = true
	}
	for _, r := range k.runs {
		k.finish(r, "lapsed")
	}
}

// start carries out an order to start a task, and checks it.
func (k *worker) start(o *order, late bool) string {
	w := k.w
	if k.fenced(o) {
		return "fence"
	}
	now := time.Now()
	if now.After(k.clock0.Add(time.Duration(o.DeadlineMS) * time.Millisecond)) {
		return "late"
	}
	if r := k.runs[o.Task]; r != nil && r.number == o.Run {
		k.renew(o.DeadlineMS)
		return ""
	}
	if o.Run <= k.closed[o.Task] || k.runs[o.Task] != nil && k.runs[o.Task].number > o.Run {
		k.renew(o.DeadlineMS)
		return "old"
	}
	t := w.task(o.Task)
	if t == nil {
		w.violate("UNASKED", "%s starts %s, which no client sent", k.name, o.Task)
		return ""
	}
	j := t.step.job
	w.logf("start %s.%d on %s token %d checkpoint %q late %v", o.Task, o.Run, k.name, o.Token, o.Checkpoint, late)
	if o.Spec != j.spec {
		w.violate("UNASKED", "%s starts %s with another spec", k.name, o.Task)
	}
	if at := j.cancelAcked; !at.IsZero() && now.Sub(at) > 3*time.Second && !late {
		w.violate("UNASKED", "%s starts %s %v after its cancelling was acknowledged", k.name, o.Task, now.Sub(at))
	}
	base := time.Duration(0)
	if o.Checkpoint != "" {
		d, ok := t.checkpoints()[o.Checkpoint]
		if !ok {
			w.violate("UNASKED", "%s starts %s with the checkpoint %q, which isn't the task's", k.name, o.Task, o.Checkpoint)
		}
		base = d
	}
	for _, a := range t.step.def.After {
		if left := j.stepOf(t.occ, a).left(); left > 0 {
			w.violate("ORDER", "%s starts %s while step %d has %d tasks that are not done", k.name, o.Task, a, left)
		}
	}
	if j.repeat > 0 {
		due := time.UnixMilli(j.startAt + int64(t.occ)*j.interval)
		if early := due.Sub(now); early > 250*time.Millisecond {
			w.violate("ORDER", "%s starts %s %v early", k.name, o.Task, early)
		}
	}
	if !t.step.def.Speculative {
		for _, other := range w.workers {
			if r := other.runs[o.Task]; r != nil && !other.down {
				w.violate("TWICE", "%s.%d starts on %s while run %d is at %s (lease left there %v)", o.Task, o.Run, k.name, r.number, other.name, time.Until(other.lease))
			}
		}
		for _, d := range t.dones() {
			d.startedAfter = true
			if d.noted {
				w.violate("TWICE", "%s.%d starts on %s after the end of %s was taken note of", o.Task, o.Run, k.name, d.detail)
			}
		}
	}
	if n := len(t.failed()); n >= 3 && !t.step.def.LongRunning {
		w.violate("BUDGET", "%s.%d starts on %s after %d failed runs", o.Task, o.Run, k.name, n)
	}
	if l := t.step.def.Requirements; l != "" && !k.hasLabel(l) {
		w.violate("ROUTE", "%s starts on %s without label %s", o.Task, k.name, l)
	}
	j.started = true
	t.lastStart = now
	r := &run{t: t, number: o.Run, worker: k, life: k.life, arrived: now, base: base, restore: o.Checkpoint != "", fails: rand.Float64() < k.failProb || j.poison}
	k.runs[o.Task] = r
	k.renew(o.DeadlineMS)
	if t.step.def.Gang {
		w.joinGang(r)
	} else {
		r.begin()
	}
	return ""
}

func (k *worker) hasLabel(l string) bool {
	for _, have := range k.labels {
		if have == l {
			return true
		}
	}
	return false
}

// workLeft returns how long the run works until its end, once it has begun.
func (r *run) workLeft() time.Duration {
	d := max(0, r.t.work()-r.base)
	if r.restore {
		d += restoreTime
	}
	if r.fails {
		d = min(d, 300*time.Millisecond)
	}
	return d
}

// progress returns the work that the run has done, with that of its checkpoint.
func (r *run) progress() time.Duration {
	if !r.working {
		return r.base
	}
	d := time.Since(r.began)
	if r.restore {
		d = max(0, d-restoreTime)
	}
	return min(r.t.work(), r.base+d)
}

func (r *run) begin() {
	r.working, r.began = true, time.Now()
	if r.t.step.def.LongRunning {
		return
	}
	how := "done"
	if r.fails {
		how = "failed"
	}
	time.AfterFunc(r.workLeft(), func() {
		r.worker.w.mu.Lock()
		defer r.worker.w.mu.Unlock()
		if r.over || r.gang != nil && how == "done" {
			return
		}
		r.worker.finish(r, how)
	})
}

// saved returns the run's last checkpoint.
func (r *run) saved(stopped bool) string {
	if !r.t.step.def.Checkpointing {
		return ""
	}
	p := r.progress()
	if !stopped {
		p = r.base + (p-r.base)/saveEvery*saveEvery
	}
	if p <= 0 {
		return ""
	}
	text := fmt.Sprintf("%08x%s", p.Milliseconds(), r.t.step.job.id[:8])
	r.t.checkpoints()[text] = p
	return text
}

// finish ends a run.
func (k *worker) finish(r *run, how string) {
	if r.over || k.runs[r.t.name] != r {
		return
	}
	saved := ""
	if how != "done" {
		saved = r.saved(how == "stopped")
	}
	r.over = true
	delete(k.runs, r.t.name)
	k.closed[r.t.name] = max(k.closed[r.t.name], r.number)
	k.nextEnd++
	e := &end{n: k.nextEnd, task: r.t.name, run: r.number, how: how, saved: saved}
	k.w.logf("end %s.%d on %s %s", r.t.name, r.number, k.name, how)
	switch how {
	case "done":
		e.done = &doneEnd{detail: fmt.Sprintf("%s.%d on %s", r.t.name, r.number, k.name)}
		r.t.addDone(e.done)
	case "failed":
		r.t.allFailed[r.number] = true
		r.t.step.gangFailed[r.number] = true
	}
	k.ended = append(k.ended, e)
	close(k.ping)
	k.ping = make(chan struct{})
	if r.gang != nil && how != "done" && how != "broken" {
		r.gang.breakUp(r, how)
	}
}

func (k *worker) stop(o *order) string {
	if k.fenced(o) {
		return "fence"
	}
	k.closed[o.Task] = max(k.closed[o.Task], o.Run)
	if r := k.runs[o.Task]; r == nil || r.number != o.Run {
		k.w.logf("stop %s.%d on %s, where it is not, acknowledged", o.Task, o.Run, k.name)
	} else {
		k.w.logf("stop %s.%d on %s token %d", o.Task, o.Run, k.name, o.Token)
		time.AfterFunc(k.w.stopTime, func() {
			k.w.mu.Lock()
			defer k.w.mu.Unlock()
			k.finish(r, "stopped")
		})
	}
	return ""
}

func (k *worker) hold(o *order) string {
	if k.fenced(o) {
		return "fence"
	}
	k.renew(o.DeadlineMS)
	kept := k.ended[:0:0]
	for _, e := range k.ended {
		if e.n > o.Ack {
			kept = append(kept, e)
			continue
		}
		t := k.w.task(e.task)
		if e.done != nil && !e.lapsed {
			e.done.noted = true
			t.noted = true
			if e.done.startedAfter && !t.step.def.Speculative {
				k.w.violate("TWICE", "the end of %s is taken note of, after which the task was started again", e.done.detail)
			}
		}
		if e.how == "failed" {
			t.failed()[e.run] = true
		}
	}
	k.ended = kept
	return ""
}

func (k *worker) report() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for name, r := range k.runs {
		percent := 0
		if total := r.t.work(); total > 0 {
			percent = int(100 * r.progress() / total)
		}
		if r.t.step.def.LongRunning && r.working && time.Since(r.began) > 200*time.Millisecond {
			percent = 100
		}
		running = append(running, []any{name, r.number, r.saved(false), percent, 0})
	}
	for _, e := range k.ended[:min(len(k.ended), 500)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	return map[string]any{"clock_ms": time.Since(k.clock0).Milliseconds(), "born": k.born, "running": running, "finished": ended}
}

// gangRun is one run of a gang.
type gangRun struct {
	w       *world
	step    *stepState
	number  uint64
	members map[int]*run
	begun   bool
	over    bool
}

// joinGang adds a run to its gang. The work begins once all members are there.
func (w *world) joinGang(r *run) {
	s := r.t.step
	key := fmt.Sprintf("%s/%d/%d", s.name(r.t.occ), r.t.occ, r.number)
	g := w.gangs[key]
	if g == nil {
		g = &gangRun{w: w, step: s, number: r.number, members: map[int]*run{}}
		w.gangs[key] = g
	}
	r.gang = g
	if g.over {
		r.worker.finish(r, "broken")
		return
	}
	g.members[r.t.index] = r
	if len(g.members) == s.def.Count {
		g.begin()
		return
	}
	time.AfterFunc(gangTimeout, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !g.begun && !r.over && !r.worker.down {
			r.worker.finish(r, "alone")
		}
	})
}

func (g *gangRun) begin() {
	g.begun = true
	longest := time.Duration(0)
	for _, r := range g.members {
		longest = max(longest, r.workLeft())
		r.begin()
	}
	time.AfterFunc(longest, func() {
		g.w.mu.Lock()
		defer g.w.mu.Unlock()
		if g.over {
			return
		}
		g.over = true
		for _, r := range g.members {
			r.worker.finish(r, "done")
		}
	})
}

// breakUp ends the other members after one has ended.
func (g *gangRun) breakUp(first *run, _ string) {
	if g.over {
		return
	}
	g.over = true
	for _, r := range g.members {
		if r != first && !r.over {
			r.worker.finish(r, "broken")
		}
	}
}

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
