// Package request is one request of a caller that is passed on as it is.
package request

import (
	"net/http"
	"time"
)

// Request is one request. It is immutable.
type Request struct {
	ID     string
	Method string
	// Target is the request target as the caller wrote it, Path its decoded path.
	Target, Path string
	Host         string
	Header       http.Header
	Body         []byte
	Arrived      time.Time
	// Timeout is the time for which the caller waits, from Arrived on; 0 if it did not say.
	Timeout time.Duration
}
