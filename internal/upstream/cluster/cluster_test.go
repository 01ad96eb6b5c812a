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

func pick(c *Cluster, on route.Route) (string, bool) {
	r, ok := c.Pick(balancer.First, &on, nil, Timing{HedgeDelay: 50 * time.Millisecond})
	if !ok {
		return "", false
	}
	return r.Name(), true
}

// TestBarred gives no work to the upstreams that must not get any.
func TestBarred(t *testing.T) {
	leaving := registration.Registration{Upstream: "a", Address: "a", FailureDomain: "d", Leaving: true, Sequence: 2}
	for _, c := range []struct {
		name string
		on   route.Route
		bar  func(c *Cluster, r *Replica)
	}{
		{name: "its failure domain is out", bar: func(c *Cluster, _ *Replica) { c.SetExcludedDomains(map[string]bool{"d": true}) }},
		{name: "its region is not allowed", on: route.Route{Regions: []string{"q"}}, bar: func(*Cluster, *Replica) {}},
		{name: "it leaves", bar: func(c *Cluster, _ *Replica) { put(c, leaving) }},
		{name: "it says in an answer that it leaves", bar: func(c *Cluster, r *Replica) { c.RecordSignals(r, Signals{Draining: true, Load: -1}) }},
		{name: "another upstream has its address", bar: func(c *Cluster, r *Replica) { c.RecordSignals(r, Signals{IsMisdirected: true, NotRun: true, Load: -1}) }},
		{name: "it has just refused for load", bar: func(c *Cluster, r *Replica) { c.RecordSignals(r, Signals{NotRun: true, Load: -1}) }},
		{name: "it refused connections", bar: func(c *Cluster, r *Replica) { c.RecordOutcome(r, Unreachable) }},
		{name: "it is gone", bar: func(c *Cluster, _ *Replica) { c.Remove("a") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				of := newCluster("a")
				if c.on.Regions == nil {
					_, ok := pick(of, c.on)
					require.True(t, ok)
				}
				c.bar(of, of.Replicas()[0])
				_, ok := pick(of, c.on)
				require.False(t, ok)
			})
		})
	}
}

// TestRestart begins anew with another incarnation under the same name.
func TestRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster("a")
		c.RecordSignals(c.Replicas()[0], Signals{IsMisdirected: true, Load: -1})
		put(c, registration.Registration{Upstream: "a", Address: "a", FailureDomain: "d", Sequence: 9})
		_, ok := pick(c, route.Route{})
		require.False(t, ok, "the same start")
		put(c, registration.Registration{Upstream: "a", Address: "a", FailureDomain: "d", Incarnation: 5})
		name, ok := pick(c, route.Route{})
		require.True(t, ok)
		require.Equal(t, "a", name)
	})
}

// TestBackoff grows with each refused connection and ends with an answer.
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
		require.True(t, c.CanServe(&route.Route{}))
		c.RecordOutcome(r, Unreachable)
		require.False(t, c.CanServe(&route.Route{}))
		time.Sleep(2 * time.Second)
		c.RecordOutcome(r, Answered)
		c.RecordOutcome(r, Unreachable)
		require.True(t, c.CanServe(&route.Route{}), "one refused connection may be a restart")
	})
}

// TestKeptConnections gives every instance replicas of its own to keep connections to, so that no replica gets more than it takes, at the sizes of
// fleets whose instances cannot all have one to each.
func TestKeptConnections(t *testing.T) {
	const most, used = 64, 0.85
	for _, c := range []struct{ instances, replicas int }{{4, 3}, {33, 3}, {64, 3}, {99, 3}, {150, 6}, {300, 12}, {2800, 120}} {
		t.Run(fmt.Sprintf("%d instances, %d replicas", c.instances, c.replicas), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				share := min(1, used*most/float64(c.instances))
				kept := make(map[string]int)
				for i := range c.instances {
					of := New("s", history.New(), retrybudget.New(0.2, 10, 10*time.Second), WithInstance(fmt.Sprintf("i%d", i)))
					of.SetSubsetFraction(share)
					for k := range c.replicas {
						r := registration.Registration{Upstream: fmt.Sprintf("u%d", k), Address: "a", FailureDomain: "d"}
						distance := balancer.OtherRegion
						if k%3 == i%3 {
							distance = balancer.SameRegion
						}
						of.Put(r, "r", distance, func() *link.Link { return link.New(r.Upstream, r.Address, 1) })
					}
					_, ok := pick(of, route.Route{})
					require.True(t, ok)
					n := 0
					for _, r := range of.Replicas() {
						if !r.transient {
							n++
							kept[r.Name()]++
						}
					}
					require.Equal(t, max(1, int(share*float64(c.replicas))), n)
				}
				for name, n := range kept {
					require.LessOrEqual(t, n, most, name)
				}
			})
		})
	}
}

// TestKeptConnectionsMove keeps the connection to another replica while the first one fails, leaves or is taken out.
func TestKeptConnectionsMove(t *testing.T) {
	for name, bar := range map[string]func(c *Cluster, r *Replica){
		"leaves": func(c *Cluster, r *Replica) {
			put(c, registration.Registration{Upstream: r.Name(), Address: r.Name(), FailureDomain: r.registration.FailureDomain, Leaving: true, Sequence: 2})
		},
		"fails": func(c *Cluster, r *Replica) {
			for range failingMisses {
				c.history.Begin(r.Name(), time.Now())
				c.history.Failed(r.Name(), time.Now(), time.Now(), true)
				time.Sleep(time.Millisecond)
			}
		},
		"out": func(c *Cluster, r *Replica) {
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
				bar(c, first)
				time.Sleep(settleEvery)
				require.NotNil(t, kept())
				require.NotEqual(t, first.Name(), kept().Name())
				require.True(t, first.transient)
			})
		})
	}
}

// TestDoubt sends no more than a cold upstream bears to one that refused connections, until its start would be known.
func TestDoubt(t *testing.T) {
	const rate = 2
	count := func(c *Cluster, d time.Duration) int {
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
		require.Equal(t, 100, count(c, time.Second), "no bound is stated")

		c.SetColdRate(rate)
		require.Equal(t, 100, count(c, time.Second), "nothing speaks for a start")
		c.RecordOutcome(c.Replicas()[0], Unreachable)
		c.RecordOutcome(c.Replicas()[0], Answered)
		time.Sleep(maxBackoff)
		require.LessOrEqual(t, count(c, doubtTime-maxBackoff), rate)
		require.Equal(t, 100, count(c, time.Second), "it would be known by now")

		c.RecordOutcome(c.Replicas()[0], Unreachable)
		put(c, registration.Registration{Upstream: "a", Address: "a", FailureDomain: "d", Incarnation: 7})
		require.Equal(t, 100, count(c, time.Second), "a start that is known, and warm")
	})
}

// TestTrials tries a replica again that missed once, also where this instance's part is less than one extra attempt, as in a fleet of 300.
func TestTrials(t *testing.T) {
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
