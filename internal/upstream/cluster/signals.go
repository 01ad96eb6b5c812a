package cluster

import (
	"time"
)

// Signals is the state of an upstream as reported in a response.
type Signals struct {
	// NotRun reports whether the upstream stated that it did not run the request.
	NotRun bool
	// IsMisdirected reports whether the address now belongs to another upstream.
	IsMisdirected bool
	// IsLeaving reports whether the upstream announced that it is leaving.
	IsLeaving bool
	// Responder is the name of the upstream that sent the response, if the response states it.
	Responder string
	// Load is the number of running and queued requests relative to the slots; negative if unknown.
	Load float64
	// Slots is the number of requests that the upstream runs at a time; 0 if unknown.
	Slots float64
	// WorkFactor is how long work takes at the upstream at this moment relative to its usual duration; 0 if the upstream does not report it.
	WorkFactor float64
	// BodyBytes is the announced size of the body of the response; 0 if unknown.
	BodyBytes int64
	// RetryAfter is the pause that the upstream requested when it turned the request away; 0 if none.
	RetryAfter time.Duration
	// Proof proves that the upstream itself produced the response; empty if there is none.
	Proof string
}

// Outcome is the outcome of an attempt on a replica.
type Outcome int

// Outcomes of an attempt.
const (
	// Succeeded means that a complete and usable response arrived.
	Succeeded Outcome = iota
	// Failed means any other response or error.
	Failed
	// Unreachable means that the connection was refused; nothing was sent.
	Unreachable
)

// RecordOutcome records the outcome of an attempt on the replica.
func (c *Cluster) RecordOutcome(r *Replica, o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch o {
	case Unreachable:
		r.recordConnectionRefusal(now)
		if c.coldShare != nil {
			r.assumedColdUntil = now.Add(assumedColdTime)
		}
	case Succeeded:
		r.connectionRefusals = 0
		r.recordAttempt(false, now)
	case Failed:
		r.connectionRefusals = 0
		r.recordAttempt(true, now)
	}
}

// Change is what a response changed in the state of a replica.
type Change struct {
	// IsLeaving reports whether the response is the first that announces the departure.
	IsLeaving bool
	// Pause is the pause that the response requested, if none was in force; else 0.
	Pause time.Duration
}

// RecordSignals records the state that the replica reported in a response.
func (c *Cluster) RecordSignals(r *Replica, s Signals) (change Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	r.recordLoad(s, now)
	c.recordSize(s.BodyBytes)
	change.IsLeaving = c.recordDeparture(r, s, now)
	switch {
	case s.IsMisdirected:
		r.misdirected = true
		return change
	case s.NotRun:
		r.pauseAfterShed(now)
	}
	if s.RetryAfter > 0 {
		if !r.isPaused(now) {
			change.Pause = s.RetryAfter
		}
		r.pauseFor(now, s.RetryAfter)
	}
	return change
}

// RecordDeparture records the announcement in a response that is unusable for its request.
func (c *Cluster) RecordDeparture(r *Replica, s Signals) Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Change{IsLeaving: c.recordDeparture(r, s, time.Now())}
}

// recordDeparture attributes an announcement to the upstream that sent the response, which differs from the replica if the address
// now belongs to another one. It reports whether the announcement is the replica's first.
func (c *Cluster) recordDeparture(r *Replica, s Signals, now time.Time) (isFirst bool) {
	switch {
	case !s.IsLeaving:
	case !s.IsMisdirected:
		return r.departure.Announce(now)
	case s.Responder != "":
		c.departures.Announce(s.Responder, now)
	}
	return false
}
