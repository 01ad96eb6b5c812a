// Package request defines a request of a caller. The handler of callers' requests reads it, and the runner
// forwards it to upstreams unchanged.
package request

import (
	"fmt"
	"net/http"
	"time"
)

// Request is one request of a caller. It is immutable, but for Load.
type Request struct {
	ID     string
	Method string
	// Target is the request target as the caller sent it, Path is its decoded path.
	Target, Path string
	Host         string
	Header       http.Header
	// Workspace is the name of the workspace to which the caller belongs; it is empty if the configuration has none.
	Workspace string
	Body      []byte
	// ReadBody reads the body, which is left unread until the request is known to go on. It fails with *BodyError. It is nil if Body
	// is complete.
	ReadBody func() ([]byte, error)
	Arrived  time.Time
	// Timeout is how long the caller waits, counted from Arrived; it is 0 if the caller did not state it.
	Timeout time.Duration
}

// BodyError reports a body that cannot be read. Nothing was sent to an upstream.
type BodyError struct {
	// Status is the HTTP status with which the request is rejected.
	Status int
	Reason string
	// RetryAfter is the delay after which the request may be repeated if Status is 503.
	RetryAfter time.Duration
}

// Error returns the reason and the status.
func (e *BodyError) Error() string { return fmt.Sprintf("%s (status %d)", e.Reason, e.Status) }

// Load reads the body if it is unread. It fails with *BodyError.
func (r *Request) Load() (err error) {
	if r.ReadBody == nil {
		return nil
	}
	r.Body, err = r.ReadBody()
	r.ReadBody = nil
	return err
}
