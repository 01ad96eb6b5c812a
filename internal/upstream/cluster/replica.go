package cluster

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"crocuswing/internal/published/registration"
	"crocuswing/internal/query/balancer"
	"crocuswing/internal/upstream/departure"
	"crocuswing/internal/upstream/link"
)

const (
	// coldWindow is longer than the second to which the cold rate applies, since requests arrive with different delays.
	coldWindow = 1200 * time.Millisecond
	// minShedPause is the minimum pause after an upstream shed a request; it exceeds a few service times of a busy upstream.
	minShedPause = 20 * time.Millisecond
	// maxResumeSpread is the longest time by which instances differ in when they end a pause that an upstream requested.
	maxResumeSpread = 500 * time.Millisecond
	// lastResortShare is the share of the drain time for which a leaving upstream may still receive requests that no other can take.
	// The rest of the drain time covers requests that wait for a connection.
	lastResortShare = 0.5
	// firstBackoff and maxBackoff are the first and the longest pause after refused connections. A process takes at least about
	// firstBackoff to restart.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// assumedColdTime is how long an upstream that refused a connection counts as cold, since it may be restarting, unless a new
	// registration arrives: one second until it has registered again and two until every instance has read the registration.
	assumedColdTime = 3 * time.Second
	// downAfter is the number of consecutive refused connections after which an upstream counts as down.
	downAfter = 2
	// failureWeight is the weight of the newest attempt in the average failure rate. Without attempts the rate halves in each
	// failureHalfLife, so that an upstream that has recovered receives requests again.
	failureWeight   = 0.2
	failureHalfLife = 2 * time.Second
)

// Replica is an upstream of a cluster. Its mutable fields are guarded by the mutex of the cluster.
type Replica struct {
	registration registration.Registration
	distance     balancer.Distance
	region       string
	link         *link.Link
	departure    *departure.Departure
	coldUntil    time.Time
	shedUntil    time.Time // end of the pause after a shed request
	pausedUntil  time.Time // end of the pause that the upstream requested
	reportedLoad
	misdirected        bool      // the address belongs to another upstream
	preconnectedAt     time.Time // time of the last dial by Preconnect
	connectionRefusals int       // consecutive refused connections
	backoffUntil       time.Time
	assumedColdUntil   time.Time // after a refused connection, since the upstream may have restarted
	failureAverage     float64   // moving average of the failure rate at failureAverageAt
	failureAverageAt   time.Time
	coldSendTimes      []time.Time // when requests were sent while cold, within coldWindow
	transient          bool        // outside the subset: no idle connections are kept
}

// Name returns the name of the upstream.
func (r *Replica) Name() string { return r.registration.Upstream }

// Distance returns the distance of the upstream from this instance.
func (r *Replica) Distance() balancer.Distance { return r.distance }

// Link returns the link to the upstream.
func (r *Replica) Link() *link.Link { return r.link }

func (r *Replica) setTransient(transient bool) {
	if r.transient != transient {
		r.transient = transient
		r.link.SetTransient(transient)
	}
}

func (r *Replica) isCold(now time.Time) bool {
	return now.Before(r.coldUntil) || now.Before(r.assumedColdUntil)
}

// state returns the state of the replica. drainTime is the time for which a leaving upstream serves after its announcement.
func (r *Replica) state(now time.Time, drainTime time.Duration) balancer.State {
	announced, leaving := r.departure.Announced()
	lastResort := time.Duration(lastResortShare * float64(drainTime))
	switch {
	case r.misdirected || r.registration.Draining || (leaving && now.Sub(announced) >= lastResort):
		return balancer.StateUnavailable
	case r.isPaused(now), now.Before(r.shedUntil), now.Before(r.backoffUntil):
		return balancer.StateShedding
	case leaving:
		return balancer.StateLeaving
	case r.isCold(now):
		return balancer.StateCold
	}
	return balancer.StateAvailable
}

// isPaused reports whether the upstream wants no requests yet.
func (r *Replica) isPaused(now time.Time) bool { return now.Before(r.pausedUntil) }

// pauseAfterShed starts a short pause of random length, so that the instances do not all resume at the same time.
func (r *Replica) pauseAfterShed(now time.Time) {
	r.shedUntil = later(r.shedUntil, now.Add(minShedPause+rand.N(minShedPause)))
}

// pauseFor starts a pause that the upstream requested, with a random addition. It never shortens an earlier one.
func (r *Replica) pauseFor(now time.Time, wait time.Duration) {
	r.pausedUntil = later(r.pausedUntil, now.Add(wait+rand.N(min(wait, maxResumeSpread))))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isWithinColdRate reports whether a cold replica may receive another request within its rate.
func (r *Replica) isWithinColdRate(now time.Time, perSecond int) bool {
	sent := 0
	for _, at := range r.coldSendTimes {
		if now.Sub(at) < coldWindow {
			sent++
		}
	}
	return sent < perSecond
}

// recordColdSend counts a request to a cold replica.
func (r *Replica) recordColdSend(now time.Time) {
	r.coldSendTimes = slices.DeleteFunc(r.coldSendTimes, func(at time.Time) bool { return now.Sub(at) >= coldWindow })
	r.coldSendTimes = append(r.coldSendTimes, now)
}

// isDown reports whether the upstream counts as down after several consecutive refused connections.
func (r *Replica) isDown(now time.Time) bool {
	return r.connectionRefusals >= downAfter && now.Before(r.backoffUntil)
}

func (r *Replica) recordConnectionRefusal(now time.Time) {
	if now.Before(r.backoffUntil) {
		return // the attempt began before the current pause
	}
	r.backoffUntil = now.Add(min(firstBackoff<<min(r.connectionRefusals, 5), maxBackoff))
	r.connectionRefusals++
}

// recordAttempt adds an attempt to the average failure rate.
func (r *Replica) recordAttempt(failed bool, now time.Time) {
	r.failureAverage = r.failureRate(now)
	r.failureAverageAt = now
	if failed {
		r.failureAverage += failureWeight * (1 - r.failureAverage)
	} else {
		r.failureAverage -= failureWeight * r.failureAverage
	}
}

func (r *Replica) failureRate(now time.Time) float64 {
	return r.failureAverage * math.Exp2(-float64(now.Sub(r.failureAverageAt))/float64(failureHalfLife))
}
