package pool

import (
	"errors"
	"fmt"
	"time"
)

var (
	// ErrClosed tells that the upstream is no longer in the view.
	ErrClosed = errors.New("pool is closed")
	// ErrBusy tells that too many requests wait for a connection already.
	ErrBusy = errors.New("too many requests wait for a connection")
)

// DialError tells that the upstream took no connection.
type DialError struct {
	Address string
	Err     error
}

// Error gives address and cause.
func (e *DialError) Error() string { return fmt.Sprintf("dial %s: %v", e.Address, e.Err) }

// Unwrap gives the cause.
func (e *DialError) Unwrap() error { return e.Err }

// ExhaustedError tells that abandoned connections use up the whole share.
type ExhaustedError struct{ Share, Abandoned int }

// Error gives share and use.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("%d abandoned connections use up the share of %d", e.Abandoned, e.Share)
}

// LeavingError tells that new work would go to a leaving upstream.
type LeavingError struct{ Address string }

// Error gives the address.
func (e *LeavingError) Error() string { return "no new work for leaving upstream " + e.Address }

// Stats counts the connections of a pool. OpenTime is the sum over all successful dials.
type Stats struct {
	Opened, Reused, DialFailures, Abandoned int64
	OpenTime                                time.Duration
	// Counted, Idle and AbandonedNow are present numbers.
	Counted, Idle, AbandonedNow int
}

// Add sums two stats.
func (s Stats) Add(o Stats) Stats {
	s.Opened += o.Opened
	s.Reused += o.Reused
	s.DialFailures += o.DialFailures
	s.Abandoned += o.Abandoned
	s.OpenTime += o.OpenTime
	s.Counted += o.Counted
	s.Idle += o.Idle
	s.AbandonedNow += o.AbandonedNow
	return s
}
