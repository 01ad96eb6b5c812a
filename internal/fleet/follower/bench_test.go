package follower

import (
	"fmt"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/fleet/detector"
	"crocuswing/internal/fleet/member"
	"crocuswing/internal/fleet/view"
	"crocuswing/internal/published/reader"
	"crocuswing/internal/standin/platform"
	"crocuswing/internal/wire/gossip"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

const (
	domainSize         = 128                                 // instances in a failure domain
	changeInterval     = 24 * time.Hour / 19_000             // between changes of the configuration
	listChangeInterval = 24 * time.Hour / (4 * (8300 + 140)) // four state changes per restart or failure
	benchChanges       = 12
	shardCount         = 1100
	replicas           = 3
)

// spreadResult holds the measurements of one run.
type spreadResult struct {
	worst, mean           time.Duration // from publication until in force everywhere
	readsPerSecond        float64       // of the platform, by all instances together
	bytesWorst, bytes     float64       // control traffic per second: of the busiest instance, and the mean
	cpuShare              float64       // of a core, per instance; includes the work of the harness
	watchers, listChanges int
}

// serviceValue returns the value of a service with the given number of shards; 1,100 shards are about 100 KB. Each n yields
// another version, which differs in one shard.
func serviceValue(name string, shards, n int) string {
	text := []byte(`{"name":"` + name + `","kind":"search","contract":{"slots":2,"connections":25,"cold-slots":1,"warm-after":8},"layouts":[{"snapshot":"s1","shards":[`)
	for i := range shards {
		if i > 0 {
			text = append(text, ',')
		}
		version := 0
		if i == n%shards {
			version = n
		}
		text = fmt.Appendf(text, `{"name":"%s-%d","replicas":["%s-%da","%s-%db","%s-%dc%d"]}`, name, i, name, i, name, i, name, i, version)
	}
	return string(append(text, `]}]}`...))
}

// runSpread runs n instances in virtual time at the required rates of change.
func runSpread(n int) spreadResult {
	var s spreadResult
	h := newHarness()
	defer h.close()
	h.publish(map[string]string{"service/search": serviceValue("search", shardCount, 0)})
	for i := range n {
		h.setMember(h.add(fmt.Sprint("d", i/domainSize)).self)
	}
	time.Sleep(20 * time.Second)
	reads, bytes := h.platform.Reads(), h.controlBytes()
	start, cpu := time.Now(), cpuTime()
	var inForce []time.Duration
	for change := range benchChanges {
		revision := h.publish(map[string]string{"service/search": serviceValue("search", shardCount, change+1)})
		took := h.waitInForce(revision, time.Minute)
		inForce = append(inForce, took)
		for step := 0; time.Since(start) < time.Duration(change+1)*changeInterval; step++ {
			state := []string{member.StateLive, member.StateLeaving, member.StateCold}[step%3]
			h.setMember(member.Member{Name: fmt.Sprint("up-", change%upstreams), Kind: member.KindUpstream, FailureDomain: "d0", Address: "127.0.0.1:1", State: state})
			s.listChanges++
			time.Sleep(min(listChangeInterval, time.Duration(change+1)*changeInterval-time.Since(start)))
		}
	}
	seconds := time.Since(start).Seconds()
	s.cpuShare = (cpuTime() - cpu).Seconds() / seconds / float64(n)
	s.readsPerSecond = float64(h.platform.Reads()-reads) / seconds
	for i, sum := range h.controlBytes() {
		rate := float64(sum-bytes[i]) / seconds
		s.bytes += rate / float64(n)
		s.bytesWorst = max(s.bytesWorst, rate)
	}
	s.worst = slices.Max(inForce)
	for _, took := range inForce {
		s.mean += took / benchChanges
	}
	for _, node := range h.nodes {
		if node.IsWatcher() {
			s.watchers++
		}
	}
	return s
}

// controlBytes returns the control traffic of each instance so far, in bytes.
func (h *harness) controlBytes() []int64 {
	sums := make([]int64, len(h.nodes))
	for i, n := range h.nodes {
		sums[i] = n.bytes.Load()
	}
	return sums
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkSpread measures the time until a change is in force, the platform reads and the control traffic for growing numbers
// of instances.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{8, 32, 128, 512} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			var s spreadResult
			for b.Loop() {
				inVirtualTime(b, func() { s = runSpread(n) })
			}
			b.ReportMetric(float64(s.worst.Milliseconds()), "worst-in-force-ms")
			b.ReportMetric(float64(s.mean.Milliseconds()), "mean-in-force-ms")
			b.ReportMetric(s.readsPerSecond, "platform-reads/s")
			b.ReportMetric(s.bytes, "control-B/s/instance")
			b.ReportMetric(s.bytesWorst, "control-B/s/worst")
			b.ReportMetric(100*s.cpuShare, "core-%/instance")
			b.ReportMetric(float64(s.watchers), "watchers")
		})
	}
}

// inVirtualTime runs do in a synctest bubble. Benchmarks cannot enter one directly, so it is run as a test.
func inVirtualTime(b *testing.B, do func()) {
	ok := testing.RunTests(func(_, _ string) (bool, error) { return true, nil }, []testing.InternalTest{
		{Name: "bubble", F: func(t *testing.T) { synctest.Test(t, func(*testing.T) { do() }) }},
	})
	if !ok {
		b.Fatal("the run in virtual time failed")
	}
}

// newLoadedFollower returns a follower that has read a platform with the given numbers of upstreams and instances.
func newLoadedFollower(tb testing.TB, servers, instances int) (*Follower, *platform.Platform) {
	p := platform.New()
	p.Publish(baseValues())
	for n := range servers {
		p.SetMember(member.Member{
			Name: fmt.Sprintf("service-%d-%d", n/3300, n%3300), Kind: member.KindUpstream,
			FailureDomain: fmt.Sprint("domain-", n%24), Region: fmt.Sprint("region-", n%9), Address: fmt.Sprintf("10.%d.%d.%d:8080", n>>16, n>>8&255, n&255), State: member.StateLive,
		})
	}
	for n := range instances {
		p.SetMember(instanceMember(n))
	}
	for s := range (servers + 3299) / 3300 {
		p.Publish(map[string]string{fmt.Sprint("service/s", s): serviceValue(fmt.Sprint("s", s), min(servers, 3300)/replicas, 0)})
	}
	f := New(instanceMember(0), p, &peerConn{}, detector.New(), zap.NewNop(), func(view.View) {})
	require.NoError(tb, f.readAll(tb))
	return f, p
}

func instanceMember(n int) member.Member {
	return member.Member{
		Name: fmt.Sprint("instance-", n), Kind: member.KindInstance, FailureDomain: fmt.Sprint("domain-", n%24),
		Region: fmt.Sprint("region-", n%9), Address: fmt.Sprintf("10.9.%d.%d:7002", n>>8, n&255), State: member.StateLive,
	}
}

// readAll reads the configuration and the list once.
func (f *Follower) readAll(tb testing.TB) error {
	if _, err := f.followConfig(tb.Context(), 0); err != nil {
		return err
	}
	_, err := f.followList(tb.Context(), 0)
	return err
}

// BenchmarkView measures the memory of a view and the cost of a change of the list and of a value.
func BenchmarkView(b *testing.B) {
	for _, size := range []struct{ servers, instances int }{{1000, 4}, {10_000, 4}, {65_000, 4}, {1000, 100}, {1000, 1000}, {1000, 2800}, {65_000, 2800}} {
		name := fmt.Sprintf("upstreams=%d/instances=%d", size.servers, size.instances)
		f, p := newLoadedFollower(b, size.servers, size.instances)
		b.Run(name+"/load", func(b *testing.B) {
			server := httptest.NewServer(p)
			defer server.Close()
			r := reader.New(strings.TrimPrefix(server.URL, "http://"))
			held := 0.0
			for b.Loop() {
				before := heapBytes()
				g := New(instanceMember(0), r, &peerConn{}, detector.New(), zap.NewNop(), func(view.View) {})
				require.NoError(b, g.readAll(b))
				held = heapBytes() - before
				runtime.KeepAlive(g)
			}
			b.ReportMetric(held/(1<<20), "view-MB")
			b.ReportMetric(held/float64(size.servers+size.instances), "view-B/member")
		})
		b.Run(name+"/list-change", func(b *testing.B) {
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				m := member.Member{Name: "service-0-1", Kind: member.KindUpstream, Address: fmt.Sprint("10.0.0.1:", 1+n%65_000), State: member.StateLive}
				p.SetMember(m)
				_, err := f.followList(b.Context(), 0)
				require.NoError(b, err)
			}
		})
		b.Run(name+"/instance-change", func(b *testing.B) {
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				m := instanceMember(1)
				m.Address = fmt.Sprint("10.0.0.1:", 1+n%65_000)
				p.SetMember(m)
				_, err := f.followList(b.Context(), 0)
				require.NoError(b, err)
				f.plan()
			}
		})
		b.Run(name+"/small-value", func(b *testing.B) {
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				p.Publish(domainValue("d1", n%2 == 0))
				_, err := f.followConfig(b.Context(), 0)
				require.NoError(b, err)
			}
		})
	}
}

// BenchmarkServiceValue measures the cost of accepting a change of one service, by its number of shards.
func BenchmarkServiceValue(b *testing.B) {
	for _, shards := range []int{30, 300, 1100} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			b.ReportAllocs()
			f, p := newLoadedFollower(b, 3300, 4)
			p.Publish(map[string]string{"service/s": serviceValue("s", shards, 0)})
			require.NoError(b, f.readAll(b))
			texts := []string{serviceValue("s", shards, 1), serviceValue("s", shards, 2)}
			for n := 0; b.Loop(); n++ {
				p.Publish(map[string]string{"service/s": texts[n%2]})
				_, err := f.followConfig(b.Context(), 0)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(len(texts[0])), "value-B")
		})
	}
}

// BenchmarkAnswer measures the time to answer a peer that lacks changes of a large value, and the size of the reply.
func BenchmarkAnswer(b *testing.B) {
	for _, behind := range []uint64{0, 1, 10} {
		b.Run(fmt.Sprintf("behind=%d", behind), func(b *testing.B) {
			b.ReportAllocs()
			f, p := newLoadedFollower(b, 3300, 4)
			for n := range 12 {
				p.Publish(map[string]string{"service/s0": serviceValue("s0", shardCount, n+1)})
				require.NoError(b, f.readAll(b))
			}
			v := f.Current()
			req := gossip.SyncRequest{From: "x", Revision: v.Config().Revision() - behind, ListVersion: v.Roster().Version()}
			for b.Loop() {
				f.HandleSync(req)
			}
			b.ReportMetric(float64(sizeOf(f.HandleSync(req))), "answer-B")
		})
	}
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
