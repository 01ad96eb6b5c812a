// Package limiter bounds the work that an instance has begun, so that it refuses some requests before it fails all.
//
// Requests of a lower rank are refused first, as in load shedding by criticality: Beyer et al., "Site Reliability Engineering",
// chapter 21, O'Reilly 2016.
package limiter

import "sync"

const (
	// step is the part of the bound that requests of each rank leave to those above them.
	step = 0.1
	// leastShare of the bound is open to every rank.
	leastShare = 0.5
)

// Limiter counts units of work. It is safe for concurrent use.
type Limiter struct {
	mu   sync.Mutex
	most int
	used int
}

// New makes a limiter of most units; 0 for no bound.
func New(most int) *Limiter { return &Limiter{most: most} }

// SetLimit changes the bound. Work that has begun goes on.
func (c *Limiter) SetLimit(most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.most = most
}

// Acquire begins units of work for a request of a rank, 0 being the highest, and reports whether it may. An instance without work takes
// any request.
func (c *Limiter) Acquire(units, rank int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	share := max(leastShare, 1-step*float64(max(0, rank)))
	if c.most > 0 && c.used > 0 && float64(c.used+units) > share*float64(c.most) {
		return false
	}
	c.used += units
	return true
}

// Release ends units of work.
func (c *Limiter) Release(units int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used -= units
}

// Used is the number of units that have begun.
func (c *Limiter) Used() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used
}
