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

// coldAttemptTimeout is the maximum time for which an attempt on a cold upstream keeps its slot. The upstream gets it
// as its deadline, whatever the deadline of the caller.
const coldAttemptTimeout = 3 * time.Second

// attempt sends q to the upstream, directly or through one of its homes. If a home does not receive the attempt or may not
// send it, attempt continues with the next home.
func (d *Dispatcher) attempt(ctx context.Context, q relay.Request) (relay.Reply, error) {
	t, ok := d.directory.Target(q.Upstream)
	if !ok {
		return relay.Reply{}, forbiddenFailure(q.Upstream)
	}
	var attempted []string
	err := forbiddenFailure(q.Upstream)
	for {
		instance, ok := d.route(t, attempted)
		if !ok {
			return relay.Reply{}, err
		}
		var reply relay.Reply
		if instance == d.self {
			reply, err = d.sendDirect(ctx, t, q)
		} else {
			reply, err = d.sendRelayed(ctx, t, instance, q)
		}
		if !canUseOtherHome(err) || ctx.Err() != nil {
			return reply, err
		}
		attempted = append(attempted, instance)
	}
}

// canUseOtherHome reports whether an attempt failed before it reached the upstream and another home may send it.
func canUseOtherHome(err error) bool {
	var f *failure.Failure
	if !errors.As(err, &f) || !f.NotRun {
		return false
	}
	var refused *target.RefusedError
	return f.Kind == failure.KindRelay || (errors.As(err, &refused) && refused.AllowsOtherHome())
}

// HandleRelay sends an attempt to the upstream for another instance. It checks again whether this instance may send to
// the upstream, and never relays the attempt further.
func (d *Dispatcher) HandleRelay(ctx context.Context, q relay.Request) relay.Reply {
	t, ok := d.directory.Target(q.Upstream)
	if !ok {
		return relay.Reply{FailureKind: failure.KindForbidden, NotRun: true, Reason: "the upstream is unknown", Cold: true}
	}
	if q.Restarted {
		t.ApplyNotice(q.Incarnation, false, true)
	}
	reply, err := d.sendDirect(ctx, t, q)
	reply.Cold, reply.Incarnation = t.IsCold(), t.Incarnation()
	var f *failure.Failure
	if errors.As(err, &f) {
		reply.FailureKind, reply.NotRun, reply.Reason = f.Kind, f.NotRun, err.Error()
		reply.RetryAfter, reply.AllowsOtherHome = f.RetryAfter, canUseOtherHome(err)
	}
	return reply
}

// sendRelayed sends an attempt through another home.
func (d *Dispatcher) sendRelayed(ctx context.Context, t *target.Target, instance string, q relay.Request) (relay.Reply, error) {
	if err := d.ensureFreshView(ctx, q.Upstream); err != nil {
		return relay.Reply{}, err
	}
	if !d.permits(t) {
		return relay.Reply{}, forbiddenFailure(q.Upstream)
	}
	t.BeginRelay()
	end := d.relays.begin(d.directory.Ranking(), instance)
	defer end()
	sent := time.Now()
	q.Restarted, q.Incarnation = t.HasRestarted(), t.Incarnation()
	reply, err := d.relayer.Relay(ctx, instance, q)
	if err != nil {
		t.AbortRelay()
		return relay.Reply{}, err
	}
	t.FinishRelay(time.Since(sent), reply.Signal, reply.Incarnation, !reply.Cold)
	if reply.FailureKind == "" {
		return reply, nil
	}
	f := &failure.Failure{Upstream: q.Upstream, Kind: reply.FailureKind, NotRun: reply.NotRun, RetryAfter: reply.RetryAfter}
	f.Err = errors.New(reply.Reason)
	if reply.AllowsOtherHome {
		f.Err = &target.RefusedError{Upstream: q.Upstream, Reason: target.ReasonNotHome}
	}
	return reply, f
}

// sendDirect sends an attempt from this instance within the limit of the upstream and records its result.
func (d *Dispatcher) sendDirect(ctx context.Context, t *target.Target, q relay.Request) (relay.Reply, error) {
	if !d.permits(t) {
		return relay.Reply{}, forbiddenFailure(q.Upstream)
	}
	ctx, cancel := withStartLimit(ctx, q)
	defer cancel()
	slot, err := t.Acquire(ctx)
	if err != nil {
		return relay.Reply{}, d.acquireFailure(q.Upstream, err)
	}
	if err := d.ensureFreshView(ctx, q.Upstream); err != nil {
		t.Release(slot)
		return relay.Reply{}, err
	}
	l, ok := d.directory.Link(q.Upstream)
	if !ok || !d.permits(t) {
		t.Release(slot)
		return relay.Reply{}, forbiddenFailure(q.Upstream)
	}
	// An order has its own timeout for the response and is not canceled together with the request of its caller.
	if slot.MustComplete && q.Order == nil {
		return d.exchangeDetached(ctx, t, slot, l, q)
	}
	return d.exchange(ctx, t, slot, l, q)
}

// withStartLimit limits the time in which an order has to reach its upstream. The response may take longer.
func withStartLimit(ctx context.Context, q relay.Request) (context.Context, context.CancelFunc) {
	if q.Order != nil {
		if left, ok := q.Order.StartTimeout(); ok {
			return start.WithTimeout(ctx, left)
		}
	}
	return ctx, func() {}
}

// result is the result of an exchange.
type result struct {
	reply relay.Reply
	err   error
}

// exchangeDetached runs an exchange that continues when ctx ends. It keeps its slot until the upstream has responded or
// coldAttemptTimeout has passed, since a cold upstream may still work on a canceled request.
func (d *Dispatcher) exchangeDetached(ctx context.Context, t *target.Target, s target.Slot, l directory.Link, q relay.Request) (relay.Reply, error) {
	done := make(chan result, 1)
	d.detached.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), coldAttemptTimeout)
		defer cancel()
		reply, err := d.exchange(ctx, t, s, l, q)
		done <- result{reply: reply, err: err}
	})
	select {
	case r := <-done:
		return r.reply, r.err
	case <-ctx.Done():
		kind := failure.KindTimeout
		if errors.Is(ctx.Err(), context.Canceled) {
			kind = failure.KindCanceled
		}
		return relay.Reply{}, &failure.Failure{Upstream: q.Upstream, Kind: kind, Err: ctx.Err()}
	}
}

// exchange sends one attempt over the link, records its result and returns its slot.
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
	d.reportChange(t, t.Finish(s, r))
	return reply, err
}

// Wait blocks until all attempts that outlived their request have ended, or ctx ends.
func (d *Dispatcher) Wait(ctx context.Context) { d.detached.Wait(ctx) }

// acquireFailure returns the failure of an attempt that got no slot and was not sent.
func (d *Dispatcher) acquireFailure(upstream string, err error) error {
	f := &failure.Failure{Upstream: upstream, Kind: failure.KindTimeout, NotRun: true, Err: err}
	var refused *target.RefusedError
	var queueErr *queue.Error
	switch {
	case errors.As(err, &refused):
		f.Kind, f.RetryAfter = failure.KindForbidden, refused.RetryAfter
		d.onRefusal(refused.Reason)
	case errors.As(err, &queueErr):
		f.Kind, f.RetryAfter = failure.KindBusy, queueErr.Wait
		d.onRefusal("the queue is full or the deadline too near")
	case errors.Is(err, context.Canceled):
		f.Kind = failure.KindCanceled
	}
	return f
}

func forbiddenFailure(upstream string) error {
	return &failure.Failure{Upstream: upstream, Kind: failure.KindForbidden, NotRun: true}
}
