// Package stall detects stalled connections: those that deliver nothing while other connections to the same upstream work.
// Package link begins an attempt here for each request that it sends, and decides which connections to close if it is stalled.
//
// An attempt is stalled if later attempts have been answered, no byte has arrived for it and its age exceeds a threshold. The
// threshold is computed like the retransmission timeout of RFC 6298, from the smoothed mean of recent service times and their
// smoothed deviation.
//
// A lone attempt, with no other attempts to compare with, is stalled if its connection was used before and no byte has arrived
// for several times the threshold. This happens only once until the upstream answers again: if the upstream itself is slow,
// abandoning a second attempt would gain nothing.
package stall

import (
	"sync"
	"time"
)

const (
	minOvertaking   = 3 // number of later attempts that must have been answered
	minThreshold    = 20 * time.Millisecond
	thresholdFactor = 3     // multiple of the mean plus four deviations
	loneFactor      = 3     // multiple of the threshold from which a lone attempt is stalled
	meanWeight      = 0.125 // RFC 6298, alpha
	deviationWeight = 0.25  // RFC 6298, beta
	deviations      = 4     // RFC 6298, K
)

// Detector detects stalled attempts among those in flight to one upstream. It is safe for concurrent use.
type Detector struct {
	mu                sync.Mutex
	number            uint64
	attempts          map[*Attempt]struct{}
	mean              time.Duration
	deviation         time.Duration
	answeredSinceLone bool // the upstream has answered since the last stalled lone attempt
}

// Attempt is a request in flight on its own connection.
type Attempt struct {
	detector       *Detector
	number         uint64
	started        time.Time
	received       func() int64
	abandon        func()
	overtakenBy    int // number of later attempts that were answered
	overtakenTimer *time.Timer
	loneTimer      *time.Timer // nil if the attempt cannot count as a stalled lone attempt
	stalled        bool
}

// New returns a Detector without any service times.
func New() *Detector { return &Detector{attempts: make(map[*Attempt]struct{})} }

// Begin adds an attempt. reused states whether the connection was used by an earlier attempt, and received returns the number of
// bytes that have arrived for the attempt. abandon is called at most once, if the attempt is stalled; if it is nil, the attempt
// never counts as stalled.
func (d *Detector) Begin(reused bool, received func() int64, abandon func()) *Attempt {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.number++
	a := &Attempt{detector: d, number: d.number, started: time.Now(), received: received, abandon: abandon}
	d.attempts[a] = struct{}{}
	if reused && abandon != nil && d.answeredSinceLone {
		a.loneTimer = time.AfterFunc(loneFactor*d.threshold(), a.checkLone)
	}
	return a
}

// End removes the attempt and reports whether it was stalled. answered states whether a complete response arrived.
func (a *Attempt) End(answered bool) (stalled bool) {
	d := a.detector
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.attempts, a)
	a.stopTimers()
	if answered {
		d.recordServiceTime(time.Since(a.started))
		d.recordOvertaking(a.number)
	}
	return a.stalled
}

func (a *Attempt) stopTimers() {
	if a.overtakenTimer != nil {
		a.overtakenTimer.Stop()
	}
	if a.loneTimer != nil {
		a.loneTimer.Stop()
	}
}

// Threshold returns the age above which an overtaken attempt without a received byte is stalled.
func (d *Detector) Threshold() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.threshold()
}

func (d *Detector) threshold() time.Duration {
	return max(minThreshold, thresholdFactor*(d.mean+deviations*d.deviation))
}

// recordServiceTime updates the mean and the deviation as RFC 6298 does for round-trip times.
func (d *Detector) recordServiceTime(serviceTime time.Duration) {
	d.answeredSinceLone = true
	if d.mean == 0 {
		d.mean, d.deviation = serviceTime, serviceTime/2
		return
	}
	diff := serviceTime - d.mean
	d.mean += time.Duration(meanWeight * float64(diff))
	d.deviation += time.Duration(deviationWeight * float64(diff.Abs()-d.deviation))
}

// recordOvertaking records on all attempts begun before the given one that it overtook them.
func (d *Detector) recordOvertaking(number uint64) {
	for a := range d.attempts {
		if a.number > number || a.abandon == nil || a.stalled {
			continue
		}
		a.overtakenBy++
		if a.overtakenBy >= minOvertaking && a.overtakenTimer == nil {
			a.overtakenTimer = time.AfterFunc(d.threshold()-time.Since(a.started), a.checkOvertaken)
		}
	}
}

// checkLone abandons the attempt if its age is several times the current threshold and no byte has arrived.
func (a *Attempt) checkLone() {
	d := a.detector
	d.mu.Lock()
	_, running := d.attempts[a]
	left := loneFactor*d.threshold() - time.Since(a.started)
	if running && left > 0 {
		a.loneTimer.Reset(left)
	}
	stalled := running && left <= 0 && !a.stalled && d.answeredSinceLone && a.received() == 0
	if stalled {
		a.stalled, d.answeredSinceLone = true, false
	}
	d.mu.Unlock()
	if stalled {
		a.abandon()
	}
}

// checkOvertaken abandons the attempt if its age is above the current threshold and no byte has arrived.
func (a *Attempt) checkOvertaken() {
	d := a.detector
	d.mu.Lock()
	_, running := d.attempts[a]
	left := d.threshold() - time.Since(a.started)
	if running && left > 0 {
		a.overtakenTimer.Reset(left)
	}
	stalled := running && left <= 0 && !a.stalled && a.received() == 0
	a.stalled = a.stalled || stalled
	d.mu.Unlock()
	if stalled {
		a.abandon()
	}
}
