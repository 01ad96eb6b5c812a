package client

import (
	"errors"
	"fmt"
	"time"
)

var (
	// ErrClosed means that the client was closed.
	ErrClosed = errors.New("client is closed")
	// ErrTooManyWaiting means that the maximum number of calls already waits for credit from the peer.
	ErrTooManyWaiting = errors.New("too many calls wait for the peer's credit")
	// ErrStalled means that the peer sent nothing for too long while calls waited or were in flight.
	ErrStalled = errors.New("peer is silent")
	// ErrLeaving means that the peer announced its shutdown.
	ErrLeaving     = errors.New("peer is leaving")
	errIdleTimeout = errors.New("connection was idle")
)

// UnsentError means that no byte of a call was sent.
type UnsentError struct{ Err error }

func (e *UnsentError) Error() string { return fmt.Sprintf("call was not sent: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Err }

// RefusedError means that the peer refused a call and ran no part of it.
type RefusedError struct {
	Reason string
	// Leaving is set if the peer refused the call because it is shutting down.
	Leaving bool
}

func (e *RefusedError) Error() string { return "peer refused the call: " + e.Reason }

// LostError means that the connection failed after a call was sent, so that the peer may have run the call.
type LostError struct{ Err error }

func (e *LostError) Error() string { return fmt.Sprintf("call was lost: %v", e.Err) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// BackoffError means that the last dial failed and that the client does not dial again before Until.
type BackoffError struct {
	Until time.Time
	Err   error
}

func (e *BackoffError) Error() string { return fmt.Sprintf("last dial failed: %v", e.Err) }

// Unwrap returns the cause of the last failure.
func (e *BackoffError) Unwrap() error { return e.Err }
