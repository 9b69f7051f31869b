package main

import (
	"fmt"
	"time"
)

func init() { cases["reborn"] = playReborn }

// playReborn cuts workers off, which crash behind the cut and start again under their ids,
// while a job that ran there is cancelled.
func playReborn(record string, trouble bool) int {
	w, err := newWorld(record, 2, 6)
	if err != nil {
		fmt.Println(err)
		return couldNot
	}
	defer w.close()
	if !w.ready() {
		return w.verdict(couldNot, "the hosts are not ready")
	}
	const rounds = 7
	for n := range rounds {
		id := newID()
		if status, _ := w.ask("POST", "quotes", "key-large", id, map[string]any{"spec": "ms=60000", "steps": []any{step(1, 1000, 256, 60000)}}, 8); status != 200 {
			return w.verdict(couldNot, "a job was not accepted: %d", status)
		}
		var k *worker
		for until := time.Now().Add(5 * time.Second); k == nil && time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
			_, k = w.activeOf(id)
		}
		if k == nil {
			return w.verdict(couldNot, "a job did not start")
		}
		time.Sleep(time.Second)
		if trouble {
			k.setCut(true)
			time.Sleep(500 * time.Millisecond)
			k.restart()
			time.Sleep(1500 * time.Millisecond)
		}
		status, _ := w.ask("DELETE", "quotes", "key-large", id, nil, 4)
		if status != 200 {
			w.record("round %d: the cancel got %d", n, status)
		}
		time.Sleep(500 * time.Millisecond)
		if trouble {
			k.setCut(false)
		}
		time.Sleep(4 * time.Second)
	}
	exits, repeated := 0, 0
	for _, h := range w.hosts {
		w.mu.Lock()
		n := h.exits
		w.mu.Unlock()
		w.record("%s has ended by itself %d times", h.name, n)
		exits += n
		if n >= 3 {
			repeated++
		}
	}
	if repeated >= 2 {
		return w.verdict(broken, "Fault: %d machines have processes that ended by themselves three times; %d ends in %d rounds", repeated, exits, rounds)
	}
	return w.verdict(held, "%d ends of processes by themselves in %d rounds", exits, rounds)
}
