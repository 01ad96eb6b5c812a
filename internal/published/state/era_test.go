package state

import (
	"maps"
	"slices"
	"testing"
	"time"

	"crocuswing/internal/published/change"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// eraStore is a store with its copies.
type eraStore struct {
	position change.Position
	items    map[string]change.Change
	written  map[string]int64 // revision by key
	older    *eraStore
}

func (s *eraStore) write(c change.Change) {
	s.position.Revision++
	s.items[c.Key] = c
	s.written[c.Key] = s.position.Revision
}

func (s *eraStore) copy() *eraStore {
	return &eraStore{position: s.position, items: maps.Clone(s.items), written: maps.Clone(s.written)}
}

// read returns the changes after a position, or everything if it is of another era.
func (s *eraStore) read(after change.Position) change.Batch {
	b := change.Batch{Full: after.Era != s.position.Era, Position: s.position}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		c := s.items[key]
		if b.Full && c.Removed || !b.Full && s.written[key] <= after.Revision {
			continue
		}
		b.Changes = append(b.Changes, c)
	}
	return b
}

// eraHistory plays a random history of a store that comes back from older copies, and of one reader.
type eraHistory struct {
	*rapid.T
	now            time.Time
	state          *State
	store          *eraStore
	sequence, last map[string]int64 // written and seen last, by upstream
	config         int64
	late           []change.Batch
}

// apply applies a batch. Neither the configuration nor a report may go back, and a removed upstream comes back with a newer report only.
func (h *eraHistory) apply(b change.Batch) {
	before := h.state.View()
	if b.Era > before.Era {
		h.state.StartGracePeriod(h.now)
	}
	v, _ := h.state.Apply(b, h.now)
	require.GreaterOrEqual(h, v.Compare(before.Position), 0)
	if before.Table != nil {
		require.GreaterOrEqual(h, v.Table.Revision(), before.Table.Revision())
	}
	for name, r := range v.Upstreams {
		if _, ok := before.Upstreams[name]; !ok && h.wasRemoved(name) {
			require.Greater(h, r.Sequence, h.last[name], "%s comes back", name)
		}
		require.GreaterOrEqual(h, r.Sequence, h.last[name])
		h.last[name] = r.Sequence
	}
}

// wasRemoved reports whether the upstream was seen, and then removed in an earlier era.
func (h *eraHistory) wasRemoved(name string) bool {
	u, ok := h.state.upstreams[name]
	return ok && h.last[name] > 0 && u.removedEra > 0 && u.removedEra < h.state.position.Era
}

func (h *eraHistory) step() {
	h.now = h.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(h.T, "ms")) * time.Millisecond)
	name := rapid.SampledFrom([]string{"u", "v", "w"}).Draw(h.T, "name")
	switch rapid.IntRange(0, 8).Draw(h.T, "kind") {
	case 0:
		h.store.write(removal(name))
	case 1:
		h.config++
		h.store.write(configuration(h.config))
	case 2:
		h.store.write(domain(name, rapid.Bool().Draw(h.T, "back")))
	case 3:
		h.store.older = h.store.copy()
	case 4:
		older, era := h.store.older, h.store.position.Era+1
		h.store = older.copy()
		h.store.position.Era, h.store.older = era, older
	case 5:
		h.late = append(h.late, h.store.read(h.state.View().Position))
	case 6:
		// Within an era, reads follow one another.
		if len(h.late) > 0 && h.late[0].Era < h.state.View().Era {
			h.apply(h.late[0])
		}
		h.late = h.late[min(1, len(h.late)):]
	case 7:
		h.apply(h.store.read(h.state.View().Position))
	default:
		h.report(name, rapid.Bool().Draw(h.T, "leaving"))
	}
}

func (h *eraHistory) report(name string, draining bool) {
	h.sequence[name]++
	h.store.write(report(name, 1, h.sequence[name], draining))
}

// settle lets the upstreams that are up report on until the grace period is over: what the copy lacks is gone then.
func (h *eraHistory) settle() {
	for range 3 {
		for _, name := range []string{"u", "v", "w"} {
			if c, ok := h.store.items["u/"+name]; ok && !c.Removed {
				h.report(name, c.Registration.Draining)
			}
		}
		h.apply(h.store.read(h.state.View().Position))
		h.now = h.now.Add(testGracePeriod)
	}
}

// TestRandomEras plays random histories. In the end the state is that of the store, but for a configuration that the copy lacks.
func TestRandomEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &eraHistory{T: t, now: time.Now(), state: New(testGracePeriod), sequence: make(map[string]int64), last: make(map[string]int64)}
		h.store = &eraStore{position: at(1), items: make(map[string]change.Change), written: make(map[string]int64)}
		h.store.older = h.store.copy()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h.step()
		}
		h.settle()
		var upstreams, domains []string
		for _, c := range h.store.items {
			switch {
			case c.Removed:
			case c.Kind == change.KindUpstream:
				upstreams = append(upstreams, c.Name)
			case c.Kind == change.KindDomain:
				domains = append(domains, c.Name)
			}
		}
		require.ElementsMatch(t, upstreams, slices.Collect(maps.Keys(h.state.View().Upstreams)))
		require.ElementsMatch(t, domains, slices.Collect(maps.Keys(h.state.View().ExcludedDomains)))
	})
}
