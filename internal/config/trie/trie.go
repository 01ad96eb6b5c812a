// Package trie implements a persistent map from names to values. Versions of a map share structure, so that the cost of a changed
// copy depends on the size of the change and not on that of the map. Revisions of the configuration are kept in such maps.
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
	hashBits  = 60 // number of bits of a 64-bit hash that fill complete levels; deeper nodes are searched linearly
)

// Trie is an immutable map from names to values; the zero value is empty.
type Trie[V any] struct {
	root *node[V]
	size int
}

// node holds the slots of one subtree, one per set bit of the bitmap. Below the last complete level the bitmap is unused.
type node[V any] struct {
	bitmap uint32
	slots  []slot[V]
}

// slot is an entry, or a subtree if child is not nil.
type slot[V any] struct {
	child *node[V]
	name  string
	value V
}

// Len returns the number of entries.
func (t Trie[V]) Len() int { return t.size }

// IsSameVersion reports whether t and other are the same version of a map. Its cost is constant.
func (t Trie[V]) IsSameVersion(other Trie[V]) bool { return t.root == other.root }

// Get returns the value of a name.
func (t Trie[V]) Get(name string) (V, bool) {
	var none V
	hash := xxhash.Sum64String(name)
	n := t.root
	for shift := 0; n != nil; shift += levelBits {
		i, found := n.find(name, hash, shift)
		if !found {
			return none, false
		}
		s := &n.slots[i]
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

// With returns a map in which name has the given value.
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

// Without returns a map without name.
func (t Trie[V]) Without(name string) Trie[V] {
	if _, ok := t.Get(name); !ok {
		return t
	}
	t.size--
	t.root = t.root.without(name, xxhash.Sum64String(name), 0)
	return t
}

// All returns the entries in unspecified order.
func (t Trie[V]) All() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		if t.root != nil {
			t.root.walk(yield)
		}
	}
}

// find returns the index of a name's slot, or the index at which to insert one, and whether the slot exists.
func (n *node[V]) find(name string, hash uint64, shift int) (int, bool) {
	if shift >= hashBits {
		i := slices.IndexFunc(n.slots, func(s slot[V]) bool { return s.name == name })
		return max(i, 0), i >= 0
	}
	bit := slotBit(hash, shift)
	return slotIndex(n.bitmap, bit), n.bitmap&bit != 0
}

func (n *node[V]) with(s slot[V], hash uint64, shift int) *node[V] {
	i, found := n.find(s.name, hash, shift)
	next := &node[V]{bitmap: n.bitmap}
	if !found {
		if shift < hashBits {
			next.bitmap |= slotBit(hash, shift)
		}
		next.slots = make([]slot[V], 0, len(n.slots)+1)
		next.slots = append(next.slots, n.slots[:i]...)
		next.slots = append(next.slots, s)
		next.slots = append(next.slots, n.slots[i:]...)
		return next
	}
	next.slots = slices.Clone(n.slots)
	old := n.slots[i]
	switch {
	case old.child != nil:
		next.slots[i] = slot[V]{child: old.child.with(s, hash, shift+levelBits)}
	case old.name == s.name:
		next.slots[i] = s
	default:
		child := (&node[V]{}).with(old, xxhash.Sum64String(old.name), shift+levelBits)
		next.slots[i] = slot[V]{child: child.with(s, hash, shift+levelBits)}
	}
	return next
}

// without returns a copy of n without name, which must be present, or nil if no slot is left.
func (n *node[V]) without(name string, hash uint64, shift int) *node[V] {
	i, _ := n.find(name, hash, shift)
	next := &node[V]{bitmap: n.bitmap, slots: slices.Clone(n.slots)}
	if old := n.slots[i]; old.child != nil {
		if child := old.child.without(name, hash, shift+levelBits); child != nil {
			next.slots[i] = slot[V]{child: child}
			return next
		}
	}
	next.slots = slices.Delete(next.slots, i, i+1)
	if shift < hashBits {
		next.bitmap &^= slotBit(hash, shift)
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

// slotIndex returns the index of a bit's slot among the slots of its node.
func slotIndex(bitmap, bit uint32) int { return bits.OnesCount32(bitmap & (bit - 1)) }

func slotBit(hash uint64, shift int) uint32 {
	return 1 << (hash >> shift & levelMask)
}
