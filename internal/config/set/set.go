// Package set holds one whole revision of the published configuration.
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

// InForce is the name of the value that names the preset in force.
const InForce = "in-force"

// Set is an immutable revision of the configuration, checked as a whole. Revisions share what they
// have in common.
type Set struct {
	revision uint64
	digest   manifest.Digest
	texts    trie.Trie[Value]
	inForce  string
	presets  trie.Trie[preset.Preset]
	services trie.Trie[service.Service]
	domains  trie.Trie[domain.Domain]
	classes  trie.Trie[class.Class]
	callers  trie.Trie[caller.Caller]
	byKey    trie.Trie[string] // name of a caller by its key
	users    trie.Trie[int]    // number of callers by class
	out      []string          // names of the domains that are out, sorted
}

// Value is the published content of one value.
type Value struct {
	Hash    string
	Content []byte
}

// Change is what differs in a newer revision, by the names of the values.
type Change struct {
	Revision uint64
	Values   map[string][]byte
	Removed  []string
	// Digest is that of the whole newer revision; empty means that it is not known.
	Digest string
}

// Error names the value that makes a revision invalid.
type Error struct {
	Revision uint64
	Value    string
	Err      error
}

// Error gives the revision, the value's name and the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("configuration revision %d: %s: %v", e.Revision, e.Value, e.Err)
}

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.Err }

// DigestError tells that a revision is not the one that was published: a part is missing or differs.
type DigestError struct {
	Revision  uint64
	Want, Got string
}

// Error gives the revision and both digests.
func (e *DigestError) Error() string {
	return fmt.Sprintf("configuration revision %d: digest is %s, want %s", e.Revision, e.Got, e.Want)
}

// Parse makes a set from all its values, by name. It fails with *Error.
func Parse(revision uint64, values map[string][]byte) (Set, error) {
	return Set{}.Apply(Change{Revision: revision, Values: values})
}

// Apply gives the newer revision that c makes of s, parsed and checked as a whole. Its cost is that
// of the change. It fails with *Error or *DigestError.
func (s Set) Apply(c Change) (Set, error) {
	if c.Revision == 0 {
		return Set{}, &Error{Value: "revision", Err: fmt.Errorf("want at least 1")}
	}
	next := s
	next.revision = c.Revision
	touched := newTouched()
	for _, name := range c.Removed {
		next.remove(name, touched)
	}
	names := slices.Sorted(maps.Keys(c.Values))
	for _, name := range names {
		next.remove(name, touched)
	}
	for _, name := range names {
		if err := next.add(name, c.Values[name], touched); err != nil {
			return Set{}, &Error{Revision: c.Revision, Value: name, Err: err}
		}
	}
	if got := next.Digest(); c.Digest != "" && got != c.Digest {
		return Set{}, &DigestError{Revision: c.Revision, Want: c.Digest, Got: got}
	}
	if err := next.check(touched); err != nil {
		return Set{}, err
	}
	return next, nil
}

// Diff compares a manifest with s. It gives the entries whose content s lacks and the names that
// s has and the manifest's revision has not.
func (s Set) Diff(m manifest.Manifest) (entries []manifest.Entry, removed []string) {
	named := make(map[string]bool, len(m.Entries))
	for _, e := range m.Entries {
		named[e.Name] = true
		if t, ok := s.texts.Get(e.Name); !ok || t.Hash != e.Hash {
			entries = append(entries, e)
		}
	}
	if !m.IsComplete() {
		return entries, m.Removed
	}
	for name := range s.texts.All() {
		if !named[name] {
			removed = append(removed, name)
		}
	}
	return entries, removed
}

// Revision is the number of the revision; 0 means that there is none yet.
func (s Set) Revision() uint64 { return s.revision }

// Digest is a hash over all names and contents.
func (s Set) Digest() string { return s.digest.String() }

// Value finds the content of a value by name.
func (s Set) Value(name string) (Value, bool) { return s.texts.Get(name) }

// Names gives the names of all values, sorted.
func (s Set) Names() []string {
	names := make([]string, 0, s.texts.Len())
	for name := range s.texts.All() {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Preset is the preset in force.
func (s Set) Preset() preset.Preset {
	p, _ := s.presets.Get(s.inForce)
	return p
}

// Service finds a service by name.
func (s Set) Service(name string) (service.Service, bool) { return s.services.Get(name) }

// Services gives all services in the order of their names.
func (s Set) Services() []service.Service {
	all := make([]service.Service, 0, s.services.Len())
	for _, v := range s.services.All() {
		all = append(all, v)
	}
	slices.SortFunc(all, func(a, b service.Service) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// IsDomainExcluded tells whether operators have taken the failure domain out.
func (s Set) IsDomainExcluded(failureDomain string) bool {
	return slices.Contains(s.out, failureDomain)
}

// ExcludedDomains gives the names of the failure domains that are out, sorted.
func (s Set) ExcludedDomains() []string { return append(make([]string, 0, len(s.out)), s.out...) }

// CallerByKey finds a caller and its class by the caller's key.
func (s Set) CallerByKey(key string) (caller.Caller, class.Class, bool) {
	name, ok := s.byKey.Get(key)
	if !ok {
		return caller.Caller{}, class.Class{}, false
	}
	c, _ := s.callers.Get(name)
	cl, _ := s.classes.Get(c.Class)
	return c, cl, true
}
