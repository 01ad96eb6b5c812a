// Package outcome holds the results of an experiment's requests, as callers see them, and computes statistics over them.
package outcome

import (
	"math"
	"net/http"
	"slices"
	"time"

	"crocuswing/internal/forward/reply"
	"crocuswing/internal/forward/request"
)

// Outcome is one request with its reply and the latency that the caller saw.
type Outcome struct {
	request.Request
	reply.Reply
	Latency time.Duration
}

// lateWeight is the factor that the users apply to the value of a reply that misses the objective.
const lateWeight = 0.1

// Worth returns the mean value of the outcomes by the users' definition: a successful reply is worth the square of the share of
// shards that it contains, a tenth of that if it misses the objective. Other replies are worth nothing.
func Worth(all []Outcome, shards int, objective time.Duration) float64 {
	sum := 0.0
	for _, o := range all {
		if o.Status != http.StatusOK {
			continue
		}
		share := float64(shards-o.Missing) / float64(shards)
		value := share * share
		if o.Latency > objective {
			value *= lateWeight
		}
		sum += value
	}
	return sum / float64(len(all))
}

// Quantile returns the q-quantile of the latencies, or 0 if there are no outcomes.
func Quantile(all []Outcome, q float64) time.Duration {
	latencies := make([]time.Duration, 0, len(all))
	for _, o := range all {
		latencies = append(latencies, o.Latency)
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[min(len(latencies)-1, int(math.Ceil(q*float64(len(latencies))))-1)]
}

// Count returns the number of outcomes for which match returns true.
func Count(all []Outcome, match func(o Outcome) bool) int {
	n := 0
	for _, o := range all {
		if match(o) {
			n++
		}
	}
	return n
}
