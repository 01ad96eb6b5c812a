// Package state holds the newest state of everything the platform's store publishes: the routing table, the upstreams'
// registrations and the excluded failure domains. The follower applies batches of changes to it; requests are routed by the
// immutable View it returns, and other instances receive its changes as an Update.
package state

import (
	"sync"
	"time"

	"crocuswing/internal/published/change"
	"crocuswing/internal/published/registration"
	"crocuswing/internal/routing/table"
)

// removalRetention is how long removals are kept: the last report of a removed upstream, so that a delayed report cannot add it
// again, and the removed items, which other instances receive as changes. It exceeds the longest transit time of a report.
const removalRetention = time.Minute

// View is the published state at one moment. It is immutable.
type View struct {
	// Table is nil until a configuration has been received.
	Table     *table.Table
	Upstreams map[string]registration.Registration
	// ExcludedDomains is the set of failure domains that receive no work.
	ExcludedDomains map[string]bool
	// Revision is the revision of the store.
	Revision int64
	// Changed lists the upstreams that differ from the previous view.
	Changed []string
}

// State keeps the newest version of all published items. Apply, StoreRecovered and RemoveExpired must not be called concurrently;
// the other methods are safe for concurrent use.
type State struct {
	// gracePeriod is how long upstreams may take to register again after an outage of the store.
	gracePeriod     time.Duration
	graceUntil      time.Time
	revision        int64
	table           *table.Table
	excludedDomains map[string]bool
	upstreams       map[string]*upstream

	mu         sync.Mutex
	view       *View
	entries    map[string]entry // newest item, by key
	boundaries []boundary       // in the order of their revisions
	changed    chan struct{}    // closed by the next publish
}

// boundary is the revision of an applied batch. The entries hold all changes since it, but not those since a revision between two
// boundaries: another instance that has read the store at that revision may know items that were written and removed, or removed and
// written again, before the next batch of this one.
type boundary struct {
	revision     int64
	supersededAt time.Time // zero for the newest
}

// entry is an item together with the highest revision at which it can have been written or removed.
type entry struct {
	change.Item
	kind     change.Kind
	name     string
	revision int64
	at       time.Time // when it was recorded
}

type upstream struct {
	registration.Registration
	removed        bool
	removedAt      time.Time
	pendingRemoval bool // removed from the store, but may register again until graceUntil
}

// New returns an empty State. gracePeriod is the time upstreams may take to register again after an outage of the store.
func New(gracePeriod time.Duration) *State {
	return &State{
		gracePeriod:     gracePeriod,
		excludedDomains: make(map[string]bool),
		upstreams:       make(map[string]*upstream),
		view:            &View{},
		entries:         make(map[string]entry),
		changed:         make(chan struct{}),
	}
}

// View returns the view after the last change.
func (s *State) View() *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// StoreRecovered records that the store answers again after an outage. Upstreams that it does not list are kept for the grace
// period, because they may be about to register again.
func (s *State) StoreRecovered(now time.Time) { s.graceUntil = now.Add(s.gracePeriod) }

// Apply merges a batch of changes and returns the resulting view and the rejected changes.
func (s *State) Apply(batch change.Batch, now time.Time) (*View, []change.Change) {
	changed := make(map[string]bool)
	var rejected []change.Change
	var applied []change.Change
	isListing := batch.Full && batch.Revision >= s.revision
	if isListing {
		applied = s.removeUnlisted(batch, now, changed)
	}
	for _, c := range batch.Changes {
		if isListing && c.Registration != nil {
			s.forgetRemoval(*c.Registration)
		}
		accepted, isNew := s.apply(c, now, changed)
		switch {
		case !accepted:
			rejected = append(rejected, c)
		case isNew:
			applied = append(applied, c)
		case c.Registration != nil:
			s.refresh(c.Item)
		}
	}
	s.expire(now, changed)
	s.advance(batch.Revision, now)
	s.record(applied, now)
	return s.publish(changed), rejected
}

// RemoveExpired removes the upstreams that did not register again within the grace period and returns the resulting view, or nil if
// there were none.
func (s *State) RemoveExpired(now time.Time) *View {
	changed := make(map[string]bool)
	s.expire(now, changed)
	if len(changed) == 0 {
		return nil
	}
	return s.publish(changed)
}

// apply reports whether the change was accepted and whether it adds to the known state.
func (s *State) apply(c change.Change, now time.Time, changed map[string]bool) (accepted, isNew bool) {
	switch c.Kind {
	case change.KindTable:
		return s.applyTable(c)
	case change.KindDomain:
		if c.Err != nil {
			return false, false
		}
		isNew = s.excludedDomains[c.Name] == c.Removed
		if c.Removed {
			delete(s.excludedDomains, c.Name)
		} else {
			s.excludedDomains[c.Name] = true
		}
		return true, isNew
	case change.KindUpstream:
	}
	if c.Registration == nil {
		return c.Err == nil, s.remove(c.Name, now, changed)
	}
	return s.register(*c.Registration, changed)
}

// applyTable rejects a configuration whose revision is lower than the one in force.
func (s *State) applyTable(c change.Change) (accepted, isNew bool) {
	switch {
	case c.Table == nil:
		return c.Removed, false
	case s.table != nil && c.Table.Revision() <= s.table.Revision():
		return c.Table.Revision() == s.table.Revision(), false
	}
	s.table = c.Table
	return true, true
}

// forgetRemoval makes register accept the report of a removed upstream that a listing contains. The upstream has registered again, although
// the sequence of the listed report may be lower than that of the removed one: reports without a material change are not relayed.
func (s *State) forgetRemoval(r registration.Registration) {
	if old, ok := s.upstreams[r.Upstream]; ok && old.removed && r.Incarnation >= old.Incarnation {
		delete(s.upstreams, r.Upstream)
	}
}

// register accepts a report unless a newer one is known. An identical report cancels a pending removal.
func (s *State) register(r registration.Registration, changed map[string]bool) (accepted, isNew bool) {
	old, ok := s.upstreams[r.Upstream]
	if ok && !r.IsNewerThan(old.Registration) {
		if !old.removed && r == old.Registration {
			isNew = old.pendingRemoval // the removal was relayed
			old.pendingRemoval = false
			return true, isNew
		}
		return false, false
	}
	isNew = !ok || old.removed || old.pendingRemoval || hasMaterialChange(old.Registration, r)
	if isNew {
		changed[r.Upstream] = true
	}
	s.upstreams[r.Upstream] = &upstream{Registration: r}
	return true, isNew
}

// hasMaterialChange reports whether b differs from a in more than the sequence, which grows with every report, or the end of a cold time.
// Every report with a remaining cold time is a change: by the value alone, a second cold time cannot be told from the rest of the first
// by an instance that has not seen the reports in between.
func hasMaterialChange(a, b registration.Registration) bool {
	a.Sequence = b.Sequence
	if b.Cold == 0 {
		a.Cold = 0
	}
	return a != b || b.Cold > 0
}

// remove reports whether the removal changes the known state. An upstream that may be about to register again is kept until the
// grace period ends.
func (s *State) remove(name string, now time.Time, changed map[string]bool) bool {
	u, ok := s.upstreams[name]
	if !ok || u.removed {
		return false
	}
	if now.Before(s.graceUntil) && !u.Draining {
		isNew := !u.pendingRemoval
		u.pendingRemoval = true
		return isNew
	}
	u.removed, u.removedAt = true, now
	changed[name] = true
	return true
}

// removeUnlisted removes the items that a full batch does not list and returns their removals.
func (s *State) removeUnlisted(batch change.Batch, now time.Time, changed map[string]bool) []change.Change {
	listed := make(map[string]bool, len(batch.Changes))
	for _, c := range batch.Changes {
		listed[c.Key] = true
	}
	var removed []change.Change
	for key, e := range s.existing() {
		if listed[key] || e.kind == change.KindTable {
			continue
		}
		c := change.Change{Item: change.Item{Key: key, Removed: true}, Kind: e.kind, Name: e.name}
		if _, isNew := s.apply(c, now, changed); isNew {
			removed = append(removed, c)
		}
	}
	return removed
}

// expire removes upstreams whose grace period is over and forgets removals older than removalRetention.
func (s *State) expire(now time.Time, changed map[string]bool) {
	for name, u := range s.upstreams {
		if u.pendingRemoval && !now.Before(s.graceUntil) {
			u.pendingRemoval, u.removed, u.removedAt = false, true, now
			changed[name] = true
		}
		if u.removed && now.Sub(u.removedAt) > removalRetention {
			delete(s.upstreams, name)
		}
	}
}
