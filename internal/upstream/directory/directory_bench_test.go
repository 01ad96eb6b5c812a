package directory_test

import (
	"fmt"
	"runtime"
	"testing"

	"crocuswing/internal/fleet/member"
	"crocuswing/internal/fleet/view"
	"crocuswing/internal/upstream/directory"
	"crocuswing/internal/wire/memberlist"

	"github.com/stretchr/testify/require"
)

// nopLink is a link without connections, so that the benchmarks measure the directory alone.
type nopLink struct{ directory.Link }

// SetMaxConnections does nothing.
func (nopLink) SetMaxConnections(int) {}

// SetDraining does nothing.
func (nopLink) SetDraining(bool) {}

// Close does nothing.
func (nopLink) Close() {}

func openNopLink(string, string, int, func()) directory.Link { return nopLink{} }

// BenchmarkMemory measures the memory of one instance by the number of upstreams, as a home of all of them (in a fleet
// of 4) and as one of 2,800 instances in 24 failure domains.
func BenchmarkMemory(b *testing.B) {
	for _, instances := range []int{4, 2800} {
		for _, n := range []int{1000, 10_000, 65_000} {
			b.Run(fmt.Sprintf("instances=%d/n=%d", instances, n), func(b *testing.B) {
				v := viewSpec{instances: names(0, instances), upstreams: n, domains: min(24, instances)}.view(b)
				before := heapBytes()
				var d *directory.Directory
				for b.Loop() {
					d = directory.New("instance-0", directory.WithOpener(openNopLink))
					d.Update(v)
				}
				held := float64(heapBytes() - before)
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

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// withDraining returns the successor of v in which the named upstream is draining.
func withDraining(tb testing.TB, v view.View, name string) view.View {
	m, _ := v.Roster().Member(name)
	m.State = member.StateLeaving
	r, err := v.Roster().Apply(memberlist.List{BaseVersion: v.Roster().Version(), Version: v.Roster().Version() + 1, Members: []member.Member{m}})
	require.NoError(tb, err)
	return v.WithRoster(r)
}

// BenchmarkUpdate updates the directory after one instance was replaced in the membership list, after one upstream
// changed its state, or after a configuration change that excludes a failure domain.
func BenchmarkUpdate(b *testing.B) {
	for _, change := range []string{"list", "upstream", "configuration"} {
		for _, instances := range []int{4, 2800} {
			for _, n := range []int{1000, 10_000, 65_000} {
				b.Run(fmt.Sprintf("%s/instances=%d/n=%d", change, instances, n), func(b *testing.B) {
					spec := viewSpec{instances: names(0, instances), upstreams: n, domains: min(24, instances), version: 1}
					a := spec.view(b)
					switch change {
					case "list":
						spec.instances = append(names(0, instances-1), "replacement")
						spec.version = 2
					case "configuration":
						spec.excludedDomain = "domain-1"
					}
					other := spec.view(b)
					if change == "upstream" {
						other = withDraining(b, a, "upstream-7")
					}
					d := directory.New("instance-0", directory.WithOpener(openNopLink))
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
