// Package inflight knows which requests of callers an instance has in flight.
package inflight

import (
	"net/http"
	"sync/atomic"
)

// Tracker counts what is in flight. It is safe for concurrent use.
type Tracker struct {
	requests atomic.Int64
	leaving  atomic.Bool
}

// New makes a record with nothing in flight.
func New() *Tracker { return &Tracker{} }

// Handler counts the requests that h answers. Once the instance leaves, each answer asks the other end
// to close its connection, so that no request is sent on one that is about to be closed.
func (f *Tracker) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.requests.Add(1)
		defer f.requests.Add(-1)
		if f.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// StartDraining begins to ask for connections to be closed.
func (f *Tracker) StartDraining() { f.leaving.Store(true) }

// Requests is the number of requests of callers in flight.
func (f *Tracker) Requests() int { return int(f.requests.Load()) }
