package timing

import (
	"testing"
	"time"

	"crocuswing/internal/forward/request"
	"crocuswing/internal/query/balancer"
	"crocuswing/internal/routing/route"

	"github.com/stretchr/testify/require"
)

var search = route.Route{Name: "search", Timeout: time.Second, Objective: 100 * time.Millisecond}

func newRequest(timeout time.Duration) request.Request {
	return request.Request{Arrived: time.Unix(1000, 0), Timeout: timeout}
}

// TestObjective checks that the objective counts from the time at which the caller first sent the request, as far as the
// stated timeout shows when that was.
func TestObjective(t *testing.T) {
	for _, c := range []struct {
		name    string
		timeout time.Duration
		want    time.Duration
	}{
		{"first attempt", 600 * time.Millisecond, 95 * time.Millisecond},
		{"no timeout stated", 0, 95 * time.Millisecond},
		{"some spent", 560 * time.Millisecond, 55 * time.Millisecond},
		{"all spent, so that a complete answer is worth more", 450 * time.Millisecond, 95 * time.Millisecond},
		{"a caller with little time", 200 * time.Millisecond, 95 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := New()
			p.Plan(newRequest(600*time.Millisecond), &search)
			q := newRequest(c.timeout)
			require.Equal(t, c.want, p.Plan(q, &search).Objective.Sub(q.Arrived))
		})
	}
}

// TestDeadlines checks that the deadline follows the shorter of the caller's and the route's timeout, and the reply deadline
// precedes it.
func TestDeadlines(t *testing.T) {
	for _, c := range []struct{ callerTimeout, routeTimeout, want time.Duration }{
		{600 * time.Millisecond, time.Second, 600 * time.Millisecond},
		{2 * time.Second, time.Second, time.Second},
		{0, time.Second, time.Second},
		{600 * time.Millisecond, 0, 600 * time.Millisecond},
		{0, 0, defaultTimeout},
	} {
		r := search
		r.Timeout = c.routeTimeout
		q := newRequest(c.callerTimeout)
		plan := New().Plan(q, &r)
		require.Equal(t, c.want, plan.Deadline.Sub(q.Arrived))
		require.Less(t, plan.ReplyDeadline, plan.Deadline.Add(1))
		require.LessOrEqual(t, plan.Deadline.Sub(plan.ReplyDeadline), replyMargin)
	}
}

// TestHedgeDelays checks that the delays follow the latencies at each distance within their bounds, also if a fifth of the
// attempts is slow.
func TestHedgeDelays(t *testing.T) {
	p := New()
	for n := range 1000 {
		took := 20 * time.Millisecond
		if n%5 == 0 {
			took = 200 * time.Millisecond
		}
		p.RecordLatency(search.Name, balancer.SameDomain, took+time.Duration(n%7)*time.Millisecond)
		p.RecordLatency(search.Name, balancer.OtherRegion, 70*time.Millisecond)
	}
	plan := p.Plan(newRequest(600*time.Millisecond), &search)
	require.Less(t, plan.HedgeDelay(balancer.SameDomain), 40*time.Millisecond)
	require.Greater(t, plan.HedgeDelay(balancer.SameDomain), 26*time.Millisecond)
	require.Equal(t, 40*time.Millisecond, plan.HedgeDelay(balancer.OtherRegion), "at most a share of the objective")
	require.Equal(t, 25*time.Millisecond, plan.HedgeDelay(balancer.SameRegion), "no latency is known")
	require.InDelta(t, 50, plan.ExtraLatency[balancer.OtherRegion].Milliseconds(), 1)
}

// TestWithEnd checks that an end shortens the times of a plan and never extends them.
func TestWithEnd(t *testing.T) {
	q := newRequest(600 * time.Millisecond)
	plan := New().Plan(q, &search)
	require.Equal(t, plan, plan.WithEnd(plan.Deadline))
	end := q.Arrived.Add(300 * time.Millisecond)
	cut := plan.WithEnd(end)
	require.Equal(t, plan.Objective, cut.Objective)
	require.Equal(t, end, cut.ReplyDeadline)
	require.Equal(t, end.Add(replyMargin), cut.Deadline)
}

// TestDistantCallers guards against replies that leave at the objective and reach distant callers after it: the margin covers the round trip,
// which is known from the timeouts of callers that opened a connection, and is not lengthened by callers that repeat a request.
func TestDistantCallers(t *testing.T) {
	const roundTrip = 8 * time.Millisecond
	for _, c := range []struct {
		name  string
		lacks []time.Duration // what the timeouts lack of the full one
		want  time.Duration   // margin
	}{
		{"no caller yet", nil, replyMargin},
		{"connections are reused", []time.Duration{0, 0, 0}, replyMargin},
		{"near", []time.Duration{0, 2 * time.Millisecond}, replyMargin},
		{"distant", []time.Duration{0, roundTrip, 0, roundTrip}, roundTrip + processingMargin},
		{"never the full timeout", []time.Duration{roundTrip, roundTrip}, roundTrip + processingMargin},
		{"repeated requests", []time.Duration{0, roundTrip, 80 * time.Millisecond, 500 * time.Millisecond}, roundTrip + processingMargin},
		{"calls between instances", []time.Duration{0, roundTrip, 200 * time.Microsecond, 300 * time.Microsecond}, roundTrip + processingMargin},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, rt := New(), &route.Route{Name: "r", Objective: 150 * time.Millisecond, Timeout: 1500 * time.Millisecond}
			for _, lack := range c.lacks {
				p.Plan(request.Request{Arrived: time.Now(), Timeout: rt.Timeout - lack}, rt)
			}
			now := time.Now()
			plan := p.Plan(request.Request{Arrived: now, Timeout: rt.Timeout}, rt)
			require.Equal(t, rt.Objective-c.want, plan.Objective.Sub(now))
			require.Equal(t, rt.Timeout-c.want, plan.ReplyDeadline.Sub(now))
		})
	}
}
