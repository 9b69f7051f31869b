package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	checks = Class{Queue: "check", Team: "blue"}
	packs  = Class{Queue: "pack", Team: "blue"}
)

func young(c Class) Run {
	return Run{Record: &Record{}, Class: c, Number: 1, Age: 10 * time.Millisecond}
}

// onProbation returns a run of a record that is the only one on probation on its worker.
func onProbation(r *Record, c Class, n uint64) Run {
	return Run{Record: r, Class: c, Number: n, Age: 10 * time.Millisecond, Probation: true}
}

func TestYoungRunsBecomeSuspects(t *testing.T) {
	var l Ledger
	old := Run{Record: &Record{}, Class: packs, Number: 1, Age: 10 * time.Second}
	findings := l.Judge(Crash{Worker: "w1", At: time.Second, Runs: []Run{young(checks), old}})
	require.Equal(t, []Finding{Suspected, Unsuspected}, findings)
	require.False(t, old.Suspect)
	require.Equal(t, []string{"w1"}, old.Workers)
}

func TestOldRunBecomesSuspectAtItsSecondCrash(t *testing.T) {
	var l Ledger
	old := Run{Record: &Record{}, Class: packs, Number: 1, Age: 10 * time.Second}
	l.Judge(Crash{Worker: "w1", At: time.Second, Runs: []Run{old}})
	old.Number = 2
	require.Equal(t, []Finding{Suspected}, l.Judge(Crash{Worker: "w2", At: 20 * time.Second, Runs: []Run{old}}))
	require.Greater(t, l.Probation(packs, old.Record), 10*time.Second)
}

// An innocent task that stood beside a guilty one twice was failed with it.
func TestCrashesBesideOthersProveNothing(t *testing.T) {
	var l Ledger
	a, b := young(checks), young(checks)
	for n := range uint64(2) {
		a.Number, b.Number = n+1, n+1
		findings := l.Judge(Crash{Worker: fmt.Sprint(n), At: time.Duration(n) * time.Second, Runs: []Run{a, b}})
		require.Equal(t, []Finding{Suspected, Suspected}, findings)
	}
}

func TestCrashOnProbationProves(t *testing.T) {
	var l Ledger
	r := &Record{}
	require.Equal(t, []Finding{Suspected}, l.Judge(Crash{Worker: "w1", At: time.Second, Runs: []Run{onProbation(r, checks, 1)}}))
	beside := Run{Record: &Record{}, Class: packs, Number: 1, Age: time.Second}
	findings := l.Judge(Crash{Worker: "w2", At: 5 * time.Second, Runs: []Run{beside, onProbation(r, checks, 2)}})
	require.Equal(t, []Finding{Unsuspected, Guilty}, findings)
}

func TestOneProofIsEnoughInAClassThatCrashesWorkers(t *testing.T) {
	for _, others := range []int{0, strongEvidence} {
		var l Ledger
		r := young(checks)
		l.Judge(Crash{Worker: "w1", At: time.Second, Runs: []Run{r, young(checks)}})
		for n := range others {
			l.Judge(Crash{Worker: fmt.Sprint("x", n), At: time.Second, Runs: []Run{onProbation(&Record{}, checks, 1)}})
		}
		want := Suspected
		if others > 0 {
			want = Guilty
		}
		require.Equal(t, []Finding{want}, l.Judge(Crash{Worker: "w2", At: 5 * time.Second, Runs: []Run{onProbation(r.Record, checks, 2)}}))
	}
}

func TestSameWorkerTwiceProvesNothing(t *testing.T) {
	var l Ledger
	r := &Record{}
	for n := range uint64(3) {
		findings := l.Judge(Crash{Worker: "w1", At: time.Duration(n) * time.Second, Runs: []Run{onProbation(r, checks, n+1)}})
		require.Equal(t, []Finding{Suspected}, findings)
	}
}

// A task that crashed each worker was started without end.
func TestCrashesAreCapped(t *testing.T) {
	var l Ledger
	r := young(checks)
	for n := range uint64(maxCrashes) {
		r.Number = n + 1
		finding := l.Judge(Crash{Worker: fmt.Sprint(n), At: time.Duration(n) * time.Second, Mass: true, Runs: []Run{r}})[0]
		require.Equal(t, n+1 == maxCrashes, finding == Guilty, n)
		require.Equal(t, n+1 >= aloneFrom, r.Alone())
	}
}

// An innocent task that stood in three crashes of a whole rack was failed.
func TestMassCrashesProveNothing(t *testing.T) {
	var l Ledger
	r := &Record{}
	for n := range uint64(3) {
		findings := l.Judge(Crash{Worker: fmt.Sprint(n), At: time.Duration(n) * time.Second, Mass: true, Runs: []Run{onProbation(r, checks, n+1)}})
		require.NotEqual(t, Guilty, findings[0])
	}
	require.True(t, l.Quiet())
	old := Run{Record: &Record{}, Class: checks, Number: 1, Age: time.Minute}
	l.Judge(Crash{Worker: "w", Mass: true, Runs: []Run{old}})
	require.True(t, old.Empty())
	r.Clear(LongLife)
	require.True(t, r.Empty())
}

func TestWorkerThatCrashesByItselfProvesNothing(t *testing.T) {
	var l Ledger
	r := &Record{}
	l.Judge(Crash{Worker: "w0", Address: "a", At: 0})
	l.Judge(Crash{Worker: "w1", Address: "b", At: time.Second, Runs: []Run{onProbation(r, checks, 1)}})
	require.Equal(t, []Finding{Suspected}, l.Judge(Crash{Worker: "w2", Address: "a", At: 5 * time.Second, Runs: []Run{onProbation(r, checks, 2)}}))
	require.Equal(t, 1, r.Proofs)
}

func TestRunOfAGangCountsOnce(t *testing.T) {
	var l Ledger
	gang := onProbation(&Record{}, packs, 1)
	gang.Gang = true
	l.Judge(Crash{Worker: "w1", At: time.Second, Runs: []Run{gang}})
	l.Judge(Crash{Worker: "w2", At: time.Second, Runs: []Run{gang}})
	require.Equal(t, []string{"w1"}, gang.Workers)
}

func TestClassIsEndangeredByTwoCrashesOrOneCulprit(t *testing.T) {
	var l Ledger
	l.Judge(Crash{Worker: "w1", At: time.Second, Runs: []Run{young(checks)}})
	_, endangered := l.Scope(checks)
	require.False(t, endangered)
	l.Judge(Crash{Worker: "w2", At: 2 * time.Second, Runs: []Run{young(checks)}})
	scope, endangered := l.Scope(checks)
	require.True(t, endangered)
	require.Equal(t, checks, scope)
	_, endangered = l.Scope(Class{Queue: "check", Team: "red"})
	require.False(t, endangered)

	l = Ledger{}
	l.Judge(Crash{Worker: "w1", At: time.Second, Runs: []Run{onProbation(&Record{}, packs, 1)}})
	_, endangered = l.Scope(packs)
	require.True(t, endangered)
	l.Expire(time.Second + memory + 1)
	require.True(t, l.Quiet())
}

func TestSecondTeamEndangersTheQueue(t *testing.T) {
	var l Ledger
	for i, team := range []string{"blue", "red"} {
		l.Judge(Crash{Worker: fmt.Sprint(i), At: time.Second, Runs: []Run{onProbation(&Record{}, Class{"check", team}, 1)}})
	}
	scope, endangered := l.Scope(Class{"check", "green"})
	require.True(t, endangered)
	require.Equal(t, Class{Queue: "check"}, scope)
}

func TestSilentWorkersAreEvidenceUntilTheyAnswer(t *testing.T) {
	var l Ledger
	for i := range 2 {
		l.Suspect(Crash{Worker: fmt.Sprint(i), At: time.Second, Runs: []Run{young(checks)}})
	}
	require.Equal(t, 1, l.Endangered())
	l.Withdraw("0")
	l.Withdraw("1")
	require.True(t, l.Quiet())
}

func TestLimitGrowsBySuccessesAndShrinksByCrashes(t *testing.T) {
	const workers = 48
	var l Ledger
	crash := func() {
		l.Judge(Crash{Worker: "w", At: time.Second, Runs: []Run{onProbation(&Record{}, checks, 1)}})
	}
	crash()
	require.Equal(t, 8, l.Limit(checks, workers))
	for range 100 {
		l.Survived(checks)
	}
	require.Equal(t, 19, l.Limit(checks, workers))
	crash()
	require.Equal(t, 9, l.Limit(checks, workers))
	for range 10 {
		crash()
	}
	require.Equal(t, workers/8, l.Limit(checks, workers))
	require.Equal(t, minLimit, l.Limit(checks, 1))
	for range 30 {
		crash()
	}
	for range 10 {
		l.Survived(checks)
	}
	require.Equal(t, workers/5, l.Limit(checks, workers), "most of its tasks crash their worker")
}

// A class that only stood beside the guilty one was limited as long.
func TestClassWithoutCulpritIsAcquitted(t *testing.T) {
	var l Ledger
	for i := range 2 {
		l.Judge(Crash{Worker: fmt.Sprint(i), At: time.Second, Runs: []Run{young(checks), young(packs)}})
	}
	l.Judge(Crash{Worker: "2", At: time.Second, Runs: []Run{onProbation(&Record{}, checks, 1), young(packs)}})
	for range acquittal {
		l.Survived(packs)
		l.Survived(checks)
	}
	l.Expire(2 * time.Second)
	_, endangered := l.Scope(packs)
	require.False(t, endangered)
	_, endangered = l.Scope(checks)
	require.True(t, endangered)
}

// Tasks of a class of which few crash their worker waited as long as those of a class of
// which many do.
func TestRunsOnProbationWeighLessInASafeClass(t *testing.T) {
	var l Ledger
	l.Judge(Crash{Worker: "w", At: time.Second, Runs: []Run{onProbation(&Record{}, checks, 1)}})
	require.InDelta(t, 1, l.Weight(checks), 1e-9)
	for range 1000 {
		l.Survived(checks)
	}
	require.InDelta(t, minWeight, l.Weight(checks), 1e-9)
}

// The second crash of a known suspect, which is expected, held up the whole class.
func TestCrashOfASuspectLeavesTheLimit(t *testing.T) {
	var l Ledger
	r := &Record{}
	l.Judge(Crash{Worker: "w1", At: time.Second, Runs: []Run{onProbation(r, checks, 1)}})
	before := l.Limit(checks, 48)
	l.Suspect(Crash{Worker: "w2", At: 2 * time.Second, Runs: []Run{onProbation(r, checks, 2)}})
	l.Judge(Crash{Worker: "w2", At: 2 * time.Second, Runs: []Run{onProbation(r, checks, 2)}})
	require.Equal(t, before, l.Limit(checks, 48))
}

func TestProbationFollowsTheDelayOfCrashes(t *testing.T) {
	var l Ledger
	first := l.Probation(checks, &Record{})
	l.Judge(Crash{Worker: "w", At: time.Second, Runs: []Run{onProbation(&Record{}, checks, 1)}})
	require.Less(t, l.Probation(checks, &Record{}), first/2)
	require.False(t, l.Young(checks, 400*time.Millisecond))
	require.True(t, l.Young(packs, 400*time.Millisecond))
}

// An innocent task on probation was named by crashes of a task beside it that crashes its
// workers late.
func TestTaskThatCrashedBeforeLeavesNoProofAgainstOthers(t *testing.T) {
	var l Ledger
	late := Run{Record: &Record{}, Class: packs, Number: 1, Age: 600 * time.Millisecond}
	innocent := &Record{}
	l.Judge(Crash{Worker: "w1", At: time.Second, Runs: []Run{late, onProbation(innocent, checks, 1)}})
	require.Equal(t, []string{"w1"}, late.Workers)
	findings := l.Judge(Crash{Worker: "w2", At: 5 * time.Second, Runs: []Run{late, onProbation(innocent, checks, 2)}})
	require.Equal(t, []Finding{Suspected, Suspected}, findings)
	require.Equal(t, 1, innocent.Proofs)
}

// ofGang returns a run of a gang whose given members were on the worker that crashed.
func ofGang(r *Record, n uint64, age time.Duration, members ...int) Run {
	return Run{Record: r, Class: packs, Number: n, Age: age, Probation: true, Gang: true, Members: members}
}

// crashingFleet returns a ledger that knows of workers that crash by themselves.
func crashingFleet() *Ledger {
	l := &Ledger{}
	for i := range 3 {
		l.Started(packs, 3, 0)
		l.Judge(Crash{Worker: fmt.Sprint("s", i), Address: fmt.Sprint("s", i)})
	}
	return l
}

// An innocent gang was given up whose workers crashed by themselves, some of them early.
func TestGangHitByChanceIsNotGivenUp(t *testing.T) {
	for _, l := range []*Ledger{{}, crashingFleet()} {
		r := &Record{}
		for n := range uint64(20) {
			age := []time.Duration{100 * time.Millisecond, 2 * time.Second, 150 * time.Millisecond, 3 * time.Second}[n%4]
			crash := Crash{Worker: fmt.Sprint(n), Address: fmt.Sprint(n), At: time.Duration(n) * time.Second, Runs: []Run{ofGang(r, n+1, age, int(n))}}
			require.NotContains(t, l.Judge(crash), Guilty, n)
		}
	}
}

// The same member was hit each time, but had gone on for longer in between.
func TestCrashesThatARunHasOutlivedAreTakenBack(t *testing.T) {
	l, r := crashingFleet(), &Record{}
	for n := range uint64(20) {
		run := ofGang(r, n+1, 100*time.Millisecond, 3, 4)
		require.NotContains(t, l.Judge(Crash{Worker: fmt.Sprint(n), Address: fmt.Sprint(n), Runs: []Run{run}}), Guilty, n)
		if n%2 == 0 {
			continue
		}
		r.MemberOutlived(3, time.Second)
		require.NotEmpty(t, r.Workers, "member 4 may have caused them")
		r.MemberOutlived(4, 350*time.Millisecond)
		require.NotEmpty(t, r.Workers, "hardly longer than the crashes took")
		r.MemberOutlived(4, time.Second)
		require.True(t, r.Empty())
		require.False(t, r.Suspect)
		require.Zero(t, r.Proofs)
	}

	r = &Record{}
	for n, age := range []time.Duration{100 * time.Millisecond, 2 * time.Second, 0} {
		l.Judge(Crash{Worker: fmt.Sprint(n), Address: fmt.Sprint(n), Runs: []Run{{Record: r, Class: checks, Number: uint64(n), Age: age}}})
	}
	r.Outlived(time.Second)
	require.Equal(t, []string{"1", "2"}, r.Workers, "a run outlived a crash at an age that is not known")
	require.Equal(t, []time.Duration{2 * time.Second, 0}, r.Ages)
}

func TestGangWithACrashingMemberIsGivenUpAmongChanceCrashes(t *testing.T) {
	for age, limit := range map[time.Duration]int{10 * time.Millisecond: maxCrashes, time.Second: maxInconclusiveCrashes} {
		l, r := crashingFleet(), &Record{}
		judge := func(n, member int) Finding {
			return l.Judge(Crash{Worker: fmt.Sprint(n), Address: fmt.Sprint(n), Runs: []Run{ofGang(r, uint64(n), age, member, 20+n)}})[0]
		}
		for n := range limit - 1 {
			require.NotEqual(t, Guilty, judge(2*n+1, 7), n)
			require.NotEqual(t, Guilty, judge(2*n+2, n), n) // by chance
		}
		require.Equal(t, Guilty, judge(100, 7))
	}
}

// Members that crash their workers together were taken for innocent ones hit in turn.
func TestMembersThatCrashTogetherAreNoContradiction(t *testing.T) {
	var l Ledger
	r := &Record{}
	for n := range uint64(minGangCrashes) {
		for i := range 3 { // in another order each time
			member := (int(n) + i) % 3
			findings := l.Judge(Crash{Worker: fmt.Sprint(n, member), Address: fmt.Sprint(n, member), Runs: []Run{ofGang(r, n+1, 10*time.Millisecond, member)}})
			if i == 0 {
				require.Equal(t, n+1 == minGangCrashes, findings[0] == Guilty, n)
			}
		}
	}
}

func TestGangsOfEarlierVersionsAreCapped(t *testing.T) {
	l, ages := crashingFleet(), []time.Duration{10 * time.Millisecond, 20 * time.Millisecond, 10 * time.Millisecond}
	r := &Record{Workers: []string{"1", "2", "3"}, Ages: ages, Run: 3}
	require.Equal(t, []Finding{Guilty}, l.Judge(Crash{Worker: "4", Runs: []Run{ofGang(r, 4, 10*time.Millisecond, 5)}}))
}

func TestLastCrashIsRepeatedAfterALikeTime(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		ages []time.Duration
		want bool
	}{
		{nil, false},
		{[]time.Duration{second}, false},
		{[]time.Duration{second, 1200 * time.Millisecond}, true},
		{[]time.Duration{second, 3 * second}, false},
		{[]time.Duration{second, second, 3 * second}, false},
	} {
		r := Record{Ages: c.ages}
		for i := range c.ages {
			r.Workers = append(r.Workers, fmt.Sprint("w", i))
		}
		require.Equal(t, c.want, r.Repeated(), c.ages)
	}
	require.True(t, (&Record{Workers: []string{"w1", "w2"}}).Repeated(), "ages not known")
	require.Empty(t, (&Record{}).LastWorker())
	require.Equal(t, "w2", (&Record{Workers: []string{"w1", "w2"}}).LastWorker())
}

// chanceCrash plays the starts of a class on a fleet until a crash by chance, and returns the
// crash. A worker runs tasks of the class in turn, rate of them a second.
func chanceCrash(l *Ledger, rng *rand.Rand, n int, class Class, rate float64, now *time.Duration) Crash {
	const workers, perSecond = 48, 2
	gap := time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
	for from, at := *now, *now; ; {
		at += time.Duration(rng.ExpFloat64() / (rate * workers) * float64(time.Second))
		if at > from+gap {
			*now = from + gap
			break
		}
		l.Started(class, workers, at)
	}
	age := time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
	return Crash{Worker: fmt.Sprint(n), Address: fmt.Sprint(rng.IntN(workers)), At: *now, Runs: []Run{{Record: &Record{}, Class: class, Number: 1, Age: age}}}
}

// Workers that crashed by themselves under a busy class made it one that crashes workers.
func TestCrashesByChanceRarelyAccuse(t *testing.T) {
	const crashes = 20_000
	for _, rate := range []float64{0.05, 0.5, 5} {
		var l Ledger
		rng, now, accused := rand.New(rand.NewPCG(1, 2)), time.Duration(0), 0
		for n := range crashes {
			l.Judge(chanceCrash(&l, rng, n, checks, rate, &now))
			if l.Endangered() > 0 {
				accused++
				l.classes = nil
			}
			l.Expire(now)
		}
		require.Less(t, accused, crashes/accusation, "at %v starts a second", rate)
	}
}

func TestClassThatCrashesWorkersIsAccusedAmongChanceCrashes(t *testing.T) {
	var l Ledger
	rng, now := rand.New(rand.NewPCG(1, 2)), time.Duration(0)
	for n := range 20 {
		l.Judge(chanceCrash(&l, rng, n, packs, 0.5, &now))
	}
	for i := range 100 {
		l.Started(checks, 48, now-time.Duration(100-i)*10*time.Millisecond)
	}
	for n := range 3 {
		l.Judge(Crash{Worker: fmt.Sprint("x", n), At: now + time.Duration(n)*100*time.Millisecond, Runs: []Run{young(checks)}})
	}
	_, endangered := l.Scope(checks)
	require.True(t, endangered)
}

// A start that an earlier owner had stored and never sent counted as one of the two workers that
// a task must have crashed, and its job was failed after one.
func TestRunThatMayNotHaveBegunIsNoSecondWorker(t *testing.T) {
	var l Ledger
	for n := range strongEvidence {
		l.Judge(Crash{Worker: fmt.Sprint("x", n), At: time.Second, Runs: []Run{onProbation(&Record{}, checks, 1)}})
	}
	r := &Record{}
	l.Judge(Crash{Worker: "w1", At: time.Second, Runs: []Run{{Record: r, Class: checks, Number: 1}}})
	require.Equal(t, []Finding{Suspected}, l.Judge(Crash{Worker: "w2", At: 5 * time.Second, Runs: []Run{onProbation(r, checks, 2)}}))
	require.Equal(t, []Finding{Guilty}, l.Judge(Crash{Worker: "w3", At: 9 * time.Second, Runs: []Run{onProbation(r, checks, 3)}}))
}

// A task whose owners died after each crash was started without end.
func TestCrashesOfUnknownAgeAreCapped(t *testing.T) {
	var l Ledger
	r := &Record{}
	for n := range uint64(maxInconclusiveCrashes) {
		finding := l.Judge(Crash{Worker: fmt.Sprint(n), At: time.Duration(n) * time.Second, Runs: []Run{{Record: r, Class: checks, Number: n + 1}}})[0]
		require.Equal(t, n+1 == maxInconclusiveCrashes, finding == Guilty, n)
	}
}

// A task that crashed its workers at another age each time was started without end.
func TestCrashesAtAnyAgeAreCapped(t *testing.T) {
	for _, byChance := range []int{0, 60} {
		var l Ledger
		l.Started(packs, 48, 0)
		for n := range byChance {
			l.Judge(Crash{Worker: fmt.Sprint("c", n), At: time.Duration(n) * time.Second / 3, Runs: []Run{{Record: &Record{}, Class: packs, Number: 1, Age: time.Minute}}})
		}
		r := &Record{}
		for n, age := range []time.Duration{200 * time.Millisecond, 900 * time.Millisecond, 1800 * time.Millisecond, 3 * time.Second} {
			r.Outlived(age)
			at := time.Duration(byChance/3+4*n) * time.Second
			finding := l.Judge(Crash{Worker: fmt.Sprint(n), At: at, Runs: []Run{{Record: r, Class: checks, Number: uint64(n), Age: age}}})[0]
			require.Equal(t, n == maxCrashes-1 && byChance == 0, finding == Guilty, "crash %d beside %d by chance", n, byChance)
		}
	}
}
