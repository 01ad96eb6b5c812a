// Package budget decides which connections of callers may hold memory and descriptors. It does no I/O.
//
// It addresses metastable overload by callers that misbehave: crowds that send requests of legal size and stop short of their end, send
// or read slowly, or only connect. Each connection has an Account, which counts what the connection holds. Above the limits of the
// budget, connections that wait for their caller are closed, the oldest first, of the address that holds most. A crowd thus takes only
// from itself, and a request that is new and quick is not among the oldest.
package budget

import "sync"

// SourceShare is the fraction of the memory that the connections of one address may hold. The rest lets callers of other addresses begin a
// request at once while the requests of a crowd are running, which cannot be closed.
const SourceShare = 0.75

// Address identifies the callers that share what a budget permits, by their network address.
type Address [16]byte

// Limits are the limits of a budget. A limit of 0 does not apply.
type Limits struct {
	// Bytes limits the memory that all connections hold.
	Bytes int64
	// Connections limits the number of connections.
	Connections int
}

// Budget divides memory and descriptors among connections. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	limits  Limits
	bytes   int64
	count   int
	waits   uint64 // begun so far
	sources map[Address]*source
}

// source holds the connections of one address in the order in which their wait for the caller began, the oldest first.
type source struct {
	address        Address
	bytes          int64
	count          int
	oldest, newest *Account
}

// Account counts what one connection holds.
type Account struct {
	budget      *Budget
	source      *source
	older       *Account
	newer       *Account
	evict       func()
	bytes, base int64
	waitNumber  uint64 // position among all waits of the budget
	// isWaiting is set while the connection waits for its caller, so that it may be closed.
	isWaiting bool
	isClosed  bool
}

// New returns an empty budget.
func New(l Limits) *Budget { return &Budget{limits: l, sources: make(map[Address]*source)} }

// SetLimits changes the limits. Connections beyond the new ones are closed when more is asked for.
func (b *Budget) SetLimits(l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = l
}

// Used returns the memory and the number of connections in use.
func (b *Budget) Used() (bytes int64, connections int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes, b.count
}

// NewAccount returns an account for a connection from the given address, which holds base bytes as long as it is open. evict is called, at
// most once and without locks held, if the connection has to be closed.
func (b *Budget) NewAccount(address Address, base int64, evict func()) *Account {
	return &Account{budget: b, source: &source{address: address}, evict: evict, base: base, isClosed: true}
}

// Open adds the connection to the budget. It waits for its caller. Open reports false if there is no room.
func (a *Account) Open() bool {
	b := a.budget
	b.mu.Lock()
	if s := b.sources[a.source.address]; s != nil {
		a.source = s
	}
	victims, ok := b.makeRoom(a, a.base, 1)
	if ok {
		b.sources[a.source.address] = a.source // the last connection of the source may have been removed
		b.count++
		a.source.count++
		a.isClosed, a.isWaiting = false, true
		a.source.append(a)
		a.add(a.base)
	}
	b.mu.Unlock()
	closeAll(victims)
	return ok
}

// Reserve adds n bytes to what the connection holds. It reports false if there is no room or the connection was closed.
func (a *Account) Reserve(n int64) bool {
	b := a.budget
	b.mu.Lock()
	if a.isClosed {
		b.mu.Unlock()
		return false
	}
	victims, ok := b.makeRoom(a, n, 0)
	if ok {
		a.add(n)
	}
	b.mu.Unlock()
	closeAll(victims)
	return ok
}

// Charge adds n bytes also if there is no room, for an answer that is ready. It makes as much room as it can.
func (a *Account) Charge(n int64) {
	b := a.budget
	b.mu.Lock()
	var victims []*Account
	if !a.isClosed {
		victims, _ = b.makeRoom(a, n, 0)
		a.add(n)
	}
	b.mu.Unlock()
	closeAll(victims)
}

// Release subtracts n bytes from what the connection holds.
func (a *Account) Release(n int64) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if !a.isClosed {
		a.add(-min(n, a.bytes-a.base))
	}
}

// Begin records that the caller has begun to send a request: the connection has waited for no time.
func (a *Account) Begin() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.wait()
}

// Work records that the connection does not wait for its caller: a request is complete and runs.
func (a *Account) Work() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.isWaiting = false
}

// Wait records that the connection waits for its caller again, from now on.
func (a *Account) Wait() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.wait()
}

// End records that a request has ended: the connection holds no more than at its start and waits for its caller from now on.
func (a *Account) End() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if !a.isClosed {
		a.add(a.base - a.bytes)
		a.wait()
	}
}

// Close removes the connection. It may be called more than once.
func (a *Account) Close() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.remove()
}

func closeAll(victims []*Account) {
	for _, v := range victims {
		v.evict()
	}
}

func (a *Account) add(n int64) {
	a.bytes += n
	a.source.bytes += n
	a.budget.bytes += n
}

func (a *Account) wait() {
	if a.isClosed {
		return
	}
	a.isWaiting = true
	if a.source.newest != a {
		a.source.remove(a)
		a.source.append(a)
	}
}

func (a *Account) remove() {
	if a.isClosed {
		return
	}
	a.add(-a.bytes)
	a.isClosed = true
	a.source.remove(a)
	a.source.count--
	a.budget.count--
	a.budget.forget(a.source)
}

// forget drops a source without connections.
func (b *Budget) forget(s *source) {
	if s.count == 0 {
		delete(b.sources, s.address)
	}
}

// makeRoom removes connections until n more bytes and the given number of connections fit, and returns the removed ones. It reports
// false if they do not fit. The caller holds the lock.
func (b *Budget) makeRoom(a *Account, n int64, connections int) (victims []*Account, ok bool) {
	for {
		var v *Account
		switch {
		case b.limits.Connections > 0 && b.count+connections > b.limits.Connections:
			v = b.victim(a, func(s *source) int64 { return int64(s.count) }, int64(connections))
		case b.limits.Bytes > 0 && b.bytes+n > b.limits.Bytes:
			v = b.victim(a, func(s *source) int64 { return s.bytes }, n)
		case b.limits.Bytes > 0 && a.source.bytes+n > int64(SourceShare*float64(b.limits.Bytes)):
			v = a.source.oldestWaiting(a)
		default:
			return victims, true
		}
		if v == nil {
			return victims, false
		}
		v.remove()
		victims = append(victims, v)
	}
}

// victim returns the connection that has waited longest for its caller, of the source that holds most among those that hold no less than
// the source of a with n more. It returns nil if there is none but a.
func (b *Budget) victim(a *Account, held func(*source) int64, n int64) *Account {
	var victim *Account
	most := held(a.source) + n
	victim = a.source.oldestWaiting(a)
	for _, s := range b.sources {
		if s == a.source || held(s) < most || (held(s) == most && victim != nil && victim.source == a.source) {
			continue
		}
		v := s.oldestWaiting(a)
		if v != nil && (held(s) > most || victim == nil || v.waitNumber < victim.waitNumber) {
			victim, most = v, held(s)
		}
	}
	return victim
}

// oldestWaiting returns the connection that has waited longest for its caller, except the given one, or nil.
func (s *source) oldestWaiting(except *Account) *Account {
	for a := s.oldest; a != nil; a = a.newer {
		if a.isWaiting && a != except {
			return a
		}
	}
	return nil
}

func (s *source) append(a *Account) {
	a.budget.waits++
	a.waitNumber = a.budget.waits
	a.older, a.newer = s.newest, nil
	if s.newest == nil {
		s.oldest = a
	} else {
		s.newest.newer = a
	}
	s.newest = a
}

func (s *source) remove(a *Account) {
	if a.older == nil {
		s.oldest = a.newer
	} else {
		a.older.newer = a.newer
	}
	if a.newer == nil {
		s.newest = a.older
	} else {
		a.newer.older = a.older
	}
	a.older, a.newer = nil, nil
}
