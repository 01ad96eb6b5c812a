// Package route describes one routing rule: which services handle the requests of a host and path prefix, and how many attempts
// and how much time a request may use.
package route

import (
	"slices"
	"time"
)

// Route is one rule of the routing table. It is immutable.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// NonIdempotent reports that a request must not be executed more than once.
	NonIdempotent bool
	// MaxAttempts is the maximum number of upstreams of each service to which a request may be sent.
	MaxAttempts int
	// Rank orders routes by importance; 0 is the highest.
	Rank int
	// Timeout is the maximum time until a request is answered.
	Timeout time.Duration
	// Objective is the latency target; a later answer is worth less.
	Objective time.Duration
	// Destinations are the services among which requests are split by weight. A plain route has one.
	Destinations []Destination
	// Shards are the services that each receive a subrequest for their part of a merged answer. It is empty if Destinations is set.
	Shards []string
	// TopK is the number of records in a merged answer.
	TopK int
	// MinShare is the minimum share of the shards that a successful merged answer needs.
	MinShare float64
	// Regions are the regions in which requests may be handled; if empty, all regions are allowed.
	Regions []string
	// IsPublic reports whether requests need no key although the configuration has workspaces.
	IsPublic bool

	isExcluded bool // no region is allowed
}

// Destination is a service with its weight.
type Destination struct {
	Service string
	Weight  float64
}

// IsGather reports whether a request is sent to all shards and its answer is merged.
func (r Route) IsGather() bool { return len(r.Shards) > 0 }

// Allows reports whether requests may be handled in the region.
func (r Route) Allows(region string) bool {
	return !r.isExcluded && (len(r.Regions) == 0 || slices.Contains(r.Regions, region))
}

// WithRank returns the route with another rank.
func (r Route) WithRank(rank int) Route {
	r.Rank = rank
	return r
}

// WithRegions returns the route limited to those of its regions that are among the given ones. If there are none in common, it allows
// no region.
func (r Route) WithRegions(regions []string) Route {
	var common []string
	for _, region := range regions {
		if r.Allows(region) {
			common = append(common, region)
		}
	}
	r.Regions, r.isExcluded = common, len(common) == 0
	return r
}

// MinParts returns the minimum number of parts that a successful merged answer needs.
func (r Route) MinParts() int {
	// The tolerance prevents floating-point rounding errors from requiring one part too many.
	const tolerance = 1e-9
	parts := 1
	for float64(parts) < r.MinShare*float64(len(r.Shards))-tolerance {
		parts++
	}
	return parts
}
