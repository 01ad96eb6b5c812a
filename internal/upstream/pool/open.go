package pool

import (
	"context"
	"net"
	"slices"
	"time"

	"crocuswing/internal/upstream/connection"
)

// open dials a connection, adds it to the pool and serves the waiters. If the dial fails, the first waiter receives the error.
func (p *Pool) open(address string, generation int) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	start := time.Now()
	raw, err := p.dial(ctx, address)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing--
	if err != nil {
		p.stats.DialFailures++
		if len(p.waiters) > 0 && generation == p.generation {
			p.deliver(0, grant{err: &DialError{Address: address, Err: err}})
		}
		p.serveWaiters()
		return
	}
	p.stats.Opened++
	p.stats.DialTime += time.Since(start)
	p.add(raw, generation)
	p.serveWaiters()
}

// add adds a dialed connection to the pool as idle, or closes it if it is no longer needed.
func (p *Pool) add(raw net.Conn, generation int) {
	c := connection.New(raw, p.remove, p.onLost, p.connOptions...)
	p.conns[c] = &connState{generation: generation, idleSince: time.Now()}
	if p.closed || p.isDraining() || generation != p.generation {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// remove stops counting a connection that the upstream has closed too.
func (p *Pool) remove(c *connection.Connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	p.idle = slices.DeleteFunc(p.idle, func(other *connection.Connection) bool { return other == c })
	p.serveWaiters()
}
