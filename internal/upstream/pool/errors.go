package pool

import (
	"errors"
	"fmt"
	"time"
)

var (
	// ErrClosed is returned after Close, when the upstream is no longer in the view.
	ErrClosed = errors.New("pool is closed")
	// ErrBusy is returned if too many requests are already waiting for a connection.
	ErrBusy = errors.New("too many requests wait for a connection")
)

// DialError is returned if no connection to the upstream could be opened.
type DialError struct {
	Address string
	Err     error
}

// Error returns a message with the address and the cause.
func (e *DialError) Error() string { return fmt.Sprintf("dial %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// ExhaustedError is returned if abandoned connections use up the whole limit.
type ExhaustedError struct{ MaxConnections, Abandoned int }

// Error returns a message with the number of abandoned connections and the limit.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("%d abandoned connections use up the share of %d", e.Abandoned, e.MaxConnections)
}

// DrainingError is returned for a new request to a draining upstream.
type DrainingError struct{ Address string }

// Error returns a message with the address.
func (e *DrainingError) Error() string { return "no new work for leaving upstream " + e.Address }

// Stats counts the connections of a pool. DialTime is the total duration of the successful dials. Replaced counts idle connections that
// were closed because they had carried the requests that waited.
type Stats struct {
	Opened, Reused, DialFailures, Abandoned, Replaced int64
	DialTime                                          time.Duration
	// Connections, Idle and AbandonedNow are current numbers.
	Connections, Idle, AbandonedNow int
}

// Add returns the sum of both.
func (s Stats) Add(o Stats) Stats {
	s.Opened += o.Opened
	s.Reused += o.Reused
	s.DialFailures += o.DialFailures
	s.Abandoned += o.Abandoned
	s.Replaced += o.Replaced
	s.DialTime += o.DialTime
	s.Connections += o.Connections
	s.Idle += o.Idle
	s.AbandonedNow += o.AbandonedNow
	return s
}
