// Package class describes a class of callers and its limits.
package class

import (
	"errors"
	"fmt"
)

// Class bounds what each of its callers may have in flight on one instance.
type Class struct {
	Name string `json:"name"`
	// Concurrency is the highest number of requests in flight of one caller.
	Concurrency int `json:"concurrency"`
	// Cost is the highest number of shards touched by the requests in flight of one caller.
	Cost int `json:"cost"`
}

// Check refuses values out of range.
func (c Class) Check() error {
	if c.Name == "" {
		return errors.New("name is missing")
	}
	if c.Concurrency < 1 || c.Cost < 1 {
		return fmt.Errorf("concurrency is %d and cost is %d, want at least 1 each", c.Concurrency, c.Cost)
	}
	return nil
}

// Title is the name under which the value is published, after its kind.
func (c Class) Title() string { return c.Name }
