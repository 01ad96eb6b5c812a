// Package failure defines the error of a failed attempt.
//
// Packages link and dispatch return it. Its kind decides how the attempt counts in the statistics of the upstream, and NotRun
// whether the request may be retried.
package failure

import (
	"fmt"
	"time"
)

// Kinds of failures.
const (
	KindRefused      = "refused"       // no connection could be opened
	KindReset        = "reset"         // the connection broke before the response was complete
	KindShed         = "shed"          // the upstream shed the request under load
	KindSnapshotGone = "snapshot-gone" // the upstream no longer serves the snapshot
	KindCrossed      = "crossed"       // the response belongs to another request
	KindIncomplete   = "incomplete"    // the response is truncated or malformed
	KindTimeout      = "timeout"       // no response within the deadline
	KindCanceled     = "canceled"      // the request was canceled
	KindForbidden    = "forbidden"     // the upstream is draining, excluded, unknown or above its limit
	KindBusy         = "busy"          // no slot of the upstream's limit becomes free in time
	KindStalled      = "silent"        // the connection stalled while others to the upstream worked
	KindNoConnection = "connections"   // no connection is available within the connection limit
	KindRelay        = "relay"         // the instance that relays the request did not respond
	KindStatus       = "status"        // any other error status
)

// Failure is the error of a failed attempt.
type Failure struct {
	Upstream string
	Kind     string
	// NotRun is true only if it is certain that the upstream has not run the request.
	NotRun bool
	// RetryAfter is the wait that the upstream requested; 0 if none.
	RetryAfter time.Duration
	// Connection is the number of the connection on which the attempt failed; 0 if it got none.
	Connection uint64
	Err        error
}

// Error returns a message with the upstream, the kind and the cause.
func (f *Failure) Error() string {
	if f.Err == nil {
		return fmt.Sprintf("upstream %s: %s", f.Upstream, f.Kind)
	}
	return fmt.Sprintf("upstream %s: %s: %v", f.Upstream, f.Kind, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }
