package main

import (
	"syscall"
	"time"
)

func init() { scenarios["lasting"] = lasting }

// runsOf returns the workers that are up and run a task. The caller holds the lock.
func (w *world) runsOf(name string) []*worker {
	var list []*worker
	for _, k := range w.workers {
		if !k.down && k.runs[name] != nil {
			list = append(list, k)
		}
	}
	return list
}

// lasting hands in a job of two tasks that last. The worker of one is lost for good, and a
// moment later the host that owns the cell is killed, which starts again soon. All other
// workers are sound, and nearly all of their room is free.
func lasting(w *world, trouble bool) {
	const (
		killAfter  = 1200 * time.Millisecond // from the loss of the worker to the kill
		startAgain = 500 * time.Millisecond
		free       = 6 * time.Second // a task that lasts may be away for as long
		calm       = 4 * time.Second // the time before the window has to be calm
		window     = 3 * time.Second
	)
	w.startPlatform(14, 7, 32000)
	w.addHosts(4)
	w.waitReady()
	time.Sleep(time.Second)
	j := w.newJob([]stepDef{{Count: 2, CPU: 2000, MemMB: 1000, EstimateMS: 6200, LongRunning: true, AntiAffinity: 1}})
	if !w.submit(j, 5) {
		panic("the job was not accepted")
	}
	time.Sleep(4 * time.Second)
	w.mu.Lock()
	t := j.states[0].tasks[0]
	at := w.runsOf(t.name)
	w.mu.Unlock()
	if len(at) != 1 {
		panic("the task does not run")
	}
	lost, disturbed := time.Now(), time.Now()
	if trouble {
		at[0].crash(0)
		time.Sleep(killAfter)
		o := w.owner()
		if o == nil {
			panic("no host owns the cell")
		}
		o.kill(syscall.SIGKILL, startAgain)
		disturbed = time.Now()
	}
	from := lost.Add(free)
	if c := disturbed.Add(calm); c.After(from) {
		from = c
	}
	w.logf("the window of the rule is from %.3f s to %.3f s", from.Sub(w.t0).Seconds(), from.Add(window).Sub(w.t0).Seconds())
	away, back := true, time.Duration(0)
	for time.Now().Before(from.Add(window)) || away && time.Since(lost) < 20*time.Second {
		w.mu.Lock()
		runs := len(w.runsOf(t.name)) > 0
		w.mu.Unlock()
		if runs && away {
			away, back = false, time.Since(lost)
			w.logf("%s runs, %.3f s after its worker was lost", t.name, back.Seconds())
		}
		time.Sleep(5 * time.Millisecond)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if away || lost.Add(back).After(from.Add(window)) {
		w.violate("LOST", "%s did not run from its loss until %.3f s later, nor in all of the window that begins %.3f s after it", t.name, back.Seconds(), from.Sub(lost).Seconds())
	}
}
