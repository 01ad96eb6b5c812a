package relay

import (
	"encoding/json"
	"errors"
	"maps"
	"strings"
	"sync"

	"crocuswing/internal/published/change"
	"crocuswing/internal/published/registration"
)

// registry simulates the store with the registrations of upstreams and its history.
type registry struct {
	mu          sync.Mutex
	era         int64
	revision    int64
	items       map[string]written
	compacted   int64           // changes up to this revision are forgotten
	unavailable map[string]bool // by instance name
	isDown      bool            // for all
	reads       int
}

// written is an item and the revision at which it was written or removed.
type written struct {
	change.Item
	revision int64
}

func (r *registry) write(i change.Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	r.items[i.Key] = written{Item: i, revision: r.revision}
}

// register writes a report of an upstream.
func (r *registry) register(name string, sequence int64) {
	r.report(registration.Registration{Upstream: name, Service: "s", Incarnation: 1, Sequence: sequence})
}

func (r *registry) report(reported registration.Registration) {
	value, err := json.Marshal(reported)
	if err != nil {
		panic(err)
	}
	r.write(change.Item{Key: keyPrefix + reported.Upstream, Value: value})
}

// compact makes the store forget the history up to now.
func (r *registry) compact() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.compacted = r.revision
}

func (r *registry) remove(name string) { r.write(change.Item{Key: keyPrefix + name, Removed: true}) }

// setUnavailable sets the instances that the store refuses.
func (r *registry) setUnavailable(names ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.unavailable)
	for _, name := range names {
		r.unavailable[name] = true
	}
}

// setAvailable sets whether the store answers an instance.
func (r *registry) setAvailable(instance string, available bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unavailable[instance] = !available
}

// copyOf is a copy of the registry.
type copyOf struct {
	items               map[string]written
	revision, compacted int64
}

func (r *registry) copy() copyOf {
	r.mu.Lock()
	defer r.mu.Unlock()
	return copyOf{items: maps.Clone(r.items), revision: r.revision, compacted: r.compacted}
}

func (r *registry) setDown(isDown bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isDown = isDown
}

// restore makes the store come back from an older copy.
func (r *registry) restore(c copyOf) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.items, r.revision, r.compacted = maps.Clone(c.items), c.revision, c.compacted
	r.era++
}

// read returns the changes after a position, or all items if it is zero.
func (r *registry) read(instance string, after change.Position) (change.Batch, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads++
	if r.isDown || r.unavailable[instance] {
		return change.Batch{}, errors.New("store unavailable")
	}
	isFull := after == (change.Position{})
	switch {
	case isFull:
	case after.Era != r.era:
		return change.Batch{}, &change.EraError{Known: after.Era, Got: r.era}
	case after.Revision < r.compacted:
		return change.Batch{}, &change.CompactedError{Revision: after.Revision}
	}
	b := change.Batch{Full: isFull, Position: change.Position{Era: r.era, Revision: r.revision}}
	for _, w := range r.items {
		if w.revision > after.Revision && (!b.Full || !w.Removed) {
			b.Changes = append(b.Changes, decode(w.Item))
		}
	}
	return b, nil
}

func decode(i change.Item) change.Change {
	c := change.Change{Item: i, Kind: change.KindUpstream, Name: strings.TrimPrefix(i.Key, keyPrefix)}
	if !i.Removed {
		c.Registration = new(registration.Registration)
		c.Err = json.Unmarshal(i.Value, c.Registration)
	}
	return c
}
