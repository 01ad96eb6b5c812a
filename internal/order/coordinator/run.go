package coordinator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"crocuswing/internal/config/service"
	"crocuswing/internal/index/shard"
	"crocuswing/internal/order/outcome"
	"crocuswing/internal/order/ticket"
	"crocuswing/internal/task/pause"
	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/wire/order"
)

const (
	// maxAttempts limits the attempts of one order, including those for which no upstream is available. Another attempt is made
	// only if the last one is proven not to have run.
	maxAttempts        = 4
	retryDelay         = 50 * time.Millisecond
	maxForwardAttempts = 3
	forwardDelay       = 20 * time.Millisecond // doubles with each attempt
	// dispatchShare is the share of the time until the caller's deadline that is available for dispatching the order.
	dispatchShare = 0.75
	// maxDispatchTime limits the time for dispatching an order. It applies alone if the caller sets no deadline.
	maxDispatchTime = 10 * time.Second
	// responseTimeout is the time after the end of dispatching for which the upstream's response is awaited, even if the caller
	// no longer waits.
	responseTimeout = 20 * time.Second
)

// dispatchDeadline returns the time by which an order has to be dispatched. It leaves a share of the time until the
// caller's deadline for the upstream's response.
func dispatchDeadline(ctx context.Context, now time.Time) time.Time {
	deadline, ok := ctx.Deadline()
	if !ok {
		return now.Add(maxDispatchTime)
	}
	dispatchTime := time.Duration(dispatchShare * float64(deadline.Sub(now)))
	return now.Add(min(dispatchTime, maxDispatchTime))
}

// run sends the order until an attempt succeeds or may have run. It begins no attempt after dispatchBy, and awaits
// the response for up to responseTimeout longer.
func (c *Coordinator) run(ctx context.Context, dispatchBy time.Time, t ticket.Ticket, p Placement) outcome.Outcome {
	ctx, cancel := context.WithDeadline(ctx, dispatchBy.Add(responseTimeout))
	defer cancel()
	dispatchCtx, cancelDispatch := context.WithDeadline(ctx, dispatchBy)
	defer cancelDispatch()
	v, err := c.viewer.Fresh(dispatchCtx)
	if err != nil {
		return notRun(err.Error())
	}
	s, ok := v.Config().Service(p.Service)
	if !ok || s.Kind != service.KindOrder {
		return notRun("there is no order service " + p.Service)
	}
	e := execution{Coordinator: c, shard: s.Current().ShardOf(p.Key), dispatchBy: dispatchBy, dispatchCtx: dispatchCtx}
	return e.send(ctx, order.Request{Reference: t.Reference(), Service: p.Service, Key: p.Key, Body: p.Body})
}

// execution holds the state of one order while it is dispatched.
type execution struct {
	*Coordinator
	shard       shard.Shard
	dispatchBy  time.Time
	dispatchCtx context.Context // ends at dispatchBy
	attempted   []string
}

func (e *execution) send(ctx context.Context, req order.Request) outcome.Outcome {
	reason := "no upstream may take the order"
	for n := range maxAttempts {
		upstream, err := e.choose()
		if err != nil {
			return notRun(err.Error())
		}
		remaining := time.Until(e.dispatchBy)
		if remaining <= 0 {
			return notRun("the order could not be dispatched in time: " + reason)
		}
		if upstream == "" {
			continue
		}
		req.RequestID = fmt.Sprintf("%s/%d", req.Reference, n)
		reply, err := e.sender.Order(ctx, upstream, req.WithStartTimeout(remaining))
		if err == nil {
			return outcome.Outcome{State: outcome.Done, OrderID: reply.OrderID}
		}
		if !isNotRun(err) {
			return outcome.Outcome{State: outcome.Unknown, Reason: err.Error()}
		}
		reason = err.Error()
		e.attempted = append(e.attempted, upstream)
	}
	return notRun(reason)
}

// choose returns the name of an upstream according to a fresh view. If none but those already attempted may take the
// order, it waits for retryDelay, clears the list of attempted upstreams and returns an empty name.
func (e *execution) choose() (string, error) {
	if _, err := e.viewer.Fresh(e.dispatchCtx); err != nil {
		return "", err
	}
	upstream, ok := e.sender.Choose(e.shard, e.attempted)
	if !ok {
		e.attempted = nil
		pause.For(e.dispatchCtx, retryDelay)
		return "", nil
	}
	return upstream, nil
}

func notRun(reason string) outcome.Outcome {
	return outcome.Outcome{State: outcome.NotRun, Reason: reason}
}

func isNotRun(err error) bool {
	var f *failure.Failure
	return errors.As(err, &f) && f.NotRun
}
