// Package preset describes a named set of query policies: deadline, answer policy, and the shares of hedges and retries. Operators
// put exactly one preset in force.
package preset

import (
	"errors"
	"fmt"
	"time"
)

// Answer policies.
const (
	// PolicyCoverage waits for missing shards until the deadline.
	PolicyCoverage = "coverage"
	// PolicyTail waits for missing shards for a time derived from a quantile of the service's recent latencies, but at most TailWait,
	// and answers with the coverage reached by then.
	PolicyTail = "tail"
)

const (
	maxDeadlineMS       = 60_000
	defaultTailQuantile = 0.999
)

// Preset is a named set of query policies. Shares are fractions of the number of first attempts; quantiles lie in (0, 1).
type Preset struct {
	Name         string `json:"name"`
	DeadlineMS   int    `json:"deadline-ms"`
	AnswerPolicy string `json:"answer-policy"`
	TailWaitMS   int    `json:"tail-wait-ms,omitempty"`
	// TailQuantile is the quantile of the latency of a service's recent attempts that PolicyTail waits for; 0 means 0.999.
	TailQuantile  float64 `json:"tail-quantile,omitempty"`
	HedgeQuantile float64 `json:"hedge-quantile"`
	HedgeShare    float64 `json:"hedge-share"`
	RetryShare    float64 `json:"retry-share"`
	// AllowOrdersWithoutTicket accepts orders without a ticket; each such request is executed separately.
	AllowOrdersWithoutTicket bool `json:"allow-orders-without-ticket,omitempty"`
}

// Deadline returns the maximum duration of a request.
func (p Preset) Deadline() time.Duration {
	return time.Duration(p.DeadlineMS) * time.Millisecond
}

// TailWait returns the maximum wait for missing shards under PolicyTail.
func (p Preset) TailWait() time.Duration {
	return time.Duration(p.TailWaitMS) * time.Millisecond
}

// IsTail reports whether the preset uses PolicyTail, which does not wait until the deadline for missing shards.
func (p Preset) IsTail() bool { return p.AnswerPolicy == PolicyTail }

// EffectiveTailQuantile returns TailQuantile, with the default applied.
func (p Preset) EffectiveTailQuantile() float64 {
	if p.TailQuantile == 0 {
		return defaultTailQuantile
	}
	return p.TailQuantile
}

// Check returns an error if a value is missing or out of range.
func (p Preset) Check() error {
	if p.Name == "" {
		return errors.New("name is missing")
	}
	if p.DeadlineMS < 1 || p.DeadlineMS > maxDeadlineMS {
		return fmt.Errorf("deadline-ms is %d, want 1 to %d", p.DeadlineMS, maxDeadlineMS)
	}
	if p.AnswerPolicy != PolicyCoverage && p.AnswerPolicy != PolicyTail {
		return fmt.Errorf("answer-policy is %q, want %q or %q", p.AnswerPolicy, PolicyCoverage, PolicyTail)
	}
	if p.AnswerPolicy == PolicyTail && (p.TailWaitMS < 1 || p.TailWaitMS > p.DeadlineMS) {
		return fmt.Errorf("tail-wait-ms is %d, want 1 to deadline-ms", p.TailWaitMS)
	}
	if p.TailQuantile < 0 || p.TailQuantile >= 1 {
		return fmt.Errorf("tail-quantile is %g, want 0 to less than 1", p.TailQuantile)
	}
	if p.HedgeQuantile <= 0 || p.HedgeQuantile >= 1 {
		return fmt.Errorf("hedge-quantile is %g, want more than 0 and less than 1", p.HedgeQuantile)
	}
	return p.checkShares()
}

func (p Preset) checkShares() error {
	if p.HedgeShare < 0 || p.HedgeShare > 1 {
		return fmt.Errorf("hedge-share is %g, want 0 to 1", p.HedgeShare)
	}
	if p.RetryShare < 0 || p.RetryShare > 1 {
		return fmt.Errorf("retry-share is %g, want 0 to 1", p.RetryShare)
	}
	return nil
}

// PublishedName returns the name under which the value is published, without the prefix of its kind.
func (p Preset) PublishedName() string { return p.Name }
