// Package store holds the current view of an instance. It validates the newer configurations and member lists that the follower
// reads, puts them into force, and serves them to other instances.
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
	"crocuswing/internal/fleet/changelog"
	"crocuswing/internal/fleet/freshness"
	"crocuswing/internal/fleet/roster"
	"crocuswing/internal/fleet/view"
	"crocuswing/internal/wire/manifest"
	"crocuswing/internal/wire/memberlist"

	"go.uber.org/zap"
)

const (
	maxApplyRounds    = 4  // rounds to apply a change while others change the configuration concurrently
	maxLoggedRefusals = 64 // distinct refusals that are logged until the next acceptance
)

// Store holds the current view. It is safe for concurrent use.
type Store struct {
	log       *zap.Logger
	incMetric func(metric string)
	onChange  func(view.View)
	current   atomic.Pointer[view.View]

	mu             sync.Mutex
	acceptor       acceptor.Acceptor
	configChanges  changelog.Changelog
	listChanges    changelog.Changelog
	loggedRefusals map[string]bool // refusals that were logged since the last acceptance
	paged          pagedView
}

// Fetch reads the content of an entry that was received without it.
type Fetch func(ctx context.Context, e manifest.Entry) ([]byte, error)

// GapError reports that a change is not based on the revision in force, so that the complete configuration has to be read.
type GapError struct{ BaseRevision, InForce uint64 }

// Error returns both revisions.
func (e *GapError) Error() string {
	return fmt.Sprintf("change is based on revision %d, but revision %d is in force", e.BaseRevision, e.InForce)
}

// HashMismatchError reports that the content of a value does not have the hash stated by the manifest.
type HashMismatchError struct{ Name, Want, Got string }

// Error returns the name and both hashes.
func (e *HashMismatchError) Error() string {
	return fmt.Sprintf("%s has hash %s, want %s", e.Name, e.Got, e.Want)
}

// New returns a store with an empty view. It calls onChange with each new view, in order, and incMetric with the name of each
// counter to increment.
func New(log *zap.Logger, incMetric func(metric string), onChange func(view.View)) *Store {
	s := &Store{log: log, incMetric: incMetric, onChange: onChange, loggedRefusals: make(map[string]bool)}
	s.current.Store(&view.View{})
	return s
}

// Current returns the current view.
func (s *Store) Current() view.View { return *s.current.Load() }

// AcceptManifest validates a newer configuration and puts it into force. If it is refused, the current one stays in force, and
// the refusal is counted and logged once per cause. A change that does not fit the revision in force is only counted, because
// the caller reads the complete configuration next. It fails with *acceptor.StaleError, *acceptor.ConflictError, *set.Error,
// *set.DigestError, *GapError, *HashMismatchError or an error of fetch.
func (s *Store) AcceptManifest(ctx context.Context, m manifest.Manifest, fetch Fetch) error {
	err := s.acceptManifest(ctx, m, fetch)
	switch {
	case err == nil || ctx.Err() != nil:
	case !m.IsComplete() && NeedsFullRead(err):
		s.incMetric("crocuswing_config_rereads_total")
	default:
		s.recordRefusal(m.Revision, err)
	}
	return err
}

// NeedsFullRead reports whether a change was refused because it does not fit the configuration in force.
func NeedsFullRead(err error) bool {
	var gap *GapError
	var digest *set.DigestError
	return errors.As(err, &gap) || errors.As(err, &digest)
}

func (s *Store) acceptManifest(ctx context.Context, m manifest.Manifest, fetch Fetch) error {
	for range maxApplyRounds {
		base := s.Current().Config()
		if err := precheck(base, m); err != nil || m.Revision == base.Revision() {
			return err
		}
		c, err := readChange(ctx, base, m, fetch)
		if err != nil {
			return err
		}
		next, err := base.Apply(c)
		if err != nil {
			return err
		}
		if s.commit(base, next, c) {
			return nil
		}
	}
	return errors.New("configuration in force changed concurrently")
}

// precheck refuses a manifest that can be rejected without its values.
func precheck(base set.Set, m manifest.Manifest) error {
	if err := acceptor.Check(base, m.Revision, m.Digest); err != nil {
		return err
	}
	if m.Revision > base.Revision() && !m.IsComplete() && m.BaseRevision != base.Revision() {
		return &GapError{BaseRevision: m.BaseRevision, InForce: base.Revision()}
	}
	return nil
}

// readChange returns the change that m makes to base. It fetches the values that are neither in base nor in m.
func readChange(ctx context.Context, base set.Set, m manifest.Manifest, fetch Fetch) (set.Change, error) {
	missing, removed := base.Diff(m)
	c := set.Change{Revision: m.Revision, Digest: m.Digest, Removed: removed, Values: make(map[string][]byte, len(missing))}
	for _, e := range missing {
		value, ok := inlineContent(base, e)
		if !ok {
			var err error
			if value, err = fetch(ctx, e); err != nil {
				return set.Change{}, fmt.Errorf("%s: %w", e.Name, err)
			}
		}
		if got := manifest.Hash(value); got != e.Hash {
			return set.Change{}, &HashMismatchError{Name: e.Name, Want: e.Hash, Got: got}
		}
		c.Values[e.Name] = value
	}
	return c, nil
}

// inlineContent returns the content that is included in an entry, if it has the hash of the entry.
func inlineContent(base set.Set, e manifest.Entry) ([]byte, bool) {
	content := []byte(e.Value)
	if e.Patch != nil {
		old, ok := base.Value(e.Name)
		if !ok || old.Hash != e.Patch.Base {
			return nil, false
		}
		var err error
		if content, err = e.Patch.Apply(old.Content); err != nil {
			return nil, false
		}
	}
	return content, manifest.Hash(content) == e.Hash
}

// commit puts next into force. It returns false if base is no longer in force or next is not accepted.
func (s *Store) commit(base, next set.Set, c set.Change) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.acceptor.Current().Revision() != base.Revision() {
		return false
	}
	if _, err := s.acceptor.Accept(next); err != nil {
		return false
	}
	s.configChanges = s.configChanges.With(changelog.Change{From: base.Revision(), To: next.Revision(), Items: changedItems(base, c)})
	s.log.Info("configuration in force", zap.Uint64("revision", next.Revision()),
		zap.String("preset", next.Preset().Name), zap.Strings("domains-out", next.ExcludedDomains()))
	s.incMetric("crocuswing_config_accepted_total")
	clear(s.loggedRefusals)
	s.publish(s.Current().WithConfig(next))
	return true
}

// changedItems returns the names that c changes, with their contents in base.
func changedItems(base set.Set, c set.Change) []changelog.Item {
	names := slices.Clone(c.Removed)
	for name := range c.Values {
		names = append(names, name)
	}
	items := make([]changelog.Item, 0, len(names))
	for _, name := range names {
		old, _ := base.Value(name)
		items = append(items, changelog.Item{Name: name, Hash: old.Hash, Before: old.Content})
	}
	return items
}

// AcceptMemberList puts a newer version of the member list into force; an older one is ignored. It fails with *roster.Error.
func (s *Store) AcceptMemberList(l memberlist.List) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.Current()
	if l.Version <= v.Roster().Version() {
		return nil
	}
	next, err := v.Roster().Apply(l)
	if err != nil {
		s.incMetric(`crocuswing_list_refused_total`)
		return err
	}
	s.listChanges = s.listChanges.With(changelog.Change{From: v.Roster().Version(), To: l.Version, Items: changedMembers(v.Roster(), l)})
	s.publish(v.WithRoster(next))
	return nil
}

// changedMembers returns the names of the members that l adds, changes or removes.
func changedMembers(old roster.Roster, l memberlist.List) []changelog.Item {
	var items []changelog.Item
	named := make(map[string]bool, len(l.Members))
	for _, m := range l.Members {
		named[m.Name] = true
		if before, ok := old.Member(m.Name); !ok || before != m {
			items = append(items, changelog.Item{Name: m.Name})
		}
	}
	removed := l.Removed
	if l.IsComplete() {
		removed = slices.DeleteFunc(old.Names(), func(name string) bool { return named[name] })
	}
	for _, name := range removed {
		items = append(items, changelog.Item{Name: name})
	}
	return items
}

// UpdateFreshness applies update to the freshness of the current view.
func (s *Store) UpdateFreshness(update func(freshness.Freshness) freshness.Freshness) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.Current()
	v = v.WithFreshness(update(v.Freshness()))
	s.current.Store(&v)
}

// SetAvoided sets the instances that are not to be used, and those of them that are leaving. It reports whether either changed.
func (s *Store) SetAvoided(avoided, leaving []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.Current()
	if slices.Equal(v.Avoided(), avoided) && slices.Equal(v.Leaving(), leaving) {
		return false
	}
	s.publish(v.WithAvoided(avoided, leaving))
	return true
}

// RecordConflict logs and counts a configuration with the revision in force but other content.
func (s *Store) RecordConflict(err *acceptor.ConflictError) { s.recordRefusal(err.Revision, err) }

// publish makes v the current view and passes it to onChange.
func (s *Store) publish(v view.View) {
	s.current.Store(&v)
	s.onChange(v)
}

// recordRefusal counts a refusal, and logs it unless the same one, or maxLoggedRefusals others, were logged since the last
// acceptance.
func (s *Store) recordRefusal(revision uint64, err error) {
	cause := causeOf(err)
	s.incMetric(fmt.Sprintf("crocuswing_config_refused_total{cause=%q}", cause))
	key := fmt.Sprintf("%s %d %s", cause, revision, err)
	s.mu.Lock()
	repeated := s.loggedRefusals[key] || len(s.loggedRefusals) >= maxLoggedRefusals
	s.loggedRefusals[key] = true
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

// Causes of a refusal, as in the metric and the log.
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
