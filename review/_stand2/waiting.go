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
	// calmTime is the time after the last disruption from which on nothing excuses a lasting
	// task that does not run: 4 s, and the 3 s for which it does not.
	calmTime = 7 * time.Second
	// waitingSlack is added to that.
	waitingSlack = 3 * time.Second
	// waitingLimit is how long the script waits for the start that is missing.
	waitingLimit = 60 * time.Second
)

// waiting runs a service of eight lasting tasks, one on each worker, and a second one from the
// first crash on, while one worker crashes three times and then stays up. Most of each worker is
// free. Only tasks under which one worker has crashed count.
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
	const first, second = "5c0e7a21d94b36f8", "a7d94b36f85c0e21"
	submit := func(id string) bool {
		c.platform.ExpectJob(id, waitingWorkers, platformtest.WorkerCPU/8)
		body := fmt.Sprintf(`{"spec":"600000","steps":[{"count":%d,"cpu":%d,"mem_mb":512,"anti_affinity":1,"long_running":true}]}`, waitingWorkers, platformtest.WorkerCPU/8)
		status, _ := c.call("POST", id, body)
		return status == 200
	}
	const flaky = waitingWorkers - 1
	crashes := map[string]int{} // workers that crashed under a task
	crashedAt := time.Now()
	crash := func() {
		before := crashedAt
		crashedAt = time.Now()
		if !trouble {
			return
		}
		running := 0
		for task, s := range w.on(flaky) {
			if s.at.After(before) {
				crashes[task]++
				running++
			}
		}
		r.add("worker %d crashes under %d tasks, and is back in %v", flaky, running, waitingDown)
		c.platform.Worker(flaky).Crash(waitingDown, true)
	}
	if !submit(first) {
		r.add("cannot run: the first job is not accepted")
		return failed
	}
	time.Sleep(4 * time.Second)
	crash()
	time.Sleep(waitingDown + time.Second)
	if !submit(second) {
		r.add("cannot run: the second job is not accepted")
		return failed
	}
	time.Sleep(waitingPeriod - waitingDown - time.Second)
	crash()
	time.Sleep(waitingPeriod)
	crash()
	time.Sleep(waitingDown + calmTime + waitingSlack)
	var missing []string
	for task, n := range crashes {
		r.add("%d workers have crashed under %s", n, task)
		if n == 1 && w.last(task).at.Before(crashedAt) {
			missing = append(missing, task)
			r.add("RULE BROKEN: LOST: %s lasts and has not run for %.1f s, since the only worker that crashed under it did. All workers have been up for %.1f s, and each has at least three quarters of its room free", task,
				(time.Since(crashedAt) + waitingPeriod).Seconds(), (time.Since(crashedAt) - waitingDown).Seconds())
		}
	}
	for _, id := range []string{first, second} {
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
			r.add("%s runs again %.1f s after the last crash of the worker", task, at.Sub(crashedAt).Seconds())
		} else {
			r.add("%s does not run %.0f s after the last crash of the worker", task, time.Since(crashedAt).Seconds())
		}
	}
	c.logLines("run suspected")
	return broken
}
