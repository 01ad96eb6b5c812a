// Package borrower decides whether an instance runs a request of a workspace: from a loan, from its reserve, or after it has asked a
// lender. A request over the quota is refused at once.
//
// It addresses a retry storm: while all lenders have refused, further requests cause no calls.
package borrower

import (
	"math"
	"slices"
	"time"

	"crocuswing/internal/workspace/quota"
	"crocuswing/internal/workspace/roster"
)

const (
	// maxDenial is the longest time for which the word of a lender is relied on that it will have no permission. The limit may be raised.
	maxDenial = time.Second
	// minDenial is the shortest. A lender states 0 if its next permission is due within less than a nanosecond; an instance that is its own
	// lender would ask it without end.
	minDenial = time.Millisecond
	// notLendingTime is the time after which an instance is asked again that did not lend yet or any more.
	notLendingTime = 250 * time.Millisecond
	// A lender that did not respond is asked again after minAvoidance; the time doubles with each further miss up to maxAvoidance.
	minAvoidance = time.Second
	maxAvoidance = 8 * time.Second
	// prefetch is the part of a loan's life whose requests are borrowed in advance.
	prefetch = 0.5
	// demandTime is the time over which the demand is averaged.
	demandTime = time.Second
	// maxBorrowed bounds one loan.
	maxBorrowed = 1 << 12
)

// Borrower decides on the requests of one workspace at one instance. It is not safe for concurrent use.
type Borrower struct {
	loans     []loan
	reserve   window
	lenders   map[string]*lender
	demand    float64 // requests in the last demandTime, averaged
	demandAt  time.Time
	promiseAt time.Time // the latest time at which a refused caller was told to retry
	lastGrant int
}

// loan is a number of permissions that expire. The monotonic clock stands still on some machines while they are suspended, and the wall
// clock may be set, so that both have to be before the end.
type loan struct {
	permissions int
	end         time.Time
}

// isOver reports whether a time is past by either clock.
func isOver(end, now time.Time) bool { return !now.Before(end) || !now.Round(0).Before(end.Round(0)) }

type lender struct {
	deniedUntil time.Time
	nextAt      time.Time // when it expected to have a permission
	failedUntil time.Time
	misses      int
}

// Fleet is what an instance knows of the others.
type Fleet struct {
	// Lenders are the lenders of the workspace in the order in which they are asked.
	Lenders []roster.Member
	// Reserve is this instance's part of the reserve.
	Reserve int
}

// Action tells what to do with a request.
type Action int

// Actions.
const (
	// Run runs the request.
	Run Action = iota
	// Ask asks a lender and decides again.
	Ask
	// Refuse refuses the request.
	Refuse
)

// Decision is the decision on one request.
type Decision struct {
	Action
	// Permit is the permission that is used; it is zero if that is of the reserve.
	Permit Permit
	// Lender is asked for Want permissions.
	Lender roster.Member
	Want   int
	// RetryAfter is the time after which a refused request is expected to be admitted.
	RetryAfter   time.Duration
	IsLenderLost bool
}

// Permit is a permission from a loan, which may be given back.
type Permit struct{ end time.Time }

// New returns a Borrower without loans.
func New() *Borrower { return &Borrower{lenders: make(map[string]*lender)} }

// Clear forgets the loans and what is known of the lenders.
func (b *Borrower) Clear() {
	b.loans = nil
	clear(b.lenders)
}

// Decide decides on a request. waiting is the number of other requests that wait for a loan.
func (b *Borrower) Decide(now time.Time, p quota.Plan, f Fleet, waiting int) Decision {
	if permit, ok := b.use(now); ok {
		b.recordDemand(now)
		return Decision{Action: Run, Permit: permit}
	}
	if b.reserve.take(now, p.Window, f.Reserve) {
		b.recordDemand(now)
		return Decision{Action: Run}
	}
	isLost := true
	for _, m := range f.Lenders {
		l := b.lenders[m.Name]
		if l == nil || (!now.Before(l.deniedUntil) && !now.Before(l.failedUntil)) {
			return Decision{Action: Ask, Lender: m, Want: min(maxBorrowed, 1+waiting+b.prefetch(now, p))}
		}
		isLost = isLost && now.Before(l.failedUntil)
	}
	return Decision{Action: Refuse, RetryAfter: b.promise(now, p, f), IsLenderLost: isLost}
}

// use takes a permission from the loan that ends first.
func (b *Borrower) use(now time.Time) (Permit, bool) {
	b.loans = slices.DeleteFunc(b.loans, func(l loan) bool { return l.permissions == 0 || isOver(l.end, now) })
	if len(b.loans) == 0 {
		return Permit{}, false
	}
	b.loans[0].permissions--
	return Permit{end: b.loans[0].end}, true
}

// Return gives back the permission of a request that did not run.
func (b *Borrower) Return(now time.Time, p Permit) {
	if !p.end.IsZero() && !isOver(p.end, now) {
		b.add(loan{permissions: 1, end: p.end})
	}
}

func (b *Borrower) add(added loan) {
	i, _ := slices.BinarySearchFunc(b.loans, added, func(a, b loan) int { return a.end.Compare(b.end) })
	b.loans = slices.Insert(b.loans, i, added)
}

// Granted records a loan that was asked for at a time.
func (b *Borrower) Granted(asked time.Time, m roster.Member, permissions int, life time.Duration) {
	*b.lender(m) = lender{}
	b.lastGrant = permissions
	if permissions > 0 {
		b.add(loan{permissions: permissions, end: asked.Add(life)})
	}
}

// Denied records that a lender has no permission and expects one after wait.
func (b *Borrower) Denied(now time.Time, m roster.Member, wait time.Duration) {
	wait = max(wait, minDenial)
	*b.lender(m) = lender{deniedUntil: now.Add(min(wait, maxDenial)), nextAt: now.Add(wait)}
	b.lastGrant = 0
}

// NotLending records that an instance does not lend to this workspace: one of the two does not know the fleet as it is.
func (b *Borrower) NotLending(now time.Time, m roster.Member) {
	*b.lender(m) = lender{deniedUntil: now.Add(notLendingTime), nextAt: now.Add(notLendingTime)}
}

// Failed records that a lender did not respond.
func (b *Borrower) Failed(now time.Time, m roster.Member) {
	l := b.lender(m)
	if now.Before(l.failedUntil) {
		return
	}
	l.failedUntil = now.Add(min(minAvoidance<<min(l.misses, 8), maxAvoidance))
	l.misses++
}

// LastGrant returns the number of permissions that a lender last granted.
func (b *Borrower) LastGrant() int { return b.lastGrant }

func (b *Borrower) lender(m roster.Member) *lender {
	l := b.lenders[m.Name]
	if l == nil {
		l = &lender{}
		b.lenders[m.Name] = l
	}
	return l
}

// recordDemand counts an admitted request.
func (b *Borrower) recordDemand(now time.Time) {
	b.demand = b.averageDemand(now) + 1
	b.demandAt = now
}

func (b *Borrower) averageDemand(now time.Time) float64 {
	return b.demand * math.Exp(-now.Sub(b.demandAt).Seconds()/demandTime.Seconds())
}

// prefetch returns the number of permissions to borrow in advance.
func (b *Borrower) prefetch(now time.Time, p quota.Plan) int {
	return int(prefetch * b.averageDemand(now) / demandTime.Seconds() * p.Life.Seconds())
}

// promise returns the time after which a refused caller may retry. Callers that were refused before come first.
func (b *Borrower) promise(now time.Time, p quota.Plan, f Fleet) time.Duration {
	next := now.Add(p.Window)
	for _, m := range f.Lenders {
		l := b.lenders[m.Name]
		at := l.failedUntil
		if now.Before(l.nextAt) {
			at = l.nextAt
		}
		if at.Before(next) {
			next = at
		}
	}
	if rate := p.Rate * float64(p.Lenders); rate > 0 && b.promiseAt.After(now) {
		if after := b.promiseAt.Add(time.Duration(float64(time.Second) / rate)); after.After(next) {
			next = after
		}
	}
	if latest := now.Add(p.Window); next.After(latest) {
		next = latest
	}
	b.promiseAt = next
	return max(0, next.Sub(now))
}
