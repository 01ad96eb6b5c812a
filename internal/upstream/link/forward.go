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

var errCanceled = errors.New("request was withdrawn before it was sent")

// maxIdleNonIdempotent is the maximum idle time of a connection that carries a non-idempotent request. It is about the longest
// round-trip time between regions: a close by the upstream that was under way when the connection was last used has arrived by
// then, and a later close is unlikely.
const maxIdleNonIdempotent = 50 * time.Millisecond

// Request is a request that Forward passes on unchanged.
type Request struct {
	// ID identifies the request in its response. No connection carries two requests with the same ID: CheckResponse could not tell a late
	// copy of the response to the first one from the response to the second.
	ID     string
	Method string
	// Target is the request target, spelled as the caller sent it.
	Target string
	Host   string
	// Header returns the headers. It is called immediately before sending, since a header may contain the time left.
	Header func() http.Header
	Body   []byte
	// NonIdempotent marks a request that must not be repeated. It is not sent on a connection that was idle for longer than
	// maxIdleNonIdempotent, which the upstream may have closed.
	NonIdempotent bool
	// BeforeSend is called immediately before the first byte is sent. Nothing is sent if it returns false. It may be nil.
	BeforeSend func() bool
	// CheckResponse returns an error for a response that belongs to another request. It is also called for a response that broke off
	// after its headers. It may be nil.
	CheckResponse func(status int, h http.Header) error
}

// Forward sends a request and returns its complete response, whatever its status. The caller frees the response. Forward fails with
// *failure.Failure, whose NotRun is true if and only if no byte was sent.
func (l *Link) Forward(ctx context.Context, req Request) (connection.Response, error) {
	for {
		c, err := l.acquire(ctx, req)
		if err != nil {
			return connection.Response{}, l.acquireFailure(ctx, err)
		}
		got, err := l.beginForward(c).forward(ctx, req)
		if !errors.Is(err, errNotSent) {
			return got, err
		}
	}
}

func (l *Link) acquire(ctx context.Context, req Request) (*connection.Connection, error) {
	if req.NonIdempotent {
		return l.pool.AcquireWithMaxIdle(ctx, req.ID, maxIdleNonIdempotent)
	}
	return l.pool.Acquire(ctx, req.ID)
}

// beginForward starts an exchange that is never abandoned because of a stalled connection: the upstream may be processing the
// request, and the caller may send a hedge to another upstream.
func (l *Link) beginForward(c *connection.Connection) *exchange {
	return l.begin(c, l.pool.CloseUnusedSince)
}

func (x *exchange) forward(ctx context.Context, req Request) (connection.Response, error) {
	if req.BeforeSend != nil && !req.BeforeSend() {
		x.release(false, true)
		return connection.Response{}, x.newFailure(failure.KindCanceled, true, errCanceled)
	}
	got, err := x.conn.RoundTrip(x.newRequest(ctx, req))
	if err != nil {
		if req.CheckResponse != nil && got.Header != nil {
			_ = req.CheckResponse(got.Status, got.Header) // the response is unusable whether or not it belongs to the request
		}
		return connection.Response{}, x.connectionFailure(ctx, err)
	}
	if req.CheckResponse != nil {
		if err := req.CheckResponse(got.Status, got.Header); err != nil {
			got.Free()
			return connection.Response{}, x.mismatch(err)
		}
	}
	// The connection of a misdirected request leads to another upstream, whose responses may state no identifier.
	x.release(true, !got.Close && got.Status != http.StatusMisdirectedRequest)
	return got, nil
}

func (x *exchange) newRequest(ctx context.Context, req Request) *http.Request {
	r := &http.Request{
		Method: req.Method,
		URL:    requestURL(x.Address(), req.Target),
		Host:   req.Host,
		Header: req.Header(),
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(req.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(req.Body))
		r.ContentLength = int64(len(req.Body))
	}
	return r.WithContext(ctx)
}

// requestURL returns the URL of a request target at address. It preserves the caller's spelling of the path and the query.
func requestURL(address, target string) *url.URL {
	u, err := url.ParseRequestURI(target)
	if err != nil || u.RequestURI() != target || u.Host != "" {
		return &url.URL{Scheme: "http", Host: address, Opaque: target}
	}
	u.Scheme, u.Host = "http", address
	return u
}
