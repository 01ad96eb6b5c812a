package directory

import (
	"strings"
	"testing"

	"crocuswing/internal/routing/route"
	"crocuswing/internal/workspace/credential"
	"crocuswing/internal/workspace/workspace"

	"github.com/stretchr/testify/require"
)

func named(name string, keys ...string) Entry {
	e := Entry{Workspace: workspace.Workspace{Name: name}}
	for _, key := range keys {
		e.Keys = append(e.Keys, credential.HashKey(key))
	}
	return e
}

func TestFind(t *testing.T) {
	d, err := New([]Entry{named("a", "k1", "k2"), named("b", "k3"), named("without keys")})
	require.NoError(t, err)
	for key, want := range map[string]string{"k1": "a", "k2": "a", "k3": "b", "k4": "", "K1": "", "k": ""} {
		w, ok := d.Find(credential.Parse([]string{"Bearer " + key}))
		require.Equal(t, want != "", ok)
		if ok {
			require.Equal(t, want, w.Name)
		}
	}
	_, ok := d.Find(credential.Credential{})
	require.False(t, ok, "a caller without a key")
}

// TestInvalid checks that an ambiguous or unusable entry is refused with its position and without the value of a key.
func TestInvalid(t *testing.T) {
	for _, c := range []struct {
		name    string
		entries []Entry
		want    string
	}{
		{"empty name", []Entry{named("")}, "name of workspace 0"},
		{"long name", []Entry{named(strings.Repeat("n", 300))}, "name of workspace 0"},
		{"name with a line break", []Entry{named("a\r\nX-Tenant: b")}, "control character"},
		{"name with a space at its end", []Entry{named("a ")}, "space"},
		{"name twice", []Entry{named("a"), named("a")}, "used twice"},
		{"key of two workspaces", []Entry{named("a", "s3cret"), named("b", "s3cret")}, `key 0 of workspace 1 ("b"): is also a key of workspace "a"`},
		{"key twice", []Entry{named("a", "s3cret", "s3cret")}, "key 1 of workspace 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := New(c.entries)
			var invalid *Error
			require.ErrorAs(t, err, &invalid)
			require.ErrorContains(t, err, c.want)
			require.NotContains(t, err.Error(), "s3cret")
		})
	}
}

// TestRestrict checks that a workspace's rank takes precedence over that of the route, and that the regions of both bind.
func TestRestrict(t *testing.T) {
	rank := 0
	for _, c := range []struct {
		own, route []string
		allowed    string
	}{
		{nil, nil, "abc"},
		{[]string{"a", "b"}, nil, "ab"},
		{nil, []string{"a", "b"}, "ab"},
		{[]string{"a", "b"}, []string{"b", "c"}, "b"},
		{[]string{"a"}, []string{"b", "c"}, ""},
	} {
		w := workspace.Workspace{Rank: &rank, Regions: c.own}
		rt := &route.Route{Rank: 2, Regions: c.route}
		got := w.Restrict(rt)
		require.Equal(t, 0, got.Rank)
		require.Equal(t, 2, rt.Rank, "the route of other workspaces is not modified")
		for _, region := range []string{"a", "b", "c"} {
			require.Equal(t, strings.Contains(c.allowed, region), got.Allows(region), "%v %v %s", c.own, c.route, region)
		}
		again := w.Restrict(got)
		require.Equal(t, got.Allows("b"), again.Allows("b"), "a second restriction does not extend the first")
	}
	rt := &route.Route{Rank: 2}
	require.Equal(t, 2, (&workspace.Workspace{}).Restrict(rt).Rank)
}
