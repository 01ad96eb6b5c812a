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

// The same messages without methods, which the library encodes by reflection.
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
		Doubt       bool               `msgpack:"d"`
		Incarnation string             `msgpack:"i"`
	}

	plainReply struct {
		Part        plainPart     `msgpack:"p"`
		Order       plainOrder    `msgpack:"o"`
		Signal      plainSignal   `msgpack:"s"`
		Failed      string        `msgpack:"f"`
		NotRun      bool          `msgpack:"n"`
		Reason      string        `msgpack:"r"`
		Cold        bool          `msgpack:"c"`
		Incarnation string        `msgpack:"i"`
		Elsewhere   bool          `msgpack:"e"`
		RetryAfter  time.Duration `msgpack:"w"`
	}
)

var (
	sampleRequest = Request{
		Upstream: "a", Part: &part.Request{RequestID: "i", Query: "q"}, Order: &order.Request{Body: "b", StartTimeoutMS: 7},
	}
	sampleReply = Reply{Part: part.Reply{Count: 1, Rows: []string{"x"}}, Signal: signal.Signal{Load: 0.5}, RetryAfter: time.Second}
)

// text draws texts on both sides of the bounds of msgpack's lengths.
func text(t *rapid.T, name string) string {
	n := rapid.SampledFrom([]int{0, 1, 5, 31, 32, 255, 256, 70_000}).Draw(t, name)
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i * 7)
	}
	return string(b)
}

func drawRequest(t *rapid.T) plainRequest {
	q := plainRequest{Upstream: text(t, "upstream"), Doubt: rapid.Bool().Draw(t, "doubt"), Incarnation: text(t, "incarnation")}
	if rapid.Bool().Draw(t, "part") {
		q.Part = &plainPartRequest{
			RequestID: text(t, "id"), Service: text(t, "service"), Shard: text(t, "shard"),
			Snapshot: text(t, "snapshot"), Query: text(t, "query"), Key: text(t, "key"),
		}
	}
	if rapid.Bool().Draw(t, "order") {
		q.Order = &plainOrderRequest{
			RequestID: text(t, "id"), Reference: text(t, "reference"), Service: text(t, "service"),
			Key: text(t, "key"), Body: text(t, "body"), StartTimeoutMS: rapid.Int64().Draw(t, "within"),
		}
	}
	return q
}

func drawReply(t *rapid.T) plainReply {
	r := plainReply{
		Part: plainPart{
			RequestID: text(t, "id"), Service: text(t, "service"), Shard: text(t, "shard"),
			Snapshot: text(t, "snapshot"), Count: rapid.Int().Draw(t, "count"),
		},
		Order: plainOrder{RequestID: text(t, "order id"), OrderID: text(t, "order")},
		Signal: plainSignal{
			Incarnation: text(t, "signal"), Cold: rapid.Bool().Draw(t, "signal cold"), Draining: rapid.Bool().Draw(t, "leaving"),
			Shed: rapid.Bool().Draw(t, "shed"), Load: rapid.Float64().Draw(t, "load"),
			RetryAfter: time.Duration(rapid.Int64().Draw(t, "signal wait")),
		},
		Failed: text(t, "failed"), NotRun: rapid.Bool().Draw(t, "not run"), Reason: text(t, "reason"),
		Cold: rapid.Bool().Draw(t, "cold"), Incarnation: text(t, "incarnation"),
		Elsewhere: rapid.Bool().Draw(t, "elsewhere"), RetryAfter: time.Duration(rapid.Int64().Draw(t, "wait")),
	}
	if n := rapid.SampledFrom([]int{-1, 0, 1, 15, 16, 1025, 70_000}).Draw(t, "rows"); n >= 0 {
		r.Part.Rows = make([]string, n)
		for i := range r.Part.Rows {
			r.Part.Rows[i] = strings.Repeat(string(rune('a'+i%26)), i%40)
		}
	}
	return r
}

// across takes one message from the type A by B to A again.
func across[A, B any](t require.TestingT, a A) {
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

// TestBothFormsDecodeEachOther goes from the form by reflection to the written one and back.
func TestBothFormsDecodeEachOther(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "5"))
	require.NoError(t, flag.Set("rapid.nofailfile", "true"))
	rapid.Check(t, func(t *rapid.T) {
		across[plainRequest, Request](t, drawRequest(t))
		across[plainReply, Reply](t, drawReply(t))
	})
	across[Request, plainRequest](t, sampleRequest)
	across[Reply, plainReply](t, sampleReply)
}

// TestUnknownKeysAreSkipped puts a value of each kind under a key of a later version.
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

// TestHostileLengths declares what does not come. Each would take gigabytes if it were believed.
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

// FuzzDecode checks that what any bytes decode to survives the codec.
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
		survives[Request](t, packed)
		survives[Reply](t, packed)
	})
}

// survives compares bytes, because a load may be no number.
func survives[M any](t *testing.T, packed []byte) {
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
