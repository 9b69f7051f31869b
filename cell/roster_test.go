package cell

import (
	"encoding/base64"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/resource"
)

// maxStoredRow is the largest value of a row that the store accepts, in base64.
const maxStoredRow = 65536

// TestRowsOfALargeRosterFitTheStore lists 3000 workers. The store rejects a commit with a
// larger row, so nothing would be stored.
func TestRowsOfALargeRosterFitTheStore(t *testing.T) {
	c := New(Config{MaxLease: simMaxLease, StatusRetention: time.Minute})
	clock := Clock{Steady: time.Hour, Wall: time.Unix(1, 0)}
	c.Update(clock, Claimed{Token: 9, Sent: clock.Steady})
	var workers []WorkerInfo
	for i := range 3000 {
		workers = append(workers, WorkerInfo{
			ID: fmt.Sprintf("i-%010x", i), Addr: fmt.Sprintf("10.3.%d.%d:8562", i/256, i%256), Service: "booking",
			Capacity: resource.Vector{MilliCPU: 32000, MemoryMB: 64000}, StartedAt: 1,
		})
	}
	c.Update(clock, Listed{Workers: workers})
	clock.Steady += maxCommitInterval
	commit := nextCommit(t, c, clock)
	listed := map[string]bool{}
	for _, row := range commit.Puts {
		require.LessOrEqual(t, base64.StdEncoding.EncodedLen(len(row.Value)), maxStoredRow, row.Key)
		refs, err := DecodeRoster(row.Value)
		require.NoError(t, err)
		for _, ref := range refs {
			listed[ref.ID] = true
		}
	}
	require.Len(t, listed, len(workers))
	require.Len(t, commit.Puts, 8)

	// Most workers leave; rows that are no longer needed are deleted.
	c.Update(clock, Committed{Seq: commit.Seq, Sent: clock.Steady})
	for _, w := range workers {
		c.Update(clock, PollResult{Worker: w.ID, Sent: clock.Steady, Received: clock.Steady, Report: Report{StartedAt: 1, Clock: time.Minute}})
	}
	c.Update(clock, Listed{Workers: workers[:500]})
	clock.Steady += time.Minute
	commit = nextCommit(t, c, clock)
	require.Len(t, commit.Puts, 2)
	var dropped []string
	for _, row := range commit.Drops {
		dropped = append(dropped, row.Key)
	}
	require.Equal(t, []string{"workers-2", "workers-3", "workers-4", "workers-5", "workers-6", "workers-7"}, dropped)
}

// nextCommit returns the commit of the next placement round.
func nextCommit(t *testing.T, c *Cell, clock Clock) Commit {
	for _, effect := range c.Update(clock, PlacementRound{}) {
		if commit, ok := effect.(Commit); ok {
			return commit
		}
	}
	require.Fail(t, "no commit")
	return Commit{}
}
