// Package contract defines the capacity limits of an upstream and how its homes share them. The configuration of a service
// states the contract of its upstreams; packages directory and target apply it.
package contract

import (
	"errors"
	"fmt"
)

const (
	// MaxHomes is the maximum number of homes of an upstream.
	MaxHomes = 16

	// concurrentViews is the number of different membership views that instances may use at the same time without the sum of
	// all connection shares exceeding the limit.
	concurrentViews = 2
	// minConnections is the minimum share of a home: one connection for requests and one in reserve to replace an abandoned one.
	minConnections = 2
	// homesPerSlot allows more homes than slots, so that whichever home has requests can use a slot, at the cost of a short queue
	// in the upstream.
	homesPerSlot = 2
)

// Contract limits the load on each upstream of a service, in total over all instances.
type Contract struct {
	// Slots is the number of requests that the upstream processes concurrently.
	Slots int `json:"slots"`
	// Connections is the maximum number of open connections.
	Connections int `json:"connections"`
	// ColdSlots is the maximum number of requests in flight while the upstream is cold.
	ColdSlots int `json:"cold-slots"`
	// WarmAfter is the number of successful requests after which the upstream is warm.
	WarmAfter int `json:"warm-after"`
	// Homes is the number of instances that keep connections to the upstream; 0 derives it from the other limits.
	Homes int `json:"homes,omitempty"`
}

// Check returns an error if a value is out of range.
func (c Contract) Check() error {
	if c.Slots < 1 {
		return fmt.Errorf("slots is %d, want at least 1", c.Slots)
	}
	if c.Connections < 2 {
		return fmt.Errorf("connections is %d, want at least 2", c.Connections)
	}
	if c.ColdSlots < 1 || c.ColdSlots > c.Slots {
		return fmt.Errorf("cold-slots is %d, want 1 to slots", c.ColdSlots)
	}
	if c.WarmAfter < 1 {
		return errors.New("warm-after is less than 1")
	}
	if limit := min(MaxHomes, c.Connections/concurrentViews); c.Homes < 0 || c.Homes > limit {
		return fmt.Errorf("homes is %d, want 0 to %d", c.Homes, limit)
	}
	return nil
}

// HomeCount returns the number of homes among the given number of instances, at least 1.
func (c Contract) HomeCount(instances int) int {
	limit := c.Homes
	if limit == 0 {
		limit = min(c.Connections/(concurrentViews*minConnections), homesPerSlot*c.Slots, MaxHomes)
	}
	return max(1, min(limit, instances))
}

// ConnectionShare returns the number of connections of each home. While two membership views are in use, the sum over the homes
// of both is at most Connections.
func (c Contract) ConnectionShare(homes int) int {
	return max(1, c.Connections/(concurrentViews*max(1, homes)))
}

// SlotShare returns the number of requests that the home of the given rank may have in flight to the warm upstream. The sum over
// the homes of one view is at most the larger of Slots and homes.
func (c Contract) SlotShare(rank, homes int) int {
	homes = max(1, homes)
	share := c.Slots / homes
	if rank < c.Slots%homes {
		share++
	}
	working := c.ConnectionShare(homes) - 1 // one is held in reserve
	return max(1, min(share, working))
}
