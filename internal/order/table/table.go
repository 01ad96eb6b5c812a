// Package table holds the tickets that this instance owns and the outcomes of their orders. The coordinator asks it whether an
// order may begin under a ticket; at most one may.
//
// Times are durations on the owner's monotonic clock since its incarnation began. The time of the table never
// decreases: if a goroutine is paused between reading the clock and calling the table, the table uses the latest
// reading that it received.
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
	defaultLifetime   = 2 * time.Minute
	defaultRetention  = 3 * time.Minute
	// entryBytes is the memory of one finished entry without the strings of its outcome.
	entryBytes = 320
	// maxEntryBytes is the memory reserved for an order that runs, whose outcome is not known yet.
	maxEntryBytes = entryBytes + outcome.MaxBytes
	// maxDropsPerCall limits the old entries that one call of advance or makeRoom drops or requeues.
	maxDropsPerCall = 8
)

// Hash identifies the content of an order.
type Hash [sha256.Size]byte

// Table holds one entry per ticket in use, limited in number and in bytes. Tickets are numbered from 1. It is safe for
// concurrent use.
type Table struct {
	maxTickets int
	maxBytes   int
	lifetime   time.Duration
	retention  time.Duration

	mu      sync.Mutex
	now     time.Duration
	states  stateRing
	entries map[uint64]*Entry
	head    *Entry // queue of entries, oldest first
	tail    *Entry
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
	hash      Hash
	expiry    time.Duration // expiry of the ticket
	keepUntil time.Duration // end of the retention; room for another entry may be made earlier
	next      *Entry
	done      chan struct{}
	outcome   outcome.Outcome
}

// Stats holds the statistics of a table.
type Stats struct {
	Tickets int
	Running int
	Bytes   int
	// Refused is the number of orders that were refused because the table was full.
	Refused uint64
	// Dropped is the number of entries that were dropped.
	Dropped uint64
}

// Option configures a Table.
type Option func(*Table)

// WithMaxTickets limits the number of entries.
func WithMaxTickets(n int) Option { return func(t *Table) { t.maxTickets = n } }

// WithMaxBytes limits the memory of all entries.
func WithMaxBytes(n int) Option { return func(t *Table) { t.maxBytes = n } }

// WithLifetime sets the time after which a ticket expires.
func WithLifetime(d time.Duration) Option { return func(t *Table) { t.lifetime = d } }

// WithRetention sets the time for which outcomes are kept after their ticket expires, if there is room.
func WithRetention(d time.Duration) Option { return func(t *Table) { t.retention = d } }

// WithWindow sets the number of newest tickets whose states are kept after their entries are dropped.
func WithWindow(tickets int) Option { return func(t *Table) { t.states = newStateRing(tickets) } }

// finished is a closed channel that all finished entries share.
var finished = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// New returns an empty table.
func New(options ...Option) *Table {
	t := &Table{
		maxTickets: defaultMaxTickets,
		maxBytes:   defaultMaxBytes,
		lifetime:   defaultLifetime,
		retention:  defaultRetention,
		entries:    make(map[uint64]*Entry),
		idle:       finished,
	}
	for _, o := range options {
		o(t)
	}
	if t.states.words == nil {
		t.states = newStateRing(defaultWindow)
	}
	return t
}

// Issue returns the number and the expiry of a new ticket.
func (t *Table) Issue(now time.Duration) (id uint64, expiry time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	return t.states.issue(), t.now + t.lifetime
}

// Begin returns the entry of a ticket for the order with the given hash, which it adds if there is none. If first is
// true, the caller has to run the order and call Finish. If the entry is nil, the order is refused with the outcome o,
// and no further order can begin under the ticket.
func (t *Table) Begin(id uint64, expiry time.Duration, hash Hash, now time.Duration) (e *Entry, first bool, o outcome.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	if e, ok := t.entries[id]; ok {
		if e.hash != hash {
			return nil, false, e.conflict()
		}
		return e, false, outcome.Outcome{}
	}
	if o, open := t.outcomeWithoutEntry(id, expiry); !open {
		return nil, false, o
	}
	if !t.makeRoom() {
		t.refused++
		t.states.set(id, stateClosed)
		return nil, false, outcome.Refused(outcome.RefusedFull, outcome.NotRun, "the table of tickets is full")
	}
	return t.add(id, expiry, hash), true, outcome.Outcome{}
}

// Get returns the entry of a ticket, or the known outcome if there is no entry.
func (t *Table) Get(id uint64, expiry, now time.Duration) (*Entry, outcome.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	if e, ok := t.entries[id]; ok {
		return e, outcome.Outcome{}
	}
	o, _ := t.outcomeWithoutEntry(id, expiry)
	return nil, o
}

// Withdraw returns the entry of a ticket. If there is none, it ensures that no order can begin under the ticket and
// returns the known outcome.
func (t *Table) Withdraw(id uint64, expiry, now time.Duration) (*Entry, outcome.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	if e, ok := t.entries[id]; ok {
		return e, outcome.Outcome{}
	}
	o, open := t.outcomeWithoutEntry(id, expiry)
	if open {
		t.states.set(id, stateClosed)
		o = outcome.Outcome{State: outcome.NotRun, Reason: "the ticket was withdrawn before an order was placed"}
	}
	return nil, o
}

// Stats returns the current statistics.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Stats{Tickets: len(t.entries), Running: t.running, Bytes: t.bytes, Refused: t.refused, Dropped: t.dropped}
}

// Running returns the numbers of the tickets whose orders run, in the order in which they began. An order that still runs when
// its entry would be dropped moves to the end.
func (t *Table) Running() []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := make([]uint64, 0, t.running)
	for e := t.head; e != nil; e = e.next {
		if e.done != finished {
			ids = append(ids, e.id)
		}
	}
	return ids
}

// Idle returns a channel that is closed when no order runs. An order that begins later has another channel.
func (t *Table) Idle() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.idle
}

// outcomeWithoutEntry returns the known outcome of a ticket without an entry, and whether an order may begin under it.
// It relies on the rule that an entry is never dropped before its ticket expires.
func (t *Table) outcomeWithoutEntry(id uint64, expiry time.Duration) (o outcome.Outcome, open bool) {
	expired := t.now >= expiry
	state, known := t.states.get(id)
	switch {
	case known && state == stateClosed:
		return outcome.Refused(outcome.RefusedExpired, outcome.NotRun, "the ticket was withdrawn or refused"), false
	case known && state == stateBegun, expired && !known:
		return outcome.Refused(outcome.RefusedExpired, outcome.Unknown, "the outcome is no longer on record"), false
	case expired:
		return outcome.Refused(outcome.RefusedExpired, outcome.NotRun, "the ticket has expired unused"), false
	case !known:
		return outcome.Refused(outcome.RefusedExpired, outcome.NotRun, "too many newer tickets were minted"), false
	}
	return outcome.Outcome{State: outcome.NotPlaced, Reason: "no order was placed under this ticket yet"}, true
}

// advance sets the time of the table and drops finished entries whose retention has ended.
func (t *Table) advance(now time.Duration) {
	t.now = max(t.now, now)
	for range maxDropsPerCall {
		if t.head == nil || t.now < t.head.keepUntil {
			return
		}
		t.dropOrRequeue()
	}
}

// makeRoom drops finished entries of expired tickets until there is room for another entry, and reports whether it found room.
func (t *Table) makeRoom() bool {
	for range maxDropsPerCall {
		if t.hasRoom() {
			return true
		}
		if t.head == nil || t.now < t.head.expiry {
			return false
		}
		t.dropOrRequeue()
	}
	return t.hasRoom()
}

// hasRoom reports whether another entry fits into the limits.
func (t *Table) hasRoom() bool {
	return len(t.entries) < t.maxTickets && t.bytes+maxEntryBytes <= t.maxBytes
}

// dropOrRequeue drops the oldest entry, or moves it to the end of the queue if its order still runs.
func (t *Table) dropOrRequeue() {
	e := t.head
	t.head = e.next
	e.next = nil
	if t.head == nil {
		t.tail = nil
	}
	if e.done != finished {
		e.keepUntil = t.now + t.lifetime + t.retention
		t.enqueue(e)
		return
	}
	delete(t.entries, e.id)
	t.bytes -= entryBytes + e.outcome.Size()
	t.dropped++
}

func (t *Table) add(id uint64, expiry time.Duration, hash Hash) *Entry {
	e := &Entry{
		table:     t,
		id:        id,
		hash:      hash,
		expiry:    expiry,
		keepUntil: t.now + t.lifetime + t.retention,
		done:      make(chan struct{}),
	}
	t.states.set(id, stateBegun)
	t.entries[id] = e
	t.enqueue(e)
	t.bytes += maxEntryBytes
	if t.running++; t.running == 1 {
		t.idle = make(chan struct{})
	}
	return e
}

func (t *Table) enqueue(e *Entry) {
	if t.tail == nil {
		t.head = e
	} else {
		t.tail.next = e
	}
	t.tail = e
}

// Finish records the outcome. It must be called exactly once, by the caller to which Begin returned first as true.
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

// Done returns a channel that is closed when the outcome is known.
func (e *Entry) Done() <-chan struct{} {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	return e.done
}

// Outcome returns the recorded outcome. It is valid only after Done is closed.
func (e *Entry) Outcome() outcome.Outcome {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	return e.outcome
}

// conflict returns the refusal of a different order under the same ticket. Its state is not-run only if the first
// order is known not to have run.
func (e *Entry) conflict() outcome.Outcome {
	state := outcome.Unknown
	if e.done == finished && e.outcome.State == outcome.NotRun {
		state = outcome.NotRun
	}
	return outcome.Refused(outcome.RefusedConflict, state, "another order was placed under this ticket; ask for its outcome")
}
