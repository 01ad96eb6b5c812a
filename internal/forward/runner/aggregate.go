package runner

import (
	"context"
	"fmt"
	"slices"
	"time"

	"crocuswing/internal/forward/aggregator"
	"crocuswing/internal/forward/merge"
	"crocuswing/internal/forward/request"
	"crocuswing/internal/query/balancer"
	"crocuswing/internal/routing/route"

	"go.uber.org/zap"
)

// RefusedError is the reason why this instance gathers no parts for another one. Nothing was sent to an upstream.
type RefusedError struct{ Reason string }

// Error returns the reason.
func (e *RefusedError) Error() string { return e.Reason }

// aggregate gathers the parts of some shards of a request for another instance. It asks no other instance.
//
// For an instance of another region it sends attempts to upstreams of its own region only and does not hedge: its first reply is due when
// each part has arrived, has failed or is late, and the instance that asked sends the hedges.
//
// For an instance of its own region it sends one attempt for each shard, to upstreams of any region. Its first reply is due when each part
// has arrived, has failed or needs another attempt, at the latest after the hedge delay. After the grant it hedges and retries as for its
// own callers. In both cases the late attempts continue, and later replies hold their parts.
type aggregate struct {
	*execution
	key      aggregateKey
	first    chan aggregator.Reply
	ended    chan struct{} // closed when no call for late parts is accepted any more
	cancel   context.CancelFunc
	firstDue time.Time // when the first reply is due although parts are late
	call     *restCall // the call for late parts that waits for its reply; nil if there is none
	// abandonAt is when the aggregate ends unless there is a call. It is set while there is none.
	abandonAt time.Time
}

// aggregateKey identifies an aggregate. The identifier of the request does not suffice, since callers choose it.
type aggregateKey struct {
	id   string
	call uint64
}

// restCall is a call for the late parts of an aggregate.
type restCall struct {
	isGrant bool
	due     time.Time // when the reply is due with what has arrived; zero if only when no part is late
	reply   chan aggregator.Reply
}

const (
	// restCallTimeout is the time within which the call for the late parts has to arrive. Without one, the caller has left or has its answer.
	restCallTimeout = 200 * time.Millisecond
	// maxFirstShare limits the time until the first reply to an instance of the same region to this share of the objective: below the half
	// after which that instance falls back. An early reply costs nothing, since late parts continue.
	maxFirstShare = 0.3
)

// Aggregate gathers parts and returns those that have arrived before the others are late. It fails with *RefusedError.
func (r *Runner) Aggregate(ctx context.Context, q aggregator.Request) (aggregator.Reply, error) {
	e, err := r.newAggregate(q)
	if err != nil {
		return aggregator.Reply{}, err
	}
	if e.isNear {
		if n, wait := e.available(e.request.Arrived); n < e.required {
			return aggregator.Reply{RetryAfterUS: max(1, wait.Microseconds())}, nil
		}
	}
	if !e.limiter.Acquire(len(e.subrequests), e.route.Rank) {
		return aggregator.Reply{}, &RefusedError{Reason: "this instance has begun as much as it may"}
	}
	r.countAggregate("served", e.isNear)
	runCtx, cancel := context.WithDeadline(context.Background(), e.plan.Deadline)
	a := &aggregate{execution: e, key: aggregateKey{id: q.ID, call: q.Call}, first: make(chan aggregator.Reply, 1), ended: make(chan struct{}), cancel: cancel}
	a.firstDue = e.request.Arrived.Add(a.firstDelay())
	r.aggregates.Store(a.key, a)
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

// firstDelay returns the time after which the first reply is due although parts are late.
func (a *aggregate) firstDelay() time.Duration {
	d := max(a.plan.HedgeDelay(balancer.SameDomain), a.plan.HedgeDelay(balancer.SameRegion))
	if a.isNear {
		d = min(d, time.Duration(maxFirstShare*float64(a.route.Objective)))
	}
	return d
}

// AggregateRest returns the parts that were late in the reply to Aggregate, when they have arrived or have failed, or when q says that the
// reply is due. It fails with *RefusedError if the grant, if any, was not accepted.
func (r *Runner) AggregateRest(ctx context.Context, q aggregator.RestRequest) (aggregator.Reply, error) {
	found, ok := r.aggregates.Load(aggregateKey{id: q.ID, call: q.Call})
	if !ok {
		return aggregator.Reply{}, &RefusedError{Reason: "no parts of this request are late here"}
	}
	a := found.(*aggregate)
	call := &restCall{isGrant: q.Grant, reply: make(chan aggregator.Reply, 1)}
	if q.DueUS > 0 {
		call.due = time.Now().Add(time.Duration(min(q.DueUS, maxDue.Microseconds())) * time.Microsecond)
	}
	select {
	case a.commands <- func(now time.Time) { a.accept(call, now) }:
	case <-a.ended:
		return aggregator.Reply{}, &RefusedError{Reason: "the late parts have ended"}
	}
	select {
	case rep := <-call.reply:
		return rep, nil
	case <-ctx.Done():
		a.cancel()
		return <-call.reply, nil // an error would state that the grant was not accepted
	}
}

// maxDue bounds the time of a call for late parts, so that it does not overflow; the deadline of the request is earlier.
const maxDue = time.Hour

// run gathers the parts and sends the replies.
func (a *aggregate) run(ctx context.Context) {
	defer a.limiter.Release(len(a.subrequests))
	defer a.end()
	now := time.Now()
	if a.isNear {
		for _, s := range a.subrequests {
			s.cluster.AddRequest()
		}
	}
	a.begin(now)
	a.wakeAt = a.firstDue
	isRunning := a.loop(ctx, a.isFirstDue)
	first := a.reply()
	first.EarlyUS = max(0, time.Until(a.firstDue).Microseconds())
	first.TookUS = time.Since(a.request.Arrived).Microseconds()
	a.log.Info("aggregate", zap.String("request-id", a.request.ID), zap.String("route", a.route.Name), zap.Int64("revision", a.revision),
		zap.Int("shards", len(a.subrequests)), zap.Int("answered", first.Answered.Len()), zap.Int("late", first.Late.Len()),
		zap.Duration("took", time.Since(a.request.Arrived)), zap.String("attempts", a.describe()))
	a.first <- first
	if !isRunning || first.Late.Len() == 0 {
		return
	}
	a.abandonAt = time.Now().Add(restCallTimeout)
	a.loop(ctx, a.isOver)
}

// end refuses further calls for late parts and replies to the one that waits.
func (a *aggregate) end() {
	a.aggregates.CompareAndDelete(a.key, a)
	close(a.ended)
	a.close()
	if a.call != nil {
		a.answerCall(time.Now())
	}
}

// isFirstDue reports whether the first reply is due.
func (a *aggregate) isFirstDue(now time.Time) bool {
	isLate := !now.Before(a.firstDue)
	if isLate {
		a.wakeAt = time.Time{}
	}
	for _, s := range a.subrequests {
		isDone := s.isAnswered || s.hasFailed
		if a.isNear {
			isDone = isDone || s.needsGrant || isLate
		} else {
			isDone = isDone || (isLate && s.countSent() > 0)
		}
		if !isDone {
			return false
		}
	}
	return true
}

// isOver replies to the call for late parts if it is due, and reports whether the aggregate ends: no part is late, or no call arrives.
func (a *aggregate) isOver(now time.Time) bool {
	isSettled := a.isSettled()
	if a.call != nil && (isSettled || (a.call.isDue(now) && a.hasNews())) {
		a.answerCall(now)
		if isSettled {
			return true
		}
	}
	switch {
	case a.call == nil && !now.Before(a.abandonAt):
		a.cancelAll()
		return true
	case a.call == nil:
		a.wakeAt = a.abandonAt
	case a.call.isDue(now):
		a.wakeAt = time.Time{} // the next part that arrives is the reply
	default:
		a.wakeAt = a.call.due
	}
	return false
}

// isDue reports whether the reply is due with what has arrived.
func (c *restCall) isDue(now time.Time) bool { return !c.due.IsZero() && !now.Before(c.due) }

// accept makes a call the one that waits for late parts, and uses its grant.
func (a *aggregate) accept(c *restCall, now time.Time) {
	if a.call != nil {
		a.answerCall(now)
	}
	a.call = c
	if c.isGrant && a.isNear && !a.isGranted {
		a.isGranted = true
		for _, s := range a.subrequests {
			s.useGrant(now)
		}
	}
}

// answerCall replies to the call that waits.
func (a *aggregate) answerCall(now time.Time) {
	a.call.reply <- a.reply()
	a.call, a.abandonAt = nil, now.Add(restCallTimeout)
}

// isSettled reports whether each part has arrived or has failed, as far as the attempts permitted so far go.
func (a *aggregate) isSettled() bool {
	for _, s := range a.subrequests {
		if !s.isAnswered && !s.hasFailed && (!s.needsGrant || s.newestInFlight() != nil) {
			return false
		}
	}
	return true
}

// hasNews reports whether a part has arrived since the last reply.
func (a *aggregate) hasNews() bool {
	for _, s := range a.subrequests {
		if s.isAnswered && !s.isReported {
			return true
		}
	}
	return false
}

// mayGather reports whether this instance may gather parts of requests of the route for others.
func (r *Runner) mayGather(rt *route.Route) bool {
	return rt.IsGather() && rt.Allows(r.region) && rt.MaxAttempts >= 2
}

// gatheredRoute returns the route of the request, as it applies to its workspace, if this instance may gather parts of it.
func (r *Runner) gatheredRoute(q aggregator.Request) (*route.Route, error) {
	table := r.viewer.View().Table
	if table == nil || table.Revision() != q.Revision {
		return nil, &RefusedError{Reason: fmt.Sprintf("revision %d is not in force here", q.Revision)}
	}
	rt, ok := table.Lookup(q.Host, q.Path)
	if ok {
		rt, ok = table.Restrict(rt, q.Workspace)
	}
	if !ok || !r.mayGather(rt) || q.Shards.Len() == 0 || q.TimeLeftUS <= 0 {
		return nil, &RefusedError{Reason: "no parts of this request may be gathered here"}
	}
	return rt, nil
}

// newAggregate returns the execution of the subrequests that q asks for.
func (r *Runner) newAggregate(q aggregator.Request) (*execution, error) {
	if r.end.Load() != nil {
		return nil, &RefusedError{Reason: "this instance stops"}
	}
	rt, err := r.gatheredRoute(q)
	if err != nil {
		return nil, err
	}
	req := request.Request{
		ID: q.ID, Method: q.Method, Target: q.Target, Path: q.Path, Host: q.Host, Header: q.Header, Workspace: q.Workspace, Body: q.Body,
		Arrived: time.Now(), Timeout: time.Duration(q.TimeLeftUS) * time.Microsecond,
	}
	e := newExecution(r, req, rt, q.Revision)
	e.isAggregate, e.isNear = true, q.Near
	if q.ObjectiveUS > 0 && q.ObjectiveUS < q.TimeLeftUS {
		e.plan.Objective = req.Arrived.Add(time.Duration(q.ObjectiveUS) * time.Microsecond)
	}
	e.commands = make(chan func(time.Time))
	if !e.keepShards(q.Shards) {
		return nil, &RefusedError{Reason: fmt.Sprintf("the route has %d shards here", len(rt.Shards))}
	}
	return e, nil
}

// keepShards removes the subrequests of all other shards, and reports whether the route has all of the given ones.
func (e *execution) keepShards(shards aggregator.Set) bool {
	former := len(e.subrequests)
	e.subrequests = slices.DeleteFunc(e.subrequests, func(s *subrequest) bool { return !shards.Has(s.index) })
	e.required = max(0, e.required-(former-len(e.subrequests)))
	return len(e.subrequests) == shards.Len()
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
		case s.countSent() > 0 || (a.isNear && !s.hasFailed): // the latter may yet be sent
			r.Sent = r.Sent.With(s.index)
			if !s.hasFailed {
				r.Late = r.Late.With(s.index)
			}
		}
	}
	r.Records = m.Bytes()
	return r
}
