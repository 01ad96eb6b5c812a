// Package call holds the messages of the contract with callers, besides the answer itself.
package call

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

// Ticket permits one order until its end, in Unix milliseconds.
type Ticket struct {
	Ticket    string `json:"ticket"`
	ExpiresMS int64  `json:"expires-ms"`
}

// Order is placed under a ticket.
type Order struct {
	Ticket  string `json:"ticket"`
	Service string `json:"service"`
	Key     string `json:"key"`
	Body    string `json:"body"`
}

// Refusal tells that nothing of the request was run.
type Refusal struct {
	RequestID string `json:"request-id"`
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
}
