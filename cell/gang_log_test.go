package cell

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// logged collects the attributes of all log records with the given text.
func (f *simFleet) logged(text string) *[]map[string]string {
	var records []map[string]string
	before := f.onUpdate
	f.onUpdate = func(c *Cell, event any, effects []any, took time.Duration) {
		if before != nil {
			before(c, event, effects, took)
		}
		for _, effect := range effects {
			if record, ok := effect.(LogRecord); ok && record.Text == text {
				attrs := map[string]string{}
				for _, a := range record.Attrs {
					attrs[a.Key] = a.Value.String()
				}
				records = append(records, attrs)
			}
		}
	}
	return &records
}

// TestEndOfAGangIsLoggedOnce loses the worker of one member, or lets one member fail.
func TestEndOfAGangIsLoggedOnce(t *testing.T) {
	t.Parallel()
	for cause, end := range map[string]func(f *simFleet, w *simWorker, name string){
		"failed":       func(f *simFleet, w *simWorker, name string) { f.endRun(w, name, w.runs[name], Failed) },
		"run vanished": func(f *simFleet, w *simWorker, _ string) { f.restartWorker(w) },
	} {
		t.Run(cause, func(t *testing.T) {
			f := newFleet(t, 1, 48)
			records := f.logged("gang ended")
			spec := gangJob("cc00000000000001")
			spec.Queue.Slack, spec.Steps[0].MaxPerWorker = 60, 1
			f.submit(2*time.Second, spec)
			f.at(6*time.Second, func() {
				for _, w := range f.workers {
					if name := spec.ID + ".0.0.3"; w.runs[name] != nil {
						end(f, w, name)
					}
				}
			})
			f.runUntil(30 * time.Second)
			f.requireNoViolations()
			f.requireAllEnded()
			require.Len(t, *records, 1)
			record := (*records)[0]
			require.Equal(t, cause, record["cause"], fmt.Sprint(record))
			require.Equal(t, spec.ID+".0.0", record["step"])
			require.Equal(t, spec.ID+".0.0.3", record["task"])
			require.NotEmpty(t, record["worker"])
			require.Equal(t, "1", record["run"])
		})
	}
}

// TestWaitOfABrokenGangIsLogged crashes the worker of one member.
func TestWaitOfABrokenGangIsLogged(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 48)
	records := f.logged("broken gang placed again")
	spec := gangJob("cc00000000000001")
	spec.Queue.Slack, spec.Steps[0].MaxPerWorker = 60, 1
	f.submit(2*time.Second, spec)
	f.at(6*time.Second, func() {
		for _, w := range f.workers {
			if w.runs[spec.ID+".0.0.3"] != nil {
				f.crashWorker(w)
				return
			}
		}
	})
	f.runUntil(40 * time.Second)
	f.requireNoViolations()
	f.requireAllEnded()
	require.Len(t, *records, 1)
	record := (*records)[0]
	require.Equal(t, spec.ID+".0.0", record["step"])
	after, err := time.ParseDuration(record["after"])
	require.NoError(t, err)
	sum := time.Duration(0)
	for _, wait := range strings.Split(record["waits"], ", ") {
		d, err := time.ParseDuration(wait[strings.LastIndex(wait, " ")+1:])
		require.NoError(t, err, wait)
		sum += d
	}
	require.InDelta(t, after.Seconds(), sum.Seconds(), 0.05, record["waits"])
}
