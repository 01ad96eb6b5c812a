// Package answer holds the answer to one search or lookup.
package answer

import "crocuswing/internal/query/coverage"

// Answer is drawn from one snapshot under one revision of the configuration.
type Answer struct {
	RequestID string            `json:"request-id"`
	Revision  uint64            `json:"revision"`
	Snapshot  string            `json:"snapshot"`
	Coverage  coverage.Coverage `json:"coverage"`
	Rows      []string          `json:"rows"`
}
