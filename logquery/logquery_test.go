package logquery_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/logquery"
)

func TestPrintListsOneRequestInOrder(t *testing.T) {
	q := logquery.Query{ID: "5c0e7a21d94b36f8"}
	front := `{"time":"2026-01-01T10:00:01.300Z","level":"INFO","msg":"job not accepted","id":"5c0e7a21d94b36f8","reason":"it would be late"}
text without a JSON object
12.3 host {"time":"2026-01-01T10:00:01.100Z","level":"INFO","msg":"job refused","id":"other","reason":"x"}
`
	owner := `{"time":"2026-01-01T09:00:00.000Z","level":"INFO","msg":"cell claimed","token":1}
{"time":"2026-01-01T10:00:00.900Z","level":"WARN","msg":"store does not answer","error":"timeout"}
{"time":"2026-01-01T10:00:01.200Z","level":"INFO","msg":"job refused","id":"5c0e7a21d94b36f8","wait":2500000000}
{"time":"2026-01-01T10:00:01.250Z","level":"INFO","msg":"placed","step":"5c0e7a21d94b36f8.0.1","tasks":2}
{"time":"2026-01-01T10:00:01.260Z","level":"INFO","msg":"placed","step":"5c0e7a21d94b36f80.0.1","tasks":2}
`
	require.NoError(t, q.Read("front", strings.NewReader(front)))
	require.NoError(t, q.Read("owner", strings.NewReader(owner)))
	require.Equal(t, 3, q.Matches())
	var out bytes.Buffer
	require.NoError(t, q.Print(&out))
	require.Equal(t, `10:00:00.900     -0.300 s  owner: store does not answer, error timeout
10:00:01.200     +0.000 s  owner: job refused, id 5c0e7a21d94b36f8, wait 2.5s
10:00:01.250     +0.050 s  owner: placed, step 5c0e7a21d94b36f8.0.1, tasks 2
10:00:01.300     +0.100 s  front: job not accepted, id 5c0e7a21d94b36f8, reason it would be late
`, out.String())
}

// TestPrintTellsWhyAJobFailedByCrashes guards against a job that fails without its crashes.
// A worker that crashed under other jobs is left out.
func TestPrintTellsWhyAJobFailedByCrashes(t *testing.T) {
	q := logquery.Query{ID: "5c0e7a21d94b36f8"}
	owner := `{"time":"2026-01-01T10:00:00.000Z","level":"INFO","msg":"job admitted","id":"5c0e7a21d94b36f8"}
{"time":"2026-01-01T10:00:03.000Z","level":"INFO","msg":"worker crashed","worker":"w1","runs":3,"youngest":10000000}
{"time":"2026-01-01T10:00:03.000Z","level":"INFO","msg":"run suspected","task":"5c0e7a21d94b36f8.0.0.1","run":1,"worker":"w1"}
{"time":"2026-01-01T10:00:03.000Z","level":"INFO","msg":"run suspected","task":"5c0e7a21d94b36f80.0.0.1","run":1,"worker":"w1"}
{"time":"2026-01-01T10:00:04.000Z","level":"INFO","msg":"worker crashed","worker":"w9","runs":2,"youngest":10000000}
{"time":"2026-01-01T10:00:06.000Z","level":"INFO","msg":"worker crashed","worker":"w2","runs":1,"youngest":10000000}
{"time":"2026-01-01T10:00:06.000Z","level":"INFO","msg":"run suspected","task":"5c0e7a21d94b36f8.0.0.1","run":2,"worker":"w2"}
{"time":"2026-01-01T10:00:06.000Z","level":"INFO","msg":"job failed by crashes","id":"5c0e7a21d94b36f8","task":"5c0e7a21d94b36f8.0.0.1","workers":"w1 w2"}
{"time":"2026-01-01T10:00:06.020Z","level":"INFO","msg":"job ended","id":"5c0e7a21d94b36f8","state":3}
`
	require.NoError(t, q.Read("owner", strings.NewReader(owner)))
	require.Equal(t, 5, q.Matches())
	var out bytes.Buffer
	require.NoError(t, q.Print(&out))
	require.Equal(t, `10:00:00.000     +0.000 s  owner: job admitted, id 5c0e7a21d94b36f8
10:00:03.000     +3.000 s  owner: worker crashed, runs 3, worker w1, youngest 10ms
10:00:03.000     +3.000 s  owner: run suspected, run 1, task 5c0e7a21d94b36f8.0.0.1, worker w1
10:00:06.000     +6.000 s  owner: worker crashed, runs 1, worker w2, youngest 10ms
10:00:06.000     +6.000 s  owner: run suspected, run 2, task 5c0e7a21d94b36f8.0.0.1, worker w2
10:00:06.000     +6.000 s  owner: job failed by crashes, id 5c0e7a21d94b36f8, task 5c0e7a21d94b36f8.0.0.1, workers w1 w2
10:00:06.020     +6.020 s  owner: job ended, id 5c0e7a21d94b36f8, state 3
`, out.String())
}

// TestCrashAloneNamesNoRequest guards against a request that counts as found because some
// worker crashed.
func TestCrashAloneNamesNoRequest(t *testing.T) {
	q := logquery.Query{ID: "5c0e7a21d94b36f8"}
	require.NoError(t, q.Read("owner", strings.NewReader(`{"time":"2026-01-01T10:00:03.000Z","level":"INFO","msg":"worker crashed","worker":"w1"}`)))
	require.Zero(t, q.Matches())
	var out bytes.Buffer
	require.NoError(t, q.Print(&out))
	require.Empty(t, out.String())
}
