// Package contract states what one upstream can bear and how that is shared among its homes.
package contract

import (
	"errors"
	"fmt"
)

const (
	// MaxHomes is the highest number of homes of one upstream.
	MaxHomes = 16

	// disagreeingViews is the number of different views of the fleet under which the sum of all
	// shares of connections stays within the limit.
	disagreeingViews = 2
	// leastConnections is the least share of a home: one connection for work, one for replacement.
	leastConnections = 2
	// homesPerSlot lets a slot be used by the home that has work for it, at the price of a short
	// queue in the upstream.
	homesPerSlot = 2
)

// Contract bounds the work on each upstream of a service, summed over all instances.
type Contract struct {
	// Slots is the number of requests that the upstream runs at once.
	Slots int `json:"slots"`
	// Connections is the highest number of open connections.
	Connections int `json:"connections"`
	// ColdSlots is the number of requests in flight that it bears in a cold start.
	ColdSlots int `json:"cold-slots"`
	// WarmAfter is the number of successes after which it is warm.
	WarmAfter int `json:"warm-after"`
	// Homes is the number of instances that keep connections to it; 0 derives it from the above.
	Homes int `json:"homes,omitempty"`
}

// Check refuses values out of range.
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
	if most := min(MaxHomes, c.Connections/disagreeingViews); c.Homes < 0 || c.Homes > most {
		return fmt.Errorf("homes is %d, want 0 to %d", c.Homes, most)
	}
	return nil
}

// HomeCount is the number of homes among the given number of instances, at least 1.
func (c Contract) HomeCount(instances int) int {
	most := c.Homes
	if most == 0 {
		most = min(c.Connections/(disagreeingViews*leastConnections), homesPerSlot*c.Slots, MaxHomes)
	}
	return max(1, min(most, instances))
}

// ConnectionShare is the number of connections of each of the homes. While two views of the fleet
// are in use, the sum over all their homes is at most Connections.
func (c Contract) ConnectionShare(homes int) int {
	return max(1, c.Connections/(disagreeingViews*max(1, homes)))
}

// SlotShare is the number of requests in flight that the home of the given rank may have once the
// upstream is warm. The sum over the homes of one view is at most the larger of Slots and homes.
func (c Contract) SlotShare(rank, homes int) int {
	homes = max(1, homes)
	share := c.Slots / homes
	if rank < c.Slots%homes {
		share++
	}
	working := c.ConnectionShare(homes) - 1 // one is held back for replacement
	return max(1, min(share, working))
}
