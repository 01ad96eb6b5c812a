// Package request defines a request of a caller. The handler of callers' requests reads it, and the runner
// forwards it to upstreams unchanged.
package request

import (
	"fmt"
	"net/http"
	"time"

	"crocuswing/internal/workspace/credential"
)

// Request is one request of a caller. It is immutable, but for Load.
type Request struct {
	ID     string
	Method string
	// Target is the request target as the caller sent it, Path is its decoded path.
	Target, Path string
	Host         string
	Header       http.Header
	// Credential is what the caller presented to identify its workspace.
	Credential credential.Credential
	// Identify returns the header that is sent on for a caller of the named workspace, or of none if the name is empty: without the
	// caller's key, and with the name. It is nil if Header is sent on as it is.
	Identify func(workspace string) http.Header
	// Permit reports whether the request may be sent to an upstream or to another instance. It is called before each sending, and nil
	// permits all.
	Permit func() bool
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

// WithWorkspace returns the request as it is sent on for a caller of the named workspace, or of none if the name is empty.
func (r Request) WithWorkspace(name string) Request {
	r.Workspace = name
	if r.Identify != nil {
		r.Header = r.Identify(name)
	}
	return r
}

// MaySend reports whether the request may be sent.
func (r Request) MaySend() bool { return r.Permit == nil || r.Permit() }
