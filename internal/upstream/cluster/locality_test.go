package cluster

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/query/balancer"
	"crocuswing/internal/routing/route"

	"github.com/stretchr/testify/require"
)

// sixDomains returns a simulation of a service with two upstreams of four slots in each of six failure domains, two in each region.
func sixDomains(factor func(domain int) func(at time.Duration) float64) *simulation {
	s := &simulation{region: func(domain string) string { return fmt.Sprint((domain[0] - 'a') / 2) }, work: 20 * time.Millisecond, hasFactor: true}
	for i := range 6 {
		domain := string(rune('a' + i))
		s.domains = append(s.domains, domain)
		for k := range 2 {
			s.addUpstream(fmt.Sprint(domain, k), domain, 4, factor(i))
		}
	}
	return s
}

func usual(int) func(time.Duration) float64 { return nil }

const domainCapacity = 8 / 0.020 // requests per second

// duringBurst returns a demand that is high from 2 to 6 s in the domains that match, else low, as shares of the capacity.
func duringBurst(match func(domain string) bool, high, low float64) func(string, time.Duration) float64 {
	return func(domain string, at time.Duration) float64 {
		if match(domain) && at > 2*time.Second && at < 6*time.Second {
			return domainCapacity * high
		}
		return domainCapacity * low
	}
}

// TestShares compares the balancer alone with shares by reported load, for four instances in each of six domains. It guards against a
// decision that makes requests slower than the balancer does, that lets as many leave their domain, or that slows the domain with the
// least demand.
func TestShares(t *testing.T) {
	isFirst := func(domain string) bool { return domain == "a" }
	isNotFirst := func(domain string) bool { return domain != "a" }
	wave := func(domain string, at time.Duration) float64 {
		return domainCapacity * 0.65 * (1 + 0.55*math.Sin(2*math.Pi*(at.Seconds()/13+float64(domain[0]-'a')/6)))
	}
	slow := func(domain int) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if domain == 0 && at > 2*time.Second && at < 6*time.Second {
				return 3
			}
			return 1
		}
	}
	for _, c := range []struct {
		name        string
		rate        func(domain string, at time.Duration) float64
		factor      func(domain int) func(at time.Duration) float64
		reportDelay time.Duration
		quietest    string // the domain with the least demand
	}{
		{"waves", wave, usual, 0, ""},
		{"waves, late reports", wave, usual, 300 * time.Millisecond, ""},
		{"burst in one domain", duringBurst(isFirst, 1.5, 0.5), usual, 0, "d"},
		{"burst, late reports", duringBurst(isFirst, 1.5, 0.5), usual, 300 * time.Millisecond, "d"},
		{"slow upstreams", duringBurst(isFirst, 0.5, 0.5), slow, 0, "d"},
		{"burst in five domains", duringBurst(isNotFirst, 1.05, 0.4), usual, 0, "a"},
		{"calm", duringBurst(isFirst, 0.3, 0.3), usual, 0, ""},
		{"all busy", duringBurst(isFirst, 0.85, 0.85), usual, 0, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got, quietest [2]summary
			for i := range got {
				synctest.Test(t, func(*testing.T) {
					s := sixDomains(c.factor)
					s.instances, s.reportDelay = 4, c.reportDelay
					if i == 0 {
						s.options = append(s.options, WithoutShares())
					}
					outcomes := s.run(8*time.Second, c.rate)
					got[i] = summarize(outcomes)
					if c.quietest != "" {
						quietest[i] = summarize(slices.DeleteFunc(outcomes, func(o simOutcome) bool { return o.domain != c.quietest }))
					}
				})
			}
			t.Logf("off: %v", got[0])
			t.Logf("on:  %v", got[1])
			require.Less(t, float64(got[1].mean), 0.97*float64(got[0].mean))
			require.Less(t, float64(got[1].p99), 1.05*float64(got[0].p99))
			require.Less(t, got[1].left, 0.6*got[0].left)
			require.LessOrEqual(t, quietest[1].mean, quietest[0].mean)
		})
	}
}

// TestSharesOfShard compares the same for a shard with three replicas of two slots, each in one domain of a region, as in deployment
// "uneven". The domains without a replica send to the one in their region.
func TestSharesOfShard(t *testing.T) {
	const capacity = 3 * 2 / 0.0075 / 6 // requests per second, for each of the six domains
	for _, c := range []struct {
		name  string
		share float64 // of the capacity
		swing float64
	}{{"calm", 0.3, 0}, {"waves", 0.6, 0.55}, {"busy", 0.8, 0}} {
		t.Run(c.name, func(t *testing.T) {
			var got [2]summary
			for i := range got {
				synctest.Test(t, func(*testing.T) {
					s := sixDomains(usual)
					s.upstreams, s.instances, s.work = nil, 2, 7500*time.Microsecond
					for _, domain := range []string{"a", "c", "e"} {
						s.addUpstream(domain, domain, 2, nil)
					}
					if i == 0 {
						s.options = append(s.options, WithoutShares())
					}
					got[i] = summarize(s.run(10*time.Second, func(domain string, at time.Duration) float64 {
						return capacity * c.share * (1 + c.swing*math.Sin(2*math.Pi*(at.Seconds()/13+float64(domain[0]-'a')/6)))
					}))
				})
			}
			t.Logf("off: %v", got[0])
			t.Logf("on:  %v", got[1])
			require.Less(t, float64(got[1].mean), 1.02*float64(got[0].mean))
			require.Less(t, float64(got[1].p99), 1.1*float64(got[0].p99))
		})
	}
}

// TestSharesNeedWorkFactors guards against shares for services whose upstreams, all or some, report three figures.
func TestSharesNeedWorkFactors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := sixDomains(usual)
		c := s.newCluster("a", 1)
		timing := Timing{HedgeDelay: 50 * time.Millisecond}
		report := func(workFactor float64) {
			for _, r := range c.Replicas() {
				c.history.Begin(r.Name(), time.Now())
				time.Sleep(time.Millisecond)
				c.history.Answered(r.Name(), time.Now().Add(-time.Millisecond), time.Now(), time.Second)
				c.RecordSignals(r, Signals{Load: 1, Slots: 4, WorkFactor: workFactor})
			}
		}
		isInForce := func() bool {
			_, ok := c.Pick(balancer.First, &route.Route{}, nil, timing)
			require.True(t, ok)
			_, ok = c.Leaving()
			require.Equal(t, ok, c.Explain(&route.Route{}, timing).ByLoad)
			return ok
		}
		require.False(t, isInForce(), "no reports")
		report(0)
		require.False(t, isInForce(), "three figures")
		report(1)
		require.True(t, isInForce(), "four figures")
		c.RecordSignals(c.Replicas()[3], Signals{Load: 1, Slots: 4})
		require.False(t, isInForce(), "one upstream reports three figures")
	})
}

// TestSharesGiveWay guards against shares that send requests to domains or replicas that must not get them.
func TestSharesGiveWay(t *testing.T) {
	for name, change := range map[string]func(c *Cluster, rt *route.Route, r *Replica){
		"domain is out":      func(c *Cluster, _ *route.Route, _ *Replica) { c.SetExcludedDomains(map[string]bool{"a": true}) },
		"region not allowed": func(_ *Cluster, rt *route.Route, _ *Replica) { rt.Regions = []string{"1", "2"} },
		"pause": func(c *Cluster, _ *route.Route, r *Replica) {
			c.RecordSignals(r, Signals{NotRun: true, RetryAfter: time.Second, Load: -1})
		},
		"leaving": func(c *Cluster, _ *route.Route, r *Replica) { c.RecordSignals(r, Signals{IsLeaving: true, Load: -1}) },
		"cold rate": func(c *Cluster, _ *route.Route, r *Replica) {
			c.SetColdRate(0)
			r.coldUntil = time.Now().Add(time.Minute)
		},
		"no connection": func(_ *Cluster, _ *route.Route, r *Replica) { r.setTransient(true) },
		"suspect": func(c *Cluster, _ *route.Route, r *Replica) {
			c.history.Begin(r.Name(), time.Now())
			c.history.Failed(r.Name(), time.Now(), time.Now(), true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := sixDomains(usual)
				c := s.newCluster("a", 1)
				for _, r := range c.Replicas() {
					c.history.Begin(r.Name(), time.Now())
					time.Sleep(time.Millisecond)
					c.history.Answered(r.Name(), time.Now().Add(-time.Millisecond), time.Now(), time.Second)
					c.RecordSignals(r, Signals{Load: 0.5, Slots: 4, WorkFactor: 1})
				}
				rt := &route.Route{}
				timing := Timing{HedgeDelay: 50 * time.Millisecond, Objective: 100 * time.Millisecond}
				r, ok := c.Pick(balancer.First, rt, nil, timing)
				require.True(t, ok)
				require.Equal(t, "a", r.registration.FailureDomain)
				for _, r := range c.Replicas() {
					if r.registration.FailureDomain == "a" {
						change(c, rt, r)
					}
				}
				for range 200 {
					r, ok = c.Pick(balancer.First, rt, nil, timing)
					require.True(t, ok)
					require.NotEqual(t, "a", r.registration.FailureDomain)
				}
			})
		})
	}
}

// TestPriceKeepsRequests guards against a price that has no effect: at a high price, requests wait near rather than leave.
func TestPriceKeepsRequests(t *testing.T) {
	var left [2]float64
	for i, price := range []time.Duration{0, time.Millisecond} {
		synctest.Test(t, func(*testing.T) {
			s := sixDomains(usual)
			s.pricePerKiB, s.bodyBytes = price, 100<<10
			left[i] = summarize(s.run(5*time.Second, duringBurst(func(string) bool { return false }, 0, 0.8))).left
		})
	}
	require.Less(t, left[1], 0.2*left[0])
}
