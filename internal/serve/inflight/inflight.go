// Package inflight counts the requests of callers that an instance has in flight, and asks callers to close their connections
// while the instance drains.
package inflight

import (
	"net/http"
	"sync/atomic"
)

// Tracker counts the requests in flight. It is safe for concurrent use.
type Tracker struct {
	requests atomic.Int64
	draining atomic.Bool
}

// New returns a tracker with no requests in flight.
func New() *Tracker { return &Tracker{} }

// Handler returns a handler that counts the requests to h. While the instance drains, each response asks the client to
// close its connection, so that no request is sent on one that is about to be closed.
func (t *Tracker) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.requests.Add(1)
		defer t.requests.Add(-1)
		if t.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// StartDraining makes all further responses ask for their connection to be closed.
func (t *Tracker) StartDraining() { t.draining.Store(true) }

// Requests returns the number of requests in flight.
func (t *Tracker) Requests() int { return int(t.requests.Load()) }
