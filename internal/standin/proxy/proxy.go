// Package proxy is a TCP proxy on the loopback address whose connections misbehave on demand.
package proxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	dialTimeout = time.Second // loopback answers or refuses at once
	bufferBytes = 32 << 10
)

// Direction is one way through a proxy.
type Direction int

// Directions of the bytes.
const (
	// Forth is from the side that opened the connection.
	Forth Direction = iota
	// Back is towards it.
	Back
)

// host is an address of the loopback range from which no connection is opened, so that a port that is given up for a while is not taken.
const host = "127.0.2.1"

// Proxy joins connections to its address with a target. It is safe for concurrent use.
type Proxy struct {
	address string

	mu       sync.Mutex
	listener net.Listener // nil while it refuses connections
	target   string
	conns    map[*conn]bool
	delay    time.Duration
	held     [2]bool
	change   chan struct{} // closed when held changes
	closed   bool
}

// New opens a proxy on a free port.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{address: l.Addr().String(), listener: l, target: target, conns: make(map[*conn]bool), change: make(chan struct{})}
	go p.accept(l)
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.address }

// SetTarget joins new connections with another address.
func (p *Proxy) SetTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = address
}

// SetDelay holds the bytes of both directions back for d.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// SetDown resets all connections and refuses new ones, or accepts them again.
func (p *Proxy) SetDown(down bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed:
	case down && p.listener != nil:
		_ = p.listener.Close()
		p.listener = nil
		for c := range p.conns {
			c.reset()
		}
	case !down && p.listener == nil:
		l, err := net.Listen("tcp", p.address)
		if err != nil {
			return err
		}
		p.listener = l
		go p.accept(l)
	}
	return nil
}

// Hold keeps the bytes of one direction back until it is called with false, in present and new connections.
func (p *Proxy) Hold(d Direction, held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held[d] = held
	close(p.change)
	p.change = make(chan struct{})
}

// Reset breaks all present connections.
func (p *Proxy) Reset() {
	for _, c := range p.all() {
		c.reset()
	}
}

// Silence makes all present connections deliver nothing more, without an end. New ones work.
func (p *Proxy) Silence() {
	for _, c := range p.all() {
		c.silence()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() error {
	p.mu.Lock()
	l := p.listener
	p.closed, p.listener = true, nil
	p.mu.Unlock()
	p.Reset()
	if l == nil {
		return nil
	}
	return l.Close()
}

func (p *Proxy) all() []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*conn, 0, len(p.conns))
	for c := range p.conns {
		all = append(all, c)
	}
	return all
}

func (p *Proxy) accept(l net.Listener) {
	for {
		near, err := l.Accept()
		if err != nil {
			return
		}
		go p.join(near)
	}
}

func (p *Proxy) join(near net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	far, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		abort(near)
		return
	}
	c := &conn{ends: [2]net.Conn{near, far}, ended: make(chan struct{})}
	if !p.add(c) {
		c.reset()
		return
	}
	var copies sync.WaitGroup
	copies.Go(func() { p.pass(c, Forth) })
	copies.Go(func() { p.pass(c, Back) })
	copies.Wait()
	c.close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

func (p *Proxy) add(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil {
		return false
	}
	p.conns[c] = true
	return true
}

// pass copies one direction until it ends, and hands its end on.
func (p *Proxy) pass(c *conn, d Direction) {
	from, to := c.ends[d], c.ends[1-d]
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if !p.clear(c, d) {
			return
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				c.reset()
				return
			}
		}
		if err != nil {
			c.end(to, err)
			return
		}
	}
}

// clear waits until the direction is open, and reports whether the connection still delivers.
func (p *Proxy) clear(c *conn, d Direction) bool {
	for {
		p.mu.Lock()
		delay, held, change := p.delay, p.held[d], p.change
		p.mu.Unlock()
		if c.isSilent() {
			<-c.ended
			return false
		}
		if !held {
			time.Sleep(delay)
			return true
		}
		select {
		case <-change:
		case <-c.ended:
			return false
		}
	}
}

// conn is a connection with both of its ends.
type conn struct {
	ends  [2]net.Conn // by the direction that begins there
	once  sync.Once
	ended chan struct{}

	mu     sync.Mutex
	silent bool
}

func (c *conn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *conn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

// end passes on that one side has closed its end; anything else breaks both.
func (c *conn) end(to net.Conn, err error) {
	tcp, ok := to.(*net.TCPConn)
	if !ok || err == nil || !isEnd(err) {
		c.reset()
		return
	}
	_ = tcp.CloseWrite() // the other side has gone already
}

func (c *conn) close() {
	c.once.Do(func() {
		close(c.ended)
		for _, end := range c.ends {
			_ = end.Close()
		}
	})
}

func (c *conn) reset() {
	c.once.Do(func() {
		close(c.ended)
		for _, end := range c.ends {
			abort(end)
		}
	})
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func isEnd(err error) bool { return errors.Is(err, io.EOF) }
