// Package listener is a stand-in for a listening server whose network misbehaves on demand.
package listener

import (
	"net"
	"sync"
)

// Listener accepts connections that can be cut, silenced or refused. It is safe for concurrent use.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*conn]bool
	down  bool
}

// Listen opens a socket on a free port of the loopback address.
func Listen() (*Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: l, conns: make(map[*conn]bool)}, nil
}

// Accept waits for the next connection; while the socket is down it resets each one.
func (s *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := s.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, socket: s, ended: make(chan struct{})}
		if s.add(c) {
			return c, nil
		}
		c.reset()
	}
}

// SetDown cuts all connections and resets new ones, or accepts them again.
func (s *Listener) SetDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
	if down {
		s.Reset()
	}
}

// Reset resets all connections.
func (s *Listener) Reset() {
	for _, c := range s.all() {
		c.reset()
	}
}

// Stall makes all present connections deliver nothing more in either direction, and tells how many.
// New connections work.
func (s *Listener) Stall() int {
	all := s.all()
	for _, c := range all {
		c.silence()
	}
	return len(all)
}

func (s *Listener) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.conns[c] = true
	return true
}

func (s *Listener) all() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}

// conn is one accepted connection.
type conn struct {
	net.Conn
	socket *Listener

	mu     sync.Mutex
	silent bool
	once   sync.Once
	ended  chan struct{}
}

// Read gives the next bytes; once the connection is silent it gives none until it is closed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.isSilent() {
		return n, err
	}
	<-c.ended
	return 0, net.ErrClosed
}

// Write sends bytes; once the connection is silent they are lost.
func (c *conn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.ended) })
	c.socket.mu.Lock()
	delete(c.socket.conns, c)
	c.socket.mu.Unlock()
	return c.Conn.Close()
}

func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (c *conn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *conn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}
