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
	// maxAttempts bounds the tries of one order; all but the last are proven not to have run.
	maxAttempts  = 4
	attemptPause = 50 * time.Millisecond
	maxForwards  = 3
	forwardPause = 20 * time.Millisecond // doubles with each try
	// startShare is the part of the time left in which the order has to be dispatched.
	startShare = 0.75
	// maxStart is the time to dispatch an order whose caller states no deadline.
	maxStart = 10 * time.Second
	// lateAnswer is the time after that for which the answer is awaited, whether or not the caller waits.
	lateAnswer = 20 * time.Second
)

// startBy gives the time by which an order has to be dispatched: it leaves a part of the caller's
// time for the answer.
func startBy(ctx context.Context, now time.Time) time.Time {
	deadline, ok := ctx.Deadline()
	if !ok {
		return now.Add(maxStart)
	}
	left := time.Duration(startShare * float64(deadline.Sub(now)))
	return now.Add(min(left, maxStart))
}

// run sends the order until one attempt may have reached an upstream. Attempts begin before start only;
// the answer is awaited for lateAnswer longer.
func (d *Coordinator) run(ctx context.Context, start time.Time, t ticket.Ticket, p Placement) outcome.Outcome {
	ctx, cancel := context.WithDeadline(ctx, start.Add(lateAnswer))
	defer cancel()
	begin, stop := context.WithDeadline(ctx, start)
	defer stop()
	v, err := d.viewer.Fresh(begin)
	if err != nil {
		return notRun(err.Error())
	}
	s, ok := v.Config().Service(p.Service)
	if !ok || s.Kind != service.KindOrder {
		return notRun("there is no order service " + p.Service)
	}
	x := execution{Coordinator: d, shard: s.Current().ShardOf(p.Key), start: start, begin: begin}
	return x.send(ctx, order.Request{Reference: t.Reference(), Service: p.Service, Key: p.Key, Body: p.Body})
}

// execution is the run of one order.
type execution struct {
	*Coordinator
	shard shard.Shard
	start time.Time
	begin context.Context // ends at start
	tried []string
}

func (x *execution) send(ctx context.Context, q order.Request) outcome.Outcome {
	reason := "no upstream may take the order"
	for n := range maxAttempts {
		upstream, err := x.choose()
		if err != nil {
			return notRun(err.Error())
		}
		left := time.Until(x.start)
		if left <= 0 {
			return notRun("the order could not be dispatched in time: " + reason)
		}
		if upstream == "" {
			continue
		}
		q.RequestID = fmt.Sprintf("%s/%d", q.Reference, n)
		reply, err := x.sender.Order(ctx, upstream, q.WithStartWithin(left))
		if err == nil {
			return outcome.Outcome{State: outcome.Done, OrderID: reply.OrderID}
		}
		if !isNotRun(err) {
			return outcome.Outcome{State: outcome.Unknown, Reason: err.Error()}
		}
		reason = err.Error()
		x.tried = append(x.tried, upstream)
	}
	return notRun(reason)
}

// choose picks an upstream on a fresh view. If each was tried it pauses, and gives none for once.
func (x *execution) choose() (string, error) {
	if _, err := x.viewer.Fresh(x.begin); err != nil {
		return "", err
	}
	upstream, ok := x.sender.Choose(x.shard, x.tried)
	if !ok {
		x.tried = nil
		pause.For(x.begin, attemptPause)
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
