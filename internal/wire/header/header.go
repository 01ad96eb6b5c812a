// Package header names the HTTP headers of the contracts with callers and upstreams.
package header

// Headers of requests and answers.
const (
	// RequestID identifies one request or attempt and is echoed in its answer.
	RequestID = "Crocuswing-Request-Id"
	// DeadlineMS is the time left for the request, in milliseconds.
	DeadlineMS = "Crocuswing-Deadline-Ms"
	// CallerKey is the key by which a caller is known.
	CallerKey = "Crocuswing-Caller-Key"
	// Incarnation changes each time an upstream starts.
	Incarnation = "Crocuswing-Incarnation"
	// State is that of the upstream: serving, cold or leaving.
	State = "Crocuswing-State"
	// Load is the share of the upstream's slots in use, 0 to 1.
	Load = "Crocuswing-Load"
	// NotRun is "true" where the upstream vouches that it did not run the request.
	NotRun = "Crocuswing-Not-Run"
	// RetryAfterMS is the time to wait before new work, in milliseconds.
	RetryAfterMS = "Crocuswing-Retry-After-Ms"
)
