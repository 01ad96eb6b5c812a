package runner

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/experiment/testbed"
	"crocuswing/internal/fleet/membership"
	"crocuswing/internal/forward/aggregator"
	"crocuswing/internal/forward/merge"
	"crocuswing/internal/operator/metric"
	"crocuswing/internal/peer/client"
	"crocuswing/internal/settings/deployment"
	"crocuswing/internal/standin/replica"
	"crocuswing/internal/stats/history"
	"crocuswing/internal/upstream/catalog"
	"crocuswing/internal/upstream/link"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"
)

// crossing is the one-way latency between the regions.
const crossing = 8 * time.Millisecond

// regions is a harness with a second instance in the other region, which has the only upstreams of a third of the shards.
type regions struct {
	*harness
	other *Runner
	// call replaces the call to the other instance if it is set.
	call  func(ctx context.Context, q aggregator.Request) (aggregator.Reply, error)
	asked atomic.Int64
	mu    sync.Mutex
	// arrivals holds the upstreams that ran a request, by its identifier and the shard.
	arrivals map[string]map[string]bool
	// avoidedUntil is the end of the pause after a miss.
	avoidedUntil atomic.Pointer[time.Time]
}

func newRegions(t *testing.T) *regions {
	s := lookupShape()
	s.RemoteRTT = 2 * crossing
	s.PauseEvery = 0
	s.Replicas = 4
	r := &regions{arrivals: make(map[string]map[string]bool)}
	s.Observe = r.observe
	h := newHarness(t, s)
	r.harness = h
	settings := deployment.Settings{
		FailureDomain: testbed.OtherDomain, Region: testbed.OtherRegion, Bounds: s.Bounds,
		Regions: map[string]string{testbed.Domain: testbed.Region, testbed.OtherDomain: testbed.OtherRegion},
	}
	otherHistory := history.New()
	otherCatalog := catalog.New(settings, otherHistory, catalog.WithLinkOptions(link.WithDial(h.Net.Dial)))
	otherCatalog.SetInstanceCount(2)
	h.Catalog.SetInstanceCount(2)
	upstreams := maps.Clone(h.Published.Upstreams)
	for name := range upstreams {
		if isDistant(name[:3]) && strings.HasSuffix(name, "-0") {
			delete(upstreams, name)
		}
	}
	former := h.Published
	h.publish(upstreams)
	v := *former
	v.Upstreams = upstreams
	otherCatalog.Update(&v)
	r.other = New(h, otherCatalog, h, otherHistory, metric.New(), zap.NewNop(), WithAggregators(testbed.OtherRegion, nil))
	r.runner = New(h, h.Catalog, h, h.History, metric.New(), zap.NewNop(), WithAggregators(testbed.Region, r))
	return r
}

// isDistant reports whether the shard has upstreams in the other region only.
func isDistant(shard string) bool { return shard[2]%3 == 0 }

func (r *regions) GathersItself() bool { return true }

func (r *regions) Pick(region, _ string, _ ...string) (membership.Member, bool) {
	until := r.avoidedUntil.Load()
	return membership.Member{Name: "other"}, region == testbed.OtherRegion && (until == nil || time.Now().After(*until))
}

func (r *regions) Rest(ctx context.Context, _ membership.Member, q aggregator.RestRequest, _ aggregator.Set) (aggregator.Reply, error) {
	time.Sleep(crossing)
	defer time.Sleep(crossing)
	return r.other.AggregateRest(ctx, q)
}

func (r *regions) Answered(membership.Member) { r.avoidedUntil.Store(nil) }

func (r *regions) Missed(membership.Member) {
	until := time.Now().Add(time.Second)
	r.avoidedUntil.Store(&until)
}

func (r *regions) Refused(m membership.Member) { r.Missed(m) }

func (r *regions) Gather(ctx context.Context, _ membership.Member, q aggregator.Request) (aggregator.Reply, error) {
	r.asked.Add(1)
	time.Sleep(crossing)
	defer time.Sleep(crossing)
	if r.call != nil {
		return r.call(ctx, q)
	}
	return r.other.Aggregate(ctx, q)
}

func (r *regions) stopAll() {
	r.requireAttempts()
	r.other.Wait(context.Background())
	r.stop()
}

func (r *regions) observe(a replica.Arrival) {
	if !a.Ran {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key := a.ID + " " + a.Upstream[:3]
	if r.arrivals[key] == nil {
		r.arrivals[key] = make(map[string]bool)
	}
	r.arrivals[key][a.Upstream] = true
}

// requireAttempts checks that no request ran on more upstreams of a shard than its route permits.
func (r *regions) requireAttempts() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, upstreams := range r.arrivals {
		require.LessOrEqual(r, len(upstreams), lookupShape().Route.MaxAttempts, key)
	}
}

// distantArrivals returns the number of requests at the upstreams of each distant shard.
func (r *regions) distantArrivals() map[string]int {
	arrivals := make(map[string]int)
	for _, p := range r.AllReplicas() {
		if isDistant(p.ID()[:3]) {
			arrivals[p.ID()[:3]] += len(p.ArrivalTimes())
		}
	}
	return arrivals
}

// TestDelegation checks that an aggregator gathers the parts of the distant shards, each with one attempt in the fleet, and that its
// merged parts give the same answer as the parts themselves.
func TestDelegation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegions(t)
		defer r.stopAll()
		s := lookupShape()
		const seconds, perSecond = 10, 20
		outcomes := r.GenerateLoad(perSecond, seconds*time.Second, 600*time.Millisecond, r.runner.Run)
		late := 0
		for _, o := range outcomes {
			require.Equal(t, http.StatusOK, o.Status)
			r.requireMerged(o, s.Records, s.Route.TopK, s.Services)
			if o.Missing > 0 || o.Latency > s.Route.Objective {
				late++
			}
		}
		require.Less(t, float64(late), 0.02*float64(len(outcomes)))
		require.Greater(t, float64(r.asked.Load()), 0.95*float64(len(outcomes)))
		for shard, n := range r.distantArrivals() {
			require.LessOrEqual(t, float64(n), 1.1*float64(len(outcomes)), "shard %s", shard)
		}
	})
}

// TestDelegationFaults lets the aggregator fail in different ways. Answers must be correct and nearly all be in time, and the extra
// attempts within the retry budget.
func TestDelegationFaults(t *testing.T) {
	for _, c := range []struct {
		name string
		call func(r *regions) func(ctx context.Context, q aggregator.Request) (aggregator.Reply, error)
		free bool // the fallback costs no extra attempts
	}{
		{name: "frozen", call: func(*regions) func(context.Context, aggregator.Request) (aggregator.Reply, error) {
			return func(ctx context.Context, _ aggregator.Request) (aggregator.Reply, error) {
				<-ctx.Done()
				return aggregator.Reply{}, ctx.Err()
			}
		}},
		{name: "slow", call: func(r *regions) func(context.Context, aggregator.Request) (aggregator.Reply, error) {
			return func(ctx context.Context, q aggregator.Request) (aggregator.Reply, error) {
				defer time.Sleep(150 * time.Millisecond)
				return r.other.Aggregate(ctx, q)
			}
		}},
		{name: "answer lost", call: func(r *regions) func(context.Context, aggregator.Request) (aggregator.Reply, error) {
			return func(ctx context.Context, q aggregator.Request) (aggregator.Reply, error) {
				_, _ = r.other.Aggregate(ctx, q)
				return aggregator.Reply{}, &client.LostError{Err: errors.New("connection was reset")}
			}
		}},
		{name: "unreachable", free: true, call: func(*regions) func(context.Context, aggregator.Request) (aggregator.Reply, error) {
			return func(context.Context, aggregator.Request) (aggregator.Reply, error) {
				return aggregator.Reply{}, &client.UnsentError{Err: errors.New("connection refused")}
			}
		}},
		{name: "stopping", free: true, call: func(*regions) func(context.Context, aggregator.Request) (aggregator.Reply, error) {
			return func(context.Context, aggregator.Request) (aggregator.Reply, error) {
				return aggregator.Reply{}, &client.RefusedError{Leaving: true}
			}
		}},
		{name: "another revision", free: true, call: func(r *regions) func(context.Context, aggregator.Request) (aggregator.Reply, error) {
			return func(ctx context.Context, q aggregator.Request) (aggregator.Reply, error) {
				q.Revision++
				_, err := r.other.Aggregate(ctx, q)
				return aggregator.Reply{}, &client.RefusedError{Reason: err.Error()}
			}
		}},
		{name: "part of the shards", call: func(r *regions) func(context.Context, aggregator.Request) (aggregator.Reply, error) {
			return func(ctx context.Context, q aggregator.Request) (aggregator.Reply, error) {
				q.Shards = slices.Clone(q.Shards)
				q.Shards[0] = 0
				if q.Shards.Len() == 0 {
					return aggregator.Reply{}, nil
				}
				return r.other.Aggregate(ctx, q)
			}
		}},
		{name: "now and then silent", call: func(r *regions) func(context.Context, aggregator.Request) (aggregator.Reply, error) {
			return func(ctx context.Context, q aggregator.Request) (aggregator.Reply, error) {
				if rand.IntN(20) == 0 {
					<-ctx.Done()
					return aggregator.Reply{}, ctx.Err()
				}
				return r.other.Aggregate(ctx, q)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRegions(t)
				defer r.stopAll()
				s := lookupShape()
				r.GenerateLoad(20, 2*time.Second, 600*time.Millisecond, r.runner.Run)
				before := r.distantArrivals()
				r.call = c.call(r)
				outcomes := r.GenerateLoad(20, 10*time.Second, 600*time.Millisecond, r.runner.Run)
				inTime := 0
				for _, o := range outcomes {
					if o.Status != http.StatusOK {
						continue
					}
					r.requireMerged(o, s.Records, s.Route.TopK, s.Services)
					if o.Missing == 0 && o.Latency <= s.Route.Objective {
						inTime++
					}
				}
				require.Greater(t, float64(inTime), 0.9*float64(len(outcomes)))
				for shard, n := range r.distantArrivals() {
					extra := n - before[shard] - len(outcomes)
					require.LessOrEqual(t, float64(extra), s.Bounds.ExtraRatio*float64(len(outcomes))+float64(s.Bounds.ExtraSlack))
					if c.free {
						require.LessOrEqual(t, extra, len(outcomes)/20)
					}
				}
			})
		})
	}
}

// TestDelegationAttempts lets the upstreams be slow now and then, so that both instances send extra attempts.
func TestDelegationAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegions(t)
		defer r.stopAll()
		for _, p := range r.AllReplicas() {
			p.SetFault(func(rng *rand.Rand) replica.Fault {
				if rng.IntN(5) == 0 {
					return replica.NoResponse
				}
				return replica.NoFault
			})
		}
		r.GenerateLoad(20, 10*time.Second, 600*time.Millisecond, r.runner.Run)
		require.Positive(t, r.asked.Load())
	})
}

// TestDelegatedWorkIsNotDenied lets all shards but the distant ones refuse requests, with and without late distant parts. The requests
// fail, and none may be refused as not run, since the upstreams of the distant shards ran them.
func TestDelegatedWorkIsNotDenied(t *testing.T) {
	for _, slowdown := range []float64{1, 8} {
		synctest.Test(t, func(t *testing.T) {
			r := newRegions(t)
			defer r.stopAll()
			r.GenerateLoad(20, 2*time.Second, 600*time.Millisecond, r.runner.Run)
			for _, p := range r.AllReplicas() {
				if !isDistant(p.ID()[:3]) {
					p.SetShed(1)
				} else if p.ID()[:3] == "s03" {
					p.SetSlowdown(slowdown)
				}
			}
			failed := 0
			for _, o := range r.GenerateLoad(5, 4*time.Second, 600*time.Millisecond, r.runner.Run) {
				ran := 0
				for _, p := range r.AllReplicas() {
					ran += p.Runs()[o.ID]
				}
				if o.Status == http.StatusServiceUnavailable {
					require.Zero(t, ran, "request %s was refused", o.ID)
				} else {
					failed++
				}
			}
			require.Positive(t, failed)
		})
	}
}

// TestAggregatorLeavesOutStuckShard checks that an aggregator sends no request for a shard whose upstreams do not answer it at present, so
// that the instance that asks can go on without an extra attempt.
func TestAggregatorLeavesOutStuckShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegions(t)
		defer r.stopAll()
		const stuck, sound = 3, 6
		aggregate := func() aggregator.Reply {
			q := r.NewRequest(600 * time.Millisecond)
			rep, err := r.other.Aggregate(t.Context(), aggregator.Request{
				ID: q.ID, Method: q.Method, Target: q.Target, Path: q.Path, Host: q.Host, Revision: 1,
				Shards: aggregator.Set{}.With(stuck).With(sound), TimeLeftUS: q.Timeout.Microseconds(),
			})
			require.NoError(t, err)
			return rep
		}
		r.GenerateLoad(20, 2*time.Second, 600*time.Millisecond, r.runner.Run)
		require.Equal(t, 2, aggregate().Answered.Len())
		arrivals := make(map[string]int)
		for _, p := range r.Replicas["s03"] {
			p.SetUnresponsive(true)
			arrivals[p.ID()] = len(p.ArrivalTimes())
		}
		for _, p := range r.Replicas["s03"][1:] { // those in the region of the aggregator
			for n := 0; len(p.ArrivalTimes()) == arrivals[p.ID()]; n++ {
				require.Less(t, n, 100)
				go aggregate()
				time.Sleep(5 * time.Millisecond)
			}
		}
		time.Sleep(100 * time.Millisecond)
		rep := aggregate()
		require.True(t, rep.Answered.Has(sound))
		require.False(t, rep.Answered.Has(stuck))
		require.False(t, rep.Sent.Has(stuck))
	})
}

// TestDelegationRespectsRegions checks that an instance of a region that the route does not allow is not asked, and refuses.
func TestDelegationRespectsRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegions(t)
		defer r.stopAll()
		rt, _ := r.Published.Table.Lookup("h", "/x")
		rt.Regions = []string{testbed.Region}
		for _, o := range r.GenerateLoad(20, time.Second, 600*time.Millisecond, r.runner.Run) {
			require.Equal(t, http.StatusServiceUnavailable, o.Status, "a third of the shards has no permitted upstream")
		}
		require.Zero(t, r.asked.Load())
		var refused *RefusedError
		q := r.NewRequest(time.Second)
		_, err := r.other.Aggregate(t.Context(), aggregator.Request{ID: q.ID, Method: q.Method, Target: q.Target, Path: q.Path, Host: q.Host, Revision: 1, Shards: aggregator.Set{}.With(0), TimeLeftUS: 1e6})
		require.ErrorAs(t, err, &refused)
		rt.Regions = nil
	})
}

// TestCallerLeavesDelegation checks that no upstream works for a caller that has left half a second before, also through an aggregator.
func TestCallerLeavesDelegation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegions(t)
		defer r.stopAll()
		r.GenerateLoad(20, 2*time.Second, 600*time.Millisecond, r.runner.Run)
		for _, p := range r.AllReplicas() {
			p.SetSlowdown(1000)
		}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(20*time.Millisecond, cancel)
		r.runner.Run(ctx, r.NewRequest(30*time.Second))
		start := time.Now()
		r.runner.Wait(t.Context())
		r.other.Wait(t.Context())
		require.Less(t, time.Since(start), 500*time.Millisecond)
	})
}

// TestTwoLevelMerge checks for any split of the shards that merging merged parts gives the same records as merging all parts at once.
func TestTwoLevelMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		topK := rapid.IntRange(0, 12).Draw(t, "top-k")
		flat, upper := merge.New(topK), merge.New(topK)
		for range rapid.IntRange(1, 4).Draw(t, "groups") {
			lower := merge.New(topK)
			for range rapid.IntRange(0, 4).Draw(t, "parts") {
				part := replica.Part("u", rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "part"), rapid.IntRange(0, 8).Draw(t, "records"))
				flat.Add(part)
				lower.Add(part)
			}
			upper.Add(lower.Bytes())
		}
		require.Equal(t, flat.Bytes(), upper.Bytes())
	})
}

// TestFewConnections checks that shards are not delegated while an instance has a single connection to each upstream.
func TestFewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegions(t)
		defer r.stopAll()
		r.Catalog.SetInstanceCount(testbed.MaxConnections)
		for _, o := range r.GenerateLoad(20, time.Second, 600*time.Millisecond, r.runner.Run) {
			require.Equal(t, http.StatusOK, o.Status)
		}
		require.Zero(t, r.asked.Load())
	})
}
