package target

import (
	"time"

	"crocuswing/internal/upstream/warmup"
)

// Phase returns the upstream's warm-up phase at now as known to this instance.
func (t *Target) Phase(now time.Time) warmup.Phase {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.state != nil:
		return t.state.warmup.Phase(now)
	case t.peerWarm:
		return warmup.Warm
	}
	return warmup.Cold
}

// Incarnation returns the upstream's last incarnation known to this home, or "" if this instance is not a home.
func (t *Target) Incarnation() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state == nil {
		return ""
	}
	return t.state.warmup.Incarnation()
}

// HasRestarted reports whether this home itself saw the upstream become cold and has not seen its warm-up end.
func (t *Target) HasRestarted() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state != nil && t.state.warmup.HasRestarted()
}

// IsCold reports whether the upstream is not known to be warm.
func (t *Target) IsCold() bool { return t.Phase(time.Now()) != warmup.Warm }

// IsAvailable reports whether the upstream is neither draining nor shedding load at now.
func (t *Target) IsAvailable(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.drain.IsDraining(now) && !now.Before(t.shedUntil)
}

// Outstanding returns the number of this instance's requests that are in flight or queued, including those
// relayed through other homes.
func (t *Target) Outstanding() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state == nil {
		return t.relays
	}
	return t.state.inFlight() + t.state.queue.Len() + t.relays
}

// Requests returns the number of requests that this home has in flight and the number that wait for a slot.
func (t *Target) Requests() (inFlight, waiting int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state == nil {
		return 0, 0
	}
	return t.state.inFlight(), t.state.queue.Len()
}

// Limit returns the number of requests that this instance itself may have in flight to the upstream now.
func (t *Target) Limit() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.refusal(now) != nil {
		return 0
	}
	return t.limit(now)
}

// Latency returns the moving average of recent latencies, including those of relayed attempts.
func (t *Target) Latency() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latency
}

// ReportedLoad returns the load that the upstream last reported and the age of that report at now. The load is
// negative if the upstream has reported none.
func (t *Target) ReportedLoad(now time.Time) (load float64, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reportedAt.IsZero() {
		return -1, 0
	}
	return t.load, now.Sub(t.reportedAt)
}
