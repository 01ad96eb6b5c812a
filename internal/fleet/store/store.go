// Package store holds the view in force, takes newer parts of it and answers other instances from it.
package store

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"crocuswing/internal/config/acceptor"
	"crocuswing/internal/config/set"
	"crocuswing/internal/fleet/freshness"
	"crocuswing/internal/fleet/history"
	"crocuswing/internal/fleet/roster"
	"crocuswing/internal/fleet/view"
	"crocuswing/internal/wire/manifest"
	"crocuswing/internal/wire/memberlist"

	"go.uber.org/zap"
)

const (
	maxRaces  = 4  // tries to apply a change while others change the set
	maxCauses = 64 // refusals that are logged between two acceptances
)

// Store holds the present view. It is safe for concurrent use.
type Store struct {
	log     *zap.Logger
	count   func(metric string)
	changed func(view.View)
	current atomic.Pointer[view.View]

	mu         sync.Mutex
	acceptance acceptor.Acceptor
	configs    history.History
	lists      history.History
	refused    map[string]bool // causes that were logged since the last acceptance
	pages      pages
}

// Fetch reads the content of an entry that came without it.
type Fetch func(ctx context.Context, e manifest.Entry) ([]byte, error)

// GapError tells that a change does not follow the revision in force, so that the whole has to be read.
type GapError struct{ From, InForce uint64 }

// Error gives both revisions.
func (e *GapError) Error() string {
	return fmt.Sprintf("change from revision %d does not follow revision %d in force", e.From, e.InForce)
}

// HashMismatchError tells that the content of a value is not the one that the manifest names.
type HashMismatchError struct{ Name, Want, Got string }

// Error gives the name and both hashes.
func (e *HashMismatchError) Error() string {
	return fmt.Sprintf("%s has hash %s, want %s", e.Name, e.Got, e.Want)
}

// New makes a store without a view. Changed is told each new view in order, count the name of each metric to raise.
func New(log *zap.Logger, count func(metric string), changed func(view.View)) *Store {
	s := &Store{log: log, count: count, changed: changed, refused: make(map[string]bool)}
	s.current.Store(&view.View{})
	return s
}

// Current is the present view.
func (s *Store) Current() view.View { return *s.current.Load() }

// AcceptManifest brings a newer configuration into force. A refused one is logged once for each cause
// and counted, and the one in force stays. A change that does not lead to the digest that it names is
// only counted, since its reader reads the whole next. It fails with *acceptor.StaleError, *acceptor.ConflictError,
// *set.Error, *set.DigestError, *GapError, *HashMismatchError or an error of fetch.
func (s *Store) AcceptManifest(ctx context.Context, m manifest.Manifest, fetch Fetch) error {
	err := s.acceptManifest(ctx, m, fetch)
	switch {
	case err == nil || ctx.Err() != nil:
	case !m.IsComplete() && NeedsWhole(err):
		s.count("crocuswing_config_rereads_total")
	default:
		s.refuse(m.Revision, err)
	}
	return err
}

// NeedsWhole tells whether a change was not accepted because it does not fit what is in force.
func NeedsWhole(err error) bool {
	var gap *GapError
	var differs *set.DigestError
	return errors.As(err, &gap) || errors.As(err, &differs)
}

func (s *Store) acceptManifest(ctx context.Context, m manifest.Manifest, fetch Fetch) error {
	for range maxRaces {
		base := s.Current().Config()
		if err := precheck(base, m); err != nil || m.Revision == base.Revision() {
			return err
		}
		c, err := change(ctx, base, m, fetch)
		if err != nil {
			return err
		}
		next, err := base.Apply(c)
		if err != nil {
			return err
		}
		if s.bring(base, next, c) {
			return nil
		}
	}
	return errors.New("the configuration in force changed meanwhile")
}

func precheck(base set.Set, m manifest.Manifest) error {
	if err := acceptor.Check(base, m.Revision, m.Digest); err != nil {
		return err
	}
	if m.Revision > base.Revision() && !m.IsComplete() && m.BaseRevision != base.Revision() {
		return &GapError{From: m.BaseRevision, InForce: base.Revision()}
	}
	return nil
}

// change reads what a manifest adds to base.
func change(ctx context.Context, base set.Set, m manifest.Manifest, fetch Fetch) (set.Change, error) {
	missing, removed := base.Diff(m)
	c := set.Change{Revision: m.Revision, Digest: m.Digest, Removed: removed, Values: make(map[string][]byte, len(missing))}
	for _, e := range missing {
		text, ok := inline(base, e)
		if !ok {
			var err error
			if text, err = fetch(ctx, e); err != nil {
				return set.Change{}, fmt.Errorf("%s: %w", e.Name, err)
			}
		}
		if got := manifest.Hash(text); got != e.Hash {
			return set.Change{}, &HashMismatchError{Name: e.Name, Want: e.Hash, Got: got}
		}
		c.Values[e.Name] = text
	}
	return c, nil
}

// inline gives the content that came with an entry, if it is the one that the entry names.
func inline(base set.Set, e manifest.Entry) ([]byte, bool) {
	text := []byte(e.Value)
	if e.Patch != nil {
		old, ok := base.Value(e.Name)
		if !ok || old.Hash != e.Patch.Base {
			return nil, false
		}
		var err error
		if text, err = e.Patch.Apply(old.Content); err != nil {
			return nil, false
		}
	}
	return text, manifest.Hash(text) == e.Hash
}

// bring puts next into force and reports false if another revision came into force since base.
func (s *Store) bring(base, next set.Set, c set.Change) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.acceptance.Current().Revision() != base.Revision() {
		return false
	}
	if _, err := s.acceptance.Accept(next); err != nil {
		return false
	}
	s.configs = s.configs.With(history.Change{From: base.Revision(), To: next.Revision(), Items: itemsOf(base, c)})
	s.log.Info("configuration in force", zap.Uint64("revision", next.Revision()),
		zap.String("preset", next.Preset().Name), zap.Strings("domains-out", next.ExcludedDomains()))
	s.count("crocuswing_config_accepted_total")
	clear(s.refused)
	s.replace(s.Current().WithConfig(next))
	return true
}

func itemsOf(base set.Set, c set.Change) []history.Item {
	names := slices.Clone(c.Removed)
	for name := range c.Values {
		names = append(names, name)
	}
	items := make([]history.Item, 0, len(names))
	for _, name := range names {
		old, _ := base.Value(name)
		items = append(items, history.Item{Name: name, Hash: old.Hash, Before: old.Content})
	}
	return items
}

// AcceptMemberList takes a newer version of the list; an older one is passed over. It fails with *roster.Error.
func (s *Store) AcceptMemberList(l memberlist.List) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.Current()
	if l.Version <= v.Roster().Version() {
		return nil
	}
	next, err := v.Roster().Apply(l)
	if err != nil {
		s.count(`crocuswing_list_refused_total`)
		return err
	}
	s.lists = s.lists.With(history.Change{From: v.Roster().Version(), To: l.Version, Items: namesOf(v.Roster(), l)})
	s.replace(v.WithRoster(next))
	return nil
}

func namesOf(old roster.Roster, l memberlist.List) []history.Item {
	var items []history.Item
	named := make(map[string]bool, len(l.Members))
	for _, m := range l.Members {
		named[m.Name] = true
		if before, ok := old.Member(m.Name); !ok || before != m {
			items = append(items, history.Item{Name: m.Name})
		}
	}
	removed := l.Removed
	if l.IsComplete() {
		removed = slices.DeleteFunc(old.Names(), func(name string) bool { return named[name] })
	}
	for _, name := range removed {
		items = append(items, history.Item{Name: name})
	}
	return items
}

// UpdateFreshness changes the evidence of how fresh the view is.
func (s *Store) UpdateFreshness(change func(freshness.Freshness) freshness.Freshness) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.Current()
	v = v.WithFreshness(change(v.Freshness()))
	s.current.Store(&v)
}

// SetAvoided sets the instances that get no work through them, and those of them that said that they leave.
// It reports whether that is a change.
func (s *Store) SetAvoided(avoided, left []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.Current()
	if slices.Equal(v.Avoided(), avoided) && slices.Equal(v.Leaving(), left) {
		return false
	}
	s.replace(v.WithAvoided(avoided, left))
	return true
}

// RecordConflict logs and counts another content under the revision in force.
func (s *Store) RecordConflict(err *acceptor.ConflictError) { s.refuse(err.Revision, err) }

func (s *Store) replace(v view.View) {
	s.current.Store(&v)
	s.changed(v)
}

func (s *Store) refuse(revision uint64, err error) {
	cause := causeOf(err)
	s.count(fmt.Sprintf("crocuswing_config_refused_total{cause=%q}", cause))
	key := fmt.Sprintf("%s %d %s", cause, revision, err)
	s.mu.Lock()
	repeated := s.refused[key] || len(s.refused) >= maxCauses
	s.refused[key] = true
	s.mu.Unlock()
	if repeated {
		return
	}
	fields := []zap.Field{zap.String("cause", cause), zap.Uint64("offered", revision), zap.Error(err)}
	if cause == causeConflict {
		s.log.Error("configuration refused", fields...)
		return
	}
	s.log.Warn("configuration refused", fields...)
}

// Causes of a refusal.
const (
	causeStale    = "stale"
	causeConflict = "conflict"
	causeInvalid  = "invalid"
	causeHalfRead = "half-read"
)

func causeOf(err error) string {
	var stale *acceptor.StaleError
	var conflict *acceptor.ConflictError
	var invalid *set.Error
	switch {
	case errors.As(err, &stale):
		return causeStale
	case errors.As(err, &conflict):
		return causeConflict
	case errors.As(err, &invalid):
		return causeInvalid
	}
	return causeHalfRead
}
