// Command _stand3 holds the stand-ins of the review's scripts: clients, workers, the
// platform's store and the advice service. It starts the entry hosts as processes of their
// own, plays one scenario and checks the rules as the workers and the clients see them.
//
// # Usage
//
//	_stand3 SCENARIO RECORD
//
// TROUBLE=0 in the environment leaves the disruption out. The exit status is 1 if a rule was
// broken, 0 if it held, and 2 if the scenario could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var scenarios = map[string]func(w *world, trouble bool){}

func main() {
	if len(os.Args) < 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: _stand3 SCENARIO RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, record string) (status int) {
	var w *world
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan int, 1)
	go func() {
		defer func() {
			if r := recover(); r != nil {
				fmt.Fprintln(os.Stderr, "cannot run:", r)
				done <- 2
			}
		}()
		w = newWorld(record)
		scenarios[name](w, os.Getenv("TROUBLE") != "0")
		w.mu.Lock()
		n := len(w.violations)
		w.mu.Unlock()
		if n > 0 {
			done <- 1
		} else {
			done <- 0
		}
	}()
	select {
	case status = <-done:
	case <-signals:
		status = 2
	case <-time.After(115 * time.Second):
		fmt.Fprintln(os.Stderr, "cannot run: too slow")
		status = 2
	}
	if w != nil {
		w.mu.Lock()
		for _, v := range w.violations {
			fmt.Println(v)
		}
		w.mu.Unlock()
		w.logf("exit status %d", status)
		w.close()
	}
	return status
}
