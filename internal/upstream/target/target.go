// Package target holds what one instance knows about one upstream at runtime and decides whether an attempt
// may be sent to it. Every attempt acquires a slot from the target of its upstream first and reports its result
// to it afterwards. A target combines the decisions of the packages warmup, limit, queue and drain under one lock.
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
	// HandoverDelay is the time for which a home that becomes the first home sends nothing to a cold upstream, so that
	// the attempts of the previous first home can finish.
	HandoverDelay = 250 * time.Millisecond

	latencyWeight = 0.2 // weight of the newest sample in the moving average

	overdueFactor = 8                     // multiple of the recent service time from which an attempt is overdue
	minOverdue    = 20 * time.Millisecond // minimum age of an overdue attempt
	maxSampleAge  = time.Second           // age of the last success from which the recent service time no longer causes refusals
)

// Role is the role of this instance for an upstream under the current view.
type Role struct {
	// IsHome is set if this instance is a home of the upstream and keeps connections to it.
	IsHome bool
	// IsFirst is set if this instance is the first home, the only one that sends to the upstream while it is not warm.
	IsFirst bool
	// MaxInFlight is the maximum number of requests that this home may have in flight once the upstream is warm.
	MaxInFlight int
}

// Target is the state of one upstream as known to this instance. It is safe for concurrent use.
type Target struct {
	name     string
	contract contract.Contract
	location home.Location

	mu         sync.Mutex
	role       Role
	hasRole    bool       // a role was set before: under the earlier view another instance may be the first home
	state      *homeState // set while this instance is a home; its last attempts in flight may keep it longer
	relays     int        // attempts in flight through other homes
	peerWarm   bool       // whether the home that replied last knows the upstream to be warm
	drain      drain.State
	latency    time.Duration
	load       float64
	reportedAt time.Time
	shedUntil  time.Time
	cache      homesCache
}

// homeState is the part of the state that only a home keeps.
type homeState struct {
	warmup       warmup.Warmup
	limit        limit.Limit
	queue        queue.Queue
	starts       []time.Time // start times of the attempts in flight, oldest first
	lastSuccess  time.Time
	blockedUntil time.Time // end of HandoverDelay after this instance became the first home
}

func (s *homeState) inFlight() int { return len(s.starts) }

// take occupies a slot.
func (s *homeState) take(now time.Time) { s.starts = append(s.starts, now) }

// release frees the slot that was taken at start.
func (s *homeState) release(start time.Time) {
	if n := slices.IndexFunc(s.starts, start.Equal); n >= 0 {
		s.starts = slices.Delete(s.starts, n, n+1)
	}
}

// overdueAt returns the time from which the oldest attempt in flight is overdue. There must be one.
func (s *homeState) overdueAt() time.Time {
	return s.starts[0].Add(max(minOverdue, overdueFactor*s.limit.Latency()))
}

// homesCache is the list of homes computed for a group and a number of homes.
type homesCache struct {
	group *home.Group
	count int
	homes []string
}

// New returns a target that counts as cold until successful attempts prove it warm.
func New(name string, c contract.Contract, l home.Location) *Target {
	return &Target{name: name, contract: c, location: l}
}

// Name returns the upstream's name.
func (t *Target) Name() string { return t.name }

// Contract returns the limits on the work that the upstream accepts.
func (t *Target) Contract() contract.Contract { return t.contract }

// Location returns the upstream's failure domain and region.
func (t *Target) Location() home.Location { return t.location }

// Homes returns the upstream's homes under r, first home first. The caller must not modify the slice.
func (t *Target) Homes(r *home.Ranking) []string {
	g := r.Group(t.location)
	count := t.contract.HomeCount(r.Len())
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cache.group != g || t.cache.count != count {
		t.cache = homesCache{group: g, count: count, homes: g.Homes(t.name, count)}
	}
	return t.cache.homes
}

// Role returns the current role of this instance.
func (t *Target) Role() Role {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.role
}

// SetRole changes the role of this instance. An instance that becomes the first home waits for HandoverDelay, except in the first role
// of a target, whose upstream is new to the view. SetRole refuses queued requests that this instance may no longer send.
func (t *Target) SetRole(r Role) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	becameFirst := t.hasRole && r.IsHome && r.IsFirst && !t.role.IsFirst
	t.hasRole = true
	t.role = r
	switch {
	case r.IsHome && t.state == nil:
		t.state = &homeState{warmup: warmup.New(t.contract.WarmAfter), limit: limit.New(t.contract.ColdSlots, r.MaxInFlight)}
	case r.IsHome:
		t.state.limit = t.state.limit.WithMax(r.MaxInFlight)
	case t.state != nil && t.state.inFlight() == 0:
		t.state.queue.RefuseAll()
		t.state = nil
	}
	if becameFirst {
		t.state.blockedUntil = now.Add(HandoverDelay)
		time.AfterFunc(HandoverDelay, t.recheckQueue)
	}
	t.updateQueue(now)
}

// recheckQueue calls updateQueue for the current time.
func (t *Target) recheckQueue() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateQueue(time.Now())
}

// Acquire waits for a slot. It fails with *RefusedError, *queue.Error or the error of ctx.
// The caller has to return the slot by Finish or Release.
func (t *Target) Acquire(ctx context.Context) (Slot, error) {
	t.mu.Lock()
	now := time.Now()
	if err := t.refusal(now); err != nil {
		t.mu.Unlock()
		return Slot{}, err
	}
	t.updateQueue(now)
	deadline, hasDeadline := start.Deadline(ctx)
	if hasDeadline && t.missesDeadline(now, deadline) {
		err := &queue.Error{Wait: t.state.limit.Latency()}
		t.mu.Unlock()
		return Slot{}, err
	}
	if t.state.inFlight() < t.allowedInFlight(now) {
		t.state.take(now)
		s := t.newSlot(now)
		t.mu.Unlock()
		return s, nil
	}
	capacity := queue.Capacity{Limit: t.limit(now), ServiceTime: t.state.limit.Latency()}
	w, err := t.state.queue.Enqueue(now, deadline, capacity)
	t.mu.Unlock()
	if err != nil {
		return Slot{}, err
	}
	return t.wait(ctx, w)
}

// missesDeadline reports whether the deadline cannot be met, judging by the recent service time of a warm upstream.
// An upstream that is not warm still gets the attempt: it completes without its caller and helps to warm the upstream up.
func (t *Target) missesDeadline(now, deadline time.Time) bool {
	isRecent := now.Sub(t.state.lastSuccess) < maxSampleAge && t.state.warmup.Phase(now) == warmup.Warm
	return isRecent && now.Add(t.state.limit.Latency()).After(deadline)
}

// wait returns when w is granted a slot or refused, when its deadline passes, or when ctx ends. It rechecks the
// queue when the oldest attempt in flight becomes overdue, since one more attempt may be sent then.
func (t *Target) wait(ctx context.Context, w *queue.Waiter) (Slot, error) {
	timer := time.NewTimer(t.untilNextCheck(w))
	defer timer.Stop()
	for {
		select {
		case <-w.Done():
			return t.finishWait(ctx, w)
		case <-ctx.Done():
			return t.finishWait(ctx, w)
		case <-timer.C:
		}
		if !time.Now().Before(w.Deadline()) {
			return t.finishWait(ctx, w)
		}
		t.recheckQueue()
		timer.Reset(t.untilNextCheck(w))
	}
}

// untilNextCheck returns the time until the waiter's deadline or until the oldest attempt in flight becomes
// overdue, whichever is sooner.
func (t *Target) untilNextCheck(w *queue.Waiter) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	at := w.Deadline()
	if t.state == nil || t.state.inFlight() == 0 {
		return at.Sub(now)
	}
	if overdue := t.state.overdueAt(); overdue.After(now) && overdue.Before(at) {
		at = overdue
	}
	return at.Sub(now)
}

// finishWait ends the wait of w. It returns the slot if w was granted one and may still use it, or else an error.
func (t *Target) finishWait(ctx context.Context, w *queue.Waiter) (Slot, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.state != nil && t.state.queue.Remove(w) {
		return Slot{}, waitError(ctx, queue.MaxWait)
	}
	grantedAt, ok := w.Granted()
	if !ok {
		return Slot{}, t.waitRefusal(ctx, now)
	}
	if ctx.Err() == nil && t.refusal(now) == nil && t.canUseSlot(now) {
		return t.newSlot(grantedAt), nil
	}
	t.state.release(grantedAt)
	t.updateQueue(now)
	return Slot{}, t.waitRefusal(ctx, now)
}

// waitRefusal returns the error of a queued request that was refused.
func (t *Target) waitRefusal(ctx context.Context, now time.Time) error {
	if err := t.refusal(now); err != nil {
		return err
	}
	return waitError(ctx, 0)
}

// waitError returns the error of ctx, or else a *queue.Error with the given wait.
func waitError(ctx context.Context, wait time.Duration) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return &queue.Error{Wait: wait}
}

// refusal returns the reason why this instance may not send now, or nil if it may.
func (t *Target) refusal(now time.Time) error {
	switch {
	case t.drain.IsDraining(now):
		return &RefusedError{Upstream: t.name, Reason: ReasonDraining}
	case now.Before(t.shedUntil):
		return &RefusedError{Upstream: t.name, Reason: ReasonShedding, RetryAfter: t.shedUntil.Sub(now)}
	case !t.role.IsHome || t.state == nil:
		return &RefusedError{Upstream: t.name, Reason: ReasonNotHome}
	case !t.role.IsFirst && t.state.warmup.Phase(now) != warmup.Warm:
		return &RefusedError{Upstream: t.name, Reason: ReasonNotFirstHome}
	}
	return nil
}

// limit returns the number of requests that this home may have in flight now.
func (t *Target) limit(now time.Time) int {
	switch {
	case t.state.warmup.Phase(now) == warmup.Warm:
		return t.state.limit.Value()
	case !t.role.IsFirst || now.Before(t.state.blockedUntil):
		return 0
	}
	return t.contract.ColdSlots
}

// allowedInFlight returns the limit. It allows one more to a warm upstream while the oldest attempt in flight is
// overdue: the connection of that attempt may be stalled, which only later attempts can show.
func (t *Target) allowedInFlight(now time.Time) int {
	limit := t.limit(now)
	if t.state.inFlight() > 0 && t.state.warmup.Phase(now) == warmup.Warm && !now.Before(t.state.overdueAt()) {
		limit++
	}
	return limit
}

// canUseSlot reports whether a slot that was granted to a queued request may still be used.
func (t *Target) canUseSlot(now time.Time) bool {
	return t.state.warmup.Phase(now) == warmup.Warm || t.state.inFlight() <= t.limit(now)
}

// updateQueue grants free slots to queued requests, or refuses them if nothing may be sent any more.
// The caller holds t.mu.
func (t *Target) updateQueue(now time.Time) {
	if t.state == nil {
		return
	}
	if t.refusal(now) != nil {
		t.state.queue.RefuseAll()
		return
	}
	for t.state.inFlight() < t.allowedInFlight(now) && t.state.queue.Grant(now) {
		t.state.take(now)
	}
}

// recordSignal records the draining state, the shedding and the load that a response reports.
func (t *Target) recordSignal(now time.Time, s signal.Signal) {
	if s.Draining {
		t.drain = t.drain.WithSignal(now)
	}
	if until := now.Add(s.RetryAfter); s.Shed && until.After(t.shedUntil) {
		t.shedUntil = until // a shorter pause that another response requests does not replace a longer one
	}
	if s.Load >= 0 {
		t.load = s.Load
		t.reportedAt = now
	}
}

// recordLatency adds a sample to the moving average of the latency.
func (t *Target) recordLatency(sample time.Duration) {
	if t.latency == 0 {
		t.latency = sample
	}
	t.latency += time.Duration(latencyWeight * float64(sample-t.latency))
}
