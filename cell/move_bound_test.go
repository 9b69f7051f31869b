package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/workload"
)

// TestTaskIsStoppedAtMostTwiceByAllOwners submits gangs that have room only where tasks are
// stopped for them, while owners are killed in turn.
func TestTaskIsStoppedAtMostTwiceByAllOwners(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 24)
	const tasks = 12
	for i := range tasks {
		bulk := bulkJob(fmt.Sprintf("bb%014x", i), 40*time.Second)
		bulk.Steps[0].Count, bulk.Steps[0].Need, bulk.Steps[0].Label = 1, resource.Vector{MilliCPU: 17_000}, "k0"
		f.submit(2500*time.Millisecond, bulk)
	}
	stopped := f.logged("room taken back")
	for i := range 8 {
		spec := gangJob(fmt.Sprintf("cc%014x", i))
		spec.Queue.Advice, spec.Queue.Slack, spec.Queue.Priority = nil, 60, 1
		spec.Steps = []workload.Step{{Count: 12, Gang: true, Need: resource.Vector{MilliCPU: 18_000}, Estimate: 2 * time.Second, Label: "k0", MaxPerWorker: 1}}
		f.submit(time.Duration(8+7*i)*time.Second, spec)
	}
	for i := range 4 {
		f.at(time.Duration(14+14*i)*time.Second, func() { f.killOwner(500 * time.Millisecond) })
	}
	f.runUntil(90 * time.Second)
	require.LessOrEqual(t, len(*stopped), maxEvictions*tasks)
}
