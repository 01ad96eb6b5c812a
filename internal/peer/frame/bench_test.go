package frame_test

import (
	"bytes"
	"fmt"
	"testing"

	"crocuswing/internal/peer/frame"
	"crocuswing/internal/wire/part"
	"crocuswing/internal/wire/relay"

	"github.com/vmihailenco/msgpack/v5"
)

// BenchmarkSubRequest encodes relayed requests for parts into frames and decodes them. One operation is one request.
func BenchmarkSubRequest(b *testing.B) {
	q := relay.Request{Upstream: "buyer-search-3-a", Part: &part.Request{
		RequestID: "q-17/0/3/0", Service: "buyer-search", Shard: "buyer-search-3", Snapshot: "s42", Query: "cotton-17",
	}}
	for _, size := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("batch=%d", size), func(b *testing.B) {
			messages := make([]frame.Message, size)
			var buffer bytes.Buffer
			w, r := frame.NewWriter(&buffer), frame.NewReader(&buffer)
			b.ReportAllocs()
			for done := 0; done < b.N; done += size {
				buffer.Reset()
				for n := range messages {
					body, _ := msgpack.Marshal(&q)
					messages[n] = frame.Message{Kind: frame.KindCall, ID: uint64(n + 1), Value: 240_000, Method: "relay", Body: body}
				}
				if err := w.Write(7, messages); err != nil {
					b.Fatal(err)
				}
				f, err := r.Read()
				if err != nil {
					b.Fatal(err)
				}
				for _, m := range f.Messages {
					var got relay.Request
					if err := msgpack.Unmarshal(m.Body, &got); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}
