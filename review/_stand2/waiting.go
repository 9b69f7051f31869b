package main

import (
	"fmt"
	"time"

	"github.com/cowslipgap/cowslipgap/platform/platformtest"
)

const (
	waitingWorkers = 8
	waitingPeriod  = 6 * time.Second
	waitingDown    = 2 * time.Second
	waitingCrashes = 3
	// calmTime is the time after the last disruption from which on nothing excuses a lasting
	// task that does not run: 4 s, and the 3 s for which it does not.
	calmTime = 7 * time.Second
	// waitingSlack is added to that.
	waitingSlack = 3 * time.Second
	// waitingLimit is how long the script waits for the start that is missing.
	waitingLimit = 60 * time.Second
)

// waiting runs two services of eight lasting tasks each, one of each on each worker, while one
// worker crashes three times and then stays up. Most of each worker is free.
func waiting(r *record, trouble bool) int {
	w := &watch{record: r}
	c, err := startWatchedCluster(r, waitingWorkers, 3, w)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		r.add("cannot run: %v", err)
		return failed
	}
	for _, id := range []string{"5c0e7a21d94b36f8", "a7d94b36f85c0e21"} {
		c.platform.ExpectJob(id, waitingWorkers, platformtest.WorkerCPU/8)
		body := fmt.Sprintf(`{"spec":"600000","steps":[{"count":%d,"cpu":%d,"mem_mb":512,"anti_affinity":1,"long_running":true}]}`, waitingWorkers, platformtest.WorkerCPU/8)
		if status, _ := c.call("POST", id, body); status != 200 {
			r.add("cannot run: the job is not accepted")
			return failed
		}
	}
	time.Sleep(4 * time.Second)
	const flaky = waitingWorkers - 1
	lost := map[string]start{}
	crashedAt := time.Now()
	for n := range waitingCrashes {
		lost = w.on(flaky)
		crashedAt = time.Now()
		if trouble {
			r.add("worker %d crashes with %d tasks, and is back in %v", flaky, len(lost), waitingDown)
			c.platform.Worker(flaky).Crash(waitingDown, true)
		}
		if n < waitingCrashes-1 {
			time.Sleep(waitingPeriod)
		}
	}
	if !trouble {
		lost = nil
	}
	time.Sleep(waitingDown + calmTime + waitingSlack)
	var missing []string
	for task := range lost {
		if w.last(task).at.Before(crashedAt) {
			missing = append(missing, task)
			r.add("RULE BROKEN: LOST: %s lasts and has not run since its worker crashed %.1f s ago. All workers have been up for %.1f s, and each has at least three quarters of its room free", task,
				time.Since(crashedAt).Seconds(), (time.Since(crashedAt) - waitingDown).Seconds())
		}
	}
	for _, id := range []string{"5c0e7a21d94b36f8", "a7d94b36f85c0e21"} {
		c.call("GET", id, "")
	}
	if len(missing) == 0 {
		r.add("rule held")
		return held
	}
	for _, task := range missing {
		for time.Since(crashedAt) < waitingLimit && w.last(task).at.Before(crashedAt) {
			time.Sleep(100 * time.Millisecond)
		}
		if at := w.last(task).at; at.After(crashedAt) {
			r.add("%s runs again %.1f s after the crash", task, at.Sub(crashedAt).Seconds())
		} else {
			r.add("%s does not run %.0f s after the crash", task, time.Since(crashedAt).Seconds())
		}
	}
	c.logLines("run suspected")
	return broken
}
