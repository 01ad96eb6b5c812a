package cluster

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"crocuswing/internal/published/registration"
	"crocuswing/internal/query/balancer"
	"crocuswing/internal/upstream/link"
)

const (
	// shedFor is the shortest time for which an upstream that refused for load gets nothing more; it exceeds a few
	// service times of a busy one.
	shedFor = 20 * time.Millisecond
	// leaveFor is how long an upstream that said so in an answer counts as leaving, unless its registration confirms it.
	leaveFor = 2 * time.Second
	// firstBackoff and maxBackoff are the pauses after connections that the upstream refused; a process that starts again
	// takes about the first one at least.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// doubtTime is how long an upstream that refused connections counts as cold unless its registration tells more: a second until it
	// has registered again, and two until every instance has read that.
	doubtTime = 3 * time.Second
	// downAfter refused connections in a row an upstream counts as down.
	downAfter = 2
	// failureWeight is that of the newest attempt in the share of failed ones, which halves in failureHalfLife without
	// attempts, so that an upstream that has recovered is found.
	failureWeight   = 0.2
	failureHalfLife = 2 * time.Second
)

// Replica is one upstream of a cluster. Its fields are guarded by the cluster.
type Replica struct {
	registration registration.Registration
	distance     balancer.Distance
	region       string
	link         *link.Link
	coldUntil    time.Time
	shedUntil    time.Time
	leavingUntil time.Time
	load         float64
	loaded       time.Time
	gone         bool      // another upstream has the address
	warmed       time.Time // when a connection was last opened ahead
	unreached    int       // connections that were refused in a row
	backoffUntil time.Time
	doubtUntil   time.Time // it refused a connection, so that it may have started again, cold
	failures     float64   // share of failed attempts, as of counted
	counted      time.Time
	sent         []time.Time // while cold, within the last second
	transient    bool        // no connections are kept
}

// Name is the upstream's name.
func (r *Replica) Name() string { return r.registration.Upstream }

// Distance tells how far the upstream is.
func (r *Replica) Distance() balancer.Distance { return r.distance }

// Link holds the connections.
func (r *Replica) Link() *link.Link { return r.link }

func (r *Replica) setTransient(transient bool) {
	if r.transient != transient {
		r.transient = transient
		r.link.SetTransient(transient)
	}
}

func (r *Replica) isCold(now time.Time) bool {
	return now.Before(r.coldUntil) || now.Before(r.doubtUntil)
}

func (r *Replica) state(now time.Time) balancer.State {
	switch {
	case r.gone || r.registration.Leaving || now.Before(r.leavingUntil):
		return balancer.StateUnavailable
	case now.Before(r.shedUntil), now.Before(r.backoffUntil):
		return balancer.StateShedding
	case r.isCold(now):
		return balancer.StateCold
	}
	return balancer.StateAvailable
}

// shed spreads the return of the instances, so that they do not come back at the same moment.
func (r *Replica) shed(now time.Time, wait time.Duration) {
	wait = max(wait, shedFor)
	r.shedUntil = now.Add(wait + rand.N(wait))
}

// mayWarm tells whether a cold replica may get one more request within its rate.
func (r *Replica) mayWarm(now time.Time, perSecond int) bool {
	r.sent = slices.DeleteFunc(r.sent, func(at time.Time) bool { return now.Sub(at) >= coldWindow })
	return len(r.sent) < perSecond
}

// isDown tells whether the upstream takes no connections.
func (r *Replica) isDown(now time.Time) bool {
	return r.unreached >= downAfter && now.Before(r.backoffUntil)
}

func (r *Replica) refused(now time.Time) {
	if now.Before(r.backoffUntil) {
		return // an attempt that began before
	}
	r.backoffUntil = now.Add(min(firstBackoff<<min(r.unreached, 5), maxBackoff))
	r.unreached++
}

// count notes how an attempt ended.
func (r *Replica) count(failed bool, now time.Time) {
	r.failures = r.failureShare(now)
	r.counted = now
	if failed {
		r.failures += failureWeight * (1 - r.failures)
	} else {
		r.failures -= failureWeight * r.failures
	}
}

func (r *Replica) failureShare(now time.Time) float64 {
	return r.failures * math.Exp2(-float64(now.Sub(r.counted))/float64(failureHalfLife))
}
