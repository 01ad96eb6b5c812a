package directory_test

import (
	"fmt"
	"runtime"
	"testing"

	"crocuswing/internal/fleet/member"
	"crocuswing/internal/fleet/view"
	"crocuswing/internal/upstream/directory"
	"crocuswing/internal/wire/listing"

	"github.com/stretchr/testify/require"
)

// noLink stands for the connections, whose memory is the link's.
type noLink struct{ directory.Link }

// SetMaxConnections does nothing.
func (noLink) SetMaxConnections(int) {}

// SetDraining does nothing.
func (noLink) SetDraining(bool) {}

// Close does nothing.
func (noLink) Close() {}

func quiet(string, string, int, func()) directory.Link { return noLink{} }

// BenchmarkMemory measures the state of one instance by upstreams, as a home of all of them (a fleet
// of 4) and as one of 2,800 instances in 24 failure domains.
func BenchmarkMemory(b *testing.B) {
	for _, instances := range []int{4, 2800} {
		for _, n := range []int{1000, 10_000, 65_000} {
			b.Run(fmt.Sprintf("instances=%d/n=%d", instances, n), func(b *testing.B) {
				v := world{instances: names(0, instances), upstreams: n, domains: min(24, instances)}.view(b)
				before := heap()
				var d *directory.Directory
				for b.Loop() {
					d = directory.New("instance-0", directory.WithOpener(quiet))
					d.Update(v)
				}
				held := float64(heap() - before)
				runtime.KeepAlive(v)
				b.ReportMetric(held/float64(n), "B/upstream")
				b.ReportMetric(held/(1<<20), "MiB")
				homes := 0
				for _, t := range d.Targets() {
					if t.Role().IsHome {
						homes++
					}
				}
				b.ReportMetric(float64(homes), "homes")
			})
		}
	}
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// leaving gives a view that follows v and in which one upstream leaves.
func leaving(tb testing.TB, v view.View, name string) view.View {
	m, _ := v.Roster().Member(name)
	m.State = member.StateLeaving
	r, err := v.Roster().Apply(listing.Listing{From: v.Roster().Version(), Version: v.Roster().Version() + 1, Members: []member.Member{m}})
	require.NoError(tb, err)
	return v.WithRoster(r)
}

// BenchmarkUpdate brings the directory up to date after one instance was replaced in the list, after one
// upstream changed its state, or after a change of the configuration that takes a failure domain out.
func BenchmarkUpdate(b *testing.B) {
	for _, change := range []string{"list", "upstream", "configuration"} {
		for _, instances := range []int{4, 2800} {
			for _, n := range []int{1000, 10_000, 65_000} {
				b.Run(fmt.Sprintf("%s/instances=%d/n=%d", change, instances, n), func(b *testing.B) {
					w := world{instances: names(0, instances), upstreams: n, domains: min(24, instances), version: 1}
					a := w.view(b)
					switch change {
					case "list":
						w.instances = append(names(0, instances-1), "replacement")
						w.version = 2
					case "configuration":
						w.out = "domain-1"
					}
					other := w.view(b)
					if change == "upstream" {
						other = leaving(b, a, "upstream-7")
					}
					d := directory.New("instance-0", directory.WithOpener(quiet))
					d.Update(a)
					b.ReportAllocs()
					for b.Loop() {
						a, other = other, a
						d.Update(a)
					}
				})
			}
		}
	}
}
