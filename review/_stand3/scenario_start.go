package main

import (
	"encoding/json"
	"syscall"
	"time"
)

func init() { scenarios["longago"] = longAgo }

// longAgo hands in a job with times whose first time is long past. Once it is accepted, the host
// that owns the cell is killed. The tasks take longer than that.
func longAgo(w *world, trouble bool) {
	w.startPlatform(14, 7, 32000)
	w.addHosts(3)
	w.waitReady()
	time.Sleep(time.Second)
	j := w.newJob([]stepDef{{Count: 2, CPU: 2000, MemMB: 1000, EstimateMS: 4000, Work: 4 * time.Second}})
	j.repeat, j.startAt, j.interval = 1, -8_640_000_000_000_000, 1000
	w.register(j)
	body, err := json.Marshal(map[string]any{"spec": j.spec, "steps": j.steps, "repeat_count": j.repeat, "start_at_ms": j.startAt, "interval_ms": j.interval})
	check(err)
	for i := range 20 { // at one host after the other, as the platform sends attempts
		h := w.hosts[i%len(w.hosts)]
		code, _, _ := w.call(h, "POST", j.queue, prefix+j.id, body, 3*time.Second)
		w.logf("POST %s at %s: %d", j.id, h.name, code)
		if code/100 == 2 {
			w.mu.Lock()
			j.accepted = time.Now()
			w.mu.Unlock()
			break
		}
		if code == 404 || code == 400 {
			w.logf("it was rejected for good: no case")
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	if j.accepted.IsZero() {
		panic("the job was not accepted")
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		if o := w.owner(); o != nil {
			go o.kill(syscall.SIGKILL, 3500*time.Millisecond)
		}
	}
	time.Sleep(5 * time.Second) // in touch, and later than visible_ms
	deadline := time.Now().Add(30 * time.Second)
	for time.Now().Before(deadline) {
		for _, h := range w.hosts {
			switch w.state(j, h) {
			case "gone":
				w.mu.Lock()
				w.violate("LOST", "%s was accepted %v ago, and a GET for it is answered 410 by %s", j.id, time.Since(j.accepted).Round(time.Millisecond), h.name)
				w.mu.Unlock()
				return
			case "completed":
				return
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	w.mu.Lock()
	w.violate("LOST", "%s has not ended", j.id)
	w.mu.Unlock()
}
