// Package gateway assembles an instance that serves a shared platform and runs it until it is told to stop.
package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"crocuswing/internal/entry/connections"
	"crocuswing/internal/fleet/membership"
	"crocuswing/internal/forward/runner"
	"crocuswing/internal/network/socket"
	"crocuswing/internal/operator/metric"
	"crocuswing/internal/peer/server"
	"crocuswing/internal/policy/limiter"
	"crocuswing/internal/published/follower"
	"crocuswing/internal/published/relay"
	"crocuswing/internal/published/state"
	"crocuswing/internal/serve/inflight"
	"crocuswing/internal/settings/deployment"
	"crocuswing/internal/stats/history"
	"crocuswing/internal/upstream/catalog"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const (
	// pollEvery leaves two thirds of the drain time of upstreams for a slow store and for requests under way.
	pollEvery = time.Second
	// memoryShare of the limit is where the runtime collects more eagerly; the rest is for what it does not count.
	memoryShare = 0.8
	// legShare of the memory is for legs of requests; the rest is for what is known of upstreams, bodies and garbage.
	legShare = 0.25
	// legBytes is what the attempt of a leg takes: two buffers of 4 KiB of its connection, and the stack of its goroutine of 8 KiB.
	legBytes = 16 << 10
	// callerShare of the sockets is for callers; upstreams and other instances have the rest.
	callerShare = 0.5
	// headerTimeout is a last resort; callers are bounded by the limits of the configuration.
	headerTimeout  = 30 * time.Second
	maxHeaderBytes = 1 << 20
)

// Gateway is one instance.
type Gateway struct {
	settings deployment.Settings
	log      *zap.Logger
	metrics  *metric.Metrics
	follower *follower.Follower
	catalog  *catalog.Catalog
	census   *membership.Membership
	runner   *runner.Runner
	conns    *connections.Connections
	flight   *inflight.Tracker
	ceiling  *limiter.Limiter
	handler  http.Handler
	ports    Ports
	stopping atomic.Bool
	revision atomic.Int64
}

// Ports join the instance to the platform.
type Ports struct {
	// Store reads what the platform publishes.
	Store relay.Store
	// Protocol is the contract with upstreams.
	Protocol runner.Protocol
	// NewHandler makes the handler of callers' requests, which gives them to the runner.
	NewHandler func(*runner.Runner) http.Handler
	// ReadyPath answers whether the instance takes requests, MetricsPath serves its metrics.
	ReadyPath, MetricsPath string
}

// New assembles an instance; nothing runs yet.
func New(s deployment.Settings, p Ports, log *zap.Logger) *Gateway {
	t := &Gateway{
		settings: s,
		ports:    p,
		log:      log.With(zap.String("instance", s.Instance)),
		metrics:  metric.New(),
		conns:    connections.New(),
		flight:   inflight.New(),
		ceiling:  limiter.New(0),
	}
	t.bound(s)
	seen := history.New()
	t.catalog = catalog.New(s, seen)
	t.census = membership.New(s.Instance, s.PeerAddress, s.Seeds, t.log, t.catalog.SetInstanceCount)
	source := relay.New(p.Store, t.census, t.metrics.Count)
	t.follower = follower.New(source, pollEvery, t.log, follower.WithViewObserver(t.update), follower.WithCounter(t.metrics.Count))
	t.runner = runner.New(p.Protocol, t.catalog, t.follower, seen, t.metrics, t.log, runner.WithLimiter(t.ceiling))
	t.handler = t.entry(p.NewHandler(t.runner))
	t.metrics.Gauge("crocuswing_instances", func() float64 { return float64(t.census.Size()) })
	t.metrics.Gauge("crocuswing_legs_in_flight", func() float64 { return float64(t.ceiling.Used()) })
	t.metrics.Gauge("crocuswing_requests_in_flight", func() float64 { return float64(t.flight.Requests()) })
	return t
}

// Reload takes changed settings. Addresses need a new process.
func (t *Gateway) Reload(s deployment.Settings) {
	if !s.HasSameAddresses(t.settings) {
		t.log.Warn("changed addresses take effect at the next start")
	}
	t.catalog.SetSettings(s)
	t.bound(s)
	t.census.SetSeeds(s.Seeds)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
}

// bound keeps what callers cause within the memory and the sockets of the instance.
func (t *Gateway) bound(s deployment.Settings) {
	t.ceiling.SetLimit(int(legShare * float64(s.MemoryBytes) / legBytes))
	t.conns.SetMax(int(callerShare * float64(s.MaxSockets)))
}

// Run serves until ctx ends, then finishes what is in flight.
func (t *Gateway) Run(ctx context.Context) error {
	if t.settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(t.settings.MemoryBytes)))
	}
	listeners, err := t.listen()
	if err != nil {
		return err
	}
	t.log.Info("instance starts", zap.String("failure-domain", t.settings.FailureDomain), zap.Strings("seeds", t.settings.Seeds))
	background, end := context.WithCancel(context.Background())
	defer end()
	errorLog, err := zap.NewStdLogAt(t.log, zap.WarnLevel)
	if err != nil {
		return fmt.Errorf("log of the server: %w", err)
	}
	callers := &http.Server{DisableGeneralOptionsHandler: true, ErrorLog: errorLog, Handler: t.flight.Handler(t.handler), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	t.conns.Track(callers)
	ready := &http.Server{Handler: t.ready(t.ports.ReadyPath), ReadHeaderTimeout: headerTimeout}
	metrics := &http.Server{Handler: t.exposition(t.ports.MetricsPath), ReadHeaderTimeout: headerTimeout}
	peers := server.New(map[string]server.Handler{membership.Method: t.census.Handle, relay.Method: relay.Handler(t.follower)}, func() uint64 { return 0 }, func(uint64) {})

	var group errgroup.Group
	group.Go(func() error { t.follower.Run(background); return nil })
	group.Go(func() error { t.census.Run(background); return nil })
	group.Go(func() error { t.catalog.Run(background); return nil })
	group.Go(func() error { t.conns.Run(background); return nil })
	group.Go(func() error { return socket.Serve(callers, listeners.callers) })
	group.Go(func() error { return socket.Serve(ready, listeners.ready) })
	group.Go(func() error { return socket.Serve(metrics, listeners.metrics) })
	group.Go(func() error { return peers.Serve(listeners.peers) })
	<-ctx.Done()
	t.stop(callers)
	end()
	stopped, cancel := context.WithTimeout(context.Background(), peerStopTime)
	defer cancel()
	peers.Shutdown(stopped)
	_ = ready.Close()
	_ = metrics.Close()
	err = group.Wait()
	t.log.Info("instance stopped", zap.Error(err))
	return err
}

// update passes a new view on.
func (t *Gateway) update(v *state.View) {
	t.catalog.Update(v)
	if v.Table == nil {
		return
	}
	if old := t.revision.Swap(v.Table.Revision()); old != v.Table.Revision() {
		t.conns.SetLimits(v.Table.Limits())
		t.log.Info("configuration in force", zap.Int64("revision", v.Table.Revision()), zap.Int64("former-revision", old),
			zap.Int64("store-revision", v.Revision), zap.Int("services", v.Table.ServiceCount()))
	}
}

// entry bounds the headers and bodies of callers.
func (t *Gateway) entry(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.conns.MarkServing(r.Context())
		if len(r.TransferEncoding) > 0 {
			// A length beside the chunks is dropped by net/http without a trace. What follows may be meant as another
			// request by one of the two readings, so the connection ends (RFC 9112, section 6.1).
			w.Header().Set("Connection", "close")
		}
		l := t.conns.Limits()
		if l.MaxHeaderBytes > 0 && headerBytes(r) > l.MaxHeaderBytes {
			w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		if l.MaxBodyBytes > 0 {
			r.Body = http.MaxBytesReader(w, r.Body, l.MaxBodyBytes)
		}
		next.ServeHTTP(w, r)
	})
}

func headerBytes(r *http.Request) int {
	const perLine = len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + perLine
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + perLine
		}
	}
	return n
}

// ready answers whether the instance takes requests of callers.
func (t *Gateway) ready(path string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		if reason := t.notReady(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

func (t *Gateway) notReady() string {
	switch {
	case t.stopping.Load():
		return "stopping"
	case t.follower.View().Table == nil:
		return "no configuration is known yet"
	}
	return ""
}

func (t *Gateway) exposition(path string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) { t.metrics.Write(w) })
	return mux
}

type listeners struct{ callers, ready, peers, metrics net.Listener }

func (t *Gateway) listen() (listeners, error) {
	var l listeners
	for _, a := range []struct {
		name, address string
		listener      *net.Listener
	}{
		{"caller address", t.settings.CallerAddress, &l.callers},
		{"ready address", t.settings.ReadyAddress, &l.ready},
		{"peer address", t.settings.PeerAddress, &l.peers},
		{"metrics address", t.settings.MetricsAddress, &l.metrics},
	} {
		var err error
		if *a.listener, err = net.Listen("tcp", a.address); err != nil {
			return l, fmt.Errorf("%s: %w", a.name, err)
		}
	}
	return l, nil
}
