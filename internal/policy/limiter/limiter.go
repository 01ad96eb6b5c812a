// Package limiter limits the work in progress on an instance, so that under overload it refuses some requests instead of failing all.
// The forwarding runner acquires a unit for each subrequest of a request before it sends any of them.
//
// Requests of lower importance are refused first, as in load shedding by criticality: Beyer et al., "Site Reliability Engineering",
// chapter 21, O'Reilly 2016.
package limiter

import "sync"

const (
	// rankShare is the share of the limit that each rank leaves to the ranks above it.
	rankShare = 0.1
	// minShare is the share of the limit that is available to every rank.
	minShare = 0.5
)

// Limiter limits the units of work in progress. It is safe for concurrent use.
type Limiter struct {
	mu    sync.Mutex
	limit int
	used  int
}

// New returns a Limiter with the given limit; 0 means no limit.
func New(limit int) *Limiter { return &Limiter{limit: limit} }

// SetLimit changes the limit. Work in progress is not affected.
func (l *Limiter) SetLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
}

// Limit returns the limit; 0 means no limit.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit
}

// Acquire adds units of work for a request if the limit for its rank permits, and reports whether it did. Rank 0 is the most important.
// Without work in progress any request is accepted, even one above the limit.
func (l *Limiter) Acquire(units, rank int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.fits(units, rank) {
		return false
	}
	l.used += units
	return true
}

// Fits reports whether Acquire would accept the units of work now.
func (l *Limiter) Fits(units, rank int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fits(units, rank)
}

func (l *Limiter) fits(units, rank int) bool {
	share := max(minShare, 1-rankShare*float64(max(0, rank)))
	return l.limit <= 0 || l.used <= 0 || float64(l.used+units) <= share*float64(l.limit)
}

// Release returns units of work that Acquire added.
func (l *Limiter) Release(units int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used -= units
}

// Used returns the units of work in progress.
func (l *Limiter) Used() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}
