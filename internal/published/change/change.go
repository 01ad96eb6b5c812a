// Package change describes the changes that a read of the platform's store, or of another instance, returns. The client of the store
// decodes them, and the follower applies them to the published state.
package change

import (
	"fmt"
	"time"

	"crocuswing/internal/published/registration"
	"crocuswing/internal/routing/table"
)

// Kind is the subject of a change.
type Kind int

// Kinds of change.
const (
	// KindUpstream is a registration that was added, changed or removed.
	KindUpstream Kind = iota
	// KindTable is a new routing table.
	KindTable
	// KindDomain is a failure domain that was excluded or readmitted.
	KindDomain
)

// Item is one key of the store as it was written or removed. Instances relay items to each other unchanged.
type Item struct {
	Key     string `msgpack:"k"`
	Value   []byte `msgpack:"v,omitempty"`
	Removed bool   `msgpack:"r,omitempty"`
}

// Change is an item with its decoded value.
type Change struct {
	Item
	Kind Kind
	// Name is the name of the upstream or failure domain.
	Name string
	// Registration is set for KindUpstream, unless the item was removed or Err is set.
	Registration *registration.Registration
	// Table is set for KindTable, unless the item was removed or Err is set.
	Table *table.Table
	// Err is the reason why the value cannot be decoded.
	Err error
}

// Batch is the result of one read.
type Batch struct {
	// Full reports that Changes lists all existing items, so that unlisted items do not exist.
	Full bool
	// Revision is the revision of the store.
	Revision int64
	Changes  []Change
	// Relayed reports that another instance answered. It does so only when it has changes or when the poll has timed out, so the
	// next read need not wait for the polling interval.
	Relayed bool
	// Age is the time since the store confirmed the content of the batch.
	Age time.Duration
}

// CompactedError reports that the store no longer holds the changes after a revision.
type CompactedError struct{ Revision int64 }

// Error implements the error interface.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("history after revision %d is compacted", e.Revision)
}
