package dispatch

import (
	"context"
	"errors"
	"time"

	"crocuswing/internal/upstream/directory"
	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/upstream/queue"
	"crocuswing/internal/upstream/start"
	"crocuswing/internal/upstream/target"
	"crocuswing/internal/wire/relay"
)

// runOut is the longest time for which an attempt on a cold upstream keeps its slot. It is the
// deadline that the upstream is given, whatever the caller's.
const runOut = 3 * time.Second

// attempt sends q to the upstream directly or through one of its homes. Where a home proves that
// nothing ran, the next one is tried.
func (d *Dispatcher) attempt(ctx context.Context, q relay.Request) (relay.Reply, error) {
	t, ok := d.directory.Target(q.Upstream)
	if !ok {
		return relay.Reply{}, forbidden(q.Upstream)
	}
	var tried []string
	err := forbidden(q.Upstream)
	for {
		hop, ok := d.route(t, tried)
		if !ok {
			return relay.Reply{}, err
		}
		var reply relay.Reply
		if hop == d.self {
			reply, err = d.direct(ctx, t, q)
		} else {
			reply, err = d.relay(ctx, t, hop, q)
		}
		if !mayRunElsewhere(err) || ctx.Err() != nil {
			return reply, err
		}
		tried = append(tried, hop)
	}
}

// mayRunElsewhere tells whether a failed attempt reached no upstream and another home may take it.
func mayRunElsewhere(err error) bool {
	var f *failure.Failure
	if !errors.As(err, &f) || !f.NotRun {
		return false
	}
	var refused *target.RefusedError
	return f.Kind == failure.KindRelay || (errors.As(err, &refused) && refused.AllowsOtherHome())
}

// HandleRelay runs an attempt for another instance. It checks again whether the upstream may get work
// from here, and goes to no further instance.
func (d *Dispatcher) HandleRelay(ctx context.Context, q relay.Request) relay.Reply {
	t, ok := d.directory.Target(q.Upstream)
	if !ok {
		return relay.Reply{Failed: failure.KindForbidden, NotRun: true, Reason: "the upstream is unknown", Cold: true}
	}
	if q.Doubt {
		t.ApplyNotice(q.Incarnation, false, true)
	}
	reply, err := d.direct(ctx, t, q)
	reply.Cold, reply.Incarnation = t.IsCold(), t.Incarnation()
	var f *failure.Failure
	if errors.As(err, &f) {
		reply.Failed, reply.NotRun, reply.Reason = f.Kind, f.NotRun, err.Error()
		reply.RetryAfter, reply.Elsewhere = f.RetryAfter, mayRunElsewhere(err)
	}
	return reply
}

// relay sends an attempt through another home.
func (d *Dispatcher) relay(ctx context.Context, t *target.Target, hop string, q relay.Request) (relay.Reply, error) {
	if err := d.refresh(ctx, q.Upstream); err != nil {
		return relay.Reply{}, err
	}
	if !d.permits(t) {
		return relay.Reply{}, forbidden(q.Upstream)
	}
	t.BeginRelay()
	end := d.hops.begin(d.directory.Ranking(), hop)
	defer end()
	sent := time.Now()
	q.Doubt, q.Incarnation = t.HasRestarted(), t.Incarnation()
	reply, err := d.relayer.Relay(ctx, hop, q)
	if err != nil {
		t.AbortRelay()
		return relay.Reply{}, err
	}
	t.FinishRelay(time.Since(sent), reply.Signal, reply.Incarnation, !reply.Cold)
	if reply.Failed == "" {
		return reply, nil
	}
	f := &failure.Failure{Upstream: q.Upstream, Kind: reply.Failed, NotRun: reply.NotRun, RetryAfter: reply.RetryAfter}
	f.Err = errors.New(reply.Reason)
	if reply.Elsewhere {
		f.Err = &target.RefusedError{Upstream: q.Upstream, Reason: target.ReasonNotHome}
	}
	return reply, f
}

// direct runs one exchange inside the upstream's limit and records its result.
func (d *Dispatcher) direct(ctx context.Context, t *target.Target, q relay.Request) (relay.Reply, error) {
	if !d.permits(t) {
		return relay.Reply{}, forbidden(q.Upstream)
	}
	ctx, cancel := limitStart(ctx, q)
	defer cancel()
	slot, err := t.Acquire(ctx)
	if err != nil {
		return relay.Reply{}, d.notAcquired(q.Upstream, err)
	}
	if err := d.refresh(ctx, q.Upstream); err != nil {
		t.Release(slot)
		return relay.Reply{}, err
	}
	l, ok := d.directory.Link(q.Upstream)
	if !ok || !d.permits(t) {
		t.Release(slot)
		return relay.Reply{}, forbidden(q.Upstream)
	}
	// An order has its own time for the answer and is not withdrawn when its caller gives up.
	if slot.MustComplete && q.Order == nil {
		return d.detach(ctx, t, slot, l, q)
	}
	return d.exchange(ctx, t, slot, l, q)
}

// limitStart limits the time in which an order has to reach its upstream. Its answer may take longer.
func limitStart(ctx context.Context, q relay.Request) (context.Context, context.CancelFunc) {
	if q.Order != nil {
		if left, ok := q.Order.StartWithin(); ok {
			return start.WithTimeout(ctx, left)
		}
	}
	return ctx, func() {}
}

// result is what an exchange gave.
type result struct {
	reply relay.Reply
	err   error
}

// detach runs an exchange that goes on when ctx ends. Its slot stays taken until the upstream has
// answered or runOut has passed, since a canceled request may still occupy a cold upstream.
func (d *Dispatcher) detach(ctx context.Context, t *target.Target, s target.Slot, l directory.Link, q relay.Request) (relay.Reply, error) {
	ended := make(chan result, 1)
	d.detached.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), runOut)
		defer cancel()
		reply, err := d.exchange(ctx, t, s, l, q)
		ended <- result{reply: reply, err: err}
	})
	select {
	case r := <-ended:
		return r.reply, r.err
	case <-ctx.Done():
		kind := failure.KindTimeout
		if errors.Is(ctx.Err(), context.Canceled) {
			kind = failure.KindCanceled
		}
		return relay.Reply{}, &failure.Failure{Upstream: q.Upstream, Kind: kind, Err: ctx.Err()}
	}
}

// exchange sends one attempt over the link and gives its slot back.
func (d *Dispatcher) exchange(ctx context.Context, t *target.Target, s target.Slot, l directory.Link, q relay.Request) (relay.Reply, error) {
	var reply relay.Reply
	var err error
	if q.Part != nil {
		reply.Part, reply.Signal, err = l.Part(ctx, *q.Part)
	} else {
		reply.Order, reply.Signal, err = l.Order(ctx, *q.Order)
	}
	r := target.Result{Signal: reply.Signal}
	var f *failure.Failure
	if errors.As(err, &f) {
		r.FailureKind = f.Kind
	}
	d.report(t, t.Finish(s, r))
	return reply, err
}

// Wait blocks until no attempt runs any more whose request has ended, or ctx ends.
func (d *Dispatcher) Wait(ctx context.Context) { d.detached.Wait(ctx) }

// notAcquired makes the failure of an attempt that got no slot; nothing was sent.
func (d *Dispatcher) notAcquired(upstream string, err error) error {
	f := &failure.Failure{Upstream: upstream, Kind: failure.KindTimeout, NotRun: true, Err: err}
	var refused *target.RefusedError
	var full *queue.Error
	switch {
	case errors.As(err, &refused):
		f.Kind, f.RetryAfter = failure.KindForbidden, refused.RetryAfter
		d.refused(refused.Reason)
	case errors.As(err, &full):
		f.Kind, f.RetryAfter = failure.KindBusy, full.Wait
		d.refused("the queue is full or the deadline too near")
	case errors.Is(err, context.Canceled):
		f.Kind = failure.KindCanceled
	}
	return f
}

func forbidden(upstream string) error {
	return &failure.Failure{Upstream: upstream, Kind: failure.KindForbidden, NotRun: true}
}
