// Package order holds the messages for orders, which may not be repeated.
package order

// Request asks an upstream to run one order.
type Request struct {
	RequestID string `json:"request-id" msgpack:"i"`
	Service   string `json:"service" msgpack:"s"`
	Key       string `json:"key" msgpack:"k"`
	Body      string `json:"body" msgpack:"b"`
}

// Reply tells that the order ran; OrderID is the upstream's name for it.
type Reply struct {
	RequestID string `json:"request-id" msgpack:"i"`
	OrderID   string `json:"order-id" msgpack:"o"`
}
