package link

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"crocuswing/internal/upstream/connection"
	"crocuswing/internal/upstream/failure"
)

var errWithdrawn = errors.New("request was withdrawn before it was sent")

// maxIdleOnce is about the longest way there and back between regions: an end of the connection that was under way when it was
// last used has arrived by then, and a later one is unlikely.
const maxIdleOnce = 50 * time.Millisecond

// Request is a request that goes to an upstream as it is.
type Request struct {
	Method string
	// Target is the request target as the caller wrote it.
	Target string
	Host   string
	// Header gives the headers at the moment of the sending, which may state the time left.
	Header func() http.Header
	Body   []byte
	// NonIdempotent tells that the request may not be repeated. It is not risked on a connection that was idle for a while.
	NonIdempotent bool
	// BeforeSend is called when the first byte is about to go out. Nothing is sent if it gives false. It may be nil.
	BeforeSend func() bool
	// CheckResponse refuses an answer that belongs to another request.
	CheckResponse func(status int, h http.Header) error
}

// Forward sends one request and gives its whole answer, whatever its status. It fails with *failure.Failure, whose
// NotRun is true exactly if no byte was sent.
func (l *Link) Forward(ctx context.Context, o Request) (connection.Response, error) {
	for {
		c, err := l.acquire(ctx, o.NonIdempotent)
		if err != nil {
			return connection.Response{}, l.acquireFailure(ctx, err)
		}
		got, err := l.beginForward(c).forward(ctx, o)
		if !errors.Is(err, errUnused) {
			return got, err
		}
	}
}

func (l *Link) acquire(ctx context.Context, once bool) (*connection.Connection, error) {
	if once {
		return l.pool.AcquireWithMaxIdle(ctx, maxIdleOnce)
	}
	return l.pool.Acquire(ctx)
}

// beginForward never gives the request up because its connection is silent: the upstream may be at work on it, and whoever
// waits may ask another one.
func (l *Link) beginForward(c *connection.Connection) *exchange {
	return l.begin(c, l.pool.CloseUnusedSince)
}

func (x *exchange) forward(ctx context.Context, o Request) (connection.Response, error) {
	if o.BeforeSend != nil && !o.BeforeSend() {
		x.end(false, true)
		return connection.Response{}, x.fail(failure.KindCanceled, true, errWithdrawn)
	}
	got, err := x.conn.RoundTrip(x.request(ctx, o))
	if err != nil {
		return connection.Response{}, x.broken(ctx, err)
	}
	if o.CheckResponse != nil {
		if err := o.CheckResponse(got.Status, got.Header); err != nil {
			return connection.Response{}, x.mismatch(err)
		}
	}
	x.end(true, !got.Close)
	return got, nil
}

func (x *exchange) request(ctx context.Context, o Request) *http.Request {
	r := &http.Request{
		Method: o.Method,
		URL:    target(x.Address(), o.Target),
		Host:   o.Host,
		Header: o.Header(),
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(o.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(o.Body))
		r.ContentLength = int64(len(o.Body))
	}
	return r.WithContext(ctx)
}

// target keeps the caller's spelling of the path and the query.
func target(address, raw string) *url.URL {
	u, err := url.ParseRequestURI(raw)
	if err != nil || u.RequestURI() != raw || u.Host != "" {
		return &url.URL{Scheme: "http", Host: address, Opaque: raw}
	}
	u.Scheme, u.Host = "http", address
	return u
}
