// Package split distributes the requests of a route among its destination services by weight.
//
// It uses the smooth weighted round robin of nginx: for each request the credit of every service grows by its weight; the service
// with the highest credit is chosen, and the sum of all weights is subtracted from its credit. Any sequence of requests deviates
// from the weights by less than one request per service.
package split

import (
	"sync"

	"crocuswing/internal/routing/route"
)

// Splitter keeps the credits of each route's services and chooses the service of each request. It is safe for concurrent use.
type Splitter struct {
	mu      sync.Mutex
	credits map[string]map[string]float64 // by route and service
}

// New returns a Splitter without credits.
func New() *Splitter { return &Splitter{credits: make(map[string]map[string]float64)} }

// Next returns the service for the next request of the route, or "" if the route has no destination.
func (s *Splitter) Next(r *route.Route) string {
	if len(r.Destinations) == 1 {
		return r.Destinations[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credits := s.credits[r.Name]
	if credits == nil {
		credits = make(map[string]float64, len(r.Destinations))
		s.credits[r.Name] = credits
	}
	best, total := "", 0.0
	for _, d := range r.Destinations {
		if d.Weight <= 0 {
			continue
		}
		total += d.Weight
		credits[d.Service] += d.Weight
		if best == "" || credits[d.Service] > credits[best] {
			best = d.Service
		}
	}
	if best != "" {
		credits[best] -= total
	}
	return best
}
