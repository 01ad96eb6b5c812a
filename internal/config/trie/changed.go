package trie

import "iter"

// Changed gives the names under which t and former differ, by equal or because one lacks the name, and
// perhaps a few more. Its cost follows the change: subtrees that both versions share are skipped.
func (t Trie[V]) Changed(former Trie[V], equal func(a, b V) bool) iter.Seq[string] {
	return func(yield func(string) bool) {
		compare(t.root, former.root, 0, equal, yield)
	}
}

// compare reports whether the caller wants more names.
func compare[V any](a, b *node[V], shift int, equal func(a, b V) bool, yield func(string) bool) bool {
	switch {
	case a == b:
		return true
	case a == nil || b == nil || shift >= hashBits:
		return a.names(yield) && b.names(yield)
	}
	for union := a.bitmap | b.bitmap; union != 0; union &= union - 1 {
		bit := union & -union
		if !compareSlots(a.slotAt(bit), b.slotAt(bit), shift, equal, yield) {
			return false
		}
	}
	return true
}

// compareSlots compares what stands in the same place; nil if nothing does.
func compareSlots[V any](a, b *slot[V], shift int, equal func(a, b V) bool, yield func(string) bool) bool {
	if a != nil && b != nil {
		switch {
		case a.child != nil && b.child != nil:
			return compare(a.child, b.child, shift+levelBits, equal, yield)
		case a.child == nil && b.child == nil && a.name == b.name:
			return equal(a.value, b.value) || yield(a.name)
		}
	}
	return a.names(yield) && b.names(yield)
}

// slotAt gives the slot of one bit, or nil.
func (n *node[V]) slotAt(bit uint32) *slot[V] {
	if n.bitmap&bit == 0 {
		return nil
	}
	return &n.slots[onesBelow(n.bitmap, bit)]
}

// names yields all names of the subtree; a nil node has none.
func (n *node[V]) names(yield func(string) bool) bool {
	if n == nil {
		return true
	}
	return n.walk(func(name string, _ V) bool { return yield(name) })
}

// names yields all names of the slot; a nil slot has none.
func (s *slot[V]) names(yield func(string) bool) bool {
	switch {
	case s == nil:
		return true
	case s.child != nil:
		return s.child.names(yield)
	}
	return yield(s.name)
}
