// Package retrybudget bounds the attempts beyond the first of each request to one service.
//
// All instances together may make a ratio of the requests and a slack in any window. The ratio adds up over the
// instances by itself; of the slack each takes its part. So the bound holds without agreement, as long as no instance
// assumes fewer instances than there are. Where the part of an instance is less than one attempt, it has one with the probability of
// its part of the slack, so that a large fleet still has as many together.
package retrybudget

import (
	"math/rand/v2"
	"sync"
	"time"
)

// steps is the number of parts into which a window is divided. Requests are counted over one part less than the window and
// extra attempts over one part more, so that the bound holds for every span of the window's length.
const steps = 20

// reserveShare of the budget is kept from attempts that only make a slow request faster.
const reserveShare = 0.25

// drawEvery windows an instance draws anew whether it has an attempt. Two draws within one window add up to more than the part, so
// they are rare.
const drawEvery = 10

// Budget counts requests and extra attempts of one service. It is safe for concurrent use.
type Budget struct {
	window time.Duration
	begun  time.Time

	mu    sync.Mutex
	ratio float64
	slack float64
	slots [steps + 2]slot
	draw  float64 // below the part of an attempt that the instance has it
	drawn time.Time
}

type slot struct {
	number   int64 // of the part of the time since begun
	requests float64
	extra    float64
}

// New makes a budget that begins with nothing. slack is the part of this instance.
func New(ratio, slack float64, window time.Duration) *Budget {
	now := time.Now()
	return &Budget{ratio: ratio, slack: slack, window: window, begun: now, draw: rand.Float64(), drawn: now.Add(-rand.N(drawEvery * window))}
}

// SetBounds changes the ratio, and the part of the slack that this instance may use.
func (a *Budget) SetBounds(ratio, slack float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ratio, a.slack = ratio, slack
}

// AddRequest counts one request.
func (a *Budget) AddRequest() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slot(a.number()).requests++
}

// Spend counts one extra attempt if it is allowed, and reports whether it is.
func (a *Budget) Spend() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.spend(0)
}

// SpendAboveReserve counts one extra attempt if it is allowed and leaves a part of what the window allows to others, for which
// nothing else will do.
func (a *Budget) SpendAboveReserve() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.spend(reserveShare)
}

// spend counts one extra attempt if that leaves a share of what is allowed.
func (a *Budget) spend(leave float64) bool {
	left, allowed := a.left()
	isAllowed := left >= 1+leave*allowed
	if allowed < 1 {
		// Only the slack counts here: what the ratio gives changes all the time, and the highest value would win in the end.
		isAllowed = left == allowed && a.lot() < (1-leave)*a.slack*a.grown()
	}
	if isAllowed {
		a.slot(a.number()).extra++
	}
	return isAllowed
}

// grown is the part of the slack that a process may use that does not know what it used before its start.
func (a *Budget) grown() float64 { return min(1, float64(time.Since(a.begun))/float64(a.window)) }

// lot is the draw of the present windows.
func (a *Budget) lot() float64 {
	if now := time.Now(); now.Sub(a.drawn) >= drawEvery*a.window {
		a.draw, a.drawn = rand.Float64(), now
	}
	return a.draw
}

// Remaining is the number of extra attempts that are allowed now.
func (a *Budget) Remaining() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	left, _ := a.left()
	return left
}

// HasSpare tells whether n extra attempts are left, or half of what is allowed where that is less.
func (a *Budget) HasSpare(n float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	left, allowed := a.left()
	return left > 0 && left >= min(n, allowed/2)
}

// left gives what is left of what is allowed now.
func (a *Budget) left() (left, allowed float64) {
	now := a.number()
	var requests, extra float64
	for i := range a.slots {
		s := &a.slots[i]
		age := now - s.number
		if age < steps-1 {
			requests += s.requests
		}
		if age <= steps {
			extra += s.extra
		}
	}
	allowed = a.ratio*requests + a.slack*a.grown()
	return allowed - extra, allowed
}

func (a *Budget) number() int64 {
	return int64(time.Since(a.begun)/(a.window/steps)) + 2*steps
}

func (a *Budget) slot(number int64) *slot {
	s := &a.slots[number%int64(len(a.slots))]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}
