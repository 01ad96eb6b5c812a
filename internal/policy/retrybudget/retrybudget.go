// Package retrybudget bounds the extra attempts (retries and hedges) on one service, so that they do not overload a failing service.
//
// Package cluster keeps a budget for each service and charges to it the retries and hedges of forwarded requests. In any window, all
// instances together may send ratio × requests + slack extra attempts. Each instance applies the ratio to its own requests and uses
// its share of the slack. The bound therefore holds without coordination, as long as no instance assumes fewer instances than there
// are. If the share of an instance is less than one attempt, the instance may send one attempt with the probability of that share, so
// that a large fleet together still uses the same slack.
package retrybudget

import (
	"math/rand/v2"
	"sync"
	"time"
)

// intervalsPerWindow is the number of intervals into which a window is divided. Requests are counted over one interval less than the
// window and extra attempts over one interval more, so that the bound holds for every time span of the window's length.
const intervalsPerWindow = 20

// reserveShare is the share of the budget that SpendAboveReserve leaves for attempts without which a request fails.
const reserveShare = 0.25

// drawWindows is the number of windows after which an instance with a share below one attempt redraws whether it has one. Redraws are
// rare because two of them within one window together exceed the share.
const drawWindows = 10

// Budget counts the requests and extra attempts on one service. It is safe for concurrent use.
type Budget struct {
	window time.Duration
	start  time.Time

	mu        sync.Mutex
	ratio     float64
	slack     float64
	intervals [intervalsPerWindow + 2]interval
	draw      float64 // in [0, 1); the instance has an attempt if this is below its share
	drawnAt   time.Time
}

// interval counts the requests and extra attempts of one interval of time.
type interval struct {
	number   int64 // see intervalNumber
	requests float64
	extra    float64
}

// New returns an empty Budget. slack is this instance's share of the slack; it becomes available gradually
// over the first window.
func New(ratio, slack float64, window time.Duration) *Budget {
	now := time.Now()
	return &Budget{ratio: ratio, slack: slack, window: window, start: now, draw: rand.Float64(), drawnAt: now.Add(-rand.N(drawWindows * window))}
}

// SetBounds changes the ratio and this instance's share of the slack.
func (b *Budget) SetBounds(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
}

// AddRequest counts one request, which adds to the budget.
func (b *Budget) AddRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.interval(b.intervalNumber()).requests++
}

// Spend counts one extra attempt if the budget permits, and reports whether it did.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spend(0)
}

// SpendAboveReserve is like Spend but leaves a quarter of the budget for attempts without which a request fails. It is for attempts
// that only make a slow request faster.
func (b *Budget) SpendAboveReserve() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spend(reserveShare)
}

// spend counts one extra attempt if the given share of the budget is left after it.
func (b *Budget) spend(reserve float64) bool {
	remaining, allowed := b.balance()
	ok := remaining >= 1+reserve*allowed
	if allowed < 1 {
		// Compare the draw with the slack only: the ratio's contribution varies all the time, so its highest value would decide.
		ok = remaining == allowed && b.currentDraw() < (1-reserve)*b.slack*b.slackRamp()
	}
	if ok {
		b.interval(b.intervalNumber()).extra++
	}
	return ok
}

// slackRamp returns the usable share of the slack. It grows from 0 to 1 over the first window, because a process does not know what
// its predecessor spent before the restart.
func (b *Budget) slackRamp() float64 { return min(1, float64(time.Since(b.start))/float64(b.window)) }

// currentDraw returns the random draw in force and renews it every drawWindows windows.
func (b *Budget) currentDraw() float64 {
	if now := time.Now(); now.Sub(b.drawnAt) >= drawWindows*b.window {
		b.draw, b.drawnAt = rand.Float64(), now
	}
	return b.draw
}

// Remaining returns the number of extra attempts that are left in the window.
func (b *Budget) Remaining() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	remaining, _ := b.balance()
	return remaining
}

// HasSpare reports whether at least n extra attempts are left, or half of the budget if that is less.
func (b *Budget) HasSpare(n float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	remaining, allowed := b.balance()
	return remaining > 0 && remaining >= min(n, allowed/2)
}

// balance returns the number of extra attempts that are left in the current window, and the number that it allows in total.
func (b *Budget) balance() (remaining, allowed float64) {
	now := b.intervalNumber()
	var requests, extra float64
	for i := range b.intervals {
		iv := &b.intervals[i]
		age := now - iv.number
		if age < intervalsPerWindow-1 {
			requests += iv.requests
		}
		if age <= intervalsPerWindow {
			extra += iv.extra
		}
	}
	allowed = b.ratio*requests + b.slack*b.slackRamp()
	return allowed - extra, allowed
}

// intervalNumber returns the index of the current interval. It starts at a positive offset, so that unused intervals count as expired.
func (b *Budget) intervalNumber() int64 {
	return int64(time.Since(b.start)/(b.window/intervalsPerWindow)) + 2*intervalsPerWindow
}

// interval returns the interval with the given number and resets its place if that held an expired one.
func (b *Budget) interval(number int64) *interval {
	iv := &b.intervals[number%int64(len(b.intervals))]
	if iv.number != number {
		*iv = interval{number: number}
	}
	return iv
}
