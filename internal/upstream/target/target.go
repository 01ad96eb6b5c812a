// Package target holds the running state of one upstream: its limit, its warm-up and its latency.
package target

import (
	"context"
	"sync"
	"time"

	"crocuswing/internal/upstream/contract"
	"crocuswing/internal/upstream/signal"
)

const (
	latencyWeight = 0.2             // weight of the newest sample in the mean
	leavingHold   = 5 * time.Second // how long an answer's leaving signal counts without the list
)

// Target is one upstream as this instance knows it. It is safe for concurrent use.
type Target struct {
	name     string
	contract contract.Contract

	mu           sync.Mutex
	inFlight     int
	waiters      []chan struct{}
	latency      time.Duration
	load         float64
	incarnation  string
	cold         bool
	successes    int
	leavingUntil time.Time
	shedUntil    time.Time
}

// New makes a target that is cold until it has proved itself.
func New(name string, c contract.Contract) *Target {
	return &Target{name: name, contract: c, cold: true}
}

// Name is the upstream's name.
func (t *Target) Name() string { return t.name }

// Contract states what the upstream can bear.
func (t *Target) Contract() contract.Contract { return t.contract }

// Acquire waits for a slot until ctx ends. Each success needs one Release.
func (t *Target) Acquire(ctx context.Context) error {
	t.mu.Lock()
	if t.inFlight < t.limit() {
		t.inFlight++
		t.mu.Unlock()
		return nil
	}
	granted := make(chan struct{})
	t.waiters = append(t.waiters, granted)
	t.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		t.withdraw(granted)
		return ctx.Err()
	}
}

// withdraw removes a waiter, or gives back the slot that it was granted meanwhile.
func (t *Target) withdraw(granted chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, w := range t.waiters {
		if w == granted {
			t.waiters = append(t.waiters[:i], t.waiters[i+1:]...)
			return
		}
	}
	t.inFlight--
	t.grant()
}

// Release gives the slot back.
func (t *Target) Release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	t.grant()
}

func (t *Target) grant() {
	for len(t.waiters) > 0 && t.inFlight < t.limit() {
		close(t.waiters[0])
		t.waiters = t.waiters[1:]
		t.inFlight++
	}
}

// Succeeded records an answer and the time it took.
func (t *Target) Succeeded(took time.Duration, s signal.Signal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(time.Now(), s)
	if t.latency == 0 {
		t.latency = took
	}
	t.latency += time.Duration(latencyWeight * float64(took-t.latency))
	t.successes++
	if !s.Cold && t.successes >= t.contract.WarmAfter {
		t.cold = false
	}
}

// Failed records a failed attempt; broken tells that the connection was refused or reset.
func (t *Target) Failed(broken bool, s signal.Signal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(time.Now(), s)
	if broken {
		t.restart()
	}
}

// Relayed records an answer that came through the first home, and whether that finds the upstream cold.
func (t *Target) Relayed(took time.Duration, s signal.Signal, cold bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(time.Now(), s)
	if t.latency == 0 {
		t.latency = took
	}
	if !cold {
		t.cold = false
	}
}

func (t *Target) observe(now time.Time, s signal.Signal) {
	if s.Incarnation != "" && s.Incarnation != t.incarnation {
		t.incarnation = s.Incarnation
		t.restart()
	}
	if s.Cold && !t.cold {
		t.restart()
	}
	if s.Leaving {
		t.leavingUntil = now.Add(leavingHold)
	}
	if s.Shed {
		t.shedUntil = now.Add(s.RetryAfter)
	}
	if s.Load >= 0 {
		t.load = s.Load
	}
}

func (t *Target) restart() {
	t.cold = true
	t.successes = 0
}

func (t *Target) limit() int {
	if t.cold {
		return t.contract.ColdSlots
	}
	return t.contract.Slots
}

// IsCold tells whether the upstream still warms up.
func (t *Target) IsCold() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cold
}

// IsOpen tells whether the upstream is neither leaving nor shedding at now.
func (t *Target) IsOpen(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !now.Before(t.leavingUntil) && !now.Before(t.shedUntil)
}

// Busy is the number of requests in flight or waiting here.
func (t *Target) Busy() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlight + len(t.waiters)
}

// Latency is the weighted mean of recent service times.
func (t *Target) Latency() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latency
}
