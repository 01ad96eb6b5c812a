// Package set holds one complete revision of the published configuration. It parses and validates the values and answers lookups
// of presets, services, failure domains and callers while a request is handled.
package set

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"crocuswing/internal/config/caller"
	"crocuswing/internal/config/class"
	"crocuswing/internal/config/domain"
	"crocuswing/internal/config/preset"
	"crocuswing/internal/config/service"
	"crocuswing/internal/config/trie"
	"crocuswing/internal/wire/manifest"
)

// InForce is the name of the value that selects the preset in force.
const InForce = "in-force"

// Set is an immutable, validated revision of the configuration. Revisions share the memory of the values they have in common.
type Set struct {
	revision        uint64
	digest          manifest.Digest
	values          trie.Trie[Value]
	inForce         string // name of the preset in force
	presets         trie.Trie[preset.Preset]
	services        trie.Trie[service.Service]
	domains         trie.Trie[domain.Domain]
	classes         trie.Trie[class.Class]
	callers         trie.Trie[caller.Caller]
	callerByKey     trie.Trie[string] // caller name by key
	callersByClass  trie.Trie[int]    // number of callers by class
	excludedDomains []string          // sorted names
}

// Value is the published content of one configuration value.
type Value struct {
	Hash    string
	Content []byte
}

// Change is the difference between a revision and a newer one, by value name.
type Change struct {
	Revision uint64
	Values   map[string][]byte
	Removed  []string
	// Digest is the digest of the complete newer revision; empty if unknown.
	Digest string
}

// Error reports the value that makes a revision invalid.
type Error struct {
	Revision uint64
	Value    string
	Err      error
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("configuration revision %d: %s: %v", e.Revision, e.Value, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// DigestError reports that a revision differs from the published one: a value is missing or has other content.
type DigestError struct {
	Revision  uint64
	Want, Got string
}

// Error implements the error interface.
func (e *DigestError) Error() string {
	return fmt.Sprintf("configuration revision %d: digest is %s, want %s", e.Revision, e.Got, e.Want)
}

// Parse returns the set with the given values, by name. It returns *Error if a value is invalid.
func Parse(revision uint64, values map[string][]byte) (Set, error) {
	return Set{}.Apply(Change{Revision: revision, Values: values})
}

// Apply returns the newer revision that results from applying c to s, parsed and validated. Its cost is proportional to the size of
// the change. It returns *Error or *DigestError if the result is invalid.
func (s Set) Apply(c Change) (Set, error) {
	if c.Revision == 0 {
		return Set{}, &Error{Value: "revision", Err: fmt.Errorf("want at least 1")}
	}
	next := s
	next.revision = c.Revision
	a := newAffected()
	for _, name := range c.Removed {
		next.remove(name, a)
	}
	names := slices.Sorted(maps.Keys(c.Values))
	for _, name := range names {
		next.remove(name, a)
	}
	for _, name := range names {
		if err := next.add(name, c.Values[name], a); err != nil {
			return Set{}, &Error{Revision: c.Revision, Value: name, Err: err}
		}
	}
	if got := next.Digest(); c.Digest != "" && got != c.Digest {
		return Set{}, &DigestError{Revision: c.Revision, Want: c.Digest, Got: got}
	}
	if err := next.check(a); err != nil {
		return Set{}, err
	}
	return next, nil
}

// Diff compares s with a manifest. It returns the manifest's entries whose content s does not have, and the names that the
// manifest's revision no longer contains.
func (s Set) Diff(m manifest.Manifest) (entries []manifest.Entry, removed []string) {
	named := make(map[string]bool, len(m.Entries))
	for _, e := range m.Entries {
		named[e.Name] = true
		if v, ok := s.values.Get(e.Name); !ok || v.Hash != e.Hash {
			entries = append(entries, e)
		}
	}
	if !m.IsComplete() {
		return entries, m.Removed
	}
	for name := range s.values.All() {
		if !named[name] {
			removed = append(removed, name)
		}
	}
	return entries, removed
}

// Revision returns the revision; 0 means that no configuration has been received.
func (s Set) Revision() uint64 { return s.revision }

// Digest returns the digest of all names and contents.
func (s Set) Digest() string { return s.digest.String() }

// Value returns the content of the value with the given name.
func (s Set) Value(name string) (Value, bool) { return s.values.Get(name) }

// Names returns the names of all values, sorted.
func (s Set) Names() []string {
	names := make([]string, 0, s.values.Len())
	for name := range s.values.All() {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Preset returns the preset in force.
func (s Set) Preset() preset.Preset {
	p, _ := s.presets.Get(s.inForce)
	return p
}

// Service returns the service with the given name.
func (s Set) Service(name string) (service.Service, bool) { return s.services.Get(name) }

// Services returns all services, sorted by name.
func (s Set) Services() []service.Service {
	all := make([]service.Service, 0, s.services.Len())
	for _, v := range s.services.All() {
		all = append(all, v)
	}
	slices.SortFunc(all, func(a, b service.Service) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// IsDomainExcluded reports whether operators have excluded the failure domain.
func (s Set) IsDomainExcluded(failureDomain string) bool {
	return slices.Contains(s.excludedDomains, failureDomain)
}

// ExcludedDomains returns the names of the excluded failure domains, sorted.
func (s Set) ExcludedDomains() []string {
	return append(make([]string, 0, len(s.excludedDomains)), s.excludedDomains...)
}

// CallerByKey returns the caller with the given key and its class.
func (s Set) CallerByKey(key string) (caller.Caller, class.Class, bool) {
	name, ok := s.callerByKey.Get(key)
	if !ok {
		return caller.Caller{}, class.Class{}, false
	}
	c, _ := s.callers.Get(name)
	cl, _ := s.classes.Get(c.Class)
	return c, cl, true
}
