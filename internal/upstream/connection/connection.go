// Package connection sends HTTP/1.1 requests over a single connection to an upstream, one request at a time.
//
// It uses the messages of net/http but not http.Transport, which may retry a request by itself. A dedicated goroutine reads
// the connection, so that a close by the upstream or unsolicited data is detected at once, also while the connection is idle.
// Package pool holds the connections; package link sends the requests.
package connection

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"crocuswing/internal/policy/limiter"
)

// ErrClosed is returned by RoundTrip if the connection was closed before the request; no byte of the request was sent.
var ErrClosed = errors.New("connection is closed")

const (
	// MaxBodyBytes is the maximum size of a response body, which is buffered in memory.
	MaxBodyBytes = 16 << 20
	// MaxHeadBytes is the maximum size of the status line and the headers of a response, together with all interim responses.
	MaxHeadBytes = 16 << 10
	// MaxHeaderFields is the maximum number of header fields of a response, trailers included.
	MaxHeaderFields = 128
	// MaxInterimResponses is the maximum number of interim responses (status 1xx) before the final one.
	MaxInterimResponses = 8

	readBufferBytes = 2 << 10 // holds the header and the body of a small response
	// smallRequestBytes fits into the send buffer of a socket, so that writing a request of this size does not block.
	smallRequestBytes = 4 << 10
)

// LimitError is returned for a response that exceeds a limit.
type LimitError struct {
	Subject string // what is limited
	Limit   int
}

// Error returns a message with the limit.
func (e *LimitError) Error() string {
	return fmt.Sprintf("response exceeds the limit of %d %s", e.Limit, e.Subject)
}

// Connection is a connection to one upstream that carries one request at a time.
type Connection struct {
	number   uint64
	stream   *stream
	memory   *limiter.Limiter // of all bodies beyond smallBodyBytes, in KiB
	requests int              // requests begun so far

	mu        sync.Mutex
	pending   *pending
	readEnded bool // the read goroutine has stopped
}

// lastNumber is the number of the connection that was created last in this process.
var lastNumber atomic.Uint64

// pending is the request that awaits its response.
type pending struct {
	request *http.Request
	result  chan result

	mu          sync.Mutex
	isAbandoned bool // nobody receives the result
}

// deliver passes on the result, or frees its memory if nobody receives it.
func (p *pending) deliver(res result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isAbandoned {
		res.Free()
		return
	}
	p.result <- res
}

// abandon returns the result if it has been delivered. Otherwise nobody receives it from now on, and err is the result.
func (p *pending) abandon(err error) (Response, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case res := <-p.result:
		return res.Response, res.err
	default:
		p.isAbandoned = true
		return Response{}, err
	}
}

// Response is a complete HTTP response with its buffered body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Close reports whether the upstream closes the connection after this response.
	Close bool
	// Connection is the number of the connection on which the response arrived.
	Connection uint64

	free func() // returns the memory of a large body to the limit; nil if it is small
}

// IsLarge reports whether the body counts against the limit on the memory of all bodies, until Free is called.
func (r Response) IsLarge() bool { return r.free != nil }

// Free ends the use of the body. It must be called once for a response whose body is large, and has no effect on others.
func (r Response) Free() {
	if r.free != nil {
		r.free()
	}
}

// Option configures a Connection.
type Option func(*Connection)

// WithMemoryLimit returns an option that counts the memory of large bodies, in KiB, against a limit that connections share. A response
// that does not fit is unusable.
func WithMemoryLimit(l *limiter.Limiter) Option { return func(c *Connection) { c.memory = l } }

type result struct {
	Response
	err error
}

// New returns a Connection that takes ownership of raw. onReleased is called once with the connection, when it no longer counts
// against the upstream's limit: the upstream has closed its end, or LingerTimeout has passed since Close. It may be called before
// New returns. onLost is called as soon as the upstream closes the connection first, whether it is in use or idle.
func New(raw net.Conn, onReleased func(*Connection), onLost func(), options ...Option) *Connection {
	c := &Connection{number: lastNumber.Add(1), memory: limiter.New(0)}
	for _, o := range options {
		o(c)
	}
	c.stream = newStream(raw, func() { onReleased(c) }, onLost)
	go c.read()
	return c
}

// Number returns the number of the connection, which no other connection of this process has.
func (c *Connection) Number() uint64 { return c.number }

// BeginRequest marks the start of a request, from which StopWriting and BytesReceived count. It reports whether the
// connection has carried an earlier request.
func (c *Connection) BeginRequest() (reused bool) {
	c.stream.mark()
	c.requests++
	return c.requests > 1
}

// RoundTrip sends a request and returns its complete response. It does not follow redirects. After an error the caller must
// close the connection.
func (c *Connection) RoundTrip(r *http.Request) (Response, error) {
	p := &pending{request: r, result: make(chan result, 1)}
	c.mu.Lock()
	if c.readEnded {
		c.mu.Unlock()
		return Response{}, ErrClosed
	}
	c.pending = p
	c.mu.Unlock()
	if err := c.write(r); err != nil {
		return p.abandon(err) // the upstream may have responded before it had read the whole request
	}
	select {
	case res := <-p.result:
		return res.Response, res.err
	case <-r.Context().Done():
		return p.abandon(r.Context().Err())
	}
}

// write sends the request, in a single write if it is small.
func (c *Connection) write(r *http.Request) error {
	if r.ContentLength < 0 || r.ContentLength > smallRequestBytes {
		stop := context.AfterFunc(r.Context(), func() { _ = c.stream.SetWriteDeadline(past) })
		defer stop()
	}
	w := writers.Get().(*bufio.Writer)
	defer writers.Put(w)
	w.Reset(c.stream)
	if err := r.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, smallRequestBytes) }}

// read delivers responses until the connection ends.
func (c *Connection) read() {
	head := &headReader{Reader: c.stream}
	r := bufio.NewReaderSize(head, readBufferBytes)
	for {
		if _, err := r.Peek(1); err != nil {
			c.closeWith(result{err: err})
			return
		}
		c.mu.Lock()
		p := c.pending
		c.mu.Unlock()
		if p == nil {
			c.closeWith(result{}) // unsolicited data belongs to no request
			return
		}
		res := c.readResponse(head, r, p.request)
		if res.err != nil || res.Close || r.Buffered() > 0 {
			c.closeWith(res)
			return
		}
		c.mu.Lock()
		c.pending = nil
		c.mu.Unlock()
		p.deliver(res)
	}
}

// closeWith closes the connection and then delivers the last result, so that the receiver cannot reuse the connection.
func (c *Connection) closeWith(last result) {
	c.mu.Lock()
	p := c.pending
	c.pending, c.readEnded = nil, true
	c.mu.Unlock()
	c.Close()
	if p != nil {
		p.deliver(last)
	}
}

// BytesReceived returns the number of bytes received since BeginRequest.
func (c *Connection) BytesReceived() int64 { return c.stream.receivedSinceMark() }

// StopWriting prevents further writes and reports whether any byte was sent since BeginRequest. The caller must close the
// connection afterwards.
func (c *Connection) StopWriting() (sent bool) { return c.stream.stopWriting() }

// Close closes the write side and waits in the background until the upstream closes its end, at most for LingerTimeout.
func (c *Connection) Close() { _ = c.stream.Close() }

// IsClosed reports whether Close was called, by the user of the connection or after the upstream closed its end.
func (c *Connection) IsClosed() bool { return c.stream.isClosed() }
