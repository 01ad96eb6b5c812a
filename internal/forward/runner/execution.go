package runner

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"crocuswing/internal/forward/merge"
	"crocuswing/internal/forward/reply"
	"crocuswing/internal/forward/request"
	"crocuswing/internal/forward/timing"
	"crocuswing/internal/routing/route"
)

// park is how long a leg waits for an upstream that may take it, a fraction of a service time.
const park = 10 * time.Millisecond

// execution is one request. Only the goroutine of its caller changes it.
type execution struct {
	*Runner
	request request.Request
	route   *route.Route
	pace    timing.Plan

	legs    []*leg
	least   int // legs without which the request has failed
	done    int // legs that have their answer
	failed  int // legs that have failed for good
	results chan result
	ended   chan struct{} // closed when nobody takes results any more
}

func newExecution(r *Runner, q request.Request, on *route.Route) *execution {
	x := &execution{Runner: r, request: q, route: on, pace: r.pacer.Plan(q, on)}
	services, least := on.Shards, on.LeastParts()
	if !on.IsGather() {
		services, least = []string{r.splitter.Next(on)}, 1
	}
	x.least = least
	x.legs = make([]*leg, len(services))
	for i, s := range services {
		x.legs[i] = &leg{execution: x, index: i, cluster: r.clusters.Cluster(s)}
	}
	x.results = make(chan result, len(services))
	x.ended = make(chan struct{})
	return x
}

func (x *execution) run(ctx context.Context) reply.Reply {
	now := time.Now()
	if !now.Before(x.pace.ReplyDeadline) {
		return refuse("no time is left")
	}
	if able := x.able(); able < x.least {
		return refuse(fmt.Sprintf("%d of %d services have an upstream that may take work", able, len(x.legs)))
	}
	if !x.ceiling.Acquire(len(x.legs), x.route.Rank) {
		return refuse("this instance has begun as much as it may")
	}
	defer x.ceiling.Release(len(x.legs))
	defer x.end()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for _, l := range x.legs {
		l.cluster.AddRequest()
		l.step(now)
	}
	for {
		now = time.Now()
		if a, ok := x.answer(now); ok {
			return a
		}
		timer.Reset(x.wake(now))
		select {
		case res := <-x.results:
			x.take(res)
		case <-timer.C:
			x.takeAll()
			x.stepAll(time.Now())
		case <-ctx.Done():
			x.abandon()
			return reply.Failed(http.StatusBadGateway, "the caller has left")
		}
	}
}

// end withdraws what runs on slow upstreams: it costs them more than a new connection, and nobody needs it any more.
func (x *execution) end() {
	close(x.ended)
	now := time.Now()
	for _, l := range x.legs {
		l.withdrawSlow(now)
	}
}

// able is the number of legs that can begin. Requests that would wait for cold upstreams are refused: they would take from each other
// what few of them can have whole.
func (x *execution) able() int {
	able := 0
	for _, l := range x.legs {
		if l.cluster.CanServeNow(x.route) {
			able++
		}
	}
	return able
}

// answer gives the answer if it has to go out now.
func (x *execution) answer(now time.Time) (reply.Reply, bool) {
	switch {
	case x.done == len(x.legs), x.done >= x.least && x.done+x.failed == len(x.legs):
		return x.success(), true
	case x.done >= x.least && !now.Before(x.pace.Objective):
		return x.success(), true
	case len(x.legs)-x.failed < x.least:
		return x.failure(http.StatusBadGateway, "too many services have failed"), true
	case !now.Before(x.pace.ReplyDeadline):
		return x.failure(http.StatusGatewayTimeout, "the time is over"), true
	}
	return reply.Reply{}, false
}

// wake is the time until a leg is due or the answer has to go out.
func (x *execution) wake(now time.Time) time.Duration {
	next := x.pace.ReplyDeadline
	if x.route.IsGather() && now.Before(x.pace.Objective) {
		next = x.pace.Objective
	}
	for _, l := range x.legs {
		if !l.due.IsZero() && l.due.Before(next) {
			next = l.due
		}
	}
	return max(0, next.Sub(now))
}

func (x *execution) takeAll() {
	for {
		select {
		case res := <-x.results:
			x.take(res)
		default:
			return
		}
	}
}

func (x *execution) take(res result) {
	x.legs[res.leg].take(res, time.Now())
}

func (x *execution) stepAll(now time.Time) {
	for _, l := range x.legs {
		if !l.due.IsZero() && !now.Before(l.due) {
			l.step(now)
		}
	}
}

// abandon withdraws all attempts, since nobody waits for their answers.
func (x *execution) abandon() {
	for _, l := range x.legs {
		l.withdraw()
	}
}

func (x *execution) success() reply.Reply {
	if !x.route.IsGather() {
		in := x.legs[0].answer
		return reply.Reply{Status: in.Status, Header: in.Header, Body: in.Body}
	}
	m := merge.New(x.route.TopK)
	a := reply.Reply{Status: http.StatusOK}
	for _, l := range x.legs {
		if !l.isDone {
			a.Missing++
			continue
		}
		a.Proofs = append(a.Proofs, l.proof)
		m.Add(l.answer.Body)
	}
	a.Body = m.Bytes()
	return a
}

// failure is an upstream's own failure if there is one, else a refusal if nothing can have run, else status.
func (x *execution) failure(status int, reason string) reply.Reply {
	mayHaveRun := false
	for _, l := range x.legs {
		if l.failure != nil && !x.route.IsGather() {
			return reply.Reply{Status: l.failure.Status, Header: l.failure.Header, Body: l.failure.Body}
		}
		mayHaveRun = l.withdraw() || mayHaveRun
	}
	if !mayHaveRun {
		return refuse(reason)
	}
	return reply.Failed(status, reason)
}

// describe names the attempts that were not plainly answered.
func (x *execution) describe() string {
	var b strings.Builder
	for _, l := range x.legs {
		l.describe(&b)
	}
	return b.String()
}
