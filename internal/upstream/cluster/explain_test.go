package cluster

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/published/registration"
	"crocuswing/internal/query/balancer"
	"crocuswing/internal/routing/route"

	"github.com/stretchr/testify/require"
)

// snapshot returns the state of the cluster and its history as text.
func (c *Cluster) snapshot(now time.Time) string {
	text := fmt.Sprintf("%v %v %v", c.shares, c.subsetUpdated, c.Remaining())
	for _, r := range c.replicas {
		text += fmt.Sprintf("\n%+v %+v %v", *r, c.history.Get(r.Name(), now), c.history.IsProbeDue(r.Name(), now))
	}
	return text
}

// TestExplainChangesNothing guards against a question that moves shares, uses up a probe or a cold rate, or updates the subset.
func TestExplainChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := sixDomains(usual).newCluster("a", 1)
		c.SetColdRate(3)
		c.SetSubsetFraction(0.6)
		timing := Timing{HedgeDelay: 50 * time.Millisecond, Objective: time.Second}
		for i, r := range c.Replicas() {
			c.history.Begin(r.Name(), time.Now())
			time.Sleep(time.Millisecond)
			c.history.Answered(r.Name(), time.Now().Add(-time.Millisecond), time.Now(), time.Second)
			c.RecordSignals(r, Signals{Load: float64(i), Slots: 4, WorkFactor: 1 + float64(i)/10})
			r.coldUntil = time.Now().Add(time.Duration(i) * time.Second)
		}
		last := c.Replicas()[1]
		c.history.Begin(last.Name(), time.Now())
		c.history.Failed(last.Name(), time.Now(), time.Now(), true)
		for range 4 {
			_, ok := c.Pick(balancer.First, &route.Route{}, nil, timing)
			require.True(t, ok)
			time.Sleep(2 * time.Second)
		}
		now := time.Now()
		before := c.snapshot(now)
		for range 10 {
			c.Explain(&route.Route{}, timing)
		}
		require.Equal(t, before, c.snapshot(now))
	})
}

// TestExplainAgreesWithPick guards against an explanation that differs from the picks.
func TestExplainAgreesWithPick(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := sixDomains(usual).newCluster("a", 1)
		timing := Timing{HedgeDelay: 50 * time.Millisecond, Objective: time.Second}
		for i, r := range c.Replicas() {
			c.history.Begin(r.Name(), time.Now())
			c.history.Answered(r.Name(), time.Now().Add(-time.Duration(i+1)*time.Millisecond), time.Now(), time.Second)
			c.RecordSignals(r, Signals{Load: 0.5, Slots: 4, WorkFactor: 1})
		}
		const picks = 2000
		counts := make(map[string]float64)
		for range picks {
			r, ok := c.Pick(balancer.First, &route.Route{}, nil, timing)
			require.True(t, ok)
			counts[r.Name()] += 1.0 / picks
		}
		s := c.Explain(&route.Route{}, timing)
		require.True(t, s.CanServe)
		require.True(t, s.ByLoad)
		require.Len(t, s.Domains, 6)
		for _, candidate := range s.Candidates {
			require.InDelta(t, counts[candidate.Upstream], candidate.Chance, 0.2, candidate.Upstream)
		}
	})
}

// TestExplainRuledOut guards against an upstream that Pick skips without a reason in the explanation, and the reverse.
func TestExplainRuledOut(t *testing.T) {
	for _, c := range []struct {
		reason string
		route  route.Route
		change func(c *Cluster, r *Replica)
	}{
		{"its failure domain is out", route.Route{}, func(c *Cluster, _ *Replica) { c.SetExcludedDomains(map[string]bool{"d": true}) }},
		{"its region is not allowed", route.Route{Regions: []string{"q"}}, func(*Cluster, *Replica) {}},
		{"its cold rate is used up", route.Route{}, func(c *Cluster, r *Replica) { c.SetColdRate(0); r.coldUntil = time.Now().Add(time.Minute) }},
		{"it is draining", route.Route{}, func(c *Cluster, _ *Replica) {
			put(c, registration.Registration{Upstream: "a", Address: "a", FailureDomain: "d", Draining: true, Sequence: 2})
		}},
		{"it is leaving", route.Route{}, func(c *Cluster, r *Replica) { c.RecordSignals(r, Signals{IsLeaving: true, Load: -1}) }},
		{"its address belongs to another upstream", route.Route{}, func(c *Cluster, r *Replica) { c.RecordSignals(r, Signals{IsMisdirected: true, NotRun: true, Load: -1}) }},
		{"it has just shed a request", route.Route{}, func(c *Cluster, r *Replica) { c.RecordSignals(r, Signals{NotRun: true, Load: -1}) }},
		{"it asked for a pause", route.Route{}, func(c *Cluster, r *Replica) {
			c.RecordSignals(r, Signals{NotRun: true, RetryAfter: time.Second, Load: -1})
		}},
		{"it refused a connection", route.Route{}, func(c *Cluster, r *Replica) { c.RecordOutcome(r, Unreachable) }},
		{"", route.Route{}, func(*Cluster, *Replica) {}},
	} {
		synctest.Test(t, func(t *testing.T) {
			cl := newCluster("a")
			c.change(cl, cl.Replicas()[0])
			s := cl.Explain(&c.route, Timing{HedgeDelay: 50 * time.Millisecond})
			_, ok := pick(cl, c.route)
			require.Equal(t, c.reason, s.Candidates[0].RuledOut)
			require.Equal(t, c.reason == "", ok, c.reason)
		})
	}
}
