package target

import (
	"time"

	"crocuswing/internal/upstream/warmup"
)

// Phase tells what this instance knows about the upstream's warmth at now.
func (t *Target) Phase(now time.Time) warmup.Phase {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.work != nil:
		return t.work.warmup.Phase(now)
	case t.toldWarm:
		return warmup.Warm
	}
	return warmup.Cold
}

// Incarnation is the upstream's last one that this home knows.
func (t *Target) Incarnation() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.work == nil {
		return ""
	}
	return t.work.warmup.Incarnation()
}

// HasRestarted tells whether this home itself saw the upstream become cold.
func (t *Target) HasRestarted() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.work != nil && t.work.warmup.HasRestarted()
}

// IsCold tells whether the upstream is not known to be warm.
func (t *Target) IsCold() bool { return t.Phase(time.Now()) != warmup.Warm }

// IsAvailable tells whether the upstream is neither leaving nor shedding at now.
func (t *Target) IsAvailable(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.departure.IsDraining(now) && !now.Before(t.shedUntil)
}

// Outstanding is the number of requests in flight or waiting here, also those through other homes.
func (t *Target) Outstanding() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.work == nil {
		return t.relays
	}
	return t.work.inFlight() + t.work.queue.Len() + t.relays
}

// Requests is the number of requests that this home has in flight and that wait for a slot.
func (t *Target) Requests() (inFlight, waiting int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.work == nil {
		return 0, 0
	}
	return t.work.inFlight(), t.work.queue.Len()
}

// Limit is the number of requests that this instance may have in flight to the upstream now.
func (t *Target) Limit() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.refusal(now) != nil {
		return 0
	}
	return t.limit(now)
}

// Latency is the weighted mean of recent service times.
func (t *Target) Latency() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latency
}

// ReportedLoad is the load that the upstream last reported and the age of that report at now; the load is
// negative if there was none.
func (t *Target) ReportedLoad(now time.Time) (load float64, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reported.IsZero() {
		return -1, 0
	}
	return t.load, now.Sub(t.reported)
}
