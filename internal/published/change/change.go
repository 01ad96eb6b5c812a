// Package change is what the platform's store says has changed.
package change

import (
	"fmt"
	"time"

	"crocuswing/internal/published/registration"
	"crocuswing/internal/routing/table"
)

// Kind tells what a change is about.
type Kind int

// Kinds of change.
const (
	// KindUpstream is a registration that came, changed or went.
	KindUpstream Kind = iota
	// KindTable is a new routing table.
	KindTable
	// KindDomain is a failure domain that was taken out or back.
	KindDomain
)

// Item is one key of the store as it was written or removed. Instances pass items on to each other as they are.
type Item struct {
	Key     string `msgpack:"k"`
	Value   []byte `msgpack:"v,omitempty"`
	Removed bool   `msgpack:"r,omitempty"`
}

// Change is an item with its meaning.
type Change struct {
	Item
	Kind Kind
	// Name is that of the upstream or the failure domain.
	Name string
	// Registration is nil where the item is gone or Err tells why it cannot be used.
	Registration *registration.Registration
	// Table is nil where Err is set.
	Table *table.Table
	Err   error
}

// Batch is the result of one read.
type Batch struct {
	// Full tells that items which are not in Changes do not exist.
	Full bool
	// Revision is that of the store.
	Revision int64
	Changes  []Change
	// Relayed tells that another instance answered, and only when it had news or the reader had waited for its interval.
	Relayed bool
	// Age is the time since the store confirmed what the batch says.
	Age time.Duration
	// GracePeriod is how long upstreams may still need to register again, since the store was away.
	GracePeriod time.Duration
}

// CompactedError tells that the history after a revision is no longer there.
type CompactedError struct{ Revision int64 }

// Error names the revision.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("history after revision %d is compacted", e.Revision)
}
