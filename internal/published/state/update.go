package state

import (
	"context"
	"maps"
	"time"

	"crocuswing/internal/published/change"
	"crocuswing/internal/published/registration"
)

// Update is what another instance needs to know that knows everything up to a revision. It is immutable.
type Update struct {
	// Full tells that items which are not listed do not exist.
	Full     bool
	Revision int64
	Items    []change.Item
	// GracePeriod is how long removed upstreams may still register again.
	GracePeriod time.Duration
}

// Await gives the news after a revision as soon as there are some, or when ctx ends.
func (b *State) Await(ctx context.Context, revision int64) Update {
	for {
		n, changed := b.since(revision)
		if len(n.Items) > 0 {
			return n
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return n
		}
	}
}

func (b *State) since(revision int64) (Update, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := Update{Full: revision == 0 || revision < b.forgotten, Revision: b.view.Revision, GracePeriod: max(0, time.Until(b.holdUntil))}
	for _, item := range b.news {
		if item.revision > revision || (n.Full && !item.Removed) {
			n.Items = append(n.Items, item.Item)
		}
	}
	return n, b.changed
}

// listed gives the items that exist.
func (b *State) listed() map[string]news {
	b.mu.Lock()
	defer b.mu.Unlock()
	items := maps.Clone(b.news)
	maps.DeleteFunc(items, func(_ string, n news) bool { return n.Removed })
	return items
}

// record keeps the news of the present revision, and forgets old removals.
func (b *State) record(log []change.Change, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range log {
		b.news[c.Key] = news{Item: c.Item, kind: c.Kind, name: c.Name, revision: b.revision, at: now}
	}
	if len(log) == 0 {
		return
	}
	for key, n := range b.news {
		if n.Removed && now.Sub(n.at) > forgetAfter {
			b.forgotten = max(b.forgotten, n.revision)
			delete(b.news, key)
		}
	}
}

// publish makes the view that the items give.
func (b *State) publish(changed map[string]bool) *View {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.view
	v := &View{Table: b.table, Upstreams: old.Upstreams, Revision: b.revision, ExcludedDomains: maps.Clone(b.out)}
	if len(changed) > 0 {
		v.Upstreams = make(map[string]registration.Registration, len(b.known))
		for name, known := range b.known {
			if !known.removed {
				v.Upstreams[name] = known.Registration
			}
		}
	}
	for name := range changed {
		v.Changed = append(v.Changed, name)
	}
	b.view = v
	close(b.changed)
	b.changed = make(chan struct{})
	return v
}
