// Package answer defines the answer to one search or lookup, as it is returned to the caller.
package answer

import "crocuswing/internal/query/coverage"

// Answer is the merged result of one query. All rows come from one snapshot, under one revision of the configuration.
type Answer struct {
	RequestID string            `json:"request-id"`
	Revision  uint64            `json:"revision"`
	Snapshot  string            `json:"snapshot"`
	Coverage  coverage.Coverage `json:"coverage"`
	Rows      []string          `json:"rows"`
}
