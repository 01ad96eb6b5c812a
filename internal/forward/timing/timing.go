// Package timing computes when the attempts of a request are hedged and when its reply has to be sent.
//
// The runner asks for a plan before it sends the first attempt and reports the latency of every answered attempt.
//
// Hedging after a quantile of the recent latencies follows Dean and Barroso, "The tail at scale", Communications of the
// ACM 56(2), 2013.
package timing

import (
	"sync"
	"time"

	"crocuswing/internal/forward/request"
	"crocuswing/internal/query/balancer"
	"crocuswing/internal/routing/route"
	"crocuswing/internal/stats/window"
)

const (
	// replyMargin is the least time reserved for a reply to pass through this process and reach the caller.
	replyMargin = 5 * time.Millisecond
	// The hedge delay is the low quantile of the recent latencies, plus spreadFactor times the difference between it and the
	// median, plus jitterMargin. Unlike a high quantile, both quantiles remain accurate while some of the upstreams are slow.
	spreadFactor                = 3
	lowQuantile, medianQuantile = 0.05, 0.5
	jitterMargin                = 4 * time.Millisecond // scheduling jitter of a busy process
	minHedgeDelay               = 8 * time.Millisecond
	maxHedgeShare               = 0.4  // of the objective, so that more than half of it remains for the hedge
	defaultHedgeShare           = 0.25 // of the objective, while no latency is known
	// aggregateQuantile is the quantile of the latencies of aggregators after which one is late. It is high, since the fallback repeats
	// the attempts on all of its shards.
	aggregateQuantile = 0.99
	maxAggregateShare = 0.5 // of the objective, so that the fallback can still be answered in time
	// defaultTimeout bounds a request if neither its route nor its caller states a timeout.
	defaultTimeout = 30 * time.Second
)

// Planner keeps the recent latencies of the attempts of each route, by distance. It is safe for concurrent use.
type Planner struct {
	mu      sync.Mutex
	routes  map[string]*routeLatency
	callers callerPath
}

// routeLatency holds what was observed on the requests of one route.
type routeLatency struct {
	latencies  [balancer.OtherRegion + 1]window.Window
	aggregates window.Window // latencies of aggregators if parts are late
	maxTimeout time.Duration // longest that a caller has stated
}

// New returns a Planner without samples.
func New() *Planner { return &Planner{routes: make(map[string]*routeLatency)} }

// Plan holds the hedge delays and the time limits of one request.
type Plan struct {
	// HedgeDelays are the ages at which an attempt is hedged, by the distance of its replica.
	HedgeDelays [balancer.OtherRegion + 1]time.Duration
	// ExtraLatency is the difference between the low quantile of the latencies at each distance and that at the nearest
	// distance with samples.
	ExtraLatency [balancer.OtherRegion + 1]time.Duration
	// AggregateDelay is the age at which an aggregator is late and its shards fall back to attempts of this instance.
	AggregateDelay time.Duration
	// Objective is the time by which a reply has to be sent to meet the latency objective.
	Objective time.Time
	// ReplyDeadline is the time at which a request without an answer fails. It precedes Deadline, so that the failure
	// still reaches the caller.
	ReplyDeadline time.Time
	// Deadline is the end of the caller's timeout or of the route's, whichever is earlier. It is sent to upstreams.
	Deadline time.Time
}

// Plan returns the plan for one request. The objective counts from the time at which the caller first sent the request. A
// caller that repeats a request states only the timeout that remains, so the difference from the longest timeout that callers
// of the route have stated counts as spent. If the difference exceeds the objective, the objective has passed or the caller
// has a short timeout from the start. It then counts from the arrival, since a complete answer is worth more than an early one.
func (p *Planner) Plan(req request.Request, r *route.Route) Plan {
	l := p.route(r.Name)
	p.mu.Lock()
	l.maxTimeout = max(l.maxTimeout, req.Timeout)
	spent := time.Duration(0)
	if req.Timeout > 0 {
		spent = l.fullTimeout(r) - req.Timeout
	}
	p.callers.record(spent)
	margin := p.callers.margin()
	p.mu.Unlock()
	if spent >= r.Objective-margin {
		spent = 0
	}
	return l.plan(req, r, spent, margin)
}

// Peek returns the plan for a request whose caller states no timeout, like Plan but without recording the request.
func (p *Planner) Peek(req request.Request, r *route.Route) Plan {
	p.mu.Lock()
	l, margin := p.routes[r.Name], p.callers.margin()
	p.mu.Unlock()
	if l == nil {
		l = &routeLatency{}
	}
	return l.plan(req, r, 0, margin)
}

// plan returns the plan for a request of which the caller has already spent some time. The margin covers the way from and to the caller.
func (l *routeLatency) plan(req request.Request, r *route.Route, spent, margin time.Duration) Plan {
	timeout := defaultTimeout
	for _, d := range []time.Duration{req.Timeout, r.Timeout} {
		if d > 0 {
			timeout = min(timeout, d)
		}
	}
	deadline := req.Arrived.Add(timeout)
	plan := Plan{
		Objective:     req.Arrived.Add(r.Objective - spent - margin),
		ReplyDeadline: deadline.Add(-min(margin, timeout/4)),
		Deadline:      deadline,
	}
	plan.HedgeDelays, plan.ExtraLatency = l.hedgeDelays(r.Objective)
	plan.AggregateDelay = l.aggregateDelay(r.Objective)
	return plan
}

// HedgeDelay returns the age at which an attempt at a distance is hedged.
func (p Plan) HedgeDelay(d balancer.Distance) time.Duration { return p.HedgeDelays[d] }

// WithEnd returns the plan of the request if its reply has to be sent by end at the latest.
func (p Plan) WithEnd(end time.Time) Plan {
	p.Objective = earlier(p.Objective, end)
	p.ReplyDeadline = earlier(p.ReplyDeadline, end)
	p.Deadline = earlier(p.Deadline, end.Add(replyMargin))
	return p
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// RecordLatency records the latency of an answered attempt at a distance.
func (p *Planner) RecordLatency(route string, at balancer.Distance, d time.Duration) {
	p.route(route).latencies[at].Add(d)
}

// RecordAggregate records the latency of an answer of an aggregator, and the time by which it came earlier than with late parts. The sum
// is recorded: otherwise, while no part is late, an aggregator would soon count as silent as soon as one is.
func (p *Planner) RecordAggregate(route string, d, early time.Duration) {
	p.route(route).aggregates.Add(d + min(max(0, early), defaultTimeout))
}

func (p *Planner) route(name string) *routeLatency {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.routes[name]
	if l == nil {
		l = &routeLatency{}
		p.routes[name] = l
	}
	return l
}

// aggregateDelay returns the age at which an aggregator is late.
func (l *routeLatency) aggregateDelay(objective time.Duration) time.Duration {
	longest := time.Duration(maxAggregateShare * float64(objective))
	usual, known := l.aggregates.Quantile(aggregateQuantile)
	if !known {
		return longest
	}
	return min(usual+jitterMargin, longest)
}

// hedgeDelays returns the hedge delay and the extra latency at each distance, as in Plan.
func (l *routeLatency) hedgeDelays(objective time.Duration) (delays, extra [balancer.OtherRegion + 1]time.Duration) {
	nearestLow := time.Duration(-1)
	for d := range l.latencies {
		low, known := l.latencies[d].Quantile(lowQuantile)
		if !known {
			delays[d] = max(minHedgeDelay, time.Duration(defaultHedgeShare*float64(objective)))
			continue
		}
		median, _ := l.latencies[d].Quantile(medianQuantile)
		delay := low + spreadFactor*(median-low) + jitterMargin
		delays[d] = max(minHedgeDelay, min(delay, time.Duration(maxHedgeShare*float64(objective))))
		if nearestLow < 0 {
			nearestLow = low
		}
		extra[d] = max(0, low-nearestLow)
	}
	return delays, extra
}
