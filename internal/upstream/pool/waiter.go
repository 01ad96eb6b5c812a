package pool

import (
	"context"
	"slices"

	"crocuswing/internal/upstream/connection"
)

// waiter is a request that waits for a connection.
type waiter struct {
	id      string // identifier of the request
	granted chan grant
}

// grant is the result of a wait: a connection or an error.
type grant struct {
	conn *connection.Connection
	err  error
}

// takeOrWait takes an idle connection, or else adds a waiter and returns its channel.
func (p *Pool) takeOrWait(id string) (*connection.Connection, chan grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isDraining() {
		return nil, nil, &DrainingError{Address: p.address}
	}
	if c := p.takeIdle(id); c != nil {
		p.stats.Reused++
		return c, nil, nil
	}
	if len(p.waiters) >= maxWaiters {
		return nil, nil, ErrBusy
	}
	w := waiter{id: id, granted: make(chan grant, 1)}
	p.waiters = append(p.waiters, w)
	p.serveWaiters()
	return nil, w.granted, nil
}

// takeIdle returns the most recently used idle connection that is still open and has carried no request with the given identifier, or nil.
func (p *Pool) takeIdle(id string) *connection.Connection {
	if p.closed {
		return nil
	}
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		s, ok := p.conns[c]
		isOpen := ok && !c.IsClosed()
		if isOpen && s.carried.Has(id) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if isOpen {
			s.busy = true
			s.carried.Add(id)
			return c
		}
	}
	return nil
}

// serveWaiters assigns idle connections to the waiters, oldest first, and opens new connections for the remaining ones. If no connection
// can become available, it fails them.
func (p *Pool) serveWaiters() {
	for i := 0; i < len(p.waiters) && len(p.idle) > 0; {
		if c := p.takeIdle(p.waiters[i].id); c != nil {
			p.deliver(i, grant{conn: c})
		} else {
			i++
		}
	}
	p.replaceIdle()
	for p.dialing < len(p.waiters) && p.canOpen() {
		p.dialing++
		go p.open(p.address, p.generation)
	}
	if err := p.waitError(); err != nil {
		for len(p.waiters) > 0 {
			p.deliver(0, grant{err: err})
		}
	}
}

// replaceIdle closes idle connections to make room for new ones, if the limit permits none beside them. It is called when the idle
// connections have carried the requests of all waiters. It closes at most one for each waiter that no dial serves.
func (p *Pool) replaceIdle() {
	if len(p.idle) == 0 || p.closed || p.isDraining() {
		return // none to close, or the waiters fail
	}
	for n := len(p.waiters) - p.dialing - p.replaced(); n > 0 && len(p.idle) > 0 && !p.canOpen(); n-- {
		p.conns[p.idle[0]].isReplaced = true
		p.stats.Replaced++
		p.closeOldest()
	}
}

// replaced returns the number of connections that replaceIdle has closed and the upstream has not.
func (p *Pool) replaced() int {
	n := 0
	for _, s := range p.conns {
		if s.isReplaced {
			n++
		}
	}
	return n
}

// waitError returns the reason why no connection can become available soon, or nil if one can.
func (p *Pool) waitError() error {
	if p.closed {
		return ErrClosed
	}
	if p.isDraining() {
		return &DrainingError{Address: p.address}
	}
	if p.dialing > 0 {
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
	if abandoned == len(p.conns) && !p.canOpen() {
		return &ExhaustedError{MaxConnections: p.maxConns, Abandoned: abandoned}
	}
	return nil
}

// deliver ends the wait of the waiter at index i.
func (p *Pool) deliver(i int, g grant) {
	p.waiters[i].granted <- g
	p.waiters = slices.Delete(p.waiters, i, i+1)
}

// await returns the connection that is granted to a waiter, or the error of ctx if it ends first.
func (p *Pool) await(ctx context.Context, granted chan grant) (*connection.Connection, error) {
	select {
	case g := <-granted:
		return g.conn, g.err
	case <-ctx.Done():
		p.cancelWait(granted)
		return nil, ctx.Err()
	}
}

// cancelWait removes a waiter, or releases the connection that was granted to it in the meantime.
func (p *Pool) cancelWait(granted chan grant) {
	p.mu.Lock()
	p.waiters = slices.DeleteFunc(p.waiters, func(w waiter) bool { return w.granted == granted })
	p.mu.Unlock()
	select {
	case g := <-granted:
		if g.conn != nil {
			p.Release(g.conn, true)
		}
	default:
	}
}
