// Package admission limits the requests that callers may have in flight, before any part of a request is dispatched.
//
// The callers of a class share its capacity fairly; within its own limits a caller may use all that the others leave free. A
// request that does not fit waits in a short queue of its caller or is refused. The entry handler asks for admission once it
// has identified the caller.
package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"crocuswing/internal/config/class"
	"crocuswing/internal/entry/repeat"
	"crocuswing/internal/entry/scheduler"
)

const (
	waitDivisor       = 4                      // a request waits at most 1/waitDivisor of its remaining time
	retryDelay        = 500 * time.Millisecond // mean delay that a refusal states
	repeatRetryDelay  = 2 * time.Second        // the same for refusals due to the retry budget
	tenantIdleTimeout = time.Hour
	jitterDivisor     = 2 // a stated delay is 1/2 to 3/2 of its mean
)

// Admission admits requests of callers. It is safe for concurrent use.
type Admission struct {
	observe func(Event)
	jitter  func(n int64) int64 // a random number in [0, n)

	mu      sync.Mutex
	classes map[string]*classState
}

// classState holds the callers of one class.
type classState struct {
	*scheduler.Scheduler
	tenants map[string]*tenant
}

// tenant is the state of one caller in its class.
type tenant struct {
	*scheduler.Flow
	*repeat.History
	coalesced int // requests in flight that share an execution and use no capacity of their own
	lastUsed  time.Time
}

// Request describes a request that asks for admission.
type Request struct {
	Caller string
	Class  class.Class
	// Cost is the number of shards that the request touches.
	Cost int
	// Key is a hash of the request's body by which repeats are recognized; it is 0 for requests whose repetition is bounded
	// elsewhere.
	Key uint64
}

// Option configures an Admission.
type Option func(*Admission)

// WithObserver calls observe for each request that is queued or refused.
func WithObserver(observe func(Event)) Option {
	return func(a *Admission) { a.observe = observe }
}

// WithJitter replaces the source of random numbers for the retry delays.
func WithJitter(jitter func(n int64) int64) Option {
	return func(a *Admission) { a.jitter = jitter }
}

// New returns an Admission with nothing in flight.
func New(options ...Option) *Admission {
	a := &Admission{observe: func(Event) {}, jitter: rand.Int64N, classes: make(map[string]*classState)}
	for _, o := range options {
		o(a)
	}
	return a
}

// Grant is the permission to run one request. Its holder must call Release once.
type Grant struct {
	admission   *Admission
	tenant      *tenant
	key         uint64
	cost        int
	isRepeat    bool // Spend has permitted it
	charged     int  // cost that was charged to the retry budget
	unscheduled bool // admitted without the scheduler, since it uses no capacity of its own
	// Coalesced is whether an identical request of the caller is in flight, whose execution this one shares.
	Coalesced bool
}

// Admit returns when the request may run, after a short wait at most. If the request is refused, it fails with *Error and
// nothing was run.
func (a *Admission) Admit(ctx context.Context, req Request) (Grant, error) {
	g, w, reason := a.admitOrEnqueue(req)
	if reason == "" && w != nil {
		a.report(req, DecisionQueued)
		reason = a.wait(ctx, req, &g, w)
	}
	if reason != "" {
		a.report(req, reason)
		return Grant{}, a.refuse(req, reason)
	}
	return g, nil
}

// admitOrEnqueue starts the request, or returns its place in the queue or the reason of a refusal.
func (a *Admission) admitOrEnqueue(req Request) (Grant, *scheduler.Waiter, Decision) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	t, contended := a.lookupTenant(req, now)
	g := Grant{admission: a, tenant: t, key: req.Key, cost: req.Cost}
	kind := t.Classify(req.Key, now)
	if kind == repeat.Coalesced {
		return g.coalesce(req)
	}
	if t.Waiting() >= req.Class.QueueLimit() {
		return g, nil, RefusedQueueFull
	}
	if kind == repeat.Retry || (kind == repeat.Repeat && contended) {
		if !g.spend(now) {
			return g, nil, RefusedRetryBudget
		}
	}
	if t.Start(req.Cost) {
		g.start(req)
		return g, nil, ""
	}
	return g, t.Enqueue(req.Cost), ""
}

// coalesce lets the request share the execution in flight. Coalesced requests have a bound of their own, as high as that of
// the caller's running requests, so that they use none of the capacity of its other requests.
func (g Grant) coalesce(req Request) (Grant, *scheduler.Waiter, Decision) {
	if g.tenant.coalesced >= req.Class.Concurrency {
		return g, nil, RefusedQueueFull
	}
	g.Coalesced = true
	g.unscheduled = true
	g.tenant.coalesced++
	g.tenant.Begin(g.key)
	return g, nil, ""
}

// spend charges a repeat to the retry budget and reports whether it may run.
func (g *Grant) spend(now time.Time) bool {
	g.charged, g.isRepeat = g.tenant.Spend(g.cost, now)
	return g.isRepeat
}

// start records that the request runs. A request that is neither a repeat nor coalesced earns budget for later repeats.
func (g Grant) start(req Request) {
	g.tenant.Begin(g.key)
	if !g.isRepeat && !g.Coalesced {
		g.tenant.Earn(req.Cost, req.Class.Cost)
	}
}

// wait blocks until the request may run, ctx ends or the wait takes too long. It returns the reason of a refusal, or the
// empty string.
func (a *Admission) wait(ctx context.Context, req Request, g *Grant, w *scheduler.Waiter) Decision {
	maxWait := req.Class.QueueTimeout()
	if deadline, ok := ctx.Deadline(); ok {
		maxWait = min(maxWait, time.Until(deadline)/waitDivisor)
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	reason := RefusedQueueTimeout
	select {
	case <-w.Granted():
	case <-timer.C:
	case <-ctx.Done():
		reason = RefusedCanceled
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !w.Withdraw() {
		return g.resume(req)
	}
	g.tenant.Refund(g.charged)
	return reason
}

// resume starts a request that was granted in the queue, unless an identical one has run since and the retry budget is used up.
func (g *Grant) resume(req Request) Decision {
	now := time.Now()
	kind := g.tenant.Classify(g.key, now)
	g.Coalesced = kind == repeat.Coalesced
	if !g.isRepeat && (kind == repeat.Retry || kind == repeat.Repeat) && !g.spend(now) {
		g.tenant.Finish(g.cost)
		return RefusedRetryBudget
	}
	g.start(req)
	return ""
}

// lookupTenant returns the state of the caller, created if necessary, with the current limits, and whether any request of the
// class waits.
func (a *Admission) lookupTenant(req Request, now time.Time) (*tenant, bool) {
	cs, ok := a.classes[req.Class.Name]
	if !ok {
		cs = &classState{Scheduler: scheduler.New(), tenants: make(map[string]*tenant)}
		a.classes[req.Class.Name] = cs
	}
	cs.SetCapacity(req.Class.SharedCapacity())
	t, ok := cs.tenants[req.Caller]
	if !ok {
		cs.evictIdle(now)
		t = &tenant{Flow: cs.NewFlow(), History: repeat.New()}
		cs.tenants[req.Caller] = t
	}
	t.lastUsed = now
	t.SetLimits(scheduler.Limits{Concurrency: req.Class.Concurrency, Cost: req.Class.Cost, Weight: req.Class.EffectiveWeight()})
	return t, cs.IsContended()
}

// evictIdle removes the callers without requests for tenantIdleTimeout.
func (cs *classState) evictIdle(now time.Time) {
	for name, t := range cs.tenants {
		if now.Sub(t.lastUsed) > tenantIdleTimeout && t.IsIdle() && t.coalesced == 0 {
			delete(cs.tenants, name)
		}
	}
}

// Release ends the request. complete is whether its caller got a complete answer, so that an identical request that follows
// is not a retry.
func (g Grant) Release(complete bool) {
	g.admission.mu.Lock()
	defer g.admission.mu.Unlock()
	g.tenant.End(g.key, complete, time.Now())
	if g.unscheduled {
		g.tenant.coalesced--
		return
	}
	g.tenant.Finish(g.cost)
}

func (a *Admission) report(req Request, d Decision) {
	a.observe(Event{Caller: req.Caller, Class: req.Class.Name, Decision: d})
}

// refuse returns a refusal whose retry delay has jitter, so that callers do not retry at the same time.
func (a *Admission) refuse(req Request, reason Decision) error {
	mean := retryDelay
	if reason == RefusedRetryBudget {
		mean = repeatRetryDelay
	}
	wait := mean/jitterDivisor + time.Duration(a.jitter(int64(mean)))
	return &Error{Caller: req.Caller, Reason: reason, RetryAfter: wait}
}
