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
	// Position is the era and the revision of the store.
	change.Position
	// Changed lists the upstreams that differ from the previous view.
	Changed []string
}

// State keeps the newest version of all published items. Apply, StartGracePeriod and RemoveExpired must not be called concurrently;
// the other methods are safe for concurrent use.
type State struct {
	// gracePeriod is how long upstreams may take to register again after an outage of the store.
	gracePeriod     time.Duration
	graceUntil      time.Time
	position        change.Position
	table           *table.Table
	excludedDomains map[string]bool
	// missingDomains are those of excludedDomains that a new era of the store lacks. They are readmitted at graceUntil unless they are
	// excluded again.
	missingDomains map[string]bool
	upstreams      map[string]*upstream

	mu         sync.Mutex
	view       *View
	entries    map[string]entry // newest item, by key
	boundaries []boundary       // in the order of their revisions
	changed    chan struct{}    // closed by the next publish
}

// boundary is the revision of an applied batch of the present era. The entries hold all changes since it, but not those since a revision
// between two boundaries: another instance that has read the store at that revision may know items that were written and removed, or
// removed and written again, before the next batch of this one.
type boundary struct {
	revision     int64
	supersededAt time.Time // zero for the newest
}

// entry is an item together with the highest position at which it can have been written or removed.
type entry struct {
	change.Item
	kind     change.Kind
	name     string
	position change.Position
	at       time.Time // when it was recorded
}

type upstream struct {
	registration.Registration
	removed        bool
	removedAt      time.Time
	removedEra     int64 // of the store
	pendingRemoval bool  // removed from the store, but may register again until graceUntil
}

// New returns an empty State. gracePeriod is the time upstreams may take to register again after an outage of the store.
func New(gracePeriod time.Duration) *State {
	return &State{
		gracePeriod:     gracePeriod,
		excludedDomains: make(map[string]bool),
		missingDomains:  make(map[string]bool),
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

// StartGracePeriod keeps for the grace period what the store does not list, because it may be about to be written again. It is called when
// the store answers again after an outage, and before a listing of a later era: the store has come back from an older copy of itself.
func (s *State) StartGracePeriod(now time.Time) { s.graceUntil = now.Add(s.gracePeriod) }

// Apply merges a batch of changes and returns the resulting view and the rejected changes. A batch of an earlier era, and one of a later era
// that is no listing, is ignored. The listing of a later era replaces what is known only by what is newer in itself: the store may have come
// back from a copy in which a configuration, a report or a removal is missing.
func (s *State) Apply(batch change.Batch, now time.Time) (*View, []change.Change) {
	changed := make(map[string]bool)
	var rejected []change.Change
	var applied []change.Change
	isNewEra := s.isNewEra(batch)
	if batch.Era < s.position.Era || (isNewEra && !batch.Full) {
		return s.View(), nil
	}
	isListing := batch.Full && batch.Compare(s.position) >= 0
	if isListing {
		applied = s.removeUnlisted(batch, isNewEra, now, changed)
	}
	for _, c := range batch.Changes {
		accepted, isNew := s.merge(c, isListing && !isNewEra, now, changed)
		switch {
		case !accepted:
			rejected = append(rejected, c)
		case isNew:
			applied = append(applied, c)
		}
	}
	s.expire(now, changed)
	s.advance(batch.Position, now)
	s.record(applied, now)
	return s.publish(changed), rejected
}

// isNewEra reports whether the store has come back from an older copy since the present state was read.
func (s *State) isNewEra(batch change.Batch) bool {
	return batch.Era > s.position.Era && s.position != (change.Position{})
}

// merge applies one change of a batch and reports whether it was accepted and whether it adds to the known state.
func (s *State) merge(c change.Change, mayForgetRemoval bool, now time.Time, changed map[string]bool) (accepted, isNew bool) {
	if mayForgetRemoval && c.Registration != nil {
		s.forgetRemoval(*c.Registration)
	}
	accepted, isNew = s.apply(c, now, changed)
	if accepted && !isNew && c.Registration != nil {
		s.refresh(c.Item)
	}
	return accepted, isNew
}

// RemoveExpired removes the upstreams that did not register again within the grace period and returns the resulting view, or nil if
// there were none.
func (s *State) RemoveExpired(now time.Time) *View {
	changed := make(map[string]bool)
	s.expire(now, changed)
	if len(changed) == 0 && len(s.View().ExcludedDomains) == len(s.excludedDomains) {
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
		return true, s.applyDomain(c)
	case change.KindUpstream:
	}
	if c.Registration == nil {
		return c.Err == nil, s.remove(c.Name, now, changed)
	}
	return s.register(*c.Registration, changed)
}

// applyDomain reports whether the change adds to the known state. The readmission of a domain that a new era lacks waits for the end of the
// grace period.
func (s *State) applyDomain(c change.Change) (isNew bool) {
	isMissing := s.missingDomains[c.Name]
	if c.Removed {
		if isMissing || !s.excludedDomains[c.Name] {
			return false
		}
		delete(s.excludedDomains, c.Name)
		return true
	}
	delete(s.missingDomains, c.Name)
	isNew = isMissing || !s.excludedDomains[c.Name] // its removal was relayed
	s.excludedDomains[c.Name] = true
	return isNew
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
// the sequence of the listed report may be lower than that of the removed one: reports without a material change are not relayed. A removal
// in an earlier era is not forgotten, because the listed report may be from the copy of the store.
func (s *State) forgetRemoval(r registration.Registration) {
	if old, ok := s.upstreams[r.Upstream]; ok && old.removed && old.removedEra == s.position.Era && r.Incarnation >= old.Incarnation {
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
	u.removed, u.removedAt, u.removedEra = true, now, s.position.Era
	changed[name] = true
	return true
}

// removeUnlisted removes the items that a full batch does not list and returns their removals. Domains that the first listing of an era
// lacks stay excluded until the grace period ends.
func (s *State) removeUnlisted(batch change.Batch, isNewEra bool, now time.Time, changed map[string]bool) []change.Change {
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
		if isNewEra && e.kind == change.KindDomain && s.excludedDomains[e.name] {
			s.missingDomains[e.name] = true
			removed = append(removed, c)
			continue
		}
		if _, isNew := s.apply(c, now, changed); isNew {
			removed = append(removed, c)
		}
	}
	return removed
}

// expire removes upstreams and readmits domains whose grace period is over, and forgets removals older than removalRetention.
func (s *State) expire(now time.Time, changed map[string]bool) {
	if !now.Before(s.graceUntil) {
		for name := range s.missingDomains {
			delete(s.excludedDomains, name)
		}
		clear(s.missingDomains)
	}
	for name, u := range s.upstreams {
		if u.pendingRemoval && !now.Before(s.graceUntil) {
			u.pendingRemoval, u.removed, u.removedAt, u.removedEra = false, true, now, s.position.Era
			changed[name] = true
		}
		if u.removed && now.Sub(u.removedAt) > removalRetention {
			delete(s.upstreams, name)
		}
	}
}
