// Package connections follows the connections of callers, and closes those that are idle or slow for too long or too many.
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
	sweepEvery = 250 * time.Millisecond
	// defaultIdle and defaultHeader bound callers while no configuration is known.
	defaultIdle   = time.Minute
	defaultHeader = 10 * time.Second
)

// Connections follows the connections of an http.Server. It is safe for concurrent use.
type Connections struct {
	mu     sync.Mutex
	limits limits.Limits
	most   int // connections; 0 for no bound
	open   map[net.Conn]*state
}

type state struct {
	since     time.Time // of the present phase
	isIdle    bool
	isServing bool // a request's header is complete
}

type key struct{}

// New makes an empty set.
func New() *Connections { return &Connections{open: make(map[net.Conn]*state)} }

// Track makes s report its connections.
func (c *Connections) Track(s *http.Server) {
	s.ConnState = c.change
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, key{}, conn)
	}
}

// SetMax bounds the number of connections; 0 for no bound. Above it each new one takes the place of the one that has waited longest
// for a request, so that nobody keeps others out by connections alone.
func (c *Connections) SetMax(most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.most = most
}

// SetLimits changes the times that callers may take.
func (c *Connections) SetLimits(l limits.Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = l
}

// Limits gives the limits in force.
func (c *Connections) Limits() limits.Limits {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limits
}

// MarkServing marks the connection of a request whose header is complete.
func (c *Connections) MarkServing(ctx context.Context) {
	conn, _ := ctx.Value(key{}).(net.Conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.open[conn]; ok {
		s.isServing = true
	}
}

// Run closes idle and slow connections until ctx ends.
func (c *Connections) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
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

func (c *Connections) change(conn net.Conn, to http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch to {
	case http.StateNew, http.StateActive, http.StateIdle:
		c.open[conn] = &state{since: time.Now(), isIdle: to == http.StateIdle}
		if to == http.StateNew && c.most > 0 && len(c.open) > c.most {
			c.evict(conn)
		}
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	}
}

// evict closes the connection that has waited longest, but not the given one. Those at work stay.
func (c *Connections) evict(but net.Conn) {
	var oldest net.Conn
	for conn, s := range c.open {
		if conn != but && !s.isServing && (oldest == nil || s.since.Before(c.open[oldest].since)) {
			oldest = conn
		}
	}
	if oldest != nil {
		c.close(oldest)
	}
}

// close ends a connection; the server reports its end.
func (c *Connections) close(conn net.Conn) {
	_ = conn.Close()
	delete(c.open, conn)
}

func (c *Connections) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle, header := c.limits.IdleTime, c.limits.HeaderTime
	if idle <= 0 {
		idle = defaultIdle
	}
	if header <= 0 {
		header = defaultHeader
	}
	for conn, s := range c.open {
		age := now.Sub(s.since)
		if (s.isIdle && age > idle) || (!s.isIdle && !s.isServing && age > max(header, idle)) {
			c.close(conn)
		}
	}
}
