package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

func init() { scenarios["moved"] = moved }

// addWorker adds a sound worker at an address, or at a new one.
func (w *world) addWorker(addr string) *worker {
	w.mu.Lock()
	i := len(w.workers)
	first := w.workers[0]
	k := &worker{w: w, index: i, name: fmt.Sprintf("i-%08x", 0x7f3a91c2+i*7919), zone: first.zone, labels: first.labels, cpu: first.cpu}
	k.reset()
	w.mu.Unlock()
	for k.listen(addr) != nil {
		time.Sleep(10 * time.Millisecond)
	}
	w.mu.Lock()
	w.workers = append(w.workers, k)
	w.logf("worker %s is added at %s", k.name, k.addr)
	w.mu.Unlock()
	k.beat()
	return k
}

// comeBack starts a worker again under its ID, at a new address.
func (k *worker) comeBack() {
	check(k.listen(fmt.Sprintf("127.0.0.1:%d", freePorts(1)[0])))
	k.w.mu.Lock()
	k.reset()
	k.down, k.missed = false, 0
	k.w.logf("worker %s is back at %s", k.name, k.addr)
	k.w.mu.Unlock()
	k.beat()
}

// moved has an idle worker crash. A worker that is added gets its address, and it is back at
// another one soon after, under its ID. Some seconds later, tasks run on all workers, and the
// host that owns the cell is killed.
func moved(w *world, trouble bool) {
	const reuseAfter, back = 2100 * time.Millisecond, 900 * time.Millisecond
	w.settings["bounds.stop_timeout_ms"] = "900"
	w.stopTime = 700 * time.Millisecond
	w.startPlatform(16, 8, 32000)
	w.addHosts(3)
	w.waitReady()
	time.Sleep(2 * time.Second)
	if trouble {
		k := w.workers[0]
		w.logf("worker %s runs nothing and is at %s", k.name, k.addr)
		k.crash(0)
		time.Sleep(reuseAfter)
		w.addWorker(k.addr)
		time.Sleep(back)
		k.comeBack()
	}
	time.Sleep(6 * time.Second)
	j := w.newJob([]stepDef{{Count: 30, CPU: 9000, MemMB: 1000, EstimateMS: 12000, Work: 12 * time.Second}})
	if !w.submit(j, 5) {
		panic("the job was not accepted")
	}
	time.Sleep(3 * time.Second)
	w.mu.Lock()
	w.logf("%d tasks run on %s", len(w.workers[0].runs), w.workers[0].name)
	w.mu.Unlock()
	if trouble && os.Getenv("TROUBLE") != "worker" {
		o := w.owner()
		if o == nil {
			panic("no host owns the cell")
		}
		if os.Getenv("TROUBLE") == "term" {
			go o.kill(syscall.SIGTERM, 300*time.Millisecond) // planned work in place of the kill
		} else {
			go o.kill(syscall.SIGKILL, 3*time.Second)
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
