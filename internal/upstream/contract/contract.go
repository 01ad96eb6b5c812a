// Package contract states what one upstream can bear.
package contract

import (
	"errors"
	"fmt"
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
	return nil
}
