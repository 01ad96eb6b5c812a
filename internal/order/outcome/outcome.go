// Package outcome tells what became of an order.
package outcome

// States of an order.
const (
	// Done means that the upstream ran the order.
	Done = "done"
	// NotRun means that no upstream ran or will run the order.
	NotRun = "not-run"
	// Unknown means that the order may have run.
	Unknown = "unknown"
)

// Outcome is the result of one order.
type Outcome struct {
	State   string `json:"outcome" msgpack:"s"`
	OrderID string `json:"order-id,omitempty" msgpack:"o"`
	Reason  string `json:"reason,omitempty" msgpack:"r"`
}
