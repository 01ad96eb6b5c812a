// Package latecopy simulates upstreams that send a second copy of a response, late: where the response to the next request on the
// connection is due. Tests and the soak put it between the listener and the server of a simulated upstream.
package latecopy

import (
	"net"
	"sync"
)

// Listener accepts connections on which responses are sent a second time. It expects that a client sends a request only after it has
// received the response to the one before.
type Listener struct {
	net.Listener

	mu   sync.Mutex
	draw func(response []byte) bool
}

// New returns a listener that accepts the connections of l. draw decides for each response, which it may not keep, whether a copy is sent.
// It is called by one goroutine at a time.
func New(l net.Listener, draw func(response []byte) bool) *Listener {
	return &Listener{Listener: l, draw: draw}
}

// Accept waits for the next connection and returns it.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, listener: l}, nil
}

func (l *Listener) isCopied(response []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draw(response)
}

// conn is the upstream's end of a connection.
type conn struct {
	net.Conn
	listener *Listener

	mu       sync.Mutex
	response []byte // what was written since the last request began to arrive
}

// Read sends the copy of the former response when the first bytes of a request have arrived.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	response := c.response
	c.response = nil
	c.mu.Unlock()
	if len(response) > 0 && c.listener.isCopied(response) {
		if _, err := c.Conn.Write(response); err != nil {
			return n, err
		}
	}
	return n, err
}

// Write sends p and keeps it as a part of the response.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.response = append(c.response, p...)
	c.mu.Unlock()
	return c.Conn.Write(p)
}
