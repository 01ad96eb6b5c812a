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

// minWorth is the mean worth of the outcomes that meets the users' objective under the load patterns of these tests.
const minWorth = 0.9

// TestFanOutTail applies a steady load to 20 shards whose replicas pause at independent times, so that more than half of all
// queries hit a pause. This is the fan-out tail of Dean and Barroso, "The tail at scale", Communications of the ACM 56(2),
// 2013.
func TestFanOutTail(t *testing.T) {
	var policy, naive float64
	synctest.Test(t, func(t *testing.T) {
		s := lookupShape()
		h := newHarness(t, s)
		defer h.stop()
		h.GenerateLoad(22, 3*time.Second, 600*time.Millisecond, h.runner.Run)
		policy = outcome.Worth(h.GenerateLoad(22, 20*time.Second, 600*time.Millisecond, h.runner.Run), s.Services, s.Route.Objective)
		naive = outcome.Worth(h.GenerateLoad(22, 20*time.Second, 600*time.Millisecond, h.RunNaive), s.Services, s.Route.Objective)
	})
	t.Logf("worth %.3f, naive %.3f", policy, naive)
	require.Greater(t, policy, 0.98)
	require.Greater(t, policy, naive)
}

// TestSlowReplica makes one replica of every seventh shard twelve times slower (slow replica, brownout).
func TestSlowReplica(t *testing.T) {
	var policy, naive float64
	synctest.Test(t, func(t *testing.T) {
		s := lookupShape()
		h := newHarness(t, s)
		defer h.stop()
		h.GenerateLoad(22, 3*time.Second, 600*time.Millisecond, h.runner.Run)
		for i, p := range h.AllReplicas() {
			if i%14 == 0 {
				p.SetSlowdown(12)
			}
		}
		policy = outcome.Worth(h.GenerateLoad(22, 10*time.Second, 600*time.Millisecond, h.runner.Run), s.Services, s.Route.Objective)
		naive = outcome.Worth(h.GenerateLoad(22, 10*time.Second, 600*time.Millisecond, h.RunNaive), s.Services, s.Route.Objective)
	})
	t.Logf("worth %.3f, naive %.3f", policy, naive)
	require.Greater(t, policy, minWorth)
	require.Greater(t, policy, naive)
}

// TestLostReplica makes one replica of each shard unresponsive, which removes half of the capacity at the same moment.
func TestLostReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := lookupShape()
		h := newHarness(t, s)
		defer h.stop()
		h.GenerateLoad(22, 3*time.Second, 600*time.Millisecond, h.runner.Run)
		for _, replicas := range h.Replicas {
			replicas[0].SetUnresponsive(true)
		}
		first := h.GenerateLoad(22, 2*time.Second, 600*time.Millisecond, h.runner.Run)
		later := h.GenerateLoad(22, 10*time.Second, 600*time.Millisecond, h.runner.Run)
		for _, o := range first {
			require.Equal(t, http.StatusOK, o.Status)
		}
		require.Greater(t, outcome.Worth(later, s.Services, s.Route.Objective), minWorth)
	})
}

// TestExtraAttempts checks that the extra attempts of each service stay within the ratio and the slack in every window while its
// upstreams fail half of the requests. It guards against the retry storm of a metastable overload (Bronson et al., HotOS 2021).
func TestExtraAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := lookupShape()
		s.Services = 4
		s.Route.MinShare = 0.5
		h := newHarness(t, s)
		defer h.stop()
		for _, p := range h.AllReplicas() {
			p.SetFault(func(rng *rand.Rand) replica.Fault {
				if rng.IntN(2) == 0 {
					return replica.InternalError
				}
				return replica.NoFault
			})
		}
		outcomes := h.GenerateLoad(40, 40*time.Second, 600*time.Millisecond, h.runner.Run)
		h.runner.Wait(t.Context())
		for name, replicas := range h.Replicas {
			var arrived []time.Time
			for _, p := range replicas {
				arrived = append(arrived, p.ArrivalTimes()...)
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
					continue // an incomplete window at the end of the load
				}
				extra := float64(arrivals - requests)
				require.LessOrEqual(t, extra, s.Bounds.ExtraRatio*float64(requests)+float64(s.Bounds.ExtraSlack), "service %s", name)
			}
		}
	})
}

// TestColdHerd starts all replicas cold at once. No replica may get more requests per second than its cold rate allows, and
// the requests within these rates must be served. The failure to avoid is that each request uses up a part of the rates and
// few get all of their parts.
func TestColdHerd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := lookupShape()
		s.ColdRate, s.Cold = 4, 5*time.Second
		h := newHarness(t, s)
		defer h.stop()
		const perSecond = 40
		outcomes := h.GenerateLoad(perSecond, 4*time.Second, 600*time.Millisecond, h.runner.Run)
		served := outcome.Count(outcomes, func(o outcome.Outcome) bool { return o.Status == http.StatusOK })
		capacityShare := float64(s.Replicas) * (s.ColdRate*s.Bounds.ColdFactor + float64(s.Bounds.ColdSlack)) / perSecond
		require.Greater(t, float64(served), capacityShare/2*float64(len(outcomes)), "at least half of the requests within the cold rates are served")
		for _, o := range outcomes {
			require.True(t, o.Status == http.StatusOK || o.Latency <= s.Route.Objective, "requests that cannot be served are refused within the objective")
		}
		maxArrivals := int(s.ColdRate*s.Bounds.ColdFactor) + s.Bounds.ColdSlack
		for _, p := range h.AllReplicas() {
			arrived := p.ArrivalTimes()
			for i := range arrived {
				n := 0
				for _, at := range arrived[i:] {
					if at.Sub(arrived[i]) < time.Second {
						n++
					}
				}
				require.LessOrEqual(t, n, maxArrivals)
			}
		}
	})
}

// TestFlashCrowd triples the load for three seconds. The mean worth of the outcomes must stay above minWorth under that load and
// must have recovered one second after it.
func TestFlashCrowd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := lookupShape()
		h := newHarness(t, s)
		defer h.stop()
		h.GenerateLoad(40, 3*time.Second, 600*time.Millisecond, h.runner.Run)
		crowd := h.GenerateLoad(120, 3*time.Second, 600*time.Millisecond, h.runner.Run)
		time.Sleep(time.Second)
		after := h.GenerateLoad(40, 5*time.Second, 600*time.Millisecond, h.runner.Run)
		t.Logf("worth %.3f, after %.3f", outcome.Worth(crowd, s.Services, s.Route.Objective), outcome.Worth(after, s.Services, s.Route.Objective))
		require.Greater(t, outcome.Worth(crowd, s.Services, s.Route.Objective), minWorth)
		require.Greater(t, outcome.Worth(after, s.Services, s.Route.Objective), 0.97)
	})
}

// TestGreyShedding makes one replica of every shard refuse half of its requests although it is idle (gray failure: Huang et al.,
// "Gray failure", HotOS 2017). Each refusal costs one of the few extra attempts.
func TestGreyShedding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := lookupShape()
		s.RemoteRTT = 26 * time.Millisecond
		s.ServiceTime = func(rng *rand.Rand) time.Duration {
			return time.Duration((10 + 20*rng.Float64()) * float64(time.Millisecond))
		}
		s.PauseEvery, s.PauseFor = 6*time.Second, 250*time.Millisecond
		s.Route.Objective, s.Route.Timeout = 200*time.Millisecond, 1200*time.Millisecond
		s.Bounds.ExtraSlack = 13 // a quarter, as with three other instances
		h := newHarness(t, s)
		defer h.stop()
		h.GenerateLoad(45, 3*time.Second, s.Route.Timeout, h.runner.Run)
		for _, replicas := range h.Replicas {
			replicas[0].SetShed(0.5)
		}
		outcomes := h.GenerateLoad(45, 10*time.Second, s.Route.Timeout, h.runner.Run)
		t.Logf("worth %.3f", outcome.Worth(outcomes, s.Services, s.Route.Objective))
		require.Greater(t, outcome.Worth(outcomes, s.Services, s.Route.Objective), minWorth)
		for _, o := range outcomes {
			require.Equal(t, http.StatusOK, o.Status)
		}
	})
}

// TestRefusedConnections stops all replicas of one shard, whose machines then refuse connections. Requests must not wait for
// them, and the rate of dials must stay bounded.
func TestRefusedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := lookupShape()
		h := newHarness(t, s)
		defer h.stop()
		h.GenerateLoad(22, 3*time.Second, 600*time.Millisecond, h.runner.Run)
		for i, p := range h.AllReplicas() {
			if p.ID()[:3] == "s07" {
				require.NoError(t, h.Servers[i].Close())
			}
		}
		const span = 5 * time.Second
		outcomes := h.GenerateLoad(22, span, 600*time.Millisecond, h.runner.Run)
		for _, o := range outcomes {
			require.Equal(t, http.StatusOK, o.Status)
			require.LessOrEqual(t, o.Latency, s.Route.Objective)
		}
		for _, p := range h.Catalog.Cluster("s07").Replicas() {
			require.LessOrEqual(t, p.Link().Stats().DialFailures, int64(2*span/(100*time.Millisecond)), "at most one dial per pause")
		}
	})
}

// TestOrdersRefusedAtOnce stops all upstreams of a service. A request that cannot be served must be refused within
// the objective.
func TestOrdersRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := orderShape()
		h := newHarness(t, s)
		defer h.stop()
		for _, server := range h.Servers {
			require.NoError(t, server.Close())
		}
		time.Sleep(time.Second)
		for _, o := range h.GenerateLoad(20, 5*time.Second, 1500*time.Millisecond, h.runner.Run) {
			require.Equal(t, http.StatusServiceUnavailable, o.Status)
			require.LessOrEqual(t, o.Latency, s.Route.Objective)
			require.Positive(t, o.RetryAfter)
		}
	})
}

// TestLastResort loses the healthy replica of every shard at the moment at which the other one recovers, of which only
// failures are known. Requests that were sent to the lost replica must still be served.
func TestLastResort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := lookupShape()
		h := newHarness(t, s)
		defer h.stop()
		for _, replicas := range h.Replicas {
			replicas[1].SetFault(func(*rand.Rand) replica.Fault { return replica.InternalError })
		}
		h.GenerateLoad(5, 10*time.Second, s.Route.Timeout, h.runner.Run)
		for _, replicas := range h.Replicas {
			replicas[0].SetUnresponsive(true)
			replicas[1].SetFault(func(*rand.Rand) replica.Fault { return replica.NoFault })
		}
		for _, o := range h.GenerateLoad(1, 3*time.Second, s.Route.Timeout, h.runner.Run) {
			require.Equal(t, http.StatusOK, o.Status)
		}
	})
}

// TestAttemptsEndWithReply makes one shard so slow that replies are sent without it. The attempts on it must end with the
// reply: work for which no caller waits keeps an overloaded upstream overloaded (Bronson et al., "Metastable failures in
// distributed systems", HotOS 2021).
func TestAttemptsEndWithReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := lookupShape()
		s.PauseEvery = 0
		h := newHarness(t, s)
		defer h.stop()
		h.GenerateLoad(22, 3*time.Second, s.Route.Timeout, h.runner.Run)
		for _, p := range h.Replicas["s07"] {
			p.SetSlowdown(1000)
		}
		for range 20 {
			o := h.runner.Run(t.Context(), h.NewRequest(s.Route.Timeout))
			answered := time.Now()
			require.Equal(t, 1, o.Missing)
			h.runner.Wait(t.Context())
			require.Zero(t, time.Since(answered))
			time.Sleep(time.Second)
		}
	})
}

// TestRanksUnderOverload sends twenty times the load that the instance may start, half of it of a lower rank. The instance
// must stay within its bound, refuse the lower rank first and at once, and run nothing that it refuses (priority inversion,
// load shedding by criticality).
func TestRanksUnderOverload(t *testing.T) {
	const maxSubrequests = 200 // those of ten requests
	synctest.Test(t, func(t *testing.T) {
		s := lookupShape()
		h := newHarness(t, s)
		defer h.stop()
		low := s.Route
		low.Name, low.Prefix, low.Rank = "low", "/low/", 4
		high, _ := h.Published.Table.Lookup("h", "/x")
		low.Shards = high.Shards
		h.Published.Table = table.New(2, []route.Route{*high, low}, nil, limits.Limits{})
		h.runner.limiter.SetLimit(maxSubrequests)
		isLow := func(q request.Request) bool { return q.ID[len(q.ID)-1]%2 == 0 }
		var peak atomic.Int64
		outcomes := h.GenerateLoad(2000, 2*time.Second, s.Route.Timeout, func(ctx context.Context, q request.Request) reply.Reply {
			if isLow(q) {
				q.Path, q.Target = "/low/x", "/low/x"
			}
			rep := h.runner.Run(ctx, q)
			peak.Store(max(peak.Load(), int64(h.runner.limiter.Used())))
			return rep
		})
		served, refused := make(map[bool]int), make(map[bool]int)
		for _, o := range outcomes {
			if o.Status != http.StatusServiceUnavailable {
				served[isLow(o.Request)]++
				continue
			}
			refused[isLow(o.Request)]++
			require.Zero(t, o.Latency)
			require.Positive(t, o.RetryAfter)
		}
		require.LessOrEqual(t, peak.Load(), int64(maxSubrequests))
		require.Greater(t, served[false], 3*served[true])
		require.Positive(t, refused[false])
	})
}
