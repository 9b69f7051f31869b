package main

import (
	"fmt"
	"time"
)

func init() { cases["rows"] = playRows }

// playRows hands in one job with many tasks that run at the same time, or, without trouble,
// the same tasks as several jobs.
func playRows(record string, trouble bool) int {
	const tasks = 3000
	w, err := newWorld(record, 3, 48)
	if err != nil {
		fmt.Println(err)
		return couldNot
	}
	defer w.close()
	w.quiet = true
	if !w.ready() {
		return w.verdict(couldNot, "the hosts are not ready")
	}
	// The second step of a small job of another tenant is due while the large job runs.
	small := newID()
	first, second := step(2, 500, 64, 3000), step(2, 500, 64, 3000)
	second["after"] = []int{0}
	if status, _ := w.ask("POST", "checks", "key-small", small, map[string]any{"spec": "ms=3000", "steps": []any{first, second}}, 4); status != 200 {
		return w.verdict(couldNot, "the small job was not accepted: %d", status)
	}
	ids := []string{small}
	time.Sleep(time.Second)
	parts := 1
	if !trouble {
		parts = 10
	}
	for range parts {
		id := newID()
		if status, _ := w.ask("POST", "quotes", "key-large", id, map[string]any{"spec": "ms=4000", "steps": []any{step(tasks/parts, 500, 16, 4000)}}, 4); status != 200 {
			return w.verdict(held, "a part of the large work was not accepted: %d", status)
		}
		ids = append(ids, id)
	}
	// The traffic ends now; finish_s later, the jobs are asked for.
	late := newID()
	lateStatus, _ := w.ask("POST", "checks", "key-small", late, map[string]any{"spec": "ms=500", "steps": []any{step(1, 500, 64, 500)}}, 4)
	time.Sleep(14 * time.Second)
	unknown, idle := 0, map[string]int{}
	const looks = 35 // a tenth of a second apart: more than 3 s
	for range looks {
		for _, id := range ids {
			if n, _ := w.activeOf(id); n == 0 && !w.completedAt(id) {
				idle[id]++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	stuck := 0
	for _, id := range ids {
		key, queue := "key-large", "quotes"
		if id == small {
			key, queue = "key-small", "checks"
		}
		status, text := w.ask("GET", queue, key, id, nil, 3)
		if status != 200 {
			unknown++
		} else if text != `{"state":"completed"}` && idle[id] == looks {
			stuck++
			w.record("job %s is %s, has nothing running for 3 s, and the workers are idle; %d of its tasks were started", id, text, w.startsOf(id))
		}
	}
	running := 0
	for _, k := range w.workers {
		n, _ := k.count()
		running += n
	}
	w.record("the workers run %d tasks", running)
	w.ask("POST", "checks", "key-small", newID(), map[string]any{"spec": "ms=500", "steps": []any{step(1, 500, 64, 500)}}, 3)
	w.record("the store refused %d transactions for a row above row_bytes; the job handed in last got %d", w.store.refused, lateStatus)
	if stuck+unknown > 0 {
		return w.verdict(broken, "LOST: finish_s after the end of the traffic, %d of %d accepted jobs have nothing running for 3 s though all workers are idle, %d are unknown or get no answer", stuck, len(ids), unknown)
	}
	return w.verdict(held, "all %d accepted jobs are complete or at work", len(ids))
}

// completedAt reports whether all tasks of the job that were ever started have ended done
// and it is known to be complete.
func (w *world) completedAt(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.complete[id]
}
