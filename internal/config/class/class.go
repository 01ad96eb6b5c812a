// Package class describes a class of callers and the admission limits that apply to them.
package class

import (
	"errors"
	"fmt"
	"time"
)

const (
	defaultQueueTimeout = 50 * time.Millisecond
	maxQueueMS          = 10_000
	maxWeight           = 1000
)

// Class limits the requests of its callers that may be in flight on one instance.
type Class struct {
	Name string `json:"name"`
	// Concurrency is the maximum number of requests in flight of one caller. As many more may be coalesced with identical
	// requests.
	Concurrency int `json:"concurrency"`
	// Cost is the maximum number of shards used by the requests in flight of one caller.
	Cost int `json:"cost"`
	// Capacity is the maximum number of shards used by the requests in flight of all callers of the class together; 0 means Cost, so
	// that a single caller may use all of it.
	Capacity int `json:"capacity,omitempty"`
	// Weight is a caller's share of the capacity relative to the other callers; 0 means 1.
	Weight int `json:"weight,omitempty"`
	// Queue is the maximum number of queued requests of one caller; 0 means Concurrency.
	Queue int `json:"queue,omitempty"`
	// QueueMS is the maximum time a request may be queued, in milliseconds; 0 means 50.
	QueueMS int `json:"queue-ms,omitempty"`
}

// SharedCapacity returns the capacity that the callers of the class share.
func (c Class) SharedCapacity() int {
	if c.Capacity == 0 {
		return c.Cost
	}
	return c.Capacity
}

// EffectiveWeight returns a caller's weight, with the default applied.
func (c Class) EffectiveWeight() int { return max(1, c.Weight) }

// QueueLimit returns the maximum number of queued requests of one caller.
func (c Class) QueueLimit() int {
	if c.Queue == 0 {
		return c.Concurrency
	}
	return c.Queue
}

// QueueTimeout returns the maximum time a request may be queued.
func (c Class) QueueTimeout() time.Duration {
	if c.QueueMS == 0 {
		return defaultQueueTimeout
	}
	return time.Duration(c.QueueMS) * time.Millisecond
}

// Check returns an error if a value is missing or out of range.
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

// PublishedName returns the name under which the value is published, without the prefix of its kind.
func (c Class) PublishedName() string { return c.Name }
