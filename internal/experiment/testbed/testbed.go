// Package testbed runs simulated upstreams on an in-memory network, as one instance sees them, and sends load to a policy.
//
// It provides the published view and the protocol with the upstreams that a policy uses, so that an experiment can compare the
// product's policy with a naive one under the same conditions. It works in a testing/synctest bubble.
package testbed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"crocuswing/internal/experiment/outcome"
	"crocuswing/internal/experiment/topology"
	"crocuswing/internal/forward/reply"
	"crocuswing/internal/forward/request"
	"crocuswing/internal/published/registration"
	"crocuswing/internal/published/state"
	"crocuswing/internal/routing/limits"
	"crocuswing/internal/routing/route"
	"crocuswing/internal/routing/service"
	"crocuswing/internal/routing/table"
	"crocuswing/internal/settings/deployment"
	"crocuswing/internal/standin/network"
	"crocuswing/internal/standin/replica"
	"crocuswing/internal/stats/history"
	"crocuswing/internal/upstream/catalog"
	"crocuswing/internal/upstream/cluster"
	"crocuswing/internal/upstream/link"
	"crocuswing/internal/upstream/retryafter"
)

// HeaderNames holds the header names of the contract with the upstreams.
var HeaderNames = replica.HeaderNames{RequestID: "Id", Deadline: "Deadline", Target: "Target", Proof: "Seal", NotRun: "Not-Run", Load: "Load", Leaving: "Leaving"}

const (
	// DialLatency is the time that the users' upstreams take to accept a new connection.
	DialLatency = 6 * time.Millisecond
	// MaxConnections is the number of connections that an upstream accepts.
	MaxConnections = 26
)

// Failure domains and regions of the instance and of the distant upstreams.
const (
	Domain      = "d"
	Region      = "r"
	OtherDomain = "e"
	OtherRegion = "q"
)

// Testbed holds the upstreams of one instance and its view of them.
type Testbed struct {
	Net       *network.Network
	Catalog   *catalog.Catalog
	History   *history.History
	Published *state.View
	// Replicas holds the replicas by service. Servers and Listeners hold those of all replicas, in the order of their names.
	Replicas  map[string][]*replica.Replica
	Servers   []*http.Server
	Listeners []*network.Listener
	// ViewAge is the age that Age reports for the view.
	ViewAge      time.Duration
	requestCount atomic.Int64
}

// New starts the upstreams of a topology.
func New(topo topology.Topology) *Testbed {
	t := &Testbed{Net: network.New(DialLatency), Replicas: make(map[string][]*replica.Replica)}
	v := &state.View{Upstreams: make(map[string]registration.Registration), ExcludedDomains: map[string]bool{}}
	var services []service.Service
	for i := range topo.Services {
		name := fmt.Sprintf("s%02d", i)
		services = append(services, service.Service{Name: name, MaxConnections: MaxConnections, ColdRate: topo.ColdRate})
		for index := range topo.Replicas {
			t.addReplica(topo, name, index, v)
		}
		if topo.Route.TopK > 0 {
			topo.Route.Shards = append(topo.Route.Shards, name)
		} else {
			topo.Route.Destinations = append(topo.Route.Destinations, route.Destination{Service: name, Weight: 1})
		}
	}
	v.Table = table.New(1, []route.Route{topo.Route}, services, limits.Limits{})
	t.Published = v
	settings := deployment.Settings{FailureDomain: Domain, Region: Region, Regions: map[string]string{Domain: Region, OtherDomain: OtherRegion}, Bounds: topo.Bounds}
	t.History = history.New()
	t.Catalog = catalog.New(settings, t.History, catalog.WithLinkOptions(link.WithDial(t.Net.Dial)))
	t.Catalog.SetInstanceCount(1)
	t.Catalog.Update(v)
	return t
}

// addReplica starts one replica of the service with the given name and registers it in v.
func (t *Testbed) addReplica(topo topology.Topology, name string, index int, v *state.View) {
	id := fmt.Sprintf("%s-%d", name, index)
	options, domain := topo.Options, Domain
	if index > 0 && topo.RemoteRTT > 0 {
		options.RTT, domain = topo.RemoteRTT, OtherDomain
	}
	p := replica.New(id, options)
	t.Replicas[name] = append(t.Replicas[name], p)
	server := &http.Server{Handler: p, ReadHeaderTimeout: time.Minute}
	t.Servers = append(t.Servers, server)
	l := t.Net.Listen(id+":1", MaxConnections)
	t.Listeners = append(t.Listeners, l)
	var served net.Listener = l
	if topo.WrapListener != nil {
		served = topo.WrapListener(l)
	}
	go func() { _ = server.Serve(served) }() // returns after Stop
	v.Upstreams[id] = registration.Registration{Upstream: id, Service: name, Address: id + ":1", FailureDomain: domain, Slots: topo.Slots, Cold: topo.Cold}
	v.Changed = append(v.Changed, id)
}

// View returns the published view.
func (t *Testbed) View() *state.View { return t.Published }

// Age returns the age of the view, which is always known.
func (t *Testbed) Age() (time.Duration, bool) { return t.ViewAge, true }

// Stop stops the upstreams and removes them from the catalog. Connections linger for up to twice connection.LingerTimeout.
func (t *Testbed) Stop() {
	v := &state.View{Table: t.Published.Table, ExcludedDomains: map[string]bool{}}
	for name := range t.Published.Upstreams {
		v.Changed = append(v.Changed, name)
	}
	t.Catalog.Update(v)
	for _, s := range t.Servers {
		_ = s.Close()
	}
}

// AllReplicas returns the replicas of all services in the order of their names.
func (t *Testbed) AllReplicas() []*replica.Replica {
	var all []*replica.Replica
	for _, replicas := range t.Replicas {
		all = append(all, replicas...)
	}
	slices.SortFunc(all, func(a, b *replica.Replica) int { return strings.Compare(a.ID(), b.ID()) })
	return all
}

// NewRequest returns a new request from a caller that waits for timeout.
func (t *Testbed) NewRequest(timeout time.Duration) request.Request {
	return request.Request{
		ID: fmt.Sprintf("q%d", t.requestCount.Add(1)), Method: http.MethodGet, Target: "/x", Path: "/x", Host: "h",
		Header: http.Header{}, Arrived: time.Now(), Timeout: timeout,
	}
}

// GenerateLoad calls run with perSecond evenly spaced requests per second for d, and returns their outcomes once all have ended.
func (t *Testbed) GenerateLoad(perSecond int, d, timeout time.Duration, run func(context.Context, request.Request) reply.Reply) []outcome.Outcome {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var all []outcome.Outcome
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); <-ticker.C {
		q := t.NewRequest(timeout)
		wg.Go(func() {
			r := run(context.Background(), q)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, outcome.Outcome{Request: q, Reply: r, Latency: time.Since(q.Arrived)})
		})
	}
	wg.Wait()
	return all
}

// RunNaive runs a request with a naive policy, the baseline of the experiments: it sends one attempt to a random replica of each
// service and waits for all of them.
func (t *Testbed) RunNaive(ctx context.Context, q request.Request) reply.Reply {
	rt, _ := t.Published.Table.Lookup(q.Host, q.Path)
	ctx, cancel := context.WithTimeout(ctx, rt.Timeout)
	defer cancel()
	var wg sync.WaitGroup
	var missing atomic.Int64
	for _, s := range rt.Shards {
		wg.Go(func() {
			all := t.Catalog.Cluster(s).Replicas()
			p := all[rand.IntN(len(all))]
			out := link.Request{ID: q.ID, Method: q.Method, Target: q.Target, Host: q.Host, Header: func() http.Header { return t.Header(q, p.Name(), rt.Timeout) }}
			if resp, err := p.Link().Forward(ctx, out); err != nil || resp.Status != http.StatusOK {
				missing.Add(1)
			}
		})
	}
	wg.Wait()
	r := reply.Reply{Status: http.StatusOK, Missing: int(missing.Load())}
	if len(rt.Shards)-r.Missing < rt.MinParts() {
		r.Status = http.StatusGatewayTimeout
	}
	return r
}

// Header returns the headers of an attempt that is sent to an upstream.
func (*Testbed) Header(q request.Request, upstream string, timeout time.Duration) http.Header {
	return http.Header{
		HeaderNames.RequestID: {q.ID}, HeaderNames.Target: {upstream},
		HeaderNames.Deadline: {strconv.FormatInt(timeout.Milliseconds(), 10)}, "User-Agent": nil,
	}
}

// Signals returns the signals that a response carries. It fails if the response belongs to another request.
func (*Testbed) Signals(q request.Request, status int, h http.Header) (cluster.Signals, error) {
	s := cluster.Signals{Load: -1, Proof: h.Get(HeaderNames.Proof), NotRun: h.Get(HeaderNames.NotRun) != ""}
	s.IsMisdirected = status == http.StatusMisdirectedRequest
	s.IsLeaving = h.Get(HeaderNames.Leaving) == "1"
	if status == http.StatusServiceUnavailable {
		s.RetryAfter = retryafter.Parse(h, time.Now())
	}
	if id := h.Get(HeaderNames.RequestID); id != q.ID {
		return s, fmt.Errorf("answer to %q in place of %q", id, q.ID)
	}
	return s, nil
}
