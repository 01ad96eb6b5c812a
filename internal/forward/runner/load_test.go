package runner

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/experiment/outcome"
	"crocuswing/internal/forward/reply"
	"crocuswing/internal/forward/request"
	"crocuswing/internal/routing/limits"
	"crocuswing/internal/routing/route"
	"crocuswing/internal/routing/table"
	"crocuswing/internal/standin/replica"

	"github.com/stretchr/testify/require"
)

// least is the mean worth below which the users' objective counts as missed under the patterns below.
const least = 0.9

// TestFanOutTail plays a steady load over 20 shards whose replicas pause, each at its own time: the fan-out tail of Dean and
// Barroso, "The tail at scale", Communications of the ACM 56(2), 2013. More than half of all queries meet a pause.
func TestFanOutTail(t *testing.T) {
	var policy, naive float64
	synctest.Test(t, func(t *testing.T) {
		s := lookup()
		r := newRig(t, s)
		defer r.stop()
		r.Load(22, 3*time.Second, 600*time.Millisecond, r.tier.Run)
		policy = outcome.Worth(r.Load(22, 20*time.Second, 600*time.Millisecond, r.tier.Run), s.Services, s.Route.Objective)
		naive = outcome.Worth(r.Load(22, 20*time.Second, 600*time.Millisecond, r.Naive), s.Services, s.Route.Objective)
	})
	t.Logf("worth %.3f, naive %.3f", policy, naive)
	require.Greater(t, policy, 0.98)
	require.Greater(t, policy, naive)
}

// TestSlowReplica makes one replica of every seventh shard twelve times slower: the slow replica (brownout) pattern.
func TestSlowReplica(t *testing.T) {
	var policy, naive float64
	synctest.Test(t, func(t *testing.T) {
		s := lookup()
		r := newRig(t, s)
		defer r.stop()
		r.Load(22, 3*time.Second, 600*time.Millisecond, r.tier.Run)
		for i, p := range r.All() {
			if i%14 == 0 {
				p.SetSlow(12)
			}
		}
		policy = outcome.Worth(r.Load(22, 10*time.Second, 600*time.Millisecond, r.tier.Run), s.Services, s.Route.Objective)
		naive = outcome.Worth(r.Load(22, 10*time.Second, 600*time.Millisecond, r.Naive), s.Services, s.Route.Objective)
	})
	t.Logf("worth %.3f, naive %.3f", policy, naive)
	require.Greater(t, policy, least)
	require.Greater(t, policy, naive)
}

// TestLostReplica silences one replica of each shard: half of the capacity goes dark at the same moment.
func TestLostReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := lookup()
		r := newRig(t, s)
		defer r.stop()
		r.Load(22, 3*time.Second, 600*time.Millisecond, r.tier.Run)
		for _, of := range r.Replicas {
			of[0].SetDown(true)
		}
		first := r.Load(22, 2*time.Second, 600*time.Millisecond, r.tier.Run)
		later := r.Load(22, 10*time.Second, 600*time.Millisecond, r.tier.Run)
		for _, o := range first {
			require.Equal(t, http.StatusOK, o.Status)
		}
		require.Greater(t, outcome.Worth(later, s.Services, s.Route.Objective), least)
	})
}

// TestExtraAttempts holds the extra attempts of each service within the ratio and the slack in every window, while its
// upstreams fail half of the requests: the retry storm of a metastable overload (Bronson et al., HotOS 2021).
func TestExtraAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := lookup()
		s.Services = 4
		s.Route.LeastShare = 0.5
		r := newRig(t, s)
		defer r.stop()
		for _, p := range r.All() {
			p.SetFault(func(r *rand.Rand) replica.Fault {
				if r.IntN(2) == 0 {
					return replica.Errors
				}
				return replica.Sound
			})
		}
		outcomes := r.Load(40, 40*time.Second, 600*time.Millisecond, r.tier.Run)
		r.tier.Wait(t.Context())
		for name, of := range r.Replicas {
			var arrived []time.Time
			for _, p := range of {
				arrived = append(arrived, p.Arrived()...)
			}
			for _, o := range outcomes {
				from, to := o.Arrived, o.Arrived.Add(s.Bounds.ExtraWindow)
				requests, arrivals := 0, 0
				for _, other := range outcomes {
					if !other.Arrived.Before(from) && other.Arrived.Before(to) {
						requests++
					}
				}
				for _, at := range arrived {
					if !at.Before(from) && at.Before(to) {
						arrivals++
					}
				}
				if requests < 40*9 {
					continue // the end of the load
				}
				extra := float64(arrivals - requests)
				require.LessOrEqual(t, extra, s.Bounds.ExtraRatio*float64(requests)+float64(s.Bounds.ExtraSlack), "service %s", name)
			}
		}
	})
}

// TestColdHerd starts all replicas cold at once: none gets more requests in a second than it bears, and the requests that they bear are
// served (cold herd). Where each request takes what it gets of the rates, few get all that they need.
func TestColdHerd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := lookup()
		s.ColdRate, s.Cold = 4, 5*time.Second
		r := newRig(t, s)
		defer r.stop()
		const perSecond = 40
		outcomes := r.Load(perSecond, 4*time.Second, 600*time.Millisecond, r.tier.Run)
		served := outcome.Count(outcomes, func(o outcome.Outcome) bool { return o.Status == http.StatusOK })
		bears := float64(s.Replicas) * (s.ColdRate*s.Bounds.ColdFactor + float64(s.Bounds.ColdSlack)) / perSecond
		require.Greater(t, float64(served), bears/2*float64(len(outcomes)), "at least half of what the upstreams bear is served")
		for _, o := range outcomes {
			require.True(t, o.Status == http.StatusOK || o.Took <= s.Route.Objective, "what cannot be served is refused soon")
		}
		most := int(s.ColdRate*s.Bounds.ColdFactor) + s.Bounds.ColdSlack
		for _, p := range r.All() {
			arrived := p.Arrived()
			for i := range arrived {
				n := 0
				for _, at := range arrived[i:] {
					if at.Sub(arrived[i]) < time.Second {
						n++
					}
				}
				require.LessOrEqual(t, n, most)
			}
		}
	})
}

// TestFlashCrowd triples the load for three seconds and then lets it fall: what is served stays useful, and the tier is as
// good as before one second later.
func TestFlashCrowd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := lookup()
		r := newRig(t, s)
		defer r.stop()
		r.Load(40, 3*time.Second, 600*time.Millisecond, r.tier.Run)
		crowd := r.Load(120, 3*time.Second, 600*time.Millisecond, r.tier.Run)
		time.Sleep(time.Second)
		after := r.Load(40, 5*time.Second, 600*time.Millisecond, r.tier.Run)
		t.Logf("worth %.3f, after %.3f", outcome.Worth(crowd, s.Services, s.Route.Objective), outcome.Worth(after, s.Services, s.Route.Objective))
		require.Greater(t, outcome.Worth(crowd, s.Services, s.Route.Objective), least)
		require.Greater(t, outcome.Worth(after, s.Services, s.Route.Objective), 0.97)
	})
}

// TestGreyShedding lets one replica of every shard refuse half of what it gets although it is idle (grey failure: Huang et al.,
// "Gray failure", HotOS 2017). Each refusal takes one of the few extra attempts.
func TestGreyShedding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := lookup()
		s.Far = 26 * time.Millisecond
		s.Work = func(r *rand.Rand) time.Duration {
			return time.Duration((10 + 20*r.Float64()) * float64(time.Millisecond))
		}
		s.PauseEvery, s.PauseFor = 6*time.Second, 250*time.Millisecond
		s.Route.Objective, s.Route.Timeout = 200*time.Millisecond, 1200*time.Millisecond
		s.Bounds.ExtraSlack = 13 // a quarter, as if there were three other instances
		r := newRig(t, s)
		defer r.stop()
		r.Load(45, 3*time.Second, s.Route.Timeout, r.tier.Run)
		for _, of := range r.Replicas {
			of[0].SetShed(0.5)
		}
		outcomes := r.Load(45, 10*time.Second, s.Route.Timeout, r.tier.Run)
		t.Logf("worth %.3f", outcome.Worth(outcomes, s.Services, s.Route.Objective))
		require.Greater(t, outcome.Worth(outcomes, s.Services, s.Route.Objective), least)
		for _, o := range outcomes {
			require.Equal(t, http.StatusOK, o.Status)
		}
	})
}

// TestRefusedConnections ends all replicas of one shard, whose machines refuse connections: nobody waits for them, and they are
// not dialled in a storm.
func TestRefusedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := lookup()
		r := newRig(t, s)
		defer r.stop()
		r.Load(22, 3*time.Second, 600*time.Millisecond, r.tier.Run)
		for i, p := range r.All() {
			if p.ID()[:3] == "s07" {
				require.NoError(t, r.Servers[i].Close())
			}
		}
		const span = 5 * time.Second
		outcomes := r.Load(22, span, 600*time.Millisecond, r.tier.Run)
		for _, o := range outcomes {
			require.Equal(t, http.StatusOK, o.Status)
			require.LessOrEqual(t, o.Took, s.Route.Objective)
		}
		for _, p := range r.Catalog.Cluster("s07").Replicas() {
			require.LessOrEqual(t, p.Link().Stats().DialFailures, int64(2*span/(100*time.Millisecond)), "a dial in each pause, at most")
		}
	})
}

// TestOrdersRefusedAtOnce ends all upstreams of a service: a request that cannot be served does not wait for its deadline.
func TestOrdersRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := order()
		r := newRig(t, s)
		defer r.stop()
		for _, server := range r.Servers {
			require.NoError(t, server.Close())
		}
		time.Sleep(time.Second)
		for _, o := range r.Load(20, 5*time.Second, 1500*time.Millisecond, r.tier.Run) {
			require.Equal(t, http.StatusServiceUnavailable, o.Status)
			require.LessOrEqual(t, o.Took, s.Route.Objective)
			require.Positive(t, o.RetryAfter)
		}
	})
}

// TestLastResort loses the good replica of every shard at the moment at which the other one, of which only failures are known, has
// recovered. Requests that went to the lost one are still served.
func TestLastResort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := lookup()
		r := newRig(t, s)
		defer r.stop()
		for _, of := range r.Replicas {
			of[1].SetFault(func(*rand.Rand) replica.Fault { return replica.Errors })
		}
		r.Load(5, 10*time.Second, s.Route.Timeout, r.tier.Run)
		for _, of := range r.Replicas {
			of[0].SetDown(true)
			of[1].SetFault(func(*rand.Rand) replica.Fault { return replica.Sound })
		}
		for _, o := range r.Load(1, 3*time.Second, s.Route.Timeout, r.tier.Run) {
			require.Equal(t, http.StatusOK, o.Status)
		}
	})
}

// TestWorkNobodyWaitsFor makes one shard so slow that answers go out without it. The attempts on it end with the answer: work that
// nobody waits for any more keeps an overloaded upstream overloaded (Bronson et al., "Metastable failures in distributed systems",
// HotOS 2021).
func TestWorkNobodyWaitsFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := lookup()
		s.PauseEvery = 0
		r := newRig(t, s)
		defer r.stop()
		r.Load(22, 3*time.Second, s.Route.Timeout, r.tier.Run)
		for _, p := range r.Replicas["s07"] {
			p.SetSlow(1000)
		}
		for range 20 {
			o := r.tier.Run(t.Context(), r.Request(s.Route.Timeout))
			answered := time.Now()
			require.Equal(t, 1, o.Missing)
			r.tier.Wait(t.Context())
			require.Zero(t, time.Since(answered))
			time.Sleep(time.Second)
		}
	})
}

// TestRanksUnderOverload sends twenty times what the instance may begin, half of it of a lower rank: the instance keeps within its
// bound, the lower rank is refused first and at once, and what is refused has not run (priority inversion, load shedding by criticality).
func TestRanksUnderOverload(t *testing.T) {
	const most = 200 // legs, ten requests
	synctest.Test(t, func(t *testing.T) {
		s := lookup()
		r := newRig(t, s)
		defer r.stop()
		low := s.Route
		low.Name, low.Prefix, low.Rank = "low", "/low/", 4
		high, _ := r.Published.Table.Lookup("h", "/x")
		low.Shards = high.Shards
		r.Published.Table = table.New(2, []route.Route{*high, low}, nil, limits.Limits{})
		r.tier.ceiling.SetLimit(most)
		isLow := func(q request.Request) bool { return q.ID[len(q.ID)-1]%2 == 0 }
		var peak atomic.Int64
		outcomes := r.Load(2000, 2*time.Second, s.Route.Timeout, func(ctx context.Context, q request.Request) reply.Reply {
			if isLow(q) {
				q.Path, q.Target = "/low/x", "/low/x"
			}
			a := r.tier.Run(ctx, q)
			peak.Store(max(peak.Load(), int64(r.tier.ceiling.Used())))
			return a
		})
		served, refused := make(map[bool]int), make(map[bool]int)
		for _, o := range outcomes {
			if o.Status != http.StatusServiceUnavailable {
				served[isLow(o.Request)]++
				continue
			}
			refused[isLow(o.Request)]++
			require.Zero(t, o.Took)
			require.Positive(t, o.RetryAfter)
		}
		require.LessOrEqual(t, peak.Load(), int64(most))
		require.Greater(t, served[false], 3*served[true])
		require.Positive(t, refused[false])
	})
}
