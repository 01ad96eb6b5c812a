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

var steady = load{interval: 8 * time.Millisecond, lasts: 4 * time.Second, timeout: 240 * time.Millisecond}

// warmBound is the stated time of a warm-up under load: its successes one after the other through
// the cold slots, each with the way to the first home and back.
var warmBound = time.Duration(bounds.WarmAfter/bounds.ColdSlots) * (coldFactor*serviceTime + 2*oneWay + 2*hopLatency)

func isNotRun(err error) bool {
	var f *failure.Failure
	return errors.As(err, &f) && f.NotRun
}

// faultCase is one fault; the naive policy has to break the bound, and the fleet to keep it.
type faultCase struct {
	name      string
	instances int // 4 if not set
	servers   []string
	warm      bool           // the servers are warm before the fault
	before    func(f *fleet) // happens before the load
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
			if c.warm {
				f.naive = false
				f.run(load{interval: 8 * time.Millisecond, lasts: time.Second, timeout: 240 * time.Millisecond})
				f.naive = naive
				f.forget()
			}
			if c.before != nil {
				c.before(f)
			}
			if c.fault != nil {
				f.work.Go(func() { c.fault(f) })
			}
			o := f.run(c.load)
			s := f.servers["a"]
			t.Logf("naive=%t sent=%d done=%d refused=%d lost=%d, first server: %+v, warm after %s",
				naive, o.sent, o.done, o.refused, o.lost, s.counts(), s.warmAt.Sub(f.born))
			check(t, f, o)
		})
	}
}

func coldCases() []faultCase {
	one := []string{"a"}
	return []faultCase{
		{name: "cold replica", servers: one, load: steady, check: warmsWithin(warmBound), naive: fallsOver},
		{name: "whole cold service", servers: []string{"a", "b", "c"}, load: steady, check: warmsWithin(warmBound), naive: fallsOver},
		{
			name: "canceled on a cold upstream", servers: one, load: load{interval: 8 * time.Millisecond, lasts: 2 * time.Second, timeout: 20 * time.Millisecond},
			check: warmsWithin(warmBound), naive: fallsOver,
		},
		{
			name: "cold again without warning", servers: one, warm: true, load: steady,
			fault: restartAfter(time.Second), check: slowsWithin(serviceTime + 2*oneWay + hopLatency), naive: fallsOver,
		},
		{
			name: "cold again, same incarnation", servers: one, warm: true, load: steady,
			fault: func(f *fleet) {
				time.Sleep(time.Second)
				s := f.servers["a"]
				s.change(func() { s.left, s.seen.restartedAt, s.report = bounds.WarmAfter, time.Now(), "serving" })
			},
			check: slowsWithin(20 * coldFactor * serviceTime), naive: fallsOver,
		},
		{
			name: "reports serving while cold", servers: one, load: steady,
			fault: func(f *fleet) { f.servers["a"].change(func() { f.servers["a"].report = "serving" }) },
			check: warmsWithin(warmBound), naive: fallsOver,
		},
		{
			name: "reports cold while warm", servers: one, warm: true, load: steady,
			fault: func(f *fleet) { f.servers["a"].change(func() { f.servers["a"].report = "cold" }) },
			check: func(t *testing.T, _ *fleet, o outcome) {
				require.GreaterOrEqual(t, float64(o.done), 0.9*float64(o.sent), "the report must slow it, not stop it")
			},
		},
		{
			name: "cold again while idle", servers: one, warm: true, before: restartWhileIdle, load: steady,
			check: func(t *testing.T, f *fleet, _ outcome) {
				require.Zero(t, f.servers["a"].counts().overload, "old evidence proves nothing")
				require.False(t, f.servers["a"].warmAt.IsZero(), "it never became warm again")
			},
			naive: fallsOver,
		},
		{name: "first home changes in warm-up", servers: one, load: steady, fault: changeFirst, check: warmsWithin(warmBound + target.HandoverDelay)},
		{name: "first home lost in warm-up", servers: one, load: steady, fault: loseFirst, check: warmsWithin(warmBound + time.Second + target.HandoverDelay)},
		{name: "first home paused in warm-up", servers: one, load: steady, fault: pauseFirst, check: warmsWithin(warmBound + 2*time.Second)},
		{
			name: "two first homes", servers: one, load: steady, fault: splitFleet,
			check: func(t *testing.T, f *fleet, _ outcome) {
				require.Equal(t, 2*bounds.ColdSlots, f.servers["a"].counts().mostCold, "one extra for the other part")
				require.False(t, f.servers["a"].warmAt.IsZero(), "it never became warm")
			},
		},
	}
}

func warmsWithin(bound time.Duration) func(*testing.T, *fleet, outcome) {
	return func(t *testing.T, f *fleet, _ outcome) {
		for _, s := range f.servers {
			require.Zero(t, s.counts().overload, "arrivals above the cold slots")
			require.False(t, s.warmAt.IsZero(), "it never became warm")
			require.LessOrEqual(t, s.warmAt.Sub(f.born), bound, "time of the warm-up")
		}
	}
}

// slowsWithin allows arrivals above the cold slots only until the restart can be known.
func slowsWithin(bound time.Duration) func(*testing.T, *fleet, outcome) {
	return func(t *testing.T, f *fleet, _ outcome) {
		s := f.servers["a"]
		c := s.counts()
		require.False(t, c.restartedAt.IsZero())
		require.LessOrEqual(t, c.lastOverload.Sub(c.restartedAt), bound, "arrivals above the cold slots")
		require.LessOrEqual(t, c.mostCold, max(bounds.Slots, bounds.HomeCount(4)), "in flight when it turned cold")
		require.False(t, s.warmAt.IsZero(), "it never became warm again")
	}
}

func fallsOver(t *testing.T, f *fleet, _ outcome) {
	require.Greater(t, f.servers["a"].counts().overload, bounds.WarmAfter, "the naive policy must overload it")
	warmAt := f.servers["a"].warmAt
	require.True(t, warmAt.IsZero() || warmAt.After(f.loadEnded), "the naive policy must keep it cold under load")
}

func restartAfter(wait time.Duration) func(*fleet) {
	return func(f *fleet) {
		time.Sleep(wait)
		f.servers["a"].restart()
	}
}

// restartWhileIdle gives no home a sign: nothing is in flight.
func restartWhileIdle(f *fleet) {
	time.Sleep(warmup.MaxEvidenceAge + time.Second)
	f.servers["a"].restart()
}

// changeFirst lists the first home as gone in the warm-up, while it still runs and reads the list.
func changeFirst(f *fleet) {
	time.Sleep(2 * coldFactor * serviceTime)
	f.publishTo(f.instances(), without(f.instances(), f.first("a").name), nil)
}

func without(names []string, name string) []string {
	return slices.DeleteFunc(names, func(other string) bool { return other == name })
}

// loseFirst ends the first home in the warm-up; the list lags by a second.
func loseFirst(f *fleet) {
	time.Sleep(2 * coldFactor * serviceTime)
	lost := f.first("a")
	lost.gone.Store(true)
	time.Sleep(time.Second)
	f.publish(without(f.instances(), lost.name), nil)
}

func pauseFirst(f *fleet) {
	time.Sleep(2 * coldFactor * serviceTime)
	resume := f.first("a").pause()
	time.Sleep(2 * time.Second)
	resume()
}

// splitFleet gives two parts of the fleet views that list only themselves.
func splitFleet(f *fleet) {
	f.servers["a"].change(func() { f.servers["a"].extra = bounds.ColdSlots })
	first := f.first("a").name
	here, there := []string{first}, []string{}
	for _, name := range f.instances() {
		if name != first && len(here) < 2 {
			here = append(here, name)
		} else if name != first {
			there = append(there, name)
		}
	}
	side := map[string]bool{here[0]: true, here[1]: true}
	f.cut(func(a, b string) bool { return side[a] != side[b] })
	f.publish(here, nil)
	f.publish(there, nil)
}
