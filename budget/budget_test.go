package budget

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const mb = 1 << 20

// openAccount opens an account that is closed as soon as it is evicted, and reports that to
// evicted.
func openAccount(b *Budget, evicted func()) *Account {
	var a *Account
	a = b.Open(func() {
		evicted()
		a.Close()
	})
	return a
}

func TestStalestRequestGivesWay(t *testing.T) {
	b := &Budget{Limit: 4 * mb}
	evicted := []int{}
	var accounts []*Account
	for i := range 4 {
		accounts = append(accounts, openAccount(b, func() { evicted = append(evicted, i) }))
		require.True(t, accounts[i].Resize(mb))
		if i == 2 {
			accounts[0].Touch()
		}
	}
	require.Equal(t, []int{1}, evicted, "large requests get three quarters")
	require.True(t, accounts[1].Evicted())
	require.False(t, accounts[1].Resize(1), "an evicted request gets nothing")
	require.False(t, accounts[1].Complete())
	require.True(t, accounts[2].Complete())
	require.True(t, accounts[3].Complete())
	last := b.Open(func() {})
	require.True(t, last.Resize(mb))
	require.Equal(t, []int{1, 0}, evicted)
	require.True(t, last.Complete())
	require.False(t, b.Open(func() {}).Resize(mb), "complete requests do not give way")
	require.EqualValues(t, 1, b.Refused.Load())
	accounts[2].Close()
	require.True(t, b.Open(func() {}).Resize(mb))
}

// TestRoomIsThereOnceTheEvictedRequestIsClosed guards against requests that are told to give
// way and hold their bytes a little longer, while others take them already.
func TestRoomIsThereOnceTheEvictedRequestIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Budget{Limit: 4 * mb}
		evicted := 0
		first := b.Open(func() { evicted++ })
		require.True(t, first.Resize(3*mb))
		done := make(chan bool)
		for range 2 {
			go func() { done <- b.Open(func() {}).Resize(mb) }()
		}
		synctest.Wait()
		require.Equal(t, 1, evicted)
		require.EqualValues(t, 3*mb, b.Used())
		first.Close()
		require.True(t, <-done)
		require.True(t, <-done)
	})
}

func TestEvictedRequestStopsWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Budget{Limit: 4 * mb}
		first := b.Open(func() {})
		require.True(t, first.Resize(2*mb))
		second := b.Open(func() {})
		require.True(t, second.Resize(mb))
		waiting := make(chan bool)
		go func() { waiting <- second.Resize(2 * mb) }() // the first one gives way
		synctest.Wait()
		go func() { waiting <- b.Open(func() {}).Resize(3 * mb) }() // the second one does too
		synctest.Wait()
		require.False(t, <-waiting)
		second.Close()
		first.Close()
		require.True(t, <-waiting)
	})
}

// TestMessagesWaitForThoseThatHaveNotStopped resizes without waiting.
func TestMessagesWaitForThoseThatHaveNotStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Budget{Limit: 4 * mb}
		first := openAccount(b, func() {})
		require.True(t, first.TryResize(3*mb, time.Second))
		second := b.Open(func() {})
		require.False(t, second.TryResize(mb, time.Second))
		time.Sleep(900 * time.Millisecond)
		first.Touch()
		time.Sleep(900 * time.Millisecond)
		require.False(t, second.TryResize(mb, time.Second))
		require.False(t, first.Evicted())
		time.Sleep(100 * time.Millisecond)
		require.False(t, second.TryResize(mb, time.Second))
		require.True(t, first.Evicted())
		require.True(t, second.TryResize(mb, time.Second))
	})
}

func TestLargeRequestsLeaveRoomForSmallOnes(t *testing.T) {
	b := &Budget{Limit: 4 * mb}
	for range 3 {
		a := b.Open(func() {})
		require.True(t, a.Resize(mb))
		require.True(t, a.Complete())
	}
	require.False(t, b.Open(func() {}).Resize(smallBytes+1))
	for range mb / smallBytes {
		require.True(t, b.Open(func() {}).Resize(smallBytes))
	}
	require.Zero(t, b.Evicted.Load())
}

func TestRequestThatNeverFitsEvictsNobody(t *testing.T) {
	b := &Budget{Limit: 4 * mb}
	require.True(t, b.Open(func() {}).Resize(mb))
	require.False(t, b.Open(func() {}).Resize(4*mb))
	require.Zero(t, b.Evicted.Load())
}

func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &Budget{Limit: rapid.Int64Range(1, 1<<20).Draw(t, "limit")}
		accounts := map[*Account]bool{} // whether it was evicted
		var open []*Account
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(open) == 0 || rapid.Bool().Draw(t, "new") {
				var a *Account
				a = openAccount(b, func() {
					require.False(t, accounts[a], "evicted twice")
					accounts[a] = true
				})
				open = append(open, a)
			}
			a := rapid.SampledFrom(open).Draw(t, "account")
			switch rapid.IntRange(0, 4).Draw(t, "call") {
			case 0, 1:
				fits := a.Resize(rapid.Int64Range(0, 200<<10).Draw(t, "size"))
				require.False(t, fits && accounts[a])
			case 2:
				a.Touch()
			case 3:
				require.Equal(t, !accounts[a], a.Complete())
			case 4:
				a.Close()
			}
			sum := int64(0)
			for _, a := range open {
				sum += a.held
			}
			require.Equal(t, sum, b.Used())
			require.LessOrEqual(t, sum, b.Limit)
		}
		for _, a := range open {
			a.Close()
		}
		require.Zero(t, b.Used())
	})
}
