// Package roster holds a version of the platform's member list, which names all live and leaving instances and upstreams.
// It applies the changes that the platform or a peer sends, and verifies the result by its digest.
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

// Roster is one version of the member list. It is immutable; versions share the unchanged parts in memory.
type Roster struct {
	version   uint64
	digest    manifest.Digest
	instances trie.Trie[member.Member]
	others    trie.Trie[member.Member] // all members that are not instances
}

// Error reports why a version of the list was refused.
type Error struct {
	Version uint64
	Reason  string
}

// Error returns the version and the reason.
func (e *Error) Error() string { return fmt.Sprintf("list version %d: %s", e.Version, e.Reason) }

// New returns the given version of the list with the given members. Versions increase with each change.
func New(version uint64, members []member.Member) Roster {
	r := Roster{version: version}
	for _, m := range members {
		r.put(m)
	}
	return r
}

// Apply returns the list that results from applying l to r. The cost is proportional to the change, or to the list if l is
// complete. It fails with *Error if l is not based on r or does not lead to the digest that it states.
func (r Roster) Apply(l memberlist.List) (Roster, error) {
	next := r
	switch {
	case l.Version <= r.version:
		return Roster{}, &Error{Version: l.Version, Reason: fmt.Sprintf("not newer than version %d", r.version)}
	case l.IsComplete():
		next = Roster{}
	case l.BaseVersion != r.version:
		return Roster{}, &Error{Version: l.Version, Reason: fmt.Sprintf("change is based on version %d, want %d", l.BaseVersion, r.version)}
	}
	next.version = l.Version
	for _, name := range l.Removed {
		next.remove(name)
	}
	for _, m := range l.Members {
		if m.Name == "" {
			return Roster{}, &Error{Version: l.Version, Reason: "member without a name"}
		}
		next.put(m)
	}
	if got := next.Digest(); l.Digest != "" && got != l.Digest {
		return Roster{}, &Error{Version: l.Version, Reason: fmt.Sprintf("digest is %s, want %s", got, l.Digest)}
	}
	return next, nil
}

// Version returns the version of the list; 0 means that no list was read.
func (r Roster) Version() uint64 { return r.version }

// Digest returns a hash of all members.
func (r Roster) Digest() string { return r.digest.String() }

// Len returns the number of members.
func (r Roster) Len() int { return r.instances.Len() + r.others.Len() }

// Member returns the member with the given name.
func (r Roster) Member(name string) (member.Member, bool) {
	if m, ok := r.others.Get(name); ok {
		return m, true
	}
	return r.instances.Get(name)
}

// OfKind returns the members of one kind, sorted by name.
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

// SharesInstances reports whether no instance changed between the two versions. It compares by identity and may return
// false for lists with equal instances.
func (r Roster) SharesInstances(other Roster) bool { return r.instances.IsSameVersion(other.instances) }

// ChangedUpstreams returns the names of the upstreams that differ from those of a former list. It may include a few that do
// not differ. The cost is proportional to the change.
func (r Roster) ChangedUpstreams(former Roster) iter.Seq[string] {
	return r.others.Changed(former.others, func(a, b member.Member) bool { return a == b })
}

// Names returns the names of all members, sorted.
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

// put adds or replaces a member. It interns the strings that many members have in common.
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
