// Package signal reads the state that an upstream reports about itself in the status and the headers of each response.
//
// Package target records the signals. A home that relays an attempt sends the signal back with its reply, encoded with MessagePack.
package signal

import (
	"net/http"
	"strconv"
	"time"

	"crocuswing/internal/upstream/retryafter"
	"crocuswing/internal/wire/header"
)

// Signal is the state of an upstream as reported in a response.
type Signal struct {
	// Incarnation is empty if the response names none.
	Incarnation string
	// Cold reports whether the upstream calls itself cold.
	Cold bool
	// Draining reports whether the upstream accepts no new requests. Its wire key is Leaving.
	Draining bool `msgpack:"Leaving"`
	// Shed reports whether the upstream shed the request, as shown by status 429 or 503.
	Shed bool
	// Load is the share of the slots in use, from 0 to 1; negative if not reported.
	Load float64
	// RetryAfter is the wait that the upstream requested; 0 if none.
	RetryAfter time.Duration
}

// From returns the signal in an HTTP response.
func From(status int, h http.Header) Signal {
	s := Signal{
		Incarnation: h.Get(header.Incarnation),
		Cold:        h.Get(header.State) == "cold",
		Draining:    h.Get(header.State) == "leaving",
		Shed:        status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests,
		Load:        -1,
	}
	if load, err := strconv.ParseFloat(h.Get(header.Load), 64); err == nil {
		s.Load = load
	}
	if wait, err := strconv.Atoi(h.Get(header.RetryAfterMS)); err == nil && wait > 0 {
		s.RetryAfter = time.Duration(min(wait, int(retryafter.Max.Milliseconds()))) * time.Millisecond
	} else {
		s.RetryAfter = retryafter.Parse(h, time.Now())
	}
	return s
}
