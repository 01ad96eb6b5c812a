// Package limits bounds what a caller may send and how long it may take.
package limits

import "time"

// Limits are the bounds of callers' requests. It is immutable.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is the time within which a request's header has to be complete.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay without a request.
	IdleTimeout time.Duration
}
