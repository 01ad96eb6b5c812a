// Package quota divides what the operators permit a workspace among lenders and reserves, so that the instances together keep the
// permitted number of requests without a central counter.
//
// A few instances, the lenders of the workspace, lend permissions to run a request; each instance also has a reserve for when it cannot
// reach them. The parts sum to at most what is permitted in any window:
//
//	rate of the lenders × (window + life of a loan) + their capacity + reserves + margin <= permitted
//
// A permission that is used in a window was lent in it or at most one life before, hence the life of a loan. The margin is for changes of
// the lenders, during which two instances may lend the same part for a moment.
package quota

import (
	"fmt"
	"math"
	"time"

	"crocuswing/internal/workspace/workspace"
)

const (
	// maxLenders is the largest number of lenders of a workspace. While one of them is lost, the others lend four fifths of the rate. The
	// ordinary rate of a workspace is expected to be below two thirds of its quota.
	maxLenders = 5
	// lenderCapacity is the least capacity of a lender, if there are several. With less, most of them are empty at most times where the
	// rate is low, and a request has to ask one after the other.
	lenderCapacity = 2.5
	// maxLife is the longest life of a loan, and minLife the shortest, which is several round trips between regions.
	maxLife = time.Second
	minLife = 100 * time.Millisecond
	// Shares of what is permitted above the quota itself.
	lifeShare    = 0.25
	reserveShare = 0.2
	marginShare  = 0.15
	lenderShare  = 0.3
	// lendingFactor is the rate of the lenders over that of the quota, if it fits. It makes up for loans that expire unused.
	lendingFactor = 1.1
	// initialShare is the share of the margin that new lenders hold at once. After a restart of the whole fleet, what the former processes
	// lent is not known; the rest of the margin is for that and for the reserves.
	initialShare = 0.4
)

// Rule limits the requests of each workspace that run in any window, on all instances together, to its quota for this time, times
// 1+Overage, plus Slack.
type Rule struct {
	Window         time.Duration
	Overage, Slack float64
}

// Permitted returns the number of requests that may run in any window.
func (r Rule) Permitted(q workspace.Quota) float64 { return r.own(q)*(1+r.Overage) + r.Slack }

// own returns the quota for one window.
func (r Rule) own(q workspace.Quota) float64 { return q.Rate*r.Window.Seconds() + q.Burst }

// Plan is the division of a quota. It is immutable.
type Plan struct {
	Window time.Duration
	// Lenders is the number of lenders. Each lends at Rate per second and at most Capacity at once.
	Lenders  int
	Rate     float64
	Capacity float64
	// Initial is what a lender holds when it becomes one.
	Initial float64
	// Life is the time for which a loan can be used.
	Life time.Duration
	// Reserve is the number of requests in any window that all instances together may run without a loan.
	Reserve int
}

// Plan divides a quota that is limited.
func (r Rule) Plan(q workspace.Quota) Plan {
	permitted := r.Permitted(q)
	above := permitted - r.own(q)
	p := Plan{Window: r.Window, Reserve: int(reserveShare * above)}
	capacity := max(1, q.Burst+lenderShare*above) // a lender that holds less than one permission lends nothing
	p.Lenders = int(min(maxLenders, max(1, capacity/lenderCapacity)))
	margin := marginShare * above
	if float64(p.Reserve)+margin+capacity > permitted {
		p.Reserve, p.Lenders, margin, capacity = 0, 1, 0, min(1, math.Floor(permitted))
	}
	p.Life = time.Duration(min(maxLife.Seconds(), max(minLife.Seconds(), lifeShare*above/q.Rate)) * float64(time.Second))
	longest := (r.Window + p.Life).Seconds()
	rate := min(lendingFactor*q.Rate, max(0, permitted-float64(p.Reserve)-margin-capacity)/longest)
	margin = permitted - float64(p.Reserve) - capacity - rate*longest // what is not needed is added to it
	p.Rate, p.Capacity = rate/float64(p.Lenders), capacity/float64(p.Lenders)
	p.Initial = min(p.Capacity, initialShare*margin/float64(p.Lenders))
	return p
}

// ExceededError reports a request that must not run because of the quota of its workspace.
type ExceededError struct {
	Workspace string
	Quota     workspace.Quota
	// RetryAfter is the time after which a request is expected to be admitted.
	RetryAfter time.Duration
	// Reserve is the part of the reserve that this instance holds, and LastGrant what a lender last granted to it.
	Reserve, LastGrant int
	// IsLenderLost reports that no lender responded.
	IsLenderLost bool
}

// Error returns the workspace and the limit in force.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("workspace %q exceeds %g requests per second and a burst of %g", e.Workspace, e.Quota.Rate, e.Quota.Burst)
}
