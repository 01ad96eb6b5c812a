package link

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"crocuswing/internal/upstream/connection"
	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/upstream/signal"
	"crocuswing/internal/upstream/stall"
	"crocuswing/internal/upstream/start"
	"crocuswing/internal/wire/header"
	"crocuswing/internal/wire/part"
)

// errNotSent is returned if a reused connection was closed before a byte was sent, so that the request may go out on another
// connection. It never leaves this package.
var errNotSent = errors.New("connection was closed before its use")

// message is a request and the variable for its decoded reply. check verifies that the reply belongs to the request.
type message struct {
	path, id string
	body     any
	reply    any
	check    func() error
	onStall  stallPolicy
}

// exchange is a request on a connection.
type exchange struct {
	*Link
	message
	conn    *connection.Connection
	attempt *stall.Attempt
	reused  bool
}

// begin starts an exchange on the connection. onStalled is called with the start of the exchange if the connection is found to be
// stalled; it may be nil.
func (l *Link) begin(c *connection.Connection, onStalled func(start time.Time)) *exchange {
	x := &exchange{Link: l, conn: c, reused: c.BeginRequest()}
	var abandon func()
	if onStalled != nil {
		start := time.Now()
		abandon = func() { onStalled(start) }
	}
	x.attempt = l.detector.Begin(x.reused, c.BytesReceived, abandon)
	return x
}

// beginMessage starts an exchange that is abandoned on a stalled connection if the message may be retried.
func (l *Link) beginMessage(c *connection.Connection, m message) *exchange {
	onStalled := func(start time.Time) { l.pool.Abandon(c, start) }
	if m.onStall == waitForDeadline {
		onStalled = nil
	}
	x := l.begin(c, onStalled)
	x.message = m
	return x
}

// run sends the encoded message and decodes the reply. It fails with *failure.Failure, or with errNotSent if the message may go
// out on another connection.
func (x *exchange) run(ctx context.Context, text []byte) (signal.Signal, error) {
	got, err := x.post(ctx, text)
	if err != nil {
		return signal.Signal{Load: -1}, x.connectionFailure(ctx, err)
	}
	return x.handleResponse(got)
}

// post sends the request and returns the response.
func (x *exchange) post(ctx context.Context, text []byte) (connection.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+x.Address()+x.path, bytes.NewReader(text))
	if err != nil {
		return connection.Response{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(header.RequestID, x.id)
	if deadline, ok := start.Deadline(ctx); ok {
		left := max(time.Until(deadline).Milliseconds(), 1)
		req.Header.Set(header.DeadlineMS, strconv.FormatInt(left, 10))
	}
	return x.conn.RoundTrip(req)
}

// handleResponse decodes the response into the reply. A connection that delivered a malformed response or the response to another
// request is closed, since later data on it cannot be trusted either.
func (x *exchange) handleResponse(got connection.Response) (signal.Signal, error) {
	defer got.Free()
	sig := signal.From(got.Status, got.Header)
	if sig.Draining {
		x.pool.DrainUntil(time.Now().Add(drainHold))
	}
	if err := checkRequestID(x.id, got.Header.Get(header.RequestID)); err != nil {
		return sig, x.mismatch(err)
	}
	if got.Status != http.StatusOK {
		x.release(true, true)
		return sig, x.statusFailure(got, sig)
	}
	if err := json.Unmarshal(got.Body, x.reply); err != nil {
		return sig, x.unusable(err)
	}
	if err := x.check(); err != nil {
		return sig, x.unusable(err)
	}
	x.release(true, true)
	return sig, nil
}

// release returns the connection to the pool, which closes it unless it is healthy, and reports whether it was found to be
// stalled.
func (x *exchange) release(answered, healthy bool) (stalled bool) {
	stalled = x.attempt.End(answered)
	x.pool.Release(x.conn, healthy)
	return stalled
}

// connectionFailure classifies an error of the connection. NotRun is true if and only if no byte was sent.
func (x *exchange) connectionFailure(ctx context.Context, err error) error {
	sent := x.conn.StopWriting()
	stalled := x.release(false, false)
	switch {
	case stalled:
		return x.newFailure(failure.KindStalled, !sent, err)
	case errors.Is(ctx.Err(), context.Canceled):
		return x.newFailure(failure.KindCanceled, !sent, err)
	case ctx.Err() != nil:
		return x.newFailure(failure.KindTimeout, !sent, err)
	case !sent && x.reused:
		return errNotSent
	case !sent:
		return x.newFailure(failure.KindRefused, true, err)
	}
	return x.newFailure(failure.KindReset, false, err)
}

// unusable closes a connection that delivered a malformed response, or one that belongs to another request, and returns the failure.
func (x *exchange) unusable(err error) error {
	var mismatch *part.MismatchError
	if errors.As(err, &mismatch) {
		return x.mismatch(err)
	}
	x.release(true, false)
	return x.newFailure(failure.KindIncomplete, false, err)
}

// mismatch closes a connection that delivered the response to another request and returns the failure.
func (x *exchange) mismatch(err error) error {
	x.release(true, false)
	x.crossed.Add(1)
	return x.newFailure(failure.KindCrossed, false, err)
}

// newFailure returns the failure of an attempt on the connection.
func (x *exchange) newFailure(kind string, notRun bool, err error) error {
	return &failure.Failure{Upstream: x.name, Kind: kind, NotRun: notRun, Connection: x.conn.Number(), Err: err}
}

func checkRequestID(want, got string) error {
	if want == got {
		return nil
	}
	return &part.MismatchError{Want: want, Got: got}
}
