package trie

import "iter"

// Changed returns the names whose values differ between t and old according to equal, or that only one of them has. It may return a
// few other names too. Its cost is proportional to the size of the change, because subtrees that both versions share are skipped.
func (t Trie[V]) Changed(old Trie[V], equal func(a, b V) bool) iter.Seq[string] {
	return func(yield func(string) bool) {
		compare(t.root, old.root, 0, equal, yield)
	}
}

// compare yields the names that differ between a and b and reports whether the iteration continues.
func compare[V any](a, b *node[V], shift int, equal func(a, b V) bool, yield func(string) bool) bool {
	switch {
	case a == b:
		return true
	case a == nil || b == nil || shift >= hashBits:
		return a.yieldNames(yield) && b.yieldNames(yield)
	}
	for union := a.bitmap | b.bitmap; union != 0; union &= union - 1 {
		bit := union & -union
		if !compareSlots(a.slotAt(bit), b.slotAt(bit), shift, equal, yield) {
			return false
		}
	}
	return true
}

// compareSlots compares the slots of a and b for the same bit; a slot is nil if its node has none.
func compareSlots[V any](a, b *slot[V], shift int, equal func(a, b V) bool, yield func(string) bool) bool {
	if a != nil && b != nil {
		switch {
		case a.child != nil && b.child != nil:
			return compare(a.child, b.child, shift+levelBits, equal, yield)
		case a.child == nil && b.child == nil && a.name == b.name:
			return equal(a.value, b.value) || yield(a.name)
		}
	}
	return a.yieldNames(yield) && b.yieldNames(yield)
}

// slotAt returns the slot of a bit, or nil.
func (n *node[V]) slotAt(bit uint32) *slot[V] {
	if n.bitmap&bit == 0 {
		return nil
	}
	return &n.slots[slotIndex(n.bitmap, bit)]
}

// yieldNames yields all names of the subtree; a nil node has none.
func (n *node[V]) yieldNames(yield func(string) bool) bool {
	if n == nil {
		return true
	}
	return n.walk(func(name string, _ V) bool { return yield(name) })
}

// yieldNames yields all names of the slot; a nil slot has none.
func (s *slot[V]) yieldNames(yield func(string) bool) bool {
	switch {
	case s == nil:
		return true
	case s.child != nil:
		return s.child.yieldNames(yield)
	}
	return yield(s.name)
}
