// Package roster holds one reading of the platform's live and leaving list.
package roster

import (
	"fmt"
	"iter"
	"slices"
	"strings"
	"unique"

	"crocuswing/internal/config/trie"
	"crocuswing/internal/fleet/member"
	"crocuswing/internal/wire/manifest"
	"crocuswing/internal/wire/memberlist"
)

// Roster is an immutable reading of the list. Versions share what they have in common.
type Roster struct {
	version   uint64
	digest    manifest.Digest
	instances trie.Trie[member.Member]
	others    trie.Trie[member.Member]
}

// Error tells why a version of the list is refused.
type Error struct {
	Version uint64
	Reason  string
}

// Error gives the version and the reason.
func (e *Error) Error() string { return fmt.Sprintf("list version %d: %s", e.Version, e.Reason) }

// New makes a roster; version grows with each change of the list.
func New(version uint64, members []member.Member) Roster {
	r := Roster{version: version}
	for _, m := range members {
		r.put(m)
	}
	return r
}

// Apply gives the newer list that l makes of r. Its cost is that of the change, or of the list if l is whole.
// It fails with *Error if l does not follow r or lacks a part.
func (r Roster) Apply(l memberlist.List) (Roster, error) {
	next := r
	switch {
	case l.Version <= r.version:
		return Roster{}, &Error{Version: l.Version, Reason: fmt.Sprintf("is not above version %d", r.version)}
	case l.IsComplete():
		next = Roster{}
	case l.BaseVersion != r.version:
		return Roster{}, &Error{Version: l.Version, Reason: fmt.Sprintf("changes version %d, not %d", l.BaseVersion, r.version)}
	}
	next.version = l.Version
	for _, name := range l.Removed {
		next.remove(name)
	}
	for _, m := range l.Members {
		if m.Name == "" {
			return Roster{}, &Error{Version: l.Version, Reason: "a member has no name"}
		}
		next.put(m)
	}
	if got := next.Digest(); l.Digest != "" && got != l.Digest {
		return Roster{}, &Error{Version: l.Version, Reason: fmt.Sprintf("digest is %s, want %s", got, l.Digest)}
	}
	return next, nil
}

// Version grows with each change of the list; 0 means that the list was never read.
func (r Roster) Version() uint64 { return r.version }

// Digest is a hash over all members.
func (r Roster) Digest() string { return r.digest.String() }

// Len is the number of members.
func (r Roster) Len() int { return r.instances.Len() + r.others.Len() }

// Member finds a member by name.
func (r Roster) Member(name string) (member.Member, bool) {
	if m, ok := r.others.Get(name); ok {
		return m, true
	}
	return r.instances.Get(name)
}

// OfKind gives the members of one kind, sorted by name.
func (r Roster) OfKind(kind string) []member.Member {
	from := r.others
	if kind == member.KindInstance {
		from = r.instances
	}
	found := make([]member.Member, 0, from.Len())
	for _, m := range from.All() {
		if m.Kind == kind {
			found = append(found, m)
		}
	}
	slices.SortFunc(found, func(a, b member.Member) int { return strings.Compare(a.Name, b.Name) })
	return found
}

// SharesInstances tells whether both list the same version of the instances.
func (r Roster) SharesInstances(other Roster) bool { return r.instances.IsSameVersion(other.instances) }

// ChangedUpstreams gives the names of the upstreams that differ from those of a former list, and perhaps
// a few more. Its cost follows the change.
func (r Roster) ChangedUpstreams(former Roster) iter.Seq[string] {
	return r.others.Changed(former.others, func(a, b member.Member) bool { return a == b })
}

// Names gives the names of all members, sorted.
func (r Roster) Names() []string {
	names := make([]string, 0, r.Len())
	for name := range r.instances.All() {
		names = append(names, name)
	}
	for name := range r.others.All() {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (r *Roster) put(m member.Member) {
	r.remove(m.Name)
	m.Kind = unique.Make(m.Kind).Value()
	m.FailureDomain = unique.Make(m.FailureDomain).Value()
	m.Region = unique.Make(m.Region).Value()
	m.State = unique.Make(m.State).Value()
	r.digest = r.digest.With(m.Name, memberlist.Hash(m))
	if m.Kind == member.KindInstance {
		r.instances = r.instances.With(m.Name, m)
		return
	}
	r.others = r.others.With(m.Name, m)
}

func (r *Roster) remove(name string) {
	m, ok := r.Member(name)
	if !ok {
		return
	}
	r.digest = r.digest.Without(name, memberlist.Hash(m))
	r.instances = r.instances.Without(name)
	r.others = r.others.Without(name)
}
