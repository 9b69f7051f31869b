package cell

import (
	"fmt"
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

// TestWorkerOfAnotherLifeIsAskedAboutAgain replays workers that may not run a step, and
// begin again under their names as others that may.
func TestWorkerOfAnotherLifeIsAskedAboutAgain(t *testing.T) {
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprintf("gang %v", gang), func(t *testing.T) {
			f := newFleet(t, 1, 12)
			f.eligible = 0
			spec := refret("cc00000000000000")
			spec.Queue.Slack, spec.Steps[0].Count, spec.Steps[0].Gang = 60, 4, gang
			j := f.submit(2*time.Second, spec)
			f.run(8 * time.Second)
			require.Zero(t, j.begunAt)
			f.eligible = 100
			for _, w := range f.workers {
				w.info.Born++
				w.token, w.n, w.ended = 0, 0, nil
			}
			f.run(20 * time.Second)
			f.requireBegun(j, 8*time.Second)
		})
	}
}
