// Package repeat recognizes the repeated requests of a caller and limits the work that they cause. Admission consults it for
// each request.
//
// A first request earns a share of its cost as budget, and a repeat spends its cost, as with the retry budgets of "Site
// Reliability Engineering" (Beyer et al., 2016), chapter "Handling Overload".
package repeat

import "time"

const (
	// retention is how long a request is remembered after its end.
	retention = 10 * time.Second
	// earnShare is the share of its cost that a first request earns for repeats. Together with one free repeat in each
	// freeRepeatInterval it keeps the extra work below a tenth at 50 requests/s and more.
	earnShare = 0.09
	// freeRepeatInterval is the interval in which one repeat passes without budget, for callers with few requests.
	freeRepeatInterval = 2 * time.Second
	// burstShare is the share of the caller's maximum cost in flight that may be saved as budget.
	burstShare = 0.25
	// maxEnds limits the ended requests that are remembered of one caller.
	maxEnds = 8192
)

// Kind classifies a request.
type Kind int

// Kinds of request.
const (
	// First is a request that is not identical to a remembered one.
	First Kind = iota
	// Coalesced is identical to one in flight, whose execution it shares.
	Coalesced
	// Retry is identical to one that ended without a complete answer.
	Retry
	// Repeat is identical to one that got its complete answer.
	Repeat
)

// History remembers the recent requests of one caller by a hash of their bodies. It is not safe for concurrent use.
type History struct {
	entries  map[uint64]entry
	ends     []end     // in order of time
	tokens   float64   // budget for repeats, in the unit of cost
	lastFree time.Time // last repeat that passed without budget
}

// entry is the state of all requests with the same key.
type entry struct {
	inFlight int
	complete bool      // some request of the last execution got the complete answer
	endedAt  time.Time // time of the last end
}

// end is the end of one request.
type end struct {
	key uint64
	at  time.Time
}

// New returns an empty History.
func New() *History { return &History{entries: make(map[uint64]entry)} }

// Classify returns the kind of a request with the given key. The key 0 is always First.
func (h *History) Classify(key uint64, now time.Time) Kind {
	h.evict(now)
	e, ok := h.entries[key]
	switch {
	case key == 0 || !ok:
		return First
	case e.inFlight > 0:
		return Coalesced
	case e.complete:
		return Repeat
	}
	return Retry
}

// Earn adds earnShare of the cost of a first request to the budget, up to burstShare of maxCost, the caller's maximum cost in
// flight.
func (h *History) Earn(cost, maxCost int) {
	h.tokens = min(max(h.tokens, burstShare*float64(maxCost)), h.tokens+earnShare*float64(cost))
}

// Spend charges a repeat to the budget. It reports whether the repeat may run and the cost that was charged, which is 0 for a repeat
// that the budget does not cover. One of these may run in each freeRepeatInterval.
func (h *History) Spend(cost int, now time.Time) (charged int, ok bool) {
	if h.tokens >= float64(cost) {
		h.tokens -= float64(cost)
		return cost, true
	}
	if now.Sub(h.lastFree) < freeRepeatInterval {
		return 0, false
	}
	h.lastFree = now
	return 0, true
}

// Refund returns to the budget what Spend charged for a repeat that did not run.
func (h *History) Refund(charged int) { h.tokens += float64(charged) }

// Begin records that a request was admitted.
func (h *History) Begin(key uint64) {
	if key == 0 {
		return
	}
	e := h.entries[key]
	if e.inFlight == 0 {
		e.complete = false
	}
	e.inFlight++
	h.entries[key] = e
}

// End records the end of an admitted request. complete is whether its caller got a complete answer.
func (h *History) End(key uint64, complete bool, now time.Time) {
	if key == 0 {
		return
	}
	e := h.entries[key]
	e.inFlight--
	e.complete = e.complete || complete
	e.endedAt = now
	h.entries[key] = e
	h.ends = append(h.ends, end{key: key, at: now})
	h.evict(now)
}

// evict removes the ends that are older than retention, and the oldest ones above maxEnds.
func (h *History) evict(now time.Time) {
	n := 0
	for n < len(h.ends) && (now.Sub(h.ends[n].at) > retention || len(h.ends)-n > maxEnds) {
		old := h.ends[n]
		if e := h.entries[old.key]; e.inFlight == 0 && !e.endedAt.After(old.at) {
			delete(h.entries, old.key)
		}
		n++
	}
	h.ends = h.ends[n:]
}
