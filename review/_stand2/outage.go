package main

import (
	"fmt"
	"time"

	"github.com/cowslipgap/cowslipgap/platform/platformtest"
)

const (
	outageWorkers = 8
	// outageTime is how long all entry hosts are without power.
	outageTime = 9500 * time.Millisecond
	// outageSlack is added to the calm time after which a lasting task must run.
	outageSlack = 500 * time.Millisecond
	// outageLimit is how long the script waits for the start that is missing.
	outageLimit = 30 * time.Second
)

// outage runs a lasting task on each worker. All entry hosts lose power, and one worker is lost
// for good meanwhile. Without the disruption, the hosts go on.
func outage(r *record, trouble bool) int {
	w := &watch{record: r}
	c, err := startWatchedCluster(r, outageWorkers, 3, w)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		r.add("cannot run: %v", err)
		return failed
	}
	const id = "5c0e7a21d94b36f8"
	c.platform.ExpectJob(id, outageWorkers, platformtest.WorkerCPU/8)
	body := fmt.Sprintf(`{"spec":"600000","steps":[{"count":%d,"cpu":%d,"mem_mb":512,"anti_affinity":2,"long_running":true}]}`, outageWorkers, platformtest.WorkerCPU/8)
	if status, _ := c.call("POST", id, body); status != 200 {
		r.add("cannot run: the job is not accepted")
		return failed
	}
	time.Sleep(5 * time.Second)
	lostWorker := -1
	for i := range outageWorkers {
		if len(w.on(i)) > 0 {
			lostWorker = i
			break
		}
	}
	if lostWorker < 0 {
		r.add("cannot run: no task has started")
		return failed
	}
	if !trouble {
		time.Sleep(outageTime + calmTime)
		c.call("GET", id, "")
		r.add("rule held")
		return held
	}
	lost := w.on(lostWorker)
	lostAt := time.Now()
	for _, h := range c.hosts {
		h.kill()
	}
	r.add("all entry hosts are without power for %v", outageTime)
	time.Sleep(time.Second)
	c.platform.Worker(lostWorker).SetUnresponsive(true)
	r.add("worker %d is lost for good, with %d tasks", lostWorker, len(lost))
	time.Sleep(outageTime - time.Second)
	for _, h := range c.hosts {
		if err := h.start(); err != nil {
			r.add("cannot run: %v", err)
			return failed
		}
	}
	backAt := time.Now()
	r.add("all entry hosts are started again")
	time.Sleep(calmTime + outageSlack)
	var missing []string
	for task := range lost {
		if w.last(task).at.Before(lostAt) {
			missing = append(missing, task)
			r.add("RULE BROKEN: LOST: %s lasts and does not run %.1f s after the entry hosts are back", task, time.Since(backAt).Seconds())
		}
	}
	c.call("GET", id, "")
	if len(missing) == 0 {
		r.add("rule held")
		return held
	}
	for _, task := range missing {
		for time.Since(backAt) < outageLimit && w.last(task).at.Before(lostAt) {
			time.Sleep(50 * time.Millisecond)
		}
		r.add("%s: last start %.1f s after the entry hosts are back", task, w.last(task).at.Sub(backAt).Seconds())
	}
	c.logLines("held tasks released")
	return broken
}
