// Package reply defines the reply to one request of a caller. The runner returns it, and the handler of callers'
// requests sends it.
package reply

import (
	"net/http"
	"time"

	"crocuswing/internal/upstream/connection"
)

// Reply is the response of an upstream, a merged answer, or a refusal or failure of this instance. It is immutable.
type Reply struct {
	Status int
	// Header holds the headers of the response; it is nil unless the reply is the response of an upstream.
	Header http.Header
	Body   []byte
	// Proofs are the proofs of the parts of a merged answer: each proves that an upstream itself produced its part.
	Proofs []string
	// Missing is the number of shards whose part a merged answer lacks.
	Missing int
	// Reason states why this instance refused or failed the request; it is empty for other replies.
	Reason string
	// RetryAfter is the delay after which a refused caller may retry; it is 0 if the request was not refused.
	RetryAfter time.Duration

	free func()
}

// FromUpstream returns the reply that passes on a response. Free frees the response.
func FromUpstream(r connection.Response) Reply {
	return Reply{Status: r.Status, Header: r.Header, Body: r.Body, free: r.Free}
}

// Free ends the use of the body. The handler calls it once the reply is written.
func (r Reply) Free() {
	if r.free != nil {
		r.free()
	}
}

// Refused returns the reply to a request that was not run and never will be.
func Refused(reason string, after time.Duration) Reply {
	return Reply{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: after}
}

// Exceeded returns the reply to a request over a quota. It was not run and never will be.
func Exceeded(reason string, after time.Duration) Reply {
	return Reply{Status: http.StatusTooManyRequests, Reason: reason, RetryAfter: after}
}

// Failed returns the reply to a request that failed and may have run.
func Failed(status int, reason string) Reply { return Reply{Status: status, Reason: reason} }

// IsMerged reports whether the answer was merged from several parts.
func (r Reply) IsMerged() bool { return len(r.Proofs) > 0 }
