// Package lender decides how many permissions to run a request an instance lends to others. It has a token bucket for each workspace.
//
// It addresses a hot key: a few workspaces cause most of the requests. Buckets of workspaces that do not ask are not kept.
package lender

import (
	"time"

	"crocuswing/internal/workspace/quota"
)

// Lender holds the buckets of the workspaces that one instance lends to. It is not safe for concurrent use.
type Lender struct {
	buckets map[string]*bucket
	sweepAt int // the number of buckets at which full ones are removed
}

// bucket holds the permissions that a lender can lend.
type bucket struct {
	level     float64
	updatedAt time.Time
	since     time.Time // when the lender became one
	fullAt    time.Time // when it is full again if nothing is lent
}

// minSweep is the number of buckets from which full ones are removed.
const minSweep = 256

// New returns a Lender without buckets.
func New() *Lender { return &Lender{buckets: make(map[string]*bucket), sweepAt: minSweep} }

// Clear forgets all buckets. Those of a lender that becomes one again are empty.
func (l *Lender) Clear() { clear(l.buckets) }

// Loan is the answer to a request for permissions.
type Loan struct {
	Granted int
	// Wait is the time after which a permission is available if none was granted.
	Wait time.Duration
}

// Lend lends up to want permissions. since is the time from which this instance lends to the workspace, and share the share of the plan's
// rate that it may lend.
func (l *Lender) Lend(now time.Time, workspace string, p quota.Plan, share float64, since time.Time, want int) Loan {
	if now.Before(since) {
		return Loan{Wait: since.Sub(now)}
	}
	b := l.buckets[workspace]
	if b == nil || since.After(b.since) {
		if len(l.buckets) >= l.sweepAt {
			l.sweep(now)
		}
		// A bucket that is not kept is as it was when the lender became one, or is full.
		b = &bucket{level: p.Initial, updatedAt: since, since: since}
		l.buckets[workspace] = b
	}
	rate := p.Rate * share
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.level = min(p.Capacity, b.level+elapsed.Seconds()*rate)
		b.updatedAt = now
	}
	b.level = min(b.level, p.Capacity) // the limit may have been lowered
	granted := max(0, min(want, int(b.level)))
	b.level -= float64(granted)
	b.fullAt = now.Add(fillTime(p.Capacity-b.level, rate))
	if granted > 0 {
		return Loan{Granted: granted}
	}
	return Loan{Wait: min(maxWait, fillTime(1-b.level, rate))}
}

// fillTime returns the time in which n permissions are added.
func fillTime(n, rate float64) time.Duration {
	if seconds := n / rate; seconds < maxFillTime.Seconds() { // false if rate is 0
		return time.Duration(seconds * float64(time.Second))
	}
	return maxFillTime
}

// maxWait bounds the time that a caller is told to wait.
const maxWait = time.Minute

// maxFillTime stands for a time without end.
const maxFillTime = 1000 * time.Hour

// sweep removes the buckets that are full.
func (l *Lender) sweep(now time.Time) {
	for name, b := range l.buckets {
		if now.After(b.fullAt) {
			delete(l.buckets, name)
		}
	}
	l.sweepAt = max(minSweep, 2*len(l.buckets))
}

// Len returns the number of buckets.
func (l *Lender) Len() int { return len(l.buckets) }
