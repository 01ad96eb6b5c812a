package split

import (
	"fmt"
	"testing"

	"crocuswing/internal/routing/route"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestShares checks that after any number of requests each service is within one request per service of its weighted share.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &route.Route{Name: "r"}
		total := 0.0
		for i := range rapid.IntRange(1, 5).Draw(t, "services") {
			w := float64(rapid.IntRange(0, 9).Draw(t, "weight"))
			total += w
			r.Destinations = append(r.Destinations, route.Destination{Service: fmt.Sprint(i), Weight: w})
		}
		if total == 0 {
			return
		}
		s, counts := New(), make(map[string]float64)
		for n := 1; n <= 200; n++ {
			counts[s.Next(r)]++
			for _, d := range r.Destinations {
				require.InDelta(t, float64(n)*d.Weight/total, counts[d.Service], float64(len(r.Destinations)))
			}
		}
	})
}

func TestNoDestination(t *testing.T) {
	require.Empty(t, New().Next(&route.Route{Name: "r"}))
}
