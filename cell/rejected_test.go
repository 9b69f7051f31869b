package cell

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/workload"
)

// requireOthersCompleted requires that each job is accepted and completed, but for those whose ID
// has the prefix.
func (f *simFleet) requireOthersCompleted(prefix string) {
	f.t.Helper()
	for id, j := range inOrder(f.jobs) {
		if !strings.HasPrefix(id, prefix) {
			require.True(f.t, j.accepted, id)
			require.Equal(f.t, workload.Completed, j.state, id)
		}
	}
}

// A row that the store rejects was sent again without end, and no other row of the cell was
// stored. Here jobs come whose specification it rejects.
func TestRejectedSpecificationHoldsUpNoOther(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, seed, 24)
			f.submitLightLoad(12 * time.Second)
			for i := range 20 {
				f.submit(2*time.Second+time.Duration(f.rng.IntN(10_000))*time.Millisecond, quoteJob(fmt.Sprintf("ee%014x", i)))
			}
			f.store.rejects = func(r Row) bool { return r.Table == Jobs && strings.HasPrefix(r.Key, "ee") }
			for i := range 3 {
				f.at(time.Duration(4+3*i)*time.Second, func() { f.killOwner(300 * time.Millisecond) })
			}
			f.runUntil(60 * time.Second)
			f.requireNoViolations()
			f.requireOthersCompleted("ee")
			require.Positive(t, f.store.rejected)
			for id, j := range inOrder(f.jobs) {
				if strings.HasPrefix(id, "ee") {
					require.True(t, j.refused, id)
				}
			}
		})
	}
}

// The same with progress that it rejects for a while, then takes: nothing that depends on it is
// started or acknowledged meanwhile.
func TestRejectedProgressIsStoredLater(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, seed, 24)
			f.submitLightLoad(12 * time.Second)
			for i := range 6 {
				f.submit(2*time.Second+time.Duration(f.rng.IntN(8_000))*time.Millisecond, quoteJob(fmt.Sprintf("ee%014x", i)))
			}
			from := 2*time.Second + time.Duration(f.rng.IntN(3000))*time.Millisecond
			f.store.rejects = func(r Row) bool {
				return r.Table == Progress && strings.HasPrefix(r.Key, "ee") && f.now > from && f.now < 15*time.Second
			}
			if seed%2 == 1 {
				f.at(9*time.Second, func() { f.killOwner(300 * time.Millisecond) })
			}
			f.runUntil(90 * time.Second)
			f.requireNoViolations()
			f.requireOthersCompleted("none")
			require.Positive(t, f.store.rejected)
		})
	}
}

// Progress that could not be encoded was written as an empty row, which no owner could read, and
// what depended on it was acknowledged.
func TestProgressThatCannotBeEncodedIsNotAcknowledged(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 24)
	f.submitLightLoad(8 * time.Second)
	failing, failed := false, 0
	f.owner.EncodeProgress = func(p *workload.Progress) ([]byte, error) {
		if failing && len(p.Steps) > 0 && len(p.Steps[0].Done) > 0 {
			failed++
			return nil, errors.New("as the test wants")
		}
		return p.Encode()
	}
	f.at(3*time.Second, func() { failing = true })
	f.at(6*time.Second, func() { f.killOwner(300 * time.Millisecond) }) // the next one encodes all
	f.runUntil(60 * time.Second)
	f.requireNoViolations()
	f.requireAllEnded()
	f.requireOthersCompleted("none")
	require.Positive(t, failed)
}

// A roster that the store rejects holds up no job on workers that it knows.
func TestRejectedRosterHoldsUpNoJob(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 24)
	f.submitLightLoad(12 * time.Second)
	f.store.rejects = func(r Row) bool { return r.Table == Roster && f.now > 3*time.Second && f.now < 20*time.Second }
	f.at(4*time.Second, func() {
		for _, w := range f.workers {
			if w.info.ID == "w003" {
				w.gone = true // the roster changes
			}
		}
	})
	f.runUntil(60 * time.Second)
	f.requireNoViolations()
	f.requireOthersCompleted("none")
	require.Positive(t, f.store.rejected)
}

// A store that rejects everything for a while says nothing of any job: callers are asked to come
// back.
func TestStoreThatRejectsEverythingRefusesNoJobForGood(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 24)
	f.submitLightLoad(12 * time.Second)
	f.at(4*time.Second, func() { f.store.rejectsAll = true })
	f.at(8*time.Second, func() { f.store.rejectsAll = false })
	f.runUntil(60 * time.Second)
	f.requireNoViolations()
	f.requireAllEnded()
	require.Positive(t, f.store.rejected)
	refused := 0
	for id, j := range inOrder(f.jobs) {
		require.False(t, j.malformed, id)
		if j.refused {
			refused++
		}
	}
	require.Positive(t, refused)
}
