package target

import (
	"fmt"
	"time"

	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/upstream/signal"
	"crocuswing/internal/upstream/warmup"
)

// Reasons of a RefusedError.
const (
	ReasonDraining     = "the upstream is leaving"
	ReasonShedding     = "the upstream asked to wait"
	ReasonNotHome      = "this instance is not a home"
	ReasonNotFirstHome = "this instance is not the first home of the cold upstream"
)

// RefusedError reports that this instance may not send to the upstream now. Nothing was sent.
type RefusedError struct {
	Upstream string
	Reason   string
	// RetryAfter is the remaining wait that the upstream asked for, or 0 if it asked for none.
	RetryAfter time.Duration
}

// Error returns the upstream and the reason.
func (e *RefusedError) Error() string { return fmt.Sprintf("upstream %s: %s", e.Upstream, e.Reason) }

// AllowsOtherHome reports whether another home may send the attempt.
func (e *RefusedError) AllowsOtherHome() bool {
	return e.Reason == ReasonNotHome || e.Reason == ReasonNotFirstHome
}

// Slot is the permission to send one attempt. Finish or Release returns it.
type Slot struct {
	epoch uint64
	start time.Time
	// MustComplete is set if the attempt may not be canceled: the upstream is not known to be warm, and may
	// continue to work on a canceled request.
	MustComplete bool
}

// Result is the result of one attempt.
type Result struct {
	// FailureKind is one of the kinds of package failure, or empty on success.
	FailureKind string
	Signal      signal.Signal
}

// Change describes how a result changed the known state of the upstream.
type Change struct {
	// WarmupStarted is set if a warm-up began.
	WarmupStarted bool
	// WarmupEnded is set if a warm-up ended.
	WarmupEnded bool
	// DrainStarted is set if the upstream was found to be draining.
	DrainStarted bool
	// Incarnation is the last known incarnation of the upstream.
	Incarnation string
}

// IsEmpty reports whether nothing changed.
func (c Change) IsEmpty() bool { return !c.WarmupStarted && !c.WarmupEnded && !c.DrainStarted }

// newSlot returns the slot that was taken at start.
func (t *Target) newSlot(start time.Time) Slot {
	return Slot{epoch: t.state.warmup.Epoch(), start: start, MustComplete: t.state.warmup.Phase(time.Now()) != warmup.Warm}
}

// Release returns the slot of an attempt that was not sent.
func (t *Target) Release(s Slot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.release(s.start)
	t.updateQueue(time.Now())
}

// Finish records the result of an attempt, returns its slot and reports what changed.
func (t *Target) Finish(s Slot, r Result) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	before := t.state.warmup
	wasDraining := t.drain.IsDraining(now)
	t.recordSignal(now, r.Signal)
	t.recordResult(now, s, r)
	after := t.state.warmup
	warmupStarted := after.Restarts() != before.Restarts()
	if warmupStarted {
		t.state.limit = t.state.limit.WithValue(t.contract.ColdSlots)
	}
	t.state.release(s.start)
	t.updateQueue(now)
	return Change{
		WarmupStarted: warmupStarted,
		WarmupEnded:   before.Phase(now) == warmup.Cold && after.Phase(now) == warmup.Warm,
		DrainStarted:  !wasDraining && t.drain.IsDraining(now),
		Incarnation:   after.Incarnation(),
	}
}

// recordResult updates the warm-up and the limit with the result.
func (t *Target) recordResult(now time.Time, s Slot, r Result) {
	state := t.state
	elapsed := now.Sub(s.start)
	switch r.FailureKind {
	case "":
		resp := warmup.Response{Epoch: s.epoch, Incarnation: r.Signal.Incarnation, ReportsCold: r.Signal.Cold, ServiceTime: elapsed}
		state.warmup = state.warmup.WithSuccess(now, resp)
		state.limit = state.limit.WithSuccess(now, elapsed, state.inFlight())
		state.lastSuccess = now
		t.recordLatency(elapsed)
	case failure.KindShed:
		state.warmup = state.warmup.WithShed(now, s.epoch, r.Signal.Incarnation)
		state.limit = state.limit.WithShed(now)
	case failure.KindRefused, failure.KindReset:
		state.warmup = state.warmup.WithConnectionError(s.epoch)
	case failure.KindTimeout, failure.KindCanceled:
		state.warmup = state.warmup.WithNoResponse(s.epoch, elapsed)
	default:
		state.warmup = state.warmup.WithResponse(s.epoch, r.Signal.Incarnation)
	}
}

// BeginRelay counts an attempt that is sent through another home. AbortRelay or FinishRelay ends it.
func (t *Target) BeginRelay() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.relays++
}

// AbortRelay ends a relayed attempt to which the other home did not reply.
func (t *Target) AbortRelay() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.relays--
}

// FinishRelay ends a relayed attempt and records the reply of the other home; warm is set if that home knows the
// upstream to be warm.
func (t *Target) FinishRelay(latency time.Duration, s signal.Signal, incarnation string, warm bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.relays--
	t.recordSignal(now, s)
	if !s.Shed && s.Incarnation != "" {
		t.recordLatency(latency)
	}
	t.peerWarm = warm
	if t.state != nil && warm {
		t.state.warmup = t.state.warmup.WithPeerWarm(now, warmup.Response{Incarnation: incarnation, ReportsCold: s.Cold})
	}
	t.updateQueue(now)
}

// MarkUnproven requires new evidence that the upstream is warm. It is called when the upstream closes a
// connection: that may be a sign of a restart, which all homes have to know of before they send again.
func (t *Target) MarkUnproven() { t.ApplyNotice("", false, true) }

// ApplyNotice records a notice of another home that the upstream is draining or may be cold again.
func (t *Target) ApplyNotice(incarnation string, draining, cold bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if draining {
		t.drain = t.drain.WithSignal(now)
	}
	if cold {
		t.peerWarm = false
	}
	if cold && t.state != nil {
		t.state.warmup = t.state.warmup.WithPeerCold(incarnation)
	}
	t.updateQueue(now)
}

// ApplyMembership records the state of the upstream in the membership list.
func (t *Target) ApplyMembership(draining, cold bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if draining {
		t.drain = t.drain.WithSignal(now)
	}
	if cold && t.state != nil {
		t.state.warmup = t.state.warmup.WithListedCold()
	}
	t.updateQueue(now)
}
