// Package client calls another instance over one connection that all calls share.
package client

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"crocuswing/internal/network/socket"
	"crocuswing/internal/peer/frame"
	"crocuswing/internal/peer/handshake"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	dialTimeout  = time.Second // the handshake included
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// Dial opens a connection to an IP literal and a port.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Client calls one peer. It is safe for concurrent use.
type Client struct {
	address  string
	revision func() uint64
	heard    func(revision uint64)
	dial     Dial

	mu       sync.Mutex
	conn     *connection
	dialing  *dialing
	failures int // dials that failed since the last success
	retryAt  time.Time
	lastErr  error
	closed   bool
}

// dialing is a dial that all calls wait for. conn and err are set when done is closed.
type dialing struct {
	done chan struct{}
	conn *connection
	err  error
}

// Option changes how a client is made.
type Option func(*Client)

// WithDial opens connections by dial in place of TCP.
func WithDial(dial Dial) Option {
	return func(c *Client) { c.dial = dial }
}

// New makes a client for the peer at address. revision gives the revision that frames carry,
// heard is told the revision of each frame that arrives.
func New(address string, revision func() uint64, heard func(uint64), options ...Option) *Client {
	c := &Client{address: address, revision: revision, heard: heard, dial: dialTCP}
	for _, o := range options {
		o(c)
	}
	return c
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return socket.NewDialer(dialTimeout).DialContext(ctx, "tcp", address)
}

// Address is the peer's address.
func (c *Client) Address() string { return c.address }

// Call sends a request and decodes the reply. It fails with *UnsentError or *RefusedError, after
// which the peer has run nothing of it, or with *LostError, the error of ctx or that of decoding,
// after which the peer may have acted.
func (c *Client) Call(ctx context.Context, method string, request, reply any) error {
	body, err := msgpack.Marshal(request)
	if err != nil {
		return &UnsentError{Err: err}
	}
	m := frame.Message{Kind: frame.KindCall, Method: method, Body: body}
	if len(body) > frame.MaxBodyBytes || len(method) > frame.MaxMethodBytes {
		return &UnsentError{Err: &frame.Error{Reason: "call is too long"}}
	}
	got, err := c.send(ctx, m)
	if err != nil {
		return err
	}
	return decode(got, reply)
}

// send tries a second connection if the first one was closed before a byte of m was sent.
func (c *Client) send(ctx context.Context, m frame.Message) (frame.Message, error) {
	for again := true; ; again = false {
		conn, err := c.connect(ctx)
		if err != nil {
			return frame.Message{}, &UnsentError{Err: err}
		}
		got, err := conn.call(ctx, m)
		if err == nil {
			return got, nil
		}
		var unsent *UnsentError
		if again && errors.As(err, &unsent) && conn.isClosed() && ctx.Err() == nil {
			continue
		}
		return got, err
	}
}

func decode(got frame.Message, reply any) error {
	if got.Kind == frame.KindRefusal {
		return &RefusedError{Reason: string(got.Body), Leaving: got.Value == frame.CodeLeaving}
	}
	return msgpack.Unmarshal(got.Body, reply)
}

// Close closes the connection; calls in flight fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn != nil {
		c.conn.close(ErrClosed)
	}
}

// connect gives the open connection, or waits until ctx ends for the dial that all calls share.
func (c *Client) connect(ctx context.Context) (*connection, error) {
	d, conn, err := c.start()
	if d == nil {
		return conn, err
	}
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// start gives the open connection, or the dial under way, which it begins if there is none.
func (c *Client) start() (*dialing, *connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return nil, nil, ErrClosed
	case c.conn != nil && !c.conn.isClosed():
		return nil, c.conn, nil
	case c.dialing != nil:
		return c.dialing, nil, nil
	case time.Now().Before(c.retryAt):
		return nil, nil, &BackoffError{Until: c.retryAt, Err: c.lastErr}
	}
	c.dialing = &dialing{done: make(chan struct{})}
	go c.open(c.dialing)
	return c.dialing, nil, nil
}

func (c *Client) open(d *dialing) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	raw, err := c.agree(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(d.done)
	c.dialing = nil
	if err != nil {
		c.failed(err)
		d.err = err
		return
	}
	if c.closed {
		_ = raw.Close()
		d.err = ErrClosed
		return
	}
	c.failures = 0
	c.conn = newConnection(raw, c.revision, c.heard)
	d.conn = c.conn
}

func (c *Client) agree(ctx context.Context) (net.Conn, error) {
	raw, err := c.dial(ctx, c.address)
	if err != nil {
		return nil, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = raw.SetDeadline(deadline)
	}
	if _, err := handshake.Dial(raw); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return raw, raw.SetDeadline(time.Time{})
}

// failed doubles the wait before the next dial, with jitter of a half.
func (c *Client) failed(err error) {
	wait := min(maxBackoff, firstBackoff<<min(c.failures, 10))
	wait = wait/2 + rand.N(wait/2)
	c.failures++
	c.lastErr = err
	c.retryAt = time.Now().Add(wait)
}
