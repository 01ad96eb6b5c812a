package part

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

var (
	request  = Request{RequestID: "a/1", Service: "search", Shard: "s-1", Snapshot: "n1", Query: "q"}
	complete = Reply{RequestID: "a/1", Service: "search", Shard: "s-1", Snapshot: "n1", Count: 2, Rows: []string{"x", "y"}}
)

func TestCheck(t *testing.T) {
	change := func(f func(*Reply)) Reply {
		r := complete
		f(&r)
		return r
	}
	require.NoError(t, complete.Check(request))
	for name, r := range map[string]Reply{
		"identifier": change(func(r *Reply) { r.RequestID = "a/2" }),
		"service":    change(func(r *Reply) { r.Service = "other" }),
		"shard":      change(func(r *Reply) { r.Shard = "s-2" }),
		"snapshot":   change(func(r *Reply) { r.Snapshot = "n2" }),
	} {
		var mismatch *MismatchError
		require.ErrorAs(t, r.Check(request), &mismatch, name)
	}
	for name, r := range map[string]Reply{
		"truncated": change(func(r *Reply) { r.Rows = r.Rows[:1] }),
		"doubled":   change(func(r *Reply) { r.Rows = append(r.Rows, r.Rows...) }),
	} {
		var incomplete *IncompleteError
		require.ErrorAs(t, r.Check(request), &incomplete, name)
	}
}

// TestTruncatedReply checks that no proper prefix of a reply decodes, and that a reply without a count is rejected.
func TestTruncatedReply(t *testing.T) {
	text, err := json.Marshal(complete)
	require.NoError(t, err)
	for n := range text {
		var r Reply
		require.Error(t, json.Unmarshal(text[:n], &r), "first %d bytes", n)
	}
	var r Reply
	require.NoError(t, json.Unmarshal([]byte(`{"request-id":"a/1","service":"search","shard":"s-1","snapshot":"n1"}`), &r))
	require.Error(t, r.Check(request), "no count declared")
}

// FuzzReply checks that every reply that the decoder and Check accept is complete and survives a round trip through both
// codecs.
func FuzzReply(f *testing.F) {
	text, _ := json.Marshal(complete)
	for _, seed := range []string{
		string(text), string(text[:len(text)-3]), `{}`, `null`, `[]`, `{"count":0}`, `{"count":-1,"rows":[]}`,
		`{"count":1e9}`, `{"request-id":"a/1","service":"search","shard":"s-1","snapshot":"n1","count":0,"rows":null}`,
		`{"request-id":"a/1","service":"search","shard":"s-1","snapshot":"n1","count":3,"rows":["x"]}`,
		`{"COUNT":2,"Rows":["x","y"],"request-id":"a/1","service":"search","shard":"s-1","snapshot":"n1"}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var r Reply
		if json.Unmarshal(text, &r) != nil || r.Check(request) != nil {
			return
		}
		require.Equal(t, r.Count, len(r.Rows))
		var byJSON, byPack Reply
		again, err := json.Marshal(r)
		require.NoError(t, err)
		require.NoError(t, json.Unmarshal(again, &byJSON))
		require.NoError(t, byJSON.Check(request))
		packed, err := msgpack.Marshal(r)
		require.NoError(t, err)
		require.NoError(t, msgpack.Unmarshal(packed, &byPack))
		require.NoError(t, byPack.Check(request))
		require.ElementsMatch(t, byJSON.Rows, byPack.Rows)
	})
}

// FuzzPackedReply checks that the decoder returns an error, and does not panic, on malformed bytes from another instance.
func FuzzPackedReply(f *testing.F) {
	packed, _ := msgpack.Marshal(complete)
	f.Add(packed)
	f.Add(packed[:len(packed)-2])
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, packed []byte) {
		var r Reply
		if msgpack.Unmarshal(packed, &r) == nil && r.Check(request) == nil {
			require.Equal(t, r.Count, len(r.Rows))
		}
	})
}
