// Package changelog keeps the recent changes of a versioned collection, so that a reader that is a few versions behind can be
// sent the difference instead of everything. The store keeps one for the configuration and one for the member list.
package changelog

// Changelog is a bounded list of the latest changes, oldest first. It is immutable; the zero value is empty.
type Changelog struct {
	changes []Change
}

// Change is the transition between two consecutive versions.
type Change struct {
	From, To uint64
	Items    []Item
}

// Item is a name that was added, changed or removed. Before is its previous content, if it was recorded.
type Item struct {
	Name   string
	Hash   string // hash of the previous content
	Before []byte
}

const (
	maxChanges = 256
	maxBytes   = 8 << 20 // total size of the previous contents
)

// With returns the changelog extended by c. A change that does not start at the latest version discards the earlier ones.
// The first version is not recorded as a change because no reader can hold an older one.
func (l Changelog) With(c Change) Changelog {
	if c.From == 0 {
		return Changelog{}
	}
	if len(l.changes) > 0 && l.changes[len(l.changes)-1].To != c.From {
		l.changes = nil
	}
	next := make([]Change, 0, len(l.changes)+1)
	next = append(next, l.changes...)
	next = append(next, c)
	size := 0
	for i := len(next) - 1; i >= 0; i-- {
		size += sizeOf(next[i])
		if len(next)-i > maxChanges || size > maxBytes {
			return Changelog{changes: next[i+1:]}
		}
	}
	return Changelog{changes: next}
}

// Since returns each name that may have changed after version, with its content at or before version. It returns false if
// the changelog does not reach back that far. A version between two recorded ones is treated as the lower one; a name that
// existed only between them is missed, which the reader detects by the digest.
func (l Changelog) Since(version uint64) ([]Item, bool) {
	if len(l.changes) == 0 || version == 0 || version < l.changes[0].From {
		return nil, false
	}
	seen := make(map[string]bool)
	var items []Item
	for _, c := range l.changes {
		if c.To <= version {
			continue
		}
		for _, item := range c.Items {
			if !seen[item.Name] {
				seen[item.Name] = true
				items = append(items, item)
			}
		}
	}
	return items, true
}

func sizeOf(c Change) int {
	size := 0
	for _, item := range c.Items {
		size += len(item.Before)
	}
	return size
}
