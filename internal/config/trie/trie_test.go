package trie

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAgainstMap drives a trie and a map through the same steps; old versions must not change.
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

// TestCollision enters two names at the depth where all bits of their hashes are used up.
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
