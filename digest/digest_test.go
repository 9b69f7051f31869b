package digest

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/promise"
)

var at = time.UnixMilli(1_800_000_000_123)

// learned returns the state of a fleet of the given size.
func learned(workers, queues, teams, callers int) *State {
	s := &State{Speeds: map[uint32]float64{}, Queues: map[string]Queue{}, Shares: map[string]float64{}}
	for i := range workers {
		s.Speeds[WorkerKey(fmt.Sprintf("worker-%05d", i), 1_700_000_000_000)] = 0.5 + float64(i%7)/4
	}
	sample := make([]float64, 64)
	for i := range sample {
		sample[i] = 0.2 + float64(i*i)/500
	}
	for i := range queues {
		s.Queues[fmt.Sprintf("queue-of-some-team-%03d", i)] = Queue{Runs: sample, Peers: sample, Eligible: 0.5}
	}
	for i := range teams {
		s.Shares[fmt.Sprintf("team-%03d", i)] = float64(i%4) / 8
	}
	for i := range callers {
		s.Callers = append(s.Callers, promise.Caller{Job: fmt.Sprintf("%016x", i), Team: "team-001", Rank: i % 3, Work: float64(i), Cores: 2.5, FirstSeen: -time.Second, ReturnAt: 3 * time.Second, LastUse: time.Minute})
	}
	return s
}

func TestStateIsRestoredAsWritten(t *testing.T) {
	want := learned(5, 2, 3, 4)
	value, err := want.Encode(at)
	require.NoError(t, err)
	got, writtenAt, err := Decode(value)
	require.NoError(t, err)
	require.Equal(t, at, writtenAt)
	require.InDeltaMapValues(t, want.Speeds, got.Speeds, 0.03)
	require.InDeltaMapValues(t, want.Shares, got.Shares, 1e-6)
	require.ElementsMatch(t, want.Callers, got.Callers)
	for name, q := range want.Queues {
		require.InEpsilonSlice(t, q.Runs, got.Queues[name].Runs, 0.03)
		require.InEpsilonSlice(t, q.Peers, got.Queues[name].Peers, 0.03)
		require.InDelta(t, q.Eligible, got.Queues[name].Eligible, 1e-6)
	}
	later, err := want.Encode(at.Add(time.Second))
	require.NoError(t, err)
	require.True(t, Same(value, later))
	want.Shares["team-001"] = 0.9
	changed, err := want.Encode(at)
	require.NoError(t, err)
	require.False(t, Same(value, changed))
}

// TestRowIsBounded encodes the state of the largest fleet. Speeds, queues and teams must all
// be there, and as many callers as fit, those with the earliest rank first.
func TestRowIsBounded(t *testing.T) {
	for _, s := range []*State{learned(3000, 60, 100, 2048), learned(3000, 60, 300, 2048), learned(20_000, 600, 3000, 2048)} {
		value, err := s.Encode(at)
		require.NoError(t, err)
		require.LessOrEqual(t, len(value), MaxBytes)
		got, _, err := Decode(value)
		require.NoError(t, err)
		t.Logf("%d bytes: %d speeds, %d queues, %d teams, %d callers", len(value), len(got.Speeds), len(got.Queues), len(got.Shares), len(got.Callers))
		if len(s.Speeds) > 3000 {
			require.Len(t, got.Speeds, maxSpeeds)
			require.NotEmpty(t, got.Queues)
			continue
		}
		require.Len(t, got.Speeds, len(s.Speeds))
		require.ElementsMatch(t, slices.Collect(maps.Keys(s.Queues)), slices.Collect(maps.Keys(got.Queues)))
		require.Len(t, got.Shares, len(s.Shares))
		require.NotEmpty(t, got.Callers)
		require.Zero(t, got.Callers[len(got.Callers)-1].Rank)
	}
}

func TestMalformedAndNewerRowsAreErrors(t *testing.T) {
	value, err := learned(5, 2, 3, 4).Encode(at)
	require.NoError(t, err)
	for n := range value {
		_, _, err := Decode(value[:n])
		require.Error(t, err)
	}
	_, _, err = Decode(make([]byte, MaxBytes+1))
	require.ErrorContains(t, err, "bytes")
	newer, err := encoder.Marshal(map[int]any{1: formatVersion + 1, 2: at.UnixMilli(), 3: []byte("of another form"), 4: "more"})
	require.NoError(t, err)
	_, writtenAt, err := Decode(newer)
	require.ErrorContains(t, err, "format version 2")
	require.Equal(t, at, writtenAt)
	for name, s := range map[string]storedState{
		"speeds": {Speeds: []byte{1, 2, 3}},
		"share":  {Shares: map[string]float32{"blue": float32(math.NaN())}},
		"queue":  {Queues: map[string]storedQueue{"lookup": {Eligible: -1}}},
		"work":   {Callers: []storedCaller{{Work: float32(math.Inf(1))}}},
		"time":   {Callers: []storedCaller{{LastUse: math.MinInt64}}},
	} {
		state, err := encoder.Marshal(s)
		require.NoError(t, err)
		value, err := encoder.Marshal(row{Version: formatVersion, State: state})
		require.NoError(t, err)
		_, _, err = Decode(value)
		require.ErrorContains(t, err, "digest: ", name)
	}
}

// FuzzDecode decodes arbitrary rows. Those that are valid must survive another round.
func FuzzDecode(f *testing.F) {
	for _, s := range []*State{{}, learned(3, 1, 2, 2)} {
		value, err := s.Encode(at)
		require.NoError(f, err)
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		s, _, err := Decode(value)
		if err != nil {
			return
		}
		again, err := s.Encode(at)
		require.NoError(t, err)
		require.LessOrEqual(t, len(again), MaxBytes)
		_, _, err = Decode(again)
		require.NoError(t, err)
	})
}
