// Package acceptor decides which configuration comes into force and keeps it there.
package acceptor

import (
	"fmt"
	"sync"

	"crocuswing/internal/config/set"
)

// Acceptor holds the configuration in force. It is safe for concurrent use.
type Acceptor struct {
	mu      sync.Mutex
	current set.Set
}

// StaleError refuses a revision below the one in force.
type StaleError struct{ Offered, InForce uint64 }

// Error gives both revisions.
func (e *StaleError) Error() string {
	return fmt.Sprintf("revision %d is below revision %d in force", e.Offered, e.InForce)
}

// ConflictError refuses other content under the revision in force.
type ConflictError struct{ Revision uint64 }

// Error gives the revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d is in force with other content", e.Revision)
}

// Current is the set in force; its revision is 0 before the first acceptance.
func (a *Acceptor) Current() set.Set {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current
}

// Check tells whether a revision with a digest may follow the set in force. It fails with *StaleError or *ConflictError.
func Check(inForce set.Set, revision uint64, digest string) error {
	switch {
	case revision < inForce.Revision():
		return &StaleError{Offered: revision, InForce: inForce.Revision()}
	case revision == inForce.Revision() && digest != inForce.Digest():
		return &ConflictError{Revision: revision}
	}
	return nil
}

// Accept brings s into force if its revision is higher and reports whether it did.
// It fails with *StaleError or *ConflictError; the set in force then stays.
func (a *Acceptor) Accept(s set.Set) (bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := Check(a.current, s.Revision(), s.Digest()); err != nil {
		return false, err
	}
	isNew := s.Revision() > a.current.Revision()
	a.current = s
	return isNew, nil
}
