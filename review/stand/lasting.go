package main

import (
	"fmt"
	"os"
	"time"
)

func init() { cases["lasting"] = playLasting }

// playLasting loses a worker with a task that lasts, and the owner, at the same moment.
func playLasting(record string, trouble bool) int {
	w, err := newWorld(record, 3, 6)
	if err != nil {
		fmt.Println(err)
		return couldNot
	}
	defer w.close()
	if !w.ready() {
		return w.verdict(couldNot, "the hosts are not ready")
	}
	lasting := step(1, 1000, 64, 1000)
	lasting["long_running"] = true
	id := newID()
	if status, _ := w.ask("POST", "quotes", "key-large", id, map[string]any{"spec": "ms=600000", "steps": []any{lasting}}, 4); status != 200 {
		return w.verdict(couldNot, "the job was not accepted: %d", status)
	}
	var k *worker
	for until := time.Now().Add(5 * time.Second); k == nil && time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		_, k = w.activeOf(id)
	}
	if k == nil {
		return w.verdict(couldNot, "the job did not start")
	}
	time.Sleep(3 * time.Second)
	owner, _ := w.owner()
	lost := time.Now()
	if trouble {
		k.lose()
		if os.Getenv("KILL") != "0" {
			owner.kill()
		}
	}
	longest := time.Duration(0)
	for last := time.Now(); time.Since(lost) < 20*time.Second; time.Sleep(20 * time.Millisecond) {
		if n, _ := w.activeOf(id); n > 0 {
			last = time.Now()
		}
		longest = max(longest, time.Since(last))
	}
	w.record("the task had no run for %v", longest.Round(10*time.Millisecond))
	if longest > 9*time.Second {
		return w.verdict(broken, "LOST: a task that lasts had no run for %v, so for more than 3 s from 6 s after its last run", longest.Round(10*time.Millisecond))
	}
	return w.verdict(held, "the task had no run for %v at most", longest.Round(10*time.Millisecond))
}

// lose ends the worker for good: nothing answers at its address, and it runs nothing.
func (k *worker) lose() {
	k.mu.Lock()
	for task := range k.running {
		k.w.runEnded(k, task)
	}
	k.reset()
	k.lost = true
	k.cut = make(chan struct{})
	k.mu.Unlock()
	k.w.record("worker %s is lost for good", k.id)
	time.AfterFunc(3*heartbeat, func() { k.w.store.removeOwn("servers", k.id) })
}
