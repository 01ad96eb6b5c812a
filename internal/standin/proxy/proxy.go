// Package proxy is a TCP proxy on the loopback address that injects connection faults on demand. The soak places it in front
// of the instances, the store and the upstreams.
package proxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	dialTimeout = time.Second // a dial on the loopback address succeeds or fails immediately
	bufferBytes = 32 << 10
)

// Direction is a direction of the bytes through a proxy.
type Direction int

// Directions of the bytes through a proxy.
const (
	// ToTarget is the direction from the client to the target.
	ToTarget Direction = iota
	// FromTarget is the direction from the target to the client.
	FromTarget
)

// listenHost is a loopback address from which nothing opens connections. A port that the proxy releases while it is down therefore
// cannot be taken as the ephemeral port of an outgoing connection.
const listenHost = "127.0.2.1"

// Proxy forwards connections to its address to a target. It is safe for concurrent use.
type Proxy struct {
	address string

	mu          sync.Mutex
	listener    net.Listener // nil while the proxy refuses connections
	target      string
	conns       map[*conn]bool
	delay       time.Duration
	held        [2]bool
	heldChanged chan struct{} // closed and replaced when held changes
	closed      bool
}

// New starts a proxy to target on a free port.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", listenHost+":0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{address: l.Addr().String(), listener: l, target: target, conns: make(map[*conn]bool), heldChanged: make(chan struct{})}
	go p.accept(l)
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.address }

// SetTarget sets the target of new connections.
func (p *Proxy) SetTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = address
}

// SetDelay delays the bytes of both directions by d.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// SetDown sets whether the proxy is down. A proxy that goes down resets all connections and refuses new ones.
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

// Hold sets whether the bytes of one direction are held back, on open and on new connections.
func (p *Proxy) Hold(d Direction, held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held[d] = held
	close(p.heldChanged)
	p.heldChanged = make(chan struct{})
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	for _, c := range p.activeConns() {
		c.reset()
	}
}

// Stall makes all open connections deliver nothing more, not even their end. New connections work.
func (p *Proxy) Stall() {
	for _, c := range p.activeConns() {
		c.stall()
	}
}

// Close stops the proxy and resets its connections.
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

func (p *Proxy) activeConns() []*conn {
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
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(source net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	dest, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		abort(source)
		return
	}
	c := &conn{ends: [2]net.Conn{source, dest}, closed: make(chan struct{})}
	if !p.add(c) {
		c.reset()
		return
	}
	var copies sync.WaitGroup
	copies.Go(func() { p.copyDirection(c, ToTarget) })
	copies.Go(func() { p.copyDirection(c, FromTarget) })
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

// copyDirection copies the bytes of one direction until its end, and then forwards the end.
func (p *Proxy) copyDirection(c *conn, d Direction) {
	src, dst := c.ends[d], c.ends[1-d]
	buf := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buf)
		if !p.waitWhileHeld(c, d) {
			return
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				c.reset()
				return
			}
		}
		if err != nil {
			c.closeDirection(dst, err)
			return
		}
	}
}

// waitWhileHeld waits until the direction is not held, then for the delay, and returns true. If the connection is stalled or
// closed, it waits until the connection is closed and returns false.
func (p *Proxy) waitWhileHeld(c *conn, d Direction) bool {
	for {
		p.mu.Lock()
		delay, held, heldChanged := p.delay, p.held[d], p.heldChanged
		p.mu.Unlock()
		if c.isStalled() {
			<-c.closed
			return false
		}
		if !held {
			time.Sleep(delay)
			return true
		}
		select {
		case <-heldChanged:
		case <-c.closed:
			return false
		}
	}
}

// conn is a proxied connection.
type conn struct {
	ends   [2]net.Conn // by the direction that starts at this end
	once   sync.Once
	closed chan struct{}

	mu      sync.Mutex
	stalled bool
}

func (c *conn) isStalled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stalled
}

func (c *conn) stall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stalled = true
}

// closeDirection handles a read error that ends one direction. It forwards an EOF to dst and resets both ends after other errors.
func (c *conn) closeDirection(dst net.Conn, err error) {
	tcp, ok := dst.(*net.TCPConn)
	if !ok || err == nil || !isEOF(err) {
		c.reset()
		return
	}
	_ = tcp.CloseWrite() // fails only if the other end has already closed the connection
}

func (c *conn) close() {
	c.once.Do(func() {
		close(c.closed)
		for _, end := range c.ends {
			_ = end.Close()
		}
	})
}

func (c *conn) reset() {
	c.once.Do(func() {
		close(c.closed)
		for _, end := range c.ends {
			abort(end)
		}
	})
}

// abort closes a connection with a TCP reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func isEOF(err error) bool { return errors.Is(err, io.EOF) }
