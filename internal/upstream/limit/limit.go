// Package limit adapts the number of requests in flight to one warm upstream to its latency and its load shedding. Package
// target uses it to grant slots.
//
// The limit uses additive increase and multiplicative decrease: it grows by one after as many successes as its value
// and shrinks by a factor, which converges to a fair share (Chiu and Jain, "Analysis of the increase and decrease
// algorithms for congestion avoidance in computer networks", Computer Networks and ISDN Systems 17, 1989). As in
// Netflix's gradient limit ("Performance under load", 2018), it also shrinks when the recent latency rises far above
// the baseline.
package limit

import "time"

const (
	recentWeight     = 0.2  // weight of the newest sample in the recent latency
	baselineWeight   = 0.01 // weight of the recent latency in the baseline while it is above the baseline
	latencyTolerance = 2.0  // multiple of the baseline up to which the recent latency lets the limit grow
	latencyBackoff   = 0.9  // factor of a decrease because of latency
	shedBackoff      = 0.5  // factor of a decrease because of a shed
	minLimit         = 1.0
)

// Limit is the concurrency limit of one upstream. It is immutable; its methods return the next limit.
type Limit struct {
	value    float64
	maxValue int
	recent   time.Duration
	baseline time.Duration
	// lastDecrease is the time of the last decrease. The next decrease follows at the earliest after the recent latency, so
	// that one burst of sheds causes one decrease.
	lastDecrease time.Time
}

// New returns a limit that starts at initial and stays between 1 and upper.
func New(initial, upper int) Limit {
	return Limit{value: min(max(minLimit, float64(initial)), float64(max(1, upper))), maxValue: max(1, upper)}
}

// Value returns the number of requests that may be in flight.
func (l Limit) Value() int { return int(l.value) }

// Latency returns the moving average of recent latencies, or 0 without a sample.
func (l Limit) Latency() time.Duration { return l.recent }

// WithMax sets the upper bound.
func (l Limit) WithMax(upper int) Limit {
	l.maxValue = max(1, upper)
	l.value = min(l.value, float64(l.maxValue))
	return l
}

// WithValue sets the limit to value, within its bounds, and keeps the latencies.
func (l Limit) WithValue(value int) Limit {
	l.value = min(max(minLimit, float64(value)), float64(l.maxValue))
	return l
}

// WithSuccess records a success with the given latency while inFlight requests were in flight, including itself.
func (l Limit) WithSuccess(now time.Time, latency time.Duration, inFlight int) Limit {
	l = l.withLatency(latency)
	if float64(l.recent) > latencyTolerance*float64(l.baseline) {
		return l.decrease(now, latencyBackoff)
	}
	if inFlight >= l.Value() {
		l.value = min(l.value+1/l.value, float64(l.maxValue))
	}
	return l
}

// WithShed records that the upstream shed a request.
func (l Limit) WithShed(now time.Time) Limit { return l.decrease(now, shedBackoff) }

// withLatency adds a sample to the recent latency and adjusts the baseline.
func (l Limit) withLatency(latency time.Duration) Limit {
	if l.recent == 0 {
		l.recent, l.baseline = latency, latency
	}
	l.recent += time.Duration(recentWeight * float64(latency-l.recent))
	weight := baselineWeight
	if l.recent < l.baseline {
		weight = recentWeight // the baseline is the latency without queueing in the upstream
	}
	l.baseline += time.Duration(weight * float64(l.recent-l.baseline))
	return l
}

// decrease multiplies the limit by factor unless the last decrease was within the recent latency.
func (l Limit) decrease(now time.Time, factor float64) Limit {
	if now.Sub(l.lastDecrease) < l.recent {
		return l
	}
	l.lastDecrease = now
	l.value = max(minLimit, l.value*factor)
	return l
}
