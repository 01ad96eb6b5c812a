// Package outcome defines the result of an order under a ticket: whether it ran, and why it was refused. The coordinator of the
// ticket's owner determines it; callers get it in the reply to their request.
package outcome

// States of an order.
const (
	// Done means that the upstream ran the order.
	Done = "done"
	// NotRun means that no upstream ran the order and that none will. It is final for the ticket.
	NotRun = "not-run"
	// Unknown means that the order may have run, may still run or may still be placed.
	Unknown = "unknown"
	// NotPlaced means that no order was placed yet and that one still may be. Only a request for the outcome returns it.
	NotPlaced = "not-placed"
)

// Kinds of refusal.
const (
	RefusedTicket   = "ticket"   // the ticket is malformed, forged or belongs to another caller
	RefusedExpired  = "expired"  // the ticket has expired or was withdrawn
	RefusedConflict = "conflict" // another order was placed under the ticket
	RefusedFull     = "full"     // the table of tickets is full
	RefusedService  = "service"  // the ticket is for another service
	RefusedBusy     = "busy"     // this instance may not accept the order now
)

const (
	maxOrderIDBytes = 128
	maxReasonBytes  = 128
	// MaxBytes is the maximum Size of an outcome that Bounded returned.
	MaxBytes = maxOrderIDBytes + maxReasonBytes
)

// Outcome is the result of one order. Its state applies to the ticket, not only to the request that it answers.
type Outcome struct {
	State string `json:"outcome" msgpack:"s"`
	// OrderID is the identifier that the upstream assigned to the order, at most 128 bytes.
	OrderID string `json:"order-id,omitempty" msgpack:"o"`
	// Reference identifies the order to upstreams.
	Reference string `json:"reference,omitempty" msgpack:"n"`
	Reason    string `json:"reason,omitempty" msgpack:"r"`
	// NotForwarded reports that this request did not reach the owner of the ticket and never will.
	NotForwarded bool `json:"not-forwarded,omitempty" msgpack:"u"`
	// Refusal is the kind of refusal, empty if the request was not refused.
	Refusal string `json:"-" msgpack:"f"`
}

// Refused returns the outcome of a refused order.
func Refused(kind, state, reason string) Outcome {
	return Outcome{State: state, Reason: reason, Refusal: kind}
}

// WithReference returns a copy of o with the given reference.
func (o Outcome) WithReference(reference string) Outcome {
	o.Reference = reference
	return o
}

// Bounded returns a copy of o whose strings are limited in length. An order ID that is too long is omitted, since a
// truncated one could identify another order.
func (o Outcome) Bounded() Outcome {
	if len(o.OrderID) > maxOrderIDBytes {
		o.OrderID, o.Reason = "", "the upstream's order-id is too long"
	}
	if len(o.Reason) > maxReasonBytes {
		o.Reason = o.Reason[:maxReasonBytes]
	}
	return o
}

// Size returns the length in bytes of the order ID and the reason, the strings in a record that are not constants.
func (o Outcome) Size() int { return len(o.OrderID) + len(o.Reason) }
