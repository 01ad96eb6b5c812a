package platform_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"crocuswing/internal/config/set"
	"crocuswing/internal/fleet/member"
	"crocuswing/internal/fleet/roster"
	"crocuswing/internal/published/reader"
	"crocuswing/internal/standin/platform"
	"crocuswing/internal/wire/manifest"
	"crocuswing/internal/wire/memberlist"

	"github.com/stretchr/testify/require"
)

const minHoldTime = 30 * time.Millisecond

// TestContract checks over HTTP that the simulated platform follows the platform contract.
func TestContract(t *testing.T) {
	p := platform.New()
	server := httptest.NewServer(p)
	defer server.Close()
	r := reader.New(strings.TrimPrefix(server.URL, "http://"))
	ctx := context.Background()

	m, changed, err := r.Manifest(ctx, 0, 0)
	require.NoError(t, err)
	require.False(t, changed, "nothing is published yet")
	require.Equal(t, "0000000000000000", m.Digest)

	long := fmt.Sprintf(`{"name":"long","region":%q}`, strings.Repeat("r", 9000))
	p.Publish(map[string]string{"domain/a": `{"name":"a","region":"s"}`, "domain/gone": "1", "domain/long": "2"})
	full, changed, err := r.Manifest(ctx, 0, 0)
	require.NoError(t, err)
	require.True(t, changed && full.IsComplete())
	require.Len(t, full.Entries, 3)
	requireDigest(t, full)

	p.Publish(map[string]string{"domain/a": `{"name":"a","region":"s","out":true}`, "domain/gone": "", "domain/long": long})
	m, changed, err = r.Manifest(ctx, 1, time.Minute)
	require.NoError(t, err)
	require.True(t, changed)
	require.Equal(t, uint64(1), m.BaseRevision)
	require.Equal(t, []string{"domain/gone"}, m.Removed)
	base := make(map[string]string)
	for _, e := range full.Entries {
		base[e.Name] = e.Hash
	}
	for _, e := range m.Entries {
		text, err := r.Value(ctx, e.Hash)
		require.NoError(t, err)
		require.Equal(t, e.Hash, manifest.Hash(text))
		if e.Patch != nil {
			require.Equal(t, base[e.Name], e.Patch.Base)
			old, err := r.Value(ctx, e.Patch.Base) // replaced content stays readable
			require.NoError(t, err)
			got, err := e.Patch.Apply(old)
			require.NoError(t, err)
			require.Equal(t, text, got)
		}
	}
	current, _, err := r.Manifest(ctx, 0, 0)
	require.NoError(t, err)
	require.Equal(t, current.Digest, m.Digest)
	requireDigest(t, current)

	for _, after := range []uint64{2, 3} { // 3: the reader knows a newer revision than this copy of the platform
		m, changed, err = r.Manifest(ctx, after, minHoldTime)
		require.NoError(t, err)
		require.False(t, changed)
		require.Equal(t, uint64(2), m.Revision)
		require.Equal(t, current.Digest, m.Digest)
		require.GreaterOrEqual(t, m.HoldTime, minHoldTime)
	}
	_, err = r.Value(ctx, "ffffffffffffffff")
	require.Error(t, err)
	p.SetDown(true)
	_, _, err = r.Manifest(ctx, 0, 0)
	require.Error(t, err)
}

func requireDigest(t *testing.T, m manifest.Manifest) {
	t.Helper()
	digest := manifest.Digest(0)
	for _, e := range m.Entries {
		digest = digest.With(e.Name, e.Hash)
	}
	require.Equal(t, digest.String(), m.Digest)
}

// TestListContract applies incremental member lists and compares the result with the complete list.
func TestListContract(t *testing.T) {
	p := platform.New()
	server := httptest.NewServer(p)
	defer server.Close()
	r := reader.New(strings.TrimPrefix(server.URL, "http://"))
	ctx := context.Background()
	got := roster.Roster{}
	for n := range 40 {
		name := fmt.Sprint("up-", n%7)
		if n%5 == 4 {
			p.RemoveMember(name)
		} else {
			p.SetMember(member.Member{Name: name, Kind: member.KindUpstream, State: fmt.Sprint(n)})
		}
		if n%3 != 0 {
			continue
		}
		l, changed, err := r.MemberList(ctx, got.Version(), time.Minute)
		require.NoError(t, err)
		require.True(t, changed)
		require.Equal(t, got.Version(), l.BaseVersion)
		got, err = got.Apply(l)
		require.NoError(t, err)
		full, _, err := r.MemberList(ctx, 0, 0)
		require.NoError(t, err)
		want, err := roster.Roster{}.Apply(full)
		require.NoError(t, err)
		require.Equal(t, want.OfKind(member.KindUpstream), got.OfKind(member.KindUpstream))
	}
	_, err := got.Apply(memberlist.List{BaseVersion: got.Version() + 1, Version: got.Version() + 2})
	var refused *roster.Error
	require.ErrorAs(t, err, &refused)
}

// TestReadCount checks that each read counts once, and that all values of the manifest are new to a reader without values.
func TestReadCount(t *testing.T) {
	p := platform.New()
	p.Publish(map[string]string{"in-force": `{"preset":"p"}`})
	ctx := context.Background()
	m, _, err := p.Manifest(ctx, 0, 0)
	require.NoError(t, err)
	entries, removed := set.Set{}.Diff(m)
	require.Len(t, entries, 1)
	require.Empty(t, removed)
	_, err = p.Value(ctx, entries[0].Hash)
	require.NoError(t, err)
	require.Equal(t, 2, p.Reads())
}
