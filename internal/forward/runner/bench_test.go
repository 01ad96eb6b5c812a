package runner

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"crocuswing/internal/experiment/testbed"
	"crocuswing/internal/experiment/topology"
	"crocuswing/internal/forward/request"
	"crocuswing/internal/operator/metric"
	"crocuswing/internal/published/registration"
	"crocuswing/internal/published/state"
	"crocuswing/internal/routing/limits"
	"crocuswing/internal/routing/route"
	"crocuswing/internal/routing/table"
	"crocuswing/internal/settings/deployment"
	"crocuswing/internal/standin/replica"
	"crocuswing/internal/stats/history"
	"crocuswing/internal/upstream/catalog"

	"go.uber.org/zap"
)

// BenchmarkGather measures one merged request over loopback, including the cost of the upstreams, which run in the same process.
func BenchmarkGather(b *testing.B) {
	for _, shards := range []int{20, 90} {
		b.Run(map[int]string{20: "20", 90: "90"}[shards], func(b *testing.B) { benchmark(b, shards, 10) })
	}
}

// BenchmarkSingle measures one request that is forwarded to one upstream.
func BenchmarkSingle(b *testing.B) { benchmark(b, 1, 0) }

func benchmark(b *testing.B, services, topK int) {
	v := &state.View{Upstreams: make(map[string]registration.Registration), ExcludedDomains: map[string]bool{}}
	rt := route.Route{Name: "r", Host: "h", Prefix: "/", MaxAttempts: 2, Timeout: time.Minute, Objective: time.Minute, TopK: topK, MinShare: 1}
	for i := range services {
		name := "s" + string(rune('a'+i/26)) + string(rune('a'+i%26))
		p := replica.New(name, replica.Options{HeaderNames: names, Slots: 64, Queue: 64, Records: 12, ServiceTime: func(*rand.Rand) time.Duration { return 0 }})
		server := httptest.NewServer(p)
		b.Cleanup(server.Close)
		v.Upstreams[name] = registration.Registration{Upstream: name, Service: name, Address: strings.TrimPrefix(server.URL, "http://"), Slots: 64}
		v.Changed = append(v.Changed, name)
		if topK > 0 {
			rt.Shards = append(rt.Shards, name)
		} else {
			rt.Destinations = []route.Destination{{Service: name, Weight: 1}}
		}
	}
	v.Table = table.New(1, []route.Route{rt}, nil, limits.Limits{})
	hist := history.New()
	c := catalog.New(deployment.Settings{Bounds: topology.Bounds}, hist)
	c.Update(v)
	w := &testbed.Testbed{Published: v}
	r := New(w, c, w, hist, metric.New(), zap.NewNop())
	q := request.Request{Method: http.MethodGet, Target: "/x", Path: "/x", Host: "h", Header: http.Header{}}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		q.ID, q.Arrived = strconv.Itoa(n), time.Now()
		if rep := r.Run(context.Background(), q); rep.Status != http.StatusOK {
			b.Fatalf("status %d: %s", rep.Status, rep.Reason)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(services), "ns/part")
}
