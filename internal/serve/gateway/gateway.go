// Package gateway assembles an instance that forwards requests on a shared platform and runs it until its context ends. Its Ports
// supply what depends on the platform: the store, the protocol with upstreams and the handler for callers. It serves callers,
// other instances, the readiness check and the metrics, each on its own address.
package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"crocuswing/internal/entry/budget"
	"crocuswing/internal/entry/connections"
	"crocuswing/internal/fleet/membership"
	"crocuswing/internal/forward/aggregator"
	"crocuswing/internal/forward/runner"
	"crocuswing/internal/network/slots"
	"crocuswing/internal/network/socket"
	"crocuswing/internal/operator/metric"
	"crocuswing/internal/operator/routereport"
	"crocuswing/internal/peer/server"
	"crocuswing/internal/policy/limiter"
	"crocuswing/internal/published/follower"
	"crocuswing/internal/published/relay"
	"crocuswing/internal/published/state"
	"crocuswing/internal/serve/inflight"
	"crocuswing/internal/settings/deployment"
	"crocuswing/internal/stats/history"
	"crocuswing/internal/upstream/catalog"
	"crocuswing/internal/upstream/link"
	"crocuswing/internal/workspace/enforcer"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const (
	// pollInterval leaves two thirds of the drain time of upstreams for a slow store and for requests in flight.
	pollInterval = time.Second
	// memoryLimitShare is the fraction of the instance's memory that is set as the soft memory limit of the Go runtime, near which it
	// collects garbage more often; the rest is for memory that the runtime does not count.
	memoryLimitShare = 0.8
	// subrequestMemoryShare is the fraction of the instance's memory for subrequests; the rest is for the state of upstreams, for
	// bodies and for garbage.
	subrequestMemoryShare = 0.25
	// subrequestBytes is the memory for an attempt of a subrequest: two connection buffers of 4 KiB and a goroutine stack of 8 KiB.
	subrequestBytes = 16 << 10
	// bodyMemoryShare is the fraction of the instance's memory for large response bodies; small ones count with their subrequests.
	bodyMemoryShare = 0.125
)

// Gateway is one instance that forwards the requests of callers to upstreams.
type Gateway struct {
	settings    deployment.Settings
	log         *zap.Logger
	metrics     *metric.Metrics
	follower    *follower.Follower
	catalog     *catalog.Catalog
	membership  *membership.Membership
	aggregators *aggregator.Selector
	quotas      *enforcer.Enforcer
	runner      *runner.Runner
	conns       *connections.Connections // of callers
	readyConns  *connections.Connections
	metricConns *connections.Connections
	peerSlots   *budget.Budget
	inFlight    *inflight.Tracker
	subrequests *limiter.Limiter
	bodies      *limiter.Limiter // memory of large response bodies in KiB
	handler     http.Handler
	ports       Ports
	stopping    atomic.Bool
	revision    atomic.Int64
	routeMu     sync.Mutex // held while a route is explained
	// gatherers returns the names of the instances of this region that gather for the others.
	gatherers func() []string
}

// Ports holds the parts of an instance that depend on the platform.
type Ports struct {
	// Store reads what the platform publishes.
	Store relay.Store
	// Protocol defines the headers of requests to upstreams and of their responses.
	Protocol runner.Protocol
	// NewHandler returns the handler of callers' requests, which passes them to the runner.
	NewHandler func(*runner.Runner) http.Handler
	// ReadyPath is the path of the readiness check, MetricsPath that of the metrics.
	ReadyPath, MetricsPath string
}

// New assembles an instance without starting it.
func New(s deployment.Settings, p Ports, log *zap.Logger) *Gateway {
	g := &Gateway{
		settings:    s,
		ports:       p,
		log:         log.With(zap.String("instance", s.Instance)),
		metrics:     metric.New(),
		inFlight:    inflight.New(),
		subrequests: limiter.New(0),
		bodies:      limiter.New(0),
	}
	g.conns = g.newConnections("caller")
	g.readyConns, g.metricConns = g.newCheckConnections("ready"), g.newCheckConnections("metrics")
	g.peerSlots = budget.New(budget.Limits{})
	g.applyLimits(s)
	latencyHistory := history.New()
	g.catalog = catalog.New(s, latencyHistory, catalog.WithLinkOptions(link.WithMemoryLimit(g.bodies)))
	g.membership = membership.New(s.Instance, s.PeerAddress, s.Seeds, g.log, g.catalog.SetFleet)
	source := relay.New(p.Store, g.membership, g.metrics.Count)
	g.follower = follower.New(source, pollInterval, g.log, follower.WithViewObserver(g.updateView), follower.WithCounter(g.metrics.Count))
	g.follower.SetReportInterval(s.ReportInterval)
	g.membership.SetFailureDomain(s.FailureDomain)
	g.membership.SetCapacity(s.Capacity)
	g.aggregators = aggregator.New(g.membership, s.Regions, aggregator.WithConcentration(g.catalog.GatheredConnections, g.catalog.SetAggregators, g.log))
	g.gatherers = g.aggregators.RegionAggregators
	g.addAggregatorGauges()
	g.quotas = g.newQuotas(s)
	g.runner = runner.New(p.Protocol, g.catalog, g.follower, latencyHistory, g.metrics, g.log, runner.WithLimiter(g.subrequests),
		runner.WithAggregators(s.Region, g.aggregators), runner.WithQuotas(g.quotas))
	g.applyWorkspaceBounds(s.Bounds)
	g.handler = g.limitRequests(p.NewHandler(g.runner))
	g.registerShareMetrics()
	g.metrics.Gauge("crocuswing_instances", func() float64 { return float64(g.membership.Size()) })
	g.metrics.Gauge("crocuswing_legs_in_flight", func() float64 { return float64(g.subrequests.Used()) })
	g.metrics.Gauge("crocuswing_large_bodies_bytes", func() float64 { return float64(g.bodies.Used() << 10) })
	g.addConnectionGauges()
	g.addLinkGauges()
	g.metrics.Gauge("crocuswing_requests_in_flight", func() float64 { return float64(g.inFlight.Requests()) })
	return g
}

// Reload applies changed settings. Changed addresses take effect only after a restart.
func (g *Gateway) Reload(s deployment.Settings) {
	if !s.HasSameAddresses(g.settings) {
		g.log.Warn("changed addresses take effect at the next start")
	}
	g.catalog.SetSettings(s)
	g.applyLimits(s)
	g.applyWorkspaceBounds(s.Bounds)
	g.follower.SetReportInterval(s.ReportInterval)
	g.membership.SetSeeds(s.Seeds)
	g.membership.SetCapacity(s.Capacity)
	g.aggregators.SetRegions(s.Regions)
	applyMemoryLimit(s.MemoryBytes)
}

// applyMemoryLimit sets the soft memory limit of the Go runtime. It keeps the one in force if the memory of the instance is not known.
func applyMemoryLimit(memoryBytes int64) {
	if memoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(memoryBytes)))
	}
}

// applyLimits sets the limits on subrequests and on connections of callers, according to the memory and the sockets
// of the instance.
func (g *Gateway) applyLimits(s deployment.Settings) {
	g.subrequests.SetLimit(int(subrequestMemoryShare * float64(s.MemoryBytes) / subrequestBytes))
	g.bodies.SetLimit(int(bodyMemoryShare * float64(s.MemoryBytes) / (1 << 10)))
	g.applyConnectionLimits(s)
}

// Run serves until ctx ends, then finishes what is in flight.
func (g *Gateway) Run(ctx context.Context) error {
	applyMemoryLimit(g.settings.MemoryBytes)
	listeners, err := g.listen()
	if err != nil {
		return err
	}
	g.log.Info("instance starts", zap.String("failure-domain", g.settings.FailureDomain), zap.Strings("seeds", g.settings.Seeds))
	backgroundCtx, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	callers, ready, metrics, err := g.newServers()
	if err != nil {
		return err
	}
	methods := map[string]server.Handler{
		membership.Method: g.membership.Handle, relay.Method: relay.Handler(g.follower), aggregator.Method: g.aggregate,
		aggregator.RestMethod: g.aggregateRest, enforcer.Method: g.quotas.Handle,
	}
	peers := server.New(methods, func() uint64 { return 0 }, func(uint64) {})

	var group errgroup.Group
	group.Go(func() error { g.follower.Run(backgroundCtx); return nil })
	group.Go(func() error { g.membership.Run(backgroundCtx); return nil })
	group.Go(func() error { g.catalog.Run(backgroundCtx); return nil })
	group.Go(func() error { g.aggregators.Run(backgroundCtx); return nil })
	group.Go(func() error { g.quotas.Run(backgroundCtx); return nil })
	group.Go(func() error { g.logShares(backgroundCtx); return nil })
	for _, c := range []*connections.Connections{g.conns, g.readyConns, g.metricConns} {
		group.Go(func() error { c.Run(backgroundCtx); return nil })
	}
	group.Go(func() error { return socket.Serve(callers, g.conns.Listen(listeners.callers)) })
	group.Go(func() error { return socket.Serve(ready, g.readyConns.Listen(listeners.ready)) })
	group.Go(func() error { return socket.Serve(metrics, g.metricConns.Listen(listeners.metrics)) })
	group.Go(func() error { return peers.Serve(slots.Listen(listeners.peers, g.peerSlots)) })
	<-ctx.Done()
	g.stop(callers)
	stopBackground()
	peerCtx, cancel := context.WithTimeout(context.Background(), peerShutdownTimeout)
	defer cancel()
	peers.Shutdown(peerCtx)
	_ = ready.Close()
	_ = metrics.Close()
	err = group.Wait()
	g.log.Info("instance stopped", zap.Error(err))
	return err
}

// aggregate handles the call of another instance that asks for parts.
func (g *Gateway) aggregate(ctx context.Context, body []byte) (any, error) {
	var q aggregator.Request
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, fmt.Errorf("%s: %w", aggregator.Method, err)
	}
	return g.runner.Aggregate(ctx, q)
}

// aggregateRest handles the call for the parts that were late.
func (g *Gateway) aggregateRest(ctx context.Context, body []byte) (any, error) {
	var q aggregator.RestRequest
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, fmt.Errorf("%s: %w", aggregator.RestMethod, err)
	}
	return g.runner.AggregateRest(ctx, q)
}

// updateView passes a new view to the catalog and applies the limits of a new configuration.
func (g *Gateway) updateView(v *state.View) {
	g.catalog.Update(v)
	if v.Table == nil {
		return
	}
	if old := g.revision.Swap(v.Table.Revision()); old != v.Table.Revision() {
		g.conns.SetLimits(v.Table.Limits())
		g.checkCallerLimits(v.Table.Limits())
		g.log.Info("configuration in force", zap.Int64("revision", v.Table.Revision()), zap.Int64("former-revision", old),
			zap.Int64("store-era", v.Era), zap.Int64("store-revision", v.Revision), zap.Int("services", v.Table.ServiceCount()))
	}
}

// readyHandler returns the handler of the readiness check.
func (g *Gateway) readyHandler(path string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		if reason := g.notReadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

func (g *Gateway) notReadyReason() string {
	switch {
	case g.stopping.Load():
		return "stopping"
	case g.follower.View().Table == nil:
		return "no configuration is known yet"
	}
	return ""
}

func (g *Gateway) metricsHandler(path string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) { g.metrics.Write(w) })
	mux.HandleFunc("GET "+routereport.Path, g.serveRoute)
	return mux
}

type listeners struct{ callers, ready, peers, metrics net.Listener }

func (g *Gateway) listen() (listeners, error) {
	var l listeners
	for _, a := range []struct {
		name, address string
		listener      *net.Listener
	}{
		{"caller address", g.settings.CallerAddress, &l.callers},
		{"ready address", g.settings.ReadyAddress, &l.ready},
		{"peer address", g.settings.PeerAddress, &l.peers},
		{"metrics address", g.settings.MetricsAddress, &l.metrics},
	} {
		var err error
		if *a.listener, err = net.Listen("tcp", a.address); err != nil {
			return l, fmt.Errorf("%s: %w", a.name, err)
		}
	}
	return l, nil
}
