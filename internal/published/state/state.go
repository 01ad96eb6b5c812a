// Package state merges what the store publishes into one view.
package state

import (
	"sync"
	"time"

	"crocuswing/internal/published/change"
	"crocuswing/internal/published/registration"
	"crocuswing/internal/routing/table"
)

// forgetAfter is how long the last report of a removed upstream is kept, so that a delayed report cannot bring it back. It
// exceeds the time for which a report can be under way.
const forgetAfter = time.Minute

// View is what was published at one moment. It is immutable.
type View struct {
	// Table is nil until a configuration is known.
	Table     *table.Table
	Upstreams map[string]registration.Registration
	// ExcludedDomains holds the failure domains that get no work.
	ExcludedDomains map[string]bool
	// Revision is that of the store.
	Revision int64
	// Changed lists the upstreams that differ from the view before.
	Changed []string
}

// State keeps the newest state of all items. Apply, StoreRecovered and RemoveExpired are called by one goroutine; the others are
// safe for concurrent use.
type State struct {
	// lapse is how long upstreams may need to register again after the store was away.
	lapse    time.Duration
	revision int64
	table    *table.Table
	out      map[string]bool
	known    map[string]*item

	mu        sync.Mutex
	view      *View
	holdUntil time.Time
	news      map[string]news // the newest item of each key
	forgotten int64           // the newest revision of a removed item that is no longer in news
	changed   chan struct{}   // closed at the next change
}

// news is an item that was written or removed at a revision or before it.
type news struct {
	change.Item
	kind     change.Kind
	name     string
	revision int64
	at       time.Time
}

type item struct {
	registration.Registration
	removed   bool
	removedAt time.Time
	held      bool // removed from the store, but may come back until holdUntil
}

// New makes an empty state. lapse is the time that upstreams need to register again after the store was away.
func New(lapse time.Duration) *State {
	return &State{
		lapse:   lapse,
		out:     make(map[string]bool),
		known:   make(map[string]*item),
		view:    &View{},
		news:    make(map[string]news),
		changed: make(chan struct{}),
	}
}

// View gives the view after the last update.
func (b *State) View() *View {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view
}

// StoreRecovered notes that the store answers again after it could not be reached: upstreams that it does not list may be about
// to register again.
func (b *State) StoreRecovered(now time.Time) { b.hold(now.Add(b.lapse)) }

func (b *State) hold(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if until.After(b.holdUntil) {
		b.holdUntil = until
	}
}

// Apply takes a batch and gives the view after it, and the changes that were refused.
func (b *State) Apply(batch change.Batch, now time.Time) (*View, []change.Change) {
	changed := make(map[string]bool)
	var refused []change.Change
	if batch.GracePeriod > 0 {
		b.hold(now.Add(batch.GracePeriod))
	}
	var log []change.Change
	if batch.Full && batch.Revision >= b.revision {
		log = b.removeUnlisted(batch, now, changed)
	}
	for _, c := range batch.Changes {
		taken, isNews := b.apply(c, now, changed)
		if !taken {
			refused = append(refused, c)
		}
		if isNews {
			log = append(log, c)
		}
	}
	b.revision = max(b.revision, batch.Revision)
	b.settle(now, changed)
	b.record(log, now)
	return b.publish(changed), refused
}

// RemoveExpired removes upstreams whose time to register again has passed. It gives nil if there were none.
func (b *State) RemoveExpired(now time.Time) *View {
	changed := make(map[string]bool)
	b.settle(now, changed)
	if len(changed) == 0 {
		return nil
	}
	return b.publish(changed)
}

// apply reports whether the change was taken and whether it says more than what was known.
func (b *State) apply(c change.Change, now time.Time, changed map[string]bool) (taken, isNews bool) {
	switch c.Kind {
	case change.KindTable:
		return b.applyTable(c)
	case change.KindDomain:
		isNews = b.out[c.Name] == c.Removed
		if c.Removed {
			delete(b.out, c.Name)
		} else {
			b.out[c.Name] = true
		}
		return true, isNews
	case change.KindUpstream:
	}
	if c.Registration == nil {
		return c.Err == nil, b.remove(c.Name, now, changed)
	}
	return b.register(*c.Registration, changed)
}

// applyTable never takes a lower revision of the configuration than the one in force.
func (b *State) applyTable(c change.Change) (taken, isNews bool) {
	switch {
	case c.Table == nil:
		return c.Removed, false
	case b.table != nil && c.Table.Revision() <= b.table.Revision():
		return c.Table.Revision() == b.table.Revision(), false
	}
	b.table = c.Table
	return true, true
}

// register takes a report unless a newer one is known. An equal one confirms what is known.
func (b *State) register(r registration.Registration, changed map[string]bool) (taken, isNews bool) {
	old, ok := b.known[r.Upstream]
	if ok && !r.IsNewerThan(old.Registration) {
		if !old.removed && r == old.Registration {
			old.held = false
			return true, false
		}
		return false, false
	}
	isNews = !ok || old.removed || old.held || differs(old.Registration, r)
	if isNews {
		changed[r.Upstream] = true
	}
	b.known[r.Upstream] = &item{Registration: r}
	return true, isNews
}

// differs tells whether more changed than what changes by itself: the sequence grows and the time left cold falls.
func differs(a, b registration.Registration) bool {
	a.Sequence = b.Sequence
	if b.Cold <= a.Cold {
		a.Cold = b.Cold
	}
	return a != b
}

// remove reports whether the upstream was known. One that may be about to register again stays for a while.
func (b *State) remove(name string, now time.Time, changed map[string]bool) bool {
	known, ok := b.known[name]
	if !ok || known.removed {
		return false
	}
	if now.Before(b.heldUntil()) && !known.Draining {
		isNews := !known.held
		known.held = true
		return isNews
	}
	known.removed, known.removedAt = true, now
	changed[name] = true
	return true
}

func (b *State) heldUntil() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holdUntil
}

// removeUnlisted removes what a whole batch does not list, and gives what is gone.
func (b *State) removeUnlisted(batch change.Batch, now time.Time, changed map[string]bool) []change.Change {
	listed := make(map[string]bool, len(batch.Changes))
	for _, c := range batch.Changes {
		listed[c.Key] = true
	}
	var gone []change.Change
	for key, known := range b.listed() {
		if listed[key] || known.kind == change.KindTable {
			continue
		}
		c := change.Change{Item: change.Item{Key: key, Removed: true}, Kind: known.kind, Name: known.name}
		if _, isNews := b.apply(c, now, changed); isNews {
			gone = append(gone, c)
		}
	}
	return gone
}

func (b *State) settle(now time.Time, changed map[string]bool) {
	until := b.heldUntil()
	for name, known := range b.known {
		if known.held && !now.Before(until) {
			known.held, known.removed, known.removedAt = false, true, now
			changed[name] = true
		}
		if known.removed && now.Sub(known.removedAt) > forgetAfter {
			delete(b.known, name)
		}
	}
}
