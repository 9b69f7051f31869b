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
