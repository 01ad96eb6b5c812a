// Package route describes where the requests of one host and path prefix go and what they may cost.
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
	// NonIdempotent forbids that a request runs more than once.
	NonIdempotent bool
	// MaxAttempts is the highest number of upstreams to which a request may be sent, for each service.
	MaxAttempts int
	// Rank orders routes by importance, 0 being the highest.
	Rank int
	// Timeout is the longest time for which a request may be kept waiting.
	Timeout time.Duration
	// Objective is the latency within which an answer has its full value.
	Objective time.Duration
	// Destinations are the services among which requests are split by weight; one for a plain route.
	Destinations []Destination
	// Shards are the services that are all asked, each for its part. It is empty where there are Destinations.
	Shards []string
	// TopK is the number of records in a merged answer.
	TopK int
	// MinShare is the share of the shards below which a merged answer is no success.
	MinShare float64
	// Regions are those in which requests may be handled; empty for everywhere.
	Regions []string
}

// Destination is a service with its weight.
type Destination struct {
	Service string
	Weight  float64
}

// IsGather tells whether a request goes to all shards.
func (r Route) IsGather() bool { return len(r.Shards) > 0 }

// Allows tells whether requests may be handled in the region.
func (r Route) Allows(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// MinParts is the smallest number of shards with which a merged answer is a success.
func (r Route) MinParts() int {
	// The tolerance keeps binary fractions from asking for one shard too many.
	const tolerance = 1e-9
	least := 1
	for float64(least) < r.MinShare*float64(len(r.Shards))-tolerance {
		least++
	}
	return least
}
