// Package listener is a TCP listener on the loopback address that injects connection faults on demand. The servers of the
// demonstration listen on it.
package listener

import (
	"net"
	"sync"
)

// Listener accepts connections and can reset, stall or refuse them. It is safe for concurrent use.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*conn]bool
	down  bool
}

// Listen returns a listener on a free port of the loopback address.
func Listen() (*Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: l, conns: make(map[*conn]bool)}, nil
}

// Accept waits for the next connection and returns it. While the listener is down, it resets each new connection and keeps waiting.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, listener: l, closed: make(chan struct{})}
		if l.add(c) {
			return c, nil
		}
		c.reset()
	}
}

// SetDown sets whether the listener is down. A listener that goes down resets all its connections.
func (l *Listener) SetDown(down bool) {
	l.mu.Lock()
	l.down = down
	l.mu.Unlock()
	if down {
		l.Reset()
	}
}

// Reset resets all open connections.
func (l *Listener) Reset() {
	for _, c := range l.activeConns() {
		c.reset()
	}
}

// Stall makes all open connections deliver nothing more in either direction and returns their number.
// New connections work.
func (l *Listener) Stall() int {
	all := l.activeConns()
	for _, c := range all {
		c.stall()
	}
	return len(all)
}

func (l *Listener) add(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return false
	}
	l.conns[c] = true
	return true
}

func (l *Listener) activeConns() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		all = append(all, c)
	}
	return all
}

// conn is one accepted connection.
type conn struct {
	net.Conn
	listener *Listener

	mu      sync.Mutex
	stalled bool
	once    sync.Once
	closed  chan struct{}
}

// Read reads from the connection. Once the connection is stalled, it blocks until the connection is closed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.isStalled() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write writes to the connection. Once the connection is stalled, it discards the bytes.
func (c *conn) Write(p []byte) (int, error) {
	if c.isStalled() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (c *conn) stall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stalled = true
}

func (c *conn) isStalled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stalled
}
