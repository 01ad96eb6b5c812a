// Package history tracks the latency and the failures of each upstream as this instance sees them. The choice of an upstream
// for an attempt, a hedge or a probe is based on it.
//
// Attempts in flight and canceled attempts count too: an attempt that has not been answered for some time is evidence that
// its upstream is at least that slow.
package history

import (
	"sync"
	"time"
)

const (
	sampleWeight       = 0.2 // weight of the newest sample in the mean latency
	slowFactor         = 2   // a response is slow if it took at least this many times the tail latency
	overdueFactor      = 4   // an attempt in flight is overdue after this many times the tail latency
	canceledFactor     = 2   // a canceled attempt would have taken about this many times its elapsed time
	failingMisses      = 3   // consecutive misses after which an upstream gets no hedges
	initialProbeDelay  = 100 * time.Millisecond
	probeBackoffFactor = 4 // factor by which the delay before the next probe grows with each miss
	maxProbeBackoffs   = 4 // number of times that the delay grows
	maxProbeDelay      = 16 * time.Second
	sweepInterval      = 1024        // insertions between two sweeps
	retention          = time.Minute // of the state of an upstream that is not used
)

// Record holds the statistics of one upstream at one moment.
type Record struct {
	// InFlight is the number of attempts in flight.
	InFlight int
	// OldestAge is the age of the oldest attempt in flight.
	OldestAge time.Duration
	// Latency is the exponentially weighted mean of recent latencies, or 0 if there are none.
	Latency time.Duration
	// SampleAge is the time since the last latency sample.
	SampleAge time.Duration
	// Misses is the number of consecutive attempts that were slow, failed or were canceled late.
	Misses int
}

// IsSuspect reports whether the upstream should get probes instead of ordinary first attempts. tailLatency is the time within
// which nearly all attempts of its service are answered.
func (r Record) IsSuspect(tailLatency time.Duration) bool {
	return r.Misses > 0 || r.isOverdue(tailLatency)
}

// IsFailing reports whether the upstream should get no hedges either.
func (r Record) IsFailing(tailLatency time.Duration) bool {
	return r.Misses >= failingMisses || r.isOverdue(tailLatency)
}

func (r Record) isOverdue(tailLatency time.Duration) bool {
	return r.OldestAge > overdueFactor*tailLatency
}

// History holds the statistics of all upstreams in use. It is safe for concurrent use.
type History struct {
	mu         sync.Mutex
	states     map[string]*state
	insertions int
}

// state holds the observations of one upstream, from which Get derives a Record.
type state struct {
	starts    []time.Time // of the attempts in flight, oldest first
	latency   time.Duration
	sampledAt time.Time
	misses    int
	missedAt  time.Time
	probedAt  time.Time
	probes    int // since the last response that was not slow
	usedAt    time.Time
}

// New returns an empty history.
func New() *History { return &History{states: make(map[string]*state)} }

// Begin records the start of an attempt. The end of each attempt is recorded with Answered, Canceled or Failed.
func (h *History) Begin(upstream string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.states[upstream]
	if s == nil {
		h.sweep(now)
		s = &state{}
		h.states[upstream] = s
	}
	s.usedAt = now
	s.starts = append(s.starts, now)
}

// Answered records the response to the attempt that began at start.
func (h *History) Answered(upstream string, start, now time.Time, tailLatency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.removeAttempt(upstream, start)
	if s == nil {
		return
	}
	latency := now.Sub(start)
	if latency >= slowFactor*tailLatency {
		s.recordMiss(start, now)
		s.raiseLatency(latency, now)
		return
	}
	if s.misses > 0 || s.latency == 0 {
		s.latency = latency
	}
	s.misses, s.probes = 0, 0
	s.latency += time.Duration(sampleWeight * float64(latency-s.latency))
	s.sampledAt = now
}

// Canceled records that the attempt was canceled before its response arrived. This counts as a miss only if the attempt ran
// for at least tailLatency; before that, the upstream may have been as fast as usual.
func (h *History) Canceled(upstream string, start, now time.Time, tailLatency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.removeAttempt(upstream, start)
	if s == nil || now.Sub(start) < tailLatency {
		return
	}
	s.recordMiss(start, now)
	s.raiseLatency(canceledFactor*now.Sub(start), now)
}

// Failed records a failed attempt. isUpstreamFault reports whether the upstream or the network path to it is the cause, which is
// not so if the upstream shed the attempt.
func (h *History) Failed(upstream string, start, now time.Time, isUpstreamFault bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.removeAttempt(upstream, start); s != nil && isUpstreamFault {
		s.recordMiss(start, now)
	}
}

// Get returns the record of the upstream at now, which is the zero Record for an unknown upstream.
func (h *History) Get(upstream string, now time.Time) Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.states[upstream]
	if s == nil {
		return Record{}
	}
	rec := Record{InFlight: len(s.starts), Latency: s.latency, SampleAge: now.Sub(s.sampledAt), Misses: s.misses}
	if len(s.starts) > 0 {
		rec.OldestAge = now.Sub(s.starts[0])
	}
	return rec
}

// TakeProbe reports whether a suspect upstream may be probed at now, and if so records the probe. The delay between probes
// grows from 100 ms to 16 s with each miss and each probe that did not get a response in time.
func (h *History) TakeProbe(upstream string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.states[upstream]
	if s == nil || !s.isProbeDue(now) {
		return false
	}
	s.probedAt = now
	s.probes++
	return true
}

// IsProbeDue reports whether TakeProbe would permit a probe at now.
func (h *History) IsProbeDue(upstream string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.states[upstream]
	return s != nil && s.isProbeDue(now)
}

func (s *state) isProbeDue(now time.Time) bool {
	delay := initialProbeDelay
	for range min(max(s.misses-1, s.probes), maxProbeBackoffs) {
		delay = min(probeBackoffFactor*delay, maxProbeDelay)
	}
	return now.Sub(s.missedAt) >= delay && now.Sub(s.probedAt) >= delay
}

// Len returns the number of upstreams that the history holds.
func (h *History) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.states)
}

// removeAttempt removes the attempt from those in flight and returns the state of its upstream, or nil if there is none.
func (h *History) removeAttempt(upstream string, start time.Time) *state {
	s := h.states[upstream]
	if s == nil {
		return nil
	}
	for i, t := range s.starts {
		if t.Equal(start) {
			s.starts = append(s.starts[:i], s.starts[i+1:]...)
			break
		}
	}
	return s
}

// recordMiss counts attempts that were in flight at the same time as one miss, since one pause or loss affects them all.
func (s *state) recordMiss(start, now time.Time) {
	if s.misses == 0 || start.After(s.missedAt) {
		s.misses++
	}
	s.missedAt = now
}

// raiseLatency sets the latency to atLeast if it is lower, as a sample taken at now.
func (s *state) raiseLatency(atLeast time.Duration, now time.Time) {
	s.latency = max(s.latency, atLeast)
	s.sampledAt = now
}

// sweep removes, at every 1024th insertion, the upstreams that have no attempt in flight and were not used for a minute.
func (h *History) sweep(now time.Time) {
	h.insertions++
	if h.insertions%sweepInterval != 0 {
		return
	}
	for name, s := range h.states {
		if len(s.starts) == 0 && now.Sub(s.usedAt) > retention {
			delete(h.states, name)
		}
	}
}
