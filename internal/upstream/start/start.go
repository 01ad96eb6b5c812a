// Package start limits the time until an attempt has a connection. An attempt whose connection was reported through httptrace is
// not canceled at this limit, since the upstream may already be processing it. Package dispatch sets the limit for orders.
package start

import (
	"context"
	"net/http/httptrace"
	"time"
)

type deadlineKey struct{}

// WithTimeout returns a context for one HTTP exchange that is canceled after d unless the httptrace hook GotConn was called for
// the exchange by then.
func WithTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx = context.WithValue(ctx, deadlineKey{}, time.Now().Add(d))
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(d, cancel)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { timer.Stop() }}
	return httptrace.WithClientTrace(ctx, trace), func() {
		timer.Stop()
		cancel()
	}
}

// Deadline returns the time by which the upstream must start the request: the limit set by WithTimeout, or else the deadline of
// ctx.
func Deadline(ctx context.Context) (time.Time, bool) {
	if deadline, ok := ctx.Value(deadlineKey{}).(time.Time); ok {
		return deadline, true
	}
	return ctx.Deadline()
}
