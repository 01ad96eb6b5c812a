// Package order defines the messages that place an order with an upstream. An order must run at most once, so its attempts
// share a reference.
package order

import "time"

// Request is one attempt to run an order on an upstream.
type Request struct {
	// RequestID identifies the attempt and is echoed in the reply.
	RequestID string `json:"request-id" msgpack:"i"`
	// Reference identifies the order. It is the same in all attempts, of which at most one may run.
	Reference string `json:"reference" msgpack:"r"`
	Service   string `json:"service" msgpack:"s"`
	Key       string `json:"key" msgpack:"k"`
	Body      string `json:"body" msgpack:"b"`
	// StartTimeoutMS is the time within which the order has to reach the upstream; 0 means no limit.
	// It is sent to the upstream in the deadline header.
	StartTimeoutMS int64 `json:"-" msgpack:"w"`
}

// StartTimeout returns the time within which the order has to reach the upstream, or false if there is no limit.
func (q Request) StartTimeout() (time.Duration, bool) {
	return time.Duration(q.StartTimeoutMS) * time.Millisecond, q.StartTimeoutMS > 0
}

// WithStartTimeout returns a copy of the request that has to reach the upstream within d.
func (q Request) WithStartTimeout(d time.Duration) Request {
	q.StartTimeoutMS = max(d.Milliseconds(), 1)
	return q
}

// Reply confirms that the order ran. OrderID is the upstream's identifier of the order and has at most 128 bytes.
type Reply struct {
	RequestID string `json:"request-id" msgpack:"i"`
	OrderID   string `json:"order-id" msgpack:"o"`
}
