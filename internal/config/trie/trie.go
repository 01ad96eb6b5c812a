// Package trie holds an immutable map from names to values that shares structure between versions,
// so that a changed copy costs in proportion to the change and not to the map.
//
// It is the hash array mapped trie of Bagwell, "Ideal Hash Trees", EPFL, 2001.
package trie

import (
	"iter"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	levelBits = 5
	levelMask = 1<<levelBits - 1
	hashBits  = 60 // whole levels of a 64-bit hash; deeper nodes are searched in order
)

// Trie is an immutable map from names to values; the zero value is empty.
type Trie[V any] struct {
	root *node[V]
	size int
}

// node holds the slots of one level. Below the last level the bitmap is unused.
type node[V any] struct {
	bitmap uint32
	slots  []slot[V]
}

// slot is an entry, or a subtree if child is set.
type slot[V any] struct {
	child *node[V]
	name  string
	value V
}

// Len is the number of entries.
func (t Trie[V]) Len() int { return t.size }

// IsSameVersion tells whether both are the same version.
func (t Trie[V]) IsSameVersion(other Trie[V]) bool { return t.root == other.root }

// Get finds the value of a name.
func (t Trie[V]) Get(name string) (V, bool) {
	var none V
	hash := xxhash.Sum64String(name)
	n := t.root
	for shift := 0; n != nil; shift += levelBits {
		at, found := n.find(name, hash, shift)
		if !found {
			return none, false
		}
		s := &n.slots[at]
		if s.child == nil && s.name != name {
			return none, false
		}
		if s.child == nil {
			return s.value, true
		}
		n = s.child
	}
	return none, false
}

// With gives a map in which name has the given value.
func (t Trie[V]) With(name string, value V) Trie[V] {
	if _, ok := t.Get(name); !ok {
		t.size++
	}
	root := t.root
	if root == nil {
		root = &node[V]{}
	}
	t.root = root.with(slot[V]{name: name, value: value}, xxhash.Sum64String(name), 0)
	return t
}

// Without gives a map that lacks name.
func (t Trie[V]) Without(name string) Trie[V] {
	if _, ok := t.Get(name); !ok {
		return t
	}
	t.size--
	t.root = t.root.without(name, xxhash.Sum64String(name), 0)
	return t
}

// All gives the entries in no particular order.
func (t Trie[V]) All() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		if t.root != nil {
			t.root.walk(yield)
		}
	}
}

// find gives the place of a name's slot, or the place to insert one.
func (n *node[V]) find(name string, hash uint64, shift int) (int, bool) {
	if shift >= hashBits {
		at := slices.IndexFunc(n.slots, func(s slot[V]) bool { return s.name == name })
		return max(at, 0), at >= 0
	}
	bit := bitOf(hash, shift)
	return onesBelow(n.bitmap, bit), n.bitmap&bit != 0
}

func (n *node[V]) with(s slot[V], hash uint64, shift int) *node[V] {
	at, found := n.find(s.name, hash, shift)
	next := &node[V]{bitmap: n.bitmap}
	if !found {
		if shift < hashBits {
			next.bitmap |= bitOf(hash, shift)
		}
		next.slots = make([]slot[V], 0, len(n.slots)+1)
		next.slots = append(next.slots, n.slots[:at]...)
		next.slots = append(next.slots, s)
		next.slots = append(next.slots, n.slots[at:]...)
		return next
	}
	next.slots = slices.Clone(n.slots)
	old := n.slots[at]
	switch {
	case old.child != nil:
		next.slots[at] = slot[V]{child: old.child.with(s, hash, shift+levelBits)}
	case old.name == s.name:
		next.slots[at] = s
	default:
		child := (&node[V]{}).with(old, xxhash.Sum64String(old.name), shift+levelBits)
		next.slots[at] = slot[V]{child: child.with(s, hash, shift+levelBits)}
	}
	return next
}

// without removes a name that is present; it gives nil if nothing is left.
func (n *node[V]) without(name string, hash uint64, shift int) *node[V] {
	at, _ := n.find(name, hash, shift)
	next := &node[V]{bitmap: n.bitmap, slots: slices.Clone(n.slots)}
	if old := n.slots[at]; old.child != nil {
		if child := old.child.without(name, hash, shift+levelBits); child != nil {
			next.slots[at] = slot[V]{child: child}
			return next
		}
	}
	next.slots = slices.Delete(next.slots, at, at+1)
	if shift < hashBits {
		next.bitmap &^= bitOf(hash, shift)
	}
	if len(next.slots) == 0 {
		return nil
	}
	return next
}

func (n *node[V]) walk(yield func(string, V) bool) bool {
	for i := range n.slots {
		s := &n.slots[i]
		if s.child != nil {
			if !s.child.walk(yield) {
				return false
			}
			continue
		}
		if !yield(s.name, s.value) {
			return false
		}
	}
	return true
}

// onesBelow is the place of a bit's slot among the slots of its node.
func onesBelow(bitmap, bit uint32) int { return bits.OnesCount32(bitmap & (bit - 1)) }

func bitOf(hash uint64, shift int) uint32 {
	return 1 << (hash >> shift & levelMask)
}
