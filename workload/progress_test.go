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

// TestEvictionsAreStored guards the count of stops against a change of owner, also to one of
// an earlier version, which does not know it.
func TestEvictionsAreStored(t *testing.T) {
	p := &workload.Progress{State: workload.Active, Team: "blue", Steps: []workload.StepRecord{{Step: 1, Done: []int{0}, Evictions: map[int]int{3: 2}}}}
	data, err := p.Encode()
	require.NoError(t, err)
	decoded, err := workload.DecodeProgress(data)
	require.NoError(t, err)
	require.Equal(t, p, decoded)

	var earlier struct {
		Steps []struct {
			Step int   `cbor:"2,keyasint,omitempty"`
			Done []int `cbor:"4,keyasint,omitempty"`
		} `cbor:"2,keyasint,omitempty"`
	}
	require.NoError(t, cbor.Unmarshal(data, &earlier))
	require.Equal(t, []int{0}, earlier.Steps[0].Done)

	p.Steps[0].Evictions = nil
	without, err := p.Encode()
	require.NoError(t, err)
	require.Equal(t, len(data)-len(without), 4, "bytes for the count of a task")
	decoded, err = workload.DecodeProgress(without)
	require.NoError(t, err)
	require.Zero(t, decoded.Steps[0].Evictions[3])
}
