// Package target holds the running state of one upstream as one instance knows it. It joins the
// decisions of warmup, limit, queue and drain under one lock.
package target

import (
	"context"
	"slices"
	"sync"
	"time"

	"crocuswing/internal/upstream/contract"
	"crocuswing/internal/upstream/drain"
	"crocuswing/internal/upstream/home"
	"crocuswing/internal/upstream/limit"
	"crocuswing/internal/upstream/queue"
	"crocuswing/internal/upstream/signal"
	"crocuswing/internal/upstream/start"
	"crocuswing/internal/upstream/warmup"
)

const (
	// HandoverDelay is the time for which a new first home sends nothing to a cold upstream, so that
	// what the former one has in flight can end.
	HandoverDelay = 250 * time.Millisecond

	latencyWeight = 0.2 // weight of the newest sample in the mean
	maxRetryAfter = 10 * time.Second

	overdueFactor = 8 // multiple of the recent service time from which an attempt is overdue
	minOverdue    = 20 * time.Millisecond
	maxSampleAge  = time.Second // age from which the recent service time refuses nothing
)

// Role is the part that this instance plays for an upstream under the present view.
type Role struct {
	IsHome  bool
	IsFirst bool
	// MaxInFlight is the highest number of requests in flight of this home once the upstream is warm.
	MaxInFlight int
}

// Target is one upstream as this instance knows it. It is safe for concurrent use.
type Target struct {
	name     string
	contract contract.Contract
	place    home.Location

	mu        sync.Mutex
	role      Role
	work      *work // nil unless this instance is a home
	relays    int   // attempts in flight through other homes
	toldWarm  bool  // by the home that answered last
	departure drain.State
	latency   time.Duration
	load      float64
	reported  time.Time
	shedUntil time.Time
	route     route
}

// work is the state that only a home keeps.
type work struct {
	warmup    warmup.Warmup
	limit     limit.Limit
	queue     queue.Queue
	starts    []time.Time // of the attempts in flight, oldest first
	answered  time.Time   // the last success
	heldUntil time.Time   // a new first home sends nothing before
}

func (w *work) inFlight() int { return len(w.starts) }

// start takes a slot.
func (w *work) start(now time.Time) { w.starts = append(w.starts, now) }

// end gives back a slot that was taken at the given time.
func (w *work) end(started time.Time) {
	if n := slices.IndexFunc(w.starts, started.Equal); n >= 0 {
		w.starts = slices.Delete(w.starts, n, n+1)
	}
}

// overdueAt is the time from which the oldest attempt in flight is overdue.
func (w *work) overdueAt() time.Time {
	return w.starts[0].Add(max(minOverdue, overdueFactor*w.limit.Latency()))
}

// route is the list of homes, valid for one group and count.
type route struct {
	group *home.Group
	count int
	homes []string
}

// New makes a target that is cold until it has proved itself.
func New(name string, c contract.Contract, p home.Location) *Target {
	return &Target{name: name, contract: c, place: p}
}

// Name is the upstream's name.
func (t *Target) Name() string { return t.name }

// Contract states what the upstream can bear.
func (t *Target) Contract() contract.Contract { return t.contract }

// Location is the upstream's failure domain and region.
func (t *Target) Location() home.Location { return t.place }

// Homes gives the upstream's homes under a ranking, first home first. The caller must not change them.
func (t *Target) Homes(r *home.Ranking) []string {
	g := r.Group(t.place)
	count := t.contract.HomeCount(r.Len())
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.route.group != g || t.route.count != count {
		t.route = route{group: g, count: count, homes: g.Homes(t.name, count)}
	}
	return t.route.homes
}

// Role is the present one of this instance.
func (t *Target) Role() Role {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.role
}

// SetRole changes the role of this instance. Waiting requests that it no longer may send are refused.
func (t *Target) SetRole(r Role) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	becameFirst := t.work != nil && r.IsFirst && !t.role.IsFirst
	t.role = r
	switch {
	case r.IsHome && t.work == nil:
		t.work = &work{warmup: warmup.New(t.contract.WarmAfter), limit: limit.New(t.contract.ColdSlots, r.MaxInFlight)}
	case r.IsHome:
		t.work.limit = t.work.limit.WithMax(r.MaxInFlight)
	case t.work != nil && t.work.inFlight() == 0:
		t.work.queue.RefuseAll()
		t.work = nil
	}
	if becameFirst {
		t.work.heldUntil = now.Add(HandoverDelay)
		time.AfterFunc(HandoverDelay, t.wake)
	}
	t.settle(now)
}

func (t *Target) wake() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settle(time.Now())
}

// Acquire waits for a slot. It fails with *RefusedError, *queue.Error or the error of ctx.
func (t *Target) Acquire(ctx context.Context) (Slot, error) {
	t.mu.Lock()
	now := time.Now()
	if err := t.refusal(now); err != nil {
		t.mu.Unlock()
		return Slot{}, err
	}
	t.settle(now)
	deadline, bounded := start.Deadline(ctx)
	if bounded && t.isTooLate(now, deadline) {
		err := &queue.Error{Wait: t.work.limit.Latency()}
		t.mu.Unlock()
		return Slot{}, err
	}
	if t.work.inFlight() < t.allowed(now) {
		t.work.start(now)
		s := t.slot(now)
		t.mu.Unlock()
		return s, nil
	}
	load := queue.Capacity{Limit: t.limit(now), ServiceTime: t.work.limit.Latency()}
	w, err := t.work.queue.Enqueue(now, deadline, load)
	t.mu.Unlock()
	if err != nil {
		return Slot{}, err
	}
	return t.wait(ctx, w)
}

// isTooLate tells whether the deadline cannot be met, as far as recent answers of a warm upstream tell.
// To a cold one the attempt is sent all the same: it runs out without its caller and warms it.
func (t *Target) isTooLate(now, deadline time.Time) bool {
	isRecent := now.Sub(t.work.answered) < maxSampleAge && t.work.warmup.Phase(now) == warmup.Warm
	return isRecent && now.Add(t.work.limit.Latency()).After(deadline)
}

// wait ends when the waiter has ended, its deadline has passed or ctx has ended. When the oldest attempt
// in flight becomes overdue meanwhile, one more may be sent.
func (t *Target) wait(ctx context.Context, w *queue.Waiter) (Slot, error) {
	timer := time.NewTimer(t.nextCheck(w))
	defer timer.Stop()
	for {
		select {
		case <-w.Done():
			return t.ended(ctx, w)
		case <-ctx.Done():
			return t.ended(ctx, w)
		case <-timer.C:
		}
		if !time.Now().Before(w.Deadline()) {
			return t.ended(ctx, w)
		}
		t.wake()
		timer.Reset(t.nextCheck(w))
	}
}

// nextCheck is the time until the waiter's deadline, or until the oldest attempt in flight is overdue.
func (t *Target) nextCheck(w *queue.Waiter) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	at := w.Deadline()
	if t.work == nil || t.work.inFlight() == 0 {
		return at.Sub(now)
	}
	if overdue := t.work.overdueAt(); overdue.After(now) && overdue.Before(at) {
		at = overdue
	}
	return at.Sub(now)
}

// ended gives the slot of a waiter that was granted one and may still send.
func (t *Target) ended(ctx context.Context, w *queue.Waiter) (Slot, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.work != nil && t.work.queue.Remove(w) {
		return Slot{}, waitError(ctx, queue.MaxWait)
	}
	granted, ok := w.Granted()
	if !ok {
		return Slot{}, t.refusedWait(ctx, now)
	}
	if ctx.Err() == nil && t.refusal(now) == nil && t.mayKeep(now) {
		return t.slot(granted), nil
	}
	t.work.end(granted)
	t.settle(now)
	return Slot{}, t.refusedWait(ctx, now)
}

// refusedWait tells why a request that had waited was refused.
func (t *Target) refusedWait(ctx context.Context, now time.Time) error {
	if err := t.refusal(now); err != nil {
		return err
	}
	return waitError(ctx, 0)
}

func waitError(ctx context.Context, wait time.Duration) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return &queue.Error{Wait: wait}
}

// refusal tells why nothing may be sent from here now; nil if something may.
func (t *Target) refusal(now time.Time) error {
	switch {
	case t.departure.IsDraining(now):
		return &RefusedError{Upstream: t.name, Reason: ReasonDraining}
	case now.Before(t.shedUntil):
		return &RefusedError{Upstream: t.name, Reason: ReasonShedding, RetryAfter: t.shedUntil.Sub(now)}
	case !t.role.IsHome || t.work == nil:
		return &RefusedError{Upstream: t.name, Reason: ReasonNotHome}
	case !t.role.IsFirst && t.work.warmup.Phase(now) != warmup.Warm:
		return &RefusedError{Upstream: t.name, Reason: ReasonNotFirstHome}
	}
	return nil
}

// limit is the number of requests that this home may have in flight now.
func (t *Target) limit(now time.Time) int {
	switch {
	case t.work.warmup.Phase(now) == warmup.Warm:
		return t.work.limit.Value()
	case !t.role.IsFirst || now.Before(t.work.heldUntil):
		return 0
	}
	return t.contract.ColdSlots
}

// allowed is the limit, and one more to a warm upstream while the oldest attempt in flight is overdue:
// its connection may be silent, which only later attempts can tell.
func (t *Target) allowed(now time.Time) int {
	limit := t.limit(now)
	if t.work.inFlight() > 0 && t.work.warmup.Phase(now) == warmup.Warm && !now.Before(t.work.overdueAt()) {
		limit++
	}
	return limit
}

// mayKeep tells whether a slot that was granted a moment ago may still be used.
func (t *Target) mayKeep(now time.Time) bool {
	return t.work.warmup.Phase(now) == warmup.Warm || t.work.inFlight() <= t.limit(now)
}

// settle grants free slots to waiting requests, or refuses them if nothing may be sent any more.
func (t *Target) settle(now time.Time) {
	if t.work == nil {
		return
	}
	if t.refusal(now) != nil {
		t.work.queue.RefuseAll()
		return
	}
	for t.work.inFlight() < t.allowed(now) && t.work.queue.Grant(now) {
		t.work.start(now)
	}
}

// note records what an answer or a notice tells besides its result.
func (t *Target) note(now time.Time, s signal.Signal) {
	if s.Draining {
		t.departure = t.departure.WithSignal(now)
	}
	if s.Shed {
		t.shedUntil = now.Add(min(s.RetryAfter, maxRetryAfter))
	}
	if s.Load >= 0 {
		t.load = s.Load
		t.reported = now
	}
}

func (t *Target) observe(took time.Duration) {
	if t.latency == 0 {
		t.latency = took
	}
	t.latency += time.Duration(latencyWeight * float64(took-t.latency))
}
