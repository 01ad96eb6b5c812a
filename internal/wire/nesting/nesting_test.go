package nesting_test

import (
	"bytes"
	"testing"

	"crocuswing/internal/wire/nesting"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// nested returns n arrays around a nil value, behind the key of a field that no message has.
func nested(n int) []byte {
	text := []byte{0x81, 0xa1, 'z'}
	text = append(text, bytes.Repeat([]byte{0x91}, n)...)
	return append(text, 0xc0)
}

func TestCheck(t *testing.T) {
	require.NoError(t, nesting.Check(nil))
	require.NoError(t, nesting.Check(nested(nesting.MaxDepth-1)))
	var deep *nesting.Error
	require.ErrorAs(t, nesting.Check(nested(nesting.MaxDepth)), &deep)
	require.ErrorAs(t, nesting.Check(nested(1<<20)), &deep)
}

// TestCheckAllFormats puts a value that is too deep behind values of all formats, which must be skipped exactly.
func TestCheckAllFormats(t *testing.T) {
	long := bytes.Repeat([]byte("x"), 1<<17)
	list := []any{
		nil, true, 1, -1, 200, -100, 60_000, -30_000, 1 << 20, -(1 << 20), int64(1) << 40, -(int64(1) << 40), uint64(1) << 63, float32(1.5), 2.5,
		"short", string(long[:40]), string(long[:300]), string(long), long[:1], long[:300], long,
		msgpack.RawMessage{0xd4, 1, 2},
		msgpack.RawMessage{0xc7, 3, 1, 1, 2, 3},
		msgpack.RawMessage{0xd8, 1, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15},
		map[string]int{"a": 1},
		[]int{},
		make([]int, 20), make([]int, 70_000),
		map[string]string{},
	}
	text, err := msgpack.Marshal(list)
	require.NoError(t, err)
	require.NoError(t, nesting.Check(text))
	for n := range list {
		text, err := msgpack.Marshal(append(list[:n:n], msgpack.RawMessage(nested(nesting.MaxDepth))))
		require.NoError(t, err)
		var deep *nesting.Error
		require.ErrorAs(t, nesting.Check(text), &deep, "after %d values", n)
	}
}

// FuzzCheck checks that a message that passes can be decoded without a failure other than an error.
func FuzzCheck(f *testing.F) {
	f.Add(nested(3))
	f.Add(nested(40))
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff, 0x91})
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0xc9, 0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(_ *testing.T, text []byte) {
		if nesting.Check(text) != nil {
			return
		}
		var into struct {
			A int `msgpack:"a"`
		}
		_ = msgpack.Unmarshal(text, &into)
	})
}
