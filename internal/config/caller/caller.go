// Package caller describes a caller that may use the system.
package caller

import "errors"

// Caller is one caller, known by its key.
type Caller struct {
	Name string `json:"name"`
	// Key is sent by the caller with each request.
	Key   string `json:"key"`
	Class string `json:"class"`
}

// Check refuses a caller that lacks a part.
func (c Caller) Check() error {
	if c.Name == "" || c.Key == "" || c.Class == "" {
		return errors.New("name, key and class are required")
	}
	return nil
}

// PublishedName is the name under which the value is published, after its kind.
func (c Caller) PublishedName() string { return c.Name }
