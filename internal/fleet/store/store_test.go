package store

import (
	"context"
	"errors"
	"maps"
	"testing"
	"time"

	"crocuswing/internal/config/acceptor"
	"crocuswing/internal/config/set"
	"crocuswing/internal/fleet/member"
	"crocuswing/internal/fleet/view"
	"crocuswing/internal/wire/gossip"
	"crocuswing/internal/wire/manifest"
	"crocuswing/internal/wire/memberlist"
	"crocuswing/internal/wire/patch"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

var (
	errFetch = errors.New("value cannot be read")
	texts    = map[string]string{
		"in-force": `{"preset":"p"}`,
		"preset/p": `{"name":"p","deadline-ms":500,"answer-policy":"coverage","hedge-quantile":0.9,"hedge-share":0.05,"retry-share":0.1}`,
		"domain/a": `{"name":"a","region":"r"}`,
	}
)

// completeManifest returns the complete manifest of a revision with inline values: texts with the given changes.
func completeManifest(revision uint64, change map[string]string) manifest.Manifest {
	m := manifest.Manifest{Revision: revision}
	digest := manifest.Digest(0)
	all := maps.Clone(texts)
	maps.Copy(all, change)
	for name, text := range all {
		hash := manifest.Hash([]byte(text))
		digest = digest.With(name, hash)
		m.Entries = append(m.Entries, manifest.Entry{Name: name, Hash: hash, Value: text})
	}
	m.Digest = digest.String()
	return m
}

// newLoadedStore returns a store that has accepted revision 5.
func newLoadedStore(t *testing.T) (*Store, *observer.ObservedLogs, map[string]int) {
	core, logs := observer.New(zap.InfoLevel)
	counts := make(map[string]int)
	s := New(zap.New(core), func(metric string) { counts[metric]++ }, func(view.View) {})
	require.NoError(t, s.AcceptManifest(context.Background(), completeManifest(5, nil), failingFetch))
	logs.TakeAll()
	return s, logs, counts
}

func failingFetch(context.Context, manifest.Entry) ([]byte, error) { return nil, errFetch }

// TestRefusals offers each invalid configuration three times. The configuration in force has to stay; each refusal is counted,
// but logged only once.
func TestRefusals(t *testing.T) {
	out := map[string]string{"domain/a": `{"name":"a","region":"r","out":true}`}
	with := func(m manifest.Manifest, change func(*manifest.Manifest)) manifest.Manifest {
		change(&m)
		return m
	}
	cases := []struct {
		name, cause string
		offer       manifest.Manifest
		want        any
		level       string
	}{
		{"lower", causeStale, completeManifest(4, out), new(*acceptor.StaleError), "warn"},
		{"same revision, other content", causeConflict, completeManifest(5, out), new(*acceptor.ConflictError), "error"},
		{"invalid", causeInvalid, completeManifest(6, map[string]string{"in-force": `{"preset":"q"}`}), new(*set.Error), "warn"},
		{"no preset in force", causeInvalid, completeManifest(6, map[string]string{"in-force": `{}`}), new(*set.Error), "warn"},
		{"entry missing", causeHalfRead, with(completeManifest(6, out), func(m *manifest.Manifest) {
			m.Entries = m.Entries[1:]
		}), new(*set.DigestError), "warn"},
		{"value missing", causeHalfRead, with(completeManifest(6, out), func(m *manifest.Manifest) {
			for i := range m.Entries {
				m.Entries[i].Value = ""
			}
		}), nil, "warn"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s, logs, counts := newLoadedStore(t)
			before := s.Current().Config().Digest()
			for range 3 {
				err := s.AcceptManifest(context.Background(), tc.offer, failingFetch)
				require.Error(t, err)
				if tc.want != nil {
					require.ErrorAs(t, err, tc.want)
				}
			}
			require.Equal(t, uint64(5), s.Current().Config().Revision())
			require.Equal(t, before, s.Current().Config().Digest())
			require.Equal(t, 3, counts[`crocuswing_config_refused_total{cause="`+tc.cause+`"}`])
			require.Equal(t, 1, logs.Len())
			require.Equal(t, tc.level, logs.All()[0].Level.String())
		})
	}
	s, logs, counts := newLoadedStore(t)
	for _, m := range []manifest.Manifest{{BaseRevision: 3, Revision: 9}, {BaseRevision: 5, Revision: 6, Digest: "0123456789abcdef"}} {
		require.True(t, NeedsFullRead(s.AcceptManifest(context.Background(), m, failingFetch)))
	}
	require.Equal(t, 2, counts["crocuswing_config_rereads_total"])
	require.Zero(t, logs.Len(), "the caller reads the complete configuration next")
}

// TestContents receives the content of a change in each form: inline, as a patch, and by its hash alone.
func TestContents(t *testing.T) {
	const before, after = `{"name":"a","region":"r"}`, `{"name":"a","region":"r","out":true}`
	good := patch.New(manifest.Hash([]byte(before)), []byte(before), []byte(after))
	lost := patch.Patch{Base: "ffffffffffffffff", Middle: "x"}
	wrong := good
	wrong.Middle = ""
	hash := manifest.Hash([]byte(after))
	cases := []struct {
		name    string
		entry   manifest.Entry
		fetched int
	}{
		{"whole", manifest.Entry{Name: "domain/a", Hash: hash, Value: after}, 0},
		{"patch", manifest.Entry{Name: "domain/a", Hash: hash, Patch: &good}, 0},
		{"patch of another base", manifest.Entry{Name: "domain/a", Hash: hash, Patch: &lost}, 1},
		{"patch to another content", manifest.Entry{Name: "domain/a", Hash: hash, Patch: &wrong}, 1},
		{"hash alone", manifest.Entry{Name: "domain/a", Hash: hash}, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s, _, _ := newLoadedStore(t)
			fetched := 0
			m := manifest.Manifest{BaseRevision: 5, Revision: 6, Digest: completeManifest(6, map[string]string{"domain/a": after}).Digest, Entries: []manifest.Entry{tc.entry}}
			require.NoError(t, s.AcceptManifest(context.Background(), m, func(context.Context, manifest.Entry) ([]byte, error) {
				fetched++
				return []byte(after), nil
			}))
			require.Equal(t, tc.fetched, fetched)
			require.True(t, s.Current().Config().IsDomainExcluded("a"))
		})
	}
}

// TestReply checks the replies to readers that lack nothing, a change, or more than the changelog holds.
func TestReply(t *testing.T) {
	s, _, _ := newLoadedStore(t)
	ctx := context.Background()
	require.NoError(t, s.AcceptMemberList(memberlist.List{Version: 3, Digest: "", Members: []member.Member{{Name: "u"}, {Name: "v"}}}))
	require.NoError(t, s.AcceptMemberList(memberlist.List{BaseVersion: 3, Version: 4, Members: []member.Member{{Name: "w"}}, Removed: []string{"u"}}))
	require.NoError(t, s.AcceptManifest(ctx, completeManifest(8, map[string]string{"domain/a": `{"name":"a","region":"r","out":true}`, "domain/b": `{"name":"b","region":"r"}`}), failingFetch))

	r := s.Reply(gossip.SyncRequest{Revision: 8, ListVersion: 4}, time.Now())
	require.Nil(t, r.Manifest)
	require.Nil(t, r.MemberList)
	require.Negative(t, r.ConfigAgeMS)
	r = s.Reply(gossip.SyncRequest{Revision: 5, ListVersion: 3}, time.Now())
	require.Len(t, r.Manifest.Entries, 2)
	require.Equal(t, []member.Member{{Name: "w"}}, r.MemberList.Members)
	require.Equal(t, []string{"u"}, r.MemberList.Removed)
	other, _, _ := newLoadedStore(t)
	require.NoError(t, other.AcceptManifest(ctx, *r.Manifest, failingFetch))
	require.Equal(t, s.Current().Config().Digest(), other.Current().Config().Digest())
	r = s.Reply(gossip.SyncRequest{Revision: 4}, time.Now())
	require.Nil(t, r.Manifest, "the reader has to read the complete configuration")

	page, err := s.Page(gossip.PageRequest{})
	require.NoError(t, err)
	require.Zero(t, page.NextOffset)
	require.Len(t, page.Manifest.Entries, 4)
	require.Len(t, page.MemberList.Members, 2)
	var missing *MissingError
	_, err = s.Page(gossip.PageRequest{ViewID: 99})
	require.ErrorAs(t, err, &missing)
	_, err = s.Value(gossip.ValueRequest{Name: "domain/a", Hash: "ffffffffffffffff"})
	require.ErrorAs(t, err, &missing)
}
