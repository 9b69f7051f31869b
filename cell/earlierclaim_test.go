package cell

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/workload"
)

// reclaimedCell is a cell whose process has claimed it twice. Another process placed a task
// in between, on worker w1.
type reclaimedCell struct {
	*Cell
	clock       Clock
	firstPoll   Poll // of the first claim
	firstCommit Commit
}

func newReclaimedCell(t *testing.T) *reclaimedCell {
	c := &reclaimedCell{Cell: New(Config{MaxLease: simMaxLease, StopTimeout: 200 * time.Millisecond, GangTimeout: simGangTimeout, StatusRetention: time.Minute}), clock: Clock{Steady: time.Second, Wall: time.Unix(1_700_000_000, 0)}}
	roster := []WorkerRef{{ID: "w1", Addr: "w1", Service: "s"}, {ID: "w2", Addr: "w2", Service: "s"}}
	c.send(Policy{Teams: map[string]Team{"blue": {Rate: 100}}, ReadAt: c.clock.Steady})
	c.send(Claimed{Token: 5, Sent: c.clock.Steady, Workers: roster})
	c.list()
	c.send(Submit{Reply: 1, Job: lookupJob("aa00000000000001")})
	for _, effect := range c.round() {
		switch e := effect.(type) {
		case Poll:
			if e.Worker == "w1" {
				c.firstPoll = e
			}
		case Commit:
			c.firstCommit = e
		}
	}
	require.Equal(t, uint64(5), c.firstPoll.Token)
	require.Equal(t, uint64(5), c.firstCommit.Token)
	c.send(Deposed{Reason: "claimed"})
	c.clock.Steady += time.Second
	spec := lookupJob("bb00000000000001")
	spec.Queue.Advice, spec.Steps[0].Count, spec.ReceivedAt = nil, 1, c.clock.Wall
	placed := workload.StepRecord{Placed: map[int]workload.Placement{0: {Worker: "w1", Run: 6*runsPerClaim + 1}}}
	c.send(Claimed{Token: 7, Sent: c.clock.Steady, Previous: true, Workers: roster, Jobs: []StoredJob{{ID: spec.ID, Job: spec, Rows: 1, Progress: &workload.Progress{Steps: []workload.StepRecord{placed}}}}})
	c.list()
	return c
}

func (c *reclaimedCell) send(event any) []any { return slices.Clone(c.Update(c.clock, event)) }

func (c *reclaimedCell) round() []any {
	c.clock.Steady += 20 * time.Millisecond
	return c.send(PlacementRound{})
}

func (c *reclaimedCell) list() {
	c.send(Listed{Workers: []WorkerInfo{
		{ID: "w1", Addr: "w1", Service: "s", Capacity: lookupJob("").Steps[0].Need, StartedAt: 1},
		{ID: "w2", Addr: "w2", Service: "s", Capacity: lookupJob("").Steps[0].Need, StartedAt: 1},
	}})
}

// answer answers the poll of a claim with an empty report.
func (c *reclaimedCell) answer(worker string, token uint64) {
	c.send(PollResult{Token: token, Worker: worker, Sent: c.clock.Steady, Received: c.clock.Steady, Report: Report{StartedAt: 1, Clock: time.Minute}})
}

// A report requested before another owner placed a task says nothing of that task: it may be
// at work, or have ended as done.
func TestReportOfAnEarlierClaimReleasesNoTask(t *testing.T) {
	t.Parallel()
	c := newReclaimedCell(t)
	c.answer("w1", c.firstPoll.Token)
	c.answer("w2", 7)
	require.Contains(t, c.held, "w1")
	c.answer("w1", 7)
	require.NotContains(t, c.held, "w1")
}

// The answer to a commit of an earlier claim would confirm one that is not stored.
func TestCommitOfAnEarlierClaimConfirmsNothing(t *testing.T) {
	t.Parallel()
	c := newReclaimedCell(t)
	c.send(Submit{Reply: 2, Job: lookupJob("cc00000000000001")})
	var commit Commit
	for _, effect := range c.round() {
		if e, ok := effect.(Commit); ok {
			commit = e
		}
	}
	require.Equal(t, c.firstCommit.Seq, commit.Seq)
	require.Empty(t, c.send(Committed{Token: c.firstCommit.Token, Seq: c.firstCommit.Seq, Sent: c.clock.Steady}))
	require.Contains(t, c.send(Committed{Token: 7, Seq: commit.Seq, Sent: c.clock.Steady}), Answer{Reply: 2, Verdict: Accepted})
}

// A worker that refuses a command of an earlier claim refuses none of this one.
func TestRefusalOfAnEarlierClaimEndsNoClaim(t *testing.T) {
	t.Parallel()
	c := newReclaimedCell(t)
	c.send(PollResult{Token: c.firstPoll.Token, Worker: "w1", Sent: c.clock.Steady, Received: c.clock.Steady, Failure: Fenced})
	require.True(t, c.Owner())
	c.send(Started{Token: 5, Worker: "w1", Received: c.clock.Steady, Failure: Fenced})
	c.send(StopDone{Token: 5, Worker: "w1", Received: c.clock.Steady, Failure: Fenced})
	require.True(t, c.Owner())
	c.send(PollResult{Token: 7, Worker: "w1", Sent: c.clock.Steady, Received: c.clock.Steady, Failure: Fenced})
	require.False(t, c.Owner())
}
