// Package order holds the messages for orders, which may not be repeated.
package order

import "time"

// Request asks an upstream to run one order.
type Request struct {
	// RequestID identifies one attempt and is echoed in its answer.
	RequestID string `json:"request-id" msgpack:"i"`
	// Reference identifies the order; it is the same in all attempts, of which at most one may run.
	Reference string `json:"reference" msgpack:"r"`
	Service   string `json:"service" msgpack:"s"`
	Key       string `json:"key" msgpack:"k"`
	Body      string `json:"body" msgpack:"b"`
	// StartTimeoutMS is the time in which the order has to reach the upstream; 0 sets no limit.
	// The upstream gets it as the deadline header.
	StartTimeoutMS int64 `json:"-" msgpack:"w"`
}

// StartTimeout is the time in which the order has to reach the upstream, and false if there is no limit.
func (q Request) StartTimeout() (time.Duration, bool) {
	return time.Duration(q.StartTimeoutMS) * time.Millisecond, q.StartTimeoutMS > 0
}

// WithStartTimeout gives a request that has to reach the upstream within d.
func (q Request) WithStartTimeout(d time.Duration) Request {
	q.StartTimeoutMS = max(d.Milliseconds(), 1)
	return q
}

// Reply tells that the order ran; OrderID is the upstream's name for it, of at most 128 bytes.
type Reply struct {
	RequestID string `json:"request-id" msgpack:"i"`
	OrderID   string `json:"order-id" msgpack:"o"`
}
