package capacity_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipgap/cowslipgap/capacity"
	"github.com/cowslipgap/cowslipgap/resource"
)

// TestFirstMatchesLinearSearch compares First with a linear search over the same
// amounts, after random changes.
func TestFirstMatchesLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vector := rapid.Custom(func(t *rapid.T) resource.Vector {
			return resource.Vector{
				Slots: rapid.Int64Range(0, 4).Draw(t, "slots"), MilliCPU: rapid.Int64Range(0, 4).Draw(t, "cpu"),
				MemoryMB: rapid.Int64Range(0, 4).Draw(t, "memory"),
			}
		})
		var tree capacity.Tree
		amounts := make([]resource.Vector, rapid.IntRange(1, 70).Draw(t, "size"))
		for i := range amounts {
			amounts[i] = vector.Draw(t, "amount")
			tree.Set(i, amounts[i])
		}
		for range 8 {
			i := rapid.IntRange(0, len(amounts)-1).Draw(t, "changed")
			amounts[i] = vector.Draw(t, "amount")
			tree.Set(i, amounts[i])
			need := vector.Draw(t, "need")
			lo, hi := rapid.IntRange(0, len(amounts)).Draw(t, "lo"), rapid.IntRange(0, len(amounts)+2).Draw(t, "hi")
			want := capacity.NotFound
			for j := lo; j < min(hi, len(amounts)); j++ {
				if need.Fits(amounts[j]) {
					want = j
					break
				}
			}
			require.Equal(t, want, tree.First(lo, hi, need))
		}
	})
}
