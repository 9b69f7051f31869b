package cellhost

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/cell"
)

// TestClaimDoesNotDependOnLearnedState lets a new owner read the row of learned state, or
// fail to: the claim succeeds, and is late by no more than learnedTimeout.
func TestClaimDoesNotDependOnLearnedState(t *testing.T) {
	const loadTime = 50 * time.Millisecond
	for name, test := range map[string]struct {
		read    func(ctx context.Context) ([]byte, error)
		row     []byte
		failure string
		within  time.Duration
	}{
		"no function": {within: loadTime},
		"read":        {read: func(context.Context) ([]byte, error) { return []byte{1}, nil }, row: []byte{1}, within: loadTime},
		"refused":     {read: func(context.Context) ([]byte, error) { return nil, errors.New("refused") }, failure: "refused", within: loadTime},
		"hangs": {
			read:    func(ctx context.Context) ([]byte, error) { <-ctx.Done(); return nil, ctx.Err() },
			failure: context.DeadlineExceeded.Error(), within: learnedTimeout,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeStore{latency: 4 * time.Millisecond}
				h := newSuccessor(f, loadTime)
				h.LoadLearned = test.read
				start := time.Now()
				go h.claim(t.Context(), f.head, h.Now())
				claimed, ok := (<-h.events).(cell.Claimed)
				require.True(t, ok)
				require.Equal(t, test.row, claimed.Learned)
				require.Equal(t, test.failure, claimed.LearnedFailure)
				require.Less(t, time.Since(start), test.within+20*time.Millisecond)
			})
		})
	}
}
