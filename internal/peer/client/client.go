// Package client calls other instances over one connection each.
package client

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"crocuswing/internal/peer/frame"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	dialTimeout = time.Second
	keepAlive   = 5 * time.Second
	queueLength = 256
)

// Client calls one peer at a time per call; calls share the connection. It is safe for concurrent use.
type Client struct {
	address  string
	revision func() uint64
	heard    func(revision uint64)

	mu     sync.Mutex
	conn   *connection
	closed bool
}

// UnsentError tells that no byte of a call was sent.
type UnsentError struct{ Err error }

// Error gives the cause.
func (e *UnsentError) Error() string { return fmt.Sprintf("call was not sent: %v", e.Err) }

// Unwrap gives the cause.
func (e *UnsentError) Unwrap() error { return e.Err }

// RefusedError tells that the peer refused a call and ran nothing of it.
type RefusedError struct{ Reason string }

// Error gives the peer's reason.
func (e *RefusedError) Error() string { return "peer refused the call: " + e.Reason }

var errClosed = errors.New("connection is closed")

// New makes a client for the peer at address. revision gives the revision that frames carry,
// heard is told the revision of each frame that arrives.
func New(address string, revision func() uint64, heard func(uint64)) *Client {
	return &Client{address: address, revision: revision, heard: heard}
}

// Address is the peer's address.
func (c *Client) Address() string { return c.address }

// Call sends a request and decodes the reply. It fails with *UnsentError, *RefusedError,
// or with another error after which the peer may have acted.
func (c *Client) Call(ctx context.Context, method string, request, reply any) error {
	body, err := msgpack.Marshal(request)
	if err != nil {
		return &UnsentError{Err: err}
	}
	conn, err := c.connect(ctx)
	if err != nil {
		return &UnsentError{Err: err}
	}
	f := frame.Frame{Kind: frame.KindCall, Revision: c.revision(), Method: method, Body: body}
	if deadline, ok := ctx.Deadline(); ok {
		f.LeftMS = max(time.Until(deadline).Milliseconds(), 1)
	}
	got, err := conn.call(ctx, f)
	if err != nil {
		return err
	}
	if got.Kind == frame.KindError {
		var reason string
		_ = msgpack.Unmarshal(got.Body, &reason)
		return &RefusedError{Reason: reason}
	}
	return msgpack.Unmarshal(got.Body, reply)
}

// Close closes the connection; calls in flight fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn != nil {
		c.conn.close()
	}
}

func (c *Client) connect(ctx context.Context) (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errClosed
	}
	if c.conn != nil && !c.conn.isClosed() {
		return c.conn, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	raw, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	c.conn = newConnection(raw, c.heard)
	return c.conn, nil
}

// connection is one open connection with the calls that wait on it.
type connection struct {
	raw    net.Conn
	out    chan frame.Frame
	done   chan struct{}
	heard  func(uint64)
	mu     sync.Mutex
	next   uint64
	waits  map[uint64]chan frame.Frame
	closed bool
}

func newConnection(raw net.Conn, heard func(uint64)) *connection {
	conn := &connection{
		raw:   raw,
		out:   make(chan frame.Frame, queueLength),
		done:  make(chan struct{}),
		heard: heard,
		waits: make(map[uint64]chan frame.Frame),
	}
	go conn.write()
	go conn.read()
	return conn
}

func (c *connection) call(ctx context.Context, f frame.Frame) (frame.Frame, error) {
	reply := make(chan frame.Frame, 1)
	id, ok := c.register(reply)
	if !ok {
		return frame.Frame{}, &UnsentError{Err: errClosed}
	}
	defer c.forget(id)
	f.ID = id
	select {
	case c.out <- f:
	case <-c.done:
		return frame.Frame{}, &UnsentError{Err: errClosed}
	case <-ctx.Done():
		return frame.Frame{}, &UnsentError{Err: ctx.Err()}
	}
	select {
	case got := <-reply:
		return got, nil
	case <-c.done:
		return frame.Frame{}, errClosed
	case <-ctx.Done():
		return frame.Frame{}, ctx.Err()
	}
}

func (c *connection) register(reply chan frame.Frame) (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, false
	}
	c.next++
	c.waits[c.next] = reply
	return c.next, true
}

func (c *connection) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waits, id)
}

func (c *connection) write() {
	defer c.close()
	w := bufio.NewWriter(c.raw)
	for {
		select {
		case f := <-c.out:
			if frame.Write(w, f) != nil {
				return
			}
			if len(c.out) == 0 && w.Flush() != nil {
				return
			}
		case <-c.done:
			return
		}
	}
}

func (c *connection) read() {
	defer c.close()
	r := bufio.NewReader(c.raw)
	for {
		f, err := frame.Read(r)
		if err != nil {
			return
		}
		c.heard(f.Revision)
		c.deliver(f)
	}
}

// deliver hands a reply to its call; a late one has none and is dropped.
func (c *connection) deliver(f frame.Frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply, ok := c.waits[f.ID]; ok {
		reply <- f
		delete(c.waits, f.ID)
	}
}

func (c *connection) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	close(c.done)
	_ = c.raw.Close()
}

func (c *connection) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}
