// Package testbed holds upstreams on a network in memory, as one instance sees them. It suits testing/synctest.
package testbed

import (
	"context"
	"fmt"
	"math/rand/v2"
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
)

// Names are the headers of the contract with the upstreams.
var Names = replica.Names{RequestID: "Id", Deadline: "Deadline", Target: "Target", Seal: "Seal", NotRun: "Not-Run", Load: "Load"}

const (
	// DialLatency is the time that the users' upstreams take for a new connection.
	DialLatency = 6 * time.Millisecond
	// MaxConnections is the number of connections that an upstream takes.
	MaxConnections = 26

	// Domain is the failure domain of the instance.
	Domain = "d"
	region = "r"
	// elsewhere is a failure domain of another region.
	elsewhere = "e"
)

// Testbed is one instance's upstreams and its view of them.
type Testbed struct {
	Net       *network.Network
	Catalog   *catalog.Catalog
	History   *history.History
	Published *state.View
	// Replicas are those of each service, Servers and Listeners those of all in the order of their names.
	Replicas  map[string][]*replica.Replica
	Servers   []*http.Server
	Listeners []*network.Listener
	// ViewAge is the age of the view.
	ViewAge time.Duration
	number  atomic.Int64
}

// New starts the upstreams of a shape.
func New(s topology.Topology) *Testbed {
	w := &Testbed{Net: network.New(DialLatency), Replicas: make(map[string][]*replica.Replica)}
	v := &state.View{Upstreams: make(map[string]registration.Registration), ExcludedDomains: map[string]bool{}}
	var services []service.Service
	for i := range s.Services {
		name := fmt.Sprintf("s%02d", i)
		services = append(services, service.Service{Name: name, MaxConnections: MaxConnections, ColdRate: s.ColdRate})
		for k := range s.Replicas {
			w.add(s, name, k, v)
		}
		if s.Route.TopK > 0 {
			s.Route.Shards = append(s.Route.Shards, name)
		} else {
			s.Route.Destinations = append(s.Route.Destinations, route.Destination{Service: name, Weight: 1})
		}
	}
	v.Table = table.New(1, []route.Route{s.Route}, services, limits.Limits{})
	w.Published = v
	settings := deployment.Settings{FailureDomain: Domain, Region: region, Regions: map[string]string{Domain: region, elsewhere: "q"}, Bounds: s.Bounds}
	w.History = history.New()
	w.Catalog = catalog.New(settings, w.History, catalog.WithLinkOptions(link.WithDial(w.Net.Dial)))
	w.Catalog.SetInstanceCount(1)
	w.Catalog.Update(v)
	return w
}

func (w *Testbed) add(s topology.Topology, name string, k int, v *state.View) {
	id := fmt.Sprintf("%s-%d", name, k)
	options, in := s.Options, Domain
	if k > 0 && s.RemoteRTT > 0 {
		options.RTT, in = s.RemoteRTT, elsewhere
	}
	p := replica.New(id, options)
	w.Replicas[name] = append(w.Replicas[name], p)
	server := &http.Server{Handler: p, ReadHeaderTimeout: time.Minute}
	w.Servers = append(w.Servers, server)
	l := w.Net.Listen(id+":1", MaxConnections)
	w.Listeners = append(w.Listeners, l)
	go func() { _ = server.Serve(l) }() // ends with Stop
	v.Upstreams[id] = registration.Registration{Upstream: id, Service: name, Address: id + ":1", FailureDomain: in, Slots: s.Slots, Cold: s.Cold}
	v.Changed = append(v.Changed, id)
}

// View gives what is published, and Age how old that is: the world is a viewer.
func (w *Testbed) View() *state.View { return w.Published }

// Age is that of the view.
func (w *Testbed) Age() (time.Duration, bool) { return w.ViewAge, true }

// Stop ends everything that runs; connections linger for up to twice connection.LingerTimeout.
func (w *Testbed) Stop() {
	v := &state.View{Table: w.Published.Table, ExcludedDomains: map[string]bool{}}
	for name := range w.Published.Upstreams {
		v.Changed = append(v.Changed, name)
	}
	w.Catalog.Update(v)
	for _, s := range w.Servers {
		_ = s.Close()
	}
}

// AllReplicas gives the replicas of all services in the order of their names.
func (w *Testbed) AllReplicas() []*replica.Replica {
	var all []*replica.Replica
	for _, of := range w.Replicas {
		all = append(all, of...)
	}
	slices.SortFunc(all, func(a, b *replica.Replica) int { return strings.Compare(a.ID(), b.ID()) })
	return all
}

// NewRequest is the next request of a caller that waits for the given time.
func (w *Testbed) NewRequest(left time.Duration) request.Request {
	return request.Request{
		ID: fmt.Sprintf("q%d", w.number.Add(1)), Method: http.MethodGet, Target: "/x", Path: "/x", Host: "h",
		Header: http.Header{}, Arrived: time.Now(), Timeout: left,
	}
}

// GenerateLoad sends perSecond requests a second at even distances for the given time.
func (w *Testbed) GenerateLoad(perSecond int, d, left time.Duration, run func(context.Context, request.Request) reply.Reply) []outcome.Outcome {
	var mu sync.Mutex
	var group sync.WaitGroup
	var all []outcome.Outcome
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); <-ticker.C {
		q := w.NewRequest(left)
		group.Go(func() {
			a := run(context.Background(), q)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, outcome.Outcome{Request: q, Reply: a, Latency: time.Since(q.Arrived)})
		})
	}
	group.Wait()
	return all
}

// RunNaive asks a random replica of each service and waits for all. It stands beside the tier in experiments.
func (w *Testbed) RunNaive(ctx context.Context, q request.Request) reply.Reply {
	on, _ := w.Published.Table.Lookup(q.Host, q.Path)
	ctx, cancel := context.WithTimeout(ctx, on.Timeout)
	defer cancel()
	var group sync.WaitGroup
	var missing atomic.Int64
	for _, s := range on.Shards {
		group.Go(func() {
			all := w.Catalog.Cluster(s).Replicas()
			p := all[rand.IntN(len(all))]
			out := link.Request{Method: q.Method, Target: q.Target, Host: q.Host, Header: func() http.Header { return w.Header(q, p.Name(), on.Timeout) }}
			if got, err := p.Link().Forward(ctx, out); err != nil || got.Status != http.StatusOK {
				missing.Add(1)
			}
		})
	}
	group.Wait()
	a := reply.Reply{Status: http.StatusOK, Missing: int(missing.Load())}
	if len(on.Shards)-a.Missing < on.MinParts() {
		a.Status = http.StatusGatewayTimeout
	}
	return a
}

// Header and Signals are the contract with the upstreams: the world is a wire.
func (*Testbed) Header(q request.Request, upstream string, left time.Duration) http.Header {
	return http.Header{
		Names.RequestID: {q.ID}, Names.Target: {upstream},
		Names.Deadline: {strconv.FormatInt(left.Milliseconds(), 10)}, "User-Agent": nil,
	}
}

// Signals reads what an answer tells.
func (*Testbed) Signals(q request.Request, status int, h http.Header) (cluster.Signals, error) {
	s := cluster.Signals{Load: -1, Proof: h.Get(Names.Seal), NotRun: h.Get(Names.NotRun) != ""}
	s.IsMisdirected = status == http.StatusMisdirectedRequest
	if id := h.Get(Names.RequestID); id != q.ID {
		return s, fmt.Errorf("answer to %q in place of %q", id, q.ID)
	}
	return s, nil
}
