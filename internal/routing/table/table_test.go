package table

import (
	"fmt"
	"strings"
	"testing"

	"crocuswing/internal/routing/limits"
	"crocuswing/internal/routing/route"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestLookupAgainstLinearSearch compares Lookup with a linear search of all routes.
func TestLookupAgainstLinearSearch(t *testing.T) {
	segment := rapid.SampledFrom([]string{"a", "b", "ab"})
	host := rapid.SampledFrom([]string{"x.example", "y.example"})
	rapid.Check(t, func(t *rapid.T) {
		var routes []route.Route
		seen := make(map[string]bool)
		for i := range rapid.IntRange(0, 8).Draw(t, "routes") {
			r := route.Route{Name: fmt.Sprint(i), Host: host.Draw(t, "host"), Prefix: "/"}
			for range rapid.IntRange(0, 3).Draw(t, "depth") {
				r.Prefix += segment.Draw(t, "segment") + "/"
			}
			if !seen[r.Host+r.Prefix] {
				seen[r.Host+r.Prefix] = true
				routes = append(routes, r)
			}
		}
		table := New(1, routes, nil, limits.Limits{})
		h, path := host.Draw(t, "host asked"), "/"
		for range rapid.IntRange(0, 4).Draw(t, "depth asked") {
			path += segment.Draw(t, "segment asked") + "/"
		}
		path = strings.TrimSuffix(path, rapid.SampledFrom([]string{"", "/"}).Draw(t, "end"))
		want := ""
		longest := -1
		for _, r := range routes {
			if r.Host == h && strings.HasPrefix(path, r.Prefix) && len(r.Prefix) > longest {
				want, longest = r.Name, len(r.Prefix)
			}
		}
		got, ok := table.Lookup(strings.ToUpper(h)+":8080", path)
		require.Equal(t, longest >= 0, ok)
		if ok {
			require.Equal(t, want, got.Name)
		}
	})
}

func TestIdempotentServices(t *testing.T) {
	table := New(1, []route.Route{
		{Name: "g", Shards: []string{"s2", "s1"}},
		{Name: "w", Destinations: []route.Destination{{Service: "s1", Weight: 1}, {Service: "s3", Weight: 1}}},
		{Name: "o", NonIdempotent: true, Destinations: []route.Destination{{Service: "s3", Weight: 1}, {Service: "s4", Weight: 1}}},
	}, nil, limits.Limits{})
	require.Equal(t, []string{"s1", "s2", "s3"}, table.IdempotentServices())
}
