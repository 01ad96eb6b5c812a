package dispatch_test

import (
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/upstream/target"
	"crocuswing/internal/upstream/warmup"

	"github.com/stretchr/testify/require"
)

var steadyLoad = load{interval: 8 * time.Millisecond, duration: 4 * time.Second, timeout: 240 * time.Millisecond}

// maxWarmup is the maximum duration of a warm-up under load: the required successes run one after another in each cold
// slot, each with a relay to the first home and back.
var maxWarmup = time.Duration(testContract.WarmAfter/testContract.ColdSlots) * (coldFactor*serviceTime + 2*oneWay + 2*hopLatency)

func isNotRun(err error) bool {
	var f *failure.Failure
	return errors.As(err, &f) && f.NotRun
}

// faultCase is one fault. The fleet has to pass check; a naive policy without limits has to pass naive, which shows that
// the fault is severe enough for the test to detect it.
type faultCase struct {
	name      string
	instances int // 4 if not set
	servers   []string
	isWarm    bool           // the servers are warm before the fault
	before    func(f *fleet) // runs before the load
	load      load
	fault     func(f *fleet)
	check     func(t *testing.T, f *fleet, o outcome)
	naive     func(t *testing.T, f *fleet, o outcome)
}

func TestFaults(t *testing.T) {
	for _, c := range append(coldCases(), loadCases()...) {
		t.Run(c.name, func(t *testing.T) { c.run(t) })
	}
}

func (c faultCase) run(t *testing.T) {
	for _, naive := range []bool{false, true} {
		check := c.check
		if naive {
			check = c.naive
		}
		if check == nil {
			continue
		}
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, max(4, c.instances), c.servers...)
			defer f.close()
			f.naive = naive
			if c.isWarm {
				f.naive = false
				f.run(load{interval: 8 * time.Millisecond, duration: time.Second, timeout: 240 * time.Millisecond})
				f.naive = naive
				f.resetCounts()
			}
			if c.before != nil {
				c.before(f)
			}
			if c.fault != nil {
				f.background.Go(func() { c.fault(f) })
			}
			o := f.run(c.load)
			s := f.servers["a"]
			t.Logf("naive=%t sent=%d done=%d refused=%d failed=%d, first server: %+v, warm after %s",
				naive, o.sent, o.done, o.refused, o.failed, s.counts(), s.warmAt.Sub(f.startedAt))
			check(t, f, o)
		})
	}
}

func coldCases() []faultCase {
	one := []string{"a"}
	return []faultCase{
		{name: "cold replica", servers: one, load: steadyLoad, check: warmsWithin(maxWarmup), naive: overloadsServer},
		{name: "whole cold service", servers: []string{"a", "b", "c"}, load: steadyLoad, check: warmsWithin(maxWarmup), naive: overloadsServer},
		{
			name: "canceled on a cold upstream", servers: one, load: load{interval: 8 * time.Millisecond, duration: 2 * time.Second, timeout: 20 * time.Millisecond},
			check: warmsWithin(maxWarmup), naive: overloadsServer,
		},
		{
			name: "restart without warning", servers: one, isWarm: true, load: steadyLoad,
			fault: restartAfter(time.Second), check: recoversWithin(serviceTime + 2*oneWay + hopLatency), naive: overloadsServer,
		},
		{
			name: "cold again, same incarnation", servers: one, isWarm: true, load: steadyLoad,
			fault: func(f *fleet) {
				time.Sleep(time.Second)
				s := f.servers["a"]
				s.withLock(func() {
					s.coldSuccessesLeft, s.recorded.restartedAt, s.reportedState = testContract.WarmAfter, time.Now(), "serving"
				})
			},
			check: recoversWithin(20 * coldFactor * serviceTime), naive: overloadsServer,
		},
		{
			name: "reports serving while cold", servers: one, load: steadyLoad,
			fault: func(f *fleet) { f.servers["a"].withLock(func() { f.servers["a"].reportedState = "serving" }) },
			check: warmsWithin(maxWarmup), naive: overloadsServer,
		},
		{
			name: "reports cold while warm", servers: one, isWarm: true, load: steadyLoad,
			fault: func(f *fleet) { f.servers["a"].withLock(func() { f.servers["a"].reportedState = "cold" }) },
			check: func(t *testing.T, _ *fleet, o outcome) {
				require.GreaterOrEqual(t, float64(o.done), 0.9*float64(o.sent), "the report may slow the upstream down but must not stop it")
			},
		},
		{
			name: "cold again while idle", servers: one, isWarm: true, before: restartWhileIdle, load: steadyLoad,
			check: func(t *testing.T, f *fleet, _ outcome) {
				require.Zero(t, f.servers["a"].counts().overload, "stale evidence must not prove the server warm")
				require.False(t, f.servers["a"].warmAt.IsZero(), "server did not become warm again")
			},
			naive: overloadsServer,
		},
		{name: "first home changes in warm-up", servers: one, load: steadyLoad, fault: replaceFirstHome, check: warmsWithin(maxWarmup + target.HandoverDelay)},
		{name: "first home lost in warm-up", servers: one, load: steadyLoad, fault: loseFirstHome, check: warmsWithin(maxWarmup + time.Second + target.HandoverDelay)},
		{name: "first home paused in warm-up", servers: one, load: steadyLoad, fault: pauseFirstHome, check: warmsWithin(maxWarmup + 2*time.Second)},
		{
			name: "two first homes", servers: one, load: steadyLoad, fault: partitionFleet,
			check: func(t *testing.T, f *fleet, _ outcome) {
				require.Equal(t, 2*testContract.ColdSlots, f.servers["a"].counts().maxCold, "each side of the partition uses the cold slots")
				require.False(t, f.servers["a"].warmAt.IsZero(), "server did not become warm")
			},
		},
	}
}

// warmsWithin checks that all servers become warm within bound and are never overloaded while cold.
func warmsWithin(bound time.Duration) func(*testing.T, *fleet, outcome) {
	return func(t *testing.T, f *fleet, _ outcome) {
		for _, s := range f.servers {
			require.Zero(t, s.counts().overload, "arrivals above the cold slots")
			require.False(t, s.warmAt.IsZero(), "server did not become warm")
			require.LessOrEqual(t, s.warmAt.Sub(f.startedAt), bound, "duration of the warm-up")
		}
	}
}

// recoversWithin checks that the server becomes warm again, and that it gets more requests than its cold slots only within
// bound after it became cold, that is, before the instances can detect it.
func recoversWithin(bound time.Duration) func(*testing.T, *fleet, outcome) {
	return func(t *testing.T, f *fleet, _ outcome) {
		s := f.servers["a"]
		c := s.counts()
		require.False(t, c.restartedAt.IsZero())
		require.LessOrEqual(t, c.lastOverload.Sub(c.restartedAt), bound, "arrivals above the cold slots")
		require.LessOrEqual(t, c.maxCold, max(testContract.Slots, testContract.HomeCount(4)), "requests in flight when the server became cold")
		require.False(t, s.warmAt.IsZero(), "server did not become warm again")
	}
}

// overloadsServer checks that the naive policy overloads the server and keeps it cold.
func overloadsServer(t *testing.T, f *fleet, _ outcome) {
	require.Greater(t, f.servers["a"].counts().overload, testContract.WarmAfter, "the naive policy must overload the server")
	warmAt := f.servers["a"].warmAt
	require.True(t, warmAt.IsZero() || warmAt.After(f.loadEnded), "the naive policy must keep the server cold under load")
}

func restartAfter(wait time.Duration) func(*fleet) {
	return func(f *fleet) {
		time.Sleep(wait)
		f.servers["a"].restart()
	}
}

// restartWhileIdle restarts the server while nothing is in flight, so that no home can detect it.
func restartWhileIdle(f *fleet) {
	time.Sleep(warmup.MaxEvidenceAge + time.Second)
	f.servers["a"].restart()
}

// replaceFirstHome removes the first home from the list during the warm-up. The instance itself still runs and gets the
// list.
func replaceFirstHome(f *fleet) {
	time.Sleep(2 * coldFactor * serviceTime)
	f.publishTo(f.instances(), without(f.instances(), f.firstHome("a").name), nil)
}

func without(names []string, name string) []string {
	return slices.DeleteFunc(names, func(other string) bool { return other == name })
}

// loseFirstHome stops the first home during the warm-up. The list shows it a second later.
func loseFirstHome(f *fleet) {
	time.Sleep(2 * coldFactor * serviceTime)
	lost := f.firstHome("a")
	lost.stopped.Store(true)
	time.Sleep(time.Second)
	f.publish(without(f.instances(), lost.name), nil)
}

func pauseFirstHome(f *fleet) {
	time.Sleep(2 * coldFactor * serviceTime)
	resume := f.firstHome("a").pause()
	time.Sleep(2 * time.Second)
	resume()
}

// partitionFleet splits the fleet into two sides, each with a view that lists only its own instances.
func partitionFleet(f *fleet) {
	f.servers["a"].withLock(func() { f.servers["a"].extraColdSlots = testContract.ColdSlots })
	first := f.firstHome("a").name
	sideA, sideB := []string{first}, []string{}
	for _, name := range f.instances() {
		if name != first && len(sideA) < 2 {
			sideA = append(sideA, name)
		} else if name != first {
			sideB = append(sideB, name)
		}
	}
	inSideA := map[string]bool{sideA[0]: true, sideA[1]: true}
	f.partition(func(a, b string) bool { return inSideA[a] != inSideA[b] })
	f.publish(sideA, nil)
	f.publish(sideB, nil)
}
