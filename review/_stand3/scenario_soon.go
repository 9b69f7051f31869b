package main

import (
	"time"
)

func init() { scenarios["soon"] = soon }

// soon hands in a job of one task that lasts. Its worker is lost for good a moment after the start.
// All other workers are sound and idle. Leases last for up to 10 s.
func soon(w *world, trouble bool) {
	const (
		after  = 500 * time.Millisecond // from the acceptance to the loss
		free   = 6 * time.Second        // a task that lasts may be away for as long
		window = 3 * time.Second
	)
	w.settings["bounds.hold_max_ms"] = "10000"
	w.holdMax = 10 * time.Second
	w.startPlatform(14, 7, 32000)
	w.addHosts(3)
	w.waitReady()
	time.Sleep(3 * time.Second)
	j := w.newJob([]stepDef{{Count: 1, CPU: 2000, MemMB: 1000, EstimateMS: 6200, LongRunning: true}})
	if !w.submit(j, 5) {
		panic("the job was not accepted")
	}
	time.Sleep(after)
	w.mu.Lock()
	t := j.states[0].tasks[0]
	at := w.runsOf(t.name)
	w.mu.Unlock()
	if len(at) != 1 {
		panic("the task does not run")
	}
	if !trouble {
		time.Sleep(free + window)
		w.mu.Lock()
		defer w.mu.Unlock()
		if len(w.runsOf(t.name)) != 1 {
			w.violate("LOST", "%s does not run", t.name)
		}
		return
	}
	lost := time.Now()
	at[0].crash(0)
	for time.Since(lost) < 20*time.Second {
		w.mu.Lock()
		runs := len(w.runsOf(t.name)) > 0
		w.mu.Unlock()
		if runs {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	away := time.Since(lost)
	w.logf("%s was away for %.3f s", t.name, away.Seconds())
	if away > free+window {
		w.mu.Lock()
		w.violate("LOST", "%s did not run for %.3f s after its worker was lost", t.name, away.Seconds())
		w.mu.Unlock()
	}
}
