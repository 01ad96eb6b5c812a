package directory_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"crocuswing/internal/config/domain"
	"crocuswing/internal/config/preset"
	"crocuswing/internal/config/service"
	"crocuswing/internal/config/set"
	"crocuswing/internal/fleet/member"
	"crocuswing/internal/fleet/roster"
	"crocuswing/internal/fleet/view"
	"crocuswing/internal/index/layout"
	"crocuswing/internal/index/shard"
	"crocuswing/internal/upstream/contract"
	"crocuswing/internal/upstream/directory"

	"github.com/stretchr/testify/require"
)

var testContract = contract.Contract{Slots: 2, Connections: 25, ColdSlots: 1, WarmAfter: 8}

// fakeLink adds the number of connections that it may open to a shared counter.
type fakeLink struct {
	directory.Link
	total *int
	n     int
}

// SetMaxConnections changes the number of connections that the link may open.
func (l *fakeLink) SetMaxConnections(n int) {
	*l.total += n - l.n
	l.n = n
}

// SetDraining does nothing.
func (*fakeLink) SetDraining(bool) {}

// Close subtracts the connections of the link.
func (l *fakeLink) Close() { *l.total -= l.n }

// viewSpec describes a view for tests.
type viewSpec struct {
	instances      []string
	upstreams      int
	domains        int
	excludedDomain string // name of the excluded failure domain, if any
	version        uint64
	states         map[string]string
}

func (spec viewSpec) location(n int) (failureDomain, region string) {
	return fmt.Sprintf("domain-%d", n%spec.domains), fmt.Sprintf("region-%d", n%max(1, spec.domains/3))
}

func (spec viewSpec) view(tb testing.TB) view.View {
	members := make([]member.Member, 0, len(spec.instances)+spec.upstreams)
	for n, name := range spec.instances {
		d, r := spec.location(n)
		members = append(members, member.Member{Name: name, Kind: member.KindInstance, FailureDomain: d, Region: r, State: member.StateLive})
	}
	sh := shard.Shard{Name: "shard"}
	for n := range spec.upstreams {
		d, r := spec.location(n)
		name := fmt.Sprintf("upstream-%d", n)
		sh.Replicas = append(sh.Replicas, name)
		members = append(members, member.Member{Name: name, Kind: member.KindUpstream, FailureDomain: d, Region: r, Address: name, State: member.StateLive})
	}
	for n, m := range members {
		if s, ok := spec.states[m.Name]; ok {
			members[n].State = s
		}
	}
	return view.View{}.WithConfig(spec.config(tb, sh)).WithRoster(roster.New(spec.version, members)).WithConfirmation(time.Now())
}

func (spec viewSpec) config(tb testing.TB, sh shard.Shard) set.Set {
	s := service.Service{Name: "search", Kind: service.KindSearch, Contract: testContract}
	s.Layouts = []layout.Layout{{Snapshot: "s1", Shards: []shard.Shard{sh}}}
	values := map[string][]byte{"in-force": []byte(`{"preset": "ordinary"}`)}
	put := func(name string, v any) {
		text, err := json.Marshal(v)
		require.NoError(tb, err)
		values[name] = text
	}
	put("service/search", s)
	put("preset/ordinary", preset.Preset{Name: "ordinary", DeadlineMS: 240, AnswerPolicy: preset.PolicyCoverage, HedgeQuantile: 0.95, HedgeShare: 0.05, RetryShare: 0.1})
	if spec.excludedDomain != "" {
		put("domain/"+spec.excludedDomain, domain.Domain{Name: spec.excludedDomain, Region: "region-0", Excluded: true})
	}
	parsed, err := set.Parse(1, values)
	require.NoError(tb, err)
	return parsed
}

// fleet holds the directories of several instances that share their upstreams.
type fleet struct {
	directories        map[string]*directory.Directory
	allowedConnections map[string]*int // by upstream, over all links
}

func newFleet(instances ...string) *fleet {
	f := &fleet{directories: make(map[string]*directory.Directory), allowedConnections: make(map[string]*int)}
	for _, name := range instances {
		f.directories[name] = directory.New(name, directory.WithOpener(f.openLink))
	}
	return f
}

func (f *fleet) openLink(name, _ string, n int, _ func()) directory.Link {
	if f.allowedConnections[name] == nil {
		f.allowedConnections[name] = new(int)
	}
	*f.allowedConnections[name] += n
	return &fakeLink{total: f.allowedConnections[name], n: n}
}

func names(from, to int) []string {
	var all []string
	for n := from; n < to; n++ {
		all = append(all, fmt.Sprintf("instance-%d", n))
	}
	return all
}

// TestSharesStayWithinTheLimits checks that connections and slots of all instances together stay within their limits
// when instances use different views.
func TestSharesStayWithinTheLimits(t *testing.T) {
	const upstreams = 20
	for _, c := range []struct {
		name  string
		all   int
		lists [][]string // each applied by the instances that it names, in order
		views int        // number of different lists in use at the end
	}{
		{"one view of 4", 4, [][]string{names(0, 4)}, 1},
		{"one view of 100", 100, [][]string{names(0, 100)}, 1},
		{"partition of 4", 4, [][]string{names(0, 4), names(0, 2), names(2, 4)}, 2},
		{"partition of 100", 100, [][]string{names(0, 100), names(0, 60), names(60, 100)}, 2},
		{"one of 4 replaced, stale list at the replaced one", 5, [][]string{names(0, 4), names(1, 5)}, 2},
		{"all of 4 replaced, stale list at the replaced ones", 8, [][]string{names(0, 4), names(4, 8)}, 2},
		{"one of 100 started, stale list at all others", 101, [][]string{names(0, 100), {"instance-100"}}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(names(0, c.all)...)
			for n, list := range c.lists {
				v := viewSpec{instances: list, upstreams: upstreams, domains: 3, version: uint64(n + 1)}.view(t)
				for _, reader := range list {
					f.directories[reader].Update(v)
				}
			}
			for n := range upstreams {
				name := fmt.Sprintf("upstream-%d", n)
				slots, first := f.shares(name)
				require.LessOrEqual(t, *f.allowedConnections[name], testContract.Connections, "connections")
				require.LessOrEqual(t, slots, c.views*max(testContract.Slots, testContract.HomeCount(c.all)), "slots")
				require.GreaterOrEqual(t, first, 1)
				require.LessOrEqual(t, first, c.views, "first homes")
			}
		})
	}
}

// shares returns the sum of the slots of all homes of an upstream and the number of its first homes.
func (f *fleet) shares(upstream string) (slots, first int) {
	for _, d := range f.directories {
		t, ok := d.Target(upstream)
		if ok && t.Role().IsHome {
			slots += t.Role().MaxInFlight
		}
		if ok && t.Role().IsFirst {
			first++
		}
	}
	return slots, first
}

func TestOnlyHomesKeepLinks(t *testing.T) {
	f := newFleet(names(0, 100)...)
	v := viewSpec{instances: names(0, 100), upstreams: 30, domains: 24}.view(t)
	for _, d := range f.directories {
		d.Update(v)
		for _, tgt := range d.Targets() {
			_, ok := d.Link(tgt.Name())
			require.Equal(t, tgt.Role().IsHome, ok)
		}
	}
}

func TestLeavingOrExcludedInstancesAreNotHomes(t *testing.T) {
	for name, spec := range map[string]viewSpec{
		"leaving": {instances: names(0, 4), upstreams: 10, domains: 4, states: map[string]string{"instance-1": member.StateLeaving}},
		"out":     {instances: names(0, 4), upstreams: 10, domains: 4, excludedDomain: "domain-1"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet("instance-1")
			d := f.directories["instance-1"]
			d.Update(spec.view(t))
			for _, tgt := range d.Targets() {
				require.False(t, tgt.Role().IsHome)
				require.NotContains(t, tgt.Homes(d.Ranking()), "instance-1")
			}
		})
	}
}

func TestUpdateFollowsTheList(t *testing.T) {
	f := newFleet("instance-0")
	d := f.directories["instance-0"]
	d.Update(viewSpec{instances: names(0, 1), upstreams: 2, domains: 1}.view(t))
	require.Len(t, d.Targets(), 2)
	d.Update(viewSpec{instances: names(0, 1), upstreams: 2, domains: 1, version: 2, states: map[string]string{"upstream-0": member.StateLeaving}}.view(t))
	tgt, _ := d.Target("upstream-0")
	require.False(t, tgt.IsAvailable(time.Now()))
	_, ok := d.Target("upstream-9")
	require.False(t, ok)
	require.Equal(t, testContract.ConnectionShare(1), *f.allowedConnections["upstream-0"])

	d.Update(viewSpec{instances: names(0, 1), upstreams: 1, domains: 1, version: 3}.view(t))
	require.Len(t, d.Targets(), 1, "an upstream that is no longer configured must be removed")
	require.Zero(t, *f.allowedConnections["upstream-1"])
}

func TestSummary(t *testing.T) {
	f := newFleet("instance-0")
	d := f.directories["instance-0"]
	d.Update(viewSpec{instances: names(0, 1), upstreams: 3, domains: 1}.view(t))
	tgt, _ := d.Target("upstream-0")
	_, err := tgt.Acquire(t.Context())
	require.NoError(t, err)
	require.Equal(t, directory.Summary{Homes: 3, Cold: 3, InFlight: 1}, d.Summary())
}
