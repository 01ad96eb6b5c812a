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

func at(left time.Duration) request.Request {
	return request.Request{Arrived: time.Unix(1000, 0), Timeout: left}
}

// TestObjective counts from the caller's first attempt, as far as its time tells.
func TestObjective(t *testing.T) {
	for _, c := range []struct {
		name string
		left time.Duration
		want time.Duration
	}{
		{"first attempt", 600 * time.Millisecond, 95 * time.Millisecond},
		{"no time stated", 0, 95 * time.Millisecond},
		{"some spent", 560 * time.Millisecond, 55 * time.Millisecond},
		{"all spent, so that a whole answer is worth more", 450 * time.Millisecond, 95 * time.Millisecond},
		{"a caller with little time", 200 * time.Millisecond, 95 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := New()
			p.Plan(at(600*time.Millisecond), &search)
			q := at(c.left)
			require.Equal(t, c.want, p.Plan(q, &search).Objective.Sub(q.Arrived))
		})
	}
}

// TestEnd is the earliest of the caller's and the operators' time.
func TestEnd(t *testing.T) {
	for _, c := range []struct{ left, timeout, want time.Duration }{
		{600 * time.Millisecond, time.Second, 600 * time.Millisecond},
		{2 * time.Second, time.Second, time.Second},
		{0, time.Second, time.Second},
		{600 * time.Millisecond, 0, 600 * time.Millisecond},
		{0, 0, defaultTimeout},
	} {
		r := search
		r.Timeout = c.timeout
		q := at(c.left)
		pace := New().Plan(q, &r)
		require.Equal(t, c.want, pace.Deadline.Sub(q.Arrived))
		require.Less(t, pace.ReplyDeadline, pace.Deadline.Add(1))
		require.LessOrEqual(t, pace.Deadline.Sub(pace.ReplyDeadline), wayBack)
	}
}

// TestHedges follows the times at each distance and stays within its bounds, also where a fifth of the attempts is slow.
func TestHedges(t *testing.T) {
	p := New()
	for n := range 1000 {
		took := 20 * time.Millisecond
		if n%5 == 0 {
			took = 200 * time.Millisecond
		}
		p.RecordLatency(search.Name, balancer.SameDomain, took+time.Duration(n%7)*time.Millisecond)
		p.RecordLatency(search.Name, balancer.OtherRegion, 70*time.Millisecond)
	}
	pace := p.Plan(at(600*time.Millisecond), &search)
	require.Less(t, pace.HedgeDelay(balancer.SameDomain), 40*time.Millisecond)
	require.Greater(t, pace.HedgeDelay(balancer.SameDomain), 26*time.Millisecond)
	require.Equal(t, 40*time.Millisecond, pace.HedgeDelay(balancer.OtherRegion), "at most a share of the objective")
	require.Equal(t, 25*time.Millisecond, pace.HedgeDelay(balancer.SameRegion), "nothing is known")
	require.InDelta(t, 50, pace.ExtraLatency[balancer.OtherRegion].Milliseconds(), 1)
}
