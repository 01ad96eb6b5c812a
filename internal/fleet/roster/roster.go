// Package roster holds one reading of the platform's live and leaving list.
package roster

import (
	"maps"
	"slices"
	"strings"

	"crocuswing/internal/fleet/member"
)

// Roster is an immutable reading of the list.
type Roster struct {
	version uint64
	members map[string]member.Member
}

// New makes a roster; version grows with each change of the list.
func New(version uint64, members []member.Member) Roster {
	r := Roster{version: version, members: make(map[string]member.Member, len(members))}
	for _, m := range members {
		r.members[m.Name] = m
	}
	return r
}

// Version grows with each change of the list; 0 means that the list was never read.
func (r Roster) Version() uint64 { return r.version }

// Member finds a member by name.
func (r Roster) Member(name string) (member.Member, bool) {
	m, ok := r.members[name]
	return m, ok
}

// Of gives the members of one kind, sorted by name.
func (r Roster) Of(kind string) []member.Member {
	found := make([]member.Member, 0, len(r.members))
	for m := range maps.Values(r.members) {
		if m.Kind == kind {
			found = append(found, m)
		}
	}
	slices.SortFunc(found, func(a, b member.Member) int { return strings.Compare(a.Name, b.Name) })
	return found
}
