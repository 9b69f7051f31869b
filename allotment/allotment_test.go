package allotment_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cowslipgap/cowslipgap/allotment"
)

// fleet is hosts that run tasks within their part and settle in any order, from
// rows that may be old; the table takes a write only from the newest row.
type fleet struct {
	row     allotment.Row
	version int
	running map[string]int
	read    map[string]allotment.Row
	readVer map[string]int
	broken  bool
}

// settle writes what a host wants if its row is the newest; it reads otherwise.
func (f *fleet) settle(session string, want, block int) {
	if f.readVer[session] != f.version {
		f.read[session], f.readVer[session] = f.row, f.version
		return
	}
	next, changed := f.read[session].Settle(allotment.Need{
		Session: session, Running: f.running[session], Want: want, Block: block, BreakSum: f.broken,
	})
	if changed {
		f.row = next
		f.version++
		f.read[session], f.readVer[session] = next, f.version
	}
}

func (f *fleet) total() int {
	sum := 0
	for _, n := range f.running {
		sum += n
	}
	return sum
}

// play runs a fleet at random and returns the most that ran at once over the
// limit.
func play(t *rapid.T, broken bool) int {
	f := &fleet{running: map[string]int{}, read: map[string]allotment.Row{}, readVer: map[string]int{}, broken: broken}
	f.row.Limit = rapid.IntRange(0, 20).Draw(t, "limit")
	f.version = 1
	worst := 0
	for range 150 {
		session := fmt.Sprint("h", rapid.IntRange(0, 4).Draw(t, "host"))
		switch rapid.IntRange(0, 3).Draw(t, "op") {
		case 0, 1:
			f.settle(session, f.running[session]+rapid.IntRange(0, 9).Draw(t, "want"), rapid.IntRange(0, 3).Draw(t, "block"))
		case 2:
			// A host that has not read the newest row still has the part of the
			// one it wrote: nobody else changes it.
			if f.running[session] < f.row.Parts[session] {
				f.running[session]++
			}
		case 3:
			f.running[session] = max(0, f.running[session]-1)
		}
		worst = max(worst, f.total()-f.row.Limit)
	}
	return worst
}

// TestNeverOverLimit checks that all parts together stay within the limit.
func TestNeverOverLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		require.LessOrEqual(t, play(t, false), 0)
	})
}

// TestBrokenSumIsFound breaks the escrow; the same check must see it.
func TestBrokenSumIsFound(t *testing.T) {
	worst := 0
	rapid.Check(t, func(t *rapid.T) { worst = max(worst, play(t, true)) })
	require.Positive(t, worst)
}

// TestMovesToDemand lets one host idle while another wants everything.
func TestMovesToDemand(t *testing.T) {
	row, _ := allotment.Row{Limit: 10}.Settle(allotment.Need{Session: "a", Running: 0, Want: 10})
	require.Equal(t, 10, row.Parts["a"])
	row, _ = row.Settle(allotment.Need{Session: "b", Want: 8})
	require.True(t, row.Asks["b"])
	row, _ = row.Settle(allotment.Need{Session: "a", Running: 0, Want: 0})
	row, _ = row.Settle(allotment.Need{Session: "b", Want: 8})
	require.Equal(t, 8, row.Parts["b"])
}

// TestBlockGathers lets a gang of 6 start under a limit of 9 that three hosts hold.
func TestBlockGathers(t *testing.T) {
	row := allotment.Row{Limit: 9, Parts: map[string]int{"a": 3, "b": 3, "c": 3}}
	for range 3 {
		row, _ = row.Settle(allotment.Need{Session: "a", Running: 0, Want: 6, Block: 6})
		for _, other := range []string{"b", "c"} {
			row, _ = row.Settle(allotment.Need{Session: other, Running: 1, Want: 5})
		}
	}
	require.GreaterOrEqual(t, row.Parts["a"], 6)
	require.LessOrEqual(t, row.Sum(), 9)
	row, _ = row.Settle(allotment.Need{Session: "a", Running: 6, Want: 6})
	require.Empty(t, row.Block)
}

// TestLoweredLimit brings every host's target down in proportion.
func TestLoweredLimit(t *testing.T) {
	row := allotment.Row{Limit: 4, Parts: map[string]int{"a": 6, "b": 2}}
	require.Equal(t, 3, row.Target("a"))
	require.Equal(t, 1, row.Target("b"))
}
