// Package domain describes a failure domain and whether operators have taken it out.
package domain

import "errors"

// Domain is one failure domain.
type Domain struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// Excluded forbids all new work to the domain.
	Excluded bool `json:"out"`
}

// Check refuses a domain without name or region.
func (d Domain) Check() error {
	if d.Name == "" || d.Region == "" {
		return errors.New("name and region are required")
	}
	return nil
}

// PublishedName is the name under which the value is published, after its kind.
func (d Domain) PublishedName() string { return d.Name }
