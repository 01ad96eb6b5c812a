// Package limits holds the size and time limits of callers' requests, as one revision of the configuration sets them. An instance
// enforces them on the connections and requests of callers.
package limits

import "time"

// Limits holds the limits of callers' requests. It is immutable.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is the time within which a request header must be complete.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may be open without a request.
	IdleTimeout time.Duration
}
