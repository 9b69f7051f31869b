package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

func init() { cases["memory"] = playMemory }

// memoryMB is the limit of memory of a small site's machines.
const memoryMB = 284

// rss returns the resident memory of the host's process in MB.
func (h *host) rss() int {
	h.w.mu.Lock()
	pid := h.cmd.Process.Pid
	h.w.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb / 1024
		}
	}
	return 0
}

// watchMemory ends processes above the limit, as the platform does. That counts as an end by
// itself.
func (h *host) watchMemory() {
	for {
		select {
		case <-h.w.quit:
			return
		case <-time.After(20 * time.Millisecond):
		}
		mb := h.rss()
		h.w.mu.Lock()
		h.peak = max(h.peak, mb)
		cmd := h.cmd
		h.w.mu.Unlock()
		if mb > memoryMB {
			h.w.record("%s has %d MB, above its limit of %d MB, and is killed", h.name, mb, memoryMB)
			_ = cmd.Process.Kill() // it may have ended
			time.Sleep(restartDelay / 2)
		}
	}
}

// playMemory lets a tenant hand in several times its usual number of timed jobs.
func playMemory(record string, trouble bool) int {
	const usual, burst = 6, 45
	w, err := newWorld(record, 3, 6)
	if err != nil {
		fmt.Println(err)
		return couldNot
	}
	defer w.close()
	if !w.ready() {
		return w.verdict(couldNot, "the hosts are not ready")
	}
	for _, h := range w.hosts {
		go h.watchMemory()
	}
	jobs := usual
	if trouble {
		jobs = burst
	}
	// A job of another tenant is accepted before.
	early := newID()
	if status, _ := w.ask("POST", "checks", "key-small", early, map[string]any{"spec": "ms=500", "steps": []any{step(1, 500, 64, 500)}}, 4); status != 200 {
		return w.verdict(couldNot, "the first job was not accepted: %d", status)
	}
	for until := time.Now().Add(40 * time.Second); jobs > 0 && time.Now().Before(until); jobs-- {
		w.ask("POST", "quotes", "key-large", newID(), map[string]any{"spec": "ms=500", "steps": []any{step(1, 500, 64, 500), after(step(1, 500, 64, 500), 0)},
			"repeat_count": 8760, "start_at_ms": time.Now().UnixMilli() + 3600_000, "interval_ms": 3600_000}, 6)
	}
	// The traffic of the tenant ends now. A caller hands in a small job every second.
	served, asked := 0, 0
	for until := time.Now().Add(40 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
		asked++
		if status, _ := w.ask("POST", "checks", "key-small", newID(), map[string]any{"spec": "ms=500", "steps": []any{step(1, 500, 64, 500)}}, 1); status == 200 {
			served++
		}
	}
	known, _ := w.ask("GET", "checks", "key-small", early, nil, 4)
	w.record("the job accepted first: %d", known)
	exits, repeated := 0, 0
	for _, h := range w.hosts {
		w.mu.Lock()
		n, peak := h.exits, h.peak
		w.mu.Unlock()
		w.record("%s has ended %d times for its memory, peak %d MB", h.name, n, peak)
		exits += n
		if n >= 3 {
			repeated++
		}
	}
	if repeated >= 2 {
		return w.verdict(broken, "Fault: on %d machines processes ended three times or more for memory over the limit, %d ends in all; %d of %d small jobs accepted afterwards, the state of the one accepted first is answered with %d", repeated, exits, served, asked, known)
	}
	return w.verdict(held, "%d ends of processes; %d of %d later jobs accepted", exits, served, asked)
}
