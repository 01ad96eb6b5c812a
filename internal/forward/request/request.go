// Package request defines a request of a caller. The handler of callers' requests reads it, and the runner
// forwards it to upstreams unchanged.
package request

import (
	"net/http"
	"time"
)

// Request is one request of a caller. It is immutable.
type Request struct {
	ID     string
	Method string
	// Target is the request target as the caller sent it, Path is its decoded path.
	Target, Path string
	Host         string
	Header       http.Header
	Body         []byte
	Arrived      time.Time
	// Timeout is how long the caller waits, counted from Arrived; it is 0 if the caller did not state it.
	Timeout time.Duration
}
