// Package table records the outcome of each ticket that this instance owns.
package table

import (
	"sync"
	"time"

	"crocuswing/internal/order/outcome"
)

const sweepEvery = time.Second

// Table holds one entry per ticket in use, up to a bound. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	most    int
	entries map[uint64]*Entry
	swept   time.Time
}

// Entry is the record of one ticket.
type Entry struct {
	body    uint64 // hash of the order
	expires time.Time
	done    chan struct{}
	outcome outcome.Outcome
}

// Error refuses an order; nothing of it was dispatched.
type Error struct{ Reason string }

// Error gives the reason.
func (e *Error) Error() string { return "order: " + e.Reason }

// New makes a table for at most most tickets.
func New(most int) *Table {
	return &Table{most: most, entries: make(map[uint64]*Entry)}
}

// Begin finds or makes the entry of a ticket and reports whether the caller has to run the order.
// body is a hash of the order, expires the end of the ticket. It fails with *Error.
func (t *Table) Begin(id, body uint64, now, expires time.Time) (*Entry, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[id]; ok {
		if e.body != body {
			return nil, false, &Error{Reason: "another order was placed under this ticket"}
		}
		return e, false, nil
	}
	if !now.Before(expires) {
		return nil, false, &Error{Reason: "the ticket has expired"}
	}
	t.sweep(now)
	if len(t.entries) >= t.most {
		return nil, false, &Error{Reason: "the table of tickets is full"}
	}
	e := &Entry{body: body, expires: expires, done: make(chan struct{})}
	t.entries[id] = e
	return e, true, nil
}

// Find gives the entry of a ticket.
func (t *Table) Find(id uint64) (*Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	return e, ok
}

// Len is the number of entries.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// sweep drops entries that are finished and expired. An expired ticket cannot begin again.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.swept) < sweepEvery {
		return
	}
	t.swept = now
	for id, e := range t.entries {
		if e.isFinished() && !now.Before(e.expires) {
			delete(t.entries, id)
		}
	}
}

// Finish records the outcome; it is called once, by whom Begin told to run the order.
func (e *Entry) Finish(o outcome.Outcome) {
	e.outcome = o
	close(e.done)
}

// Done is closed when the outcome is known.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Outcome is the recorded outcome; it may be read after Done is closed.
func (e *Entry) Outcome() outcome.Outcome { return e.outcome }

func (e *Entry) isFinished() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}
