package main

import (
	"fmt"
	"time"
)

func init() { cases["clock"] = playClock }

// playClock lets a worker start again, twice, while its time of day jumps ahead and back.
func playClock(record string, trouble bool) int {
	w, err := newWorld(record, 3, 8)
	if err != nil {
		fmt.Println(err)
		return couldNot
	}
	defer w.close()
	if !w.ready() {
		return w.verdict(couldNot, "the hosts are not ready")
	}
	k := w.workers[0]
	crash := func(ahead time.Duration) {
		k.setCut(true)
		time.Sleep(700 * time.Millisecond)
		k.restart()
		k.mu.Lock()
		k.born += ahead.Milliseconds()
		k.mu.Unlock()
		k.setCut(false)
		k.beat()
		w.record("worker %s is back, born %d", k.id, k.born)
	}
	if trouble {
		crash(3600 * time.Millisecond)
		time.Sleep(600 * time.Millisecond)
	}
	id := newID()
	if status, _ := w.ask("POST", "quotes", "key-large", id, map[string]any{"spec": "ms=5000", "steps": []any{step(1, 1000, 64, 5000)}}, 4); status != 200 {
		return w.verdict(couldNot, "the job was not accepted: %d", status)
	}
	time.Sleep(300 * time.Millisecond)
	if n, where := w.activeOf(id); n == 0 || where != k {
		return w.verdict(couldNot, "the job doesn't run on %s", k.id)
	}
	if trouble {
		crash(0)
	}
	time.Sleep(14 * time.Second)
	idle := true
	for range 35 {
		n, _ := w.activeOf(id)
		idle = idle && n == 0
		time.Sleep(100 * time.Millisecond)
	}
	status, text := w.ask("GET", "quotes", "key-large", id, nil, 3)
	if idle && text != `{"state":"completed"}` {
		return w.verdict(broken, "LOST: 14 s later the job is %d %s and has nothing running for 3 s, with all workers idle", status, text)
	}
	return w.verdict(held, "the job is %d %s", status, text)
}
