// Package limit adapts the number of requests in flight to one upstream to its latency and sheds.
//
// The limit grows by one for each limit of successes and shrinks by a factor, which converges to a
// fair share (Chiu and Jain, "Analysis of the increase and decrease algorithms for congestion
// avoidance in computer networks", Computer Networks and ISDN Systems 17, 1989). As in Netflix's
// gradient limit ("Performance under load", 2018), it also shrinks where the recent latency rises
// far above the usual one.
package limit

import "time"

const (
	recentWeight  = 0.2
	usualWeight   = 0.01
	tolerance     = 2.0 // recent latency, as a multiple of the usual, up to which the limit grows
	latencyFactor = 0.9
	shedFactor    = 0.5
	least         = 1.0
)

// Limit is an immutable value; its methods give the next value.
type Limit struct {
	value  float64
	most   int
	recent time.Duration
	usual  time.Duration
	// shrunk is the time of the last decrease; one latency has to pass before the next.
	shrunk time.Time
}

// New makes a limit of start, which stays between 1 and most.
func New(start, most int) Limit {
	return Limit{value: min(max(least, float64(start)), float64(max(1, most))), most: max(1, most)}
}

// Value is the number of requests that may be in flight.
func (l Limit) Value() int { return int(l.value) }

// Latency is the recent service time; 0 if there is no sample.
func (l Limit) Latency() time.Duration { return l.recent }

// WithMax changes the upper bound.
func (l Limit) WithMax(most int) Limit {
	l.most = max(1, most)
	l.value = min(l.value, float64(l.most))
	return l
}

// WithValue begins again from start and keeps the latency.
func (l Limit) WithValue(start int) Limit {
	l.value = min(max(least, float64(start)), float64(l.most))
	return l
}

// WithSuccess records a success that took the given time with inFlight requests, itself included.
func (l Limit) WithSuccess(now time.Time, took time.Duration, inFlight int) Limit {
	l = l.withLatency(took)
	if float64(l.recent) > tolerance*float64(l.usual) {
		return l.shrink(now, latencyFactor)
	}
	if inFlight >= l.Value() {
		l.value = min(l.value+1/l.value, float64(l.most))
	}
	return l
}

// WithShed records that the upstream refused a request for load.
func (l Limit) WithShed(now time.Time) Limit { return l.shrink(now, shedFactor) }

func (l Limit) withLatency(took time.Duration) Limit {
	if l.recent == 0 {
		l.recent, l.usual = took, took
	}
	l.recent += time.Duration(recentWeight * float64(took-l.recent))
	weight := usualWeight
	if l.recent < l.usual {
		weight = recentWeight // the usual latency is that without a queue
	}
	l.usual += time.Duration(weight * float64(l.recent-l.usual))
	return l
}

func (l Limit) shrink(now time.Time, factor float64) Limit {
	if now.Sub(l.shrunk) < l.recent {
		return l
	}
	l.shrunk = now
	l.value = max(least, l.value*factor)
	return l
}
