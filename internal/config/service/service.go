// Package service describes a configured service: its kind, the contract of its upstreams and the snapshots they serve.
package service

import (
	"errors"
	"fmt"

	"crocuswing/internal/index/layout"
	"crocuswing/internal/upstream/contract"
)

// Kinds of service.
const (
	// KindSearch is a service of searches and lookups, which are idempotent.
	KindSearch = "search"
	// KindOrder is a service of orders, which are not idempotent.
	KindOrder = "order"
)

// Service is a set of upstreams that serve one index or execute one kind of order.
type Service struct {
	Name     string            `json:"name"`
	Kind     string            `json:"kind"`
	Contract contract.Contract `json:"contract"`
	// Layouts lists the snapshots that upstreams serve, newest first.
	Layouts []layout.Layout `json:"layouts"`
}

// Current returns the layout of the newest snapshot.
func (s Service) Current() layout.Layout {
	return s.Layouts[0]
}

// Check returns an error if the service is incomplete or invalid.
func (s Service) Check() error {
	if s.Name == "" {
		return errors.New("name is missing")
	}
	if s.Kind != KindSearch && s.Kind != KindOrder {
		return fmt.Errorf("kind is %q, want %q or %q", s.Kind, KindSearch, KindOrder)
	}
	if err := s.Contract.Check(); err != nil {
		return fmt.Errorf("contract: %w", err)
	}
	if len(s.Layouts) == 0 {
		return errors.New("layouts is empty")
	}
	for _, l := range s.Layouts {
		if err := l.Check(); err != nil {
			return err
		}
	}
	return nil
}

// PublishedName returns the name under which the value is published, without the prefix of its kind.
func (s Service) PublishedName() string { return s.Name }
