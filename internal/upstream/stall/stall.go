// Package stall finds connections that deliver nothing while others to the same upstream do.
//
// The bound on an attempt's age follows the retransmission timer of RFC 6298: a smoothed mean of
// recent service times and their smoothed deviation.
//
// Where nothing else runs there is nothing to compare with. An attempt on a connection that was used
// before, without a byte for several times the bound, then counts as silent as well, but only once until
// the upstream answers again: if it is the upstream that is slow, a second one would gain nothing.
package stall

import (
	"sync"
	"time"
)

const (
	minPassed       = 3 // later attempts that must have been answered meanwhile
	minAge          = 20 * time.Millisecond
	ageFactor       = 3     // multiple of the mean plus four deviations
	loneFactor      = 3     // multiple of the bound from which an attempt is silent without comparison
	meanWeight      = 0.125 // RFC 6298, alpha
	deviationWeight = 0.25  // RFC 6298, beta
	deviations      = 4     // RFC 6298, K
)

// Detector compares the attempts in flight on one upstream. It is safe for concurrent use.
type Detector struct {
	mu        sync.Mutex
	number    uint64
	attempts  map[*Attempt]struct{}
	mean      time.Duration
	deviation time.Duration
	isAlive   bool // the upstream answered since the last attempt that was silent without comparison
}

// Attempt is one request in flight on its own connection.
type Attempt struct {
	monitor  *Detector
	number   uint64
	started  time.Time
	received func() int64
	abandon  func()
	passed   int // attempts begun later and answered already
	timer    *time.Timer
	lone     *time.Timer // nil on a fresh connection
	silent   bool
}

// New makes a detector that knows no service times yet.
func New() *Detector { return &Detector{attempts: make(map[*Attempt]struct{})} }

// Begin adds an attempt. received counts the bytes that arrived for it; abandon is called at most
// once, if its connection is found silent. With a nil abandon it is never found silent. reused tells
// that the connection served another attempt before.
func (m *Detector) Begin(reused bool, received func() int64, abandon func()) *Attempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.number++
	a := &Attempt{monitor: m, number: m.number, started: time.Now(), received: received, abandon: abandon}
	m.attempts[a] = struct{}{}
	if reused && abandon != nil && m.isAlive {
		a.lone = time.AfterFunc(loneFactor*m.bound(), a.checkLone)
	}
	return a
}

// End removes the attempt; answered tells that a whole answer arrived. It reports whether the
// attempt's connection was found silent.
func (a *Attempt) End(answered bool) (silent bool) {
	m := a.monitor
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.attempts, a)
	a.stopTimers()
	if answered {
		m.observe(time.Since(a.started))
		m.overtake(a.number)
	}
	return a.silent
}

func (a *Attempt) stopTimers() {
	if a.timer != nil {
		a.timer.Stop()
	}
	if a.lone != nil {
		a.lone.Stop()
	}
}

// Threshold is the age above which an overtaken attempt without a byte counts as silent.
func (m *Detector) Threshold() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bound()
}

func (m *Detector) bound() time.Duration {
	return max(minAge, ageFactor*(m.mean+deviations*m.deviation))
}

func (m *Detector) observe(took time.Duration) {
	m.isAlive = true
	if m.mean == 0 {
		m.mean, m.deviation = took, took/2
		return
	}
	off := took - m.mean
	m.mean += time.Duration(meanWeight * float64(off))
	m.deviation += time.Duration(deviationWeight * float64(off.Abs()-m.deviation))
}

// overtake notes the answered attempt on all that began before it.
func (m *Detector) overtake(number uint64) {
	for a := range m.attempts {
		if a.number > number || a.abandon == nil || a.silent {
			continue
		}
		a.passed++
		if a.passed >= minPassed && a.timer == nil {
			a.timer = time.AfterFunc(m.bound()-time.Since(a.started), a.check)
		}
	}
}

// checkLone abandons the attempt if its age is far above the bound of the present and nothing arrived.
func (a *Attempt) checkLone() {
	m := a.monitor
	m.mu.Lock()
	_, running := m.attempts[a]
	left := loneFactor*m.bound() - time.Since(a.started)
	if running && left > 0 {
		a.lone.Reset(left)
	}
	silent := running && left <= 0 && !a.silent && m.isAlive && a.received() == 0
	if silent {
		a.silent, m.isAlive = true, false
	}
	m.mu.Unlock()
	if silent {
		a.abandon()
	}
}

// check abandons the attempt if its age is above the bound of the present and nothing arrived.
func (a *Attempt) check() {
	m := a.monitor
	m.mu.Lock()
	_, running := m.attempts[a]
	left := m.bound() - time.Since(a.started)
	if running && left > 0 {
		a.timer.Reset(left)
	}
	silent := running && left <= 0 && !a.silent && a.received() == 0
	a.silent = a.silent || silent
	m.mu.Unlock()
	if silent {
		a.abandon()
	}
}
