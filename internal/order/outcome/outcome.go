// Package outcome tells what became of the order of a ticket.
package outcome

// States of an order.
const (
	// Done means that the upstream ran the order.
	Done = "done"
	// NotRun means that no upstream ran the order, and that none will: it is final for the ticket.
	NotRun = "not-run"
	// Unknown means that the order may have run, may still run or may yet be placed.
	Unknown = "unknown"
	// NotPlaced answers a question only: no order was placed yet, and one still may be.
	NotPlaced = "not-placed"
)

// Kinds of refusal.
const (
	RefusedTicket   = "ticket"   // it is malformed, forged or another caller's
	RefusedExpired  = "expired"  // the ticket has ended, or was withdrawn
	RefusedConflict = "conflict" // another order was placed under the ticket
	RefusedFull     = "full"     // the table of tickets is full
	RefusedService  = "service"  // the ticket is for another service
	RefusedBusy     = "busy"     // this instance may not take the order now
)

const (
	maxOrderIDBytes = 128
	maxReasonBytes  = 128
	// MaxBytes is the highest number of bytes in the strings of a bounded outcome that are not constants.
	MaxBytes = maxOrderIDBytes + maxReasonBytes
)

// Outcome is the result of one order. Its state concerns the ticket, not only the request that it answers.
type Outcome struct {
	State string `json:"outcome" msgpack:"s"`
	// OrderID is the upstream's name for the order, at most 128 bytes.
	OrderID string `json:"order-id,omitempty" msgpack:"o"`
	// Reference is the name under which upstreams get the order.
	Reference string `json:"reference,omitempty" msgpack:"n"`
	Reason    string `json:"reason,omitempty" msgpack:"r"`
	// NotForwarded tells that this one request reached no owner of the ticket and never will.
	NotForwarded bool `json:"not-forwarded,omitempty" msgpack:"u"`
	// Refusal is the kind of refusal; empty if the order was taken on.
	Refusal string `json:"-" msgpack:"f"`
}

// Refused gives an outcome that refuses an order.
func Refused(kind, state, reason string) Outcome {
	return Outcome{State: state, Reason: reason, Refusal: kind}
}

// WithReference gives the outcome under a reference.
func (o Outcome) WithReference(reference string) Outcome {
	o.Reference = reference
	return o
}

// Bounded gives the outcome with strings of bounded length. An identifier that is too long is left out,
// since a part of it would name another order.
func (o Outcome) Bounded() Outcome {
	if len(o.OrderID) > maxOrderIDBytes {
		o.OrderID, o.Reason = "", "the upstream's order-id is too long"
	}
	if len(o.Reason) > maxReasonBytes {
		o.Reason = o.Reason[:maxReasonBytes]
	}
	return o
}

// Size is the length of the strings that are not constants.
func (o Outcome) Size() int { return len(o.OrderID) + len(o.Reason) }
