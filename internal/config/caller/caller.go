// Package caller describes a caller as it is configured: its key and the class that sets its limits.
package caller

import "errors"

// Caller is one caller, identified by its key.
type Caller struct {
	Name string `json:"name"`
	// Key authenticates the caller; it is sent with each request.
	Key   string `json:"key"`
	Class string `json:"class"`
}

// Check returns an error if a field is empty.
func (c Caller) Check() error {
	if c.Name == "" || c.Key == "" || c.Class == "" {
		return errors.New("name, key and class are required")
	}
	return nil
}

// PublishedName returns the name under which the value is published, without the prefix of its kind.
func (c Caller) PublishedName() string { return c.Name }
