// Package table records the outcome of each ticket that this instance owns.
//
// Times are durations on the owner's monotonic clock since its incarnation began. The table never
// goes back in time: a caller of it that was paused with an old reading gets the newest reading instead.
package table

import (
	"crypto/sha256"
	"sync"
	"time"

	"crocuswing/internal/order/outcome"
)

const (
	defaultMaxTickets = 100_000
	defaultMaxBytes   = 64 << 20
	defaultLife       = 2 * time.Minute
	defaultRetention  = 3 * time.Minute
	// entryBytes is the memory of one finished entry besides the strings of its outcome.
	entryBytes = 320
	// maxEntryBytes is reserved for an order that runs.
	maxEntryBytes = entryBytes + outcome.MaxBytes
	// maxDrops bounds the work that one call spends on old entries.
	maxDrops = 8
)

// Hash identifies the content of an order.
type Hash [sha256.Size]byte

// Table holds one entry per ticket in use, up to a bound in count and in bytes. Tickets are
// numbered from 1. It is safe for concurrent use.
type Table struct {
	maxTickets int
	maxBytes   int
	life       time.Duration
	retention  time.Duration

	mu      sync.Mutex
	now     time.Duration
	marks   marks
	entries map[uint64]*Entry
	first   *Entry // entries in the order of their beginning
	last    *Entry
	bytes   int
	running int
	idle    chan struct{} // closed while no order runs
	refused uint64
	dropped uint64
}

// Entry is the record of one ticket whose order has begun.
type Entry struct {
	table     *Table
	id        uint64
	body      Hash
	end       time.Duration // of the ticket
	keepUntil time.Duration
	next      *Entry
	done      chan struct{}
	outcome   outcome.Outcome
}

// Stats counts what the table holds and what it did.
type Stats struct {
	Tickets int
	Running int
	Bytes   int
	// Refused counts orders refused because the table was full.
	Refused uint64
	// Dropped counts records that are no longer held.
	Dropped uint64
}

// Option changes the bounds of a table.
type Option func(*Table)

// WithMaxTickets bounds the number of entries.
func WithMaxTickets(n int) Option { return func(t *Table) { t.maxTickets = n } }

// WithMaxBytes bounds the memory of all entries.
func WithMaxBytes(n int) Option { return func(t *Table) { t.maxBytes = n } }

// WithLifetime sets the time from the minting of a ticket to its end.
func WithLifetime(d time.Duration) Option { return func(t *Table) { t.life = d } }

// WithRetention sets the time for which outcomes are held after the end of their ticket, if there is room.
func WithRetention(d time.Duration) Option { return func(t *Table) { t.retention = d } }

// WithWindow sets the number of the newest tickets whose marks are held.
func WithWindow(tickets int) Option { return func(t *Table) { t.marks = newMarks(tickets) } }

// finished is the channel of all finished entries.
var finished = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// New makes an empty table.
func New(options ...Option) *Table {
	t := &Table{
		maxTickets: defaultMaxTickets,
		maxBytes:   defaultMaxBytes,
		life:       defaultLife,
		retention:  defaultRetention,
		entries:    make(map[uint64]*Entry),
		idle:       finished,
	}
	for _, o := range options {
		o(t)
	}
	if t.marks.words == nil {
		t.marks = newMarks(defaultWindow)
	}
	return t
}

// Issue numbers a new ticket and gives its end.
func (t *Table) Issue(now time.Duration) (id uint64, end time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	return t.marks.issue(), t.now + t.life
}

// Begin finds or makes the entry of a ticket for the order with the given hash. If first is true, the
// caller of Begin has to run the order and to finish the entry. Without an entry the order is refused with
// the outcome o, and no order will ever begin under the ticket.
func (t *Table) Begin(id uint64, end time.Duration, body Hash, now time.Duration) (e *Entry, first bool, o outcome.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	if e, ok := t.entries[id]; ok {
		if e.body != body {
			return nil, false, e.conflict()
		}
		return e, false, outcome.Outcome{}
	}
	if o, open := t.without(id, end); !open {
		return nil, false, o
	}
	if !t.hasRoom() {
		t.refused++
		t.marks.set(id, markClosed)
		return nil, false, outcome.Refused(outcome.RefusedFull, outcome.NotRun, "the table of tickets is full")
	}
	return t.add(id, end, body), true, outcome.Outcome{}
}

// Get finds the entry of a ticket. Without one it tells what is known.
func (t *Table) Get(id uint64, end, now time.Duration) (*Entry, outcome.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	if e, ok := t.entries[id]; ok {
		return e, outcome.Outcome{}
	}
	o, _ := t.without(id, end)
	return nil, o
}

// Withdraw finds the entry of a ticket. Without one it sees to it that no order will ever begin
// under the ticket and tells what is known.
func (t *Table) Withdraw(id uint64, end, now time.Duration) (*Entry, outcome.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	if e, ok := t.entries[id]; ok {
		return e, outcome.Outcome{}
	}
	o, open := t.without(id, end)
	if open {
		t.marks.set(id, markClosed)
		o = outcome.Outcome{State: outcome.NotRun, Reason: "the ticket was withdrawn before an order was placed"}
	}
	return nil, o
}

// Stats counts what the table holds.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Stats{Tickets: len(t.entries), Running: t.running, Bytes: t.bytes, Refused: t.refused, Dropped: t.dropped}
}

// Running gives the numbers of the tickets whose orders run, in the order of their beginning.
// An order that outlasts its record's time moves behind the others.
func (t *Table) Running() []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := make([]uint64, 0, t.running)
	for e := t.first; e != nil; e = e.next {
		if e.done != finished {
			ids = append(ids, e.id)
		}
	}
	return ids
}

// Idle is closed when no order runs. An order that begins later has another channel.
func (t *Table) Idle() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.idle
}

// without tells what is known of a ticket without an entry, and whether an order may begin under it.
// An entry is never dropped before the end of its ticket.
func (t *Table) without(id uint64, end time.Duration) (o outcome.Outcome, open bool) {
	expired := t.now >= end
	m, known := t.marks.get(id)
	switch {
	case known && m == markClosed:
		return outcome.Refused(outcome.RefusedExpired, outcome.NotRun, "the ticket was withdrawn or refused"), false
	case known && m == markBegun, expired && !known:
		return outcome.Refused(outcome.RefusedExpired, outcome.Unknown, "the outcome is no longer on record"), false
	case expired:
		return outcome.Refused(outcome.RefusedExpired, outcome.NotRun, "the ticket has expired unused"), false
	case !known:
		return outcome.Refused(outcome.RefusedExpired, outcome.NotRun, "too many newer tickets were minted"), false
	}
	return outcome.Outcome{State: outcome.NotPlaced, Reason: "no order was placed under this ticket yet"}, true
}

func (t *Table) advance(now time.Duration) {
	t.now = max(t.now, now)
	for range maxDrops {
		if t.first == nil || t.now < t.first.keepUntil {
			return
		}
		t.rotate()
	}
}

// hasRoom makes room by dropping finished entries whose tickets have ended.
func (t *Table) hasRoom() bool {
	for range maxDrops {
		if len(t.entries) < t.maxTickets && t.bytes+maxEntryBytes <= t.maxBytes {
			return true
		}
		if t.first == nil || t.now < t.first.end {
			return false
		}
		t.rotate()
	}
	return false
}

// rotate drops the oldest entry, or moves it to the end of the queue while its order runs.
func (t *Table) rotate() {
	e := t.first
	t.first = e.next
	e.next = nil
	if t.first == nil {
		t.last = nil
	}
	if e.done != finished {
		e.keepUntil = t.now + t.life + t.retention
		t.enqueue(e)
		return
	}
	delete(t.entries, e.id)
	t.bytes -= entryBytes + e.outcome.Size()
	t.dropped++
}

func (t *Table) add(id uint64, end time.Duration, body Hash) *Entry {
	e := &Entry{
		table:     t,
		id:        id,
		body:      body,
		end:       end,
		keepUntil: t.now + t.life + t.retention,
		done:      make(chan struct{}),
	}
	t.marks.set(id, markBegun)
	t.entries[id] = e
	t.enqueue(e)
	t.bytes += maxEntryBytes
	if t.running++; t.running == 1 {
		t.idle = make(chan struct{})
	}
	return e
}

func (t *Table) enqueue(e *Entry) {
	if t.last == nil {
		t.first = e
	} else {
		t.last.next = e
	}
	t.last = e
}

// Finish records the outcome; it is called once, by whom Begin told to run the order.
func (e *Entry) Finish(o outcome.Outcome) {
	t := e.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e.outcome = o.Bounded()
	t.bytes -= maxEntryBytes - entryBytes - e.outcome.Size()
	close(e.done)
	e.done = finished
	if t.running--; t.running == 0 {
		close(t.idle)
	}
}

// Done is closed when the outcome is known.
func (e *Entry) Done() <-chan struct{} {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	return e.done
}

// Outcome is the recorded outcome; it may be read after Done is closed.
func (e *Entry) Outcome() outcome.Outcome {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	return e.outcome
}

// conflict refuses another order under the ticket. The first one may have run, so that the refusal
// states not-run only where that one did not run either.
func (e *Entry) conflict() outcome.Outcome {
	state := outcome.Unknown
	if e.done == finished && e.outcome.State == outcome.NotRun {
		state = outcome.NotRun
	}
	return outcome.Refused(outcome.RefusedConflict, state, "another order was placed under this ticket; ask for its outcome")
}
