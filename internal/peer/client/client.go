// Package client sends calls to another instance, which relay attempts and orders, manage tickets, and synchronize the
// configuration and the member list. All calls to one peer are multiplexed over a single connection, which is opened on
// demand and closed when idle. The error of a call shows whether the peer may have run it.
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
	"crocuswing/internal/wire/nesting"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	dialTimeout = time.Second // includes the handshake
	// firstDialTimeout is the timeout of the first dial, which doubles with each failure up to dialTimeout. After a loss of power the packet
	// that opens a connection to an instance that is not up yet is lost and sent again only a second later.
	firstDialTimeout = 250 * time.Millisecond
	initialBackoff   = 50 * time.Millisecond
	maxBackoff       = 2 * time.Second
)

// Dial opens a connection to an IP literal and a port.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Client sends calls to one peer. It is safe for concurrent use.
type Client struct {
	address    string
	revision   func() uint64
	onRevision func(revision uint64)
	dial       Dial

	mu           sync.Mutex
	conn         *connection
	dialing      *pendingDial
	dialFailures int // failed dials since the last successful one
	retryAt      time.Time
	lastErr      error
	closed       bool
}

// pendingDial is a dial that concurrent calls share. conn and err are set before done is closed.
type pendingDial struct {
	done chan struct{}
	conn *connection
	err  error
}

// Option configures a Client.
type Option func(*Client)

// WithDial opens connections with dial instead of over TCP.
func WithDial(dial Dial) Option {
	return func(c *Client) { c.dial = dial }
}

// New returns a Client for the peer at address. revision returns the configuration revision to send with each frame,
// and onRevision is called with the revision of each received frame.
func New(address string, revision func() uint64, onRevision func(uint64), options ...Option) *Client {
	c := &Client{address: address, revision: revision, onRevision: onRevision, dial: dialTCP}
	for _, o := range options {
		o(c)
	}
	return c
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return socket.NewDialer(dialTimeout).DialContext(ctx, "tcp", address)
}

// Address returns the address of the peer.
func (c *Client) Address() string { return c.address }

// Connect opens the connection unless it is open, so that a later call does not wait for the dial and the handshake.
func (c *Client) Connect(ctx context.Context) error {
	_, err := c.connect(ctx)
	return err
}

// Call sends a request and decodes the reply. After *UnsentError and *RefusedError, the peer has not run any part of
// the request. After *LostError, an error of ctx or a decoding error, it may have run it.
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

// send sends m and returns the reply. It retries once on a new connection if the first one was closed before any byte of
// m was sent.
func (c *Client) send(ctx context.Context, m frame.Message) (frame.Message, error) {
	for mayRetry := true; ; mayRetry = false {
		conn, err := c.connect(ctx)
		if err != nil {
			return frame.Message{}, &UnsentError{Err: err}
		}
		got, err := conn.call(ctx, m)
		if err == nil {
			return got, nil
		}
		var unsent *UnsentError
		if mayRetry && errors.As(err, &unsent) && conn.isClosed() && ctx.Err() == nil {
			continue
		}
		return got, err
	}
}

func decode(got frame.Message, reply any) error {
	if got.Kind == frame.KindRefusal {
		return &RefusedError{Reason: string(got.Body), Leaving: got.Value == frame.CodeLeaving}
	}
	if err := nesting.Check(got.Body); err != nil {
		return err
	}
	return msgpack.Unmarshal(got.Body, reply)
}

// Close closes the connection. Calls in flight fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn != nil {
		c.conn.close(ErrClosed)
	}
}

// connect returns the open connection, or waits for the shared dial until ctx is done.
func (c *Client) connect(ctx context.Context) (*connection, error) {
	d, conn, err := c.connOrDial()
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

// connOrDial returns the open connection, or else the dial in progress, which it starts if there is none.
func (c *Client) connOrDial() (*pendingDial, *connection, error) {
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
	c.dialing = &pendingDial{done: make(chan struct{})}
	go c.runDial(c.dialing)
	return c.dialing, nil, nil
}

func (c *Client) runDial(d *pendingDial) {
	c.mu.Lock()
	timeout := min(dialTimeout, firstDialTimeout<<min(c.dialFailures, 10))
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	raw, err := c.dialAndHandshake(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(d.done)
	c.dialing = nil
	if err != nil {
		c.recordDialFailure(err)
		d.err = err
		return
	}
	if c.closed {
		_ = raw.Close()
		d.err = ErrClosed
		return
	}
	c.dialFailures = 0
	c.conn = newConnection(raw, c.revision, c.onRevision)
	d.conn = c.conn
}

func (c *Client) dialAndHandshake(ctx context.Context) (net.Conn, error) {
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

// recordDialFailure doubles the delay before the next dial and randomizes it between half and the full delay.
func (c *Client) recordDialFailure(err error) {
	delay := min(maxBackoff, initialBackoff<<min(c.dialFailures, 10))
	delay = delay/2 + rand.N(delay/2)
	c.dialFailures++
	c.lastErr = err
	c.retryAt = time.Now().Add(delay)
}
