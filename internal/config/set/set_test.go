package set

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"crocuswing/internal/wire/manifest"

	"github.com/stretchr/testify/require"
)

func values() map[string][]byte {
	return map[string][]byte{
		"in-force":        []byte(`{"preset":"ordinary"}`),
		"preset/ordinary": policy("ordinary"),
		"preset/peak":     policy("peak"),
		"class/buyer":     []byte(`{"name":"buyer","concurrency":4,"cost":40}`),
		"caller/a":        []byte(`{"name":"a","key":"key-a","class":"buyer"}`),
		"domain/south":    []byte(`{"name":"south","region":"s","out":true}`),
	}
}

func policy(name string) []byte {
	return fmt.Appendf(nil, `{"name":%q,"deadline-ms":500,"answer-policy":"coverage","hedge-quantile":0.9,"hedge-share":0.05,"retry-share":0.1}`, name)
}

func TestParse(t *testing.T) {
	s, err := Parse(3, values())
	require.NoError(t, err)
	require.Equal(t, uint64(3), s.Revision())
	require.Equal(t, "ordinary", s.Preset().Name)
	require.Equal(t, []string{"south"}, s.ExcludedDomains())
	c, cl, ok := s.CallerByKey("key-a")
	require.True(t, ok)
	require.Equal(t, "a buyer", c.Name+" "+cl.Name)
}

// faults lists changes that make a valid set invalid; an empty text removes the value.
var faults = []struct {
	name, value, text, want string
}{
	{"no preset in force", "in-force", "", `in-force: names preset "", which does not exist`},
	{"unknown preset in force", "in-force", `{"preset":"none"}`, `names preset "none"`},
	{"two presets in force", "in-force", `{"preset":"ordinary","preset":"peak"}`, `preset: is a duplicate key`},
	{"list of presets in force", "in-force", `{"preset":["ordinary","peak"]}`, `is a array, want string`},
	{"second value in force", "in-force/peak", `{"preset":"peak"}`, `want the name "in-force"`},
	{"preset in force removed", "preset/ordinary", "", `names preset "ordinary"`},
	{"class of a caller removed", "class/buyer", "", `class/buyer: does not exist and has 1 callers`},
	{"caller of no class", "caller/b", `{"name":"b","key":"key-b","class":"none"}`, `caller/b: class "none" does not exist`},
	{"key of another caller", "caller/b", `{"name":"b","key":"key-a","class":"buyer"}`, `has the key of caller "a"`},
	{"other name", "domain/north", `{"name":"south","region":"s"}`, `domain/north: its name is "south"`},
	{"unknown kind", "zone/north", `{}`, `unknown kind of value "zone"`},
	{"unknown key", "domain/north", `{"name":"north","region":"n","gone":true}`, `gone: is not a known key`},
	{"half a value", "domain/north", `{"name":"north","region":`, `domain/north`},
}

func TestParseInvalid(t *testing.T) {
	for _, tc := range faults {
		t.Run(tc.name, func(t *testing.T) {
			all := values()
			all[tc.value] = []byte(tc.text)
			if tc.text == "" {
				delete(all, tc.value)
			}
			_, err := Parse(3, all)
			var invalid *Error
			require.ErrorAs(t, err, &invalid)
			if tc.name != "class of a caller removed" {
				require.ErrorContains(t, err, tc.want)
			}
		})
	}
}

func TestApplyInvalid(t *testing.T) {
	base, err := Parse(3, values())
	require.NoError(t, err)
	for _, tc := range faults {
		t.Run(tc.name, func(t *testing.T) {
			c := Change{Revision: 4, Values: map[string][]byte{tc.value: []byte(tc.text)}}
			if tc.text == "" {
				c = Change{Revision: 4, Removed: []string{tc.value}}
			}
			_, err := base.Apply(c)
			require.ErrorContains(t, err, tc.want)
		})
	}
	_, err = base.Apply(Change{Revision: 4, Digest: "0000000000000000"})
	var digestErr *DigestError
	require.ErrorAs(t, err, &digestErr)
}

// TestChangesAgainstParse applies random changes and compares each result with a Parse of all values.
func TestChangesAgainstParse(t *testing.T) {
	r := rand.New(rand.NewPCG(6, 6))
	all := values()
	s, err := Parse(1, all)
	require.NoError(t, err)
	for revision := uint64(2); revision < 600; revision++ {
		name, text := randomValue(r)
		next := make(map[string][]byte)
		for n, v := range all {
			next[n] = v
		}
		c := Change{Revision: revision, Values: map[string][]byte{name: text}}
		next[name] = text
		if r.IntN(3) == 0 {
			c = Change{Revision: revision, Removed: []string{name}}
			delete(next, name)
		}
		want, wantErr := Parse(revision, next)
		got, err := s.Apply(c)
		require.Equal(t, wantErr == nil, err == nil, "%v against %v", err, wantErr)
		if err != nil {
			continue
		}
		require.Equal(t, want.Digest(), got.Digest())
		require.Equal(t, want.Names(), got.Names())
		require.Equal(t, want.ExcludedDomains(), got.ExcludedDomains())
		require.Equal(t, want.Preset(), got.Preset())
		for key := range 4 {
			wantCaller, wantClass, wantOK := want.CallerByKey(fmt.Sprint("key-", key))
			gotCaller, gotClass, gotOK := got.CallerByKey(fmt.Sprint("key-", key))
			require.Equal(t, wantOK, gotOK)
			require.Equal(t, wantCaller, gotCaller)
			require.Equal(t, wantClass, gotClass)
		}
		s, all = got, next
	}
}

func randomValue(r *rand.Rand) (string, []byte) {
	n := r.IntN(4)
	switch r.IntN(5) {
	case 0:
		return fmt.Sprintf("domain/d%d", n), fmt.Appendf(nil, `{"name":"d%d","region":"s","out":%t}`, n, r.IntN(2) == 0)
	case 1:
		return fmt.Sprintf("class/c%d", n), fmt.Appendf(nil, `{"name":"c%d","concurrency":%d,"cost":9}`, n, r.IntN(3))
	case 2:
		return fmt.Sprintf("preset/p%d", n), policy(fmt.Sprintf("p%d", n))
	case 3:
		return "in-force", fmt.Appendf(nil, `{"preset":"p%d"}`, n)
	}
	return fmt.Sprintf("caller/a%d", n), fmt.Appendf(nil, `{"name":"a%d","key":"key-%d","class":"c%d"}`, n, r.IntN(4), r.IntN(4))
}

// FuzzApply applies any text under any name. Apply must reject it, or Parse of the resulting values must return the same digest.
func FuzzApply(f *testing.F) {
	for name, text := range values() {
		f.Add(name, text, false)
	}
	for _, tc := range faults {
		f.Add(tc.value, []byte(tc.text), tc.text == "")
	}
	f.Add("service/s", []byte(`{"name":"s","kind":"search","contract":{},"layouts":[]}`), false)
	base, err := Parse(1, values())
	require.NoError(f, err)
	f.Fuzz(func(t *testing.T, name string, text []byte, remove bool) {
		c := Change{Revision: 2, Values: map[string][]byte{name: text}}
		if remove {
			c = Change{Revision: 2, Removed: []string{name}}
		}
		next, err := base.Apply(c)
		if err != nil {
			require.Zero(t, next.Revision())
			return
		}
		all := make(map[string][]byte)
		digest := manifest.Digest(0)
		for _, name := range next.Names() {
			v, _ := next.Value(name)
			all[name] = v.Content
			digest = digest.With(name, manifest.Hash(v.Content))
		}
		parsed, err := Parse(2, all)
		require.NoError(t, err)
		require.Equal(t, digest.String(), parsed.Digest())
		require.Equal(t, next.Digest(), parsed.Digest())
	})
}
