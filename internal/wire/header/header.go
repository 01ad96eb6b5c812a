// Package header defines the names of the HTTP headers exchanged with callers and upstreams.
package header

// Request and response headers.
const (
	// RequestID identifies one request or attempt and is echoed in the response.
	RequestID = "Crocuswing-Request-Id"
	// DeadlineMS is the remaining time for the request in milliseconds.
	DeadlineMS = "Crocuswing-Deadline-Ms"
	// CallerKey is the key that authenticates a caller.
	CallerKey = "Crocuswing-Caller-Key"
	// Incarnation changes each time an upstream starts.
	Incarnation = "Crocuswing-Incarnation"
	// State is the state of the upstream: serving, cold or leaving, which means draining.
	State = "Crocuswing-State"
	// Load is the share of the upstream's slots in use, from 0 to 1.
	Load = "Crocuswing-Load"
	// NotRun is "true" if the upstream guarantees that it did not run the request.
	NotRun = "Crocuswing-Not-Run"
	// RetryAfterMS is the time in milliseconds to wait before sending new requests.
	RetryAfterMS = "Crocuswing-Retry-After-Ms"
)
