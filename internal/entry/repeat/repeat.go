// Package repeat recognizes a caller's repeated requests and bounds the work that they cause.
//
// First requests earn a share of their cost, repeats spend theirs, as in the retry budgets of
// "Site Reliability Engineering" (Beyer et al., 2016), chapter "Handling Overload".
package repeat

import "time"

const (
	// window is how long after its end a request is remembered.
	window = 10 * time.Second
	// earnShare is the part of a first request's cost that it earns for repeats. With one more
	// repeat in each slowPeriod it keeps the extra work below a tenth at 50 requests/s and more.
	earnShare = 0.09
	// slowPeriod is the time in which one repeat passes without budget, for callers of few requests.
	slowPeriod = 2 * time.Second
	// burstShare is the part of the caller's highest cost in flight that may be saved up.
	burstShare = 0.25
	maxKeys    = 8192
)

// Kind classifies a request.
type Kind int

// Kinds of request.
const (
	// First is a request that is not known.
	First Kind = iota
	// Coalesced is identical with one in flight, whose execution it shares.
	Coalesced
	// Retry is identical with one that ended without a whole answer.
	Retry
	// Repeat is identical with one that got its whole answer.
	Repeat
)

// History remembers the recent requests of one caller by a hash of their bodies. It is not safe
// for concurrent use.
type History struct {
	entries  map[uint64]entry
	order    []ended // by time
	tokens   float64
	lastSlow time.Time
}

// entry is what is known about one body.
type entry struct {
	inFlight int
	whole    bool      // one of the last execution's callers got the whole answer
	at       time.Time // of the last end
}

type ended struct {
	key uint64
	at  time.Time
}

// New makes an empty history.
func New() *History { return &History{entries: make(map[uint64]entry)} }

// Classify tells what kind of request key is. The key 0 is always First.
func (h *History) Classify(key uint64, now time.Time) Kind {
	h.forget(now)
	e, ok := h.entries[key]
	switch {
	case key == 0 || !ok:
		return First
	case e.inFlight > 0:
		return Coalesced
	case e.whole:
		return Repeat
	}
	return Retry
}

// Earn credits the cost of a first request; most is the caller's highest cost in flight.
func (h *History) Earn(cost, most int) {
	h.tokens = min(max(h.tokens, burstShare*float64(most)), h.tokens+earnShare*float64(cost))
}

// Spend pays for a repeat and reports whether the budget permits it.
func (h *History) Spend(cost int, now time.Time) bool {
	if h.tokens >= float64(cost) {
		h.tokens -= float64(cost)
		return true
	}
	if now.Sub(h.lastSlow) < slowPeriod {
		return false
	}
	h.lastSlow = now
	return true
}

// Refund gives back what a repeat paid that did not run after all.
func (h *History) Refund(cost int) { h.tokens += float64(cost) }

// Begin notes that the request was admitted.
func (h *History) Begin(key uint64) {
	if key == 0 {
		return
	}
	e := h.entries[key]
	if e.inFlight == 0 {
		e.whole = false
	}
	e.inFlight++
	h.entries[key] = e
}

// End notes the end of an admitted request; whole tells that its caller got a whole answer.
func (h *History) End(key uint64, whole bool, now time.Time) {
	if key == 0 {
		return
	}
	e := h.entries[key]
	e.inFlight--
	e.whole = e.whole || whole
	e.at = now
	h.entries[key] = e
	h.order = append(h.order, ended{key: key, at: now})
	h.forget(now)
}

// forget drops what is older than the window, and the oldest above maxKeys.
func (h *History) forget(now time.Time) {
	n := 0
	for n < len(h.order) && (now.Sub(h.order[n].at) > window || len(h.order)-n > maxKeys) {
		old := h.order[n]
		if e := h.entries[old.key]; e.inFlight == 0 && !e.at.After(old.at) {
			delete(h.entries, old.key)
		}
		n++
	}
	h.order = h.order[n:]
}
