package target

import (
	"fmt"
	"time"

	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/upstream/signal"
	"crocuswing/internal/upstream/warmup"
)

// Reasons of a refusal.
const (
	ReasonDraining     = "the upstream is leaving"
	ReasonShedding     = "the upstream asked to wait"
	ReasonNotHome      = "this instance is not a home"
	ReasonNotFirstHome = "this instance is not the first home of the cold upstream"
)

// RefusedError tells that nothing may be sent from here; nothing was.
type RefusedError struct {
	Upstream string
	Reason   string
	// RetryAfter is the wait that the upstream asked for; 0 if none.
	RetryAfter time.Duration
}

// Error gives upstream and reason.
func (e *RefusedError) Error() string { return fmt.Sprintf("upstream %s: %s", e.Upstream, e.Reason) }

// AllowsOtherHome tells whether another home may send.
func (e *RefusedError) AllowsOtherHome() bool {
	return e.Reason == ReasonNotHome || e.Reason == ReasonNotFirstHome
}

// Slot is the permission for one attempt. It is given back by Finish or Release.
type Slot struct {
	epoch uint64
	start time.Time
	// MustComplete tells that the attempt may not be canceled: the upstream is not known to be warm,
	// and a canceled request may go on to occupy it.
	MustComplete bool
}

// Result is that of one attempt.
type Result struct {
	// FailureKind is that of the failure; empty on success.
	FailureKind string
	Signal      signal.Signal
}

// Change is what a result changed in the knowledge of the upstream.
type Change struct {
	// WarmupStarted tells that a warm-up began.
	WarmupStarted bool
	// WarmupEnded tells that a warm-up ended.
	WarmupEnded bool
	// DrainStarted tells that the upstream was found leaving.
	DrainStarted bool
	// Incarnation is the upstream's last known one.
	Incarnation string
}

// IsEmpty tells whether nothing changed.
func (c Change) IsEmpty() bool { return !c.WarmupStarted && !c.WarmupEnded && !c.DrainStarted }

// slot makes the slot that was taken at the given time.
func (t *Target) slot(start time.Time) Slot {
	return Slot{epoch: t.work.warmup.Epoch(), start: start, MustComplete: t.work.warmup.Phase(time.Now()) != warmup.Warm}
}

// Release gives back the slot of an attempt that was not sent.
func (t *Target) Release(s Slot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.work.end(s.start)
	t.settle(time.Now())
}

// Finish records the result of an attempt, gives its slot back and tells what changed.
func (t *Target) Finish(s Slot, r Result) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	before := t.work.warmup
	wasLeaving := t.departure.IsDraining(now)
	t.note(now, r.Signal)
	t.record(now, s, r)
	after := t.work.warmup
	restarted := after.Restarts() != before.Restarts()
	if restarted {
		t.work.limit = t.work.limit.WithValue(t.contract.ColdSlots)
	}
	t.work.end(s.start)
	t.settle(now)
	return Change{
		WarmupStarted: restarted,
		WarmupEnded:   before.Phase(now) == warmup.Cold && after.Phase(now) == warmup.Warm,
		DrainStarted:  !wasLeaving && t.departure.IsDraining(now),
		Incarnation:   after.Incarnation(),
	}
}

// record feeds the result to the warm-up and the limit.
func (t *Target) record(now time.Time, s Slot, r Result) {
	w := t.work
	took := now.Sub(s.start)
	switch r.FailureKind {
	case "":
		a := warmup.Response{Epoch: s.epoch, Incarnation: r.Signal.Incarnation, ReportsCold: r.Signal.Cold, ServiceTime: took}
		w.warmup = w.warmup.WithSuccess(now, a)
		w.limit = w.limit.WithSuccess(now, took, w.inFlight())
		w.answered = now
		t.observe(took)
	case failure.KindShed:
		w.warmup = w.warmup.WithShed(now, s.epoch, r.Signal.Incarnation)
		w.limit = w.limit.WithShed(now)
	case failure.KindRefused, failure.KindReset:
		w.warmup = w.warmup.WithConnectionError(s.epoch)
	case failure.KindTimeout, failure.KindCanceled:
		w.warmup = w.warmup.WithNoResponse(s.epoch, took)
	default:
		w.warmup = w.warmup.WithResponse(s.epoch, r.Signal.Incarnation)
	}
}

// BeginRelay counts an attempt that goes through another home.
func (t *Target) BeginRelay() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.relays++
}

// AbortRelay ends such an attempt without an answer of the other home.
func (t *Target) AbortRelay() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.relays--
}

// FinishRelay ends such an attempt and records what the other home answered; warm tells what that home knows.
func (t *Target) FinishRelay(took time.Duration, s signal.Signal, incarnation string, warm bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.relays--
	t.note(now, s)
	if !s.Shed && s.Incarnation != "" {
		t.observe(took)
	}
	t.toldWarm = warm
	if t.work != nil && warm {
		t.work.warmup = t.work.warmup.WithPeerWarm(now, warmup.Response{Incarnation: incarnation, ReportsCold: s.Cold})
	}
	t.settle(now)
}

// MarkUnproven asks for new evidence that the upstream is warm: a connection that it ended may tell of a
// restart, which all homes have to know before they send again.
func (t *Target) MarkUnproven() { t.ApplyNotice("", false, true) }

// ApplyNotice records a notice of another home: the upstream leaves, or may be cold again.
func (t *Target) ApplyNotice(incarnation string, leaving, cold bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if leaving {
		t.departure = t.departure.WithSignal(now)
	}
	if cold {
		t.toldWarm = false
	}
	if cold && t.work != nil {
		t.work.warmup = t.work.warmup.WithPeerCold(incarnation)
	}
	t.settle(now)
}

// ApplyMembership records what the list says about the upstream.
func (t *Target) ApplyMembership(leaving, cold bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if leaving {
		t.departure = t.departure.WithSignal(now)
	}
	if cold && t.work != nil {
		t.work.warmup = t.work.warmup.WithListedCold()
	}
	t.settle(now)
}
