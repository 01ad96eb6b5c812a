package runner

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"crocuswing/internal/forward/aggregator"
	"crocuswing/internal/forward/merge"
	"crocuswing/internal/forward/request"
	"crocuswing/internal/query/balancer"

	"go.uber.org/zap"
)

// RefusedError is the reason why this instance gathers no parts for another one. Nothing was sent to an upstream.
type RefusedError struct{ Reason string }

// Error returns the reason.
func (e *RefusedError) Error() string { return e.Reason }

// aggregate gathers the parts of some shards of a request for an instance of another region.
//
// It sends attempts to upstreams of its own region only and asks no other instance. It does not hedge: its first reply is due when each
// part has arrived, has failed or is late, and the instance that asked sends the hedges. The late attempts continue, and a second reply
// holds their parts.
type aggregate struct {
	*execution
	first, rest chan aggregator.Reply
	cancel      context.CancelFunc
	firstDue    time.Time   // when parts that have not arrived are late
	isAwaited   atomic.Bool // the call for the late parts has arrived
}

// restCallTimeout is the time within which the call for the late parts has to arrive. Without one, the caller has left or has its answer.
const restCallTimeout = 200 * time.Millisecond

// Aggregate gathers parts and returns those that have arrived before the others are late. It fails with *RefusedError.
func (r *Runner) Aggregate(ctx context.Context, q aggregator.Request) (aggregator.Reply, error) {
	e, err := r.newAggregate(q)
	if err != nil {
		return aggregator.Reply{}, err
	}
	if !e.limiter.Acquire(len(e.subrequests), e.route.Rank) {
		return aggregator.Reply{}, &RefusedError{Reason: "this instance has begun as much as it may"}
	}
	r.meter.Count("crocuswing_aggregates_served_total")
	runCtx, cancel := context.WithDeadline(context.Background(), e.plan.Deadline)
	a := &aggregate{
		execution: e, first: make(chan aggregator.Reply, 1), rest: make(chan aggregator.Reply), cancel: cancel,
		firstDue: e.request.Arrived.Add(max(e.plan.HedgeDelay(balancer.SameDomain), e.plan.HedgeDelay(balancer.SameRegion))),
	}
	r.aggregates.Store(q.ID, a)
	r.inFlight.Go(func() {
		defer cancel()
		a.run(runCtx)
	})
	select {
	case rep := <-a.first:
		return rep, nil
	case <-ctx.Done():
		cancel()
		return <-a.first, nil // an error would state that nothing was sent
	}
}

// AggregateRest returns the parts that were late in the reply to Aggregate, when they have arrived or have failed. It fails with
// *RefusedError.
func (r *Runner) AggregateRest(ctx context.Context, q aggregator.RestRequest) (aggregator.Reply, error) {
	found, ok := r.aggregates.Load(q.ID)
	if !ok {
		return aggregator.Reply{}, &RefusedError{Reason: "no parts of this request are late here"}
	}
	a := found.(*aggregate)
	a.isAwaited.Store(true)
	select {
	case rep, ok := <-a.rest:
		if !ok {
			return aggregator.Reply{}, &RefusedError{Reason: "the late parts have ended"}
		}
		return rep, nil
	case <-ctx.Done():
		a.cancel()
		return aggregator.Reply{}, ctx.Err()
	}
}

// run gathers the parts and sends the replies.
func (a *aggregate) run(ctx context.Context) {
	defer a.limiter.Release(len(a.subrequests))
	defer a.close()
	defer close(a.rest)
	defer a.aggregates.CompareAndDelete(a.request.ID, a)
	a.begin(time.Now())
	a.wakeAt = a.firstDue
	isRunning := a.loop(ctx, func(now time.Time) bool { return a.isSettled(!now.Before(a.firstDue)) })
	a.wakeAt = time.Time{}
	first := a.reply()
	a.log.Info("aggregate", zap.String("request-id", a.request.ID), zap.String("route", a.route.Name), zap.Int64("revision", a.revision),
		zap.Int("shards", len(a.subrequests)), zap.Int("answered", first.Answered.Len()), zap.Int("late", first.Late.Len()),
		zap.Duration("took", time.Since(a.request.Arrived)), zap.String("attempts", a.describe()))
	a.first <- first
	if !isRunning || first.Late.Len() == 0 {
		return
	}
	timer := time.AfterFunc(restCallTimeout, func() {
		if !a.isAwaited.Load() {
			a.cancel()
		}
	})
	defer timer.Stop()
	a.loop(ctx, func(time.Time) bool { return a.isSettled(false) })
	select {
	case a.rest <- a.reply():
	case <-ctx.Done():
	}
}

// newAggregate returns the execution of the subrequests that q asks for.
func (r *Runner) newAggregate(q aggregator.Request) (*execution, error) {
	table := r.viewer.View().Table
	if table == nil || table.Revision() != q.Revision {
		return nil, &RefusedError{Reason: fmt.Sprintf("revision %d is not in force here", q.Revision)}
	}
	rt, ok := table.Lookup(q.Host, q.Path)
	if ok {
		rt, ok = table.Restrict(rt, q.Workspace)
	}
	if !ok || !rt.IsGather() || !rt.Allows(r.region) || rt.MaxAttempts < 2 || q.Shards.Len() == 0 || q.TimeLeftUS <= 0 {
		return nil, &RefusedError{Reason: "no parts of this request may be gathered here"}
	}
	req := request.Request{
		ID: q.ID, Method: q.Method, Target: q.Target, Path: q.Path, Host: q.Host, Header: q.Header, Workspace: q.Workspace, Body: q.Body,
		Arrived: time.Now(), Timeout: time.Duration(q.TimeLeftUS) * time.Microsecond,
	}
	e := newExecution(r, req, rt, q.Revision)
	e.isAggregate = true
	var asked []*subrequest
	for _, s := range e.subrequests {
		if q.Shards.Has(s.index) {
			asked = append(asked, s)
		}
	}
	if len(asked) != q.Shards.Len() {
		return nil, &RefusedError{Reason: fmt.Sprintf("the route has %d shards here", len(rt.Shards))}
	}
	e.subrequests = asked
	return e, nil
}

// isSettled reports whether each part has arrived or has failed. With orLate, parts for which an attempt was sent count as settled.
func (a *aggregate) isSettled(orLate bool) bool {
	for _, s := range a.subrequests {
		isDone := s.isAnswered || s.hasFailed || (orLate && s.countSent() > 0)
		if !isDone {
			return false
		}
	}
	return true
}

// reply merges the parts that have arrived since the last reply.
func (a *aggregate) reply() aggregator.Reply {
	m := merge.New(a.route.TopK)
	var r aggregator.Reply
	for _, s := range a.subrequests {
		switch {
		case s.isAnswered && !s.isReported:
			s.isReported = true
			r.Answered = r.Answered.With(s.index)
			r.Proofs = append(r.Proofs, s.proof)
			m.Add(s.response.Body)
		case s.isAnswered:
		case s.countSent() > 0:
			r.Sent = r.Sent.With(s.index)
			if !s.hasFailed {
				r.Late = r.Late.With(s.index)
			}
		}
	}
	r.Records = m.Bytes()
	return r
}
