// Package history records what changed lately in a numbered sequence of versions.
package history

// History lists the newest changes, oldest first. It is an immutable value; the zero value is empty.
type History struct {
	changes []Change
}

// Change is one step between two versions.
type Change struct {
	From, To uint64
	Items    []Item
}

// Item is one name that was added, changed or removed, with its content before the change, if kept.
type Item struct {
	Name   string
	Hash   string // content hash before the change
	Before []byte
}

const (
	maxChanges = 256
	maxBytes   = 8 << 20 // of content before the change
)

// With adds a change. One that does not continue the last one starts the history anew. The first
// version of all is no change: nobody can have had what was before it.
func (h History) With(c Change) History {
	if c.From == 0 {
		return History{}
	}
	if len(h.changes) > 0 && h.changes[len(h.changes)-1].To != c.From {
		h.changes = nil
	}
	next := make([]Change, 0, len(h.changes)+1)
	next = append(next, h.changes...)
	next = append(next, c)
	size := 0
	for at := len(next) - 1; at >= 0; at-- {
		size += sizeOf(next[at])
		if len(next)-at > maxChanges || size > maxBytes {
			return History{changes: next[at+1:]}
		}
	}
	return History{changes: next}
}

// Since gives each name that may have changed after version, with its content at or before version,
// and false if the history does not reach back that far. A version between two of the history is taken for
// the lower one, so that a name which came and went between them is missed: the digest shows that.
func (h History) Since(version uint64) ([]Item, bool) {
	if len(h.changes) == 0 || version == 0 || version < h.changes[0].From {
		return nil, false
	}
	seen := make(map[string]bool)
	var items []Item
	for _, c := range h.changes {
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
