package state

import (
	"context"
	"maps"
	"time"

	"crocuswing/internal/published/change"
	"crocuswing/internal/published/registration"
)

// Update holds the changes that an instance with the state of an earlier revision needs. It is immutable.
type Update struct {
	// Full reports that Items lists all existing items, so that unlisted items do not exist.
	Full     bool
	Revision int64
	Items    []change.Item
}

// Await returns the changes after a revision as soon as there are any, or an update without items when ctx ends.
func (s *State) Await(ctx context.Context, revision int64) Update {
	for {
		u, changed := s.updateSince(revision)
		if len(u.Items) > 0 {
			return u
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return u
		}
	}
}

// updateSince returns the changes after a revision and a channel that is closed by the next publish.
func (s *State) updateSince(revision int64) (Update, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := Update{Full: revision == 0 || revision < s.compactedRevision, Revision: s.view.Revision}
	for _, e := range s.entries {
		if e.revision > revision || (u.Full && !e.Removed) {
			u.Items = append(u.Items, e.Item)
		}
	}
	return u, s.changed
}

// existing returns the entries whose items are not removed.
func (s *State) existing() map[string]entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := maps.Clone(s.entries)
	maps.DeleteFunc(entries, func(_ string, e entry) bool { return e.Removed })
	return entries
}

// record stores the applied changes under the current revision and compacts old removals.
func (s *State) record(applied []change.Change, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range applied {
		s.entries[c.Key] = entry{Item: c.Item, kind: c.Kind, name: c.Name, revision: s.revision, at: now}
	}
	if len(applied) == 0 {
		return
	}
	for key, e := range s.entries {
		if e.Removed && now.Sub(e.at) > removalRetention {
			s.compactedRevision = max(s.compactedRevision, e.revision)
			delete(s.entries, key)
		}
	}
}

// publish builds the new view and wakes the callers of Await.
func (s *State) publish(changed map[string]bool) *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.view
	v := &View{Table: s.table, Upstreams: old.Upstreams, Revision: s.revision, ExcludedDomains: maps.Clone(s.excludedDomains)}
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
