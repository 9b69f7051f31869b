package cell

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipgap/cowslipgap/resource"
	"github.com/cowslipgap/cowslipgap/workload"
)

// submitAndStore submits a job to an owner and confirms its commits. It returns the answer and
// the rows that the store holds then.
func submitAndStore(t require.TestingT, c *Cell, spec *workload.Job) (Answer, []Row) {
	now := Clock{Steady: time.Second, Wall: time.Unix(1.7e9, 0)}
	c.Update(now, Claimed{Token: 1, Sent: now.Steady})
	var answers []Answer
	var rows []Row
	handle := func(event any) {
		for _, effect := range slices.Clone(c.Update(now, event)) {
			switch e := effect.(type) {
			case Answer:
				answers = append(answers, e)
			case Commit:
				rows = append(rows, e.Puts...)
				now.Steady += time.Millisecond
				defer func() {
					for _, effect := range slices.Clone(c.Update(now, Committed{Token: 1, Seq: e.Seq, Sent: now.Steady})) {
						if a, ok := effect.(Answer); ok {
							answers = append(answers, a)
						}
					}
				}()
			}
		}
	}
	handle(Submit{Reply: 1, Job: spec})
	now.Steady += commitInterval
	handle(Flush{})
	require.Len(t, answers, 1)
	return answers[0], rows
}

// requireKnown requires that the rows hold the job for the next owner.
func requireKnown(t require.TestingT, spec *workload.Job, rows []Row) {
	var stored StoredRows
	for _, r := range rows {
		if r.Table == Jobs {
			stored.AddSpec(r.Key, r.Value)
		}
	}
	loaded := stored.Cell()
	require.Empty(t, loaded.Unreadable)
	jobs := loaded.Jobs
	require.Len(t, jobs, 1)
	require.NotNil(t, jobs[0].Job)
	require.Equal(t, spec.Steps, jobs[0].Job.Steps)
	require.True(t, spec.FirstAt.Equal(jobs[0].Job.FirstAt))
}

// A job whose specification could not be encoded was answered as accepted and had no row: the
// next owner did not know it.
func TestAcceptedJobsAreInTheStore(t *testing.T) {
	text := rapid.OneOf(rapid.StringN(0, 8, -1), rapid.Just("\xff"), rapid.Just("\xed\xa0\x80"))
	rapid.Check(t, func(t *rapid.T) {
		spec := &workload.Job{
			ID: "5c0e7a21d94b3600", Team: text.Draw(t, "team"), Spec: text.Draw(t, "spec"), Repeat: rapid.IntRange(0, 2).Draw(t, "repeat"),
			FirstAt: time.UnixMilli(rapid.Int64().Draw(t, "firstAt")), Queue: workload.Queue{Name: text.Draw(t, "queue"), MaxAttempts: 3, Slack: rapid.Float64().Draw(t, "slack")},
		}
		for range rapid.IntRange(1, 3).Draw(t, "steps") {
			spec.Steps = append(spec.Steps, workload.Step{
				Count: rapid.IntRange(1, 9).Draw(t, "count"), Need: resource.Vector{MilliCPU: rapid.Int64Range(0, 1e11).Draw(t, "cpu")},
				Label: text.Draw(t, "label"), Rack: text.Draw(t, "rack"), Image: text.Draw(t, "image"), Estimate: time.Duration(rapid.Int64Range(0, 1e17).Draw(t, "estimate")),
			})
		}
		answer, rows := submitAndStore(t, New(Config{}), spec)
		if answer.Verdict == Accepted {
			requireKnown(t, spec, rows)
		}
	})
}

// A list that is longer than a decoder takes was stored, and no later owner could load the cell.
func TestAcceptedJobsCanBeReadAgain(t *testing.T) {
	spec := jobOf("5c0e7a21d94b3600", 2, 1, 0)
	spec.Steps[1].DependsOn = make([]int, 200_000)
	answer, rows := submitAndStore(t, New(Config{}), spec)
	if answer.Verdict == Accepted {
		requireKnown(t, spec, rows)
	}
}

// Callers of a job that is beyond the limits of each owner were told to come back with it.
func TestJobBeyondTheLimitsIsRejectedForGood(t *testing.T) {
	many, long := jobOf("5c0e7a21d94b3600", 1, maxTasks+1, 0), jobOf("5c0e7a21d94b3601", 12_000, 1, 0)
	for i := range long.Steps {
		long.Steps[i].Label = "a label that is not short"
	}
	for _, spec := range []*workload.Job{many, long} {
		c := New(Config{})
		now := Clock{Steady: time.Second, Wall: time.Unix(1.7e9, 0)}
		c.Update(now, Claimed{Token: 1, Sent: now.Steady})
		effects := c.Update(now, Submit{Reply: 1, Job: spec})
		i := slices.IndexFunc(effects, func(effect any) bool { _, is := effect.(Answer); return is })
		require.GreaterOrEqual(t, i, 0)
		answer := effects[i].(Answer)
		require.Equal(t, Malformed, answer.Verdict)
		require.NotEmpty(t, answer.Reason)
		require.Zero(t, answer.RetryAfter)
	}
}
