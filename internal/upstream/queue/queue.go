// Package queue holds the requests that wait in this instance for a slot of one upstream. Package target grants the slots.
// The queue is bounded in length and waiting time. A request that cannot meet its deadline is refused instead of queued.
package queue

import (
	"fmt"
	"time"
)

const (
	// MaxWait is the maximum time that a request waits.
	MaxWait = 250 * time.Millisecond

	maxWaitingPerSlot = 32 // length limit, as a multiple of the concurrency limit
)

// Error reports that a request was refused because it would miss its deadline or wait too long, or the queue is full.
type Error struct {
	// Wait is the expected time until a slot is free.
	Wait time.Duration
	// Length is the number of waiting requests.
	Length int
}

// Error returns the length of the queue and the expected wait.
func (e *Error) Error() string {
	return fmt.Sprintf("%d requests wait, expected wait %s", e.Length, e.Wait)
}

// Waiter is one waiting request.
type Waiter struct {
	done      chan struct{}
	deadline  time.Time
	grantedAt time.Time // zero unless the waiter was granted a slot
}

// Done returns a channel that is closed when the waiter is granted a slot or refused.
func (w *Waiter) Done() <-chan struct{} { return w.done }

// Granted returns the time at which the waiter was granted a slot, or false if it was refused. It must not be called
// before Done is closed.
func (w *Waiter) Granted() (time.Time, bool) { return w.grantedAt, !w.grantedAt.IsZero() }

// Deadline returns the time at which the wait ends without a slot: MaxWait after its start, or earlier if the upstream
// could no longer respond before the deadline of the request.
func (w *Waiter) Deadline() time.Time { return w.deadline }

// Capacity describes how fast the upstream serves the queue.
type Capacity struct {
	Limit       int           // maximum number of requests in flight
	ServiceTime time.Duration // recent service time; 0 if unknown
}

// Queue is a first-in, first-out queue of waiters. It is not safe for concurrent use.
type Queue struct {
	waiters []*Waiter
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiters) }

// Enqueue adds a request with the given deadline; a zero deadline means none. It fails with *Error.
func (q *Queue) Enqueue(now, deadline time.Time, c Capacity) (*Waiter, error) {
	limit := max(1, c.Limit)
	wait := c.ServiceTime * time.Duration(len(q.waiters)+1) / time.Duration(limit)
	waitUntil := now.Add(MaxWait)
	missesDeadline := !deadline.IsZero() && now.Add(wait+c.ServiceTime).After(deadline)
	if missesDeadline || wait > MaxWait || len(q.waiters) >= maxWaitingPerSlot*limit {
		return nil, &Error{Wait: wait, Length: len(q.waiters)}
	}
	if start := deadline.Add(-c.ServiceTime); !deadline.IsZero() && start.Before(waitUntil) {
		waitUntil = start // a later start cannot meet the deadline
	}
	w := &Waiter{done: make(chan struct{}), deadline: waitUntil}
	q.waiters = append(q.waiters, w)
	return w, nil
}

// Grant grants a slot to the first waiter whose deadline has not passed and refuses the waiters before it. It reports
// whether there was such a waiter.
func (q *Queue) Grant(now time.Time) bool {
	for len(q.waiters) > 0 {
		w := q.waiters[0]
		q.waiters[0] = nil
		q.waiters = q.waiters[1:]
		inTime := now.Before(w.deadline)
		if inTime {
			w.grantedAt = now
		}
		close(w.done)
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
		close(w.done)
	}
	q.waiters = nil
}

// Remove removes a waiter and reports whether it was still waiting.
func (q *Queue) Remove(w *Waiter) bool {
	for n, other := range q.waiters {
		if other == w {
			q.waiters = append(q.waiters[:n], q.waiters[n+1:]...)
			return true
		}
	}
	return false
}
