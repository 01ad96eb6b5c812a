package relay

import (
	"bytes"
	"flag"
	"math"
	"runtime"
	"strings"
	"testing"
	"time"

	"crocuswing/internal/upstream/signal"
	"crocuswing/internal/wire/order"
	"crocuswing/internal/wire/part"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// The same messages without codec methods, so that the library encodes them by reflection.
type (
	plainPartRequest  part.Request
	plainOrderRequest order.Request
	plainPart         part.Reply
	plainOrder        order.Reply
	plainSignal       signal.Signal

	plainRequest struct {
		Upstream    string             `msgpack:"u"`
		Part        *plainPartRequest  `msgpack:"p"`
		Order       *plainOrderRequest `msgpack:"o"`
		Restarted   bool               `msgpack:"d"`
		Incarnation string             `msgpack:"i"`
	}

	plainReply struct {
		Part            plainPart     `msgpack:"p"`
		Order           plainOrder    `msgpack:"o"`
		Signal          plainSignal   `msgpack:"s"`
		FailureKind     string        `msgpack:"f"`
		NotRun          bool          `msgpack:"n"`
		Reason          string        `msgpack:"r"`
		Cold            bool          `msgpack:"c"`
		Incarnation     string        `msgpack:"i"`
		AllowsOtherHome bool          `msgpack:"e"`
		RetryAfter      time.Duration `msgpack:"w"`
	}
)

var (
	sampleRequest = Request{
		Upstream: "a", Part: &part.Request{RequestID: "i", Query: "q"}, Order: &order.Request{Body: "b", StartTimeoutMS: 7},
	}
	sampleReply = Reply{Part: part.Reply{Count: 1, Rows: []string{"x"}}, Signal: signal.Signal{Load: 0.5}, RetryAfter: time.Second}
)

// drawText draws texts whose lengths lie on both sides of the limits of the msgpack string formats.
func drawText(t *rapid.T, name string) string {
	n := rapid.SampledFrom([]int{0, 1, 5, 31, 32, 255, 256, 70_000}).Draw(t, name)
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i * 7)
	}
	return string(b)
}

func drawRequest(t *rapid.T) plainRequest {
	q := plainRequest{Upstream: drawText(t, "upstream"), Restarted: rapid.Bool().Draw(t, "restarted"), Incarnation: drawText(t, "incarnation")}
	if rapid.Bool().Draw(t, "part") {
		q.Part = &plainPartRequest{
			RequestID: drawText(t, "id"), Service: drawText(t, "service"), Shard: drawText(t, "shard"),
			Snapshot: drawText(t, "snapshot"), Query: drawText(t, "query"), Key: drawText(t, "key"),
		}
	}
	if rapid.Bool().Draw(t, "order") {
		q.Order = &plainOrderRequest{
			RequestID: drawText(t, "id"), Reference: drawText(t, "reference"), Service: drawText(t, "service"),
			Key: drawText(t, "key"), Body: drawText(t, "body"), StartTimeoutMS: rapid.Int64().Draw(t, "start timeout"),
		}
	}
	return q
}

func drawReply(t *rapid.T) plainReply {
	r := plainReply{
		Part: plainPart{
			RequestID: drawText(t, "id"), Service: drawText(t, "service"), Shard: drawText(t, "shard"),
			Snapshot: drawText(t, "snapshot"), Count: rapid.Int().Draw(t, "count"),
		},
		Order: plainOrder{RequestID: drawText(t, "order request id"), OrderID: drawText(t, "order id")},
		Signal: plainSignal{
			Incarnation: drawText(t, "signal incarnation"), Cold: rapid.Bool().Draw(t, "signal cold"), Draining: rapid.Bool().Draw(t, "signal draining"),
			Shed: rapid.Bool().Draw(t, "signal shed"), Load: rapid.Float64().Draw(t, "signal load"),
			RetryAfter: time.Duration(rapid.Int64().Draw(t, "signal retry after")),
		},
		FailureKind: drawText(t, "failure kind"), NotRun: rapid.Bool().Draw(t, "not run"), Reason: drawText(t, "reason"),
		Cold: rapid.Bool().Draw(t, "cold"), Incarnation: drawText(t, "incarnation"),
		AllowsOtherHome: rapid.Bool().Draw(t, "allows other home"), RetryAfter: time.Duration(rapid.Int64().Draw(t, "retry after")),
	}
	if n := rapid.SampledFrom([]int{-1, 0, 1, 15, 16, 1025, 70_000}).Draw(t, "rows"); n >= 0 {
		r.Part.Rows = make([]string, n)
		for i := range r.Part.Rows {
			r.Part.Rows[i] = strings.Repeat(string(rune('a'+i%26)), i%40)
		}
	}
	return r
}

// roundTrip checks that a message survives being encoded as A, decoded and encoded as B, and decoded as A.
func roundTrip[A, B any](t require.TestingT, a A) {
	packed, err := msgpack.Marshal(&a)
	require.NoError(t, err)
	var b B
	require.NoError(t, msgpack.Unmarshal(packed, &b))
	packed, err = msgpack.Marshal(b)
	require.NoError(t, err)
	var again A
	require.NoError(t, msgpack.Unmarshal(packed, &again))
	require.Equal(t, a, again)
}

// TestBothFormsDecodeEachOther checks that the handwritten codec and the one by reflection are compatible.
func TestBothFormsDecodeEachOther(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "5"))
	require.NoError(t, flag.Set("rapid.nofailfile", "true"))
	rapid.Check(t, func(t *rapid.T) {
		roundTrip[plainRequest, Request](t, drawRequest(t))
		roundTrip[plainReply, Reply](t, drawReply(t))
	})
	roundTrip[Request, plainRequest](t, sampleRequest)
	roundTrip[Reply, plainReply](t, sampleReply)
}

// TestUnknownKeysAreSkipped decodes messages with values of every type under a key that a later version may add.
func TestUnknownKeysAreSkipped(t *testing.T) {
	for name, value := range map[string]any{
		"nil": nil, "bool": true, "integer": -70_000, "float": 1.5, "text": "x", "bytes": []byte("x"), "time": time.Unix(1, 2),
		"nested": []any{map[string]any{"u": []any{1, "u"}, "i": "i"}, []any{}, map[string]any{}, "u"},
		"long":   make([]int, 20), "wide": map[int]any{1: nil, 2: []any{nil}},
	} {
		q := map[string]any{"u": "a", "later": value, "p": map[string]any{"later": value, "i": "b"}, "i": "c", "o": nil}
		packed, err := msgpack.Marshal(q)
		require.NoError(t, err)
		var got Request
		require.NoError(t, msgpack.Unmarshal(packed, &got), name)
		require.Equal(t, Request{Upstream: "a", Part: &part.Request{RequestID: "b"}, Incarnation: "c"}, got, name)
	}
}

// TestHostileLengths decodes messages that declare far more data than they contain. Each would take gigabytes of memory
// if the decoder allocated the declared length.
func TestHostileLengths(t *testing.T) {
	nested := append([]byte("\x81\xa1?"), bytes.Repeat([]byte{0x91}, 1<<20)...)
	for name, packed := range map[string][]byte{
		"fields":      []byte("\xdf\xff\xff\xff\xff"),
		"rows":        []byte("\x81\xa1p\x81\xa1r\xdd\xff\xff\xff\xff\xa1x"),
		"text":        []byte("\x81\xa1u\xdb\xff\xff\xff\xff"),
		"text, short": []byte("\x81\xa1u\xbfx"),
		"skipped":     []byte("\x81\xa1?\xdf\xff\xff\xff\xff"),
		"lists":       append(append([]byte("\x81\xa1p\xde\x0f\xa1"), bytes.Repeat([]byte("\xa1r\x92\xa0\xa0"), 4_000)...), 0xc1),
		"nested":      nested,
	} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		require.Error(t, msgpack.Unmarshal(packed, new(Request)), name)
		require.Error(t, msgpack.Unmarshal(packed, new(Reply)), name)
		runtime.ReadMemStats(&after)
		stack := max(after.StackInuse, before.StackInuse) - before.StackInuse
		require.Less(t, after.TotalAlloc-before.TotalAlloc+stack, uint64(8<<20), name)
	}
}

// FuzzDecode checks that every message that can be decoded survives another round trip.
func FuzzDecode(f *testing.F) {
	q, _ := msgpack.Marshal(sampleRequest)
	r, _ := msgpack.Marshal(sampleReply)
	nan, _ := msgpack.Marshal(Reply{Signal: signal.Signal{Load: math.NaN()}})
	for _, seed := range [][]byte{
		q, r, nan, q[:len(q)-3], r[:len(r)/2],
		{},
		{0xc0},
		{0x80},
		{0x81, 0xa1},
		[]byte("\x81\xc0\xc0"), []byte("\x81\xa1p\xc0"),
		[]byte("\x82\xa1p\x80\xa1p\xc0"), []byte("\x81\xa1p\x81\xa1r\xdd\xff\xff\xff\xff"), []byte("\x81\xa1?\xc1"), []byte("\x91\xa1u"),
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, packed []byte) {
		requireStable[Request](t, packed)
		requireStable[Reply](t, packed)
	})
}

// requireStable checks that a decoded message encodes to the same bytes again after another round trip. It compares bytes
// because the load may be NaN, which does not equal itself.
func requireStable[M any](t *testing.T, packed []byte) {
	var first, second M
	if msgpack.Unmarshal(packed, &first) != nil {
		return
	}
	once, err := msgpack.Marshal(first)
	require.NoError(t, err)
	require.NoError(t, msgpack.Unmarshal(once, &second))
	twice, err := msgpack.Marshal(second)
	require.NoError(t, err)
	require.Equal(t, once, twice)
}
