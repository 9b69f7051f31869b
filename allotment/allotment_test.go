package allotment_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipgap/cowslipgap/allotment"
)

// model is a set of hosts that run tasks within their part and adjust it in any
// order, from rows that may be stale. The table accepts a write only if it is based
// on the newest row.
type model struct {
	row         allotment.Row
	version     int
	running     map[string]int
	read        map[string]allotment.Row
	readVersion map[string]int
	breakSum    bool
}

// adjust writes the row that a host wants if the host has read the newest row.
// Otherwise the host reads the newest row.
func (m *model) adjust(session string, want, block int) {
	if m.readVersion[session] != m.version {
		m.read[session], m.readVersion[session] = m.row, m.version
		return
	}
	next, changed := m.read[session].Adjust(allotment.Need{
		Session: session, Running: m.running[session], Want: want, Block: block, BreakSum: m.breakSum,
	})
	if changed {
		m.row = next
		m.version++
		m.read[session], m.readVersion[session] = next, m.version
	}
}

func (m *model) totalRunning() int {
	sum := 0
	for _, n := range m.running {
		sum += n
	}
	return sum
}

// simulate runs the model with random operations and returns the maximum number of
// running tasks above the limit.
func simulate(t *rapid.T, breakSum bool) int {
	m := &model{running: map[string]int{}, read: map[string]allotment.Row{}, readVersion: map[string]int{}, breakSum: breakSum}
	m.row.Limit = rapid.IntRange(0, 20).Draw(t, "limit")
	m.version = 1
	maxExcess := 0
	for range 150 {
		session := fmt.Sprint("h", rapid.IntRange(0, 4).Draw(t, "host"))
		switch rapid.IntRange(0, 3).Draw(t, "op") {
		case 0, 1:
			m.adjust(session, m.running[session]+rapid.IntRange(0, 9).Draw(t, "want"), rapid.IntRange(0, 3).Draw(t, "block"))
		case 2:
			// A host that has not read the newest row still has the part of the row it
			// wrote, because no other host changes that part.
			if m.running[session] < m.row.Parts[session] {
				m.running[session]++
			}
		case 3:
			m.running[session] = max(0, m.running[session]-1)
		}
		maxExcess = max(maxExcess, m.totalRunning()-m.row.Limit)
	}
	return maxExcess
}

// TestRunningTasksStayWithinLimit checks that all hosts together never run more
// tasks than the limit.
func TestRunningTasksStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		require.LessOrEqual(t, simulate(t, false), 0)
	})
}

// TestBrokenSumIsDetected breaks the escrow; the same check must detect it.
func TestBrokenSumIsDetected(t *testing.T) {
	maxExcess := 0
	rapid.Check(t, func(t *rapid.T) { maxExcess = max(maxExcess, simulate(t, true)) })
	require.Positive(t, maxExcess)
}

// TestUnusedPartMovesToHostThatAsks has one idle host and one that wants a part.
func TestUnusedPartMovesToHostThatAsks(t *testing.T) {
	row, _ := allotment.Row{Limit: 10}.Adjust(allotment.Need{Session: "a", Running: 0, Want: 10})
	require.Equal(t, 10, row.Parts["a"])
	row, _ = row.Adjust(allotment.Need{Session: "b", Want: 8})
	require.True(t, row.Requests["b"])
	row, _ = row.Adjust(allotment.Need{Session: "a", Running: 0, Want: 0})
	row, _ = row.Adjust(allotment.Need{Session: "b", Want: 8})
	require.Equal(t, 8, row.Parts["b"])
}

// TestGangCollectsBlock lets a gang of 6 start under a limit of 9 that is divided
// among three hosts.
func TestGangCollectsBlock(t *testing.T) {
	row := allotment.Row{Limit: 9, Parts: map[string]int{"a": 3, "b": 3, "c": 3}}
	for range 3 {
		row, _ = row.Adjust(allotment.Need{Session: "a", Running: 0, Want: 6, Block: 6})
		for _, other := range []string{"b", "c"} {
			row, _ = row.Adjust(allotment.Need{Session: other, Running: 1, Want: 5})
		}
	}
	require.GreaterOrEqual(t, row.Parts["a"], 6)
	require.LessOrEqual(t, row.Sum(), 9)
	row, _ = row.Adjust(allotment.Need{Session: "a", Running: 6, Want: 6})
	require.Empty(t, row.Block)
}

// TestLoweredLimitReducesTargetsInProportion lowers the limit below the sum of the
// parts.
func TestLoweredLimitReducesTargetsInProportion(t *testing.T) {
	row := allotment.Row{Limit: 4, Parts: map[string]int{"a": 6, "b": 2}}
	require.Equal(t, 3, row.Target("a"))
	require.Equal(t, 1, row.Target("b"))
}
