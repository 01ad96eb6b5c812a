package gateway

import (
	"fmt"
	"net/http"
	"time"

	"crocuswing/internal/entry/budget"
	"crocuswing/internal/entry/connections"
	"crocuswing/internal/network/socket"
	"crocuswing/internal/routing/limits"
	"crocuswing/internal/settings/deployment"

	"go.uber.org/zap"
)

const (
	// callerSocketShare is the fraction of the instance's sockets for callers, and peerSocketShare that for connections from other
	// instances. The rest is for upstreams, the store, connections to other instances and the checks.
	callerSocketShare = 0.5
	peerSocketShare   = 0.25
	// descriptorShare is the fraction of the limit of the process on descriptors that is available for sockets.
	descriptorShare = 0.9
	// callerMemoryShare is the fraction of the instance's memory for what connections of callers hold.
	callerMemoryShare = 0.2
	// checkMemoryShare is the fraction of the instance's memory for what connections to the ready address hold, and as much for those to
	// the metrics address.
	checkMemoryShare = 1.0 / 64
	// checkSocketShare is the fraction of the instance's sockets for the ready address, and as much for the metrics address, within
	// minCheckSockets and maxCheckSockets. A balancer and a collector of metrics need a few.
	checkSocketShare = 1.0 / 32
	minCheckSockets  = 8
	maxCheckSockets  = 64
)

// checkLimits are the limits of requests to the ready and the metrics address, which the platform does not publish. A check has some hundred
// bytes of headers and no body.
var checkLimits = limits.Limits{MaxHeaderBytes: 4 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}

// newConnections returns the connections of one address.
func (g *Gateway) newConnections(address string) *connections.Connections {
	return connections.New(
		connections.WithLogger(g.log.With(zap.String("address", address))),
		connections.WithCounter(func(cause string) {
			g.metrics.Count(fmt.Sprintf("crocuswing_connections_closed_total{address=%q,cause=%q}", address, cause))
		}),
	)
}

// newCheckConnections returns the connections of the ready or the metrics address.
func (g *Gateway) newCheckConnections(address string) *connections.Connections {
	c := g.newConnections(address)
	c.SetLimits(checkLimits)
	return c
}

// applyConnectionLimits sets the limits on connections to this instance.
func (g *Gateway) applyConnectionLimits(s deployment.Settings) {
	sockets := maxSockets(s.MaxSockets, socket.MaxDescriptors())
	g.conns.SetBudget(budget.Limits{Bytes: callerMemory(s), Connections: socketShare(sockets, callerSocketShare)})
	g.peerSlots.SetLimits(budget.Limits{Connections: socketShare(sockets, peerSocketShare)})
	check := budget.Limits{Bytes: int64(checkMemoryShare * float64(s.MemoryBytes)), Connections: maxCheckSockets}
	if sockets > 0 {
		check.Connections = min(max(socketShare(sockets, checkSocketShare), minCheckSockets), maxCheckSockets)
	}
	g.readyConns.SetBudget(check)
	g.metricConns.SetBudget(check)
}

// callerMemory returns the memory for what connections of callers hold, or 0 if it is not limited.
func callerMemory(s deployment.Settings) int64 {
	return int64(callerMemoryShare * float64(s.MemoryBytes))
}

// maxSockets returns the number of sockets of the instance: that of its settings, within the limit of the process on descriptors. Either is
// 0 if it is not known.
func maxSockets(setting, descriptors int) int {
	available := int(descriptorShare * float64(descriptors))
	if setting <= 0 || (available > 0 && available < setting) {
		return available
	}
	return setting
}

// socketShare returns a fraction of the instance's sockets, at least one, or 0 if their number is not known.
func socketShare(sockets int, share float64) int {
	if sockets <= 0 {
		return 0
	}
	return max(1, int(share*float64(sockets)))
}

// checkCallerLimits logs limits of a configuration for which the memory of the instance does not suffice: a single request within them may be
// refused.
func (g *Gateway) checkCallerLimits(l limits.Limits) {
	memory := callerMemory(g.settings)
	if need := connections.RequestBytes(l); memory > 0 && need > memory {
		g.log.Warn("a request within the limits needs more memory than callers may use", zap.Int64("needed", need), zap.Int64("memory", memory))
	}
}

// addConnectionGauges adds the memory and the number of connections of each address to the metrics.
func (g *Gateway) addConnectionGauges() {
	for _, a := range []struct {
		address string
		used    func() (int64, int)
	}{{"caller", g.conns.Used}, {"ready", g.readyConns.Used}, {"metrics", g.metricConns.Used}, {"peer", g.peerSlots.Used}} {
		g.metrics.Gauge(fmt.Sprintf("crocuswing_connections{address=%q}", a.address), func() float64 { _, n := a.used(); return float64(n) })
		g.metrics.Gauge(fmt.Sprintf("crocuswing_connections_bytes{address=%q}", a.address), func() float64 { n, _ := a.used(); return float64(n) })
	}
}

// newServers returns the HTTP servers of the caller, the ready and the metrics address. Their timeouts and limits are those of their
// connections.
func (g *Gateway) newServers() (callers, ready, metrics *http.Server, err error) {
	errorLog, err := zap.NewStdLogAt(g.log, zap.WarnLevel)
	if err != nil {
		return nil, nil, nil, fmt.Errorf("error log of the servers: %w", err)
	}
	callers = &http.Server{DisableGeneralOptionsHandler: true, ErrorLog: errorLog, Handler: g.inFlight.Handler(g.handler)}
	ready = &http.Server{ErrorLog: errorLog, Handler: limitChecks(g.readyConns, g.readyHandler(g.ports.ReadyPath))}
	metrics = &http.Server{ErrorLog: errorLog, Handler: limitChecks(g.metricConns, g.metricsHandler(g.ports.MetricsPath))}
	g.conns.Track(callers)
	g.readyConns.Track(ready)
	g.metricConns.Track(metrics)
	return callers, ready, metrics, nil
}

// limitChecks returns a handler that limits the time for reading bodies, which checks do not have.
func limitChecks(c *connections.Connections, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.MarkServing(r)
		defer c.EndServing(r)
		next.ServeHTTP(w, r)
	})
}

// limitRequests enforces the limit on the headers of callers' requests. The limit on bodies applies when they are read.
func (g *Gateway) limitRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.conns.MarkServing(r)
		defer g.conns.EndServing(r)
		if len(r.TransferEncoding) > 0 {
			// If a chunked request also has a Content-Length, net/http drops the length and does not report it. Read with the
			// other framing, the following bytes may be another request, so the connection is closed (RFC 9112, section 6.1).
			w.Header().Set("Connection", "close")
		}
		l := g.conns.Limits()
		if l.MaxHeaderBytes > 0 && headerBytes(r) > l.MaxHeaderBytes {
			w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// headerBytes returns the size of a request's header, without the protocol version and the Host field.
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
