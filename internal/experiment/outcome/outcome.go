// Package outcome holds what callers saw of an experiment.
package outcome

import (
	"math"
	"net/http"
	"slices"
	"time"

	"crocuswing/internal/forward/reply"
	"crocuswing/internal/forward/request"
)

// Outcome is what a caller saw of one request.
type Outcome struct {
	request.Request
	reply.Reply
	Latency time.Duration
}

// lateWorth is the value of a late answer, as the users count it.
const lateWorth = 0.1

// Worth is the mean value of the outcomes: the square of the share that is in, a tenth of it when late, as the users count it.
func Worth(all []Outcome, shards int, objective time.Duration) float64 {
	sum := 0.0
	for _, o := range all {
		if o.Status != http.StatusOK {
			continue
		}
		share := float64(shards-o.Missing) / float64(shards)
		value := share * share
		if o.Latency > objective {
			value *= lateWorth
		}
		sum += value
	}
	return sum / float64(len(all))
}

// Quantile is that of the times of all outcomes.
func Quantile(all []Outcome, q float64) time.Duration {
	times := make([]time.Duration, 0, len(all))
	for _, o := range all {
		times = append(times, o.Latency)
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(len(times)-1, int(math.Ceil(q*float64(len(times))))-1)]
}

// Count is the number of outcomes for which is holds.
func Count(all []Outcome, is func(o Outcome) bool) int {
	n := 0
	for _, o := range all {
		if is(o) {
			n++
		}
	}
	return n
}
