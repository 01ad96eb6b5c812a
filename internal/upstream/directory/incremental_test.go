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
	"crocuswing/internal/wire/memberlist"

	"github.com/stretchr/testify/require"
)

// recordingLink records its address and whether it is draining.
type recordingLink struct {
	directory.Link
	state *linkState
}

type linkState struct {
	address  string
	draining bool
}

// SetMaxConnections does nothing.
func (l recordingLink) SetMaxConnections(int) {}

// SetDraining records the value.
func (l recordingLink) SetDraining(draining bool) { l.state.draining = draining }

// Close does nothing.
func (l recordingLink) Close() {}

// recordingDirectory is a directory whose links can be inspected.
type recordingDirectory struct {
	*directory.Directory
	links map[string]*linkState
}

func newRecordingDirectory() *recordingDirectory {
	d := &recordingDirectory{links: make(map[string]*linkState)}
	d.Directory = directory.New("instance-0", directory.WithOpener(func(name, address string, _ int, _ func()) directory.Link {
		d.links[name] = &linkState{address: address}
		return recordingLink{state: d.links[name]}
	}))
	return d
}

// TestIncrementalUpdateMatchesFullUpdate compares a directory that applies the changes of each list with a new directory
// that applies each list as a whole.
func TestIncrementalUpdateMatchesFullUpdate(t *testing.T) {
	const upstreams = 60
	synctest.Test(t, func(t *testing.T) {
		r := rand.New(rand.NewPCG(5, 6))
		v := viewSpec{instances: names(0, 4), upstreams: upstreams, domains: 3, version: 1}.view(t)
		incremental := newRecordingDirectory()
		incremental.Update(v)
		for range 200 {
			v = withRandomChange(t, r, v, fmt.Sprintf("upstream-%d", r.IntN(upstreams)))
			incremental.Update(v)
			full := newRecordingDirectory()
			full.Update(v)
			require.Equal(t, full.links, incremental.links)
			for _, want := range full.Targets() {
				got, ok := incremental.Target(want.Name())
				require.True(t, ok)
				require.Equal(t, want.Location(), got.Location())
				require.Equal(t, want.Role(), got.Role())
			}
			time.Sleep(time.Second)
		}
	})
}

// withRandomChange returns the successor of v in which the named upstream has another state, address or location.
func withRandomChange(t *testing.T, r *rand.Rand, v view.View, name string) view.View {
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
	next, err := v.Roster().Apply(memberlist.List{BaseVersion: v.Roster().Version(), Version: v.Roster().Version() + 1, Members: []member.Member{m}})
	require.NoError(t, err)
	return v.WithRoster(next)
}
