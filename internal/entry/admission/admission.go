// Package admission bounds what callers may have in flight, before any of it is dispatched.
//
// The callers of a class share its capacity fairly; a lone caller may use it all. What does not
// fit waits in a short queue of its caller or is refused.
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
	waitShare    = 4 // a request waits at most this fraction of its time left
	retrySoon    = 500 * time.Millisecond
	retryLate    = 2 * time.Second
	tenantIdle   = time.Hour
	maxRetryPart = 2 // a stated wait is 1/2 to 3/2 of the above
)

// Admission admits requests of callers. It is safe for concurrent use.
type Admission struct {
	observe func(Event)
	jitter  func(n int64) int64 // a random number in [0, n)

	mu      sync.Mutex
	classes map[string]*group
}

// group is the callers of one class.
type group struct {
	*scheduler.Scheduler
	tenants map[string]*tenant
}

// tenant is one caller in its class.
type tenant struct {
	*scheduler.Flow
	*repeat.History
	joined int // requests that share an execution in flight, without a place of their own
	used   time.Time
}

// Request is what admission knows about a request.
type Request struct {
	Caller string
	Class  class.Class
	// Cost is the number of shards that the request touches.
	Cost int
	// Key is a hash of the request's body, by which repeats are recognized; 0 for requests whose
	// repetition is bounded elsewhere.
	Key uint64
}

// Option changes how an admission is made.
type Option func(*Admission)

// WithObserver tells observe of each request that waited, was refused or was a repeat.
func WithObserver(observe func(Event)) Option {
	return func(a *Admission) { a.observe = observe }
}

// WithJitter replaces the source of random numbers for the stated waits.
func WithJitter(jitter func(n int64) int64) Option {
	return func(a *Admission) { a.jitter = jitter }
}

// New makes an admission with nothing in flight.
func New(options ...Option) *Admission {
	a := &Admission{observe: func(Event) {}, jitter: rand.Int64N, classes: make(map[string]*group)}
	for _, o := range options {
		o(a)
	}
	return a
}

// Grant is the permission to run one request. Its user calls Release once.
type Grant struct {
	admission *Admission
	tenant    *tenant
	key       uint64
	cost      int
	paid      bool // from the budget for repeats
	free      bool // joined without a place of its own
	// Coalesced tells that an identical request of the caller is in flight, whose execution this
	// one shares.
	Coalesced bool
}

// Admit waits for the request's turn, a short time at most. It fails with *Error: nothing was run.
func (a *Admission) Admit(ctx context.Context, q Request) (Grant, error) {
	g, w, reason := a.begin(q)
	if reason == "" && w != nil {
		a.note(q, DecisionQueued)
		reason = a.wait(ctx, q, &g, w)
	}
	if reason != "" {
		a.note(q, reason)
		return Grant{}, a.refuse(q, reason)
	}
	return g, nil
}

// begin starts the request, or gives its place in the queue, or the reason of a refusal.
func (a *Admission) begin(q Request) (Grant, *scheduler.Waiter, Decision) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	t, contended := a.tenant(q, now)
	g := Grant{admission: a, tenant: t, key: q.Key, cost: q.Cost}
	kind := t.Classify(q.Key, now)
	if kind == repeat.Coalesced {
		return g.join(q)
	}
	if t.Waiting() >= q.Class.Waiting() {
		return g, nil, RefusedQueueFull
	}
	if kind == repeat.Retry || (kind == repeat.Repeat && contended) {
		if !t.Spend(q.Cost, now) {
			return g, nil, RefusedRetryBudget
		}
		g.paid = true
	}
	if t.Start(q.Cost) {
		g.run(q)
		return g, nil, ""
	}
	return g, t.Enqueue(q.Cost), ""
}

// join lets the request share the execution in flight. As many of a caller's requests may join as
// may run, so that they take no place from its other requests.
func (g Grant) join(q Request) (Grant, *scheduler.Waiter, Decision) {
	if g.tenant.joined >= q.Class.Concurrency {
		return g, nil, RefusedQueueFull
	}
	g.Coalesced = true
	g.free = true
	g.tenant.joined++
	g.tenant.Begin(g.key)
	return g, nil, ""
}

// run notes a request that runs now; one that is no repeat earns for later repeats.
func (g Grant) run(q Request) {
	g.tenant.Begin(g.key)
	if !g.paid && !g.Coalesced {
		g.tenant.Earn(q.Cost, q.Class.Cost)
	}
}

// wait ends with the request's turn, with the end of ctx, or when the wait takes too long.
func (a *Admission) wait(ctx context.Context, q Request, g *Grant, w *scheduler.Waiter) Decision {
	longest := q.Class.Wait()
	if deadline, ok := ctx.Deadline(); ok {
		longest = min(longest, time.Until(deadline)/waitShare)
	}
	timer := time.NewTimer(longest)
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
		return g.resume(q)
	}
	if g.paid {
		g.tenant.Refund(q.Cost)
	}
	return reason
}

// resume runs a request whose turn came, unless an identical one has run in the meantime and the
// budget for repeats is used up.
func (g *Grant) resume(q Request) Decision {
	now := time.Now()
	kind := g.tenant.Classify(g.key, now)
	g.Coalesced = kind == repeat.Coalesced
	if !g.paid && (kind == repeat.Retry || kind == repeat.Repeat) {
		if !g.tenant.Spend(q.Cost, now) {
			g.tenant.Finish(g.cost)
			return RefusedRetryBudget
		}
		g.paid = true
	}
	g.run(q)
	return ""
}

// tenant finds or makes the caller's state under the limits of the present, and tells whether
// requests of its class wait.
func (a *Admission) tenant(q Request, now time.Time) (*tenant, bool) {
	g, ok := a.classes[q.Class.Name]
	if !ok {
		g = &group{Scheduler: scheduler.New(), tenants: make(map[string]*tenant)}
		a.classes[q.Class.Name] = g
	}
	g.SetCapacity(q.Class.Shared())
	t, ok := g.tenants[q.Caller]
	if !ok {
		g.forgetIdle(now)
		t = &tenant{Flow: g.NewFlow(), History: repeat.New()}
		g.tenants[q.Caller] = t
	}
	t.used = now
	t.SetLimits(scheduler.Limits{Concurrency: q.Class.Concurrency, Cost: q.Class.Cost, Weight: q.Class.Share()})
	return t, g.IsContended()
}

func (g *group) forgetIdle(now time.Time) {
	for name, t := range g.tenants {
		if now.Sub(t.used) > tenantIdle && t.IsIdle() && t.joined == 0 {
			delete(g.tenants, name)
		}
	}
}

// Release ends the request; whole tells that its caller got a whole answer, so that an identical
// request that follows is no retry.
func (g Grant) Release(whole bool) {
	g.admission.mu.Lock()
	defer g.admission.mu.Unlock()
	g.tenant.End(g.key, whole, time.Now())
	if g.free {
		g.tenant.joined--
		return
	}
	g.tenant.Finish(g.cost)
}

func (a *Admission) note(q Request, d Decision) {
	a.observe(Event{Caller: q.Caller, Class: q.Class.Name, Decision: d})
}

// refuse states a wait with jitter, so that the callers do not come back together.
func (a *Admission) refuse(q Request, reason Decision) error {
	mean := retrySoon
	if reason == RefusedRetryBudget {
		mean = retryLate
	}
	wait := mean/maxRetryPart + time.Duration(a.jitter(int64(mean)))
	return &Error{Caller: q.Caller, Reason: reason, RetryAfter: wait}
}
