package client

import (
	"errors"
	"fmt"
	"time"
)

var (
	// ErrClosed tells that the client was closed.
	ErrClosed = errors.New("client is closed")
	// ErrTooManyWaiting tells that too many calls wait for the peer's credit already.
	ErrTooManyWaiting = errors.New("too many calls wait for the peer's credit")
	// ErrStalled tells that the peer sent nothing although calls were in flight.
	ErrStalled = errors.New("peer is silent")
	// ErrLeaving tells that the peer announced its stop.
	ErrLeaving = errors.New("peer is leaving")
	errIdle    = errors.New("connection was idle")
)

// UnsentError tells that no byte of a call was sent.
type UnsentError struct{ Err error }

// Error gives the cause.
func (e *UnsentError) Error() string { return fmt.Sprintf("call was not sent: %v", e.Err) }

// Unwrap gives the cause.
func (e *UnsentError) Unwrap() error { return e.Err }

// RefusedError tells that the peer refused a call and ran nothing of it.
type RefusedError struct {
	Reason string
	// Leaving tells that the peer stops.
	Leaving bool
}

// Error gives the peer's reason.
func (e *RefusedError) Error() string { return "peer refused the call: " + e.Reason }

// LostError tells that the connection broke after a call was sent: the peer may have acted.
type LostError struct{ Err error }

// Error gives the cause.
func (e *LostError) Error() string { return fmt.Sprintf("call was lost: %v", e.Err) }

// Unwrap gives the cause.
func (e *LostError) Unwrap() error { return e.Err }

// BackoffError tells that the last dial failed and when the next one may be tried.
type BackoffError struct {
	Until time.Time
	Err   error
}

// Error gives the cause of the last failure.
func (e *BackoffError) Error() string { return fmt.Sprintf("last dial failed: %v", e.Err) }

// Unwrap gives the cause of the last failure.
func (e *BackoffError) Unwrap() error { return e.Err }
