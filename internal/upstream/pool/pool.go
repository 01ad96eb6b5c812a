// Package pool bounds the connections of one instance to one upstream.
//
// Every connection counts against the share from the start of its dial until the upstream has
// closed its end, also while its address changes. One connection of the share is held back, so
// that an abandoned one can be replaced while it still counts.
package pool

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"crocuswing/internal/upstream/connection"
)

const (
	dialTimeout = 2 * time.Second
	idleTimeout = 90 * time.Second
	maxWaiters  = 1024
)

// Dial opens a connection to an IP literal and a port.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Pool hands out connections to one upstream, each to one request at a time. It is safe for concurrent use.
type Pool struct {
	dial Dial
	lost func()

	mu         sync.Mutex
	address    string
	generation int // counts the changes of address
	share      int
	leaving    bool
	leavingTil time.Time
	closed     bool
	transient  bool // connections are closed once they are unused
	opening    int
	conns      map[*connection.Connection]*state
	idle       []*connection.Connection // the most recently used is last
	waiters    []chan grant
	stats      Stats
}

// state is what the pool knows about one connection that still counts.
type state struct {
	generation int
	busy       bool
	abandoned  bool
	idleSince  time.Time
}

// grant gives a waiter a connection or an error.
type grant struct {
	conn *connection.Connection
	err  error
}

// Option changes how a pool is made.
type Option func(*Pool)

// WithLost calls lost each time the upstream ends a connection that the pool had not closed.
func WithLost(lost func()) Option {
	return func(p *Pool) { p.lost = lost }
}

// New makes a pool of at most share connections, at least 1, to address.
func New(address string, share int, dial Dial, options ...Option) *Pool {
	p := &Pool{
		dial:    dial,
		lost:    func() {},
		address: address,
		share:   max(1, share),
		conns:   make(map[*connection.Connection]*state),
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// AcquireWithMaxIdle is like Acquire, but gives no connection that was idle for longer than maxIdle: the upstream may have forgotten
// it. Those are closed.
func (p *Pool) AcquireWithMaxIdle(ctx context.Context, maxIdle time.Duration) (*connection.Connection, error) {
	p.mu.Lock()
	p.closeUnused(time.Now().Add(-maxIdle))
	p.mu.Unlock()
	return p.Acquire(ctx)
}

// Acquire gives an idle connection, else waits for one or for a fresh one until ctx ends.
// Each success needs one Release or Abandon. It fails with *DialError, *ExhaustedError,
// *DrainingError, ErrClosed, ErrBusy or the error of ctx; no byte was sent then.
func (p *Pool) Acquire(ctx context.Context) (*connection.Connection, error) {
	c, granted, err := p.request()
	if c != nil || err != nil {
		return c, err
	}
	select {
	case g := <-granted:
		return g.conn, g.err
	case <-ctx.Done():
		p.withdraw(granted)
		return nil, ctx.Err()
	}
}

// request takes an idle connection or joins the waiters.
func (p *Pool) request() (*connection.Connection, chan grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isLeaving() {
		return nil, nil, &DrainingError{Address: p.address}
	}
	if c := p.takeIdle(); c != nil {
		p.stats.Reused++
		return c, nil, nil
	}
	if len(p.waiters) >= maxWaiters {
		return nil, nil, ErrBusy
	}
	granted := make(chan grant, 1)
	p.waiters = append(p.waiters, granted)
	p.fill()
	return nil, granted, nil
}

// Preconnect opens a connection if there is none, so that a request need not wait for it, and reports whether it does.
func (p *Pool) Preconnect() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.counted() > 0 || !p.mayOpen() {
		return false
	}
	p.opening++
	go p.open(p.address, p.generation)
	return true
}

// Release gives a connection back; one that is not healthy is closed.
func (p *Pool) Release(c *connection.Connection, healthy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.conns[c]
	if !ok {
		return // the upstream has closed it already
	}
	s.busy = false
	if healthy && s.generation == p.generation && !p.closed && !p.isIdleUnwanted() && len(p.conns) <= p.share && !c.IsClosed() {
		s.idleSince = time.Now()
		p.idle = append(p.idle, c)
	} else {
		c.Close()
	}
	p.closeExpired()
	p.fill()
}

// Abandon closes a connection in use that has gone silent, and the idle ones that served nothing
// since the given time: they may be silent too. Each counts until the upstream confirms the close, at
// most connection.LingerTimeout; the one held back may be opened meanwhile.
func (p *Pool) Abandon(c *connection.Connection, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.conns[c]; ok && !s.abandoned {
		s.abandoned = true
		p.stats.Abandoned++
	}
	c.Close()
	p.closeUnused(since)
	p.fill()
}

func (p *Pool) closeUnused(since time.Time) {
	for len(p.idle) > 0 && p.conns[p.idle[0]].idleSince.Before(since) {
		p.closeOldest()
	}
}

// CloseUnusedSince closes the idle connections that served nothing since the given time: one that was in use since then has gone silent,
// and they may be silent too. The one in use stays, since the upstream may be at work.
func (p *Pool) CloseUnusedSince(since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeUnused(since)
	p.fill()
}

// SetMaxConnections changes the share; idle connections above it are closed now, busy ones when they are released.
func (p *Pool) SetMaxConnections(share int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share = max(1, share)
	for len(p.idle) > 0 && p.counted() > p.share {
		p.closeOldest()
	}
	p.fill()
}

// SetTransient closes each connection as soon as no request needs it, or keeps them again.
func (p *Pool) SetTransient(transient bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.transient = transient
	if transient {
		p.closeIdle()
	}
}

// isIdleUnwanted tells whether a connection that becomes idle is of no use.
func (p *Pool) isIdleUnwanted() bool { return p.transient && len(p.waiters) == 0 }

// SetAddress changes the address. Requests in flight finish on the connections to the former one,
// which count until they are closed.
func (p *Pool) SetAddress(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address == address {
		return
	}
	p.address = address
	p.generation++
	p.closeIdle()
	p.fill()
}

// SetDraining refuses every Acquire while the list or the configuration forbids new work.
func (p *Pool) SetDraining(leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = leaving
	p.fill()
}

// DrainUntil refuses every Acquire until t, after an answer announced that the upstream leaves.
func (p *Pool) DrainUntil(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.After(p.leavingTil) {
		p.leavingTil = t
	}
	p.fill()
}

// Close closes the idle connections; those in use finish their request.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdle()
	p.fill()
}

// Reopen undoes Close, with a new address, share and observer of lost connections. Those of before
// count until the upstream has closed them.
func (p *Pool) Reopen(address string, share int, lost func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = false
	p.leaving = false
	p.leavingTil = time.Time{}
	p.address = address
	p.generation++
	p.share = max(1, share)
	p.lost = lost
}

// IsDrained tells whether the pool is closed and no connection counts any more.
func (p *Pool) IsDrained() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed && p.counted() == 0
}

// Address is the present address.
func (p *Pool) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// Stats gives the counts so far.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Connections = p.counted()
	s.Idle = len(p.idle)
	for _, state := range p.conns {
		if state.abandoned {
			s.AbandonedNow++
		}
	}
	return s
}

// counted is the number of connections that the upstream may count.
func (p *Pool) counted() int { return len(p.conns) + p.opening }

// mayOpen holds one connection of the share back until another one is closing.
func (p *Pool) mayOpen() bool {
	if p.closed || p.isLeaving() {
		return false
	}
	most := p.share
	if p.share > 1 && !p.isClosing() {
		most--
	}
	return p.counted() < most
}

func (p *Pool) isLeaving() bool { return p.leaving || time.Now().Before(p.leavingTil) }

func (p *Pool) isClosing() bool {
	for c := range p.conns {
		if c.IsClosed() {
			return true
		}
	}
	return false
}

// takeIdle gives the most recently used idle connection that is still open.
func (p *Pool) takeIdle() *connection.Connection {
	for len(p.idle) > 0 && !p.closed {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = p.idle[:last]
		if s, ok := p.conns[c]; ok && !c.IsClosed() {
			s.busy = true
			return c
		}
	}
	return nil
}

// fill serves waiters from the idle connections, opens fresh ones for the others, and refuses
// them if none can come.
func (p *Pool) fill() {
	for len(p.waiters) > 0 {
		c := p.takeIdle()
		if c == nil {
			break
		}
		p.answer(grant{conn: c})
	}
	for p.opening < len(p.waiters) && p.mayOpen() {
		p.opening++
		go p.open(p.address, p.generation)
	}
	if err := p.hopeless(); err != nil {
		for len(p.waiters) > 0 {
			p.answer(grant{err: err})
		}
	}
}

// hopeless tells why no connection can come soon, or gives nil if one can.
func (p *Pool) hopeless() error {
	if p.closed {
		return ErrClosed
	}
	if p.isLeaving() {
		return &DrainingError{Address: p.address}
	}
	if p.opening > 0 {
		return nil
	}
	abandoned := 0
	for _, s := range p.conns {
		if s.busy && !s.abandoned {
			return nil
		}
		if s.abandoned {
			abandoned++
		}
	}
	if abandoned == len(p.conns) && !p.mayOpen() {
		return &ExhaustedError{Share: p.share, Abandoned: abandoned}
	}
	return nil
}

func (p *Pool) answer(g grant) {
	p.waiters[0] <- g
	p.waiters = p.waiters[1:]
}

// withdraw removes a waiter, or gives back the connection that it was granted meanwhile.
func (p *Pool) withdraw(granted chan grant) {
	p.mu.Lock()
	p.waiters = slices.DeleteFunc(p.waiters, func(w chan grant) bool { return w == granted })
	p.mu.Unlock()
	select {
	case g := <-granted:
		if g.conn != nil {
			p.Release(g.conn, true)
		}
	default:
	}
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
