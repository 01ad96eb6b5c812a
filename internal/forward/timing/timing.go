// Package timing tells when a request's attempts are hedged and when its answer has to go out.
//
// Hedging after a quantile of the recent times is due to Dean and Barroso, "The tail at scale", Communications of the
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
	// wayBack is the time that an answer needs to a caller and through this process.
	wayBack = 5 * time.Millisecond
	// spread is the multiple of the distance between the low quantile and the median after which an attempt is late. Both
	// quantiles stay true while a part of the upstreams is slow, unlike a high one.
	spread       = 3
	low, middle  = 0.05, 0.5
	margin       = 4 * time.Millisecond // jitter of a busy process
	minHedge     = 8 * time.Millisecond
	hedgeShare   = 0.4 // of the objective; leaves more than half of it to the hedge
	unknownShare = 0.25
	// defaultTimeout bounds a request whose route and caller state no time.
	defaultTimeout = 30 * time.Second
)

// Planner remembers the times of the attempts of each route at each distance. It is safe for concurrent use.
type Planner struct {
	mu     sync.Mutex
	routes map[string]*history
}

type history struct {
	times   [balancer.OtherRegion + 1]window.Window
	longest time.Duration // that callers said they wait
}

// New makes a planner that knows nothing.
func New() *Planner { return &Planner{routes: make(map[string]*history)} }

// Plan is the plan for one request.
type Plan struct {
	// HedgeDelays are the ages after which an attempt at each distance is late.
	HedgeDelays [balancer.OtherRegion + 1]time.Duration
	// ExtraLatency are the shortest times at each distance beyond that of the nearest.
	ExtraLatency [balancer.OtherRegion + 1]time.Duration
	// Objective is the moment at which an answer still has its full value.
	Objective time.Time
	// ReplyDeadline is the moment at which the request has failed.
	ReplyDeadline time.Time
	// Deadline is when the caller or the operator no longer waits. Upstreams are told it.
	Deadline time.Time
}

// Plan paces one request. The objective counts from the caller's first attempt: what the caller's time lacks of the longest
// that callers of the route state was spent on earlier ones. If it has passed, or if the caller just has little time, a whole answer is
// worth more than an early one.
func (p *Planner) Plan(q request.Request, r *route.Route) Plan {
	h := p.history(r.Name)
	p.mu.Lock()
	h.longest = max(h.longest, q.Timeout)
	spent := time.Duration(0)
	if q.Timeout > 0 {
		spent = h.longest - q.Timeout
	}
	if spent >= r.Objective-wayBack {
		spent = 0
	}
	p.mu.Unlock()
	longest := defaultTimeout
	for _, d := range []time.Duration{q.Timeout, r.Timeout} {
		if d > 0 {
			longest = min(longest, d)
		}
	}
	deadline := q.Arrived.Add(longest)
	pace := Plan{
		Objective:     q.Arrived.Add(r.Objective - spent - wayBack),
		ReplyDeadline: deadline.Add(-min(wayBack, longest/4)),
		Deadline:      deadline,
	}
	pace.HedgeDelays, pace.ExtraLatency = h.hedges(r.Objective)
	return pace
}

// HedgeDelay is the age after which an attempt at a distance is late.
func (p Plan) HedgeDelay(d balancer.Distance) time.Duration { return p.HedgeDelays[d] }

// RecordLatency records the time of an answered attempt at a distance.
func (p *Planner) RecordLatency(route string, at balancer.Distance, d time.Duration) {
	p.history(route).times[at].Add(d)
}

func (p *Planner) history(route string) *history {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.routes[route]
	if h == nil {
		h = &history{}
		p.routes[route] = h
	}
	return h
}

// hedges gives the hedge time and the way at each distance.
func (h *history) hedges(objective time.Duration) (hedges, ways [balancer.OtherRegion + 1]time.Duration) {
	nearest := time.Duration(-1)
	for d := range h.times {
		fastest, known := h.times[d].Quantile(low)
		if !known {
			hedges[d] = max(minHedge, time.Duration(unknownShare*float64(objective)))
			continue
		}
		median, _ := h.times[d].Quantile(middle)
		wait := fastest + spread*(median-fastest) + margin
		hedges[d] = max(minHedge, min(wait, time.Duration(hedgeShare*float64(objective))))
		if nearest < 0 {
			nearest = fastest
		}
		ways[d] = max(0, fastest-nearest)
	}
	return hedges, ways
}
