package patch

import (
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/require"
)

// FuzzPatch checks that applying the patch between two arbitrary texts yields the second one.
func FuzzPatch(f *testing.F) {
	f.Add("abcdef", "abXdef")
	f.Add("aa", "aaaa")
	f.Add("", "new")
	f.Add("old", "")
	f.Add("né", "nè") // the same first byte
	f.Add("aé", "a©") // the same last byte
	f.Fuzz(func(t *testing.T, before, after string) {
		p := New("", []byte(before), []byte(after))
		got, err := p.Apply([]byte(before))
		require.NoError(t, err)
		require.Equal(t, after, string(got))
		require.True(t, !utf8.ValidString(after) || utf8.ValidString(p.Middle))
	})
}

func TestApplyRefuses(t *testing.T) {
	for _, p := range []Patch{{Prefix: 4}, {Suffix: 4}, {Prefix: 2, Suffix: 2}, {Prefix: -1}, {Suffix: -1}} {
		_, err := p.Apply([]byte("abc"))
		var misfit *Error
		require.ErrorAs(t, err, &misfit)
	}
}
