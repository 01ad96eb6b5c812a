// Package workspace describes one workspace as it is configured: what its requests may use, and how often.
package workspace

import "crocuswing/internal/routing/route"

// Workspace is a group of callers that share keys and a quota. It is immutable.
type Workspace struct {
	Name string
	// Rank takes precedence over the rank of a route; nil leaves that in force.
	Rank *int
	// Regions are the regions in which requests may be handled, besides the limits of the route; if empty, all regions are allowed.
	Regions []string
	Quota
}

// Quota limits the requests of a workspace that run on all instances together.
type Quota struct {
	// Rate is the number of requests per second; 0 means no limit.
	Rate float64
	// Burst is the number of requests that may exceed the rate at once.
	Burst float64
}

// IsLimited reports whether there is a limit.
func (q Quota) IsLimited() bool { return q.Rate > 0 }

// Restrict returns the route as it applies to the requests of the workspace.
func (w *Workspace) Restrict(r *route.Route) *route.Route {
	if w.Rank == nil && len(w.Regions) == 0 {
		return r
	}
	restricted := *r
	if w.Rank != nil {
		restricted = restricted.WithRank(*w.Rank)
	}
	if len(w.Regions) > 0 {
		restricted = restricted.WithRegions(w.Regions)
	}
	return &restricted
}
