// Package connections tracks the connections that callers open to an HTTP server. It counts what each of them holds against a budget,
// refuses heads beyond the limits before net/http parses them, and closes connections that are idle or slow for too long.
package connections

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"crocuswing/internal/entry/budget"
	"crocuswing/internal/network/socket"
	"crocuswing/internal/routing/limits"

	"go.uber.org/zap"
)

const (
	sweepInterval = 250 * time.Millisecond
	// reportInterval is the minimum time between two log lines on closed connections.
	reportInterval = 10 * time.Second
	// defaultIdleTimeout and defaultHeaderTimeout apply while no configuration is known.
	defaultIdleTimeout   = time.Minute
	defaultHeaderTimeout = 10 * time.Second
	// defaultMaxHeaderBytes applies while no configuration is known; it is the limit of net/http.
	defaultMaxHeaderBytes = http.DefaultMaxHeaderBytes
	// maxLimit is the highest limit on bytes that applies, so that sums with it are in range. No instance has that much memory for callers.
	maxLimit = 1 << 30
	// minBytesPerSecond is the rate that a body or the reading of an answer must have on average beyond the idle timeout. A body of the
	// published limit of 262,144 bytes may thus take 64 s and the idle timeout; the longest time limit of a route is 4 s.
	minBytesPerSecond = 4 << 10
)

// Causes for which a connection is closed or a request is refused.
const (
	causeIdle       = "idle"
	causeSlowHead   = "slow-head"
	causeSlowBody   = "slow-body"
	causeSlowReader = "slow-reader"
	causeLargeHead  = "large-head"
	causeRefused    = "refused"
	causeEvicted    = "evicted"
)

// Connections tracks the connections of an http.Server. It is safe for concurrent use.
type Connections struct {
	budget *budget.Budget
	log    *zap.Logger
	count  func(cause string)
	limits atomic.Pointer[limits.Limits]

	mu       sync.Mutex
	open     map[*Conn]struct{}
	causes   map[string]int // since the last report
	reported time.Time
}

// connKey is the context key of a request's connection.
type connKey struct{}

// Option configures a set of connections.
type Option func(*Connections)

// WithLogger returns an option that logs how many connections were closed, at most every 10 s.
func WithLogger(l *zap.Logger) Option { return func(c *Connections) { c.log = l } }

// WithCounter returns an option that calls count for each connection that is closed and each request that is refused.
func WithCounter(count func(cause string)) Option { return func(c *Connections) { c.count = count } }

// New returns an empty set of connections.
func New(options ...Option) *Connections {
	c := &Connections{
		budget: budget.New(budget.Limits{}),
		log:    zap.NewNop(),
		count:  func(string) {},
		open:   make(map[*Conn]struct{}),
		causes: make(map[string]int),
	}
	c.limits.Store(&limits.Limits{})
	for _, o := range options {
		o(c)
	}
	return c
}

// Listen returns a listener that adds the connections of l to c.
func (c *Connections) Listen(l net.Listener) net.Listener { return &listener{Listener: l, set: c} }

// Track makes s report the requests on its connections to c. The listener of s must be one of c.
func (c *Connections) Track(s *http.Server) {
	allowFields(s)
	s.ConnState = func(conn net.Conn, to http.ConnState) {
		if conn, ok := conn.(*Conn); ok && to == http.StateIdle {
			conn.endRequest()
		}
	}
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
}

// SetBudget limits the number of connections and what they hold. Above a limit the connections that have waited longest for their caller
// are closed, so that no caller can lock out others.
func (c *Connections) SetBudget(l budget.Limits) { c.budget.SetLimits(l) }

// Used returns the memory that the connections hold, and their number.
func (c *Connections) Used() (bytes int64, connections int) { return c.budget.Used() }

// SetLimits changes the limits that apply to callers.
func (c *Connections) SetLimits(l limits.Limits) {
	l.MaxHeaderBytes, l.MaxBodyBytes = min(l.MaxHeaderBytes, maxLimit), min(l.MaxBodyBytes, maxLimit)
	c.limits.Store(&l)
}

// Limits returns the limits in force.
func (c *Connections) Limits() limits.Limits { return *c.limits.Load() }

// MarkServing records that the head of a request is complete.
func (c *Connections) MarkServing(r *http.Request) {
	if conn := connOf(r); conn != nil {
		conn.beginRequest(r.ContentLength)
	}
}

// EndServing records that the handler of a request has returned. What is left of an unread body is read for a short time only.
func (c *Connections) EndServing(r *http.Request) {
	if conn := connOf(r); conn != nil {
		conn.limitRest()
	}
}

// connOf returns the connection of a request, or nil.
func connOf(r *http.Request) *Conn {
	conn, _ := r.Context().Value(connKey{}).(*Conn)
	return conn
}

// Run closes idle and slow connections until ctx ends.
func (c *Connections) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			now := time.Now()
			c.sweep(now)
			c.report(now)
		case <-ctx.Done():
			return
		}
	}
}

// add tracks a new connection. It returns nil if there is no room for it.
func (c *Connections) add(raw net.Conn) *Conn {
	conn := &Conn{Conn: raw, set: c, since: time.Now()}
	conn.account = c.budget.NewAccount(socket.Source(raw), connectionBytes, func() { conn.closeFor(causeEvicted) })
	if !conn.account.Open() {
		c.record(causeRefused)
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn] = struct{}{}
	return conn
}

func (c *Connections) remove(conn *Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

func (c *Connections) record(cause string) {
	c.count(cause)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.causes[cause]++
}

// sweep closes the connections that are idle or slow for too long.
func (c *Connections) sweep(now time.Time) {
	c.mu.Lock()
	open := make([]*Conn, 0, len(c.open))
	for conn := range c.open {
		open = append(open, conn)
	}
	c.mu.Unlock()
	t := newTimeouts(c.Limits())
	for _, conn := range open {
		if cause := conn.overdue(now, t); cause != "" {
			conn.closeFor(cause)
		}
	}
}

// report logs how many connections were closed since the last report, by cause.
func (c *Connections) report(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.causes) == 0 || now.Sub(c.reported) < reportInterval {
		return
	}
	bytes, count := c.budget.Used()
	c.log.Warn("connections of callers are closed", zap.Any("causes", c.causes), zap.Int("open", count), zap.Int64("bytes", bytes))
	c.reported = now
	c.causes = make(map[string]int)
}

// timeouts are the times after which a connection is closed.
type timeouts struct{ idle, stalled time.Duration }

func newTimeouts(l limits.Limits) timeouts {
	idle, header := l.IdleTimeout, l.HeaderTimeout
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	if header <= 0 {
		header = defaultHeaderTimeout
	}
	return timeouts{idle: idle, stalled: max(idle, header)}
}

// isSlow reports whether a transfer of n bytes has taken too long.
func (t timeouts) isSlow(took time.Duration, n int64) bool {
	return took > t.stalled+time.Duration(n)*time.Second/minBytesPerSecond
}

// listener adds its connections to a set.
type listener struct {
	net.Listener
	set *Connections
}

// Accept returns the next connection for which there is room. It closes the others.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.set.add(raw); conn != nil {
			return conn, nil
		}
		_ = raw.Close()
	}
}
