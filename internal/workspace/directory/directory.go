// Package directory finds the workspace of a caller by its key. It holds the workspaces of one configuration revision, and their keys only
// as hashes.
package directory

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"crocuswing/internal/workspace/credential"
	"crocuswing/internal/workspace/workspace"
)

// maxNameBytes limits the length of a name, which travels in a header and in log lines.
const maxNameBytes = 256

// maxLarge is the number of workspaces that have metrics of their own.
const maxLarge = 20

// Directory holds the workspaces of a configuration. It is immutable.
type Directory struct {
	byHash map[credential.Hash]*workspace.Workspace
	byName map[string]*workspace.Workspace
	large  map[string]bool
	// hasLimits reports whether any workspace has a limit.
	hasLimits bool
}

// Entry is a workspace with the hashes of its keys.
type Entry struct {
	workspace.Workspace
	Keys []credential.Hash
}

// Error reports an entry that cannot be used. It never contains a key.
type Error struct {
	// Index is the position of the workspace, and Name its name, which may be empty.
	Index  int
	Name   string
	Field  string
	Reason string
}

// Error returns the position, the field and the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("%s of workspace %d (%.40q): %s", e.Field, e.Index, e.Name, e.Reason)
}

// New returns a Directory of the entries. It fails with *Error if a name is unusable or doubled, or if a key is.
func New(entries []Entry) (*Directory, error) {
	d := &Directory{
		byHash: make(map[credential.Hash]*workspace.Workspace),
		byName: make(map[string]*workspace.Workspace, len(entries)),
	}
	for i, e := range entries {
		if reason := invalidName(e.Name); reason != "" {
			return nil, &Error{Index: i, Name: e.Name, Field: "name", Reason: reason}
		}
		if d.byName[e.Name] != nil {
			return nil, &Error{Index: i, Name: e.Name, Field: "name", Reason: "is used twice"}
		}
		w := e.Workspace
		d.byName[w.Name] = &w
		d.hasLimits = d.hasLimits || w.IsLimited()
		for n, hash := range e.Keys {
			if other := d.byHash[hash]; other != nil {
				return nil, &Error{Index: i, Name: e.Name, Field: fmt.Sprintf("key %d", n), Reason: fmt.Sprintf("is also a key of workspace %.40q", other.Name)}
			}
			d.byHash[hash] = &w
		}
	}
	d.large = largest(entries)
	return d, nil
}

// largest returns the names of the workspaces with the largest quotas. No limit is the largest.
func largest(entries []Entry) map[string]bool {
	rate := func(e Entry) float64 {
		if e.IsLimited() {
			return e.Rate
		}
		return math.Inf(1)
	}
	sorted := slices.Clone(entries)
	slices.SortStableFunc(sorted, func(a, b Entry) int { return cmp.Compare(rate(b), rate(a)) })
	large := make(map[string]bool, maxLarge)
	for _, e := range sorted[:min(maxLarge, len(sorted))] {
		large[e.Name] = true
	}
	return large
}

// IsLarge reports whether the workspace is one of the maxLarge with the largest quotas, which have metrics of their own.
func (d *Directory) IsLarge(name string) bool { return d.large[name] }

// invalidName returns the reason why a name cannot be sent in a header, if any.
func invalidName(name string) string {
	if name == "" || len(name) > maxNameBytes {
		return fmt.Sprintf("has %d bytes, want 1 to %d", len(name), maxNameBytes)
	}
	if name[0] == ' ' || name[len(name)-1] == ' ' {
		return "begins or ends with a space"
	}
	for i := range len(name) {
		if name[i] < ' ' || name[i] == 0x7f {
			return "has a control character"
		}
	}
	return ""
}

// Find returns the workspace that holds the key of a credential. It takes the same time for any number of keys.
func (d *Directory) Find(c credential.Credential) (*workspace.Workspace, bool) {
	hash, ok := c.Hash()
	if !ok {
		return nil, false
	}
	w, ok := d.byHash[hash]
	return w, ok
}

// Workspace returns the workspace with the given name.
func (d *Directory) Workspace(name string) (*workspace.Workspace, bool) {
	w, ok := d.byName[name]
	return w, ok
}

// HasLimits reports whether any workspace has a limit.
func (d *Directory) HasLimits() bool { return d.hasLimits }

// Len returns the number of workspaces.
func (d *Directory) Len() int { return len(d.byName) }
