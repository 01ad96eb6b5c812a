// Package link sends attempts to one upstream over HTTP and bounds its connections.
package link

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/upstream/signal"
	"crocuswing/internal/upstream/start"
	"crocuswing/internal/wire/header"
	"crocuswing/internal/wire/order"
	"crocuswing/internal/wire/part"
)

const (
	dialTimeout    = 2 * time.Second
	idleTimeout    = 90 * time.Second
	keepAliveEvery = 5 * time.Second
	maxReplyBytes  = 4 << 20
)

// Link holds the connections to one upstream.
type Link struct {
	name    string
	address string
	client  *http.Client
	pool    *http.Transport
}

// New makes a link with at most connections open connections to address, an IP literal and a port.
func New(name, address string, connections int) *Link {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveEvery}
	pool := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	// A redirect is an answer, not to be followed: it would run the request again.
	stay := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Link{name: name, address: address, pool: pool, client: &http.Client{Transport: pool, CheckRedirect: stay}}
}

// Address is the upstream's address.
func (l *Link) Address() string { return l.address }

// Close closes the idle connections; those in use close when their request ends.
func (l *Link) Close() { l.pool.CloseIdleConnections() }

// Part asks for one shard's part. It fails with *failure.Failure.
func (l *Link) Part(ctx context.Context, q part.Request) (part.Reply, signal.Signal, error) {
	var reply part.Reply
	sig, err := l.exchange(ctx, "/v1/part", q.RequestID, q, &reply)
	if err != nil {
		return part.Reply{}, sig, err
	}
	if err := reply.Check(q); err != nil {
		return part.Reply{}, sig, l.mismatch(err)
	}
	return reply, sig, nil
}

// Order runs one order. It fails with *failure.Failure, whose NotRun tells whether another try is safe.
func (l *Link) Order(ctx context.Context, q order.Request) (order.Reply, signal.Signal, error) {
	var reply order.Reply
	sig, err := l.exchange(ctx, "/v1/order", q.RequestID, q, &reply)
	if err != nil {
		return order.Reply{}, sig, err
	}
	if reply.RequestID != q.RequestID {
		return order.Reply{}, sig, l.mismatch(&part.CrossedError{Want: q.RequestID, Got: reply.RequestID})
	}
	return reply, sig, nil
}

// mismatch closes the idle connections, since one of them delivered a wrong reply.
func (l *Link) mismatch(err error) error {
	l.pool.CloseIdleConnections()
	kind := failure.KindIncomplete
	var crossed *part.CrossedError
	if errors.As(err, &crossed) {
		kind = failure.KindCrossed
	}
	return &failure.Failure{Upstream: l.name, Kind: kind, Err: err}
}

// exchange posts one message and decodes its answer. The body cannot be rewound and the request
// carries no idempotency key, so the transport never sends it twice.
func (l *Link) exchange(ctx context.Context, path, id string, message, reply any) (signal.Signal, error) {
	text, err := json.Marshal(message)
	if err != nil {
		return signal.Signal{Load: -1}, l.fail(failure.KindIncomplete, true, err)
	}
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost,
		"http://"+l.address+path, io.NopCloser(bytes.NewReader(text)))
	if err != nil {
		return signal.Signal{Load: -1}, l.fail(failure.KindIncomplete, true, err)
	}
	req.ContentLength = int64(len(text))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(header.RequestID, id)
	if deadline, ok := start.Deadline(ctx); ok {
		left := max(time.Until(deadline).Milliseconds(), 1)
		req.Header.Set(header.DeadlineMS, strconv.FormatInt(left, 10))
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return signal.Signal{Load: -1}, l.transportFailure(ctx, wrote.Load(), err)
	}
	defer resp.Body.Close()
	return l.read(ctx, resp, id, reply)
}

func (l *Link) read(ctx context.Context, resp *http.Response, id string, reply any) (signal.Signal, error) {
	sig := signal.From(resp.StatusCode, resp.Header)
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return sig, l.transportFailure(ctx, true, err)
	}
	if got := resp.Header.Get(header.RequestID); got != id {
		return sig, l.mismatch(&part.CrossedError{Want: id, Got: got})
	}
	if resp.StatusCode != http.StatusOK {
		return sig, l.statusFailure(resp, sig)
	}
	if err := json.Unmarshal(text, reply); err != nil {
		return sig, l.fail(failure.KindIncomplete, false, err)
	}
	return sig, nil
}

func (l *Link) statusFailure(resp *http.Response, sig signal.Signal) error {
	f := &failure.Failure{
		Upstream:   l.name,
		Kind:       failure.KindStatus,
		NotRun:     resp.Header.Get(header.NotRun) == "true",
		RetryAfter: sig.RetryAfter,
		Err:        errors.New(resp.Status),
	}
	if sig.Shed {
		f.Kind = failure.KindShed
	}
	if resp.StatusCode == http.StatusGone {
		f.Kind = failure.KindSnapshotGone
	}
	return f
}

// transportFailure classifies an error of the transport; connected tells whether a connection was in use.
func (l *Link) transportFailure(ctx context.Context, connected bool, err error) error {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return l.fail(failure.KindCanceled, !connected, err)
	case ctx.Err() != nil:
		return l.fail(failure.KindTimeout, !connected, err)
	case !connected:
		return l.fail(failure.KindRefused, true, err)
	}
	return l.fail(failure.KindReset, false, err)
}

func (l *Link) fail(kind string, notRun bool, err error) error {
	return &failure.Failure{Upstream: l.name, Kind: kind, NotRun: notRun, Err: err}
}
