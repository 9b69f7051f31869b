package workload_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/workload"
)

// TestProgressWithoutAReasonIsDecoded guards against rows of earlier versions that a new
// owner cannot read.
func TestProgressWithoutAReasonIsDecoded(t *testing.T) {
	old, err := cbor.Marshal(map[int]any{1: int(workload.Failed), 6: "blue"})
	require.NoError(t, err)
	p, err := workload.DecodeProgress(old)
	require.NoError(t, err)
	require.Equal(t, &workload.Progress{State: workload.Failed, Team: "blue"}, p)
}

func TestReasonIsStored(t *testing.T) {
	p := &workload.Progress{State: workload.Failed, Reason: "its task crashed 2 workers"}
	data, err := p.Encode()
	require.NoError(t, err)
	decoded, err := workload.DecodeProgress(data)
	require.NoError(t, err)
	require.Equal(t, p, decoded)
}
