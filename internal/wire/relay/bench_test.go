package relay

import (
	"fmt"
	"testing"

	"crocuswing/internal/upstream/signal"
	"crocuswing/internal/wire/part"

	"github.com/vmihailenco/msgpack/v5"
)

// BenchmarkCodec encodes and decodes one message, once by reflection and once with the handwritten methods.
func BenchmarkCodec(b *testing.B) {
	q := part.Request{RequestID: "q-17/0/3/0", Service: "buyer-search", Shard: "buyer-search-3", Snapshot: "s42", Query: "cotton-17"}
	plain := plainPartRequest(q)
	b.Run("request/reflection", benchmarkCodec(plainRequest{Upstream: "buyer-search-3-a", Part: &plain}))
	b.Run("request/written", benchmarkCodec(Request{Upstream: "buyer-search-3-a", Part: &q}))
	for _, rows := range []int{1, 16, 128} {
		r := part.Reply{RequestID: q.RequestID, Service: q.Service, Shard: q.Shard, Snapshot: q.Snapshot, Count: rows}
		for n := range rows {
			r.Rows = append(r.Rows, fmt.Sprintf("cotton-17-row-%d", n))
		}
		s := signal.Signal{Incarnation: "i-7", Load: 0.25}
		b.Run(fmt.Sprintf("reply/rows=%d/reflection", rows), benchmarkCodec(plainReply{Part: plainPart(r), Signal: plainSignal(s)}))
		b.Run(fmt.Sprintf("reply/rows=%d/written", rows), benchmarkCodec(Reply{Part: r, Signal: s}))
	}
}

func benchmarkCodec[M any](m M) func(*testing.B) {
	return func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			packed, err := msgpack.Marshal(&m)
			if err != nil {
				b.Fatal(err)
			}
			var got M
			if err := msgpack.Unmarshal(packed, &got); err != nil {
				b.Fatal(err)
			}
		}
	}
}
