package runner

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/experiment/outcome"
	"crocuswing/internal/experiment/topology"
	"crocuswing/internal/forward/aggregator"
	"crocuswing/internal/peer/client"
	"crocuswing/internal/standin/replica"

	"github.com/stretchr/testify/require"
)

// fleetSize is above the number of connections that an upstream accepts, so that the gathering is concentrated.
const fleetSize = 24

// thinShape is a search whose upstreams do not pause. Shards have more upstreams than the route permits attempts.
func thinShape() topology.Topology {
	topo := lookupShape()
	topo.PauseEvery = 0
	topo.Replicas = 4
	return topo
}

// inTime returns the share of the outcomes that are complete and meet the objective. It checks the merged records of all answers.
func (f *fleet) inTime(all []outcome.Outcome) float64 {
	topo := lookupShape()
	n := 0
	h := &harness{T: f.T}
	for _, o := range all {
		if o.Status != http.StatusOK {
			continue
		}
		h.requireMerged(o, topo.Records, topo.Route.TopK, topo.Services)
		if o.Missing == 0 && o.Latency <= topo.Route.Objective {
			n++
		}
	}
	return float64(n) / float64(len(all))
}

// load sends requests to the instances that are no aggregators, in turn.
func (f *fleet) load(perSecond int, d time.Duration) []outcome.Outcome {
	return f.GenerateLoad(perSecond, d, 600*time.Millisecond, f.run)
}

// TestNearDelegation checks that instances that are no aggregators hand their requests over and open no connection to an upstream, that
// each shard gets one attempt, and that only aggregators count the requests in their retry budgets.
func TestNearDelegation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, thinShape(), fleetSize, false)
		defer f.stopAll()
		gathering, others := f.aggregators()
		require.Len(t, gathering, 5, "22 connections by 4")
		for _, x := range gathering {
			require.Equal(t, 800, x.member.Capacity)
			require.Positive(t, x.opened())
		}
		opened := make(map[*instance]int)
		for _, x := range others {
			opened[x] = x.opened()
		}
		all := f.load(40, 20*time.Second)
		require.Greater(t, f.inTime(all), 0.98)
		require.InDelta(t, len(all)*lookupShape().Services, f.arrivalCount(), 0.02*float64(f.arrivalCount()))
		for _, l := range f.Listeners {
			require.Zero(t, l.RefusedDials(), "connections above the limit of an upstream")
			require.LessOrEqual(t, l.PeakConns(), 22)
		}
		for _, x := range others {
			require.LessOrEqual(t, x.opened()-opened[x], 2, "no connection without a fallback")
			slack := 0.85 * float64(lookupShape().Bounds.ExtraSlack) / fleetSize
			require.LessOrEqual(t, x.catalog.Cluster("s00").Remaining(), slack, "the aggregator counts the request")
		}
		for _, x := range gathering {
			require.Greater(t, x.catalog.Cluster("s00").Remaining(), 5.0)
		}
	})
}

// TestAggregateKinds guards against calls within the region that are counted as distant: operators tell the two kinds by their label.
func TestAggregateKinds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, thinShape(), fleetSize, false)
		defer f.stopAll()
		gathering, others := f.aggregators()
		for _, x := range gathering[1:] {
			x.setFault(refuses)
		}
		for range 20 {
			others[0].runner.Run(t.Context(), f.NewRequest(600*time.Millisecond))
		}
		for x, names := range map[*instance][]string{others[0]: {"asked", "refused"}, gathering[0]: {"served"}} {
			var b strings.Builder
			x.metrics.Write(&b)
			require.NotContains(t, b.String(), `kind="distant"`)
			for _, name := range names {
				require.Regexp(t, `(?m)^crocuswing_aggregates_`+name+`_total\{kind="near"\} [1-9]`, b.String())
			}
		}
	})
}

// TestNearFallbackCounts checks that an instance whose aggregators all refuse sends the request itself, at no cost, and counts it in its own
// retry budget.
func TestNearFallbackCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, thinShape(), fleetSize, false)
		defer f.stopAll()
		gathering, others := f.aggregators()
		for _, x := range gathering {
			x.setFault(refuses)
		}
		cl := others[0].catalog.Cluster("s00")
		before := cl.Remaining()
		const requests = 20
		for range requests {
			rep := others[0].runner.Run(t.Context(), f.NewRequest(600*time.Millisecond))
			require.Equal(t, http.StatusOK, rep.Status)
			require.Zero(t, rep.Missing)
		}
		require.Equal(t, requests*lookupShape().Services, f.arrivalCount())
		require.InDelta(t, 0.85*lookupShape().Bounds.ExtraRatio*requests, cl.Remaining()-before, 0.5)
	})
}

// TestNearGrant lets upstreams lose one in ten requests. The aggregator hedges them after the grant, so that nearly all answers are
// complete although the route permits two attempts only, and the extra attempts stay within the bound of the fleet.
func TestNearGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, thinShape(), fleetSize, false)
		defer f.stopAll()
		f.load(40, 15*time.Second)
		before := f.arrivalCount()
		for _, p := range f.AllReplicas() {
			p.SetFault(func(rng *rand.Rand) replica.Fault {
				return []replica.Fault{replica.NoFault, replica.NoResponse, replica.InternalError}[max(0, rng.IntN(30)-27)]
			})
		}
		all := f.load(40, 10*time.Second)
		require.Greater(t, f.inTime(all), 0.85)
		extra := f.arrivalCount() - before - len(all)*lookupShape().Services
		bound := lookupShape().Bounds.ExtraRatio*float64(len(all)) + float64(lookupShape().Bounds.ExtraSlack)
		require.LessOrEqual(t, float64(extra), bound*float64(lookupShape().Services))
		_, others := f.aggregators()
		opened := 0
		for _, x := range others {
			opened += x.opened()
		}
		require.Less(t, opened, extra/4, "the aggregators send the extra attempts")
	})
}

// TestThinTraffic compares fleets with thin traffic whose instances each gather for themselves with ones that concentrate the gathering,
// while each upstream pauses 120 ms every 3 s. The concentrated ones must answer more requests in time, and open few new connections.
func TestThinTraffic(t *testing.T) {
	for _, size := range []int{fleetSize, 59} {
		var inTime, perSubrequest [2]float64
		for i, isFlat := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, lookupShape(), size, isFlat)
				defer f.stopAll()
				f.load(20, 15*time.Second)
				opened, arrivals := f.opened(), f.arrivalCount()
				all := f.load(20, 20*time.Second)
				inTime[i] = f.inTime(all)
				perSubrequest[i] = float64(f.opened()-opened) / float64(f.arrivalCount()-arrivals)
				t.Logf("%d instances, flat %t: %.3f in time, %.3f new connections per subrequest, p50 %v, p99 %v", size, isFlat, inTime[i], perSubrequest[i],
					outcome.Quantile(all, 0.5), outcome.Quantile(all, 0.99))
			})
		}
		require.GreaterOrEqual(t, inTime[1], inTime[0])
		require.Less(t, perSubrequest[1], 0.05)
	}
}

type faultFunc = func(ctx context.Context, method string, call func() (aggregator.Reply, error)) (aggregator.Reply, error)

// Faults of an aggregator.
var (
	frozen faultFunc = func(ctx context.Context, _ string, _ func() (aggregator.Reply, error)) (aggregator.Reply, error) {
		<-ctx.Done()
		return aggregator.Reply{}, ctx.Err()
	}
	unsent faultFunc = func(context.Context, string, func() (aggregator.Reply, error)) (aggregator.Reply, error) {
		return aggregator.Reply{}, &client.UnsentError{Err: errors.New("connection refused")}
	}
	refuses faultFunc = func(context.Context, string, func() (aggregator.Reply, error)) (aggregator.Reply, error) {
		return aggregator.Reply{}, &RefusedError{Reason: "revision 2 is not in force here"}
	}
	lost faultFunc = func(_ context.Context, _ string, call func() (aggregator.Reply, error)) (aggregator.Reply, error) {
		_, _ = call()
		return aggregator.Reply{}, &client.LostError{Err: errors.New("connection was reset")}
	}
	slow faultFunc = func(_ context.Context, _ string, call func() (aggregator.Reply, error)) (aggregator.Reply, error) {
		defer time.Sleep(70 * time.Millisecond)
		return call()
	}
	// unanswered is a cut of the direction from the aggregator to the instance that asks: calls and their cancels arrive, answers do not.
	unanswered faultFunc = func(ctx context.Context, _ string, call func() (aggregator.Reply, error)) (aggregator.Reply, error) {
		_, _ = call()
		<-ctx.Done()
		return aggregator.Reply{}, ctx.Err()
	}
	// killed loses the answers after a time in which the aggregator has worked on the call.
	killed faultFunc = func(_ context.Context, _ string, call func() (aggregator.Reply, error)) (aggregator.Reply, error) {
		go func() { _, _ = call() }()
		time.Sleep(15 * time.Millisecond)
		return aggregator.Reply{}, &client.LostError{Err: errors.New("connection was reset")}
	}
)

// restOnly returns a fault of the calls for late parts alone.
func restOnly(fault faultFunc) faultFunc {
	return func(ctx context.Context, method string, call func() (aggregator.Reply, error)) (aggregator.Reply, error) {
		if method == aggregator.RestMethod {
			return fault(ctx, method, call)
		}
		return call()
	}
}

// afterFirst returns a fault of the calls for late parts but the first of each 100 ms, so that most grants are accepted.
func afterFirst(fault faultFunc) faultFunc {
	var mu sync.Mutex
	var seen time.Time
	return restOnly(func(ctx context.Context, method string, call func() (aggregator.Reply, error)) (aggregator.Reply, error) {
		mu.Lock()
		isFirst := time.Since(seen) > 100*time.Millisecond
		if isFirst {
			seen = time.Now()
		}
		mu.Unlock()
		if isFirst {
			return call()
		}
		return fault(ctx, method, call)
	})
}

// TestNearAttempts lets upstreams fail or lose a third of their requests, with a retry budget that permits any number of extra attempts, while
// aggregators fail in different ways. No shard of a request may reach more upstreams than the route permits: the instance that asks and
// the aggregator must not both use the attempts that are left, whether a grant was given, lost, or given after a fallback.
func TestNearAttempts(t *testing.T) {
	topo := thinShape()
	topo.Bounds.ExtraRatio, topo.Bounds.ExtraSlack = 5, 50000
	topo.Route.MinShare = 1 // so that the late parts are asked for again after the objective
	for name, fault := range map[string]faultFunc{
		"unreachable after an accepted grant": afterFirst(unsent),
		"sound": func(_ context.Context, _ string, call func() (aggregator.Reply, error)) (aggregator.Reply, error) {
			return call()
		},
		"slow": slow, "answers lost": lost, "unanswered": unanswered, "unanswered after the first reply": restOnly(unanswered), "killed": killed, "killed after the first reply": restOnly(killed),
		"slow after the first reply": restOnly(slow), "unreachable after the first reply": restOnly(unsent), "frozen after the first reply": restOnly(frozen),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, topo, fleetSize, false)
				defer f.stopAll()
				f.load(40, 3*time.Second)
				for _, p := range f.AllReplicas() {
					p.SetFault(func(rng *rand.Rand) replica.Fault {
						return []replica.Fault{replica.NoFault, replica.NoFault, replica.NoFault, replica.NoFault, replica.NoResponse, replica.InternalError}[rng.IntN(6)]
					})
				}
				gathering, _ := f.aggregators()
				for _, x := range gathering[:3] {
					x.setFault(fault)
				}
				f.load(40, 4*time.Second)
			})
		})
	}
}

// TestNearFaults lets one aggregator, or all of them, fail in different ways. The answers must be correct and nearly all in time as long as
// a sound instance is left.
func TestNearFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		fault  faultFunc
		all    bool    // all aggregators fail
		inTime float64 // at least, of the requests
		// isPrevious puts the aggregators on the previous release in place of a fault.
		isPrevious bool
	}{
		{name: "frozen", fault: frozen, inTime: 0.9},
		{name: "slow", fault: slow, inTime: 0.9},
		{name: "answers lost", fault: lost, inTime: 0.9},
		{name: "unreachable", fault: unsent, inTime: 0.97},
		{name: "another revision", fault: refuses, inTime: 0.97},
		{name: "dies after the first reply", fault: restOnly(lost), inTime: 0.8},
		{name: "unreachable after the first reply", fault: restOnly(unsent), inTime: 0.8},
		{name: "frozen after the first reply", fault: restOnly(frozen), inTime: 0.8},
		{name: "cut off from the instance that asks", fault: unanswered, inTime: 0.9},
		{name: "cut off after the first reply", fault: restOnly(unanswered), inTime: 0.8},
		{name: "previous release", isPrevious: true, inTime: 0.9},
		{name: "all of the previous release", isPrevious: true, all: true, inTime: 0.8},
		{name: "all unreachable", fault: unsent, all: true, inTime: 0.5},
		{name: "all frozen", fault: frozen, all: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, thinShape(), fleetSize, false)
				defer f.stopAll()
				f.load(40, 10*time.Second)
				for _, p := range f.AllReplicas() {
					p.SetFault(func(rng *rand.Rand) replica.Fault {
						if rng.IntN(500) == 0 {
							return replica.NoResponse
						}
						return replica.NoFault
					})
				}
				gathering, _ := f.aggregators()
				for i, x := range gathering {
					if i != 0 && !c.all {
						continue
					}
					x.isPrevious.Store(c.isPrevious)
					if c.fault != nil {
						x.setFault(c.fault)
					}
				}
				all := f.load(40, 10*time.Second)
				share := f.inTime(all)
				t.Logf("%.3f in time", share)
				require.GreaterOrEqual(t, share, c.inTime)
			})
		})
	}
}

// TestNearStop checks that an aggregator that stops refuses, so that its requests go to others at once.
func TestNearStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, thinShape(), fleetSize, false)
		defer f.stopAll()
		f.load(40, 10*time.Second)
		gathering, _ := f.aggregators()
		gathering[0].runner.Stop(time.Now().Add(time.Minute))
		q := f.NewRequest(time.Second)
		_, err := gathering[0].runner.Aggregate(t.Context(), aggregator.Request{
			ID: q.ID, Method: q.Method, Target: q.Target, Path: q.Path, Host: q.Host, Revision: 1, Shards: aggregator.Set{}.With(0), TimeLeftUS: 1e6, Near: true,
		})
		var refused *RefusedError
		require.ErrorAs(t, err, &refused)
		served := f.arrivalCount()
		all := f.load(40, 5*time.Second)
		require.Greater(t, f.inTime(all), 0.98)
		require.InDelta(t, len(all)*lookupShape().Services, f.arrivalCount()-served, 0.02*float64(served))
	})
}

// TestNearCallerLeaves checks that no upstream works for a caller that has left half a second before, through an aggregator, before and
// after the grant.
func TestNearCallerLeaves(t *testing.T) {
	for _, leaves := range []time.Duration{10 * time.Millisecond, 34 * time.Millisecond, 80 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, thinShape(), fleetSize, false)
			defer f.stopAll()
			f.load(40, 10*time.Second)
			for _, p := range f.AllReplicas() {
				p.SetSlowdown(1000)
			}
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(leaves, cancel)
			_, others := f.aggregators()
			others[0].runner.Run(ctx, f.NewRequest(30*time.Second))
			start := time.Now()
			for _, x := range f.instances {
				x.runner.Wait(t.Context())
			}
			require.Less(t, time.Since(start), 500*time.Millisecond)
		})
	}
}

// TestNearRefusal checks that an aggregator whose upstreams ask for a pause refuses before it sends anything, and that the caller gets its
// retry delay; the instance that asks does not try the upstreams itself.
func TestNearRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, thinShape(), fleetSize, false)
		defer f.stopAll()
		f.load(40, 10*time.Second)
		gathering, others := f.aggregators()
		for _, x := range gathering {
			for service := range f.Replicas {
				cl := x.catalog.Cluster(service)
				for _, r := range cl.Replicas() {
					cl.RecordSignals(r, pauseSignals(2*time.Second))
				}
			}
		}
		before := f.arrivalCount()
		rep := others[0].runner.Run(t.Context(), f.NewRequest(600*time.Millisecond))
		require.Equal(t, http.StatusServiceUnavailable, rep.Status)
		require.InDelta(t, 2.25, rep.RetryAfter.Seconds(), 0.4)
		require.Equal(t, before, f.arrivalCount())
	})
}

// TestAggregatesOfEqualID guards against the late parts of one request being returned for another one with the same identifier, which
// callers choose.
func TestAggregatesOfEqualID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, thinShape(), fleetSize, false)
		defer f.stopAll()
		for _, p := range f.AllReplicas() {
			p.SetUnresponsive(true)
		}
		r := f.instances[0].runner
		q := f.NewRequest(600 * time.Millisecond)
		for shard := range 2 {
			rep, err := r.Aggregate(t.Context(), aggregator.Request{
				ID: q.ID, Call: uint64(shard + 1), Method: q.Method, Target: q.Target, Path: q.Path, Host: q.Host, Revision: 1,
				Shards: aggregator.Set{}.With(shard), TimeLeftUS: q.Timeout.Microseconds(), Near: true,
			})
			require.NoError(t, err)
			require.True(t, rep.Late.Has(shard))
		}
		rep, err := r.AggregateRest(t.Context(), aggregator.RestRequest{ID: q.ID, Call: 1, Grant: true})
		require.NoError(t, err)
		require.True(t, rep.Sent.Has(0))
		require.False(t, rep.Sent.Has(1))
	})
}
