// Package pacing tells when a request's attempts are hedged and when its answer has to go out.
//
// Hedging after a quantile of the recent times is due to Dean and Barroso, "The tail at scale", Communications of the
// ACM 56(2), 2013.
package pacing

import (
	"sync"
	"time"

	"crocuswing/internal/forward/request"
	"crocuswing/internal/query/choice"
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

// Pacer remembers the times of the attempts of each route at each distance. It is safe for concurrent use.
type Pacer struct {
	mu     sync.Mutex
	routes map[string]*history
}

type history struct {
	times   [choice.Elsewhere + 1]window.Window
	longest time.Duration // that callers said they wait
}

// New makes a pacer that knows nothing.
func New() *Pacer { return &Pacer{routes: make(map[string]*history)} }

// Pace is the plan for one request.
type Pace struct {
	// Hedges are the ages after which an attempt at each distance is late.
	Hedges [choice.Elsewhere + 1]time.Duration
	// Ways are the shortest times at each distance beyond that of the nearest.
	Ways [choice.Elsewhere + 1]time.Duration
	// Objective is the moment at which an answer still has its full value.
	Objective time.Time
	// End is the moment at which the request has failed.
	End time.Time
	// Deadline is when the caller or the operator no longer waits. Upstreams are told it.
	Deadline time.Time
}

// Plan paces one request. The objective counts from the caller's first attempt: what the caller's time lacks of the longest
// that callers of the route state was spent on earlier ones. If it has passed, or if the caller just has little time, a whole answer is
// worth more than an early one.
func (p *Pacer) Plan(q request.Request, r *route.Route) Pace {
	h := p.history(r.Name)
	p.mu.Lock()
	h.longest = max(h.longest, q.Left)
	spent := time.Duration(0)
	if q.Left > 0 {
		spent = h.longest - q.Left
	}
	if spent >= r.Objective-wayBack {
		spent = 0
	}
	p.mu.Unlock()
	longest := defaultTimeout
	for _, d := range []time.Duration{q.Left, r.Timeout} {
		if d > 0 {
			longest = min(longest, d)
		}
	}
	deadline := q.Arrived.Add(longest)
	pace := Pace{
		Objective: q.Arrived.Add(r.Objective - spent - wayBack),
		End:       deadline.Add(-min(wayBack, longest/4)),
		Deadline:  deadline,
	}
	pace.Hedges, pace.Ways = h.hedges(r.Objective)
	return pace
}

// Hedge is the age after which an attempt at a distance is late.
func (p Pace) Hedge(d choice.Distance) time.Duration { return p.Hedges[d] }

// Took records the time of an answered attempt at a distance.
func (p *Pacer) Took(route string, at choice.Distance, d time.Duration) {
	p.history(route).times[at].Add(d)
}

func (p *Pacer) history(route string) *history {
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
func (h *history) hedges(objective time.Duration) (hedges, ways [choice.Elsewhere + 1]time.Duration) {
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
