// Package connection carries HTTP requests over exactly one connection to an upstream.
//
// An http.Transport of its own serves each connection. It can dial no other one, so that it
// cannot send a request again by itself.
package connection

import (
	"context"
	"errors"
	"net"
	"net/http"
)

// ErrSpent tells that the connection was closed before a request could use it; no byte of it was sent.
var ErrSpent = errors.New("connection is closed")

// Connection is one connection to one upstream, for one request at a time.
type Connection struct {
	stream    *stream
	transport *http.Transport
	requests  int // begun so far
}

// New takes over raw. gone is called once, when the upstream no longer counts the connection:
// it closed its own end, or LingerTime has passed. lost is called at once if the upstream ends the
// connection first, in use or idle.
func New(raw net.Conn, gone, lost func()) *Connection {
	c := &Connection{stream: newStream(raw, gone, lost)}
	first := make(chan *stream, 1)
	first <- c.stream
	c.transport = &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			select {
			case s := <-first:
				return s, nil
			default:
				return nil, ErrSpent
			}
		},
		DisableCompression: true,
	}
	return c
}

// Begin marks the start of a request, from which Seal and Received count. It reports whether the
// connection served another request before.
func (c *Connection) Begin() (reused bool) {
	c.stream.mark()
	c.requests++
	return c.requests > 1
}

// RoundTrip sends one request and reads the head of its answer. Redirects are not followed.
func (c *Connection) RoundTrip(r *http.Request) (*http.Response, error) {
	return c.transport.RoundTrip(r)
}

// Received is the number of bytes that arrived since Begin.
func (c *Connection) Received() int64 { return c.stream.receivedSinceMark() }

// Seal forbids further writes and tells whether any byte was sent since Begin.
// The connection has to be closed afterwards.
func (c *Connection) Seal() (sent bool) { return c.stream.seal() }

// Close sends no more and waits in the background until the upstream closes its end.
func (c *Connection) Close() { _ = c.stream.Close() }

// IsClosed tells whether Close was called, by its user or after the upstream closed its end.
func (c *Connection) IsClosed() bool { return c.stream.isClosed() }
