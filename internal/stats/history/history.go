// Package history remembers how fast each upstream answered this instance.
//
// Attempts in flight and attempts that were cut off count too: an attempt that has not answered
// for some time is evidence that its upstream is at least that slow.
package history

import (
	"sync"
	"time"
)

const (
	weight        = 0.2 // of the newest sample in the mean latency
	slowFactor    = 2   // a slow answer took this many times the usual longest time
	stuckFactor   = 4   // an attempt in flight is stuck after this many times the usual longest time
	residual      = 2   // an attempt that was cut off would have taken about twice its time so far
	failingMisses = 3   // consecutive misses after which an upstream gets no hedges
	firstProbe    = 100 * time.Millisecond
	probeGrowth   = 4 // factor by which the wait for the next probe grows with each miss
	mostGrowth    = 4 // steps from the first to the longest wait
	longestProbe  = 16 * time.Second
	sweepEvery    = 1024
	forgetAfter   = time.Minute
)

// Record is what is known of one upstream at one moment.
type Record struct {
	// InFlight is the number of attempts in flight.
	InFlight int
	// OldestAge is the age of the oldest attempt in flight.
	OldestAge time.Duration
	// Latency is the weighted mean of recent times; 0 if there are none.
	Latency time.Duration
	// SampleAge is the time since the last sample.
	SampleAge time.Duration
	// Misses is the number of consecutive slow, lost or failed attempts.
	Misses int
}

// IsSuspect tells whether the upstream should get no ordinary first attempts, only probes. usual is the
// time in which nearly all attempts of its service are answered.
func (r Record) IsSuspect(usual time.Duration) bool {
	return r.Misses > 0 || r.isStuck(usual)
}

// IsFailing tells whether the upstream should get no hedges either.
func (r Record) IsFailing(usual time.Duration) bool {
	return r.Misses >= failingMisses || r.isStuck(usual)
}

func (r Record) isStuck(usual time.Duration) bool { return r.OldestAge > stuckFactor*usual }

// History holds the records of all upstreams in use. It is safe for concurrent use.
type History struct {
	mu      sync.Mutex
	records map[string]*record
	added   int
}

type record struct {
	starts  []time.Time // of the attempts in flight, oldest first
	latency time.Duration
	sampled time.Time
	misses  int
	missed  time.Time
	probed  time.Time
	probes  int // since the last good answer
	used    time.Time
}

// New makes an empty history.
func New() *History { return &History{records: make(map[string]*record)} }

// Begin records the start of an attempt. Each attempt ends with Answered, Canceled or Failed.
func (h *History) Begin(upstream string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.records[upstream]
	if r == nil {
		h.sweep(now)
		r = &record{}
		h.records[upstream] = r
	}
	r.used = now
	r.starts = append(r.starts, now)
}

// Answered records an answer to the attempt that began at start.
func (h *History) Answered(upstream string, start, now time.Time, usual time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.end(upstream, start)
	if r == nil {
		return
	}
	took := now.Sub(start)
	if took >= slowFactor*usual {
		r.miss(start, now)
		r.raise(took, now)
		return
	}
	if r.misses > 0 || r.latency == 0 {
		r.latency = took
	}
	r.misses, r.probes = 0, 0
	r.latency += time.Duration(weight * float64(took-r.latency))
	r.sampled = now
}

// Canceled records that the attempt was withdrawn before its answer came. It tells something only if the
// upstream had its usual time.
func (h *History) Canceled(upstream string, start, now time.Time, usual time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.end(upstream, start)
	if r == nil || now.Sub(start) < usual {
		return
	}
	r.miss(start, now)
	r.raise(residual*now.Sub(start), now)
}

// Failed records a failed attempt; blame tells that the upstream or the way to it is at fault.
func (h *History) Failed(upstream string, start, now time.Time, blame bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.end(upstream, start); r != nil && blame {
		r.miss(start, now)
	}
}

// Get gives what is known of the upstream at now.
func (h *History) Get(upstream string, now time.Time) Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.records[upstream]
	if r == nil {
		return Record{}
	}
	known := Record{InFlight: len(r.starts), Latency: r.latency, SampleAge: now.Sub(r.sampled), Misses: r.misses}
	if len(r.starts) > 0 {
		known.OldestAge = now.Sub(r.starts[0])
	}
	return known
}

// TakeProbe reports whether a suspect upstream may be tried again at now, and counts that as done.
// The wait grows with each miss and each probe without a good answer, from 100 ms to 16 s.
func (h *History) TakeProbe(upstream string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.records[upstream]
	if r == nil {
		return false
	}
	wait := firstProbe
	for range min(max(r.misses-1, r.probes), mostGrowth) {
		wait = min(probeGrowth*wait, longestProbe)
	}
	if now.Sub(r.missed) < wait || now.Sub(r.probed) < wait {
		return false
	}
	r.probed = now
	r.probes++
	return true
}

// Len is the number of upstreams on record.
func (h *History) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.records)
}

// end removes the attempt from those in flight.
func (h *History) end(upstream string, start time.Time) *record {
	r := h.records[upstream]
	if r == nil {
		return nil
	}
	for i, s := range r.starts {
		if s.Equal(start) {
			r.starts = append(r.starts[:i], r.starts[i+1:]...)
			break
		}
	}
	return r
}

// miss counts attempts that were in flight together once: they tell of the same pause or loss.
func (r *record) miss(start, now time.Time) {
	if r.misses == 0 || start.After(r.missed) {
		r.misses++
	}
	r.missed = now
}

func (r *record) raise(atLeast time.Duration, now time.Time) {
	r.latency = max(r.latency, atLeast)
	r.sampled = now
}

// sweep forgets the upstreams that were not used for a minute, once every 1024 new ones.
func (h *History) sweep(now time.Time) {
	h.added++
	if h.added%sweepEvery != 0 {
		return
	}
	for name, r := range h.records {
		if len(r.starts) == 0 && now.Sub(r.used) > forgetAfter {
			delete(h.records, name)
		}
	}
}
