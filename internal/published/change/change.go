// Package change describes the changes that a read of the platform's store, or of another instance, returns. The client of the store
// decodes them, and the follower applies them to the published state.
package change

import (
	"cmp"
	"errors"
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

// Position is a point in the history of the store. The store counts an era each time it comes back from an older copy of itself; revisions
// are then given out again, so that they have an order only within an era. The zero Position precedes all others.
type Position struct {
	// Era is at least 1, and 0 if the store does not state it.
	Era, Revision int64
}

// Compare returns a negative number if p precedes o, 0 if they are equal, and a positive number otherwise.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}

// Batch is the result of one read.
type Batch struct {
	// Full reports that Changes lists all existing items, so that unlisted items do not exist.
	Full bool
	Position
	Changes []Change
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

// NeedsListing reports whether err says that the changes after a position are not available, so that everything has to be read.
func NeedsListing(err error) bool {
	var compacted *CompactedError
	var era *EraError
	return errors.As(err, &compacted) || (errors.As(err, &era) && era.IsNewer())
}

// EraError reports an answer of another era than the known one.
type EraError struct{ Known, Got int64 }

// Error implements the error interface.
func (e *EraError) Error() string {
	return fmt.Sprintf("answer is of era %d of the store, want %d", e.Got, e.Known)
}

// IsNewer reports whether the answer is of a later era, so that everything has to be read anew. Otherwise it is late or of a store that is
// behind, and useless.
func (e *EraError) IsNewer() bool { return e.Got > e.Known }
