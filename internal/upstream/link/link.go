// Package link sends attempts to one upstream over HTTP and bounds its connections.
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
	"crocuswing/internal/upstream/connection"
	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/upstream/pool"
	"crocuswing/internal/upstream/signal"
	"crocuswing/internal/upstream/stall"
	"crocuswing/internal/wire/header"
	"crocuswing/internal/wire/order"
	"crocuswing/internal/wire/part"
)

const (
	dialTimeout = 2 * time.Second
	leavingHold = 5 * time.Second // how long an answer's leaving signal forbids new work
)

// patience tells whether an attempt is given up when its connection is found silent.
type patience int

const (
	// untilSilent suits attempts that another upstream may repeat.
	untilSilent patience = iota
	// untilDeadline suits those that may not be repeated: giving up early gains nothing.
	untilDeadline
)

// Link holds the connections to one upstream.
type Link struct {
	name    string
	pool    *pool.Pool
	monitor *stall.Detector
	crossed atomic.Int64
}

// Option changes how a link is made.
type Option func(*options)

type options struct {
	dial pool.Dial
	lost func()
}

// WithDial opens connections by dial in place of TCP.
func WithDial(dial pool.Dial) Option {
	return func(o *options) { o.dial = dial }
}

// WithLost calls lost each time the upstream ends a connection that this side had not closed.
func WithLost(lost func()) Option {
	return func(o *options) { o.lost = lost }
}

// Stats counts the connections of a link and the replies that belonged to other requests.
type Stats struct {
	pool.Stats
	Crossed int64
}

// Add sums two stats.
func (s Stats) Add(o Stats) Stats {
	return Stats{Stats: s.Stats.Add(o.Stats), Crossed: s.Crossed + o.Crossed}
}

// New makes a link with at most connections open connections to address, an IP literal and a port.
func New(name, address string, connections int, with ...Option) *Link {
	o := options{dial: dialTCP, lost: func() {}}
	for _, set := range with {
		set(&o)
	}
	return &Link{name: name, pool: pool.New(address, connections, o.dial, pool.WithLost(o.lost)), monitor: stall.New()}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return socket.Dialer(dialTimeout).DialContext(ctx, "tcp", address)
}

// Address is the upstream's address.
func (l *Link) Address() string { return l.pool.Address() }

// Close closes the idle connections; those in use close when their request ends.
func (l *Link) Close() { l.pool.Close() }

// Reopen opens a closed link again, at an address that may have changed. The connections that it had
// count against the new share until the upstream has closed them.
func (l *Link) Reopen(address string, connections int, lost func()) {
	l.pool.Reopen(address, connections, lost)
}

// IsDrained tells whether the link is closed and the upstream has closed all its connections.
func (l *Link) IsDrained() bool { return l.pool.IsDrained() }

// SetAddress follows the upstream to another address. Connections to the former one count until closed.
func (l *Link) SetAddress(address string) { l.pool.SetAddress(address) }

// SetMaxConnections changes the highest number of connections.
func (l *Link) SetMaxConnections(connections int) { l.pool.SetMaxConnections(connections) }

// SetTransient closes each connection as soon as no request needs it, or keeps them again.
func (l *Link) SetTransient(transient bool) { l.pool.SetTransient(transient) }

// SetDraining refuses requests while new work is forbidden; those in flight finish.
func (l *Link) SetDraining(leaving bool) { l.pool.SetDraining(leaving) }

// Preconnect opens a connection if there is none, and reports whether it does.
func (l *Link) Preconnect() bool { return l.pool.Preconnect() }

// Stats gives the counts so far.
func (l *Link) Stats() Stats { return Stats{Stats: l.pool.Stats(), Crossed: l.crossed.Load()} }

// Part asks for one shard's part. It fails with *failure.Failure.
func (l *Link) Part(ctx context.Context, q part.Request) (part.Reply, signal.Signal, error) {
	return l.part(ctx, q, untilSilent)
}

func (l *Link) part(ctx context.Context, q part.Request, p patience) (part.Reply, signal.Signal, error) {
	var reply part.Reply
	check := func() error { return reply.Check(q) }
	sig, err := l.exchange(ctx, message{path: "/v1/part", id: q.RequestID, body: q, reply: &reply, check: check, patience: p})
	if err != nil {
		return part.Reply{}, sig, err
	}
	return reply, sig, nil
}

// Order runs one order. It fails with *failure.Failure, whose NotRun tells whether another try is safe.
func (l *Link) Order(ctx context.Context, q order.Request) (order.Reply, signal.Signal, error) {
	var reply order.Reply
	check := func() error { return crossed(q.RequestID, reply.RequestID) }
	sig, err := l.exchange(ctx, message{path: "/v1/order", id: q.RequestID, body: q, reply: &reply, check: check, patience: untilDeadline})
	if err != nil {
		return order.Reply{}, sig, err
	}
	return reply, sig, nil
}

// exchange posts one message and decodes its answer on one connection. Where a reused connection
// turns out to be closed before a byte was sent, another one takes its place.
func (l *Link) exchange(ctx context.Context, m message) (signal.Signal, error) {
	text, err := json.Marshal(m.body)
	if err != nil {
		return signal.Signal{Load: -1}, l.fail(failure.KindIncomplete, true, err)
	}
	for {
		c, err := l.pool.Acquire(ctx)
		if err != nil {
			return signal.Signal{Load: -1}, l.acquireFailure(ctx, err)
		}
		sig, err := l.beginMessage(c, m).run(ctx, text)
		if !errors.Is(err, errUnused) {
			return sig, err
		}
	}
}

func (l *Link) statusFailure(got connection.Response, sig signal.Signal) error {
	f := &failure.Failure{
		Upstream:   l.name,
		Kind:       failure.KindStatus,
		NotRun:     got.Header.Get(header.NotRun) == "true",
		RetryAfter: sig.RetryAfter,
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

// acquireFailure classifies an error before any connection was in use.
func (l *Link) acquireFailure(ctx context.Context, err error) error {
	var dial *pool.DialError
	var leaving *pool.DrainingError
	switch {
	case errors.As(err, &dial):
		return l.fail(failure.KindRefused, true, err)
	case errors.As(err, &leaving), errors.Is(err, pool.ErrClosed):
		return l.fail(failure.KindForbidden, true, err)
	case errors.Is(ctx.Err(), context.Canceled):
		return l.fail(failure.KindCanceled, true, err)
	case ctx.Err() != nil:
		return l.fail(failure.KindTimeout, true, err)
	}
	return l.fail(failure.KindNoConnection, true, err)
}

func (l *Link) fail(kind string, notRun bool, err error) error {
	return &failure.Failure{Upstream: l.name, Kind: kind, NotRun: notRun, Err: err}
}
