package admission

import (
	"fmt"
	"time"
)

// Decision tells what became of a request.
type Decision string

// Decisions.
const (
	// DecisionQueued tells that the request had to wait.
	DecisionQueued Decision = "queued"
	// RefusedQueueFull tells that too many requests of the caller wait already.
	RefusedQueueFull Decision = "too many requests wait"
	// RefusedQueueTimeout tells that the request's turn did not come in time.
	RefusedQueueTimeout Decision = "no capacity in time"
	// RefusedRetryBudget tells that the caller repeats more than its retry budget permits.
	RefusedRetryBudget Decision = "too many repeated requests"
	// RefusedCanceled tells that the caller hung up or its deadline passed in the queue.
	RefusedCanceled Decision = "request ended in the queue"
)

// Event is one decision on a request of a caller.
type Event struct {
	Caller, Class string
	Decision      Decision
}

// Error refuses a request before anything of it was dispatched: it was not run.
type Error struct {
	Caller string
	Reason Decision
	// RetryAfter is the wait before another try; it differs between refusals.
	RetryAfter time.Duration
}

// Error gives caller and reason.
func (e *Error) Error() string { return fmt.Sprintf("caller %s: %s", e.Caller, e.Reason) }
