package promise

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	now   = time.Minute
	never = time.Hour
)

func caller(job string, rank int, firstSeen time.Duration) Caller {
	return Caller{Job: job, Team: "blue", Rank: rank, Work: 10, Cores: 2, FirstSeen: firstSeen, ReturnAt: now + 3*time.Second, LastUse: now + 30*time.Second}
}

func TestPlacesOrderCallersByRankAndFirstSubmission(t *testing.T) {
	var b Book
	b.Refuse(caller("urgent", 0, now), now)
	b.Refuse(caller("early", 1, now-2*time.Second), now)
	b.Refuse(caller("late", 1, now-time.Second), now)
	work, cores := b.Ahead(caller("new", 1, now), "", now, never)
	require.InDelta(t, 30, work, 1e-9)
	require.InDelta(t, 6, cores, 1e-9)
	work, _ = b.Ahead(caller("early", 1, now-2*time.Second), "", now, never)
	require.InDelta(t, 10, work, 1e-9, "a returning caller waits only for the urgent one")
	work, _ = b.Ahead(caller("new", 0, now-time.Minute), "", now, never)
	require.Zero(t, work)
	work, _ = b.Ahead(caller("new", 1, now), "red", now, never)
	require.Zero(t, work, "callers of another team")
	work, _ = b.Ahead(caller("new", 1, now), "", now, now+time.Second)
	require.Zero(t, work, "callers that are due later")
}

func TestPlacesLapseAndAreGivenOnce(t *testing.T) {
	var b Book
	b.Refuse(caller("a", 1, now), now)
	b.Refuse(caller("b", 1, now), now)
	c, ok := b.Redeem("a", now+3*time.Second)
	require.True(t, ok)
	require.Equal(t, now, c.FirstSeen)
	_, ok = b.Redeem("a", now+3*time.Second)
	require.False(t, ok)
	after := now + 3*time.Second + Lapse + 1
	work, _ := b.Ahead(caller("new", 1, after), "", after, never)
	require.Zero(t, work)
	b.Expire(after)
	c, ok = b.Lookup("b", after)
	require.True(t, ok, "its first submission is remembered")
	require.Equal(t, now, c.FirstSeen)
	b.Expire(now + 31*time.Second)
	require.Zero(t, b.Len())
}

// TestCallersWhoStayAwayHoldUpNobody refuses many callers that never come back.
func TestCallersWhoStayAwayHoldUpNobody(t *testing.T) {
	var b Book
	at := now
	for i := range 400 {
		c := caller(fmt.Sprint(i), 1, at)
		c.ReturnAt, c.LastUse = at+time.Second, at+10*time.Second
		b.Refuse(c, at)
		b.Expire(at)
		at += 100 * time.Millisecond
	}
	work, _ := b.Ahead(caller("new", 1, at), "", at, never)
	require.Less(t, work, 0.1*10*20, "a tenth of what is promised")
}

func TestBookIsBounded(t *testing.T) {
	var b Book
	for i := range maxCallers + 10 {
		b.Refuse(caller(fmt.Sprint(i), 1, now), now)
	}
	b.Refuse(caller("urgent", 0, now), now)
	require.Equal(t, maxCallers, b.Len())
	_, ok := b.Lookup("urgent", now)
	require.True(t, ok)
}

func TestSnapshotCarriesPlacesToAnotherClock(t *testing.T) {
	var b, successor Book
	b.Refuse(caller("a", 1, now-time.Second), now)
	b.Refuse(caller("b", 1, now-time.Second), now)
	const later = 5 * time.Hour
	successor.Refuse(Caller{Job: "b", FirstSeen: later, ReturnAt: later + time.Second, LastUse: later + time.Minute}, later)
	successor.Restore(b.Snapshot(now), later, 2*time.Second)
	a, ok := successor.Lookup("a", later)
	require.True(t, ok)
	require.Equal(t, later-3*time.Second, a.FirstSeen)
	require.Equal(t, later+time.Second, a.ReturnAt)
	again, _ := successor.Lookup("b", later)
	require.Equal(t, later-3*time.Second, again.FirstSeen)
	require.Equal(t, later+time.Second, again.ReturnAt)
}

// TestCallersDueWhileThereWasNoOwnerDoNotCountAsAway restores a book whose callers could
// reach nobody when they were due.
func TestCallersDueWhileThereWasNoOwnerDoNotCountAsAway(t *testing.T) {
	var b, successor Book
	for i := range 50 {
		b.Refuse(caller(fmt.Sprint(i), 1, now), now)
	}
	successor.Restore(b.Snapshot(now), now, 10*time.Second)
	successor.Expire(now)
	require.Zero(t, successor.away)
	c, ok := successor.Redeem("1", now)
	require.True(t, ok)
	require.Equal(t, now-10*time.Second, c.FirstSeen)
	require.Zero(t, successor.away)
}

// TestCallersReturnSpreadInAnOutage checks that callers neither come back in one second
// nor after their jobs are of use.
func TestCallersReturnSpreadInAnOutage(t *testing.T) {
	for _, age := range []time.Duration{0, 2 * time.Second, 6 * time.Second, time.Minute} {
		seconds := map[time.Duration]int{}
		for i := range 200 {
			delay := OutageDelay(fmt.Sprint("job-", i), age, never)
			require.GreaterOrEqual(t, delay, time.Second)
			require.LessOrEqual(t, delay, max(2*time.Second, age))
			seconds[delay.Round(time.Second)]++
			require.LessOrEqual(t, OutageDelay(fmt.Sprint("job-", i), age, 2500*time.Millisecond), 2*time.Second)
		}
		for _, n := range seconds {
			require.Less(t, n, 150, "age %v: %v", age, seconds)
		}
	}
}

// TestFullBooksAgree fills two books in the same way. What they keep must not depend on
// chance, nor what comes ahead.
func TestFullBooksAgree(t *testing.T) {
	var one, other Book
	for i := range maxCallers + 50 {
		c := caller(fmt.Sprint("job-", i), 1, now)
		c.Work, c.Cores = 1/float64(i+3), 1/float64(i+7)
		one.Refuse(c, now)
		other.Refuse(c, now)
	}
	require.Equal(t, one.callers, other.callers)
	for range 10 {
		work, cores := one.Ahead(caller("new", 2, now), "", now, never)
		again, coresAgain := other.Ahead(caller("new", 2, now), "", now, never)
		require.Equal(t, [2]float64{work, cores}, [2]float64{again, coresAgain})
	}
}

// TestOnlyCallersAheadTakeTime asks a full book for the callers ahead of an urgent job, which
// are none, and of a late one. An owner asks up to four times for each submission of a burst.
func TestOnlyCallersAheadTakeTime(t *testing.T) {
	var b Book
	for i := range maxCallers {
		b.Refuse(caller(fmt.Sprint("job-", i), 1, now), now)
	}
	cost := func(rank int) time.Duration {
		least := time.Hour
		for range 100 {
			start := time.Now()
			b.Ahead(caller("new", rank, now), "", now, never)
			least = min(least, time.Since(start))
		}
		return least
	}
	require.Less(t, cost(0), cost(2)/5)
}
