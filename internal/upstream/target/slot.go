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
	ReasonLeaving  = "the upstream is leaving"
	ReasonShedding = "the upstream asked to wait"
	ReasonNotHome  = "this instance is not a home"
	ReasonNotFirst = "this instance is not the first home of the cold upstream"
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

// IsElsewhere tells whether another home may send.
func (e *RefusedError) IsElsewhere() bool {
	return e.Reason == ReasonNotHome || e.Reason == ReasonNotFirst
}

// Slot is the permission for one attempt. It is given back by Finish or Return.
type Slot struct {
	epoch uint64
	start time.Time
	// MustEnd tells that the attempt may not be canceled: the upstream is not known to be warm,
	// and a canceled request may go on to occupy it.
	MustEnd bool
}

// Result is that of one attempt.
type Result struct {
	// Kind is that of the failure; empty on success.
	Kind   string
	Signal signal.Signal
}

// Change is what a result changed in the knowledge of the upstream.
type Change struct {
	// Restarted tells that a warm-up began.
	Restarted bool
	// Warmed tells that a warm-up ended.
	Warmed bool
	// Left tells that the upstream was found leaving.
	Left bool
	// Incarnation is the upstream's last known one.
	Incarnation string
}

// IsNone tells whether nothing changed.
func (c Change) IsNone() bool { return !c.Restarted && !c.Warmed && !c.Left }

// slot makes the slot that was taken at the given time.
func (t *Target) slot(start time.Time) Slot {
	return Slot{epoch: t.work.warmup.Epoch(), start: start, MustEnd: t.work.warmup.Phase(time.Now()) != warmup.Warm}
}

// Return gives back the slot of an attempt that was not sent.
func (t *Target) Return(s Slot) {
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
	wasLeaving := t.departure.IsLeaving(now)
	t.note(now, r.Signal)
	t.record(now, s, r)
	after := t.work.warmup
	restarted := after.Restarts() != before.Restarts()
	if restarted {
		t.work.limit = t.work.limit.WithStart(t.contract.ColdSlots)
	}
	t.work.end(s.start)
	t.settle(now)
	return Change{
		Restarted:   restarted,
		Warmed:      before.Phase(now) == warmup.Cold && after.Phase(now) == warmup.Warm,
		Left:        !wasLeaving && t.departure.IsLeaving(now),
		Incarnation: after.Incarnation(),
	}
}

// record feeds the result to the warm-up and the limit.
func (t *Target) record(now time.Time, s Slot, r Result) {
	w := t.work
	took := now.Sub(s.start)
	switch r.Kind {
	case "":
		a := warmup.Answer{Epoch: s.epoch, Incarnation: r.Signal.Incarnation, ReportsCold: r.Signal.Cold, Took: took}
		w.warmup = w.warmup.WithSuccess(now, a)
		w.limit = w.limit.WithSuccess(now, took, w.inFlight())
		w.answered = now
		t.observe(took)
	case failure.KindShed:
		w.warmup = w.warmup.WithShed(now, s.epoch, r.Signal.Incarnation)
		w.limit = w.limit.WithShed(now)
	case failure.KindRefused, failure.KindReset:
		w.warmup = w.warmup.WithBroken(s.epoch)
	case failure.KindTimeout, failure.KindCanceled:
		w.warmup = w.warmup.WithoutAnswer(s.epoch, took)
	default:
		w.warmup = w.warmup.WithAnswered(s.epoch, r.Signal.Incarnation)
	}
}

// BeginRelay counts an attempt that goes through another home.
func (t *Target) BeginRelay() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.relays++
}

// EndRelay ends such an attempt without an answer of the other home.
func (t *Target) EndRelay() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.relays--
}

// Relayed ends such an attempt and records what the other home answered; warm tells what that home knows.
func (t *Target) Relayed(took time.Duration, s signal.Signal, incarnation string, warm bool) {
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
		t.work.warmup = t.work.warmup.WithToldWarm(now, warmup.Answer{Incarnation: incarnation, ReportsCold: s.Cold})
	}
	t.settle(now)
}

// Doubt asks for new evidence that the upstream is warm: a connection that it ended may tell of a
// restart, which all homes have to know before they send again.
func (t *Target) Doubt() { t.Told("", false, true) }

// Told records a notice of another home: the upstream leaves, or may be cold again.
func (t *Target) Told(incarnation string, leaving, cold bool) {
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
		t.work.warmup = t.work.warmup.WithToldCold(incarnation)
	}
	t.settle(now)
}

// Listed records what the list says about the upstream.
func (t *Target) Listed(leaving, cold bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if leaving {
		t.departure = t.departure.WithSignal(now)
	}
	if cold && t.work != nil {
		t.work.warmup = t.work.warmup.WithListed()
	}
	t.settle(now)
}
