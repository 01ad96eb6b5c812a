package target_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"crocuswing/internal/upstream/home"
	"crocuswing/internal/upstream/signal"
	"crocuswing/internal/upstream/target"
)

// BenchmarkAcquireFinish acquires a slot of a warm upstream and finishes it with a success.
func BenchmarkAcquireFinish(b *testing.B) {
	t := target.New("a", testContract, home.Location{})
	t.SetRole(firstHome)
	ok := target.Result{Signal: signal.Signal{Incarnation: "a-1", Load: 0.5}}
	b.ReportAllocs()
	for b.Loop() {
		s, err := t.Acquire(context.Background())
		if err != nil {
			b.Fatal(err)
		}
		t.Finish(s, ok)
	}
}

// BenchmarkHomesCached looks up the homes of an upstream while the view does not change.
func BenchmarkHomesCached(b *testing.B) {
	for _, n := range []int{4, 100, 2800} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			all := make([]home.Candidate, n)
			for i := range all {
				all[i].Name = fmt.Sprintf("instance-%d", i)
			}
			r := home.New(all)
			t := target.New("a", testContract, home.Location{})
			b.ReportAllocs()
			for b.Loop() {
				t.Homes(r)
			}
		})
	}
}

// BenchmarkState reads the state that the choice between upstreams uses.
func BenchmarkState(b *testing.B) {
	t := target.New("a", testContract, home.Location{})
	t.SetRole(firstHome)
	b.ReportAllocs()
	for b.Loop() {
		_ = t.IsCold()
		_ = t.IsAvailable(time.Now())
		_ = t.Outstanding()
		_ = t.Latency()
	}
}
