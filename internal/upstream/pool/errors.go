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

// DrainingError tells that new work would go to a leaving upstream.
type DrainingError struct{ Address string }

// Error gives the address.
func (e *DrainingError) Error() string { return "no new work for leaving upstream " + e.Address }

// Stats counts the connections of a pool. DialTime is the sum over all successful dials.
type Stats struct {
	Opened, Reused, DialFailures, Abandoned int64
	DialTime                                time.Duration
	// Connections, Idle and AbandonedNow are present numbers.
	Connections, Idle, AbandonedNow int
}

// Add sums two stats.
func (s Stats) Add(o Stats) Stats {
	s.Opened += o.Opened
	s.Reused += o.Reused
	s.DialFailures += o.DialFailures
	s.Abandoned += o.Abandoned
	s.DialTime += o.DialTime
	s.Connections += o.Connections
	s.Idle += o.Idle
	s.AbandonedNow += o.AbandonedNow
	return s
}
