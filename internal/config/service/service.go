// Package service describes a service: its kind, its upstreams' contract and its snapshots.
package service

import (
	"errors"
	"fmt"

	"crocuswing/internal/index/layout"
	"crocuswing/internal/upstream/contract"
)

// Kinds of service.
const (
	// KindSearch answers searches and lookups, which may be repeated.
	KindSearch = "search"
	// KindOrder runs orders, which may not be repeated.
	KindOrder = "order"
)

// Service is a set of upstreams that serve one index or take one kind of order.
type Service struct {
	Name     string            `json:"name"`
	Kind     string            `json:"kind"`
	Contract contract.Contract `json:"contract"`
	// Layouts lists the snapshots that upstreams still serve, newest first.
	Layouts []layout.Layout `json:"layouts"`
}

// Current is the layout of the newest snapshot.
func (s Service) Current() layout.Layout {
	return s.Layouts[0]
}

// Check refuses a service that cannot be served.
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

// PublishedName is the name under which the value is published, after its kind.
func (s Service) PublishedName() string { return s.Name }
