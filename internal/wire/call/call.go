// Package call defines the JSON messages that callers exchange with the query tier, except for the reply to a query,
// which is in package answer.
package call

import "crocuswing/internal/order/outcome"

// Search requests rows from all shards of a service.
type Search struct {
	Service string `json:"service"`
	Query   string `json:"query"`
}

// Lookup requests the rows stored under one key.
type Lookup struct {
	Service string `json:"service"`
	Key     string `json:"key"`
}

// TicketRequest requests a ticket for one order to a service.
type TicketRequest struct {
	Service string `json:"service"`
}

// Ticket permits one order until ExpiresMS, in Unix milliseconds on the clock of the instance that issued it.
type Ticket struct {
	Ticket    string `json:"ticket"`
	ExpiresMS int64  `json:"expires-ms"`
}

// Order is a request to place an order under a ticket, or without one if the preset in force allows that.
type Order struct {
	Ticket  string `json:"ticket,omitempty"`
	Service string `json:"service"`
	Key     string `json:"key"`
	Body    string `json:"body"`
}

// OrderResult is the outcome of an order. Ticket is set only if the order was placed without one; the caller can use it
// to query an outcome that is still unknown.
type OrderResult struct {
	RequestID string `json:"request-id"`
	outcome.Outcome
	Ticket string `json:"ticket,omitempty"`
}

// Refusal reports that this request ran nothing. If the request named a ticket, Outcome is the outcome of that ticket,
// because an earlier request may have placed the order.
type Refusal struct {
	RequestID string `json:"request-id"`
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	// Reference identifies the order to upstreams.
	Reference string `json:"reference,omitempty"`
	// NotForwarded is set if this request did not reach the owner of the ticket and never will.
	NotForwarded bool `json:"not-forwarded,omitempty"`
}
