// Package queue holds the requests that wait for a slot of one upstream. It is short, bounded in
// time, and refuses first what cannot meet its deadline.
package queue

import (
	"fmt"
	"time"
)

const (
	// MaxWait is the longest time that a request waits.
	MaxWait = 250 * time.Millisecond

	maxLength = 32 // waiting requests for each slot of the limit
)

// Error refuses a request that would wait too long.
type Error struct {
	// Wait is the expected time until a slot is free.
	Wait time.Duration
	// Length is the number of requests that wait.
	Length int
}

// Error gives the length and the expected wait.
func (e *Error) Error() string {
	return fmt.Sprintf("%d requests wait, expected wait %s", e.Length, e.Wait)
}

// Waiter is one waiting request.
type Waiter struct {
	ended    chan struct{}
	deadline time.Time
	granted  time.Time // zero unless it was granted a slot
}

// Done is closed when the waiter was granted a slot or refused.
func (w *Waiter) Done() <-chan struct{} { return w.ended }

// Granted is the time at which the ended waiter got a slot, and false if it was refused.
func (w *Waiter) Granted() (time.Time, bool) { return w.granted, !w.granted.IsZero() }

// Deadline is the time by which the waiter gives up: it has waited too long, or could no longer be
// answered in time.
func (w *Waiter) Deadline() time.Time { return w.deadline }

// Capacity is the work ahead of a new request.
type Capacity struct {
	Limit       int           // requests that run at once
	ServiceTime time.Duration // recent service time; 0 if unknown
}

// Queue is first in, first out. It is not safe for concurrent use.
type Queue struct {
	waiters []*Waiter
}

// Len is the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiters) }

// Enqueue adds a request with the given deadline, or with none if it is zero. It fails with *Error.
func (q *Queue) Enqueue(now, deadline time.Time, l Capacity) (*Waiter, error) {
	limit := max(1, l.Limit)
	wait := l.ServiceTime * time.Duration(len(q.waiters)+1) / time.Duration(limit)
	latest := now.Add(MaxWait)
	late := !deadline.IsZero() && now.Add(wait+l.ServiceTime).After(deadline)
	if late || wait > MaxWait || len(q.waiters) >= maxLength*limit {
		return nil, &Error{Wait: wait, Length: len(q.waiters)}
	}
	if start := deadline.Add(-l.ServiceTime); !deadline.IsZero() && start.Before(latest) {
		latest = start // after that the deadline cannot be met
	}
	w := &Waiter{ended: make(chan struct{}), deadline: latest}
	q.waiters = append(q.waiters, w)
	return w, nil
}

// Grant gives a slot to the first waiter whose deadline has not passed, and refuses those before
// it. It reports whether there was one.
func (q *Queue) Grant(now time.Time) bool {
	for len(q.waiters) > 0 {
		w := q.waiters[0]
		q.waiters[0] = nil
		q.waiters = q.waiters[1:]
		inTime := now.Before(w.deadline)
		if inTime {
			w.granted = now
		}
		close(w.ended)
		if inTime {
			return true
		}
	}
	q.waiters = nil
	return false
}

// RefuseAll refuses all waiters.
func (q *Queue) RefuseAll() {
	for _, w := range q.waiters {
		close(w.ended)
	}
	q.waiters = nil
}

// Remove withdraws a waiter and reports whether it still waited.
func (q *Queue) Remove(w *Waiter) bool {
	for n, other := range q.waiters {
		if other == w {
			q.waiters = append(q.waiters[:n], q.waiters[n+1:]...)
			return true
		}
	}
	return false
}
