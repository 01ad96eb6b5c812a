// Package dispatch is the one way by which work reaches upstreams. Each dispatch checks the view again.
package dispatch

import (
	"context"
	"time"

	"crocuswing/internal/fleet/view"
	"crocuswing/internal/task/group"
	"crocuswing/internal/upstream/directory"
	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/upstream/target"
	"crocuswing/internal/wire/order"
	"crocuswing/internal/wire/part"
	"crocuswing/internal/wire/relay"
)

// Viewer gives the view of the present moment.
type Viewer interface {
	Current() view.View
	// Fresh refreshes a view that is too old for new work. It fails if that cannot be done before ctx ends.
	Fresh(ctx context.Context) (view.View, error)
}

// Relayer reaches other instances.
type Relayer interface {
	// Relay fails with *failure.Failure if the other instance did not answer.
	Relay(ctx context.Context, instance string, q relay.Request) (relay.Reply, error)
	// Notify tells another instance what this one saw of upstreams.
	Notify(ctx context.Context, instance string, notices []relay.Notice) error
}

// Observer is told each change of an upstream's state.
type Observer func(upstream string, c target.Change)

// Dispatcher sends attempts to upstreams within their limits.
type Dispatcher struct {
	self      string
	viewer    Viewer
	directory *directory.Directory
	relayer   Relayer
	observe   Observer
	refused   func(reason string)
	hops      hops
	notices   chan relay.Notice
	detached  group.Group // attempts that run on after their request has ended
}

// Option changes how a dispatcher is made.
type Option func(*Dispatcher)

// WithObserver tells changes of state to o.
func WithObserver(o Observer) Option {
	return func(d *Dispatcher) { d.observe = o }
}

// WithRefusalObserver tells the reason of each attempt that got no slot to count.
func WithRefusalObserver(count func(reason string)) Option {
	return func(d *Dispatcher) { d.refused = count }
}

// New makes a dispatcher for the instance self.
func New(self string, v Viewer, d *directory.Directory, r Relayer, options ...Option) *Dispatcher {
	x := &Dispatcher{
		self:      self,
		viewer:    v,
		directory: d,
		relayer:   r,
		observe:   func(string, target.Change) {},
		refused:   func(string) {},
		notices:   make(chan relay.Notice, noticeQueue),
	}
	for _, o := range options {
		o(x)
	}
	return x
}

// Part asks one upstream for one shard's part. It fails with *failure.Failure.
func (d *Dispatcher) Part(ctx context.Context, upstream string, q part.Request) (part.Reply, error) {
	reply, err := d.attempt(ctx, relay.Request{Upstream: upstream, Part: &q})
	return reply.Part, err
}

// Order runs one order on one upstream. It fails with *failure.Failure.
func (d *Dispatcher) Order(ctx context.Context, upstream string, q order.Request) (order.Reply, error) {
	reply, err := d.attempt(ctx, relay.Request{Upstream: upstream, Order: &q})
	return reply.Order, err
}

// refresh makes sure that the view is young enough for a dispatch to the upstream.
func (d *Dispatcher) refresh(ctx context.Context, upstream string) error {
	if _, err := d.viewer.Fresh(ctx); err != nil {
		return &failure.Failure{Upstream: upstream, Kind: failure.KindForbidden, NotRun: true, Err: err}
	}
	return nil
}

func (d *Dispatcher) permits(t *target.Target) bool {
	return d.viewer.Current().Permits(t.Name()) && t.IsAvailable(time.Now())
}
