// Package start limits the time in which an attempt has to get a connection. An attempt that has one is not
// withdrawn at that limit, since its upstream may run it.
package start

import (
	"context"
	"net/http/httptrace"
	"time"
)

type key struct{}

// WithTimeout gives a context for one HTTP exchange. It is canceled after d unless the exchange has
// got a connection by then.
func WithTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx = context.WithValue(ctx, key{}, time.Now().Add(d))
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(d, cancel)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { timer.Stop() }}
	return httptrace.WithClientTrace(ctx, trace), func() {
		timer.Stop()
		cancel()
	}
}

// Deadline is the time by which the upstream has to start the request: the limit set by WithTimeout,
// else the deadline of ctx.
func Deadline(ctx context.Context) (time.Time, bool) {
	if by, ok := ctx.Value(key{}).(time.Time); ok {
		return by, true
	}
	return ctx.Deadline()
}
