package directory_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/fleet/member"
	"crocuswing/internal/fleet/view"
	"crocuswing/internal/upstream/directory"
	"crocuswing/internal/wire/listing"

	"github.com/stretchr/testify/require"
)

// seenLink remembers where it leads and whether new work is forbidden.
type seenLink struct {
	directory.Link
	seen *seen
}

type seen struct {
	address string
	leaving bool
}

// SetMaxConnections does nothing.
func (l seenLink) SetMaxConnections(int) {}

// SetDraining remembers.
func (l seenLink) SetDraining(leaving bool) { l.seen.leaving = leaving }

// Close does nothing.
func (l seenLink) Close() {}

// watched is a directory whose links can be looked at.
type watched struct {
	*directory.Directory
	links map[string]*seen
}

func newWatched() *watched {
	w := &watched{links: make(map[string]*seen)}
	w.Directory = directory.New("instance-0", directory.WithOpener(func(name, address string, _ int, _ func()) directory.Link {
		w.links[name] = &seen{address: address}
		return seenLink{seen: w.links[name]}
	}))
	return w
}

// TestChangesOfUpstreamsAreFollowed compares a directory that follows changes of the list with one that
// reads each list as its first.
func TestChangesOfUpstreamsAreFollowed(t *testing.T) {
	const upstreams = 60
	synctest.Test(t, func(t *testing.T) {
		r := rand.New(rand.NewPCG(5, 6))
		v := world{instances: names(0, 4), upstreams: upstreams, domains: 3, version: 1}.view(t)
		follows := newWatched()
		follows.Update(v)
		for range 200 {
			v = changed(t, r, v, fmt.Sprintf("upstream-%d", r.IntN(upstreams)))
			follows.Update(v)
			first := newWatched()
			first.Update(v)
			require.Equal(t, first.links, follows.links)
			for _, want := range first.Targets() {
				got, ok := follows.Target(want.Name())
				require.True(t, ok)
				require.Equal(t, want.Location(), got.Location())
				require.Equal(t, want.Role(), got.Role())
			}
			time.Sleep(time.Second)
		}
	})
}

// changed gives a view in which one upstream has another state, address or place.
func changed(t *testing.T, r *rand.Rand, v view.View, name string) view.View {
	m, ok := v.Roster().Member(name)
	require.True(t, ok)
	switch r.IntN(4) {
	case 0:
		m.State = member.StateLeaving
	case 1:
		m.State = member.StateLive
	case 2:
		m.Address = fmt.Sprintf("%s-%d", name, r.IntN(10))
	case 3:
		m.FailureDomain, m.Region = fmt.Sprintf("domain-%d", r.IntN(3)), "region-0"
	}
	next, err := v.Roster().Apply(listing.Listing{From: v.Roster().Version(), Version: v.Roster().Version() + 1, Members: []member.Member{m}})
	require.NoError(t, err)
	return v.WithRoster(next)
}
