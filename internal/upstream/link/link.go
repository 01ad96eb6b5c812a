// Package link sends attempts to one upstream over HTTP.
//
// A Link takes connections from package pool, detects stalled ones with package stall and classifies failed attempts as in
// package failure. The choice of the upstream, retries and hedges are up to its callers.
package link

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"crocuswing/internal/network/socket"
	"crocuswing/internal/policy/limiter"
	"crocuswing/internal/upstream/connection"
	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/upstream/pool"
	"crocuswing/internal/upstream/signal"
	"crocuswing/internal/upstream/stall"
	"crocuswing/internal/upstream/start"
	"crocuswing/internal/wire/header"
	"crocuswing/internal/wire/order"
	"crocuswing/internal/wire/part"
)

const (
	dialTimeout = 2 * time.Second
	drainHold   = 5 * time.Second // pause for new requests after a response that reports draining
)

// stallPolicy determines whether an attempt is abandoned when its connection is stalled.
type stallPolicy int

const (
	// abandonStalled is for attempts that may be retried on another upstream.
	abandonStalled stallPolicy = iota
	// waitForDeadline is for attempts that must not be retried, so that abandoning them early gains nothing.
	waitForDeadline
)

// Link sends attempts to one upstream over its own pool of connections. It is safe for concurrent use.
type Link struct {
	name     string
	pool     *pool.Pool
	detector *stall.Detector
	crossed  atomic.Int64
}

// Option configures a Link.
type Option func(*options)

type options struct {
	dial        pool.Dial
	onLost      func()
	connOptions []connection.Option
}

// WithDial returns an option that opens connections with dial instead of TCP.
func WithDial(dial pool.Dial) Option {
	return func(o *options) { o.dial = dial }
}

// WithLost returns an option that calls onLost each time the upstream closes a connection that this side has not closed.
func WithLost(onLost func()) Option {
	return func(o *options) { o.onLost = onLost }
}

// WithMemoryLimit returns an option that counts the memory of large response bodies, in KiB, against a limit that links share.
func WithMemoryLimit(l *limiter.Limiter) Option {
	return func(o *options) { o.connOptions = append(o.connOptions, connection.WithMemoryLimit(l)) }
}

// Stats counts the connections of a link, and in Crossed the responses that belonged to other requests.
type Stats struct {
	pool.Stats
	Crossed int64
}

// Add returns the sum of both.
func (s Stats) Add(o Stats) Stats {
	return Stats{Stats: s.Stats.Add(o.Stats), Crossed: s.Crossed + o.Crossed}
}

// New returns a link with at most the given number of connections to address, an IP literal and a port.
func New(name, address string, connections int, opts ...Option) *Link {
	o := options{dial: dialTCP, onLost: func() {}}
	for _, opt := range opts {
		opt(&o)
	}
	return &Link{name: name, pool: pool.New(address, connections, o.dial, pool.WithLost(o.onLost), pool.WithConnectionOptions(o.connOptions...)), detector: stall.New()}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return socket.NewDialer(dialTimeout).DialContext(ctx, "tcp", address)
}

// Address returns the current address of the upstream.
func (l *Link) Address() string { return l.pool.Address() }

// Close closes the idle connections and fails new requests. Connections in use are closed after their request.
func (l *Link) Close() { l.pool.Close() }

// Reopen reopens a closed link, possibly at another address. Its earlier connections count against the new limit until the
// upstream has closed them.
func (l *Link) Reopen(address string, connections int, onLost func()) {
	l.pool.Reopen(address, connections, onLost)
}

// IsDrained reports whether the link is closed and the upstream has closed all its connections.
func (l *Link) IsDrained() bool { return l.pool.IsDrained() }

// SetAddress changes the address of the upstream. Connections to the previous address count until they are closed.
func (l *Link) SetAddress(address string) { l.pool.SetAddress(address) }

// SetMaxConnections changes the maximum number of connections.
func (l *Link) SetMaxConnections(connections int) { l.pool.SetMaxConnections(connections) }

// SetTransient sets whether connections are closed as soon as no request needs them instead of being kept idle.
func (l *Link) SetTransient(transient bool) { l.pool.SetTransient(transient) }

// SetDraining sets whether new requests are refused; requests in flight finish.
func (l *Link) SetDraining(draining bool) { l.pool.SetDraining(draining) }

// Preconnect starts to open a connection if there are fewer than n, and reports whether it did.
func (l *Link) Preconnect(n int) bool { return l.pool.Preconnect(n) }

// HasCapacity reports whether a request would get a connection without waiting for another request to end.
func (l *Link) HasCapacity() bool { return l.pool.HasCapacity() }

// Stats returns the counters and the current numbers of connections.
func (l *Link) Stats() Stats { return Stats{Stats: l.pool.Stats(), Crossed: l.crossed.Load()} }

// Part requests the part of one shard. It fails with *failure.Failure.
func (l *Link) Part(ctx context.Context, q part.Request) (part.Reply, signal.Signal, error) {
	return l.part(ctx, q, abandonStalled)
}

func (l *Link) part(ctx context.Context, q part.Request, policy stallPolicy) (part.Reply, signal.Signal, error) {
	var reply part.Reply
	check := func() error { return reply.Check(q) }
	sig, err := l.sendMessage(ctx, message{path: "/v1/part", id: q.RequestID, body: q, reply: &reply, check: check, onStall: policy})
	if err != nil {
		return part.Reply{}, sig, err
	}
	return reply, sig, nil
}

// Order sends an order. It fails with *failure.Failure, whose NotRun reports whether a retry is safe.
func (l *Link) Order(ctx context.Context, q order.Request) (order.Reply, signal.Signal, error) {
	var reply order.Reply
	check := func() error { return checkRequestID(q.RequestID, reply.RequestID) }
	sig, err := l.sendMessage(ctx, message{path: "/v1/order", id: q.RequestID, body: q, reply: &reply, check: check, onStall: waitForDeadline})
	if err != nil {
		return order.Reply{}, sig, err
	}
	return reply, sig, nil
}

// sendMessage posts a message and decodes the reply. If a reused connection turns out to be closed before a byte was sent, it
// continues on another connection.
func (l *Link) sendMessage(ctx context.Context, m message) (signal.Signal, error) {
	text, err := json.Marshal(m.body)
	if err != nil {
		return signal.Signal{Load: -1}, l.notSent(failure.KindIncomplete, err)
	}
	for {
		c, err := l.pool.Acquire(ctx, m.id)
		if err != nil {
			return signal.Signal{Load: -1}, l.acquireFailure(ctx, err)
		}
		start.Connected(ctx)
		sig, err := l.beginMessage(c, m).run(ctx, text)
		if !errors.Is(err, errNotSent) {
			return sig, err
		}
	}
}

// statusFailure returns the failure for a response with an error status.
func (l *Link) statusFailure(got connection.Response, sig signal.Signal) error {
	f := &failure.Failure{
		Upstream:   l.name,
		Kind:       failure.KindStatus,
		NotRun:     got.Header.Get(header.NotRun) == "true",
		RetryAfter: sig.RetryAfter,
		Connection: got.Connection,
		Err:        errors.New(http.StatusText(got.Status)),
	}
	if sig.Shed {
		f.Kind = failure.KindShed
	}
	if got.Status == http.StatusGone {
		f.Kind = failure.KindSnapshotGone
	}
	return f
}

// acquireFailure returns the failure of an attempt that got no connection and was not sent.
func (l *Link) acquireFailure(ctx context.Context, err error) error {
	var dial *pool.DialError
	var draining *pool.DrainingError
	switch {
	case errors.As(err, &dial):
		return l.notSent(failure.KindRefused, err)
	case errors.As(err, &draining), errors.Is(err, pool.ErrClosed):
		return l.notSent(failure.KindForbidden, err)
	case errors.Is(ctx.Err(), context.Canceled):
		return l.notSent(failure.KindCanceled, err)
	case ctx.Err() != nil:
		return l.notSent(failure.KindTimeout, err)
	}
	return l.notSent(failure.KindNoConnection, err)
}

// notSent returns the failure of an attempt that was not sent.
func (l *Link) notSent(kind string, err error) error {
	return &failure.Failure{Upstream: l.name, Kind: kind, NotRun: true, Err: err}
}
