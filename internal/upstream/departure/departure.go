// Package departure remembers which incarnations of upstreams have announced in a response that they are leaving.
//
// An announcement holds for the rest of the incarnation, whatever its registration says and whether or not the registration lapses
// and returns. The catalog keeps one Register; the clusters ask it before each attempt.
package departure

import (
	"sync"
	"sync/atomic"
	"time"
)

// retention is how long the announcement of an upstream without a registration is remembered. It exceeds the time that an upstream
// keeps running after its announcement.
const retention = time.Hour

// Departure records whether one incarnation of an upstream is leaving. It is safe for concurrent use.
type Departure struct {
	announced atomic.Pointer[time.Time]
}

// Announce records an announcement at now and reports whether it is the first one. Only that counts.
func (d *Departure) Announce(now time.Time) (isFirst bool) {
	return d.announced.CompareAndSwap(nil, &now)
}

// Announced returns the time of the first announcement, and false if there was none.
func (d *Departure) Announced() (time.Time, bool) {
	at := d.announced.Load()
	if at == nil {
		return time.Time{}, false
	}
	return *at, true
}

// Register holds the departures of all upstreams by name. It is safe for concurrent use.
type Register struct {
	mu      sync.Mutex
	entries map[string]entry
}

// entry is the departure of the newest incarnation of an upstream.
type entry struct {
	incarnation int64
	departure   *Departure
	releasedAt  time.Time // zero while the upstream is registered
}

// New returns an empty Register.
func New() *Register { return &Register{entries: make(map[string]entry)} }

// Open returns the departure of an incarnation that is registered. It is the same one until another incarnation is opened.
func (r *Register) Open(upstream string, incarnation int64) *Departure {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[upstream]
	if !ok || e.incarnation != incarnation {
		e = entry{incarnation: incarnation, departure: new(Departure)}
	}
	e.releasedAt = time.Time{}
	r.entries[upstream] = e
	return e.departure
}

// Release records that the upstream is no longer registered. Its announcement, if there was one, is kept for the retention time, since
// the same incarnation may register again.
func (r *Register) Release(upstream string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.entries[upstream]; ok {
		e.releasedAt = now
		r.entries[upstream] = e
	}
	for name, e := range r.entries {
		if e.isExpired(now) {
			delete(r.entries, name)
		}
	}
}

// isExpired reports whether the entry holds nothing that has to be remembered.
func (e entry) isExpired(now time.Time) bool {
	if e.releasedAt.IsZero() {
		return false
	}
	_, announced := e.departure.Announced()
	return !announced || now.Sub(e.releasedAt) > retention
}

// Announce records an announcement of an upstream that need not be the one to which the request was addressed. It has no effect
// for an unknown upstream.
func (r *Register) Announce(upstream string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.entries[upstream]; ok {
		e.departure.Announce(now)
	}
}
