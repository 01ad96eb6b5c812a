// Package connection carries HTTP requests over exactly one connection to an upstream.
//
// It uses the messages of net/http but not its transport, which may send a request a second time by itself. One goroutine
// reads: it notices at once when the upstream ends the connection or sends what nobody asked for.
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

// ErrSpent tells that the connection was closed before a request could use it; no byte of it was sent.
var ErrSpent = errors.New("connection is closed")

const (
	// MaxBodyBytes bounds the answers, which are kept in memory.
	MaxBodyBytes = 16 << 20
	readBuffer   = 2 << 10 // holds the head and the body of a small answer
	// smallBytes fit into the send buffer of a socket, so that their writing does not block.
	smallBytes = 4 << 10
)

// LengthError tells of an answer that is too long.
type LengthError struct{ Most int64 }

// Error names the bound.
func (e *LengthError) Error() string { return fmt.Sprintf("answer is longer than %d bytes", e.Most) }

// Connection is one connection to one upstream, for one request at a time.
type Connection struct {
	stream   *stream
	requests int // begun so far

	mu      sync.Mutex
	pending *pending
	ended   bool // nothing will be read any more
}

// pending is the request whose answer is due.
type pending struct {
	request *http.Request
	answer  chan answer
}

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Close tells that the upstream ends the connection.
	Close bool
}

type answer struct {
	Response
	err error
}

// New takes over raw. gone is called once, when the upstream no longer counts the connection:
// it closed its own end, or LingerTimeout has passed. lost is called at once if the upstream ends the
// connection first, in use or idle.
func New(raw net.Conn, gone, lost func()) *Connection {
	c := &Connection{stream: newStream(raw, gone, lost)}
	go c.read()
	return c
}

// BeginRequest marks the start of a request, from which StopWriting and BytesReceived count. It reports whether the
// connection served another request before.
func (c *Connection) BeginRequest() (reused bool) {
	c.stream.mark()
	c.requests++
	return c.requests > 1
}

// RoundTrip sends one request and gives its whole answer. Redirects are not followed. After an error the connection has to
// be closed.
func (c *Connection) RoundTrip(r *http.Request) (Response, error) {
	p := &pending{request: r, answer: make(chan answer, 1)}
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return Response{}, ErrSpent
	}
	c.pending = p
	c.mu.Unlock()
	if err := c.write(r); err != nil {
		select {
		case a := <-p.answer: // the upstream answered before it had read everything
			return a.Response, a.err
		default:
			return Response{}, err
		}
	}
	select {
	case a := <-p.answer:
		return a.Response, a.err
	case <-r.Context().Done():
		return Response{}, r.Context().Err()
	}
}

// write sends the request with one write where it is small.
func (c *Connection) write(r *http.Request) error {
	if r.ContentLength < 0 || r.ContentLength > smallBytes {
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

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, smallBytes) }}

// read delivers answers until the connection ends.
func (c *Connection) read() {
	r := bufio.NewReaderSize(c.stream, readBuffer)
	for {
		if _, err := r.Peek(1); err != nil {
			c.end(answer{err: err})
			return
		}
		c.mu.Lock()
		p := c.pending
		c.mu.Unlock()
		if p == nil {
			c.end(answer{}) // what nobody asked for belongs to no request
			return
		}
		a := readAnswer(r, p.request)
		if a.err != nil || a.Close || r.Buffered() > 0 {
			c.end(a)
			return
		}
		c.mu.Lock()
		c.pending = nil
		c.mu.Unlock()
		p.answer <- a
	}
}

// end closes the connection and then delivers the last answer, so that nobody gets the connection again.
func (c *Connection) end(last answer) {
	c.mu.Lock()
	p := c.pending
	c.pending, c.ended = nil, true
	c.mu.Unlock()
	c.Close()
	if p != nil {
		p.answer <- last
	}
}

func readAnswer(r *bufio.Reader, to *http.Request) answer {
	for {
		resp, err := http.ReadResponse(r, to)
		if err != nil {
			return answer{err: err}
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		body, err := readBody(resp, to.Method)
		if err == nil {
			err = resp.Body.Close()
		}
		return answer{Response: Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Close: resp.Close}, err: err}
	}
}

func readBody(resp *http.Response, method string) ([]byte, error) {
	switch {
	case method == http.MethodHead || resp.ContentLength == 0:
		return nil, nil
	case resp.ContentLength > MaxBodyBytes:
		return nil, &LengthError{Most: MaxBodyBytes}
	case resp.ContentLength > 0:
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodyBytes+1))
	if err == nil && len(body) > MaxBodyBytes {
		return nil, &LengthError{Most: MaxBodyBytes}
	}
	return body, err
}

// BytesReceived is the number of bytes that arrived since BeginRequest.
func (c *Connection) BytesReceived() int64 { return c.stream.receivedSinceMark() }

// StopWriting forbids further writes and tells whether any byte was sent since BeginRequest.
// The connection has to be closed afterwards.
func (c *Connection) StopWriting() (sent bool) { return c.stream.seal() }

// Close sends no more and waits in the background until the upstream closes its end.
func (c *Connection) Close() { _ = c.stream.Close() }

// IsClosed tells whether Close was called, by its user or after the upstream closed its end.
func (c *Connection) IsClosed() bool { return c.stream.isClosed() }
