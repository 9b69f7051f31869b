package standin_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/standin"
	"github.com/cowslipgap/cowslipgap/storage"
)

// TestTaskIsThrottledCheckpointedAndResumed starts a task, throttles it, stops it
// with a checkpoint, and resumes it from there.
func TestTaskIsThrottledCheckpointedAndResumed(t *testing.T) {
	s := standin.Standin{Zones: []string{"a"}, WorkersPerZone: 1}
	require.NoError(t, s.Start("127.0.0.1:0"))
	defer s.Close()
	c := storage.Client{BaseURL: s.URL()}
	defer c.Close()
	list, err := c.Workers(t.Context(), "a", 0)
	require.NoError(t, err)
	addr := list.Workers[0].Addr
	start := storage.StartRequest{
		Task: "x", Attempt: 1, Team: "t", Owner: "o", Need: resource.Vector{Slots: 1}, LeaseMillis: 60_000,
		Payload: json.RawMessage(`{"workMillis":300}`),
	}
	require.NoError(t, c.StartTask(t.Context(), addr, start))
	require.NoError(t, c.ThrottleTasks(t.Context(), addr, storage.ThrottleRequest{Tasks: []string{"x"}, Percent: 1}))
	time.Sleep(400 * time.Millisecond)
	report, err := c.Renew(t.Context(), addr, storage.Renewal{Owner: "o", LeaseMillis: 60_000, Tasks: []string{"x"}})
	require.NoError(t, err)
	require.Len(t, report.Running, 1, "a task at 1 percent of its speed must still run")
	require.NoError(t, c.StopTasks(t.Context(), addr, storage.StopRequest{Tasks: []string{"x"}, Checkpoint: true}))
	report, err = c.Renew(t.Context(), addr, storage.Renewal{Owner: "o", WaitMillis: 10_000})
	require.NoError(t, err)
	require.Len(t, report.Ended, 1)
	require.Equal(t, storage.EndCheckpointed, report.Ended[0].End)
	start.Attempt, start.ResumeMillis = 2, report.Ended[0].ResumeMillis
	require.NoError(t, c.StartTask(t.Context(), addr, start))
	report, err = c.Renew(t.Context(), addr, storage.Renewal{Owner: "o", After: 1, WaitMillis: 10_000})
	require.NoError(t, err)
	require.Equal(t, storage.EndDone, report.Ended[0].End)
	_, done := s.Ledger.CountByTag("")
	require.Zero(t, done, "untagged work must not be counted by tag")
	require.Equal(t, 1, s.Ledger.Count().Done)
}
