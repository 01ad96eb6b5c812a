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
	"io"
	"net"
	"net/http"
	"sync"
)

// ErrClosed is returned by RoundTrip if the connection was closed before the request; no byte of the request was sent.
var ErrClosed = errors.New("connection is closed")

const (
	// MaxBodyBytes is the maximum size of a response body, which is buffered in memory.
	MaxBodyBytes    = 16 << 20
	readBufferBytes = 2 << 10 // holds the header and the body of a small response
	// smallRequestBytes fits into the send buffer of a socket, so that writing a request of this size does not block.
	smallRequestBytes = 4 << 10
)

// BodyTooLargeError is returned for a response whose body exceeds Limit bytes.
type BodyTooLargeError struct{ Limit int64 }

// Error returns a message with the limit.
func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("answer is longer than %d bytes", e.Limit)
}

// Connection is a connection to one upstream that carries one request at a time.
type Connection struct {
	stream   *stream
	requests int // requests begun so far

	mu        sync.Mutex
	pending   *pending
	readEnded bool // the read goroutine has stopped
}

// pending is the request that awaits its response.
type pending struct {
	request *http.Request
	result  chan result
}

// Response is a complete HTTP response with its buffered body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Close reports whether the upstream closes the connection after this response.
	Close bool
}

type result struct {
	Response
	err error
}

// New returns a Connection that takes ownership of raw. onReleased is called once, when the connection no longer counts
// against the upstream's limit: the upstream has closed its end, or LingerTimeout has passed since Close. onLost is called as
// soon as the upstream closes the connection first, whether it is in use or idle.
func New(raw net.Conn, onReleased, onLost func()) *Connection {
	c := &Connection{stream: newStream(raw, onReleased, onLost)}
	go c.read()
	return c
}

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
		select {
		case res := <-p.result: // the upstream responded before it had read the whole request
			return res.Response, res.err
		default:
			return Response{}, err
		}
	}
	select {
	case res := <-p.result:
		return res.Response, res.err
	case <-r.Context().Done():
		return Response{}, r.Context().Err()
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
	r := bufio.NewReaderSize(c.stream, readBufferBytes)
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
		res := readResponse(r, p.request)
		if res.err != nil || res.Close || r.Buffered() > 0 {
			c.closeWith(res)
			return
		}
		c.mu.Lock()
		c.pending = nil
		c.mu.Unlock()
		p.result <- res
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
		p.result <- last
	}
}

func readResponse(r *bufio.Reader, req *http.Request) result {
	for {
		resp, err := http.ReadResponse(r, req)
		if err != nil {
			return result{err: err}
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		body, err := readBody(resp, req.Method)
		if err == nil {
			err = resp.Body.Close()
		}
		return result{Response: Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Close: resp.Close}, err: err}
	}
}

func readBody(resp *http.Response, method string) ([]byte, error) {
	switch {
	case method == http.MethodHead || resp.ContentLength == 0:
		return nil, nil
	case resp.ContentLength > MaxBodyBytes:
		return nil, &BodyTooLargeError{Limit: MaxBodyBytes}
	case resp.ContentLength > 0:
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodyBytes+1))
	if err == nil && len(body) > MaxBodyBytes {
		return nil, &BodyTooLargeError{Limit: MaxBodyBytes}
	}
	return body, err
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
