// Package pool limits the connections of one instance to one upstream. Package link acquires a connection from it for each
// attempt.
//
// A connection counts against the limit from the start of its dial until the upstream has closed its end, also across a change
// of the upstream's address. One connection of the limit is held in reserve, so that an abandoned connection can be replaced
// while it still counts. No connection is handed out twice for requests with the same identifier.
package pool

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"crocuswing/internal/upstream/connection"
	"crocuswing/internal/upstream/identifier"
)

const (
	dialTimeout = 2 * time.Second
	idleTimeout = 90 * time.Second
	maxWaiters  = 1024 // requests that wait for a connection
)

// Dial opens a connection to address, an IP literal and a port.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Pool manages the connections to one upstream, each used by one request at a time. It is safe for concurrent use.
type Pool struct {
	dial        Dial
	onLost      func()
	connOptions []connection.Option

	mu         sync.Mutex
	address    string
	generation int // incremented at each change of address
	maxConns   int
	draining   bool
	drainUntil time.Time
	closed     bool
	transient  bool                                  // connections are closed as soon as they become idle
	dialing    int                                   // dials in progress
	conns      map[*connection.Connection]*connState // all that count against the limit
	idle       []*connection.Connection              // the most recently used is last
	waiters    []waiter                              // oldest first
	stats      Stats
}

// connState is the state of a connection that counts against the limit.
type connState struct {
	generation int
	busy       bool
	abandoned  bool
	isReplaced bool // closed because it had carried the requests that waited
	idleSince  time.Time
	carried    identifier.History // of the requests for which it was acquired
}

// Option configures a Pool.
type Option func(*Pool)

// WithLost returns an option that calls onLost each time the upstream closes a connection that the pool has not closed.
func WithLost(onLost func()) Option {
	return func(p *Pool) { p.onLost = onLost }
}

// WithConnectionOptions returns an option that opens connections with the given options.
func WithConnectionOptions(options ...connection.Option) Option {
	return func(p *Pool) { p.connOptions = options }
}

// New returns a pool of at most maxConns connections to address; a limit below 1 counts as 1.
func New(address string, maxConns int, dial Dial, options ...Option) *Pool {
	p := &Pool{
		dial:     dial,
		onLost:   func() {},
		address:  address,
		maxConns: max(1, maxConns),
		conns:    make(map[*connection.Connection]*connState),
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// AcquireWithMaxIdle is like Acquire, but first closes the connections that were idle for longer than maxIdle, since the upstream
// may have dropped them.
func (p *Pool) AcquireWithMaxIdle(ctx context.Context, id string, maxIdle time.Duration) (*connection.Connection, error) {
	p.mu.Lock()
	p.closeUnusedSince(time.Now().Add(-maxIdle))
	p.mu.Unlock()
	return p.Acquire(ctx, id)
}

// Acquire returns an idle connection for the request with the given identifier, or else waits until one becomes idle, a new one is open
// or ctx ends. The connection was not acquired for a request with the same identifier before (see package identifier). Each acquired
// connection requires one call of Release or Abandon. Acquire fails with *DialError, *ExhaustedError, *DrainingError, ErrClosed,
// ErrBusy or the error of ctx; no byte was sent then.
func (p *Pool) Acquire(ctx context.Context, id string) (*connection.Connection, error) {
	c, granted, err := p.takeOrWait(id)
	if c != nil || err != nil {
		return c, err
	}
	return p.await(ctx, granted)
}

// Preconnect starts to dial a connection if there are fewer than n, so that a later request does not wait for the dial. It reports
// whether a dial was started.
func (p *Pool) Preconnect(n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connections() >= n || !p.canOpen() {
		return false
	}
	p.dialing++
	go p.open(p.address, p.generation)
	return true
}

// HasCapacity reports whether a request would get a connection without waiting for another request to end.
func (p *Pool) HasCapacity() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0 || (len(p.waiters) == 0 && p.canOpen())
}

// Release returns a connection to the pool. It closes the connection if it is not healthy or no longer needed.
func (p *Pool) Release(c *connection.Connection, healthy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.conns[c]
	if !ok {
		return // the upstream has already closed it
	}
	s.busy = false
	if healthy && s.generation == p.generation && !p.closed && !p.closesIdle(s) && len(p.conns) <= p.maxConns && !c.IsClosed() {
		s.idleSince = time.Now()
		p.idle = append(p.idle, c)
	} else {
		c.Close()
	}
	p.closeExpired()
	p.serveWaiters()
}

// Abandon closes a stalled connection that is in use, and the connections that have been idle since before the given time, since
// they may be stalled too. Each counts until the upstream confirms the close, at most for connection.LingerTimeout; the reserved
// connection may be opened in the meantime.
func (p *Pool) Abandon(c *connection.Connection, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.conns[c]; ok && !s.abandoned {
		s.abandoned = true
		p.stats.Abandoned++
	}
	c.Close()
	p.closeUnusedSince(since)
	p.serveWaiters()
}

func (p *Pool) closeUnusedSince(since time.Time) {
	for len(p.idle) > 0 && p.conns[p.idle[0]].idleSince.Before(since) {
		p.closeOldest()
	}
}

// CloseUnusedSince closes the connections that have been idle since before the given time. It is called when a connection in use
// has been stalled since then, so that the idle ones may be stalled too. The connection in use stays open, since the upstream
// may still be processing the request.
func (p *Pool) CloseUnusedSince(since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeUnusedSince(since)
	p.serveWaiters()
}

// SetMaxConnections changes the limit. Idle connections above it are closed at once, busy ones when they are released.
func (p *Pool) SetMaxConnections(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = max(1, n)
	for len(p.idle) > 0 && p.connections() > p.maxConns {
		p.closeOldest()
	}
	p.serveWaiters()
}

// SetTransient sets whether connections are closed as soon as no request needs them instead of being kept idle.
func (p *Pool) SetTransient(transient bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.transient = transient
	if transient {
		p.closeIdle()
	}
}

// closesIdle reports whether a connection that becomes idle is closed, since no waiter may use it.
func (p *Pool) closesIdle(s *connState) bool {
	return p.transient && !slices.ContainsFunc(p.waiters, func(w waiter) bool { return !s.carried.Has(w.id) })
}

// SetAddress changes the address of the upstream. Requests in flight finish on the connections to the previous address, which
// count until they are closed.
func (p *Pool) SetAddress(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address == address {
		return
	}
	p.address = address
	p.generation++
	p.closeIdle()
	p.serveWaiters()
}

// SetDraining sets whether Acquire fails because the membership or the configuration permits no new requests to the upstream.
func (p *Pool) SetDraining(draining bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = draining
	p.serveWaiters()
}

// DrainUntil makes Acquire fail until t. It is called after a response reported that the upstream is draining.
func (p *Pool) DrainUntil(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.After(p.drainUntil) {
		p.drainUntil = t
	}
	p.serveWaiters()
}

// Close closes the idle connections and makes Acquire fail. Connections in use are closed after their request.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdle()
	p.serveWaiters()
}

// Reopen reverts Close, with a new address, limit and callback for lost connections. Earlier connections count against the new
// limit until the upstream has closed them.
func (p *Pool) Reopen(address string, maxConns int, onLost func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = false
	p.draining = false
	p.drainUntil = time.Time{}
	p.address = address
	p.generation++
	p.maxConns = max(1, maxConns)
	p.onLost = onLost
}

// IsDrained reports whether the pool is closed and no connection counts any more.
func (p *Pool) IsDrained() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed && p.connections() == 0
}

// Address returns the current address of the upstream.
func (p *Pool) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// Stats returns the counters and the current numbers of connections.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Connections = p.connections()
	s.Idle = len(p.idle)
	for _, state := range p.conns {
		if state.abandoned {
			s.AbandonedNow++
		}
	}
	return s
}

// connections returns the number of connections that count against the limit, dials in progress included.
func (p *Pool) connections() int { return len(p.conns) + p.dialing }

// canOpen reports whether another connection may be opened. One connection of the limit stays in reserve until another is
// closing.
func (p *Pool) canOpen() bool {
	if p.closed || p.isDraining() {
		return false
	}
	limit := p.maxConns
	if p.maxConns > 1 && !p.hasClosing() {
		limit--
	}
	return p.connections() < limit
}

func (p *Pool) isDraining() bool { return p.draining || time.Now().Before(p.drainUntil) }

func (p *Pool) hasClosing() bool {
	for c := range p.conns {
		if c.IsClosed() {
			return true
		}
	}
	return false
}

func (p *Pool) closeExpired() {
	for len(p.idle) > 0 && time.Since(p.conns[p.idle[0]].idleSince) > idleTimeout {
		p.closeOldest()
	}
}

func (p *Pool) closeOldest() {
	p.idle[0].Close()
	p.idle = p.idle[1:]
}

func (p *Pool) closeIdle() {
	for len(p.idle) > 0 {
		p.closeOldest()
	}
}
