package admission

import (
	"fmt"
	"time"
)

// Decision is what admission decided about a request. The empty Decision means that the request is not refused.
type Decision string

// Decisions that an observer gets. All but DecisionQueued are refusals.
const (
	// DecisionQueued means that the request had to wait.
	DecisionQueued Decision = "queued"
	// RefusedQueueFull means that too many requests of the caller wait already.
	RefusedQueueFull Decision = "too many requests wait"
	// RefusedQueueTimeout means that the request waited too long for capacity.
	RefusedQueueTimeout Decision = "no capacity in time"
	// RefusedRetryBudget means that the caller repeats more requests than its retry budget permits.
	RefusedRetryBudget Decision = "too many repeated requests"
	// RefusedCanceled means that the caller disconnected or its deadline passed while the request was queued.
	RefusedCanceled Decision = "request ended in the queue"
)

// Event is one decision on a request of a caller.
type Event struct {
	Caller, Class string
	Decision      Decision
}

// Error is a refusal of a request before any part of it was dispatched. The request was not run.
type Error struct {
	Caller string
	Reason Decision
	// RetryAfter is the delay after which the caller may retry. It has jitter.
	RetryAfter time.Duration
}

// Error returns the caller and the reason.
func (e *Error) Error() string { return fmt.Sprintf("caller %s: %s", e.Caller, e.Reason) }
