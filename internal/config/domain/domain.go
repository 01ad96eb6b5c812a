// Package domain describes a failure domain and whether operators have excluded it from routing.
package domain

import "errors"

// Domain is one failure domain.
type Domain struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// Excluded stops all new work for upstreams in the domain.
	Excluded bool `json:"out"`
}

// Check returns an error if the name or region is empty.
func (d Domain) Check() error {
	if d.Name == "" || d.Region == "" {
		return errors.New("name and region are required")
	}
	return nil
}

// PublishedName returns the name under which the value is published, without the prefix of its kind.
func (d Domain) PublishedName() string { return d.Name }
