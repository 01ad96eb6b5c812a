// Package dispatch is the one way by which work reaches upstreams. Each dispatch checks the view again.
package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"crocuswing/internal/fleet/view"
	"crocuswing/internal/index/shard"
	"crocuswing/internal/upstream/directory"
	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/upstream/home"
	"crocuswing/internal/upstream/link"
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

// Relayer sends an attempt through another instance.
type Relayer interface {
	// Relay fails with *failure.Failure if the other instance did not answer.
	Relay(ctx context.Context, instance string, q relay.Request) (relay.Reply, error)
}

// Dispatcher sends attempts to upstreams within their limits.
type Dispatcher struct {
	self      string
	viewer    Viewer
	directory *directory.Directory
	relayer   Relayer
}

// New makes a dispatcher for the instance self.
func New(self string, v Viewer, d *directory.Directory, r Relayer) *Dispatcher {
	return &Dispatcher{self: self, viewer: v, directory: d, relayer: r}
}

// Choose picks a replica of s that may get new work, the less busy of two random ones,
// and false if there is none besides those in tried.
func (d *Dispatcher) Choose(s shard.Shard, tried []string) (string, bool) {
	now := time.Now()
	v := d.viewer.Current()
	eligible := make([]*target.Target, 0, len(s.Replicas))
	for _, name := range s.Replicas {
		t, ok := d.directory.Target(name)
		if ok && v.Permits(name) && t.IsOpen(now) && !slices.Contains(tried, name) {
			eligible = append(eligible, t)
		}
	}
	if len(eligible) == 0 {
		return "", false
	}
	a := eligible[rand.IntN(len(eligible))]
	b := eligible[rand.IntN(len(eligible))]
	return better(a, b).Name(), true
}

// MayHedge tells whether an extra attempt may go to the upstream.
func (d *Dispatcher) MayHedge(upstream string) bool {
	t, ok := d.directory.Target(upstream)
	return ok && !t.IsCold()
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

// Relayed runs an attempt for another instance. It refuses a cold upstream whose first home is elsewhere.
func (d *Dispatcher) Relayed(ctx context.Context, q relay.Request) relay.Reply {
	t, ok := d.directory.Target(q.Upstream)
	if !ok || (t.IsCold() && d.firstHome(q.Upstream) != d.self) {
		return relay.Reply{Failed: failure.KindForbidden, NotRun: true, Reason: "this instance is not the first home"}
	}
	reply, err := d.direct(ctx, t, q)
	reply.Cold = t.IsCold()
	var f *failure.Failure
	if errors.As(err, &f) {
		reply.Failed, reply.NotRun, reply.Reason = f.Kind, f.NotRun, err.Error()
	}
	return reply
}

// attempt goes to the upstream directly, or through its first home while it is cold.
func (d *Dispatcher) attempt(ctx context.Context, q relay.Request) (relay.Reply, error) {
	t, ok := d.directory.Target(q.Upstream)
	if !ok {
		return relay.Reply{}, forbidden(q.Upstream)
	}
	first := d.firstHome(q.Upstream)
	if !t.IsCold() || first == d.self {
		return d.direct(ctx, t, q)
	}
	if err := d.refresh(ctx, q.Upstream); err != nil {
		return relay.Reply{}, err
	}
	if !d.permits(t) {
		return relay.Reply{}, forbidden(q.Upstream)
	}
	start := time.Now()
	reply, err := d.relayer.Relay(ctx, first, q)
	if err != nil {
		return relay.Reply{}, err
	}
	t.Relayed(time.Since(start), reply.Signal, reply.Cold)
	if reply.Failed != "" {
		return relay.Reply{}, &failure.Failure{Upstream: q.Upstream, Kind: reply.Failed, NotRun: reply.NotRun, Err: errors.New(reply.Reason)}
	}
	return reply, nil
}

// direct runs one exchange inside the upstream's limit and records its result.
func (d *Dispatcher) direct(ctx context.Context, t *target.Target, q relay.Request) (relay.Reply, error) {
	if err := t.Acquire(ctx); err != nil {
		return relay.Reply{}, &failure.Failure{Upstream: q.Upstream, Kind: failure.KindTimeout, NotRun: true, Err: err}
	}
	defer t.Release()
	if err := d.refresh(ctx, q.Upstream); err != nil {
		return relay.Reply{}, err
	}
	l, ok := d.directory.Link(q.Upstream)
	if !ok || !d.permits(t) || (t.IsCold() && d.firstHome(q.Upstream) != d.self) {
		return relay.Reply{}, forbidden(q.Upstream)
	}
	start := time.Now()
	reply, err := exchange(ctx, l, q)
	if err == nil {
		t.Succeeded(time.Since(start), reply.Signal)
		return reply, nil
	}
	t.Failed(isBroken(err), reply.Signal)
	return reply, err
}

// refresh makes sure that the view is young enough for a dispatch to the upstream.
func (d *Dispatcher) refresh(ctx context.Context, upstream string) error {
	if _, err := d.viewer.Fresh(ctx); err != nil {
		return &failure.Failure{Upstream: upstream, Kind: failure.KindForbidden, NotRun: true, Err: err}
	}
	return nil
}

func exchange(ctx context.Context, l *link.Link, q relay.Request) (relay.Reply, error) {
	var reply relay.Reply
	var err error
	if q.Part != nil {
		reply.Part, reply.Signal, err = l.Part(ctx, *q.Part)
	} else {
		reply.Order, reply.Signal, err = l.Order(ctx, *q.Order)
	}
	return reply, err
}

func (d *Dispatcher) permits(t *target.Target) bool {
	return d.viewer.Current().Permits(t.Name()) && t.IsOpen(time.Now())
}

func (d *Dispatcher) firstHome(upstream string) string {
	first, _ := home.First(upstream, d.viewer.Current().Instances())
	return first
}

func forbidden(upstream string) error {
	return &failure.Failure{Upstream: upstream, Kind: failure.KindForbidden, NotRun: true}
}

func isBroken(err error) bool {
	var f *failure.Failure
	return errors.As(err, &f) && (f.Kind == failure.KindRefused || f.Kind == failure.KindReset)
}

func better(a, b *target.Target) *target.Target {
	busyA, busyB := a.Busy(), b.Busy()
	if busyA != busyB {
		if busyA < busyB {
			return a
		}
		return b
	}
	if a.Latency() <= b.Latency() {
		return a
	}
	return b
}
