package pool

import (
	"context"
	"net"
	"slices"
	"time"

	"crocuswing/internal/upstream/connection"
)

// open dials and hands the connection to the first waiter.
func (p *Pool) open(address string, generation int) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	start := time.Now()
	raw, err := p.dial(ctx, address)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	if err != nil {
		p.stats.DialFailures++
		if len(p.waiters) > 0 && generation == p.generation {
			p.answer(grant{err: &DialError{Address: address, Err: err}})
		}
		p.fill()
		return
	}
	p.stats.Opened++
	p.stats.DialTime += time.Since(start)
	p.add(raw, generation)
	p.fill()
}

func (p *Pool) add(raw net.Conn, generation int) {
	var c *connection.Connection
	c = connection.New(raw, func() { p.forget(c) }, p.lost)
	p.conns[c] = &state{generation: generation, idleSince: time.Now()}
	if p.closed || p.isLeaving() || generation != p.generation {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// forget stops to count a connection that the upstream has closed too.
func (p *Pool) forget(c *connection.Connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	p.idle = slices.DeleteFunc(p.idle, func(other *connection.Connection) bool { return other == c })
	p.fill()
}
