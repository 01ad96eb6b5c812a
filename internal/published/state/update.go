package state

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"crocuswing/internal/published/change"
	"crocuswing/internal/published/registration"
)

// Update holds the changes that an instance with the state of an earlier position needs. It is immutable.
type Update struct {
	// Full reports that Items lists all existing items, so that unlisted items do not exist.
	Full bool
	change.Position
	Items []change.Item
}

// Await returns the changes after a position as soon as there are any, or an update without items when ctx ends.
func (s *State) Await(ctx context.Context, after change.Position) Update {
	for {
		u, changed := s.updateSince(after)
		if len(u.Items) > 0 || u.Full {
			return u
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return u
		}
	}
}

// updateSince returns the changes after a position and a channel that is closed by the next publish. After a position of an earlier era it
// returns everything.
func (s *State) updateSince(after change.Position) (Update, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := Update{Full: !s.isBoundary(after) && after.Compare(s.view.Position) < 0, Position: s.view.Position}
	for _, e := range s.entries {
		if (u.Full && !e.Removed) || (!u.Full && e.position.Compare(after) > 0) {
			u.Items = append(u.Items, e.Item)
		}
	}
	return u, s.changed
}

// isBoundary reports whether the entries hold all changes since a position.
func (s *State) isBoundary(after change.Position) bool {
	if after.Era != s.view.Era {
		return false
	}
	_, ok := slices.BinarySearchFunc(s.boundaries, after.Revision, func(b boundary, r int64) int { return cmp.Compare(b.revision, r) })
	return ok
}

// advance sets the position to that of an applied batch. The first position of a later era is no boundary: an instance that has read the
// store there lacks what this one has kept from before.
func (s *State) advance(to change.Position, now time.Time) {
	if to.Compare(s.position) <= 0 {
		return
	}
	isNewEra := to.Era != s.position.Era && s.position != (change.Position{})
	s.position = to
	s.mu.Lock()
	defer s.mu.Unlock()
	if isNewEra {
		s.boundaries = nil
		return
	}
	if n := len(s.boundaries); n > 0 {
		s.boundaries[n-1].supersededAt = now
	}
	s.boundaries = append(s.boundaries, boundary{revision: to.Revision})
}

// existing returns the entries whose items are not removed.
func (s *State) existing() map[string]entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := maps.Clone(s.entries)
	maps.DeleteFunc(entries, func(_ string, e entry) bool { return e.Removed })
	return entries
}

// record stores the applied changes under the current position. It forgets old removals and the boundaries that precede them.
func (s *State) record(applied []change.Change, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range applied {
		s.entries[c.Key] = entry{Item: c.Item, kind: c.Kind, name: c.Name, position: s.position, at: now}
	}
	s.boundaries = slices.DeleteFunc(s.boundaries, func(b boundary) bool {
		return !b.supersededAt.IsZero() && now.Sub(b.supersededAt) > removalRetention
	})
	if len(applied) == 0 {
		return
	}
	for key, e := range s.entries {
		if e.Removed && now.Sub(e.at) > removalRetention {
			delete(s.entries, key)
		}
	}
}

// refresh replaces the item of a report without a material change. Other instances get it with the next full update.
func (s *State) refresh(i change.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[i.Key]; ok && !e.Removed {
		e.Item = i
		s.entries[i.Key] = e
	}
}

// publish builds the new view and wakes the callers of Await.
func (s *State) publish(changed map[string]bool) *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.view
	v := &View{Table: s.table, Upstreams: old.Upstreams, Position: s.position, ExcludedDomains: maps.Clone(s.excludedDomains)}
	if len(changed) > 0 {
		v.Upstreams = make(map[string]registration.Registration, len(s.upstreams))
		for name, u := range s.upstreams {
			if !u.removed {
				v.Upstreams[name] = u.Registration
			}
		}
	}
	for name := range changed {
		v.Changed = append(v.Changed, name)
	}
	s.view = v
	close(s.changed)
	s.changed = make(chan struct{})
	return v
}
