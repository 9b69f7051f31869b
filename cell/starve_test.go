package cell

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/docket"
)

// waitAllowed is for how long the users let a job wait that has room, with its team and
// the fleet little used.
const waitAllowed = 3 * time.Second

// requireBegun checks that an accepted job began within waitAllowed of a time.
func (f *fleet) requireBegun(j *simJob, from Instant) {
	f.t.Helper()
	require.True(f.t, j.accepted)
	require.NotZero(f.t, j.begunAt, "%s has not begun", j.spec.ID)
	require.Less(f.t, j.begunAt-from, waitAllowed, j.spec.ID)
	require.Empty(f.t, f.violations)
}

// TestAdviceAlmostLongIsAskedFor replays a queue whose calls are short, but of which one
// that names a worker is not.
func TestAdviceAlmostLongIsAskedFor(t *testing.T) {
	f := newFleet(t, 1, 48)
	spec := quote("bb00000000000000")
	spec.Queue.Advice = &docket.Advice{Decision: heavyCall - time.Millisecond, PerWorker: 2 * time.Millisecond, Validity: 1500 * time.Millisecond}
	j := f.submit(2*time.Second, spec)
	f.run(20 * time.Second)
	f.requireBegun(j, j.handedIn)
}
