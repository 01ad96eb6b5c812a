// Package connections tracks the connections that callers open to the HTTP server. It closes those that are idle or slow for
// too long and, if there are too many, those that have waited longest for a request.
package connections

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"crocuswing/internal/routing/limits"
)

const (
	sweepInterval = 250 * time.Millisecond
	// defaultIdleTimeout and defaultHeaderTimeout apply while no configuration is known.
	defaultIdleTimeout   = time.Minute
	defaultHeaderTimeout = 10 * time.Second
)

// Connections tracks the connections of an http.Server. It is safe for concurrent use.
type Connections struct {
	mu      sync.Mutex
	limits  limits.Limits
	maxOpen int // 0 for no limit
	open    map[net.Conn]*connState
}

// connState is the state of one connection.
type connState struct {
	since     time.Time // start of the current state
	isIdle    bool
	isServing bool // the header of a request is complete
}

// connKey is the context key of a request's connection.
type connKey struct{}

// New returns an empty set of connections.
func New() *Connections { return &Connections{open: make(map[net.Conn]*connState)} }

// Track makes s report the states of its connections to c.
func (c *Connections) Track(s *http.Server) {
	s.ConnState = c.onStateChange
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
}

// SetMax limits the number of connections; 0 means no limit. Above the limit each new connection replaces the one that has
// waited longest for a request, so that no caller can lock out others with connections that carry no request.
func (c *Connections) SetMax(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxOpen = n
}

// SetLimits changes the limits that apply to callers.
func (c *Connections) SetLimits(l limits.Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = l
}

// Limits returns the limits in force.
func (c *Connections) Limits() limits.Limits {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limits
}

// MarkServing records that the header of a request is complete. ctx is the context of that request.
func (c *Connections) MarkServing(ctx context.Context) {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.open[conn]; ok {
		s.isServing = true
	}
}

// Run closes idle and slow connections until ctx ends.
func (c *Connections) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.sweep(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// onStateChange is the ConnState hook of the server. Each change of state restarts the time that sweep measures.
func (c *Connections) onStateChange(conn net.Conn, to http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch to {
	case http.StateNew, http.StateActive, http.StateIdle:
		c.open[conn] = &connState{since: time.Now(), isIdle: to == http.StateIdle}
		if to == http.StateNew && c.maxOpen > 0 && len(c.open) > c.maxOpen {
			c.evict(conn)
		}
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	}
}

// evict closes the connection that has waited longest for a request, except the given one. Connections with a request in
// flight stay open.
func (c *Connections) evict(except net.Conn) {
	var oldest net.Conn
	for conn, s := range c.open {
		if conn != except && !s.isServing && (oldest == nil || s.since.Before(c.open[oldest].since)) {
			oldest = conn
		}
	}
	if oldest != nil {
		c.close(oldest)
	}
}

// close closes a connection and stops tracking it. The server reports its closed state later.
func (c *Connections) close(conn net.Conn) {
	_ = conn.Close()
	delete(c.open, conn)
}

// sweep closes the connections that are idle or slow for too long. A connection on which no request is complete, including one
// that sent nothing yet, counts as slow after the longer of the two limits.
func (c *Connections) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle, header := c.limits.IdleTimeout, c.limits.HeaderTimeout
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	if header <= 0 {
		header = defaultHeaderTimeout
	}
	for conn, s := range c.open {
		age := now.Sub(s.since)
		if (s.isIdle && age > idle) || (!s.isIdle && !s.isServing && age > max(header, idle)) {
			c.close(conn)
		}
	}
}
