// Package call holds the messages of the contract with callers, besides the answer itself.
package call

import "crocuswing/internal/order/outcome"

// Search asks for the rows of all shards of a service.
type Search struct {
	Service string `json:"service"`
	Query   string `json:"query"`
}

// Lookup asks for the rows under one key.
type Lookup struct {
	Service string `json:"service"`
	Key     string `json:"key"`
}

// TicketRequest asks for a ticket for one order to a service.
type TicketRequest struct {
	Service string `json:"service"`
}

// Ticket permits one order until its end, in Unix milliseconds by the clock of the instance that gave it.
type Ticket struct {
	Ticket    string `json:"ticket"`
	ExpiresMS int64  `json:"expires-ms"`
}

// Order is placed under a ticket, or without one where the preset in force allows that.
type Order struct {
	Ticket  string `json:"ticket,omitempty"`
	Service string `json:"service"`
	Key     string `json:"key"`
	Body    string `json:"body"`
}

// OrderResult tells what became of an order. Ticket is set only if the order came without one:
// it may be asked for an outcome that is still unknown.
type OrderResult struct {
	RequestID string `json:"request-id"`
	outcome.Outcome
	Ticket string `json:"ticket,omitempty"`
}

// Refusal tells that this request ran nothing. Its outcome is that of the ticket if the request named one:
// an earlier request may have placed the order.
type Refusal struct {
	RequestID string `json:"request-id"`
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	// Reference is the name under which upstreams know the order.
	Reference string `json:"reference,omitempty"`
	// NotForwarded tells that this one request reached no owner of the ticket and never will.
	NotForwarded bool `json:"not-forwarded,omitempty"`
}
