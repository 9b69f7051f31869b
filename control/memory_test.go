package control_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/class"
	"github.com/cowslipgap/cowslipgap/control"
	"github.com/cowslipgap/cowslipgap/job"
	"github.com/cowslipgap/cowslipgap/refusal"
	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/segment"
)

// TestJobsBeyondTheirMemoryAreRefused submits jobs until they take all that they may, also
// those whose journal write has not been confirmed.
func TestJobsBeyondTheirMemoryAreRefused(t *testing.T) {
	h := newHarness(t)
	j := job.Job{Team: "t", Class: class.Batch, Need: resource.Vector{Slots: 1}, Tasks: 100, Payload: json.RawMessage(`"payload"`)}
	h.s.MaxJobBytes = 2*j.Memory() + 1
	refused := func(j job.Job) *refusal.Refusal {
		effects := h.update(control.SubmitJob{Token: 7, Job: j})
		if answers := effectsOf[control.JobAnswer](effects); len(answers) == 1 {
			return answers[0].Refusal
		}
		appends := effectsOf[control.Append](effects)
		require.Len(t, appends, 1)
		return nil
	}
	first := effectsOf[control.Append](h.update(control.SubmitJob{Token: 6, Job: j}))
	require.Len(t, first, 1)
	require.Nil(t, refused(j))
	r := refused(j)
	require.Equal(t, refusal.Overloaded, r.Code)
	require.Equal(t, refusal.NotRun, r.Ran)
	require.Positive(t, r.RetryMillis)
	large := j
	large.Tasks = 300
	require.Equal(t, refusal.TooLarge, refused(large).Code)
	h.update(control.Journaled{Result: segment.Result{Token: first[0].Batch.Token, Err: segment.ErrFenced}})
	require.Nil(t, refused(j), "a job whose write failed takes no memory")
}
