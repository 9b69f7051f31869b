package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

func init() { cases["due"] = playDue }

// earlyMS is the bound `early_ms` of a small site.
const earlyMS = 250

// owner returns the host whose log shows the last claim of the cell, and another one.
func (w *world) owner() (owner, other *host) {
	last := ""
	for _, h := range w.hosts {
		data, err := os.ReadFile(h.logPath)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, `"msg":"cell claimed"`) && line > last { // a line begins with its time
				last, owner = line, h
			}
		}
	}
	for _, h := range w.hosts {
		if h != owner {
			other = h
		}
	}
	return owner, other
}

// playDue kills the owner while a timed job waits for its first time.
func playDue(record string, trouble bool) int {
	w, err := newWorld(record, 3, 6)
	if err != nil {
		fmt.Println(err)
		return couldNot
	}
	defer w.close()
	if !w.ready() {
		return w.verdict(couldNot, "the hosts are not ready")
	}
	owner, other := w.owner()
	if owner == nil {
		return w.verdict(couldNot, "no host owns the cell")
	}
	taker := owner
	if os.Getenv("FORWARD") == "1" {
		taker = other // hands the job on to the owner
	}
	const times, intervalMS = 3, 2000
	first := time.Now().Add(12*time.Second).Truncate(time.Second).UnixMilli() + 950
	id := newID()
	status, _ := w.call("POST", fmt.Sprintf("http://%s:%d/jobs/%s", w.ip, taker.front, id), "quotes.example", "key-large", map[string]any{
		"spec": "ms=200", "steps": []any{step(1, 500, 64, 200)}, "repeat_count": times, "start_at_ms": first, "interval_ms": intervalMS})
	w.record("POST %s at %s: %d, due at %d ms of Unix time and every %d ms", id, taker.name, status, first, intervalMS)
	if status != 200 {
		return w.verdict(couldNot, "the job was not accepted: %d", status)
	}
	time.Sleep(time.Second)
	if trouble {
		owner.kill()
	}
	time.Sleep(time.Until(time.UnixMilli(first + times*intervalMS + 2000)))
	early, seen := 0, 0
	for k := range times {
		task := fmt.Sprintf("%s.%d.0.0", id, k)
		w.mu.Lock()
		at := w.startedAt[task]
		w.mu.Unlock()
		due := first + int64(k)*intervalMS
		if at.IsZero() {
			w.record("%s has not started", task)
			continue
		}
		seen++
		w.record("%s is due at %d and started at %d, %d ms after that", task, due, at.UnixMilli(), at.UnixMilli()-due)
		if due-at.UnixMilli() > earlyMS {
			early++
		}
	}
	switch {
	case early > 0:
		return w.verdict(broken, "ORDER: %d of %d occurrences started more than %d ms before their time", early, seen, earlyMS)
	case seen < times:
		return w.verdict(couldNot, "only %d of %d occurrences started", seen, times)
	}
	return w.verdict(held, "no occurrence started more than %d ms before its time", earlyMS)
}
