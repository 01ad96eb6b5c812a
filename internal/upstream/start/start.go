// Package start limits the time until an attempt has a connection. An attempt that has one is not canceled at this limit, since the
// upstream may already be processing it. Package dispatch sets the limit for orders, and package link reports the connection.
package start

import (
	"context"
	"time"
)

type limitKey struct{}

// limit is the start limit of one exchange.
type limit struct {
	deadline time.Time
	timer    *time.Timer
}

// WithTimeout returns a context for one exchange that is canceled after d unless Connected was called for the exchange by then.
func WithTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	l := &limit{deadline: time.Now().Add(d), timer: time.AfterFunc(d, cancel)}
	return context.WithValue(ctx, limitKey{}, l), func() {
		l.timer.Stop()
		cancel()
	}
}

// Connected ends the limit of WithTimeout, because the exchange has a connection. It has no effect on other contexts.
func Connected(ctx context.Context) {
	if l, ok := ctx.Value(limitKey{}).(*limit); ok {
		l.timer.Stop()
	}
}

// Deadline returns the time by which the upstream must start the request: the limit set by WithTimeout, or else the deadline of
// ctx.
func Deadline(ctx context.Context) (time.Time, bool) {
	if l, ok := ctx.Value(limitKey{}).(*limit); ok {
		return l.deadline, true
	}
	return ctx.Deadline()
}
