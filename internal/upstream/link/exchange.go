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

// errUnused tells that the connection was closed before a byte was sent, so that another one may be tried. No failure wraps it.
var errUnused = errors.New("connection was closed before its use")

// message is one request with the place for its reply. check compares the two.
type message struct {
	path, id string
	body     any
	reply    any
	check    func() error
	patience patience
}

// exchange is one request on one connection.
type exchange struct {
	*Link
	message
	conn    *connection.Connection
	attempt *stall.Attempt
	reused  bool
}

// begin takes the connection into use. silent is called if it is found silent, with the start of the use; it may be nil.
func (l *Link) begin(c *connection.Connection, silent func(start time.Time)) *exchange {
	x := &exchange{Link: l, conn: c, reused: c.BeginRequest()}
	var abandon func()
	if silent != nil {
		start := time.Now()
		abandon = func() { silent(start) }
	}
	x.attempt = l.monitor.Begin(x.reused, c.BytesReceived, abandon)
	return x
}

// beginMessage gives the attempt up on a silent connection if the message may be repeated.
func (l *Link) beginMessage(c *connection.Connection, m message) *exchange {
	silent := func(start time.Time) { l.pool.Abandon(c, start) }
	if m.patience == untilDeadline {
		silent = nil
	}
	x := l.begin(c, silent)
	x.message = m
	return x
}

// run fails with *failure.Failure, or with errUnused if another connection may be tried.
func (x *exchange) run(ctx context.Context, text []byte) (signal.Signal, error) {
	got, err := x.post(ctx, text)
	if err != nil {
		return signal.Signal{Load: -1}, x.broken(ctx, err)
	}
	return x.read(got)
}

// post sends the request.
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

// read takes the whole answer. A connection that delivered another request's or a malformed
// answer is closed, since what follows on it cannot be trusted.
func (x *exchange) read(got connection.Response) (signal.Signal, error) {
	sig := signal.From(got.Status, got.Header)
	if sig.Draining {
		x.pool.DrainUntil(time.Now().Add(leavingHold))
	}
	if err := crossed(x.id, got.Header.Get(header.RequestID)); err != nil {
		return sig, x.mismatch(err)
	}
	if got.Status != http.StatusOK {
		x.end(true, true)
		return sig, x.statusFailure(got, sig)
	}
	if err := json.Unmarshal(got.Body, x.reply); err != nil {
		return sig, x.mismatch(err)
	}
	if err := x.check(); err != nil {
		return sig, x.mismatch(err)
	}
	x.end(true, true)
	return sig, nil
}

// end gives the connection back, which stays open only if it is healthy, and reports whether it was
// found silent.
func (x *exchange) end(answered, healthy bool) (silent bool) {
	silent = x.attempt.End(answered)
	x.pool.Release(x.conn, healthy)
	return silent
}

// broken classifies an error of the connection. NotRun is true exactly if no byte was sent.
func (x *exchange) broken(ctx context.Context, err error) error {
	sent := x.conn.StopWriting()
	silent := x.end(false, false)
	switch {
	case silent:
		return x.fail(failure.KindStalled, !sent, err)
	case errors.Is(ctx.Err(), context.Canceled):
		return x.fail(failure.KindCanceled, !sent, err)
	case ctx.Err() != nil:
		return x.fail(failure.KindTimeout, !sent, err)
	case !sent && x.reused:
		return errUnused
	case !sent:
		return x.fail(failure.KindRefused, true, err)
	}
	return x.fail(failure.KindReset, false, err)
}

// mismatch closes the connection that delivered a wrong reply.
func (x *exchange) mismatch(err error) error {
	x.end(true, false)
	kind := failure.KindIncomplete
	var wrong *part.CrossedError
	if errors.As(err, &wrong) {
		kind = failure.KindCrossed
		x.crossed.Add(1)
	}
	return x.fail(kind, false, err)
}

func crossed(want, got string) error {
	if want == got {
		return nil
	}
	return &part.CrossedError{Want: want, Got: got}
}
