package changelog

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSince(t *testing.T) {
	l := Changelog{}.
		With(Change{From: 10, To: 12, Items: []Item{{Name: "a", Hash: "a10"}}}).
		With(Change{From: 12, To: 13, Items: []Item{{Name: "a", Hash: "a12"}, {Name: "b"}}})
	cases := []struct {
		version uint64
		want    []Item
		ok      bool
	}{
		{0, nil, false},
		{9, nil, false},
		{10, []Item{{Name: "a", Hash: "a10"}, {Name: "b"}}, true},
		{11, []Item{{Name: "a", Hash: "a10"}, {Name: "b"}}, true},
		{12, []Item{{Name: "a", Hash: "a12"}, {Name: "b"}}, true},
		{13, nil, true},
	}
	for _, tc := range cases {
		got, ok := l.Since(tc.version)
		require.Equal(t, tc.ok, ok, tc.version)
		require.Equal(t, tc.want, got, tc.version)
	}
	_, ok := l.With(Change{From: 20, To: 21}).Since(13)
	require.False(t, ok, "a gap discards the earlier changes")
}

func TestBounds(t *testing.T) {
	var l Changelog
	for n := range uint64(2 * maxChanges) {
		l = l.With(Change{From: n + 1, To: n + 2, Items: []Item{{Name: "a"}}})
	}
	require.Len(t, l.changes, maxChanges)
	l = l.With(Change{From: 2*maxChanges + 1, To: 2*maxChanges + 2, Items: []Item{{Name: "b", Before: make([]byte, maxBytes+1)}}})
	require.Empty(t, l.changes)
}
