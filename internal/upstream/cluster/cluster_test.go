package cluster

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/policy/retrybudget"
	"crocuswing/internal/published/registration"
	"crocuswing/internal/query/balancer"
	"crocuswing/internal/routing/route"
	"crocuswing/internal/stats/history"
	"crocuswing/internal/upstream/link"

	"github.com/stretchr/testify/require"
)

func newCluster(names ...string) *Cluster {
	c := New("s", history.New(), retrybudget.New(0.2, 10, 10*time.Second))
	for _, name := range names {
		put(c, registration.Registration{Upstream: name, Address: name, FailureDomain: "d"})
	}
	return c
}

func put(c *Cluster, r registration.Registration) {
	c.Put(r, "r", balancer.SameDomain, func() *link.Link { return link.New(r.Upstream, r.Address, 1) })
}

func pick(c *Cluster, rt route.Route) (string, bool) {
	r, ok := c.Pick(balancer.First, &rt, nil, Timing{HedgeDelay: 50 * time.Millisecond})
	if !ok {
		return "", false
	}
	return r.Name(), true
}

func canServe(c *Cluster) bool {
	_, ok := c.CanServe(&route.Route{})
	return ok
}

// TestPickSkipsUnavailable checks that Pick returns no upstream that must not receive requests.
func TestPickSkipsUnavailable(t *testing.T) {
	draining := registration.Registration{Upstream: "a", Address: "a", FailureDomain: "d", Draining: true, Sequence: 2}
	for _, c := range []struct {
		name   string
		route  route.Route
		change func(c *Cluster, r *Replica)
	}{
		{name: "failure domain is excluded", change: func(c *Cluster, _ *Replica) { c.SetExcludedDomains(map[string]bool{"d": true}) }},
		{name: "region is not allowed", route: route.Route{Regions: []string{"q"}}, change: func(*Cluster, *Replica) {}},
		{name: "draining", change: func(c *Cluster, _ *Replica) { put(c, draining) }},
		{name: "response reports draining", change: func(c *Cluster, r *Replica) { c.RecordSignals(r, Signals{IsLeaving: true, Load: -1}) }},
		{name: "address belongs to another upstream", change: func(c *Cluster, r *Replica) { c.RecordSignals(r, Signals{IsMisdirected: true, NotRun: true, Load: -1}) }},
		{name: "has just shed a request", change: func(c *Cluster, r *Replica) { c.RecordSignals(r, Signals{NotRun: true, Load: -1}) }},
		{name: "refused a connection", change: func(c *Cluster, r *Replica) { c.RecordOutcome(r, Unreachable) }},
		{name: "removed", change: func(c *Cluster, _ *Replica) { c.Remove("a") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster("a")
				if c.route.Regions == nil {
					_, ok := pick(cl, c.route)
					require.True(t, ok)
				}
				c.change(cl, cl.Replicas()[0])
				_, ok := pick(cl, c.route)
				require.False(t, ok)
			})
		})
	}
}

// TestRestart checks that a new incarnation under the same name starts without the state of the previous one.
func TestRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster("a")
		c.RecordSignals(c.Replicas()[0], Signals{IsMisdirected: true, Load: -1})
		put(c, registration.Registration{Upstream: "a", Address: "a", FailureDomain: "d", Sequence: 9})
		_, ok := pick(c, route.Route{})
		require.False(t, ok, "same incarnation")
		put(c, registration.Registration{Upstream: "a", Address: "a", FailureDomain: "d", Incarnation: 5})
		name, ok := pick(c, route.Route{})
		require.True(t, ok)
		require.Equal(t, "a", name)
	})
}

// TestBackoff checks that the backoff grows with each consecutive refused connection and is reset by a response.
func TestBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster("a")
		r := c.Replicas()[0]
		for _, want := range []time.Duration{100, 200, 400, 800, 1600, 2000, 2000} {
			c.RecordOutcome(r, Unreachable)
			start := time.Now()
			for {
				if _, ok := pick(c, route.Route{}); ok {
					break
				}
				time.Sleep(time.Millisecond)
			}
			require.Equal(t, want*time.Millisecond, time.Since(start))
		}
		require.True(t, canServe(c))
		c.RecordOutcome(r, Unreachable)
		require.False(t, canServe(c))
		time.Sleep(2 * time.Second)
		c.RecordOutcome(r, Succeeded)
		c.RecordOutcome(r, Unreachable)
		require.True(t, canServe(c), "one refused connection may be a restart")
	})
}

// TestSubset checks that the subsets of all instances together exceed the connection limit of no replica, in fleets with more
// instances than a replica accepts connections.
func TestSubset(t *testing.T) {
	const maxConnections, usable = 64, 0.85
	for _, c := range []struct{ instances, replicas int }{{4, 3}, {33, 3}, {64, 3}, {99, 3}, {150, 6}, {300, 12}, {2800, 120}} {
		t.Run(fmt.Sprintf("%d instances, %d replicas", c.instances, c.replicas), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fraction := min(1, usable*maxConnections/float64(c.instances))
				kept := make(map[string]int)
				for i := range c.instances {
					cl := New("s", history.New(), retrybudget.New(0.2, 10, 10*time.Second), WithInstance(fmt.Sprintf("i%d", i)))
					cl.SetSubsetFraction(fraction)
					for k := range c.replicas {
						r := registration.Registration{Upstream: fmt.Sprintf("u%d", k), Address: "a", FailureDomain: "d"}
						distance := balancer.OtherRegion
						if k%3 == i%3 {
							distance = balancer.SameRegion
						}
						cl.Put(r, "r", distance, func() *link.Link { return link.New(r.Upstream, r.Address, 1) })
					}
					_, ok := pick(cl, route.Route{})
					require.True(t, ok)
					n := 0
					for _, r := range cl.Replicas() {
						if !r.transient {
							n++
							kept[r.Name()]++
						}
					}
					require.Equal(t, max(1, int(fraction*float64(c.replicas))), n)
				}
				for name, n := range kept {
					require.LessOrEqual(t, n, maxConnections, name)
				}
			})
		})
	}
}

// TestSubsetReplacement checks that a replica that fails, drains or is excluded is replaced by another one in the subset.
func TestSubsetReplacement(t *testing.T) {
	for name, change := range map[string]func(c *Cluster, r *Replica){
		"draining": func(c *Cluster, r *Replica) {
			put(c, registration.Registration{Upstream: r.Name(), Address: r.Name(), FailureDomain: r.registration.FailureDomain, Draining: true, Sequence: 2})
		},
		"failing": func(c *Cluster, r *Replica) {
			for range failingMisses {
				c.history.Begin(r.Name(), time.Now())
				c.history.Failed(r.Name(), time.Now(), time.Now(), true)
				time.Sleep(time.Millisecond)
			}
		},
		"excluded": func(c *Cluster, r *Replica) {
			c.SetExcludedDomains(map[string]bool{r.registration.FailureDomain: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := New("s", history.New(), retrybudget.New(0.2, 10, 10*time.Second), WithInstance("i"))
				c.SetSubsetFraction(0.4)
				for _, u := range []string{"a", "b", "c"} {
					put(c, registration.Registration{Upstream: u, Address: u, FailureDomain: u})
				}
				kept := func() *Replica {
					_, ok := pick(c, route.Route{})
					require.True(t, ok)
					for _, r := range c.Replicas() {
						if !r.transient {
							return r
						}
					}
					return nil
				}
				first := kept()
				require.NotNil(t, first)
				change(c, first)
				time.Sleep(subsetInterval)
				require.NotNil(t, kept())
				require.NotEqual(t, first.Name(), kept().Name())
				require.True(t, first.transient)
			})
		})
	}
}

// TestAssumedCold checks that an upstream that refused a connection receives no more than the cold rate until a restart would be
// known from its registration.
func TestAssumedCold(t *testing.T) {
	const rate = 2
	countPicks := func(c *Cluster, d time.Duration) int {
		n := 0
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if _, ok := pick(c, route.Route{}); ok {
				n++
			}
		}
		return n
	}
	synctest.Test(t, func(t *testing.T) {
		c := newCluster("a")
		c.RecordOutcome(c.Replicas()[0], Unreachable)
		time.Sleep(firstBackoff)
		require.Equal(t, 100, countPicks(c, time.Second), "no cold rate is set")

		c.SetColdRate(rate)
		require.Equal(t, 100, countPicks(c, time.Second), "no connection was refused since")
		c.RecordOutcome(c.Replicas()[0], Unreachable)
		c.RecordOutcome(c.Replicas()[0], Succeeded)
		time.Sleep(maxBackoff)
		require.LessOrEqual(t, countPicks(c, assumedColdTime-maxBackoff), rate)
		require.Equal(t, 100, countPicks(c, time.Second), "a restart would be known by now")

		c.RecordOutcome(c.Replicas()[0], Unreachable)
		put(c, registration.Registration{Upstream: "a", Address: "a", FailureDomain: "d", Incarnation: 7})
		require.Equal(t, 100, countPicks(c, time.Second), "registration reports a warm incarnation")
	})
}

// TestProbes checks that a replica that missed once is probed again, also if the share of this instance is less than one extra
// attempt, as in a fleet of 300 instances.
func TestProbes(t *testing.T) {
	for _, slack := range []float64{0.6, 12} {
		synctest.Test(t, func(t *testing.T) {
			c := New("s", history.New(), retrybudget.New(0.17, slack, 10*time.Second))
			for _, name := range []string{"a", "b"} {
				put(c, registration.Registration{Upstream: name, Address: name, FailureDomain: "d"})
			}
			time.Sleep(10 * time.Second)
			c.history.Begin("a", time.Now())
			c.history.Failed("a", time.Now(), time.Now(), true)
			name, ok := pick(c, route.Route{})
			require.True(t, ok)
			require.Equal(t, "b", name, "it has just missed")
			time.Sleep(time.Second)
			name, ok = pick(c, route.Route{})
			require.True(t, ok)
			require.Equal(t, "a", name)
		})
	}
}

// TestPauseIsNotShortened checks that a replica gets nothing before the latest end of the pauses that it requested, and then within the
// spread.
func TestPauseIsNotShortened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster("a")
		r := c.Replicas()[0]
		const pause = 3 * time.Second
		start := time.Now()
		c.RecordSignals(r, Signals{NotRun: true, RetryAfter: pause, Load: -1})
		c.RecordSignals(r, Signals{NotRun: true, RetryAfter: 10 * time.Millisecond, Load: -1})
		c.RecordSignals(r, Signals{NotRun: true, Load: -1})
		require.False(t, c.MaySend(r))
		from, ok := c.CanServe(&route.Route{})
		require.True(t, ok)
		for {
			if _, ok := pick(c, route.Route{}); ok {
				break
			}
			time.Sleep(time.Millisecond)
		}
		require.GreaterOrEqual(t, time.Since(start), pause)
		require.Less(t, time.Since(start), pause+maxResumeSpread)
		require.WithinDuration(t, from, time.Now(), time.Millisecond)
		require.True(t, c.MaySend(r))
	})
}
