package main

import (
	"strings"
	"time"
)

func init() { scenarios["late"] = lateStart }

// delayer holds one start up on its way to a worker for some seconds. It gets no answer.
type delayer struct {
	w     *world
	k     *worker
	delay time.Duration
	held  *order
}

// hold holds an order back. When it is handed on, it reaches whatever life of the worker
// listens then.
func (d *delayer) hold(o *order) {
	d.held = o
	d.w.logf("the start of %s.%d to %s is held on its way", o.Task, o.Run, d.k.name)
	time.AfterFunc(d.delay, func() {
		d.w.mu.Lock()
		defer d.w.mu.Unlock()
		if d.k.down {
			d.w.logf("the held start finds no worker")
			return
		}
		reason := d.k.start(o, true)
		if reason == "" {
			reason = "carried out"
		}
		d.w.logf("the held start of %s.%d reaches %s (life %d): %s", o.Task, o.Run, d.k.name, d.k.life, reason)
	})
}

// lateStart has one start among fifteen held up on its way for six seconds. The owner stops the
// run, which the worker acknowledges, and starts the task elsewhere. The worker, which runs
// nothing, crashes and is back under its ID and at its address before the start reaches it.
func lateStart(w *world, trouble bool) {
	const (
		delay = 6 * time.Second
		down  = 1500 * time.Millisecond
	)
	w.queueExtra = map[string]any{"target_latency_ms": 60000}
	w.startPlatform(16, 8, 32000)
	w.addHosts(3)
	w.waitReady()
	time.Sleep(time.Second)
	short := w.newJob([]stepDef{{Count: 1, CPU: 20000, MemMB: 1000, EstimateMS: 2000, Work: 2 * time.Second}})
	if !w.submit(short, 5) {
		panic("the first job was not accepted")
	}
	time.Sleep(1800 * time.Millisecond)
	j := w.newJob([]stepDef{{Count: 15, CPU: 20000, MemMB: 1000, EstimateMS: 14000, Work: 14 * time.Second}})
	w.register(j)
	d := &delayer{w: w, delay: delay}
	if trouble {
		w.mu.Lock()
		w.holdStart = func(k *worker, o *order) bool {
			if d.held != nil || !strings.HasPrefix(o.Task, j.id) || k.index < 5 {
				return false
			}
			d.k = k
			d.hold(o)
			return true
		}
		w.mu.Unlock()
	}
	if !w.submit(j, 5) {
		panic("the job was not accepted")
	}
	time.Sleep(2 * time.Second)
	if trouble {
		w.mu.Lock()
		k, o := d.k, d.held
		w.mu.Unlock()
		if o == nil {
			panic("no start was held")
		}
		w.mu.Lock()
		elsewhere, here := len(w.runsOf(o.Task)), len(k.runs)
		w.logf("%d workers run %s, %d tasks run on %s", elsewhere, o.Task, here, k.name)
		w.mu.Unlock()
		if here == 0 {
			k.crash(down)
		}
	}
	deadline := time.Now().Add(60 * time.Second)
	for time.Now().Before(deadline) {
		time.Sleep(500 * time.Millisecond)
		for _, h := range w.hosts {
			if w.state(j, h) == "completed" {
				return
			}
		}
	}
	w.mu.Lock()
	w.violate("LOST", "%s has not ended", j.id)
	w.mu.Unlock()
}
