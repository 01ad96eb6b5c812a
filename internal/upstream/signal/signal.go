// Package signal reads what an upstream tells about itself in each answer.
package signal

import (
	"net/http"
	"strconv"
	"time"

	"crocuswing/internal/wire/header"
)

// Signal is what an answer tells about its upstream.
type Signal struct {
	Incarnation string
	Cold        bool
	Draining    bool `msgpack:"Leaving"`
	Shed        bool
	// Load is the share of slots in use, 0 to 1; negative if not reported.
	Load       float64
	RetryAfter time.Duration
}

// From reads the signal of one HTTP answer.
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
		s.RetryAfter = time.Duration(wait) * time.Millisecond
	} else if wait, err := strconv.Atoi(h.Get("Retry-After")); err == nil && wait > 0 {
		s.RetryAfter = time.Duration(wait) * time.Second
	}
	return s
}
