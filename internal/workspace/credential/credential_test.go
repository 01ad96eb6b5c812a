package credential

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParse(t *testing.T) {
	const key = "k-5ecret~0123/+=="
	for _, c := range []struct {
		values []string
		want   string
	}{
		{nil, "missing"},
		{[]string{"Bearer " + key}, "present"},
		{[]string{"bEARER  " + key + " "}, "present"},
		{[]string{"Bearer " + key, "Bearer " + key}, "duplicated"},
		{[]string{"Bearer " + key, ""}, "duplicated"},
		{[]string{""}, "malformed"},
		{[]string{"Bearer"}, "malformed"},
		{[]string{"Bearer "}, "malformed"},
		{[]string{"Basic " + key}, "malformed"},
		{[]string{key}, "malformed"},
		{[]string{"Bearer " + key + " " + key}, "malformed"},
		{[]string{"Bearer " + key + "\t"}, "malformed"},
		{[]string{"Bearer " + strings.Repeat("k", 8<<10)}, "too long"},
	} {
		got := Parse(c.values)
		require.Equal(t, c.want, got.String(), "%q", c.values)
		hash, ok := got.Hash()
		require.Equal(t, c.want == "present", ok)
		require.Equal(t, ok, hash == HashKey(key))
	}
}

// TestRedacted checks that no way of printing a credential shows the key or its hash.
func TestRedacted(t *testing.T) {
	c := Parse([]string{"Bearer secret"})
	hash, _ := c.Hash()
	text, err := json.Marshal(c)
	require.NoError(t, err)
	all := fmt.Sprintf("%v %+v %#v %s %v %#v %s", c, c, c, text, hash, hash, []Credential{c})
	require.NotContains(t, all, "secret")
	require.NotContains(t, all, fmt.Sprintf("%x", hash[:4]))
	require.NotContains(t, all, fmt.Sprint(hash[0], " ", hash[1]))
}

// FuzzParse checks that any field values parse without a panic, and that only a single "Bearer KEY" yields a key.
func FuzzParse(f *testing.F) {
	f.Add("Bearer secret", "", false)
	f.Add("bearer  a", "Bearer b", true)
	f.Add("Bearer a\x00", "", false)
	f.Add("\xffearer a", "", false)
	f.Fuzz(func(t *testing.T, first, second string, both bool) {
		values := []string{first}
		if both {
			values = append(values, second)
		}
		hash, ok := Parse(values).Hash()
		if !ok {
			return
		}
		require.False(t, both)
		key := strings.Trim(first[len("bearer "):], " ")
		require.True(t, IsKey(key))
		require.Equal(t, HashKey(key), hash)
	})
}
