// Package flight knows what an instance has in flight: the requests of callers and the orders that are
// being sent to upstreams.
package flight

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"crocuswing/internal/index/shard"
	"crocuswing/internal/wire/order"
)

// Flight counts what is in flight. It is safe for concurrent use.
type Flight struct {
	requests atomic.Int64
	leaving  atomic.Bool

	mu     sync.Mutex
	orders map[string]int // attempts, by request identifier
}

// Sender chooses upstreams and sends orders to them.
type Sender interface {
	Choose(s shard.Shard, tried []string) (string, bool)
	Order(ctx context.Context, upstream string, q order.Request) (order.Reply, error)
}

// New makes a record with nothing in flight.
func New() *Flight { return &Flight{orders: make(map[string]int)} }

// Handler counts the requests that h answers. Once the instance leaves, each answer asks the other end
// to close its connection, so that no request is sent on one that is about to be closed.
func (f *Flight) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.requests.Add(1)
		defer f.requests.Add(-1)
		if f.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// Leave begins to ask for connections to be closed.
func (f *Flight) Leave() { f.leaving.Store(true) }

// Requests is the number of requests of callers in flight.
func (f *Flight) Requests() int { return int(f.requests.Load()) }

// Orders gives the identifiers of the orders that are being sent, sorted. Their outcome is unknown
// if the instance ends now.
func (f *Flight) Orders() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := make([]string, 0, len(f.orders))
	for id := range f.orders {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Sender records the orders that s sends.
func (f *Flight) Sender(s Sender) Sender { return &sender{Sender: s, flight: f} }

type sender struct {
	Sender
	flight *Flight
}

// Order sends one order and records it meanwhile.
func (s *sender) Order(ctx context.Context, upstream string, q order.Request) (order.Reply, error) {
	s.flight.add(q.RequestID, 1)
	defer s.flight.add(q.RequestID, -1)
	return s.Sender.Order(ctx, upstream, q)
}

func (f *Flight) add(id string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders[id] += n
	if f.orders[id] == 0 {
		delete(f.orders, id)
	}
}
