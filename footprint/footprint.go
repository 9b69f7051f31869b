// Package footprint reads what a Linux process holds: its memory and its descriptors.
//
// # Usage
//
//	f, err := footprint.Read(cmd.Process.Pid)
//	fmt.Println(f.PeakMemory, f.Descriptors)
//
//	stop := footprint.Watch(cmd.Process.Pid)
//	...
//	largest, err := stop()
package footprint

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// watchInterval is the time between two readings of a process that is watched.
const watchInterval = 20 * time.Millisecond

// Footprint is what a process holds.
type Footprint struct {
	PeakMemory  int64 // largest resident memory since the start of the process, in bytes
	Descriptors int   // open descriptors
}

// Read reads the footprint of a process. It fails if the process has ended, also if its
// parent has not waited for it yet.
func Read(pid int) (Footprint, error) {
	var f Footprint
	dir := fmt.Sprintf("/proc/%d/", pid)
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return f, errors.Wrap(err, "footprint: read status")
	}
	_, peak, found := strings.Cut(string(status), "VmHWM:")
	if !found {
		return f, errors.Newf("footprint: process %d has ended", pid)
	}
	var kilobytes int64
	if _, err := fmt.Sscan(peak, &kilobytes); err != nil {
		return f, errors.Wrap(err, "footprint: peak memory")
	}
	files, err := os.ReadDir(dir + "fd")
	if err != nil {
		return f, errors.Wrap(err, "footprint: read descriptors")
	}
	f.PeakMemory, f.Descriptors = kilobytes<<10, len(files)
	return f, nil
}

// Watch reads the footprint of a process until the returned function is called, which
// returns the largest values that were read. It fails if the process has ended by then.
func Watch(pid int) (stop func() (Footprint, error)) {
	var largest Footprint
	quit := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			if f, err := Read(pid); err == nil {
				largest.PeakMemory = max(largest.PeakMemory, f.PeakMemory)
				largest.Descriptors = max(largest.Descriptors, f.Descriptors)
			}
			select {
			case <-time.After(watchInterval):
			case <-quit:
				return
			}
		}
	})
	return func() (Footprint, error) {
		close(quit)
		wg.Wait()
		last, err := Read(pid)
		largest.PeakMemory = max(largest.PeakMemory, last.PeakMemory)
		largest.Descriptors = max(largest.Descriptors, last.Descriptors)
		return largest, err
	}
}
