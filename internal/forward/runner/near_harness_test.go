package runner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"crocuswing/internal/experiment/testbed"
	"crocuswing/internal/experiment/topology"
	"crocuswing/internal/fleet/membership"
	"crocuswing/internal/forward/aggregator"
	"crocuswing/internal/forward/reply"
	"crocuswing/internal/forward/request"
	"crocuswing/internal/operator/metric"
	"crocuswing/internal/peer/client"
	"crocuswing/internal/settings/deployment"
	"crocuswing/internal/standin/replica"
	"crocuswing/internal/stats/history"
	"crocuswing/internal/upstream/catalog"
	"crocuswing/internal/upstream/cluster"
	"crocuswing/internal/upstream/connection"
	"crocuswing/internal/upstream/link"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
)

// peerLatency is the one-way latency between the instances of a region.
const peerLatency = 3 * time.Millisecond

// fleet is instances of one region that share the upstreams of a testbed.
type fleet struct {
	*testing.T
	*testbed.Testbed
	instances []*instance
	byAddress map[string]*instance
	cancel    context.CancelFunc
	next      atomic.Int64

	mu sync.Mutex
	// arrivals holds the upstreams that ran a request, by its identifier and the shard.
	arrivals map[string]map[string]bool
}

// instance is an instance of a fleet. It is the aggregator.Members of its own selector.
type instance struct {
	*fleet
	member   membership.Member
	catalog  *catalog.Catalog
	selector *aggregator.Selector
	runner   *Runner
	metrics  *metric.Metrics
	asked    atomic.Int64 // calls for aggregates of this instance
	served   atomic.Int64 // calls for aggregates to this instance
	// isPrevious makes the instance answer calls as one of the previous release, which knows no near aggregators.
	isPrevious atomic.Bool
	// fault replaces the call of a method of this instance if it is set and returns an error, or ends the call otherwise.
	fault atomic.Pointer[func(ctx context.Context, method string, call func() (aggregator.Reply, error)) (aggregator.Reply, error)]
}

// newFleet returns n instances, of which every fifth is large. With isFlat, each gathers for itself.
func newFleet(t *testing.T, topo topology.Topology, n int, isFlat bool) *fleet {
	f := &fleet{T: t, byAddress: make(map[string]*instance), arrivals: make(map[string]map[string]bool)}
	topo.Observe = f.observe
	f.Testbed = testbed.New(topo)
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	for i := range n {
		name := fmt.Sprintf("i-%02d", i)
		m := membership.Member{Name: name, Address: name, FailureDomain: testbed.Domain, Capacity: 190}
		if i%5 == 0 {
			m.Capacity = 800
		}
		f.add(m, topo, n, isFlat)
	}
	for _, x := range f.instances {
		x.selector.GathersItself() // selects at once
		go x.catalog.Run(ctx)
		go x.selector.Run(ctx)
	}
	time.Sleep(5 * time.Second) // until connections are open
	return f
}

func (f *fleet) add(m membership.Member, topo topology.Topology, n int, isFlat bool) {
	settings := deployment.Settings{
		Instance: m.Name, FailureDomain: testbed.Domain, Region: testbed.Region, Bounds: topo.Bounds,
		Regions: map[string]string{testbed.Domain: testbed.Region, testbed.OtherDomain: testbed.OtherRegion},
	}
	x := &instance{fleet: f, member: m, metrics: metric.New()}
	own := history.New()
	x.catalog = catalog.New(settings, own, catalog.WithLinkOptions(link.WithDial(f.Net.Dial)))
	x.catalog.SetInstanceCount(n)
	x.catalog.Update(f.Published)
	var options []aggregator.Option
	if !isFlat {
		options = append(options, aggregator.WithConcentration(x.catalog.GatheredConnections, x.catalog.SetAggregators, zap.NewNop()))
	}
	x.selector = aggregator.New(x, settings.Regions, options...)
	x.runner = New(f, x.catalog, f, own, x.metrics, zap.NewNop(), WithAggregators(testbed.Region, x.selector))
	f.instances = append(f.instances, x)
	f.byAddress[m.Address] = x
}

func (x *instance) Self() membership.Member { return x.member }

func (x *instance) Members() []membership.Member {
	var others []membership.Member
	for _, o := range x.instances {
		if o != x {
			others = append(others, o.member)
		}
	}
	return others
}

func (*instance) Connect(context.Context, string) error { return nil }

// Call runs a call with the latency of the network, encoded as between processes.
func (x *instance) Call(ctx context.Context, address, method string, request, answer any) error {
	target := x.byAddress[address]
	x.asked.Add(1)
	target.served.Add(1)
	body, err := msgpack.Marshal(request)
	require.NoError(x, err)
	time.Sleep(peerLatency)
	call := func() (aggregator.Reply, error) { return target.handle(ctx, method, body) }
	var r aggregator.Reply
	if fault := target.fault.Load(); fault != nil {
		r, err = (*fault)(ctx, method, call)
	} else {
		r, err = call()
	}
	time.Sleep(peerLatency)
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		return &client.RefusedError{Reason: err.Error()}
	case err != nil:
		return err
	case ctx.Err() != nil:
		return ctx.Err()
	}
	encoded, err := msgpack.Marshal(r)
	require.NoError(x, err)
	return msgpack.Unmarshal(encoded, answer)
}

func (x *instance) handle(ctx context.Context, method string, body []byte) (aggregator.Reply, error) {
	if method == aggregator.RestMethod {
		var q aggregator.RestRequest
		require.NoError(x, msgpack.Unmarshal(body, &q))
		if x.isPrevious.Load() {
			q.Grant, q.DueUS = false, 0
		}
		return x.withoutNewFields(x.runner.AggregateRest(ctx, q))
	}
	var q aggregator.Request
	require.NoError(x, msgpack.Unmarshal(body, &q))
	if x.isPrevious.Load() {
		q.Near, q.ObjectiveUS = false, 0
	}
	return x.withoutNewFields(x.runner.Aggregate(ctx, q))
}

// withoutNewFields removes the fields that the previous release does not send from a reply of an instance of that release.
func (x *instance) withoutNewFields(r aggregator.Reply, err error) (aggregator.Reply, error) {
	if x.isPrevious.Load() {
		r.EarlyUS, r.TookUS, r.RetryAfterUS = 0, 0, 0
	}
	return r, err
}

func (x *instance) setFault(fault func(ctx context.Context, method string, call func() (aggregator.Reply, error)) (aggregator.Reply, error)) {
	x.fault.Store(&fault)
}

// aggregators and others return the instances that gather for others, and those that do not.
func (f *fleet) aggregators() (all, others []*instance) {
	for _, x := range f.instances {
		if count, isSelf := x.selector.Concentration(); count > 0 && isSelf {
			all = append(all, x)
		} else {
			others = append(others, x)
		}
	}
	return all, others
}

// run runs a request at the next instance that is not an aggregator in turn, or at any if there is none.
func (f *fleet) run(ctx context.Context, q request.Request) reply.Reply {
	_, others := f.aggregators()
	return others[f.next.Add(1)%int64(len(others))].runner.Run(ctx, q)
}

func (f *fleet) observe(a replica.Arrival) {
	if !a.Ran {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	key := a.ID + " " + a.Upstream[:3]
	if f.arrivals[key] == nil {
		f.arrivals[key] = make(map[string]bool)
	}
	f.arrivals[key][a.Upstream] = true
}

// arrivalCount returns the number of requests that upstreams have received.
func (f *fleet) arrivalCount() int {
	n := 0
	for _, p := range f.AllReplicas() {
		n += len(p.ArrivalTimes())
	}
	return n
}

// opened returns the number of connections that all instances have opened.
func (f *fleet) opened() int {
	n := 0
	for _, x := range f.instances {
		n += x.opened()
	}
	return n
}

// opened returns the number of connections that the instance has opened.
func (x *instance) opened() int {
	n := 0
	for service := range x.Replicas {
		for _, r := range x.catalog.Cluster(service).Replicas() {
			n += int(r.Link().Stats().Opened)
		}
	}
	return n
}

// stopAll checks that no request ran on more upstreams of a shard than its route permits, and ends all goroutines.
func (f *fleet) stopAll() {
	f.mu.Lock()
	for key, upstreams := range f.arrivals {
		require.LessOrEqual(f, len(upstreams), lookupShape().Route.MaxAttempts, key)
	}
	f.mu.Unlock()
	f.cancel()
	for _, x := range f.instances {
		x.runner.Wait(context.Background())
	}
	f.Stop()
	time.Sleep(2 * connection.LingerTimeout)
}

// pauseSignals returns the signals of an upstream that refuses requests for a while.
func pauseSignals(d time.Duration) cluster.Signals {
	return cluster.Signals{NotRun: true, RetryAfter: d, Load: -1}
}
