// Package acceptor decides whether a received configuration revision replaces the one in force. It never goes back to a lower
// revision.
package acceptor

import (
	"fmt"
	"sync"

	"crocuswing/internal/config/set"
)

// Acceptor holds the configuration in force and accepts newer ones. It is safe for concurrent use.
type Acceptor struct {
	mu      sync.Mutex
	current set.Set
}

// StaleError reports that the offered revision is lower than the one in force.
type StaleError struct{ Offered, InForce uint64 }

// Error implements the error interface.
func (e *StaleError) Error() string {
	return fmt.Sprintf("revision %d is lower than revision %d, which is in force", e.Offered, e.InForce)
}

// ConflictError reports that the offered content differs from the content in force under the same revision.
type ConflictError struct{ Revision uint64 }

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d is already in force with different content", e.Revision)
}

// Current returns the set in force; its revision is 0 before the first accepted set.
func (a *Acceptor) Current() set.Set {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current
}

// Check returns *StaleError or *ConflictError if a revision with the given digest must not replace the set in force.
func Check(inForce set.Set, revision uint64, digest string) error {
	switch {
	case revision < inForce.Revision():
		return &StaleError{Offered: revision, InForce: inForce.Revision()}
	case revision == inForce.Revision() && digest != inForce.Digest():
		return &ConflictError{Revision: revision}
	}
	return nil
}

// Accept puts s in force and reports whether its revision is higher than that of the previous set. If it returns *StaleError or
// *ConflictError, the previous set stays in force.
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
