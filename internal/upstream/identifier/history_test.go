package identifier_test

import (
	"fmt"
	"slices"
	"testing"

	"crocuswing/internal/upstream/identifier"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func ExampleHistory() {
	var h identifier.History
	h.Add("q1")
	fmt.Println(h.Has("q1"), h.Has("q2"))
	// Output: true false
}

// TestHistory compares a history with a list of the same identifiers.
func TestHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h identifier.History
		var added []string
		for _, n := range rapid.SliceOfN(rapid.IntRange(0, 3*identifier.Depth), 0, 4*identifier.Depth).Draw(t, "identifiers") {
			id := fmt.Sprint(n)
			h.Add(id)
			added = append(added, id)
		}
		latest := added[max(0, len(added)-identifier.Depth):]
		for n := range 3 * identifier.Depth {
			id := fmt.Sprint(n)
			require.Equal(t, slices.Contains(latest, id), h.Has(id), "identifier %s", id)
		}
	})
}
