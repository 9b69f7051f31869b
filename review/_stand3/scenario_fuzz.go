package main

import (
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["fuzz"] = fuzz }

func randomJob(w *world) *job {
	ms := func(a, b int) time.Duration { return time.Duration(a+rand.IntN(b-a)) * time.Millisecond }
	step := func() stepDef {
		d := ms(100, 2500)
		s := stepDef{Count: 1 + rand.IntN(4), CPU: int64(500 + rand.IntN(5000)), MemMB: 500, Work: d, EstimateMS: float64(d.Milliseconds())}
		if rand.IntN(3) == 0 {
			s.Checkpointing = true
			s.Work += ms(500, 4000)
			s.EstimateMS = float64(s.Work.Milliseconds())
		}
		switch rand.IntN(6) {
		case 0, 1:
			s.Gang, s.Count = true, 2+rand.IntN(6)
		case 2:
			s.Speculative = true
		case 3:
			s.AntiAffinity = 1
		}
		return s
	}
	n := 1 + rand.IntN(3)
	var steps []stepDef
	for i := range n {
		s := step()
		if i > 0 {
			s.After = []int{i - 1}
		}
		steps = append(steps, s)
	}
	j := w.newJob(steps)
	switch rand.IntN(10) {
	case 0:
		j.repeat, j.startAt, j.interval = 2+rand.IntN(4), time.Now().Add(ms(0, 4000)).UnixMilli(), int64(200+rand.IntN(2000))
	case 1:
		j.steps = []stepDef{{Count: 1 + rand.IntN(3), CPU: 1000, MemMB: 500, LongRunning: true, Gang: false, EstimateMS: 1000}}
	}
	if rand.IntN(12) == 0 {
		d := ms(30, 300)
		j.steps = []stepDef{{Count: 260 + rand.IntN(300), CPU: 100, MemMB: 10, Work: d, EstimateMS: 100}, {Count: 2, CPU: 1000, MemMB: 10, Work: d, EstimateMS: 100, After: []int{0}}}
		if rand.IntN(3) == 0 {
			j.steps[0].Gang = true
		}
	}
	if rand.IntN(3) == 0 {
		j.queue = "advised.example"
	}
	return j
}

func fuzz(w *world, trouble bool) {
	kinds := os.Getenv("FAULTS")
	if kinds == "" {
		kinds = "kill power freeze storeall storehost crash rebirth cut late term drain compact grey chain behind"
	}
	list := strings.Fields(kinds)
	w.queueExtra = map[string]any{"slack_factor": 40.0, "target_latency_ms": 60000}
	n := 14
	if os.Getenv("RELAY") != "" {
		n = 36
		w.settings["limits.cpu_share"] = "0.144"
	}
	w.startPlatform(n, 7, 16000)
	w.addHosts(4)
	w.waitReady()
	time.Sleep(500 * time.Millisecond)
	stop := time.Now().Add(30 * time.Second)
	var mu sync.Mutex
	var jobs []*job
	var wg sync.WaitGroup
	for range 5 {
		wg.Go(func() {
			for time.Now().Before(stop) {
				j := randomJob(w)
				ok := w.submit(j, 5)
				mu.Lock()
				jobs = append(jobs, j)
				mu.Unlock()
				if ok && (j.steps[0].LongRunning && rand.IntN(2) == 0 || rand.IntN(8) == 0) {
					wg.Go(func() {
						time.Sleep(time.Duration(rand.IntN(4000)) * time.Millisecond)
						w.cancel(j, 12)
					})
				}
				time.Sleep(time.Duration(200+rand.IntN(1200)) * time.Millisecond)
				if rand.IntN(2) == 0 {
					w.state(j, w.hosts[rand.IntN(4)])
				}
			}
		})
	}
	if trouble {
		for time.Now().Before(stop) {
			time.Sleep(time.Duration(200+rand.IntN(1500)) * time.Millisecond)
			kind := list[rand.IntN(len(list))]
			d := time.Duration(500+rand.IntN(5000)) * time.Millisecond
			h := w.hosts[rand.IntN(4)]
			if o := w.owner(); o != nil && rand.IntN(2) == 0 {
				h = o
			}
			k := w.workers[rand.IntN(len(w.workers))]
			w.logf("FAULT %s", kind)
			switch kind {
			case "kill":
				go h.kill(syscall.SIGKILL, 300*time.Millisecond)
			case "power":
				go h.kill(syscall.SIGKILL, d)
			case "term":
				go h.kill(syscall.SIGTERM, 300*time.Millisecond)
			case "freeze":
				go h.freeze(d)
			case "storeall":
				f := storeFault(1 + rand.IntN(6))
				w.store.setFault(f)
				time.AfterFunc(min(d, 4500*time.Millisecond), func() { w.store.setFault(storeSound) })
			case "storehost":
				w.store.setFaultOf(h.name, storeFault(1+rand.IntN(6)))
				time.AfterFunc(d, func() { w.store.setFaultOf(h.name, storeSound) })
			case "compact":
				w.store.dropHistory()
			case "crash":
				go k.crash(d)
			case "rebirth":
				go k.crash(50 * time.Millisecond)
			case "cut":
				w.mu.Lock()
				k.cut = true
				w.mu.Unlock()
				time.AfterFunc(d, func() {
					w.mu.Lock()
					k.cut = false
					w.mu.Unlock()
				})
			case "late":
				w.mu.Lock()
				for _, k := range w.workers {
					k.lateProb = 0.055
				}
				w.mu.Unlock()
				time.AfterFunc(d, func() {
					w.mu.Lock()
					for _, k := range w.workers {
						k.lateProb = 0
					}
					w.mu.Unlock()
				})
			case "swap":
				a, b := w.workers[rand.IntN(len(w.workers))], w.workers[rand.IntN(len(w.workers))]
				if a == b || a.down || b.down {
					continue
				}
				go func() {
					a.crash(0)
					b.crash(0)
					time.Sleep(min(d, 3*time.Second))
					w.mu.Lock()
					a.addr, b.addr = b.addr, a.addr
					w.mu.Unlock()
					for _, k := range []*worker{a, b} {
						for k.listen(k.addr) != nil {
							time.Sleep(10 * time.Millisecond)
						}
						w.mu.Lock()
						k.reset()
						k.down, k.missed = false, 0
						w.mu.Unlock()
						k.beat()
					}
				}()
			case "grey":
				w.mu.Lock()
				k.failProb = 1
				w.mu.Unlock()
				time.AfterFunc(d, func() {
					w.mu.Lock()
					k.failProb = 0
					w.mu.Unlock()
				})
			case "chain":
				go func() {
					for range 4 {
						if o := w.owner(); o != nil {
							go o.kill(syscall.SIGKILL, 2*time.Second)
						}
						time.Sleep(time.Duration(400+rand.IntN(1500)) * time.Millisecond)
					}
				}()
			case "behind":
				w.mu.Lock()
				k.cut = true
				w.mu.Unlock()
				go k.crash(d / 2)
				time.AfterFunc(d, func() {
					w.mu.Lock()
					k.cut = false
					w.mu.Unlock()
				})
			case "drain":
				w.mu.Lock()
				k.draining = !k.draining
				w.mu.Unlock()
				k.beat()
			}
		}
	}
	wg.Wait()
	w.store.setFault(storeSound)
	w.mu.Lock()
	for _, k := range w.workers {
		k.draining, k.failProb, k.lateProb = false, 0, 0
	}
	w.mu.Unlock()
	w.logf("faults end")
	deadline := time.Now().Add(40 * time.Second)
	for {
		open := 0
		for _, j := range jobs {
			w.mu.Lock()
			skip := j.accepted.IsZero() || !j.cancelSent.IsZero()
			w.mu.Unlock()
			if skip || j.lastState == "completed" || j.lastState == "failed" || j.steps[0].LongRunning {
				continue
			}
			if w.state(j, w.hosts[rand.IntN(4)]); j.lastState != "completed" && j.lastState != "failed" {
				open++
			}
		}
		if open == 0 || time.Now().After(deadline) {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	for _, j := range jobs {
		long := j.steps[0].LongRunning
		if !j.accepted.IsZero() && j.cancelSent.IsZero() && long {
			w.state(j, w.hosts[0])
		}
		w.mu.Lock()
		switch {
		case !j.accepted.IsZero() && j.cancelSent.IsZero():
			if j.lastState == "failed" && !j.failCause() {
				w.violate("LOST", "%s is failed without cause", j.id)
			}
			if j.lastState == "gone" || j.lastState == "canceled" || j.lastState == "" {
				w.violate("LOST", "%s is %q", j.id, j.lastState)
			}
			if !long && (j.lastState == "queued" || j.lastState == "active") {
				w.violate("LOST", "%s is still %q", j.id, j.lastState)
			}
			if long {
				for _, t := range j.states[0].tasks {
					at := 0
					for _, k := range w.workers {
						if k.runs[t.name] != nil {
							at++
						}
					}
					if at != 1 {
						w.violate("LOST", "%s (lasts) runs %d times", t.name, at)
					}
				}
			}
		case j.accepted.IsZero() && j.started:
			all := true
			for _, c := range j.codes {
				all = all && (c == "429" || c == "503" || c == "404" || c == "401")
			}
			if all {
				w.violate("REFUSED", "%s has started, and was refused: %v", j.id, j.codes)
			}
		case !j.cancelAcked.IsZero():
			for _, k := range w.workers {
				for name := range k.runs {
					if jobOf(name) == j.id {
						w.violate("UNASKED", "%s runs on %s, long after it was cancelled", name, k.name)
					}
				}
			}
		}
		w.mu.Unlock()
	}
	for _, h := range w.hosts {
		data, _ := os.ReadFile(h.log.Name())
		if strings.Contains(string(data), "panic:") || strings.Contains(string(data), "fatal error:") {
			w.mu.Lock()
			w.violate("Fault", "%s panicked", h.name)
			w.mu.Unlock()
		}
	}
	w.logf("%d jobs", len(jobs))
}
