package cluster

import (
	"testing"
	"time"

	"crocuswing/internal/query/balancer"
	"crocuswing/internal/routing/route"
)

// BenchmarkPick measures a pick among the three replicas of a shard, by the balancer alone and with shares.
func BenchmarkPick(b *testing.B) {
	for _, c := range []struct {
		name       string
		workFactor float64
	}{{"three-figures", 0}, {"four-figures", 1}} {
		b.Run(c.name, func(b *testing.B) {
			s := sixDomains(usual)
			s.upstreams = nil
			for _, domain := range []string{"a", "c", "e"} {
				s.addUpstream(domain, domain, 2, nil)
			}
			cl := s.newCluster("a", 1)
			timing := Timing{HedgeDelay: 50 * time.Millisecond, Objective: time.Second}
			for _, r := range cl.Replicas() {
				cl.history.Begin(r.Name(), time.Now())
				cl.history.Answered(r.Name(), time.Now().Add(-time.Millisecond), time.Now(), time.Second)
				cl.RecordSignals(r, Signals{Load: 0.5, Slots: 4, WorkFactor: c.workFactor})
			}
			b.ReportAllocs()
			for b.Loop() {
				cl.Pick(balancer.First, &route.Route{}, nil, timing)
			}
		})
	}
}
