package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/cowslipgap/cowslipgap/platform/platformtest"
)

const (
	flappingWorkers = 8
	// flappingPeriod is the time between two crashes of the same worker, and flappingDown the
	// time for which it is down.
	flappingPeriod  = 6 * time.Second
	flappingDown    = 2 * time.Second
	flappingCrashes = 5
)

// flapping runs a service of eight lasting tasks, one on each worker, while one worker crashes
// and comes back again and again. No task ever ends as failed.
func flapping(r *record, trouble bool) int {
	c, err := startCluster(r, flappingWorkers, 3)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		r.add("cannot run: %v", err)
		return failed
	}
	const id = "5c0e7a21d94b36f8"
	c.platform.ExpectJob(id, flappingWorkers, platformtest.WorkerCPU/2)
	body := fmt.Sprintf(`{"spec":"600000","steps":[{"count":%d,"cpu":%d,"mem_mb":1024,"anti_affinity":1,"long_running":true}]}`, flappingWorkers, platformtest.WorkerCPU/2)
	if status, _ := c.call("POST", id, body); status != 200 {
		r.add("cannot run: the job is not accepted")
		return failed
	}
	time.Sleep(4 * time.Second)
	c.call("GET", id, "")
	for range flappingCrashes {
		if trouble {
			w := c.platform.Worker(flappingWorkers - 1)
			r.add("%s crashes, and is back in %v", w.ID(), flappingDown)
			w.Crash(flappingDown, true)
		}
		time.Sleep(flappingPeriod)
		if _, answer := c.call("GET", id, ""); strings.Contains(answer, `"failed"`) {
			c.logLines("run suspected")
			c.logLines("job failed by crashes")
			r.add("RULE BROKEN: LOST: the job is shown as failed. No run of it has ended failed, and nobody has cancelled it")
			return broken
		}
	}
	for _, v := range c.platform.Violations() {
		r.add("stand-in: %s", v)
	}
	r.add("rule held")
	return held
}
