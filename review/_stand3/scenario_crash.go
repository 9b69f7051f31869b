package main

import (
	"time"
)

func init() { scenarios["innocent"] = innocent }

// innocent hands in a job of one task for a kind of worker of which there is one. This worker
// crashes some times, and is back each time. Then it stays up.
func innocent(w *world, trouble bool) {
	const crashes, down, up = 6, 2 * time.Second, 4 * time.Second
	w.startPlatform(14, 7, 32000)
	w.mu.Lock()
	special := w.workers[0]
	special.labels[0] = "b"
	w.mu.Unlock()
	special.beat()
	w.addHosts(3)
	w.waitReady()
	time.Sleep(time.Second)
	j := w.newJob([]stepDef{{Count: 1, CPU: 9000, MemMB: 1000, EstimateMS: 6200, Requirements: "b", Work: 6200 * time.Millisecond}})
	if !w.submit(j, 5) {
		panic("the job was not accepted")
	}
	if trouble {
		go func() {
			for range crashes {
				time.Sleep(up)
				special.crash(down)
				time.Sleep(down)
			}
		}()
	}
	deadline := time.Now().Add(70 * time.Second)
	for time.Now().Before(deadline) {
		time.Sleep(500 * time.Millisecond)
		switch w.state(j, w.hosts[1]) {
		case "failed":
			w.mu.Lock()
			if !j.failCause() {
				w.violate("LOST", "%s is shown as failed, and none of its runs has ended as failed", j.id)
			}
			w.mu.Unlock()
			return
		case "completed":
			return
		}
	}
	w.mu.Lock()
	w.violate("LOST", "%s has not ended", j.id)
	w.mu.Unlock()
}
