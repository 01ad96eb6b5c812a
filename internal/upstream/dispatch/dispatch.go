// Package dispatch sends the attempts of queries and orders to upstreams, either directly or relayed through an instance that is
// a home of the upstream. Before each attempt it checks that the current view still permits work for the upstream, and it
// acquires a slot from package target.
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

// Viewer provides the current view.
type Viewer interface {
	// Current returns the current view, whatever its age.
	Current() view.View
	// Fresh returns the current view and refreshes it first if it is too old for new work. It fails if that is not
	// possible before ctx ends.
	Fresh(ctx context.Context) (view.View, error)
}

// Relayer calls other instances.
type Relayer interface {
	// Relay sends an attempt through another instance. It fails with *failure.Failure if that instance does not reply.
	Relay(ctx context.Context, instance string, q relay.Request) (relay.Reply, error)
	// Notify sends notices about upstreams to another instance.
	Notify(ctx context.Context, instance string, notices []relay.Notice) error
}

// Observer is called for each change of an upstream's state.
type Observer func(upstream string, c target.Change)

// Dispatcher sends attempts to upstreams within their limits.
type Dispatcher struct {
	self      string
	viewer    Viewer
	directory *directory.Directory
	relayer   Relayer
	onChange  Observer
	onRefusal func(reason string)
	relays    relayCounter
	notices   chan relay.Notice
	detached  group.Group // attempts that continue after their request has ended
}

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithObserver returns an option that sets the observer of state changes.
func WithObserver(o Observer) Option {
	return func(d *Dispatcher) { d.onChange = o }
}

// WithRefusalObserver returns an option that sets a function to be called with the reason for each attempt that gets no slot.
func WithRefusalObserver(observe func(reason string)) Option {
	return func(d *Dispatcher) { d.onRefusal = observe }
}

// New returns a dispatcher for the instance named self.
func New(self string, v Viewer, dir *directory.Directory, r Relayer, options ...Option) *Dispatcher {
	d := &Dispatcher{
		self:      self,
		viewer:    v,
		directory: dir,
		relayer:   r,
		onChange:  func(string, target.Change) {},
		onRefusal: func(string) {},
		notices:   make(chan relay.Notice, noticeQueueSize),
	}
	for _, o := range options {
		o(d)
	}
	return d
}

// Part requests the part of one shard from an upstream. It fails with *failure.Failure.
func (d *Dispatcher) Part(ctx context.Context, upstream string, q part.Request) (part.Reply, error) {
	reply, err := d.attempt(ctx, relay.Request{Upstream: upstream, Part: &q})
	return reply.Part, err
}

// Order sends one order to an upstream. It fails with *failure.Failure.
func (d *Dispatcher) Order(ctx context.Context, upstream string, q order.Request) (order.Reply, error) {
	reply, err := d.attempt(ctx, relay.Request{Upstream: upstream, Order: &q})
	return reply.Order, err
}

// ensureFreshView refreshes the view if it is too old for a new attempt. It fails with *failure.Failure.
func (d *Dispatcher) ensureFreshView(ctx context.Context, upstream string) error {
	if _, err := d.viewer.Fresh(ctx); err != nil {
		return &failure.Failure{Upstream: upstream, Kind: failure.KindForbidden, NotRun: true, Err: err}
	}
	return nil
}

// permits reports whether the view permits work for the upstream and the upstream is available.
func (d *Dispatcher) permits(t *target.Target) bool {
	return d.viewer.Current().AllowsUpstream(t.Name()) && t.IsAvailable(time.Now())
}
