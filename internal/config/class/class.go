// Package class describes a class of callers and its limits.
package class

import (
	"errors"
	"fmt"
	"time"
)

const (
	defaultWait = 50 * time.Millisecond
	maxQueueMS  = 10_000
	maxWeight   = 1000
)

// Class bounds what its callers may have in flight on one instance.
type Class struct {
	Name string `json:"name"`
	// Concurrency is the highest number of requests in flight of one caller. As many again may share
	// the execution of an identical one.
	Concurrency int `json:"concurrency"`
	// Cost is the highest number of shards touched by the requests in flight of one caller.
	Cost int `json:"cost"`
	// Capacity is the highest number of shards touched by the requests in flight of all callers
	// of the class together; 0 means Cost, so that a lone caller may use it all.
	Capacity int `json:"capacity,omitempty"`
	// Weight is a caller's part of the capacity in proportion to the other callers; 0 means 1.
	Weight int `json:"weight,omitempty"`
	// Queue is the highest number of waiting requests of one caller; 0 means Concurrency.
	Queue int `json:"queue,omitempty"`
	// QueueMS is the longest wait of a request in milliseconds; 0 means 50.
	QueueMS int `json:"queue-ms,omitempty"`
}

// SharedCapacity is the capacity that the callers of the class share.
func (c Class) SharedCapacity() int {
	if c.Capacity == 0 {
		return c.Cost
	}
	return c.Capacity
}

// EffectiveWeight is a caller's weight.
func (c Class) EffectiveWeight() int { return max(1, c.Weight) }

// QueueLimit is the highest number of waiting requests of one caller.
func (c Class) QueueLimit() int {
	if c.Queue == 0 {
		return c.Concurrency
	}
	return c.Queue
}

// QueueTimeout is the longest wait of a request.
func (c Class) QueueTimeout() time.Duration {
	if c.QueueMS == 0 {
		return defaultWait
	}
	return time.Duration(c.QueueMS) * time.Millisecond
}

// Check refuses values out of range.
func (c Class) Check() error {
	if c.Name == "" {
		return errors.New("name is missing")
	}
	if c.Concurrency < 1 || c.Cost < 1 {
		return fmt.Errorf("concurrency is %d and cost is %d, want at least 1 each", c.Concurrency, c.Cost)
	}
	if c.Capacity < 0 || c.Queue < 0 {
		return fmt.Errorf("capacity is %d and queue is %d, want at least 0 each", c.Capacity, c.Queue)
	}
	if c.Weight < 0 || c.Weight > maxWeight {
		return fmt.Errorf("weight is %d, want 0 to %d", c.Weight, maxWeight)
	}
	if c.QueueMS < 0 || c.QueueMS > maxQueueMS {
		return fmt.Errorf("queue-ms is %d, want 0 to %d", c.QueueMS, maxQueueMS)
	}
	return nil
}

// PublishedName is the name under which the value is published, after its kind.
func (c Class) PublishedName() string { return c.Name }
