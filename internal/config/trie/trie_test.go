package trie

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAgainstMap applies the same steps to a trie and a map; old versions must not change.
func TestAgainstMap(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	var tr Trie[int]
	want := make(map[string]int)
	old, oldWant := tr, maps.Clone(want)
	for step := range 20_000 {
		name := fmt.Sprint(r.IntN(700))
		if r.IntN(3) == 0 {
			tr = tr.Without(name)
			delete(want, name)
		} else {
			tr = tr.With(name, step)
			want[name] = step
		}
		if step%1000 == 0 {
			require.Equal(t, oldWant, maps.Collect(old.All()))
			require.Equal(t, want, maps.Collect(tr.All()))
			old, oldWant = tr, maps.Clone(want)
		}
		require.Equal(t, len(want), tr.Len())
		got, ok := tr.Get(name)
		wantValue, wantOK := want[name]
		require.Equal(t, wantOK, ok)
		require.Equal(t, wantValue, got)
	}
}

// TestChanged compares Changed between versions that are a few steps apart with a comparison of the complete maps.
func TestChanged(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	equal := func(a, b int) bool { return a == b }
	var tr Trie[int]
	for n := range 5_000 {
		tr = tr.With(fmt.Sprint(n), n)
	}
	for round := range 200 {
		former := tr
		for range r.IntN(6) {
			name := fmt.Sprint(r.IntN(6_000))
			if r.IntN(2) == 0 {
				tr = tr.Without(name)
			} else {
				tr = tr.With(name, r.IntN(9_000))
			}
		}
		got := slices.Collect(tr.Changed(former, equal))
		require.LessOrEqual(t, len(got), 30, "round %d: the cost is proportional to the change", round)
		for name := range maps.Collect(former.All()) {
			before, _ := former.Get(name)
			if after, ok := tr.Get(name); !ok || after != before {
				require.Contains(t, got, name)
			}
		}
		for name := range tr.All() {
			if _, ok := former.Get(name); !ok {
				require.Contains(t, got, name)
			}
		}
	}
	require.Empty(t, slices.Collect(tr.Changed(tr, equal)))
	require.Len(t, slices.Collect(tr.Changed(Trie[int]{}, equal)), tr.Len())
}

// TestCollision inserts two names with equal hashes at the depth where all hash bits are used.
func TestCollision(t *testing.T) {
	n := &node[int]{}
	n = n.with(slot[int]{name: "a", value: 1}, 7, hashBits)
	n = n.with(slot[int]{name: "b", value: 2}, 7, hashBits)
	_, found := n.find("b", 7, hashBits)
	require.True(t, found)
	n = n.without("a", 7, hashBits)
	_, found = n.find("a", 7, hashBits)
	require.False(t, found)
	require.Nil(t, n.without("b", 7, hashBits))
}
