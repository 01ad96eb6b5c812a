// Package failure classifies the failed attempts on upstreams.
package failure

import (
	"fmt"
	"time"
)

// Kinds of failure.
const (
	KindRefused      = "refused"       // no connection could be opened
	KindReset        = "reset"         // the connection broke
	KindShed         = "shed"          // the upstream refused for load
	KindSnapshotGone = "snapshot-gone" // the upstream no longer serves the snapshot
	KindCrossed      = "crossed"       // the answer belongs to another request
	KindIncomplete   = "incomplete"    // the answer is truncated or malformed
	KindTimeout      = "timeout"       // no answer in time
	KindCanceled     = "canceled"      // the request was withdrawn
	KindForbidden    = "forbidden"     // leaving, out, unknown or above its limit
	KindBusy         = "busy"          // the upstream's limit leaves no room in time
	KindStalled      = "silent"        // the connection delivered nothing while others to the upstream did
	KindNoConnection = "connections"   // no connection of the share is free
	KindRelay        = "relay"         // the instance on the way did not answer
	KindStatus       = "status"        // any other answer
)

// Failure is one failed attempt.
type Failure struct {
	Upstream string
	Kind     string
	// NotRun is true only where the upstream cannot have run the request.
	NotRun bool
	// RetryAfter is the wait that the upstream asked for; 0 if none.
	RetryAfter time.Duration
	Err        error
}

// Error gives upstream, kind and cause.
func (f *Failure) Error() string {
	if f.Err == nil {
		return fmt.Sprintf("upstream %s: %s", f.Upstream, f.Kind)
	}
	return fmt.Sprintf("upstream %s: %s: %v", f.Upstream, f.Kind, f.Err)
}

// Unwrap gives the cause.
func (f *Failure) Unwrap() error { return f.Err }
